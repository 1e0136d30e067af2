package brain

import (
	"fmt"
	"time"
)

// Policy: the only place that decides whether an attempt may be sent, a request run again or rejected, a
// backend in slow start given work, or a KV cache kept waiting. The choice of a backend and the check right
// before an attempt's first byte use the same functions.

// Permission says whether something is allowed, and if not, why.
type Permission int

const (
	Allowed            Permission = iota
	AttemptEnded                  // the attempt has ended
	RequestOver                   // the request has its final answer, or its client has disconnected
	NoFurtherAttempt              // the dispatcher allows no more, as it is stopping or throttles retries
	OtherAttemptOut               // another attempt of the request is in flight
	DeadlinePassed                // the request's deadline has passed
	BackendNotReady               // the backend is draining or removed
	AttemptsSpent                 // the request has used up its attempts
	MayHaveRun                    // the request may have run and is not idempotent
	RepeatWindowClosed            // the request may have run, and its deduplication window is over
	OtherGroup                    // it may have run at a backend that does not deduplicate together with this one
	SlowStartSpent                // the backend is in slow start and has had this dispatcher's share of its budget
	StateDue                      // the KV cache has waited as long as leaves time to release it
)

// String returns the name in logs and counters.
func (v Permission) String() string {
	names := [...]string{
		"allowed", "attempt ended", "request over", "no further attempt", "other attempt out", "deadline passed", "backend not ready", "attempts spent",
		"may have run", "repeat window closed", "other group", "slow start spent", "state due",
	}
	if v < 0 || int(v) >= len(names) {
		return fmt.Sprintf("permission %d", int(v))
	}
	return names[v]
}

// repeatMargin is how long before the end of the deduplication window a repeat is sent at the latest.
const repeatSlack = 10 * time.Millisecond

// mayChoose returns whether a further attempt of the request may be made at the backend.
func (d *Dispatcher) mayChoose(q *Request, h *Backend) Permission {
	switch {
	case q.Over:
		return RequestOver
	case q.Last:
		return NoFurtherAttempt
	case q.Out() != nil:
		return OtherAttemptOut
	case len(q.Attempts) >= d.parameters.maxAttempts:
		return AttemptsSpent
	}
	if v := d.mayReach(q, h, len(q.Attempts)); v != Allowed {
		return v
	}
	work := d.weight(q, h, Whole)
	return d.mayUseSlowStart(h, work, h.Sent.Sum(d.runtime.Now())+work)
}

// disallowed reports whether no attempt of the request may be made at the backend.
func (d *Dispatcher) barred(q *Request, h *Backend) bool { return d.mayChoose(q, h) != Allowed }

// MaySend returns, right before an attempt's first byte, whether it may still be sent. While it connected, its
// client may have disconnected, its backend may have drained or restarted, and the deduplication window may
// have closed (rules 1 to 4).
func (d *Dispatcher) MaySend(t *Attempt) Permission {
	q, h := t.Request, t.Backend
	switch {
	case t.Ended:
		return AttemptEnded
	case q.Over:
		return RequestOver
	case t.Stage == ToWrite && (q.State == nil || q.Released):
		return StateDue
	}
	if v := d.mayReach(q, h, t.Number); v != Allowed || t.SlowStart {
		return v
	}
	return d.mayUseSlowStart(h, d.weight(q, h, Whole), h.Sent.Sum(d.runtime.Now()))
}

// mayContact returns whether the attempt with the given number may reach the backend now.
func (d *Dispatcher) mayReach(q *Request, h *Backend, number int) Permission {
	switch {
	case d.runtime.Now() >= q.Deadline:
		return DeadlinePassed
	case h.Standing != Ready:
		return BackendNotReady
	}
	return d.mayRepeat(q, h, number)
}

// mayRepeat returns whether the attempt with the given number does no harm by running a second time (rule 2).
func (d *Dispatcher) mayRepeat(q *Request, h *Backend, number int) Permission {
	t, g := q.MayHaveRunBefore(number), q.Class
	switch {
	case t == nil || h.Role == Reads || g.Effect == Idempotent:
		return Allowed
	case g.Effect == Unrepeatable:
		return MayHaveRun
	case d.runtime.Now() >= t.Sent+g.Window-repeatSlack:
		return RepeatWindowClosed
	case !g.Reach.Joins(h, t.Backend):
		return OtherGroup
	}
	return Allowed
}

// MayReject returns whether a request may be answered with a rejection, which tells the client that a retry is
// harmless (rule 2).
func MayReject(q *Request) Permission {
	g := q.Class
	anywhere := g.Effect == Idempotent || g.Effect == Deduplicated && g.Reach == Everywhere
	if !anywhere && q.MayHaveRun() != nil {
		return MayHaveRun
	}
	return Allowed
}
