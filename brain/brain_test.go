package brain

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

func TestDisallowedFollowsTheRules(t *testing.T) {
	for _, c := range []struct {
		name  string
		set   func(d *Dispatcher, q *Request, h *Backend)
		bars  bool
		reach DedupScope
	}{
		{name: "nothing against it", set: func(*Dispatcher, *Request, *Backend) {}},
		{name: "answered", bars: true, set: func(_ *Dispatcher, q *Request, _ *Backend) { q.Finished = true }},
		{name: "a trip is out", bars: true, set: func(_ *Dispatcher, q *Request, h *Backend) {
			addAttempt(q, h, Rejected, 0).Ended = false
		}},
		{name: "expired", bars: true, set: func(d *Dispatcher, q *Request, _ *Backend) { q.Deadline = d.runtime.Now() }},
		{name: "trips used up", bars: true, set: func(_ *Dispatcher, q *Request, h *Backend) {
			for range 4 {
				addAttempt(q, h, Rejected, 0)
			}
		}},
		{name: "draining", bars: true, set: func(_ *Dispatcher, _ *Request, h *Backend) { h.State = Draining }},
		{name: "gone", bars: true, set: func(_ *Dispatcher, _ *Request, h *Backend) { h.State = Removed }},
		{name: "unrepeatable, may have run", bars: true, set: func(_ *Dispatcher, q *Request, h *Backend) {
			q.Class.Effect = NonIdempotent
			addAttempt(q, h, TimedOut, 0)
		}},
		{name: "unrepeatable, proven not run", set: func(_ *Dispatcher, q *Request, h *Backend) {
			q.Class.Effect = NonIdempotent
			addAttempt(q, h, Rejected, 0)
		}},
		{name: "unrepeatable, lost at a reader", set: func(d *Dispatcher, q *Request, _ *Backend) {
			q.Class.Effect = NonIdempotent
			addAttempt(q, d.backends[0], ConnectionLost, 0)
		}},
		{name: "deduplicated, past its window", bars: true, set: func(d *Dispatcher, q *Request, h *Backend) {
			q.Class.Effect, q.Class.DedupWindow = Deduplicated, time.Second
			addAttempt(q, h, TimedOut, d.runtime.Now()-time.Second)
		}},
		{name: "deduplicated, in its window", set: func(d *Dispatcher, q *Request, h *Backend) {
			q.Class.Effect, q.Class.DedupWindow = Deduplicated, time.Second
			addAttempt(q, h, TimedOut, d.runtime.Now()-time.Second/2)
		}},
		{name: "deduplicated, other rack", bars: true, reach: SameRack, set: func(d *Dispatcher, q *Request, _ *Backend) {
			q.Class.Effect, q.Class.DedupWindow = Deduplicated, time.Minute
			addAttempt(q, d.backends[3], TimedOut, d.runtime.Now())
		}},
		{name: "deduplicated, other zone", bars: true, reach: SameZone, set: func(d *Dispatcher, q *Request, _ *Backend) {
			q.Class.Effect, q.Class.DedupWindow = Deduplicated, time.Minute
			d.backends[3].Zone = 1
			addAttempt(q, d.backends[3], TimedOut, d.runtime.Now())
		}},
		{name: "cold and at its budget", bars: true, set: func(d *Dispatcher, _ *Request, h *Backend) {
			h.StartReported, h.StartedAt = true, d.runtime.Now()-time.Second
			d.backends[3].CompletedWork.Add(d.runtime.Now(), 50000)
			h.SentWork.Add(d.runtime.Now(), 12000)
		}},
		{name: "cold with budget left", set: func(d *Dispatcher, _ *Request, h *Backend) {
			h.StartReported, h.StartedAt = true, d.runtime.Now()-time.Second
			d.backends[3].CompletedWork.Add(d.runtime.Now(), 50000)
			h.SentWork.Add(d.runtime.Now(), 100)
		}},
		{name: "cold while warm hosts are pushed hard", bars: true, set: func(d *Dispatcher, _ *Request, h *Backend) {
			h.StartReported, h.StartedAt = true, d.runtime.Now()-time.Second
			d.backends[3].SentWork.Add(d.runtime.Now(), 50000)
			h.SentWork.Add(d.runtime.Now(), 100)
		}},
	} {
		d, _ := newDispatcher(t)
		q := newRequest(d)
		q.Class.DedupScope = c.reach
		c.set(d, q, d.backends[2])
		if got := d.disallowed(q, d.backends[2]); got != c.bars {
			t.Errorf("%s: barred is %v", c.name, got)
		}
	}
}

