package soak

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"sloetrestle/internal/hosts"
)

const ms = time.Millisecond

// story is a record made by hand: one request to dispatcher 0, which is up from the start.
type recordBuilder struct {
	*record
	request *request
}

func newRecordBuilder(once bool) *recordBuilder {
	s := &recordBuilder{record: newRecord(variant{cacheTimeout: 500 * ms})}
	s.began = time.Now().Add(-time.Minute) // a minute has passed
	s.request = &request{id: "q", class: class{name: "c", nonIdempotent: once, deadline: 2 * time.Second}, timeout: 2 * time.Second, sendStarts: []time.Duration{1000 * ms}, sentAt: []time.Duration{1000 * ms}, dispatchers: []int{0}}
	s.requests, s.byID["q"] = []*request{s.request}, s.request
	s.processes = []*process{{dispatcher: 0, started: ms, ready: 100 * ms}}
	return s
}

// answered has the request answered.
func (s *recordBuilder) answered(status int, at time.Duration) *recordBuilder {
	s.request.status, s.request.answerEnd, s.request.complete = status, at, true
	return s
}

// attempt adds an attempt that came and ended so.
func (s *recordBuilder) attempt(backend string, first, end time.Duration, change func(a *attempt)) *recordBuilder {
	a := &attempt{id: "q", backend: backend, firstByte: first, arrived: first + ms, answered: end, statedDeadline: 500 * ms}
	if change != nil {
		change(a)
	}
	s.attempts = append(s.attempts, a)
	return s
}

// again has the request sent once more, to that dispatcher.
func (s *recordBuilder) resent(dispatcher int) {
	s.request.sendStarts, s.request.sentAt, s.request.dispatchers = append(s.request.sendStarts, 1100*ms), append(s.request.sentAt, 1101*ms), append(s.request.dispatchers, dispatcher)
}

func (s *recordBuilder) drained(at, written time.Duration) *recordBuilder {
	s.stateChanges = append(s.stateChanges, stateChange{"w1", 0, false, at, written})
	return s
}

func (s *recordBuilder) cacheEvent(at time.Duration, held bool) *recordBuilder {
	s.cacheEvents = append(s.cacheEvents, cacheEvent{"q", at, held})
	return s
}

