package soak

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"sloetrestle/internal/testbackends"
)

const ms = time.Millisecond

// recordBuilder builds a record with one request to dispatcher 0, which is up from the start.
type recordBuilder struct {
	*record
	request *request
}

func newRecordBuilder(nonIdempotent bool) *recordBuilder {
	b := &recordBuilder{record: newRecord(variant{cacheTimeout: 500 * ms})}
	b.began = time.Now().Add(-time.Minute) // the run has lasted a minute
	b.request = &request{
		id: "q", class: class{name: "c", nonIdempotent: nonIdempotent, deadline: 2 * time.Second}, timeout: 2 * time.Second,
		sendStarts: []time.Duration{1000 * ms}, sentAt: []time.Duration{1000 * ms}, dispatchers: []int{0},
	}
	b.requests, b.byID["q"] = []*request{b.request}, b.request
	b.processes = []*process{{dispatcher: 0, started: ms, ready: 100 * ms}}
	return b
}

// answered records a complete answer.
func (b *recordBuilder) answered(status int, at time.Duration) *recordBuilder {
	b.request.status, b.request.answerEnd, b.request.complete = status, at, true
	return b
}

// attempt adds an answered attempt; change may modify it.
func (b *recordBuilder) attempt(backend string, first, end time.Duration, change func(a *attempt)) *recordBuilder {
	a := &attempt{
		id: "q", backend: backend, firstByte: first, arrived: first + ms, answered: end, statedDeadline: 500 * ms,
	}
	if change != nil {
		change(a)
	}
	b.attempts = append(b.attempts, a)
	return b
}

// resent records a second send of the request, to the given dispatcher.
func (b *recordBuilder) resent(dispatcher int) {
	b.request.sendStarts, b.request.sentAt, b.request.dispatchers =
		append(b.request.sendStarts, 1100*ms), append(b.request.sentAt, 1101*ms), append(b.request.dispatchers, dispatcher)
}

// drained lists backend w1 as draining.
func (b *recordBuilder) drained(at, written time.Duration) *recordBuilder {
	b.stateChanges = append(b.stateChanges, stateChange{"w1", 0, false, at, written})
	return b
}

// restarted ends the process of dispatcher 0 by SIGKILL and starts another.
func (b *recordBuilder) restarted(killed, started time.Duration) *recordBuilder {
	b.processes[0].killed, b.processes[0].ended = true, killed
	b.processes = append(b.processes, &process{dispatcher: 0, started: started, ready: started + 100*ms})
	return b
}

func (b *recordBuilder) cacheEvent(at time.Duration, stored bool) *recordBuilder {
	b.cacheEvents = append(b.cacheEvents, cacheEvent{"q", at, stored})
	return b
}