func TestGiveUpRejectsOnlyWhereARetryIsHarmless(t *testing.T) {
	for _, c := range []struct {
		name    string
		effect  Effect
		reach   DedupScope
		outcome Outcome
		decline bool
	}{
		{"idempotent that may have run", Idempotent, WholeFleet, TimedOut, true},
		{"unrepeatable that never ran", NonIdempotent, WholeFleet, Rejected, true},
		{"unrepeatable that may have run", NonIdempotent, WholeFleet, ConnectionLost, false},
		{"deduplicated everywhere", Deduplicated, WholeFleet, TimedOut, true},
		{"deduplicated in its rack", Deduplicated, SameRack, TimedOut, false},
	} {
		d, out := newDispatcher(t)
		q := newRequest(d)
		q.Class.Effect, q.Class.DedupScope, q.KVHolder = c.effect, c.reach, d.backends[0]
		addAttempt(q, d.backends[2], c.outcome, 0)
		d.giveUp(q)
		if (len(out.rejected) == 1) != c.decline || (len(out.failed) == 1) == c.decline || len(out.released) != 1 {
			t.Errorf("%s: declined %d, forfeited %d, released %d", c.name, len(out.rejected), len(out.failed), len(out.released))
		}
	}
}

func TestKVCacheOfADisconnectedClientIsReleased(t *testing.T) {
	d, out := newDispatcher(t)
	q := newRequest(d)
	trip := addAttempt(q, d.backends[0], 0, d.runtime.Now())
	trip.Ended, q.Finished, d.backends[0].KVTokens = false, true, q.KVTokens
	d.AttemptDone(trip, Result{Outcome: Prefilled, Finished: true})
	if len(out.released) != 1 || d.backends[0].KVTokens != 0 {
		t.Errorf("released %d, tokens %g", len(out.released), d.backends[0].KVTokens)
	}
}

func TestEnqueueGivesUpRequestsThatExpireBeforeTheNextSweep(t *testing.T) {
	d, out := newDispatcher(t)
	q := newRequest(d)
	q.Deadline = d.runtime.Now() + queueSweepInterval
	d.enqueue(q)
	if len(out.rejected) != 1 || len(d.queue) != 0 {
		t.Errorf("declined %d, held %d", len(out.rejected), len(d.queue))
	}
}

func TestUnreachableBackendIsInSlowStart(t *testing.T) {
	d, _ := newDispatcher(t)
	q := newRequest(d)
	trip := addAttempt(q, d.backends[2], 0, d.runtime.Now())
	trip.Ended = false
	d.AttemptDone(trip, Result{Outcome: Unreachable, Finished: true})
	if !d.inSlowStart(d.backends[2]) {
		t.Error("the host counts as warm")
	}
}

func TestSuspectedBackendStillGetsSomeWork(t *testing.T) {
	d, _ := newDispatcher(t)
	h := d.backends[2]
	h.Outcomes[0].Failures.Add(d.runtime.Now(), 8)
	given := 0
	for range 1000 {
		if d.drawTrust(d.successPosterior(h, newRequest(d))) {
			given++
		}
	}
	if given == 0 || given > 300 {
		t.Errorf("a doubtful host got %d of 1000", given)
	}
}

// A request that no backend may take any more, as its group drains or its window is over, must not hold up all behind it until
// its time is up: it is given up on at once.
func TestDispatchGivesUpRequestsThatNoBackendMayTake(t *testing.T) {
	d, out := newDispatcher(t)
	first, behind := newRequest(d), newRequest(d)
	behind.ID = 2
	first.Class = &Class{Effect: Deduplicated, DedupScope: SameRack, DedupWindow: time.Minute, Value: 9, Target: time.Second}
	addAttempt(first, d.backends[2], TimedOut, out.now)
	d.enqueue(first)
	for _, h := range d.backends {
		if h.Rack == d.backends[2].Rack {
			h.State = Draining
		}
	}
	d.enqueue(behind)
	if d.queue[0] != first {
		t.Fatal("the other one is in front")
	}
	d.dispatch()
	if len(out.sent) != 1 || out.sent[0].Request != behind || len(out.failed) != 1 || out.failed[0] != first || len(d.queue) != 0 {
		t.Errorf("%d sent, %d forfeited, %d held", len(out.sent), len(out.failed), len(d.queue))
	}
}