// Each rule's check fires where the rule is broken, and not right beside that.
func TestOracleReportsEachBrokenRule(t *testing.T) {
	neverRan := func(a *attempt) { a.neverRan = true }
	for name, c := range map[string]struct {
		rule string // empty: none is broken
		of   *recordBuilder
	}{
		"all is well":                     {"", newRecordBuilder(true).attempt("w1", 1010*ms, 1100*ms, nil).answered(200, 1100*ms)},
		"no answer":                       {ruleLost, func() *recordBuilder { s := newRecordBuilder(false); s.request.clientClosed = 7000 * ms; return s }()},
		"a late answer":                   {ruleLost, newRecordBuilder(false).answered(502, 3600*ms)},
		"an answer just in time":          {"", newRecordBuilder(false).answered(502, 3500*ms)},
		"closed without an answer, twice": {ruleLost, func() *recordBuilder { s := newRecordBuilder(false); s.request.gaveUp = 1100 * ms; return s }()},
		"its process was killed": {"", func() *recordBuilder {
			s := newRecordBuilder(false)
			s.request.gaveUp = 1100 * ms
			s.processes[0].killed, s.processes[0].ended = true, 1050*ms
			return s
		}()},
		"a finished stream that was cut": {ruleLost, func() *recordBuilder {
			s := newRecordBuilder(false).attempt("w1", 1010*ms, 1100*ms, func(a *attempt) { a.finished = true }).answered(200, 1100*ms)
			s.request.complete = false
			return s
		}()},
		"read, and closed unanswered": {ruleLost, func() *recordBuilder {
			s := newRecordBuilder(false).attempt("w1", 1010*ms, 1020*ms, nil).answered(200, 1300*ms)
			s.resent(1)
			return s
		}()},
		"left unread, and sent elsewhere": {"", func() *recordBuilder {
			s := newRecordBuilder(false).attempt("w1", 1110*ms, 1120*ms, nil).answered(200, 1300*ms)
			s.resent(0)
			return s
		}()},
		"two attempts out":                  {ruleDuplicate, newRecordBuilder(false).attempt("w1", 1010*ms, 1200*ms, nil).attempt("w2", 1100*ms, 1300*ms, nil).answered(200, 1300*ms)},
		"one after the other":               {"", newRecordBuilder(false).attempt("w1", 1010*ms, 1100*ms, nil).attempt("w2", 1100*ms, 1300*ms, nil).answered(200, 1300*ms)},
		"a second run":                      {ruleDuplicate, newRecordBuilder(true).attempt("w1", 1010*ms, 1100*ms, nil).attempt("w2", 1100*ms, 1300*ms, nil).answered(200, 1300*ms)},
		"a second one, the first never ran": {"", newRecordBuilder(true).attempt("w1", 1010*ms, 1100*ms, neverRan).attempt("w2", 1100*ms, 1300*ms, nil).answered(200, 1300*ms)},
		"a second one, the first's process was killed": {"", func() *recordBuilder {
			s := newRecordBuilder(true).attempt("w1", 1010*ms, 0, nil).attempt("w2", 1200*ms, 1300*ms, func(a *attempt) { a.dispatcher = 1 }).answered(200, 1300*ms)
			s.processes[0].killed, s.processes[0].ended = true, 1100*ms
			s.processes = append(s.processes, &process{dispatcher: 1, started: ms, ready: 2 * ms})
			s.resent(1)
			return s
		}()},
		"rejected after one that may have":    {ruleDuplicate, newRecordBuilder(true).attempt("w1", 1010*ms, 1100*ms, nil).answered(503, 1200*ms)},
		"rejected after one that never ran":   {"", newRecordBuilder(true).attempt("w1", 1010*ms, 1100*ms, neverRan).answered(503, 1200*ms)},
		"to one that drains":                  {ruleDrain, newRecordBuilder(false).drained(500*ms, 501*ms).attempt("w1", 1010*ms, 1100*ms, nil).answered(200, 1200*ms)},
		"to one that drains, within grace":    {"", newRecordBuilder(false).drained(800*ms, 801*ms).attempt("w1", 1010*ms, 1100*ms, nil).answered(200, 1200*ms)},
		"to one whose drain was not told":     {"", newRecordBuilder(false).drained(500*ms, 0).attempt("w1", 1010*ms, 1100*ms, nil).answered(200, 1200*ms)},
		"a state that waits":                  {ruleHeld, newRecordBuilder(false).cacheEvent(1100*ms, true).cacheEvent(2000*ms, false).answered(503, 1200*ms)},
		"a state that is released in time":    {"", newRecordBuilder(false).cacheEvent(1100*ms, true).cacheEvent(1900*ms, false).answered(503, 1200*ms)},
		"a state that is never released":      {ruleHeld, newRecordBuilder(false).cacheEvent(1100*ms, true).answered(503, 1200*ms)},
		"a state that waits while one is out": {"", newRecordBuilder(false).cacheEvent(1100*ms, true).attempt("w1", 1110*ms, 2500*ms, nil).cacheEvent(2500*ms, false).answered(200, 2500*ms)},
		"a state whose attempt never came":    {ruleHeld, newRecordBuilder(false).cacheEvent(1100*ms, true).attempt("w1", 1110*ms, 2500*ms, func(a *attempt) { a.arrived = 0 }).cacheEvent(2500*ms, false).answered(502, 2500*ms)},
		"too much time told":                  {ruleDeadline, newRecordBuilder(false).attempt("w1", 2000*ms, 2100*ms, func(a *attempt) { a.statedDeadline = 1300 * ms }).answered(200, 2200*ms)},
		"as much time told as is left":        {"", newRecordBuilder(false).attempt("w1", 2000*ms, 2100*ms, func(a *attempt) { a.statedDeadline = 1100 * ms }).answered(200, 2200*ms)},
		"an attempt for a client that left": {ruleGone, func() *recordBuilder {
			s := newRecordBuilder(false).attempt("w1", 1300*ms, 1400*ms, nil)
			s.request.clientClosed = 1100 * ms
			return s
		}()},
		"an attempt as its client leaves": {"", func() *recordBuilder {
			s := newRecordBuilder(false).attempt("w1", 1150*ms, 1400*ms, nil)
			s.request.clientClosed = 1100 * ms
			return s
		}()},
		"the same, its process stood still": {"", func() *recordBuilder {
			s := newRecordBuilder(false).attempt("w1", 1900*ms, 2000*ms, nil)
			s.request.clientClosed = 1100 * ms
			s.processes[0].stopped = []span{{1000 * ms, 1850 * ms}}
			return s
		}()},
		"a run outside of the window for repeats": {ruleDuplicate, func() *recordBuilder {
			s := newRecordBuilder(false).attempt("w1", 1010*ms, 1100*ms, nil).attempt("w2", 1900*ms, 2000*ms, nil).answered(200, 2000*ms)
			s.request.class.dedupWindow = 800 * ms
			return s
		}()},
		"a run within it": {"", func() *recordBuilder {
			s := newRecordBuilder(false).attempt("w1", 1010*ms, 1100*ms, nil).attempt("w2", 1800*ms, 2000*ms, nil).answered(200, 2000*ms)
			s.request.class.dedupWindow = 800 * ms
			return s
		}()},
		"an event that is held back": {ruleEvents, func() *recordBuilder {
			s := newRecordBuilder(false).attempt("w1", 1010*ms, 1100*ms, nil).answered(200, 1500*ms)
			s.request.eventCount, s.request.eventDelay = 3, 400*ms
			return s
		}()},
		"events as they come": {"", func() *recordBuilder {
			s := newRecordBuilder(false).attempt("w1", 1010*ms, 1100*ms, nil).answered(200, 1500*ms)
			s.request.eventCount, s.request.eventDelay = 3, 300*ms
			return s
		}()},
		"a state that no call could be made for": {"", func() *recordBuilder {
			s := newRecordBuilder(false).attempt("r1", 1010*ms, 1100*ms, nil).cacheEvent(1100*ms, true).cacheEvent(2000*ms, false).answered(503, 1200*ms)
			s.processes[0].dialOutages = []span{{1200 * ms, 1400 * ms}}
			return s
		}()},
		"left unread as the run ended": {"", func() *recordBuilder {
			s := newRecordBuilder(false)
			s.request.gaveUp, s.request.runEnded = 1100*ms, true
			return s
		}()},
		"read, and closed as the run ended": {ruleLost, func() *recordBuilder {
			s := newRecordBuilder(false).attempt("w1", 1010*ms, 1100*ms, nil)
			s.request.gaveUp, s.request.runEnded = 1100*ms, true
			return s
		}()},
		"shut out unread by a crowd": {"", func() *recordBuilder {
			s := newRecordBuilder(false)
			s.request.gaveUp, s.crowded = 1100*ms, true
			return s
		}()},
		"read in a crowd, and closed unanswered": {ruleLost, func() *recordBuilder {
			s := newRecordBuilder(false).attempt("w1", 1010*ms, 1100*ms, nil)
			s.request.gaveUp, s.crowded = 1100*ms, true
			return s
		}()},
		"a process that ends by itself": {ruleCrash, func() *recordBuilder {
			s := newRecordBuilder(false).answered(200, 1200*ms)
			s.processes[0].crashed, s.processes[0].ended = "exit 1", 5000*ms
			return s
		}()},
		"a process that is not ready": {ruleReady, func() *recordBuilder {
			s := newRecordBuilder(false).answered(200, 1200*ms)
			s.processes = append(s.processes, &process{dispatcher: 1, started: ms})
			return s
		}()},
	} {
		got := checkRecord(c.of.record, func(int) []span { return nil })
		broken := map[string]bool{}
		for _, v := range got.Violations {
			broken[v.Rule] = true
		}
		if c.rule == "" && len(broken) > 0 || c.rule != "" && (!broken[c.rule] || len(broken) > 1) {
			t.Errorf("%s: wanted %q, got %v", name, c.rule, got.Violations)
		}
	}
}