// Each rule's check reports a record that breaks the rule, and accepts a record just inside its bound.
func TestOracleReportsEachBrokenRule(t *testing.T) {
	neverRan := func(a *attempt) { a.neverRan = true }
	for name, c := range map[string]struct {
		rule   string // the only broken rule; empty: none
		record *recordBuilder
	}{
		"no rule broken": {"", newRecordBuilder(true).attempt("w1", 1010*ms, 1100*ms, nil).
			answered(200, 1100*ms)},
		"no answer": {ruleLost, func() *recordBuilder {
			b := newRecordBuilder(false)
			b.request.clientClosed = 7000 * ms
			return b
		}()},
		"answer after the deadline":    {ruleLost, newRecordBuilder(false).answered(502, 3600*ms)},
		"answer within the grace time": {"", newRecordBuilder(false).answered(502, 3500*ms)},
		"closed without an answer twice": {ruleLost, func() *recordBuilder {
			b := newRecordBuilder(false)
			b.request.gaveUp = 1100 * ms
			return b
		}()},
		"closed without an answer as the process was killed": {"", func() *recordBuilder {
			b := newRecordBuilder(false)
			b.request.gaveUp = 1100 * ms
			b.processes[0].killed, b.processes[0].ended = true, 1050*ms
			return b
		}()},
		"finished stream truncated": {ruleLost, func() *recordBuilder {
			b := newRecordBuilder(false).attempt("w1", 1010*ms, 1100*ms, func(a *attempt) { a.finished = true }).
				answered(200, 1100*ms)
			b.request.complete = false
			return b
		}()},
		"read and closed unanswered": {ruleLost, func() *recordBuilder {
			b := newRecordBuilder(false).attempt("w1", 1010*ms, 1020*ms, nil).answered(200, 1300*ms)
			b.resent(1)
			return b
		}()},
		"left unread and sent again": {"", func() *recordBuilder {
			b := newRecordBuilder(false).attempt("w1", 1110*ms, 1120*ms, nil).answered(200, 1300*ms)
			b.resent(0)
			return b
		}()},
		"two attempts in flight": {ruleDuplicate, newRecordBuilder(false).attempt("w1", 1010*ms, 1200*ms, nil).
			attempt("w2", 1100*ms, 1300*ms, nil).
			answered(200, 1300*ms)},
		"two attempts in sequence": {"", newRecordBuilder(false).attempt("w1", 1010*ms, 1100*ms, nil).
			attempt("w2", 1100*ms, 1300*ms, nil).
			answered(200, 1300*ms)},
		"non-idempotent request run twice": {ruleDuplicate, newRecordBuilder(true).attempt("w1", 1010*ms, 1100*ms, nil).
			attempt("w2", 1100*ms, 1300*ms, nil).
			answered(200, 1300*ms)},
		"second attempt after one that never ran": {"", newRecordBuilder(true).attempt("w1", 1010*ms, 1100*ms, neverRan).
			attempt("w2", 1100*ms, 1300*ms, nil).
			answered(200, 1300*ms)},
		"second attempt after the process was killed": {"", func() *recordBuilder {
			b := newRecordBuilder(true).attempt("w1", 1010*ms, 0, nil).
				attempt("w2", 1200*ms, 1300*ms, func(a *attempt) { a.dispatcher = 1 }).
				answered(200, 1300*ms)
			b.processes[0].killed, b.processes[0].ended = true, 1100*ms
			b.processes = append(b.processes, &process{dispatcher: 1, started: ms, ready: 2 * ms})
			b.resent(1)
			return b
		}()},
		"rejected after an attempt that may have run": {ruleDuplicate, newRecordBuilder(true).
			attempt("w1", 1010*ms, 1100*ms, nil).
			answered(503, 1200*ms)},
		"rejected after an attempt that never ran": {"", newRecordBuilder(true).attempt("w1", 1010*ms, 1100*ms, neverRan).
			answered(503, 1200*ms)},
		"attempt to a draining backend": {ruleDrain, newRecordBuilder(false).drained(500*ms, 501*ms).
			attempt("w1", 1010*ms, 1100*ms, nil).
			answered(200, 1200*ms)},
		"attempt to a draining backend within the grace time": {"", newRecordBuilder(false).drained(800*ms, 801*ms).
			attempt("w1", 1010*ms, 1100*ms, nil).
			answered(200, 1200*ms)},
		"attempt to a backend that began to drain before the process started": {ruleDrain,
			newRecordBuilder(false).drained(500*ms, 501*ms).restarted(600*ms, 800*ms).
				attempt("w1", 1400*ms, 1500*ms, nil).answered(200, 1500*ms)},
		"the same within the grace time": {"", newRecordBuilder(false).drained(500*ms, 501*ms).restarted(600*ms, 900*ms).
			attempt("w1", 1140*ms, 1200*ms, nil).answered(200, 1200*ms)},
		"attempt to a draining backend before notification": {"", newRecordBuilder(false).drained(500*ms, 0).
			attempt("w1", 1010*ms, 1100*ms, nil).
			answered(200, 1200*ms)},
		"KV cache held too long": {ruleHeld, newRecordBuilder(false).cacheEvent(1100*ms, true).
			cacheEvent(2000*ms, false).
			answered(503, 1200*ms)},
		"KV cache released in time": {"", newRecordBuilder(false).cacheEvent(1100*ms, true).
			cacheEvent(1900*ms, false).
			answered(503, 1200*ms)},
		"KV cache never released": {ruleHeld, newRecordBuilder(false).cacheEvent(1100*ms, true).
			answered(503, 1200*ms)},
		"KV cache held while an attempt is in flight": {"", newRecordBuilder(false).cacheEvent(1100*ms, true).
			attempt("w1", 1110*ms, 2500*ms, nil).
			cacheEvent(2500*ms, false).
			answered(200, 2500*ms)},
		"KV cache whose attempt never arrived": {ruleHeld, newRecordBuilder(false).cacheEvent(1100*ms, true).
			attempt("w1", 1110*ms, 2500*ms, func(a *attempt) { a.arrived = 0 }).
			cacheEvent(2500*ms, false).
			answered(502, 2500*ms)},
		"stated deadline beyond the time left": {ruleDeadline, newRecordBuilder(false).
			attempt("w1", 2000*ms, 2100*ms, func(a *attempt) { a.statedDeadline = 1300 * ms }).
			answered(200, 2200*ms)},
		"stated deadline within the slack": {"", newRecordBuilder(false).
			attempt("w1", 2000*ms, 2100*ms, func(a *attempt) { a.statedDeadline = 1100 * ms }).
			answered(200, 2200*ms)},
		"attempt after the client closed": {ruleGone, func() *recordBuilder {
			b := newRecordBuilder(false).attempt("w1", 1300*ms, 1400*ms, nil)
			b.request.clientClosed = 1100 * ms
			return b
		}()},
		"attempt while the client closes": {"", func() *recordBuilder {
			b := newRecordBuilder(false).attempt("w1", 1150*ms, 1400*ms, nil)
			b.request.clientClosed = 1100 * ms
			return b
		}()},
		"attempt after the client closed, process stopped": {"", func() *recordBuilder {
			b := newRecordBuilder(false).attempt("w1", 1900*ms, 2000*ms, nil)
			b.request.clientClosed = 1100 * ms
			b.processes[0].stopped = []span{{1000 * ms, 1850 * ms}}
			return b
		}()},
		"repeat outside the deduplication window": {ruleDuplicate, func() *recordBuilder {
			b := newRecordBuilder(false).attempt("w1", 1010*ms, 1100*ms, nil).
				attempt("w2", 1900*ms, 2000*ms, nil).
				answered(200, 2000*ms)
			b.request.class.dedupWindow = 800 * ms
			return b
		}()},
		"repeat within the deduplication window": {"", func() *recordBuilder {
			b := newRecordBuilder(false).attempt("w1", 1010*ms, 1100*ms, nil).
				attempt("w2", 1800*ms, 2000*ms, nil).
				answered(200, 2000*ms)
			b.request.class.dedupWindow = 800 * ms
			return b
		}()},
		"delayed event": {ruleEvents, func() *recordBuilder {
			b := newRecordBuilder(false).attempt("w1", 1010*ms, 1100*ms, nil).answered(200, 1500*ms)
			b.request.eventCount, b.request.eventDelay = 3, 400*ms
			return b
		}()},
		"events within the delay limit": {"", func() *recordBuilder {
			b := newRecordBuilder(false).attempt("w1", 1010*ms, 1100*ms, nil).answered(200, 1500*ms)
			b.request.eventCount, b.request.eventDelay = 3, 300*ms
			return b
		}()},
		"KV cache held while dialing fails": {"", func() *recordBuilder {
			b := newRecordBuilder(false).attempt("r1", 1010*ms, 1100*ms, nil).
				cacheEvent(1100*ms, true).
				cacheEvent(2000*ms, false).
				answered(503, 1200*ms)
			b.processes[0].dialOutages = []span{{1200 * ms, 1400 * ms}}
			return b
		}()},
		"left unread at the end of the run": {"", func() *recordBuilder {
			b := newRecordBuilder(false)
			b.request.gaveUp, b.request.runEnded = 1100*ms, true
			return b
		}()},
		"read and closed at the end of the run": {ruleLost, func() *recordBuilder {
			b := newRecordBuilder(false).attempt("w1", 1010*ms, 1100*ms, nil)
			b.request.gaveUp, b.request.runEnded = 1100*ms, true
			return b
		}()},
		"closed unread with idle clients": {"", func() *recordBuilder {
			b := newRecordBuilder(false)
			b.request.gaveUp, b.crowded = 1100*ms, true
			return b
		}()},
		"read and closed unanswered with idle clients": {ruleLost, func() *recordBuilder {
			b := newRecordBuilder(false).attempt("w1", 1010*ms, 1100*ms, nil)
			b.request.gaveUp, b.crowded = 1100*ms, true
			return b
		}()},
		"process exits by itself": {ruleCrash, func() *recordBuilder {
			b := newRecordBuilder(false).answered(200, 1200*ms)
			b.processes[0].crashed, b.processes[0].ended = "exit 1", 5000*ms
			return b
		}()},
		"process with too much memory": {ruleLimits, func() *recordBuilder {
			b := newRecordBuilder(false).answered(200, 1200*ms)
			run := &run{record: b.record}
			run.checkUsage(b.processes[0], maxMemoryKB+1, 10)
			run.checkUsage(b.processes[0], 1000, 10)
			return b
		}()},
		"process with too many descriptors": {ruleLimits, func() *recordBuilder {
			b := newRecordBuilder(false).answered(200, 1200*ms)
			(&run{record: b.record}).checkUsage(b.processes[0], 1000, maxDescriptors+1)
			return b
		}()},
		"process not ready in time": {ruleReady, func() *recordBuilder {
			b := newRecordBuilder(false).answered(200, 1200*ms)
			b.processes = append(b.processes, &process{dispatcher: 1, started: ms})
			return b
		}()},
	} {
		got := checkRecord(c.record.record, func(int) []span { return nil })
		broken := map[string]bool{}
		for _, v := range got.Violations {
			broken[v.Rule] = true
		}
		if c.rule == "" && len(broken) > 0 || c.rule != "" && (!broken[c.rule] || len(broken) > 1) {
			t.Errorf("%s: broken rule %q wanted, got %v", name, c.rule, got.Violations)
		}
	}
}

