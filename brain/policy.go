package brain

import (
	"fmt"
	"time"
)

// What the rules allow now: the only place that decides whether an attempt may be sent, a request run again or rejected, a backend in
// slow start given work, or a state kept waiting. The choice of a backend and the check right before an attempt's first byte ask the
// same functions.

// Permission is whether something is allowed, and if not, why.
type Permission int

const (
	Allowed              Permission = iota
	AttemptEnded                    // the attempt is over already
	RequestFinished                 // the request has its final answer, or its client has gone
	NoFurtherAttempt                // the dispatcher allows none, as it stops or damps retries
	OtherAttemptInFlight            // another attempt of the request is out
	DeadlinePassed                  // the client's time is up
	BackendNotReady                 // the backend drains or is gone
	AttemptsSpent                   // the request has had as many attempts as it may have
	MayHaveRun                      // the request may have run, and may not run twice
	RepeatWindowClosed              // the request may have run, and the time in which repeats are dropped is over
	OtherGroup                      // the request may have run at a backend that does not share what it knows of repeats with this one
	SlowStartSpent                  // the backend is in slow start and has had this dispatcher's part of what it bears
	KVReleaseDue                    // the state has waited for as long as leaves time to release it
)

// String is how logs and counters name it.
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

// repeatSlack is how long before the end of its window a repeat is sent at the latest.
const repeatMargin = 10 * time.Millisecond

// mayChoose tells whether a further attempt of the request may be made at the backend.
func (d *Dispatcher) mayChoose(q *Request, h *Backend) Permission {
	switch {
	case q.Finished:
		return RequestFinished
	case q.NoMoreAttempts:
		return NoFurtherAttempt
	case q.InFlight() != nil:
		return OtherAttemptInFlight
	case len(q.Attempts) >= d.parameters.maxAttempts:
		return AttemptsSpent
	}
	if v := d.mayContact(q, h, len(q.Attempts)); v != Allowed {
		return v
	}
	work := d.requestWork(q, h, StageWhole)
	return d.mayUseSlowStart(h, work, h.SentWork.Sum(d.runtime.Now())+work)
}

// barred tells whether no attempt of the request may be made at the backend.
func (d *Dispatcher) disallowed(q *Request, h *Backend) bool { return d.mayChoose(q, h) != Allowed }

// MaySend tells, right before an attempt's first byte, whether it may still go out. While its connection was made its client may have
// gone, its backend may drain or have started anew, and the window for repeats may have closed (rules 1 to 4).
func (d *Dispatcher) MaySend(t *Attempt) Permission {
	q, h := t.Request, t.Backend
	switch {
	case t.Ended:
		return AttemptEnded
	case q.Finished:
		return RequestFinished
	case t.Stage == StageDecode && (q.KVHolder == nil || q.Released):
		return KVReleaseDue
	}
	if v := d.mayContact(q, h, t.Number); v != Allowed || t.SlowStart {
		return v
	}
	return d.mayUseSlowStart(h, d.requestWork(q, h, StageWhole), h.SentWork.Sum(d.runtime.Now()))
}

// mayReach tells whether the attempt of that number may reach the backend now.
func (d *Dispatcher) mayContact(q *Request, h *Backend, number int) Permission {
	switch {
	case d.runtime.Now() >= q.Deadline:
		return DeadlinePassed
	case h.State != Ready:
		return BackendNotReady
	}
	return d.mayRepeat(q, h, number)
}

// mayRepeat tells whether the attempt of that number at the backend has no effect a second time (rule 2).
func (d *Dispatcher) mayRepeat(q *Request, h *Backend, number int) Permission {
	t, g := q.MayHaveRunBefore(number), q.Class
	switch {
	case t == nil || h.Role == RolePrefill || g.Effect == Idempotent:
		return Allowed
	case g.Effect == NonIdempotent:
		return MayHaveRun
	case d.runtime.Now() >= t.SentAt+g.DedupWindow-repeatMargin:
		return RepeatWindowClosed
	case !g.DedupScope.Covers(h, t.Backend):
		return OtherGroup
	}
	return Allowed
}

// MayReject tells whether a request may be answered with the promise that trying again is harmless (rule 2).
func MayReject(q *Request) Permission {
	g := q.Class
	anywhere := g.Effect == Idempotent || g.Effect == Deduplicated && g.DedupScope == WholeFleet
	if !anywhere && q.MayHaveRun() != nil {
		return MayHaveRun
	}
	return Allowed
}
