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
type story struct {
	*record
	q *request
}

func tell(once bool) *story {
	s := &story{record: newRecord(variant{hold: 500 * ms})}
	s.began = time.Now().Add(-time.Minute) // a minute has passed
	s.q = &request{id: "q", class: class{name: "c", once: once, deadline: 2 * time.Second}, left: 2 * time.Second, tries: []time.Duration{1000 * ms}, sends: []time.Duration{1000 * ms}, to: []int{0}}
	s.requests, s.byID["q"] = []*request{s.q}, s.q
	s.lives = []*life{{dispatcher: 0, began: ms, ready: 100 * ms}}
	return s
}

// answered has the request answered.
func (s *story) answered(status int, at time.Duration) *story {
	s.q.status, s.q.ended, s.q.whole = status, at, true
	return s
}

// attempt adds an attempt that came and ended so.
func (s *story) attempt(backend string, first, end time.Duration, change func(a *attempt)) *story {
	a := &attempt{id: "q", backend: backend, first: first, arrived: first + ms, answered: end, told: 500 * ms}
	if change != nil {
		change(a)
	}
	s.attempts = append(s.attempts, a)
	return s
}

// again has the request sent once more, to that dispatcher.
func (s *story) again(dispatcher int) {
	s.q.tries, s.q.sends, s.q.to = append(s.q.tries, 1100*ms), append(s.q.sends, 1101*ms), append(s.q.to, dispatcher)
}

func (s *story) drained(at, written time.Duration) *story {
	s.listings = append(s.listings, listing{"w1", 0, false, at, written})
	return s
}

func (s *story) held(at time.Duration, held bool) *story {
	s.holds = append(s.holds, holdEvent{"q", at, held})
	return s
}

