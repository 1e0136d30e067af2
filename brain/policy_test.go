package brain

import (
	"strings"
	"testing"
	"time"
)

// Each reason why an attempt may not be made, or not be sent any more, has its own permission; the choice and the check before the first
// byte agree wherever both look.
func TestEachReasonHasItsPermission(t *testing.T) {
	for name, c := range map[string]struct {
		change         func(d *Dispatcher, q *Request, h *Backend)
		choice, before Permission
	}{
		"nothing speaks against it": {func(*Dispatcher, *Request, *Backend) {}, Allowed, Allowed},
		"the request is over":       {func(_ *Dispatcher, q *Request, _ *Backend) { q.Finished = true }, RequestFinished, RequestFinished},
		"the stop has begun":        {func(_ *Dispatcher, q *Request, _ *Backend) { q.NoMoreAttempts = true }, NoFurtherAttempt, Allowed},
		"its time is up":            {func(d *Dispatcher, q *Request, _ *Backend) { q.Deadline = d.runtime.Now() }, DeadlinePassed, DeadlinePassed},
		"the backend drains":        {func(_ *Dispatcher, _ *Request, h *Backend) { h.State = Draining }, BackendNotReady, BackendNotReady},
		"it may have run, and must not run twice": {func(d *Dispatcher, q *Request, h *Backend) {
			q.Class.Effect = NonIdempotent
			addAttempt(q, h, ConnectionLost, d.runtime.Now())
		}, MayHaveRun, MayHaveRun},
		"it may have run, too long ago": {func(d *Dispatcher, q *Request, h *Backend) {
			q.Class.Effect, q.Class.DedupWindow = Deduplicated, time.Second
			addAttempt(q, h, ConnectionLost, d.runtime.Now()-time.Second)
		}, RepeatWindowClosed, RepeatWindowClosed},
		"it may have run elsewhere": {func(d *Dispatcher, q *Request, h *Backend) {
			q.Class.Effect, q.Class.DedupWindow, q.Class.DedupScope = Deduplicated, time.Minute, SameRack
			addAttempt(q, &Backend{Role: RoleDecode, Rack: h.Rack + 1}, ConnectionLost, d.runtime.Now())
		}, OtherGroup, OtherGroup},
		"the backend started anew meanwhile": {func(d *Dispatcher, _ *Request, h *Backend) {
			h.StartReported, h.StartedAt = true, d.runtime.Now()
			h.SentWork.Add(d.runtime.Now(), 1e9)
		}, SlowStartSpent, SlowStartSpent},
	} {
		d, _ := newDispatcher(t)
		h, q := d.backends[2], newRequest(d)
		c.change(d, q, h)
		if got := d.mayChoose(q, h); got != c.choice {
			t.Errorf("%s: the choice is %v, wanted %v", name, got, c.choice)
		}
		trip := &Attempt{Request: q, Backend: h, Number: len(q.Attempts), SentAt: d.runtime.Now()}
		if got := d.MaySend(trip); got != c.before {
			t.Errorf("%s: before the first byte it is %v, wanted %v", name, got, c.before)
		}
	}
}

// An attempt that was counted against the slow-start budget when it was chosen is not held to it a second time.
func TestAttemptIsCheckedAgainstSlowStartOnce(t *testing.T) {
	d, _ := newDispatcher(t)
	h := d.backends[2]
	h.StartReported, h.StartedAt = true, d.runtime.Now()
	h.SentWork.Add(d.runtime.Now(), 1e9)
	if got := d.MaySend(&Attempt{Request: newRequest(d), Backend: h, SlowStart: true}); got != Allowed {
		t.Errorf("%v", got)
	}
}

// A request may be rejected, with the promise that trying again is harmless, only where that holds.
func TestRejectionOnlyWhereARetryIsHarmless(t *testing.T) {
	for name, c := range map[string]struct {
		effect  Effect
		reach   DedupScope
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
		q := newRequest(d)
		q.Class.Effect, q.Class.DedupScope = c.effect, c.reach
		addAttempt(q, d.backends[2], c.outcome, d.runtime.Now())
		if got := MayReject(q); got != c.want {
			t.Errorf("%s: %v, wanted %v", name, got, c.want)
		}
	}
}

func TestEachPermissionHasAName(t *testing.T) {
	for v := Allowed; v <= KVReleaseDue; v++ {
		if strings.HasPrefix(v.String(), "permission") {
			t.Errorf("%d has none", v)
		}
	}
	if !strings.HasPrefix((KVReleaseDue + 1).String(), "permission") {
		t.Error("a name stands for no permission")
	}
}