// While discovery is down its agent hears nothing: a process that starts then is not told of what changes meanwhile.
func TestChangesDuringAnOutageAreNotKnownToAProcessThatStartsInIt(t *testing.T) {
	outage := span{400 * ms, 5000 * ms}
	b := newRecordBuilder(false).drained(500*ms, 0).restarted(600*ms, 800*ms).
		attempt("w1", 1400*ms, 1500*ms, nil).answered(200, 1500*ms)
	if got := checkRecord(b.record, func(int) []span { return []span{outage} }); len(got.Violations) != 0 {
		t.Error(got.Violations)
	}
}

// Each attempt made while some backend drains counts as a chance to break the drain rule.
func TestDrainChancesCountAttemptsDuringDrains(t *testing.T) {
	b := newRecordBuilder(false).drained(1500*ms, 1501*ms).
		attempt("w2", 1010*ms, 1100*ms, nil).attempt("w2", 1600*ms, 1700*ms, nil).answered(200, 1700*ms)
	b.stateChanges = append(b.stateChanges, stateChange{"w1", 0, true, 3000 * ms, 3001 * ms})
	b.attempt("w2", 3100*ms, 3200*ms, nil)
	if got := checkRecord(b.record, func(int) []span { return nil }).Chances[ruleDrain]; got != 1 {
		t.Errorf("%d chances counted, want 1", got)
	}
}

