package monitor

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// watched is a monitor with a clock of its own and its log.
type testMonitor struct {
	*Monitor
	now time.Duration
	log bytes.Buffer
}

func newTestMonitor() *testMonitor {
	w := &testMonitor{now: time.Second}
	terms := Bounds{ClientGoneGrace: 100 * time.Millisecond, DrainGrace: 250 * time.Millisecond, MaxCacheWait: 800 * time.Millisecond, TimeoutSlack: 150 * time.Millisecond}
	w.Monitor = New(terms, func() time.Duration { return w.now }, slog.New(slog.NewTextHandler(&w.log, nil)))
	return w
}

// taken is one with a request of four seconds that is out at w1.
func newAttemptInFlight(class Class) *testMonitor {
	w := newTestMonitor()
	w.RequestAccepted("q1", class, 4*time.Second)
	w.AttemptBegins("q1", "w1", 0, true, 4*time.Second)
	w.AttemptSent("q1", 0, true)
	return w
}

func (w *testMonitor) endAttempt(end AttemptEnd) *testMonitor {
	w.AttemptEnds("q1", 0, true, end, "ended")
	return w
}

// Each way to break a rule is counted, and what is next to it is not.
func TestEachBrokenRuleIsCounted(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		rule   Rule
		breaks bool
		do     func() *testMonitor
	}{
		"an attempt long after its client went": {Lost, true, func() *testMonitor {
			w := newAttemptInFlight(Idempotent).endAttempt(NeverRan)
			w.ClientGone("q1")
			w.now += 101 * ms
			w.AttemptBegins("q1", "w1", 1, true, time.Second)
			return w
		}},
		"an attempt as its client goes": {Lost, false, func() *testMonitor {
			w := newAttemptInFlight(Idempotent).endAttempt(NeverRan)
			w.ClientGone("q1")
			w.now += 99 * ms
			w.AttemptBegins("q1", "w1", 1, true, time.Second)
			return w
		}},
		"an attempt after the answer": {Lost, true, func() *testMonitor {
			w := newAttemptInFlight(Idempotent).endAttempt(NeverRan)
			w.Answered("q1", 502, false, nil)
			w.AttemptBegins("q1", "w1", 1, true, time.Second)
			return w
		}},
		"two answers": {Lost, true, func() *testMonitor {
			w := newAttemptInFlight(Idempotent).endAttempt(NeverRan)
			w.Answered("q1", 502, false, nil)
			w.Answered("q1", 502, false, nil)
			return w
		}},
		"no answer": {Lost, true, func() *testMonitor {
			w := newAttemptInFlight(Idempotent).endAttempt(NeverRan)
			w.RequestClosed("q1", "returned")
			return w
		}},
		"no answer, but nobody waits for one": {Lost, false, func() *testMonitor {
			w := newAttemptInFlight(Idempotent).endAttempt(NeverRan)
			w.ClientGone("q1")
			w.RequestClosed("q1", "returned")
			return w
		}},
		"two attempts out": {Duplicate, true, func() *testMonitor {
			w := newAttemptInFlight(Idempotent)
			w.AttemptBegins("q1", "w2", 1, true, time.Second)
			return w
		}},
		"a second run": {Duplicate, true, func() *testMonitor {
			w := newAttemptInFlight(NonIdempotent).endAttempt(MayHaveRun)
			w.AttemptBegins("q1", "w2", 1, true, time.Second)
			return w
		}},
		"a second run of what is idempotent": {Duplicate, false, func() *testMonitor {
			w := newAttemptInFlight(Idempotent).endAttempt(MayHaveRun)
			w.AttemptBegins("q1", "w2", 1, true, time.Second)
			return w
		}},
		"a rejection after one that may have run": {Duplicate, true, func() *testMonitor {
			w := newAttemptInFlight(NonIdempotent).endAttempt(MayHaveRun)
			w.Answered("q1", 503, true, nil)
			return w
		}},
		"a rejection with one out": {Duplicate, true, func() *testMonitor {
			w := newAttemptInFlight(NonIdempotent)
			w.Answered("q1", 503, true, nil)
			return w
		}},
		"a rejection after one that never ran": {Duplicate, false, func() *testMonitor {
			w := newAttemptInFlight(NonIdempotent).endAttempt(NeverRan)
			w.Answered("q1", 503, true, nil)
			return w
		}},
		"an attempt to one that drains": {Drain, true, func() *testMonitor {
			w := newTestMonitor()
			w.BackendChanged("w1", false)
			w.now += 251 * ms
			w.AttemptBegins("q1", "w1", 0, true, time.Second)
			return w
		}},
		"an attempt to one that has come back": {Drain, false, func() *testMonitor {
			w := newTestMonitor()
			w.BackendChanged("w1", false)
			w.now += time.Second
			w.BackendChanged("w1", true)
			w.AttemptBegins("q1", "w1", 0, true, time.Second)
			return w
		}},
		"a state that waits": {CacheWait, true, func() *testMonitor {
			w := newAttemptInFlight(Idempotent).endAttempt(CacheHeld)
			w.now += 801 * ms
			w.CacheReleased("q1", "released")
			return w
		}},
		"a state that waits for a send": {CacheWait, true, func() *testMonitor {
			w := newAttemptInFlight(Idempotent).endAttempt(CacheHeld)
			w.now += 801 * ms
			w.AttemptBegins("q1", "w2", 1, true, time.Second)
			w.AttemptSent("q1", 1, true)
			w.AttemptArrived("q1", 1)
			return w
		}},
		"a send that does not arrive": {CacheWait, true, func() *testMonitor {
			w := newAttemptInFlight(Idempotent).endAttempt(CacheHeld)
			w.AttemptBegins("q1", "w2", 1, true, time.Second)
			w.AttemptSent("q1", 1, true)
			w.now += 801 * ms
			w.CacheReleased("q1", "released")
			return w
		}},
		"a send that does not arrive, and a release in time": {CacheWait, false, func() *testMonitor {
			w := newAttemptInFlight(Idempotent).endAttempt(CacheHeld)
			w.AttemptBegins("q1", "w2", 1, true, time.Second)
			w.AttemptSent("q1", 1, true)
			w.now += 799 * ms
			w.CacheReleased("q1", "released")
			w.now += time.Minute
			w.CacheReleased("q1", "released")
			return w
		}},
		"a state that is taken in time": {CacheWait, false, func() *testMonitor {
			w := newAttemptInFlight(Idempotent).endAttempt(CacheHeld)
			w.now += 799 * ms
			w.AttemptBegins("q1", "w2", 1, true, time.Second)
			w.AttemptSent("q1", 1, true)
			w.AttemptArrived("q1", 1)
			w.now += time.Minute
			w.CacheReleased("q1", "taken")
			return w
		}},
		"too much time told": {Deadline, true, func() *testMonitor {
			w := newTestMonitor()
			w.RequestAccepted("q1", Idempotent, time.Second)
			w.now += 500 * ms
			w.AttemptBegins("q1", "w1", 0, true, 651*ms)
			return w
		}},
		"as much time told as is left": {Deadline, false, func() *testMonitor {
			w := newTestMonitor()
			w.RequestAccepted("q1", Idempotent, time.Second)
			w.now += 500 * ms
			w.AttemptBegins("q1", "w1", 0, true, 649*ms)
			return w
		}},
	} {
		w := c.do()
		if broken := w.Count(c.rule) > 0; broken != c.breaks {
			t.Errorf("%s: %v counted is %t", name, c.rule, broken)
		}
		if c.breaks && (!strings.Contains(w.log.String(), "rule="+c.rule.String()) || !strings.Contains(w.log.String(), "begins at")) {
			t.Errorf("%s: the log has not the request's events: %s", name, w.log.String())
		}
		if !c.breaks && w.Counts() != "" {
			t.Errorf("%s: %s", name, w.Counts())
		}
	}
}

// What is over is forgotten, so that a monitor does not grow.
func TestWhatIsOverIsForgotten(t *testing.T) {
	w := newTestMonitor()
	for i := range 3 * maxRequests {
		id := strings.Repeat("q", i%7+1) + string(rune('a'+i%26)) + time.Duration(i).String()
		w.RequestAccepted(id, Idempotent, time.Second)
		w.Answered(id, 503, true, nil)
		w.now += time.Millisecond
	}
	if n := len(w.requests); n > maxRequests {
		t.Errorf("%d requests are known", n)
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
