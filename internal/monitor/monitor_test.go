package monitor

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// testMonitor is a monitor with a clock of its own and a captured log.
type testMonitor struct {
	*Monitor
	now time.Duration
	log bytes.Buffer
}

// newTestMonitor returns a monitor without requests.
func newTestMonitor() *testMonitor {
	w := &testMonitor{now: time.Second}
	terms := Bounds{
		ClientGoneGrace: 100 * time.Millisecond, DrainGrace: 250 * time.Millisecond, MaxCacheWait: 800 * time.Millisecond,
		TimeoutSlack: 150 * time.Millisecond,
	}
	w.Monitor = New(terms, func() time.Duration { return w.now }, slog.New(slog.NewTextHandler(&w.log, nil)))
	return w
}

// newAttemptInFlight returns a monitor with a request that has four seconds left and whose first attempt is in flight
// at w1.
func newAttemptInFlight(class Class) *testMonitor {
	w := newTestMonitor()
	w.RequestAccepted("q1", class, 4*time.Second)
	w.AttemptBegins("q1", "w1", 0, true, 4*time.Second)
	w.AttemptSent("q1", 0, true)
	return w
}

// endAttempt records the end of the first attempt.
func (w *testMonitor) endAttempt(end AttemptEnd) *testMonitor {
	w.AttemptEnds("q1", 0, true, end, "ended")
	return w
}