// The delay of an event is measured however the stream is split into reads.
func TestEventReaderMeasuresDelayAcrossReads(t *testing.T) {
	raw := testbackends.EncodeChunk(testbackends.TextEvent(eventText(0, 1000*ms))) +
		testbackends.EncodeChunk(testbackends.TextEvent(eventText(1, 1400*ms)))
	for step := 1; step < len(raw); step++ {
		e := &eventReader{
			source: iotest.OneByteReader(strings.NewReader(raw)), now: func() time.Duration { return 1500 * ms },
		}
		for buffer := make([]byte, step); ; {
			if _, err := io.ReadFull(e, buffer); err != nil {
				break
			}
		}
		if e.events != 2 || e.delay != 500*ms {
			t.Fatalf("reads of %d bytes: %d events, largest delay %v, want 2 events and 500ms", step, e.events, e.delay)
		}
	}
}

// The same seed gives the same schedule, faults overlap, and every kind is drawn.
func TestScheduleIsDeterministicAndCoversAllKinds(t *testing.T) {
	options := Options{Seed: 7, Length: 10 * time.Minute, FaultInterval: 400 * ms}
	first, second := Schedule(options), Schedule(options)
	if len(first) < 1000 || len(first) != len(second) {
		t.Fatalf("two schedules of one seed have %d and %d faults, want equal numbers of at least 1000",
			len(first), len(second))
	}
	kinds := map[Kind]bool{}
	for i := range first {
		if first[i] != second[i] {
			t.Fatalf("two schedules of one seed differ: %v and %v", first[i], second[i])
		}
		kinds[first[i].Kind] = true
	}
	if len(kinds) != len(weights) {
		t.Errorf("%d of %d kinds of faults are drawn", len(kinds), len(weights))
	}
	if pairs := Overlaps(first); len(pairs) < len(weights)*len(weights)/3 {
		t.Errorf("%d pairs of kinds overlap, want at least %d", len(pairs), len(weights)*len(weights)/3)
	}
}

// Faults that a failure does not need are dropped.
func TestShrinkKeepsNeededFaults(t *testing.T) {
	faults := Schedule(Options{Seed: 3, Length: time.Minute, FaultInterval: 400 * ms})
	needed := []Fault{faults[5], faults[40]}
	fails := func(candidates []Fault) bool {
		found := 0
		for _, f := range candidates {
			for _, n := range needed {
				if f == n {
					found++
				}
			}
		}
		return found == len(needed)
	}
	if got := Shrink(faults, fails); len(got) != 2 || got[0] != needed[0] || got[1] != needed[1] {
		t.Errorf("shrunk to %v, want %v", got, needed)
	}
}
