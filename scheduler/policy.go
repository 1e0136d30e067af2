package scheduler

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
	Allowed              Permission = iota
	AttemptEnded                    // the attempt has ended
	RequestFinished                 // the request has its final answer, or its client has disconnected
	NoFurtherAttempt                // the dispatcher allows no more, as it is stopping or throttles retries
	OtherAttemptInFlight            // another attempt of the request is in flight
	DeadlinePassed                  // the request's deadline has passed
	BackendNotReady                 // the backend is draining or removed
	AttemptsSpent                   // the request has used up its attempts
	MayHaveRun                      // the request may have run and is not idempotent
	RepeatWindowClosed              // the request may have run, and its deduplication window is over
	OtherGroup                      // it may have run at a backend that does not deduplicate together with this one
	SlowStartSpent                  // the backend is in slow start and has had this dispatcher's share of its budget
	KVReleaseDue                    // the KV cache has waited as long as leaves time to release it
)

// String returns the name in logs and counters.
func (p Permission) String() string {
	names := [...]string{
		"allowed", "attempt ended", "request over", "no further attempt", "other attempt out", "deadline passed",
		"backend not ready", "attempts spent",
		"may have run", "repeat window closed", "other group", "slow start spent", "state due",
	}
	if p < 0 || int(p) >= len(names) {
		return fmt.Sprintf("permission %d", int(p))
	}
	return names[p]
}

// repeatMargin is how long before the end of the deduplication window a repeat is sent at the latest.
const repeatMargin = 10 * time.Millisecond

// mayChoose returns whether a further attempt of the request may be made at the backend.
func (d *Dispatcher) mayChoose(req *Request, backend *Backend) Permission {
	switch {
	case req.Finished:
		return RequestFinished
	case req.NoMoreAttempts:
		return NoFurtherAttempt
	case req.InFlight() != nil:
		return OtherAttemptInFlight
	case len(req.Attempts) >= d.parameters.maxAttempts:
		return AttemptsSpent
	}
	if permission := d.mayContact(req, backend, len(req.Attempts)); permission != Allowed {
		return permission
	}
	work := d.requestWork(req, backend, StageWhole)
	return d.mayUseSlowStart(backend, work, backend.SentWork.Sum(d.runtime.Now())+work)
}

// disallowed reports whether no attempt of the request may be made at the backend.
func (d *Dispatcher) disallowed(req *Request, backend *Backend) bool {
	return d.mayChoose(req, backend) != Allowed
}

// MaySend returns, right before an attempt's first byte, whether it may still be sent. While it connected, its
// client may have disconnected, its backend may have drained or restarted, and the deduplication window may
// have closed (rules 1 to 4).
func (d *Dispatcher) MaySend(attempt *Attempt) Permission {
	req, backend := attempt.Request, attempt.Backend
	switch {
	case attempt.Ended:
		return AttemptEnded
	case req.Finished:
		return RequestFinished
	case attempt.Stage == StageDecode && (req.KVHolder == nil || req.Released):
		return KVReleaseDue
	}
	if permission := d.mayContact(req, backend, attempt.Number); permission != Allowed || attempt.SlowStart {
		return permission
	}
	return d.mayUseSlowStart(backend, d.requestWork(req, backend, StageWhole), backend.SentWork.Sum(d.runtime.Now()))
}

// mayContact returns whether the attempt with the given number may reach the backend now.
func (d *Dispatcher) mayContact(req *Request, backend *Backend, number int) Permission {
	switch {
	case d.runtime.Now() >= req.Deadline:
		return DeadlinePassed
	case backend.State != Ready:
		return BackendNotReady
	}
	return d.mayRepeat(req, backend, number)
}

// mayRepeat returns whether the attempt with the given number does no harm by running a second time (rule 2).
func (d *Dispatcher) mayRepeat(req *Request, backend *Backend, number int) Permission {
	earlier, class := req.MayHaveRunBefore(number), req.Class
	switch {
	case earlier == nil || backend.Role == RolePrefill || class.Effect == Idempotent:
		return Allowed
	case class.Effect == NonIdempotent:
		return MayHaveRun
	case d.runtime.Now() >= earlier.SentAt+class.DedupWindow-repeatMargin:
		return RepeatWindowClosed
	case !class.DedupScope.Covers(backend, earlier.Backend):
		return OtherGroup
	}
	return Allowed
}

// MayReject returns whether a request may be answered with a rejection, which tells the client that a retry is
// harmless (rule 2).
func MayReject(req *Request) Permission {
	if !req.Class.RetryIsHarmless() && req.MayHaveRun() != nil {
		return MayHaveRun
	}
	return Allowed
}

// RetryIsHarmless reports whether a request of the class may be sent again at any backend after it may have run.
func (c *Class) RetryIsHarmless() bool {
	return c.Effect == Idempotent || c.Effect == Deduplicated && c.DedupScope == WholeFleet
}