func TestShedRejectsTheLeastValueDenseUnderOverload(t *testing.T) {
	d, out := newDispatcher(t)
	early, late := newRequest(d), newRequest(d)
	early.ID, late.ID = 1, 2
	d.queue = []*Request{early, late}
	out.now += 300 * time.Millisecond
	d.window = 0.1 // one in 2.5 s, by a first token's 0.25 s
	d.shedLate()
	if !slices.Equal(out.rejected, []*Request{late}) {
		t.Errorf("declined %v", out.rejected)
	}
}

func TestRoutePrefillsShortPromptsInPlaceOnceAMeanIsKnown(t *testing.T) {
	for _, c := range []struct {
		name    string
		average float64
		kept    float64
		stage   Stage
		host    uint32
	}{
		{"fresh router", 0, 1900, StagePrefill, 0},
		{"short for the writer that keeps it", 1000, 1900, StageWhole, 4},
	} {
		d, out := newDispatcher(t)
		d.meanPrefillTokens = c.average
		d.backends[4].State, d.backends[5].State = Removed, Removed
		d.backends[3].CachedPrefixes[7] = CachedPrefix{Tokens: c.kept, UsedAt: d.runtime.Now()}
		d.route(newRequest(d))
		if len(out.sent) != 1 || out.sent[0].Stage != c.stage || c.host != 0 && out.sent[0].Backend.ID != c.host {
			t.Errorf("%s: sent %+v", c.name, out.sent)
		}
	}
}

func TestLostKVCacheIsPrefilledAgain(t *testing.T) {
	d, out := newDispatcher(t)
	q := newRequest(d)
	trip := addAttempt(q, d.backends[2], 0, d.runtime.Now())
	trip.Ended, trip.Stage, trip.OnResult, q.KVHolder = false, StageDecode, d.afterAttempt(q), d.backends[0]
	d.AttemptDone(trip, Result{Outcome: Rejected, Detail: 1})
	if len(out.sent) != 1 || out.sent[0].Stage != StagePrefill {
		t.Errorf("sent %v", out.sent)
	}
}