// Each way to break a rule is counted and logged, and the nearest permitted case is not.
func TestViolationsAreCounted(t *testing.T) {
	const ms = time.Millisecond
	for name, test := range map[string]struct {
		rule   Rule
		breaks bool
		do     func() *testMonitor
	}{
		"an attempt long after its client has gone": {Lost, true, func() *testMonitor {
			w := newAttemptInFlight(Idempotent).endAttempt(NeverRan)
			w.ClientGone("q1")
			w.now += 101 * ms
			w.AttemptBegins("q1", "w1", 1, true, time.Second)
			return w
		}},
		"an attempt just after its client has gone": {Lost, false, func() *testMonitor {
			w := newAttemptInFlight(Idempotent).endAttempt(NeverRan)
			w.ClientGone("q1")
			w.now += 99 * ms
			w.AttemptBegins("q1", "w1", 1, true, time.Second)
			return w
		}},
		"an attempt after the response": {Lost, true, func() *testMonitor {
			w := newAttemptInFlight(Idempotent).endAttempt(NeverRan)
			w.Answered("q1", 502, false, nil)
			w.AttemptBegins("q1", "w1", 1, true, time.Second)
			return w
		}},
		"two responses": {Lost, true, func() *testMonitor {
			w := newAttemptInFlight(Idempotent).endAttempt(NeverRan)
			w.Answered("q1", 502, false, nil)
			w.Answered("q1", 502, false, nil)
			return w
		}},
		"no response": {Lost, true, func() *testMonitor {
			w := newAttemptInFlight(Idempotent).endAttempt(NeverRan)
			w.RequestClosed("q1", "returned")
			return w
		}},
		"no response, but the client has gone": {Lost, false, func() *testMonitor {
			w := newAttemptInFlight(Idempotent).endAttempt(NeverRan)
			w.ClientGone("q1")
			w.RequestClosed("q1", "returned")
			return w
		}},
		"two attempts in flight": {Duplicate, true, func() *testMonitor {
			w := newAttemptInFlight(Idempotent)
			w.AttemptBegins("q1", "w2", 1, true, time.Second)
			return w
		}},
		"a second run": {Duplicate, true, func() *testMonitor {
			w := newAttemptInFlight(NonIdempotent).endAttempt(MayHaveRun)
			w.AttemptBegins("q1", "w2", 1, true, time.Second)
			return w
		}},
		"a second run of an idempotent request": {Duplicate, false, func() *testMonitor {
			w := newAttemptInFlight(Idempotent).endAttempt(MayHaveRun)
			w.AttemptBegins("q1", "w2", 1, true, time.Second)
			return w
		}},
		"a rejection after an attempt that may have run": {Duplicate, true, func() *testMonitor {
			w := newAttemptInFlight(NonIdempotent).endAttempt(MayHaveRun)
			w.Answered("q1", 503, true, nil)
			return w
		}},
		"a rejection with an attempt in flight": {Duplicate, true, func() *testMonitor {
			w := newAttemptInFlight(NonIdempotent)
			w.Answered("q1", 503, true, nil)
			return w
		}},
		"a rejection after an attempt that never ran": {Duplicate, false, func() *testMonitor {
			w := newAttemptInFlight(NonIdempotent).endAttempt(NeverRan)
			w.Answered("q1", 503, true, nil)
			return w
		}},
		"an attempt at a draining backend": {Drain, true, func() *testMonitor {
			w := newTestMonitor()
			w.BackendChanged("w1", false)
			w.now += 251 * ms
			w.AttemptBegins("q1", "w1", 0, true, time.Second)
			return w
		}},
		"an attempt at a backend that is ready again": {Drain, false, func() *testMonitor {
			w := newTestMonitor()
			w.BackendChanged("w1", false)
			w.now += time.Second
			w.BackendChanged("w1", true)
			w.AttemptBegins("q1", "w1", 0, true, time.Second)
			return w
		}},
		"a KV cache that waits too long": {CacheWait, true, func() *testMonitor {
			w := newAttemptInFlight(Idempotent).endAttempt(CacheHeld)
			w.now += 801 * ms
			w.CacheReleased("q1", "released")
			return w
		}},
		"a KV cache that waits too long for an attempt": {CacheWait, true, func() *testMonitor {
			w := newAttemptInFlight(Idempotent).endAttempt(CacheHeld)
			w.now += 801 * ms
			w.AttemptBegins("q1", "w2", 1, true, time.Second)
			w.AttemptSent("q1", 1, true)
			w.AttemptArrived("q1", 1)
			return w
		}},
		"an attempt that does not arrive": {CacheWait, true, func() *testMonitor {
			w := newAttemptInFlight(Idempotent).endAttempt(CacheHeld)
			w.AttemptBegins("q1", "w2", 1, true, time.Second)
			w.AttemptSent("q1", 1, true)
			w.now += 801 * ms
			w.CacheReleased("q1", "released")
			return w
		}},
		"an attempt that does not arrive, and a release in time": {CacheWait, false, func() *testMonitor {
			w := newAttemptInFlight(Idempotent).endAttempt(CacheHeld)
			w.AttemptBegins("q1", "w2", 1, true, time.Second)
			w.AttemptSent("q1", 1, true)
			w.now += 799 * ms
			w.CacheReleased("q1", "released")
			w.now += time.Minute
			w.CacheReleased("q1", "released")
			return w
		}},
		"a KV cache that is taken in time": {CacheWait, false, func() *testMonitor {
			w := newAttemptInFlight(Idempotent).endAttempt(CacheHeld)
			w.now += 799 * ms
			w.AttemptBegins("q1", "w2", 1, true, time.Second)
			w.AttemptSent("q1", 1, true)
			w.AttemptArrived("q1", 1)
			w.now += time.Minute
			w.CacheReleased("q1", "taken")
			return w
		}},
		"a timeout beyond the deadline": {Deadline, true, func() *testMonitor {
			w := newTestMonitor()
			w.RequestAccepted("q1", Idempotent, time.Second)
			w.now += 500 * ms
			w.AttemptBegins("q1", "w1", 0, true, 651*ms)
			return w
		}},
		"a timeout within the deadline": {Deadline, false, func() *testMonitor {
			w := newTestMonitor()
			w.RequestAccepted("q1", Idempotent, time.Second)
			w.now += 500 * ms
			w.AttemptBegins("q1", "w1", 0, true, 649*ms)
			return w
		}},
	} {
		w := test.do()
		if broken := w.Count(test.rule) > 0; broken != test.breaks {
			t.Errorf("%s: a violation of %v is counted: %t", name, test.rule, broken)
		}
		if test.breaks && (!strings.Contains(w.log.String(), "rule="+test.rule.String()) ||
			!strings.Contains(w.log.String(), "begins at")) {
			t.Errorf("%s: the log lacks the request's events: %s", name, w.log.String())
		}
		if !test.breaks && w.Counts() != "" {
			t.Errorf("%s: %s", name, w.Counts())
		}
	}
}

// Requests that have ended are dropped, so that a monitor does not grow without bound.
func TestEndedRequestsAreDropped(t *testing.T) {
	w := newTestMonitor()
	for i := range 3 * maxRequests {
		id := strings.Repeat("q", i%7+1) + string(rune('a'+i%26)) + time.Duration(i).String()
		w.RequestAccepted(id, Idempotent, time.Second)
		w.Answered(id, 503, true, nil)
		w.now += time.Millisecond
	}
	if n := len(w.requests); n > maxRequests {
		t.Errorf("%d requests are tracked", n)
	}
}

func BenchmarkOneRequest(b *testing.B) {
	w := newTestMonitor()
	for b.Loop() {
		w.RequestAccepted("q1", NonIdempotent, time.Second)
		w.AttemptBegins("q1", "w1", 0, true, time.Second)
		w.AttemptSent("q1", 0, true)
		w.AttemptEnds("q1", 0, true, MayHaveRun, "answered")
		w.Answered("q1", 200, false, nil)
		w.RequestClosed("q1", "served")
		w.now += time.Millisecond
	}
}
