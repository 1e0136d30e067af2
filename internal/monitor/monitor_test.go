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
	m := &testMonitor{now: time.Second}
	terms := Bounds{
		ClientGoneGrace: 100 * time.Millisecond, DrainGrace: 250 * time.Millisecond, MaxCacheWait: 800 * time.Millisecond,
		TimeoutSlack: 150 * time.Millisecond,
	}
	m.Monitor = New(terms, func() time.Duration { return m.now }, slog.New(slog.NewTextHandler(&m.log, nil)))
	return m
}

// newAttemptInFlight returns a monitor with a request that has four seconds left and whose first attempt is in flight
// at w1.
func newAttemptInFlight(class Class) *testMonitor {
	m := newTestMonitor()
	m.RequestAccepted("q1", class, 4*time.Second)
	m.AttemptBegins("q1", "w1", 0, true, 4*time.Second)
	m.AttemptSent("q1", 0, true)
	return m
}

// endAttempt records the end of the first attempt.
func (m *testMonitor) endAttempt(end AttemptEnd) *testMonitor {
	m.AttemptEnds("q1", 0, true, end, "ended")
	return m
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
			monitored := newAttemptInFlight(Idempotent).endAttempt(NeverRan)
			monitored.ClientGone("q1")
			monitored.now += 101 * ms
			monitored.AttemptBegins("q1", "w1", 1, true, time.Second)
			return monitored
		}},
		"an attempt just after its client has gone": {Lost, false, func() *testMonitor {
			monitored := newAttemptInFlight(Idempotent).endAttempt(NeverRan)
			monitored.ClientGone("q1")
			monitored.now += 99 * ms
			monitored.AttemptBegins("q1", "w1", 1, true, time.Second)
			return monitored
		}},
		"an attempt after the response": {Lost, true, func() *testMonitor {
			monitored := newAttemptInFlight(Idempotent).endAttempt(NeverRan)
			monitored.Answered("q1", 502, false, nil)
			monitored.AttemptBegins("q1", "w1", 1, true, time.Second)
			return monitored
		}},
		"two responses": {Lost, true, func() *testMonitor {
			monitored := newAttemptInFlight(Idempotent).endAttempt(NeverRan)
			monitored.Answered("q1", 502, false, nil)
			monitored.Answered("q1", 502, false, nil)
			return monitored
		}},
		"no response": {Lost, true, func() *testMonitor {
			monitored := newAttemptInFlight(Idempotent).endAttempt(NeverRan)
			monitored.RequestClosed("q1", "returned")
			return monitored
		}},
		"no response, but the client has gone": {Lost, false, func() *testMonitor {
			monitored := newAttemptInFlight(Idempotent).endAttempt(NeverRan)
			monitored.ClientGone("q1")
			monitored.RequestClosed("q1", "returned")
			return monitored
		}},
		"two attempts in flight": {Duplicate, true, func() *testMonitor {
			monitored := newAttemptInFlight(Idempotent)
			monitored.AttemptBegins("q1", "w2", 1, true, time.Second)
			return monitored
		}},
		"a second run": {Duplicate, true, func() *testMonitor {
			monitored := newAttemptInFlight(NonIdempotent).endAttempt(MayHaveRun)
			monitored.AttemptBegins("q1", "w2", 1, true, time.Second)
			return monitored
		}},
		"a second run of an idempotent request": {Duplicate, false, func() *testMonitor {
			monitored := newAttemptInFlight(Idempotent).endAttempt(MayHaveRun)
			monitored.AttemptBegins("q1", "w2", 1, true, time.Second)
			return monitored
		}},
		"a rejection after an attempt that may have run": {Duplicate, true, func() *testMonitor {
			monitored := newAttemptInFlight(NonIdempotent).endAttempt(MayHaveRun)
			monitored.Answered("q1", 503, true, nil)
			return monitored
		}},
		"a rejection with an attempt in flight": {Duplicate, true, func() *testMonitor {
			monitored := newAttemptInFlight(NonIdempotent)
			monitored.Answered("q1", 503, true, nil)
			return monitored
		}},
		"a rejection after an attempt that never ran": {Duplicate, false, func() *testMonitor {
			monitored := newAttemptInFlight(NonIdempotent).endAttempt(NeverRan)
			monitored.Answered("q1", 503, true, nil)
			return monitored
		}},
		"an attempt at a draining backend": {Drain, true, func() *testMonitor {
			monitored := newTestMonitor()
			monitored.BackendChanged("w1", false)
			monitored.now += 251 * ms
			monitored.AttemptBegins("q1", "w1", 0, true, time.Second)
			return monitored
		}},
		"an attempt at a backend that is ready again": {Drain, false, func() *testMonitor {
			monitored := newTestMonitor()
			monitored.BackendChanged("w1", false)
			monitored.now += time.Second
			monitored.BackendChanged("w1", true)
			monitored.AttemptBegins("q1", "w1", 0, true, time.Second)
			return monitored
		}},
		"a KV cache that waits too long": {CacheWait, true, func() *testMonitor {
			monitored := newAttemptInFlight(Idempotent).endAttempt(CacheHeld)
			monitored.now += 801 * ms
			monitored.CacheReleased("q1", "released")
			return monitored
		}},
		"a KV cache that waits too long for an attempt": {CacheWait, true, func() *testMonitor {
			monitored := newAttemptInFlight(Idempotent).endAttempt(CacheHeld)
			monitored.now += 801 * ms
			monitored.AttemptBegins("q1", "w2", 1, true, time.Second)
			monitored.AttemptSent("q1", 1, true)
			monitored.AttemptArrived("q1", 1)
			return monitored
		}},
		"an attempt that does not arrive": {CacheWait, true, func() *testMonitor {
			monitored := newAttemptInFlight(Idempotent).endAttempt(CacheHeld)
			monitored.AttemptBegins("q1", "w2", 1, true, time.Second)
			monitored.AttemptSent("q1", 1, true)
			monitored.now += 801 * ms
			monitored.CacheReleased("q1", "released")
			return monitored
		}},
		"an attempt that does not arrive, and a release in time": {CacheWait, false, func() *testMonitor {
			monitored := newAttemptInFlight(Idempotent).endAttempt(CacheHeld)
			monitored.AttemptBegins("q1", "w2", 1, true, time.Second)
			monitored.AttemptSent("q1", 1, true)
			monitored.now += 799 * ms
			monitored.CacheReleased("q1", "released")
			monitored.now += time.Minute
			monitored.CacheReleased("q1", "released")
			return monitored
		}},
		"a KV cache that is taken in time": {CacheWait, false, func() *testMonitor {
			monitored := newAttemptInFlight(Idempotent).endAttempt(CacheHeld)
			monitored.now += 799 * ms
			monitored.AttemptBegins("q1", "w2", 1, true, time.Second)
			monitored.AttemptSent("q1", 1, true)
			monitored.AttemptArrived("q1", 1)
			monitored.now += time.Minute
			monitored.CacheReleased("q1", "taken")
			return monitored
		}},
		"a timeout beyond the deadline": {Deadline, true, func() *testMonitor {
			monitored := newTestMonitor()
			monitored.RequestAccepted("q1", Idempotent, time.Second)
			monitored.now += 500 * ms
			monitored.AttemptBegins("q1", "w1", 0, true, 651*ms)
			return monitored
		}},
		"a timeout within the deadline": {Deadline, false, func() *testMonitor {
			monitored := newTestMonitor()
			monitored.RequestAccepted("q1", Idempotent, time.Second)
			monitored.now += 500 * ms
			monitored.AttemptBegins("q1", "w1", 0, true, 649*ms)
			return monitored
		}},
	} {
		monitored := test.do()
		if broken := monitored.Count(test.rule) > 0; broken != test.breaks {
			t.Errorf("%s: a violation of %v is counted: %t", name, test.rule, broken)
		}
		if test.breaks && (!strings.Contains(monitored.log.String(), "rule="+test.rule.String()) ||
			!strings.Contains(monitored.log.String(), "begins at")) {
			t.Errorf("%s: the log lacks the request's events: %s", name, monitored.log.String())
		}
		if !test.breaks && monitored.Counts() != "" {
			t.Errorf("%s: %s", name, monitored.Counts())
		}
	}
}

// Requests that have ended are dropped, so that a monitor does not grow without bound.
func TestEndedRequestsAreDropped(t *testing.T) {
	m := newTestMonitor()
	for i := range 3 * maxRequests {
		id := strings.Repeat("q", i%7+1) + string(rune('a'+i%26)) + time.Duration(i).String()
		m.RequestAccepted(id, Idempotent, time.Second)
		m.Answered(id, 503, true, nil)
		m.now += time.Millisecond
	}
	if n := len(m.requests); n > maxRequests {
		t.Errorf("%d requests are tracked", n)
	}
}

func BenchmarkOneRequest(b *testing.B) {
	m := newTestMonitor()
	for b.Loop() {
		m.RequestAccepted("q1", NonIdempotent, time.Second)
		m.AttemptBegins("q1", "w1", 0, true, time.Second)
		m.AttemptSent("q1", 0, true)
		m.AttemptEnds("q1", 0, true, MayHaveRun, "answered")
		m.Answered("q1", 200, false, nil)
		m.RequestClosed("q1", "served")
		m.now += time.Millisecond
	}
}
