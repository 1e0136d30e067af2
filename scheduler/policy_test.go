package scheduler

import (
	"strings"
	"testing"
	"time"
)

// Each reason why an attempt may not be made, or may no longer be sent, has its own permission. The choice and
// the check before the first byte agree wherever both look.
func TestEachReasonHasItsPermission(t *testing.T) {
	for name, tc := range map[string]struct {
		prepare            func(dispatcher *Dispatcher, req *Request, backend *Backend)
		choice, beforeSend Permission
	}{
		"allowed": {func(*Dispatcher, *Request, *Backend) {}, Allowed, Allowed},
		"the request is finished": {func(_ *Dispatcher, r *Request, _ *Backend) { r.Finished = true },
			RequestFinished, RequestFinished},
		"no further attempt is allowed": {func(_ *Dispatcher, r *Request, _ *Backend) { r.NoMoreAttempts = true },
			NoFurtherAttempt, Allowed},
		"the deadline has passed": {func(dispatcher *Dispatcher, r *Request,
			_ *Backend) {
			r.Deadline = dispatcher.runtime.Now()
		},
			DeadlinePassed, DeadlinePassed},
		"the backend is draining": {func(_ *Dispatcher, _ *Request, b *Backend) { b.State = Draining },
			BackendNotReady, BackendNotReady},
		"it may have run, and must not run twice": {func(dispatcher *Dispatcher, req *Request, backend *Backend) {
			req.Class.Effect = NonIdempotent
			addAttempt(req, backend, ConnectionLost, dispatcher.runtime.Now())
		}, MayHaveRun, MayHaveRun},
		"it may have run, too long ago": {func(dispatcher *Dispatcher, req *Request, backend *Backend) {
			req.Class.Effect, req.Class.DedupWindow = Deduplicated, time.Second
			addAttempt(req, backend, ConnectionLost, dispatcher.runtime.Now()-time.Second)
		}, RepeatWindowClosed, RepeatWindowClosed},
		"it may have run in another group": {func(dispatcher *Dispatcher, req *Request, backend *Backend) {
			req.Class.Effect, req.Class.DedupWindow, req.Class.DedupScope = Deduplicated, time.Minute, SameRack
			addAttempt(req, &Backend{Role: RoleDecode, Rack: backend.Rack + 1}, ConnectionLost, dispatcher.runtime.Now())
		}, OtherGroup, OtherGroup},
		"the backend restarted meanwhile": {func(dispatcher *Dispatcher, _ *Request, backend *Backend) {
			backend.StartReported, backend.StartedAt = true, dispatcher.runtime.Now()
			backend.SentWork.Add(dispatcher.runtime.Now(), 1e9)
		}, SlowStartSpent, SlowStartSpent},
	} {
		dispatcher, _ := newDispatcher(t)
		backend, req := dispatcher.backends[2], newRequest(dispatcher)
		tc.prepare(dispatcher, req, backend)
		if got := dispatcher.mayChoose(req, backend); got != tc.choice {
			t.Errorf("%s: the choice is %v, wanted %v", name, got, tc.choice)
		}
		attempt := &Attempt{Request: req, Backend: backend, Number: len(req.Attempts), SentAt: dispatcher.runtime.Now()}
		if got := dispatcher.MaySend(attempt); got != tc.beforeSend {
			t.Errorf("%s: before the first byte it is %v, wanted %v", name, got, tc.beforeSend)
		}
	}
}

// An attempt that was counted towards the slow-start budget when it was chosen is not checked against it
// again.
func TestAttemptIsCheckedAgainstSlowStartOnce(t *testing.T) {
	d, _ := newDispatcher(t)
	backend := d.backends[2]
	backend.StartReported, backend.StartedAt = true, d.runtime.Now()
	backend.SentWork.Add(d.runtime.Now(), 1e9)
	if got := d.MaySend(&Attempt{Request: newRequest(d), Backend: backend, SlowStart: true}); got != Allowed {
		t.Errorf("%v", got)
	}
}

// A request may be rejected, which tells the client that a retry is harmless, only where that is true.
func TestRejectionOnlyWhereARetryIsHarmless(t *testing.T) {
	for name, tc := range map[string]struct {
		effect  Effect
		scope   DedupScope
		outcome Outcome
		want    Permission
	}{
		"idempotent, may have run":                  {Idempotent, WholeFleet, ConnectionLost, Allowed},
		"deduplicated everywhere, may have run":     {Deduplicated, WholeFleet, TimedOut, Allowed},
		"deduplicated in a zone, may have run":      {Deduplicated, SameZone, TimedOut, MayHaveRun},
		"non-idempotent, may have run":              {NonIdempotent, WholeFleet, Cancelled, MayHaveRun},
		"non-idempotent, a rejection by a backend":  {NonIdempotent, WholeFleet, Rejected, Allowed},
		"non-idempotent, never reached its backend": {NonIdempotent, WholeFleet, Unreachable, Allowed},
		"non-idempotent, not sent":                  {NonIdempotent, WholeFleet, NotSent, Allowed},
	} {
		d, _ := newDispatcher(t)
		req := newRequest(d)
		req.Class.Effect, req.Class.DedupScope = tc.effect, tc.scope
		addAttempt(req, d.backends[2], tc.outcome, d.runtime.Now())
		if got := MayReject(req); got != tc.want {
			t.Errorf("%s: %v, wanted %v", name, got, tc.want)
		}
	}
}

func TestEachPermissionHasAName(t *testing.T) {
	for v := Allowed; v <= KVReleaseDue; v++ {
		if strings.HasPrefix(v.String(), "permission") {
			t.Errorf("permission %d has no name", v)
		}
	}
	if !strings.HasPrefix((KVReleaseDue + 1).String(), "permission") {
		t.Error("a value that is no permission has a name")
	}
}