func TestNewNamesMissingOrInvalidSetting(t *testing.T) {
	for name, value := range map[string]any{"rules.coldFrom": -0.5, "siblings": -1.0, "requestClasses": 0.0,
		// The module divides by these, or counts up to them.
		"rules.tipAfterUs": 0.5, "rules.tipMultiple": -1.0, "rules.rampTimeUs": math.Inf(1), "policyLimits.maxAttempts": -1.0,
		"requestClasses.0.aimUs": 0.0, "requestClasses.0.worth": math.NaN(), "prices.peer": math.NaN(), "prices.crossZone": -1.0} {
		f := testSettings()
		f[name] = value
		if _, err := New(f, 1, &fakeRuntime{}); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

func TestPrefillPrefersRackWithLessLoadedDecodeBackends(t *testing.T) {
	d, _ := newDispatcher(t)
	for i, h := range d.backends[2:] {
		h.RelativeCapacity = 100
		h.Streams = 90 * (i % 2) // the decode backend and the mixed backend of the second rack are full
	}
	if h := d.pickPrefill(newRequest(d), d.backends[2:]); h == nil || h.Rack != 0 {
		t.Errorf("got %+v", h)
	}
	for _, h := range d.backends[2:] {
		h.Streams = 90 - h.Streams
	}
	if h := d.pickPrefill(newRequest(d), d.backends[2:]); h == nil || h.Rack != 1 {
		t.Errorf("got %+v", h)
	}
}

func TestAttemptTimeoutLeavesTimeForAnotherAttempt(t *testing.T) {
	for _, c := range []struct {
		name   string
		effect Effect
		stage  Stage
		number int
		all    bool
	}{
		{"idempotent", Idempotent, StageWhole, 0, false},
		{"unrepeatable at a reader", NonIdempotent, StagePrefill, 0, false},
		{"unrepeatable at a writer", NonIdempotent, StageDecode, 1, true},
		{"the last trip allowed", Idempotent, StageWhole, 3, true},
	} {
		d, _ := newDispatcher(t)
		q := newRequest(d)
		q.Class.Effect = c.effect
		wait := d.attemptTimeout(&Attempt{Request: q, Stage: c.stage, Number: c.number, SentAt: q.ReceivedAt})
		if (wait == q.Deadline-q.ReceivedAt) != c.all {
			t.Errorf("%s: waits %v of %v", c.name, wait, q.Deadline-q.ReceivedAt)
		}
	}
}

func TestLostConnectionDoesNotCauseSlowStart(t *testing.T) {
	d, _ := newDispatcher(t)
	trip := addAttempt(newRequest(d), d.backends[2], 0, d.runtime.Now())
	trip.Ended = false
	d.AttemptDone(trip, Result{Outcome: ConnectionLost, Finished: true})
	if d.inSlowStart(d.backends[2]) {
		t.Error("the host counts as cold")
	}
}

// What a whole fleet lets through in a window is what all parts come to, not only on average; and each dispatcher has its turns.
func TestSlowStartSharesBelowOneRequestAddUp(t *testing.T) {
	d, out := newDispatcher(t)
	h := d.backends[2]
	for _, o := range d.backends {
		if o.Role == RoleDecode && o != h {
			o.CompletedWork.Add(out.now, 1000) // a part of about a tenth of the request's weight
		}
	}
	const fleet = 300
	d.parameters.dispatchers = fleet
	h.StartReported, h.StartedAt = true, out.now
	want := fleet * d.slowStartBudget(h) / d.requestWork(newRequest(d), h, StageWhole)
	turns := map[int]int{}
	for window := range 4 {
		let := 0
		for slot := range fleet {
			d.parameters.index = float64(slot)
			if !d.disallowed(newRequest(d), h) {
				let++
				turns[slot]++
			}
		}
		if math.Abs(float64(let)-want) > 1 || want < 10 || want > 60 {
			t.Errorf("window %d: %d of %d let one through, they come to %.1f", window, let, fleet, want)
		}
		out.now += 2 * time.Second
	}
	if len(turns) < int(2*want) {
		t.Errorf("only %d ever have a turn", len(turns))
	}
}

func TestDispatchersPreferDifferentBackends(t *testing.T) {
	first := map[uint32]int{}
	for seed := range uint64(200) {
		d, err := New(testSettings(), seed, &fakeRuntime{now: time.Second})
		if err != nil {
			t.Fatal(err)
		}
		var lines []Endpoint
		for i := range 4 {
			lines = append(lines, Endpoint{Backend: &Backend{ID: uint32(i), Kind: 1}, State: Ready, CapacityUnits: float64(1 + i%2)})
		}
		d.UpdateEndpoints(lines, true)
		first[MinBy(d.backends, d.nextLoadScore).ID]++
	}
	if len(first) != 4 || first[1]+first[3] < 120 || first[1] > 120 || first[3] > 120 {
		t.Errorf("first choices of 200 dispatchers: %v", first)
	}
}

func TestOutcomesAreCountedPerClass(t *testing.T) {
	d, _ := newDispatcher(t)
	d.classes = append(d.classes, &Class{Index: 1})
	h, given := d.backends[2], [2]int{}
	h.Outcomes = make([]OutcomeStats, 3)
	for i := range h.Outcomes {
		h.Outcomes[i].Successes.BucketWidth, h.Outcomes[i].Failures.BucketWidth = time.Second, time.Second
	}
	for i := range 40 {
		d.PeerUpdated(PeerUpdate{Backend: h, ClassIndex: i % 2, Verdict: []Verdict{VerdictGood, VerdictBad}[i%2]})
	}
	for i := range 200 {
		q := newRequest(d)
		q.Class = d.classes[i%2]
		d.PeerUpdated(PeerUpdate{Backend: h, ClassIndex: 0, Verdict: VerdictGood})
		if d.drawTrust(d.successPosterior(h, q)) {
			given[i%2]++
		}
	}
	if given[0] < 90 || given[1] > 10 {
		t.Errorf("trusted %v of 100 each", given)
	}
}

func TestEligibleDrawsForOneSuspectedBackendAtATime(t *testing.T) {
	d, _ := newDispatcher(t)
	for range 30 {
		h := &Backend{Kind: 1}
		d.UpdateEndpoints([]Endpoint{{Backend: h, State: Ready, CapacityUnits: 1}}, false)
		for range 4 {
			d.PeerUpdated(PeerUpdate{Backend: h, Verdict: VerdictBad})
		}
	}
	tried := 0
	for range 500 {
		if len(d.eligible(newRequest(d), (*Backend).Decodes)) > 4 {
			tried++
		}
	}
	if tried == 0 || tried > 150 {
		t.Errorf("a doubtful host was among them %d times of 500", tried)
	}
}

func TestHeardTakesAnUnmetHostAsCold(t *testing.T) {
	d, _ := newDispatcher(t)
	d.PeerUpdated(PeerUpdate{Backend: d.backends[2], Verdict: VerdictUnreachable})
	if !d.inSlowStart(d.backends[2]) {
		t.Error("the host counts as warm")
	}
}

// A whole list says again what it said before, and knows only of processes: it must make a backend that can't be reached neither
// warm nor trusted.
func TestRepeatedEndpointListChangesNothing(t *testing.T) {
	for _, restart := range []bool{true, false} {
		d, out := newDispatcher(t)
		h := d.backends[2]
		line := Endpoint{Backend: h, State: Ready, CapacityUnits: 4, StartedAt: -time.Hour, StartReported: restart}
		d.UpdateEndpoints([]Endpoint{line}, false)
		h.CachedPrefixes[7] = CachedPrefix{100, out.now, 0}
		d.PeerUpdated(PeerUpdate{Backend: h, Verdict: VerdictUnreachable})
		out.now += time.Second
		d.UpdateEndpoints([]Endpoint{line}, false)
		if !d.inSlowStart(h) || h.Outcomes[0].ConsecutiveFailures != 1 || len(h.CachedPrefixes) != 1 {
			t.Errorf("restart %v: cold %v, %g failures, %d kept", restart, d.inSlowStart(h), h.Outcomes[0].ConsecutiveFailures, len(h.CachedPrefixes))
		}
		line.StartedAt, line.StartReported = out.now, true
		d.UpdateEndpoints([]Endpoint{line}, false)
		if !d.inSlowStart(h) || h.Outcomes[0].ConsecutiveFailures != 0 || len(h.CachedPrefixes) != 0 {
			t.Error("a new start went unseen")
		}
		out.now += 11 * time.Second
		if d.inSlowStart(h) {
			t.Error("it stays cold")
		}
	}
}

func TestPeerUpdatesGoToAFewPeersAndNeverToSelf(t *testing.T) {
	for _, c := range []struct {
		name  string
		peers bool
		price float64
		most  int
	}{{"not allowed", false, 0, 0}, {"free", true, 0, 8}, {"dear", true, 0.01, 2}} {
		f := testSettings()
		f["policyLimits.peers"], f["prices.peer"], f["siblings"], f["slotNo"] = c.peers, c.price, 50.0, 7.0
		out := &fakeRuntime{}
		d, err := New(f, 1, out)
		if err != nil {
			t.Fatal(err)
		}
		d.sendPeerUpdates(PeerUpdate{})
		if len(out.updatedPeers) != c.most || slices.Contains(out.updatedPeers, 7) {
			t.Errorf("%s: told %v", c.name, out.updatedPeers)
		}
	}
}

// Requests that were given up on early, by clients or their deadlines, once counted as if their first tokens had come quickly:
// while first tokens came seconds late, the window widened.
func TestWindowFollowsTimeToFirstToken(t *testing.T) {
	for _, c := range []struct {
		name  string
		out   time.Duration
		began bool
		ended Outcome
		moves int // 1: it widens, -1: it narrows
	}{
		{"quick", 100 * time.Millisecond, true, Served, 1},
		{"quick, by a request that another dispatcher cut off", 100 * time.Millisecond, false, Failed, 0},
		{"a client that left early", 300 * time.Millisecond, false, Cancelled, 0},
		{"a deadline that came early", 300 * time.Millisecond, false, TimedOut, -1},
		{"late", 900 * time.Millisecond, true, Served, -1},
		{"a client that left late", 900 * time.Millisecond, false, Cancelled, -1},
		{"rejected as full", time.Millisecond, false, Rejected, -1},
	} {
		d, out := newDispatcher(t)
		d.window = 10
		q := newRequest(d)
		trip := addAttempt(q, d.backends[2], c.ended, out.now)
		q.Outstanding, q.DispatchedAt, d.outstanding, d.queue = true, out.now, 10, []*Request{newRequest(d)}
		out.now += c.out
		if c.began {
			trip.FirstTokenAt = out.now
		}
		before := d.window
		d.clearOutstanding(q)
		if cmp.Compare(d.window, before) != c.moves {
			t.Errorf("%s: window %g -> %g", c.name, before, d.window)
		}
		d.outstanding -= 9
		if d.queue = nil; d.outstanding != 0 {
			out.timers[len(out.timers)-1]()
		}
		if d.outstanding != 0 {
			t.Errorf("%s: %d without a first token", c.name, d.outstanding)
		}
	}
}

// Timed-out reads still ran at their backends while the next stood behind them and timed out too: prefill backends did nothing else for 15 s.
func TestTimedOutRequestKeepsItsPlaceForAsLongAgain(t *testing.T) {
	for _, c := range []struct {
		ended Outcome
		took  time.Duration
		ahead float64 // seconds in which first tokens come lately
		keeps time.Duration
	}{
		{TimedOut, 600 * time.Millisecond, 0.5, 600 * time.Millisecond}, {Cancelled, 200 * time.Millisecond, 0.5, 200 * time.Millisecond},
		{TimedOut, 3 * time.Second, 0.5, time.Second}, {Prefilled, 600 * time.Millisecond, 0.5, 0}, {Unreachable, 200 * time.Millisecond, 0.5, 0},
		{Rejected, 0, 0.5, 0}, {TimedOut, 3 * time.Second, 0.1, 0}, // a backend that hangs holds up no others
	} {
		d, out := newDispatcher(t)
		d.window = 1
		d.timeToFirstToken.Add(c.ahead, 1)
		q := newRequest(d)
		addAttempt(q, d.backends[0], c.ended, out.now)
		q.Outstanding, q.DispatchedAt, d.outstanding = true, out.now, 1
		out.now += c.took
		out.timers, out.timerDelays = nil, nil
		d.clearOutstanding(q)
		switch {
		case c.keeps == 0 && d.outstanding == 0 && len(out.timers) == 0:
		case c.keeps == 0 || d.outstanding != 1 || len(out.timers) != 1 || out.timerDelays[0] != c.keeps:
			t.Errorf("%+v: %d without a first token, wakes in %v", c, d.outstanding, out.timerDelays)
		default:
			next := newRequest(d)
			d.enqueue(next)
			out.timers[0]()
			if len(out.sent) != 1 || out.sent[0].Request != next {
				t.Errorf("%+v: the place that comes free is not used", c)
			}
		}
	}
}

// Backends that had just started got one read a second while the others were jammed: each dispatcher waited for a request of theirs.
func TestAffinityCandidatesIncludeBackendsInSlowStart(t *testing.T) {
	d, out := newDispatcher(t)
	for i := range 20 {
		d.UpdateEndpoints([]Endpoint{{Backend: &Backend{ID: uint32(100 + i)}, State: Ready, CapacityUnits: 1}}, false)
	}
	q, readers := newRequest(d), Filter(d.backends, (*Backend).PrefillOnly)
	homes := d.affinityCandidates(q, RolePrefill, slices.Clone(readers))
	cold := readers[slices.IndexFunc(readers, func(h *Backend) bool { return !slices.Contains(homes, h) })]
	cold.StartReported, cold.StartedAt = true, out.now-time.Second
	if got := d.affinityCandidates(q, RolePrefill, slices.Clone(readers)); !slices.Equal(got, append(homes, cold)) {
		t.Errorf("%d homes", len(got))
	}
	if w := d.capacityShare(cold); w < 0.3 || w > 0.4 || d.capacityShare(homes[0]) != 1 || d.loadScore(cold, 0) < 2*d.loadScore(homes[0], 0) {
		t.Errorf("warmth %g, a press of %g against %g", w, d.loadScore(cold, 0), d.loadScore(homes[0], 0))
	}
}

// Cold backends that speak for each other were let have less from window to window, until nothing went anywhere.
func TestSlowStartBudgetIsKeptWhileAllAreInSlowStart(t *testing.T) {
	d, out := newDispatcher(t)
	for _, h := range d.backends[:2] {
		h.CompletedWork.Add(out.now, 20000)
	}
	warm := d.slowStartBudget(d.backends[0])
	for _, h := range d.backends[:2] {
		h.StartReported, h.StartedAt = true, out.now
	}
	out.now += 30 * time.Second // nothing that was carried counts any more
	for _, h := range d.backends[:2] {
		h.StartedAt = out.now
	}
	if cold := d.slowStartBudget(d.backends[0]); warm == 0 || cold != warm {
		t.Errorf("a part of %g is %g when all are cold", warm, cold)
	}
}

func TestAffinityCandidatesAreStableAndGrowWithShare(t *testing.T) {
	d, out := newDispatcher(t)
	for i := range 20 {
		d.UpdateEndpoints([]Endpoint{{Backend: &Backend{ID: uint32(100 + i)}, State: Ready, CapacityUnits: 1}}, false)
	}
	q, readers := newRequest(d), Filter(d.backends, (*Backend).PrefillOnly)
	two := slices.Clone(d.affinityCandidates(q, RolePrefill, slices.Clone(readers)))
	without := slices.DeleteFunc(slices.Clone(readers), func(h *Backend) bool { return h == two[0] })
	if left := d.affinityCandidates(q, RolePrefill, without); len(two) != 2 || !slices.Equal(left, two[1:]) {
		t.Errorf("homes %v, with one doubted %v", two, left)
	}
	d.prefillRequests.Add(out.now, 100)
	d.prefixTable.Add(q.PrefixKey, out.now, 50)
	if got := len(d.affinityCandidates(q, RolePrefill, readers)); got < 12 || got > 21 {
		t.Errorf("a beginning of half the questions has %d homes of 22", got)
	}
}

func TestAttemptCutShortCountsForNothing(t *testing.T) {
	for _, c := range []struct {
		took time.Duration
		bad  float64
	}{{100 * time.Millisecond, 0}, {2 * time.Second, 1}} {
		d, out := newDispatcher(t)
		h := d.backends[2]
		d.secondsPerToken[RoleDecode].Add(0.001, 1)
		d.recordOutcome(addAttempt(newRequest(d), h, TimedOut, out.now), c.took, false, false)
		if got := h.Outcomes[0].Failures.Sum(out.now); got != c.bad {
			t.Errorf("after %v: %g against the host", c.took, got)
		}
	}
}

func TestMixedGetsLessWorkWhereWholeAttemptsAreSlower(t *testing.T) {
	for _, c := range []struct {
		name  string
		pace  float64
		taken bool
	}{{"as quick", 1e-4, true}, {"slower", 1e-2, false}} {
		d, _ := newDispatcher(t)
		d.meanPrefillTokens = 1000
		for i, h := range d.backends {
			h.Bias, h.Streams = 0, []int{3, 3, 8, 8, 0, 0}[i]
		}
		for role, pace := range []float64{1e-4, 1e-4, c.pace} {
			d.secondsPerToken[role].Add(pace, 1)
		}
		if m := d.pickMixed(newRequest(d), d.backends[2:], d.backends[0]); (m != nil) != c.taken {
			t.Errorf("%s: got %v", c.name, m)
		}
	}
}

func TestBackendThatFailedForLongStillGetsSomeWork(t *testing.T) {
	d, out := newDispatcher(t)
	h, given := d.backends[2], 0
	for range 100 {
		d.PeerUpdated(PeerUpdate{Backend: h, Verdict: VerdictBad})
	}
	out.now += time.Minute
	for range 1000 {
		if d.drawTrust(d.successPosterior(h, newRequest(d))) {
			given++
		}
	}
	if given < 20 || given > 300 {
		t.Errorf("a minute after a hundred failures it got %d of 1000", given)
	}
}

// Half a fleet dying under a few dispatchers ends dozens of attempts late in one moment: they tell of one jam. Were each
// to narrow the window, it would close to nothing, and learn nothing for minutes.
func TestOneCongestionEventHalvesTheWindowAtMost(t *testing.T) {
	d, out := newDispatcher(t)
	d.window = 20
	for range 60 {
		q := newRequest(d)
		q.Outstanding, q.DispatchedAt = true, out.now-2*time.Second
		addAttempt(q, d.backends[0], TimedOut, out.now)
		d.outstanding++
		q.TargetAt = out.now + time.Second
		d.clearOutstanding(q)
	}
	out.now += 3 * time.Second
	if d.window != 10 {
		t.Errorf("the window is %g", d.window)
	}
	q := newRequest(d) // one let out after the jam was told of another
	q.Outstanding, q.DispatchedAt, d.outstanding = true, out.now-2*time.Second, d.outstanding+1
	addAttempt(q, d.backends[0], Rejected, out.now)
	d.clearOutstanding(q)
	if d.window >= 10 || d.window < 5 {
		t.Errorf("after the next one it is %g", d.window)
	}
}

// Warm mixed backends that only wrote spoke for cold ones that were sent whole requests: pushed over on the emulator.
func TestDecodeAtMixedBackendCountsLessThanWholeRequests(t *testing.T) {
	budget := func(stage Stage) float64 {
		d, out := newDispatcher(t)
		d.classes[0].PrefillTokens.Add(3000, 1)
		d.classes[0].DecodeSeconds.Add(1, 1)
		warm, cold := d.backends[4], d.backends[5]
		cold.StartedAt, cold.StartReported = out.now, true
		for range 20 {
			q := newRequest(d)
			q.Attempts = []*Attempt{{Request: q, Backend: warm, Stage: stage, FirstTokenAt: out.now, OnResult: func(Result) {}}}
			d.AttemptDone(q.Attempts[0], Result{Outcome: Served, Finished: true})
		}
		return d.slowStartBudget(cold)
	}
	if write, whole := budget(StageDecode), budget(StageWhole); write <= 0 || write > whole/10 {
		t.Errorf("a cold mixed host's part is %.0f after 20 writes at a warm one, %.0f after 20 whole questions", write, whole)
	}
}

// Backends come and go for as long as a dispatcher runs: one that is gone, with nothing out, is walked over by no choice.
func TestListedDropsRemovedBackends(t *testing.T) {
	d, _ := newDispatcher(t)
	q := newRequest(d)
	busy := d.backends[2]
	if !d.send(q, busy, StageWhole, func(Result) {}) {
		t.Fatal("not sent")
	}
	for i := range 300 {
		h := &Backend{ID: uint32(100 + i), Kind: 1}
		d.UpdateEndpoints([]Endpoint{{Backend: h, State: Ready, CapacityUnits: 4}}, false)
		d.UpdateEndpoints([]Endpoint{{Backend: h, State: Removed}}, false)
	}
	d.UpdateEndpoints([]Endpoint{{Backend: d.backends[0], State: Ready, CapacityUnits: 4}}, true)
	if len(d.backends) != 2 || !slices.Contains(d.backends, busy) {
		t.Errorf("%d hosts are held, of 1 that is there and 1 with a trip out", len(d.backends))
	}
	d.AttemptDone(q.Attempts[0], Result{Outcome: Served, Finished: true})
	d.UpdateEndpoints([]Endpoint{{Backend: busy, State: Ready, CapacityUnits: 4}}, false)
	d.UpdateEndpoints([]Endpoint{{Backend: busy, State: Ready, CapacityUnits: 4}}, false)
	if len(d.backends) != 2 {
		t.Errorf("%d hosts after one came back", len(d.backends))
	}
}

// What backends are thought to have kept is forgotten by age, not when a count is passed: with more keys than that in use, all of
// them were looked through at each attempt, and none dropped.
func TestRefreshForgetsCachedPrefixesByAge(t *testing.T) {
	d, out := newDispatcher(t)
	for i := range 5000 {
		q := newRequest(d)
		q.SessionKey, q.PrefixKey = uint64(1000+i), 0
		d.recordCachedPrefix(&Attempt{Request: q, Backend: d.backends[2]}, 0)
	}
	out.now += prefixTTL + time.Second
	q := newRequest(d)
	d.recordCachedPrefix(&Attempt{Request: q, Backend: d.backends[2]}, 0)
	d.refresh()
	if n := len(d.backends[2].CachedPrefixes); n != 2 {
		t.Errorf("%d texts are held, 2 are fresh", n)
	}
	few := d.backends[3]
	few.CachedPrefixes[5] = CachedPrefix{10, out.now, 0}
	out.now += prefixTTL + time.Second
	d.refresh()
	if len(few.CachedPrefixes) != 0 {
		t.Error("a text that is never used again is held for good")
	}
}

// A request whose client has gone must not stand in front of others, and none is answered twice.
func TestFinishedRequestIsNeitherQueuedNorAnsweredAgain(t *testing.T) {
	d, out := newDispatcher(t)
	q := newRequest(d)
	d.enqueue(q)
	d.ClientDisconnected(q)
	d.giveUp(q)
	if len(d.queue) != 0 || len(out.rejected)+len(out.failed) != 0 {
		t.Errorf("%d held, %d answers to a client that has gone", len(d.queue), len(out.rejected)+len(out.failed))
	}
}

// While the gate bars every backend, what is held widens the window with each answer that still begins. Without a bound it stood at
// 1e16 when the gate opened, and flooded the fleet.
func TestWindowIsBounded(t *testing.T) {
	d, _ := newDispatcher(t)
	d.queue = []*Request{newRequest(d)}
	for range 200 {
		q := newRequest(d)
		addAttempt(q, d.backends[2], Served, d.runtime.Now()).FirstTokenAt = d.runtime.Now()
		q.Outstanding, q.DispatchedAt = true, d.runtime.Now()
		d.outstanding = int(d.window) + 1
		d.clearOutstanding(q)
	}
	if most := windowPerBackend * float64(len(d.backends)); d.window != most {
		t.Errorf("the window is %g, %g at most", d.window, most)
	}
}
