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
			m := newAttemptInFlight(Idempotent).endAttempt(NeverRan)
			m.ClientGone("q1")
			m.now += 101 * ms
			m.AttemptBegins("q1", "w1", 1, true, time.Second)
			return m
		}},
		"an attempt just after its client has gone": {Lost, false, func() *testMonitor {
			m := newAttemptInFlight(Idempotent).endAttempt(NeverRan)
			m.ClientGone("q1")
			m.now += 99 * ms
			m.AttemptBegins("q1", "w1", 1, true, time.Second)
			return m
		}},
		"an attempt after the response": {Lost, true, func() *testMonitor {
			m := newAttemptInFlight(Idempotent).endAttempt(NeverRan)
			m.Answered("q1", 502, false, nil)
			m.AttemptBegins("q1", "w1", 1, true, time.Second)
			return m
		}},
		"two responses": {Lost, true, func() *testMonitor {
			m := newAttemptInFlight(Idempotent).endAttempt(NeverRan)
			m.Answered("q1", 502, false, nil)
			m.Answered("q1", 502, false, nil)
			return m
		}},
		"no response": {Lost, true, func() *testMonitor {
			m := newAttemptInFlight(Idempotent).endAttempt(NeverRan)
			m.RequestClosed("q1", "returned")
			return m
		}},
		"no response, but the client has gone": {Lost, false, func() *testMonitor {
			m := newAttemptInFlight(Idempotent).endAttempt(NeverRan)
			m.ClientGone("q1")
			m.RequestClosed("q1", "returned")
			return m
		}},
		"two attempts in flight": {Duplicate, true, func() *testMonitor {
			m := newAttemptInFlight(Idempotent)
			m.AttemptBegins("q1", "w2", 1, true, time.Second)
			return m
		}},
		"a second run": {Duplicate, true, func() *testMonitor {
			m := newAttemptInFlight(NonIdempotent).endAttempt(MayHaveRun)
			m.AttemptBegins("q1", "w2", 1, true, time.Second)
			return m
		}},
		"a second run of an idempotent request": {Duplicate, false, func() *testMonitor {
			m := newAttemptInFlight(Idempotent).endAttempt(MayHaveRun)
			m.AttemptBegins("q1", "w2", 1, true, time.Second)
			return m
		}},
		"a rejection after an attempt that may have run": {Duplicate, true, func() *testMonitor {
			m := newAttemptInFlight(NonIdempotent).endAttempt(MayHaveRun)
			m.Answered("q1", 503, true, nil)
			return m
		}},
		"a rejection with an attempt in flight": {Duplicate, true, func() *testMonitor {
			m := newAttemptInFlight(NonIdempotent)
			m.Answered("q1", 503, true, nil)
			return m
		}},
		"a rejection after an attempt that never ran": {Duplicate, false, func() *testMonitor {
			m := newAttemptInFlight(NonIdempotent).endAttempt(NeverRan)
			m.Answered("q1", 503, true, nil)
			return m
		}},
		"an attempt at a draining backend": {Drain, true, func() *testMonitor {
			m := newTestMonitor()
			m.BackendChanged("w1", false)
			m.now += 251 * ms
			m.AttemptBegins("q1", "w1", 0, true, time.Second)
			return m
		}},
		"an attempt at a backend that is ready again": {Drain, false, func() *testMonitor {
			m := newTestMonitor()
			m.BackendChanged("w1", false)
			m.now += time.Second
			m.BackendChanged("w1", true)
			m.AttemptBegins("q1", "w1", 0, true, time.Second)
			return m
		}},
		"a KV cache that waits too long": {CacheWait, true, func() *testMonitor {
			m := newAttemptInFlight(Idempotent).endAttempt(CacheHeld)
			m.now += 801 * ms
			m.CacheReleased("q1", "released")
			return m
		}},
		"a KV cache that waits too long for an attempt": {CacheWait, true, func() *testMonitor {
			m := newAttemptInFlight(Idempotent).endAttempt(CacheHeld)
			m.now += 801 * ms
			m.AttemptBegins("q1", "w2", 1, true, time.Second)
			m.AttemptSent("q1", 1, true)
			m.AttemptArrived("q1", 1)
			return m
		}},
		"an attempt that does not arrive": {CacheWait, true, func() *testMonitor {
			m := newAttemptInFlight(Idempotent).endAttempt(CacheHeld)
			m.AttemptBegins("q1", "w2", 1, true, time.Second)
			m.AttemptSent("q1", 1, true)
			m.now += 801 * ms
			m.CacheReleased("q1", "released")
			return m
		}},
		"an attempt that does not arrive, and a release in time": {CacheWait, false, func() *testMonitor {
			m := newAttemptInFlight(Idempotent).endAttempt(CacheHeld)
			m.AttemptBegins("q1", "w2", 1, true, time.Second)
			m.AttemptSent("q1", 1, true)
			m.now += 799 * ms
			m.CacheReleased("q1", "released")
			m.now += time.Minute
			m.CacheReleased("q1", "released")
			return m
		}},
		"a KV cache that is taken in time": {CacheWait, false, func() *testMonitor {
			m := newAttemptInFlight(Idempotent).endAttempt(CacheHeld)
			m.now += 799 * ms
			m.AttemptBegins("q1", "w2", 1, true, time.Second)
			m.AttemptSent("q1", 1, true)
			m.AttemptArrived("q1", 1)
			m.now += time.Minute
			m.CacheReleased("q1", "taken")
			return m
		}},
		"a timeout beyond the deadline": {Deadline, true, func() *testMonitor {
			m := newTestMonitor()
			m.RequestAccepted("q1", Idempotent, time.Second)
			m.now += 500 * ms
			m.AttemptBegins("q1", "w1", 0, true, 651*ms)
			return m
		}},
		"a timeout within the deadline": {Deadline, false, func() *testMonitor {
			m := newTestMonitor()
			m.RequestAccepted("q1", Idempotent, time.Second)
			m.now += 500 * ms
			m.AttemptBegins("q1", "w1", 0, true, 649*ms)
			return m
		}},
	} {
		m := test.do()
		if broken := m.Count(test.rule) > 0; broken != test.breaks {
			t.Errorf("%s: a violation of %v is counted: %t", name, test.rule, broken)
		}
		if test.breaks && (!strings.Contains(m.log.String(), "rule="+test.rule.String()) ||
			!strings.Contains(m.log.String(), "begins at")) {
			t.Errorf("%s: the log lacks the request's events: %s", name, m.log.String())
		}
		if !test.breaks && m.Counts() != "" {
			t.Errorf("%s: %s", name, m.Counts())
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