// Each rule's check fires where the rule is broken, and not right beside that.
func TestEachRuleOfTheOracleFires(t *testing.T) {
	neverRan := func(a *attempt) { a.neverRan = true }
	for name, c := range map[string]struct {
		rule string // empty: none is broken
		of   *story
	}{
		"all is well":                     {"", tell(true).attempt("w1", 1010*ms, 1100*ms, nil).answered(200, 1100*ms)},
		"no answer":                       {ruleLost, func() *story { s := tell(false); s.q.gone = 7000 * ms; return s }()},
		"a late answer":                   {ruleLost, tell(false).answered(502, 3600*ms)},
		"an answer just in time":          {"", tell(false).answered(502, 3500*ms)},
		"closed without an answer, twice": {ruleLost, func() *story { s := tell(false); s.q.refused = 1100 * ms; return s }()},
		"its process was killed": {"", func() *story {
			s := tell(false)
			s.q.refused = 1100 * ms
			s.lives[0].killed, s.lives[0].ended = true, 1050*ms
			return s
		}()},
		"a finished stream that was cut": {ruleLost, func() *story {
			s := tell(false).attempt("w1", 1010*ms, 1100*ms, func(a *attempt) { a.finished = true }).answered(200, 1100*ms)
			s.q.whole = false
			return s
		}()},
		"read, and closed unanswered": {ruleLost, func() *story {
			s := tell(false).attempt("w1", 1010*ms, 1020*ms, nil).answered(200, 1300*ms)
			s.again(1)
			return s
		}()},
		"left unread, and sent elsewhere": {"", func() *story {
			s := tell(false).attempt("w1", 1110*ms, 1120*ms, nil).answered(200, 1300*ms)
			s.again(0)
			return s
		}()},
		"two attempts out":                  {ruleDuplicate, tell(false).attempt("w1", 1010*ms, 1200*ms, nil).attempt("w2", 1100*ms, 1300*ms, nil).answered(200, 1300*ms)},
		"one after the other":               {"", tell(false).attempt("w1", 1010*ms, 1100*ms, nil).attempt("w2", 1100*ms, 1300*ms, nil).answered(200, 1300*ms)},
		"a second run":                      {ruleDuplicate, tell(true).attempt("w1", 1010*ms, 1100*ms, nil).attempt("w2", 1100*ms, 1300*ms, nil).answered(200, 1300*ms)},
		"a second one, the first never ran": {"", tell(true).attempt("w1", 1010*ms, 1100*ms, neverRan).attempt("w2", 1100*ms, 1300*ms, nil).answered(200, 1300*ms)},
		"a second one, the first's process was killed": {"", func() *story {
			s := tell(true).attempt("w1", 1010*ms, 0, nil).attempt("w2", 1200*ms, 1300*ms, func(a *attempt) { a.dispatcher = 1 }).answered(200, 1300*ms)
			s.lives[0].killed, s.lives[0].ended = true, 1100*ms
			s.lives = append(s.lives, &life{dispatcher: 1, began: ms, ready: 2 * ms})
			s.again(1)
			return s
		}()},
		"rejected after one that may have":    {ruleDuplicate, tell(true).attempt("w1", 1010*ms, 1100*ms, nil).answered(503, 1200*ms)},
		"rejected after one that never ran":   {"", tell(true).attempt("w1", 1010*ms, 1100*ms, neverRan).answered(503, 1200*ms)},
		"to one that drains":                  {ruleDrain, tell(false).drained(500*ms, 501*ms).attempt("w1", 1010*ms, 1100*ms, nil).answered(200, 1200*ms)},
		"to one that drains, within grace":    {"", tell(false).drained(800*ms, 801*ms).attempt("w1", 1010*ms, 1100*ms, nil).answered(200, 1200*ms)},
		"to one whose drain was not told":     {"", tell(false).drained(500*ms, 0).attempt("w1", 1010*ms, 1100*ms, nil).answered(200, 1200*ms)},
		"a state that waits":                  {ruleHeld, tell(false).held(1100*ms, true).held(2000*ms, false).answered(503, 1200*ms)},
		"a state that is released in time":    {"", tell(false).held(1100*ms, true).held(1900*ms, false).answered(503, 1200*ms)},
		"a state that is never released":      {ruleHeld, tell(false).held(1100*ms, true).answered(503, 1200*ms)},
		"a state that waits while one is out": {"", tell(false).held(1100*ms, true).attempt("w1", 1110*ms, 2500*ms, nil).held(2500*ms, false).answered(200, 2500*ms)},
		"a state whose attempt never came":    {ruleHeld, tell(false).held(1100*ms, true).attempt("w1", 1110*ms, 2500*ms, func(a *attempt) { a.arrived = 0 }).held(2500*ms, false).answered(502, 2500*ms)},
		"too much time told":                  {ruleDeadline, tell(false).attempt("w1", 2000*ms, 2100*ms, func(a *attempt) { a.told = 1300 * ms }).answered(200, 2200*ms)},
		"as much time told as is left":        {"", tell(false).attempt("w1", 2000*ms, 2100*ms, func(a *attempt) { a.told = 1100 * ms }).answered(200, 2200*ms)},
		"an attempt for a client that left":   {ruleGone, func() *story { s := tell(false).attempt("w1", 1300*ms, 1400*ms, nil); s.q.gone = 1100 * ms; return s }()},
		"an attempt as its client leaves":     {"", func() *story { s := tell(false).attempt("w1", 1150*ms, 1400*ms, nil); s.q.gone = 1100 * ms; return s }()},
		"the same, its process stood still": {"", func() *story {
			s := tell(false).attempt("w1", 1900*ms, 2000*ms, nil)
			s.q.gone = 1100 * ms
			s.lives[0].stops = []span{{1000 * ms, 1850 * ms}}
			return s
		}()},
		"a run outside of the window for repeats": {ruleDuplicate, func() *story {
			s := tell(false).attempt("w1", 1010*ms, 1100*ms, nil).attempt("w2", 1900*ms, 2000*ms, nil).answered(200, 2000*ms)
			s.q.class.window = 800 * ms
			return s
		}()},
		"a run within it": {"", func() *story {
			s := tell(false).attempt("w1", 1010*ms, 1100*ms, nil).attempt("w2", 1800*ms, 2000*ms, nil).answered(200, 2000*ms)
			s.q.class.window = 800 * ms
			return s
		}()},
		"an event that is held back": {ruleEvents, func() *story {
			s := tell(false).attempt("w1", 1010*ms, 1100*ms, nil).answered(200, 1500*ms)
			s.q.events, s.q.late = 3, 400*ms
			return s
		}()},
		"events as they come": {"", func() *story {
			s := tell(false).attempt("w1", 1010*ms, 1100*ms, nil).answered(200, 1500*ms)
			s.q.events, s.q.late = 3, 300*ms
			return s
		}()},
		"a state that no call could be made for": {"", func() *story {
			s := tell(false).attempt("r1", 1010*ms, 1100*ms, nil).held(1100*ms, true).held(2000*ms, false).answered(503, 1200*ms)
			s.lives[0].cutOff = []span{{1200 * ms, 1400 * ms}}
			return s
		}()},
		"left unread as the run ended": {"", func() *story { s := tell(false); s.q.refused, s.q.cutOff = 1100*ms, true; return s }()},
		"read, and closed as the run ended": {ruleLost, func() *story {
			s := tell(false).attempt("w1", 1010*ms, 1100*ms, nil)
			s.q.refused, s.q.cutOff = 1100*ms, true
			return s
		}()},
		"shut out unread by a crowd": {"", func() *story { s := tell(false); s.q.refused, s.crowd = 1100*ms, true; return s }()},
		"read in a crowd, and closed unanswered": {ruleLost, func() *story {
			s := tell(false).attempt("w1", 1010*ms, 1100*ms, nil)
			s.q.refused, s.crowd = 1100*ms, true
			return s
		}()},
		"a process that ends by itself": {ruleCrash, func() *story {
			s := tell(false).answered(200, 1200*ms)
			s.lives[0].crashed, s.lives[0].ended = "exit 1", 5000*ms
			return s
		}()},
		"a process that is not ready": {ruleReady, func() *story {
			s := tell(false).answered(200, 1200*ms)
			s.lives = append(s.lives, &life{dispatcher: 1, began: ms})
			return s
		}()},
	} {
		got := judge(c.of.record, func(int) []span { return nil })
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
func TestDrainsCountTheirChances(t *testing.T) {
	s := tell(false).drained(1500*ms, 1501*ms).attempt("w2", 1010*ms, 1100*ms, nil).attempt("w2", 1600*ms, 1700*ms, nil).answered(200, 1700*ms)
	s.listings = append(s.listings, listing{"w1", 0, true, 3000 * ms, 3001 * ms})
	s.attempt("w2", 3100*ms, 3200*ms, nil)
	if got := judge(s.record, func(int) []span { return nil }).Chances[ruleDrain]; got != 1 {
		t.Errorf("%d chances", got)
	}
}

// An event tells when it was written, however its stream is cut into reads.
func TestAnEventTellsByHowMuchItIsLate(t *testing.T) {
	raw := hosts.EncodeChunk(hosts.TextEvent(eventText(0, 1000*ms))) + hosts.EncodeChunk(hosts.TextEvent(eventText(1, 1400*ms)))
	for step := 1; step < len(raw); step++ {
		e := &eventReader{from: iotest.OneByteReader(strings.NewReader(raw)), now: func() time.Duration { return 1500 * ms }}
		for buffer := make([]byte, step); ; {
			if _, err := io.ReadFull(e, buffer); err != nil {
				break
			}
		}
		if e.seen != 2 || e.late != 500*ms {
			t.Fatalf("in steps of %d: %d events, late by %v", step, e.seen, e.late)
		}
	}
}

// The same seed has the same schedule, faults overlap, and every kind comes up.
func TestASeedHasOneSchedule(t *testing.T) {
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
func TestShrinkKeepsWhatIsNeeded(t *testing.T) {
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