// A chance to break the rule on drains is each attempt that is made while some backend drains.
func TestDrainChancesCountAttemptsDuringDrains(t *testing.T) {
	s := newRecordBuilder(false).drained(1500*ms, 1501*ms).attempt("w2", 1010*ms, 1100*ms, nil).attempt("w2", 1600*ms, 1700*ms, nil).answered(200, 1700*ms)
	s.stateChanges = append(s.stateChanges, stateChange{"w1", 0, true, 3000 * ms, 3001 * ms})
	s.attempt("w2", 3100*ms, 3200*ms, nil)
	if got := checkRecord(s.record, func(int) []span { return nil }).Chances[ruleDrain]; got != 1 {
		t.Errorf("%d chances", got)
	}
}

// An event tells when it was written, however its stream is cut into reads.
func TestEventReaderMeasuresDelayAcrossReads(t *testing.T) {
	raw := hosts.EncodeChunk(hosts.TextEvent(eventText(0, 1000*ms))) + hosts.EncodeChunk(hosts.TextEvent(eventText(1, 1400*ms)))
	for step := 1; step < len(raw); step++ {
		e := &eventReader{source: iotest.OneByteReader(strings.NewReader(raw)), now: func() time.Duration { return 1500 * ms }}
		for buffer := make([]byte, step); ; {
			if _, err := io.ReadFull(e, buffer); err != nil {
				break
			}
		}
		if e.events != 2 || e.delay != 500*ms {
			t.Fatalf("in steps of %d: %d events, late by %v", step, e.events, e.delay)
		}
	}
}

