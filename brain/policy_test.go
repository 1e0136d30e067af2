package brain

import (
	"strings"
	"testing"
	"time"
)

// Each reason why an attempt may not be made, or may no longer be sent, has its own permission. The choice and
// the check before the first byte agree wherever both look.
func TestEachReasonHasItsPermission(t *testing.T) {
	for name, c := range map[string]struct {
		change         func(d *Dispatcher, q *Request, h *Backend)
		choice, before Permission
	}{
		"nothing speaks against it": {func(*Dispatcher, *Request, *Backend) {}, Allowed, Allowed},
		"the request is over":       {func(_ *Dispatcher, q *Request, _ *Backend) { q.Over = true }, RequestOver, RequestOver},
		"the stop has begun":        {func(_ *Dispatcher, q *Request, _ *Backend) { q.Last = true }, NoFurtherAttempt, Allowed},
		"its time is up":            {func(d *Dispatcher, q *Request, _ *Backend) { q.Deadline = d.runtime.Now() }, DeadlinePassed, DeadlinePassed},
		"the backend drains":        {func(_ *Dispatcher, _ *Request, h *Backend) { h.Standing = Draining }, BackendNotReady, BackendNotReady},
		"it may have run, and must not run twice": {func(d *Dispatcher, q *Request, h *Backend) {
			q.Class.Effect = Unrepeatable
			went(q, h, Broken, d.runtime.Now())
		}, MayHaveRun, MayHaveRun},
		"it may have run, too long ago": {func(d *Dispatcher, q *Request, h *Backend) {
			q.Class.Effect, q.Class.Window = Deduplicated, time.Second
			went(q, h, Broken, d.runtime.Now()-time.Second)
		}, RepeatWindowClosed, RepeatWindowClosed},
		"it may have run elsewhere": {func(d *Dispatcher, q *Request, h *Backend) {
			q.Class.Effect, q.Class.Window, q.Class.Reach = Deduplicated, time.Minute, SameRack
			went(q, &Backend{Role: Writes, Rack: h.Rack + 1}, Broken, d.runtime.Now())
		}, OtherGroup, OtherGroup},
		"the backend started anew meanwhile": {func(d *Dispatcher, _ *Request, h *Backend) {
			h.Restart, h.Booted = true, d.runtime.Now()
			h.Sent.Add(d.runtime.Now(), 1e9)
		}, SlowStartSpent, SlowStartSpent},
	} {
		d, _ := begin(t)
		h, q := d.backends[2], ask(d)
		c.change(d, q, h)
		if got := d.mayChoose(q, h); got != c.choice {
			t.Errorf("%s: the choice is %v, wanted %v", name, got, c.choice)
		}
		trip := &Attempt{Request: q, Backend: h, Number: len(q.Attempts), Sent: d.runtime.Now()}
		if got := d.MaySend(trip); got != c.before {
			t.Errorf("%s: before the first byte it is %v, wanted %v", name, got, c.before)
		}
	}
}

// An attempt that was counted towards the slow-start budget when it was chosen is not checked against it
// again.
func TestAnAttemptIsHeldToSlowStartOnce(t *testing.T) {
	d, _ := begin(t)
	h := d.backends[2]
	h.Restart, h.Booted = true, d.runtime.Now()
	h.Sent.Add(d.runtime.Now(), 1e9)
	if got := d.MaySend(&Attempt{Request: ask(d), Backend: h, SlowStart: true}); got != Allowed {
		t.Errorf("%v", got)
	}
}

// A request may be rejected, which tells the client that a retry is harmless, only where that is true.
func TestARejectionKeepsItsPromise(t *testing.T) {
	for name, c := range map[string]struct {
		effect  Effect
		reach   Reach
		outcome Outcome
		want    Permission
	}{
		"idempotent, may have run":                  {Idempotent, Everywhere, Broken, Allowed},
		"deduplicated everywhere, may have run":     {Deduplicated, Everywhere, TimedOut, Allowed},
		"deduplicated in a zone, may have run":      {Deduplicated, SameZone, TimedOut, MayHaveRun},
		"non-idempotent, may have run":              {Unrepeatable, Everywhere, Cancelled, MayHaveRun},
		"non-idempotent, a rejection by a backend":  {Unrepeatable, Everywhere, Rejected, Allowed},
		"non-idempotent, never reached its backend": {Unrepeatable, Everywhere, Unreachable, Allowed},
		"non-idempotent, not sent":                  {Unrepeatable, Everywhere, NotSent, Allowed},
	} {
		d, _ := begin(t)
		q := ask(d)
		q.Class.Effect, q.Class.Reach = c.effect, c.reach
		went(q, d.backends[2], c.outcome, d.runtime.Now())
		if got := MayReject(q); got != c.want {
			t.Errorf("%s: %v, wanted %v", name, got, c.want)
		}
	}
}

func TestEachPermissionHasAName(t *testing.T) {
	for v := Allowed; v <= StateDue; v++ {
		if strings.HasPrefix(v.String(), "permission") {
			t.Errorf("%d has none", v)
		}
	}
	if !strings.HasPrefix((StateDue + 1).String(), "permission") {
		t.Error("a name stands for no permission")
	}
}