// The same seed has the same schedule, faults overlap, and every kind comes up.
func TestScheduleIsDeterministicAndCoversAllKinds(t *testing.T) {
	o := Options{Seed: 7, Length: 10 * time.Minute, FaultInterval: 400 * ms}
	one, two := Schedule(o), Schedule(o)
	if len(one) < 1000 || len(one) != len(two) {
		t.Fatalf("%d and %d faults", len(one), len(two))
	}
	kinds := map[Kind]bool{}
	for i := range one {
		if one[i] != two[i] {
			t.Fatalf("%v and %v", one[i], two[i])
		}
		kinds[one[i].Kind] = true
	}
	if len(kinds) != len(weights) {
		t.Errorf("%d of %d kinds come up", len(kinds), len(weights))
	}
	if pairs := Overlaps(one); len(pairs) < len(weights)*len(weights)/3 {
		t.Errorf("%d kinds of pairs overlap", len(pairs))
	}
}

// What is not needed for a failure is dropped.
func TestShrinkKeepsNeededFaults(t *testing.T) {
	faults := Schedule(Options{Seed: 3, Length: time.Minute, FaultInterval: 400 * ms})
	needs := []Fault{faults[5], faults[40]}
	fails := func(some []Fault) bool {
		found := 0
		for _, f := range some {
			for _, n := range needs {
				if f == n {
					found++
				}
			}
		}
		return found == len(needs)
	}
	if got := Shrink(faults, fails); len(got) != 2 || got[0] != needs[0] || got[1] != needs[1] {
		t.Errorf("%v", got)
	}
}
