package scheduler

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

func TestDisallowedFollowsTheRules(t *testing.T) {
	for _, tc := range []struct {
		name       string
		prepare    func(dispatcher *Dispatcher, req *Request, backend *Backend)
		disallowed bool
		scope      DedupScope
	}{
		{name: "nothing against it", prepare: func(*Dispatcher, *Request, *Backend) {}},
		{name: "finished", disallowed: true, prepare: func(_ *Dispatcher, r *Request, _ *Backend) { r.Finished = true }},
		{name: "an attempt is in flight", disallowed: true, prepare: func(_ *Dispatcher, req *Request, backend *Backend) {
			addAttempt(req, backend, Rejected, 0).Ended = false
		}},
		{name: "deadline passed", disallowed: true, prepare: func(dispatcher *Dispatcher, r *Request, _ *Backend) {
			r.Deadline = dispatcher.runtime.Now()
		}},
		{name: "attempts used up", disallowed: true, prepare: func(_ *Dispatcher, req *Request, backend *Backend) {
			for range 4 {
				addAttempt(req, backend, Rejected, 0)
			}
		}},
		{name: "draining", disallowed: true, prepare: func(_ *Dispatcher, _ *Request, b *Backend) { b.State = Draining }},
		{name: "removed", disallowed: true, prepare: func(_ *Dispatcher, _ *Request, b *Backend) { b.State = Removed }},
		{name: "non-idempotent, may have run", disallowed: true,
			prepare: func(_ *Dispatcher, req *Request, backend *Backend) {
				req.Class.Effect = NonIdempotent
				addAttempt(req, backend, TimedOut, 0)
			}},
		{name: "non-idempotent, proven not run", prepare: func(_ *Dispatcher, req *Request, backend *Backend) {
			req.Class.Effect = NonIdempotent
			addAttempt(req, backend, Rejected, 0)
		}},
		{name: "non-idempotent, lost at a prefill backend", prepare: func(dispatcher *Dispatcher, req *Request, _ *Backend) {
			req.Class.Effect = NonIdempotent
			addAttempt(req, dispatcher.backends[0], ConnectionLost, 0)
		}},
		{name: "deduplicated, after its window", disallowed: true,
			prepare: func(dispatcher *Dispatcher, req *Request, backend *Backend) {
				req.Class.Effect, req.Class.DedupWindow = Deduplicated, time.Second
				addAttempt(req, backend, TimedOut, dispatcher.runtime.Now()-time.Second)
			}},
		{name: "deduplicated, in its window", prepare: func(dispatcher *Dispatcher, req *Request, backend *Backend) {
			req.Class.Effect, req.Class.DedupWindow = Deduplicated, time.Second
			addAttempt(req, backend, TimedOut, dispatcher.runtime.Now()-time.Second/2)
		}},
		{name: "deduplicated, other rack", disallowed: true, scope: SameRack,
			prepare: func(dispatcher *Dispatcher, req *Request, _ *Backend) {
				req.Class.Effect, req.Class.DedupWindow = Deduplicated, time.Minute
				addAttempt(req, dispatcher.backends[3], TimedOut, dispatcher.runtime.Now())
			}},
		{name: "deduplicated, other zone", disallowed: true, scope: SameZone,
			prepare: func(dispatcher *Dispatcher, req *Request, _ *Backend) {
				req.Class.Effect, req.Class.DedupWindow = Deduplicated, time.Minute
				dispatcher.backends[3].Zone = 1
				addAttempt(req, dispatcher.backends[3], TimedOut, dispatcher.runtime.Now())
			}},
		{name: "in slow start, budget used up", disallowed: true,
			prepare: func(dispatcher *Dispatcher, _ *Request, backend *Backend) {
				backend.StartReported, backend.StartedAt = true, dispatcher.runtime.Now()-time.Second
				dispatcher.backends[3].CompletedWork.Add(dispatcher.runtime.Now(), 50000)
				backend.SentWork.Add(dispatcher.runtime.Now(), 12000)
			}},
		{name: "in slow start, budget left", prepare: func(dispatcher *Dispatcher, _ *Request, backend *Backend) {
			backend.StartReported, backend.StartedAt = true, dispatcher.runtime.Now()-time.Second
			dispatcher.backends[3].CompletedWork.Add(dispatcher.runtime.Now(), 50000)
			backend.SentWork.Add(dispatcher.runtime.Now(), 100)
		}},
		{name: "in slow start while warm backends are heavily loaded", disallowed: true,
			prepare: func(dispatcher *Dispatcher, _ *Request, backend *Backend) {
				backend.StartReported, backend.StartedAt = true, dispatcher.runtime.Now()-time.Second
				dispatcher.backends[3].SentWork.Add(dispatcher.runtime.Now(), 50000)
				backend.SentWork.Add(dispatcher.runtime.Now(), 100)
			}},
	} {
		dispatcher, _ := newDispatcher(t)
		req := newRequest(dispatcher)
		req.Class.DedupScope = tc.scope
		tc.prepare(dispatcher, req, dispatcher.backends[2])
		if got := dispatcher.disallowed(req, dispatcher.backends[2]); got != tc.disallowed {
			t.Errorf("%s: disallowed is %v", tc.name, got)
		}
	}
}

func TestGiveUpRejectsOnlyWhereARetryIsHarmless(t *testing.T) {
	for _, tc := range []struct {
		name     string
		effect   Effect
		scope    DedupScope
		outcome  Outcome
		rejected bool
	}{
		{"idempotent that may have run", Idempotent, WholeFleet, TimedOut, true},
		{"non-idempotent that never ran", NonIdempotent, WholeFleet, Rejected, true},
		{"non-idempotent that may have run", NonIdempotent, WholeFleet, ConnectionLost, false},
		{"deduplicated everywhere", Deduplicated, WholeFleet, TimedOut, true},
		{"deduplicated in its rack", Deduplicated, SameRack, TimedOut, false},
	} {
		d, runtime := newDispatcher(t)
		req := newRequest(d)
		req.Class.Effect, req.Class.DedupScope, req.KVHolder = tc.effect, tc.scope, d.backends[0]
		addAttempt(req, d.backends[2], tc.outcome, 0)
		d.giveUp(req)
		if (len(runtime.rejected) == 1) != tc.rejected || (len(runtime.failed) == 1) == tc.rejected ||
			len(runtime.released) != 1 {
			t.Errorf("%s: rejected %d, failed %d, released %d", tc.name, len(runtime.rejected), len(runtime.failed),
				len(runtime.released))
		}
	}
}

func TestKVCacheOfADisconnectedClientIsReleased(t *testing.T) {
	d, runtime := newDispatcher(t)
	req := newRequest(d)
	attempt := addAttempt(req, d.backends[0], 0, d.runtime.Now())
	attempt.Ended, req.Finished, d.backends[0].KVTokens = false, true, req.KVTokens
	d.AttemptDone(attempt, Result{Outcome: Prefilled, Finished: true})
	if len(runtime.released) != 1 || d.backends[0].KVTokens != 0 {
		t.Errorf("released %d, tokens %g", len(runtime.released), d.backends[0].KVTokens)
	}
}

func TestEnqueueGivesUpRequestsThatExpireBeforeTheNextSweep(t *testing.T) {
	d, runtime := newDispatcher(t)
	req := newRequest(d)
	req.Deadline = d.runtime.Now() + queueSweepInterval
	d.enqueue(req)
	if len(runtime.rejected) != 1 || len(d.queue) != 0 {
		t.Errorf("rejected %d, queued %d", len(runtime.rejected), len(d.queue))
	}
}

func TestUnreachableBackendIsInSlowStart(t *testing.T) {
	d, _ := newDispatcher(t)
	req := newRequest(d)
	attempt := addAttempt(req, d.backends[2], 0, d.runtime.Now())
	attempt.Ended = false
	d.AttemptDone(attempt, Result{Outcome: Unreachable, Finished: true})
	if !d.inSlowStart(d.backends[2]) {
		t.Error("the backend is not in slow start")
	}
}

func TestSuspectedBackendStillGetsSomeWork(t *testing.T) {
	d, _ := newDispatcher(t)
	backend := d.backends[2]
	backend.Outcomes[0].Failures.Add(d.runtime.Now(), 8)
	granted := 0
	for range 1000 {
		if d.drawTrust(d.successPosterior(backend, newRequest(d))) {
			granted++
		}
	}
	if granted == 0 || granted > 300 {
		t.Errorf("a suspected backend got %d of 1000", granted)
	}
}

// A request that no backend may take any more, as its group drains or its deduplication window has closed, is
// given up at once: otherwise it would block the queue until its deadline.
func TestDispatchGivesUpRequestsThatNoBackendMayTake(t *testing.T) {
	dispatcher, runtime := newDispatcher(t)
	first, behind := newRequest(dispatcher), newRequest(dispatcher)
	behind.ID = 2
	first.Class = &Class{Effect: Deduplicated, DedupScope: SameRack, DedupWindow: time.Minute, Value: 9,
		Target: time.Second}
	addAttempt(first, dispatcher.backends[2], TimedOut, runtime.now)
	dispatcher.enqueue(first)
	for _, backend := range dispatcher.backends {
		if backend.Rack == dispatcher.backends[2].Rack {
			backend.State = Draining
		}
	}
	dispatcher.enqueue(behind)
	if dispatcher.queue[0] != first {
		t.Fatal("the other request is first in the queue")
	}
	dispatcher.dispatch()
	if len(runtime.sent) != 1 || runtime.sent[0].Request != behind || len(runtime.failed) != 1 ||
		runtime.failed[0] != first || len(dispatcher.queue) != 0 {
		t.Errorf("%d sent, %d failed, %d queued", len(runtime.sent), len(runtime.failed), len(dispatcher.queue))
	}
}

func TestShedRejectsTheLeastValueDenseUnderOverload(t *testing.T) {
	d, runtime := newDispatcher(t)
	early, late := newRequest(d), newRequest(d)
	early.ID, late.ID = 1, 2
	d.queue = []*Request{early, late}
	runtime.now += 300 * time.Millisecond
	d.window = 0.1 // one per 2.5 s at a time to first token of 0.25 s
	d.shedLate()
	if !slices.Equal(runtime.rejected, []*Request{late}) {
		t.Errorf("rejected %v", runtime.rejected)
	}
}

func TestRoutePrefillsShortPromptsInPlaceOnceAMeanIsKnown(t *testing.T) {
	for _, tc := range []struct {
		name      string
		average   float64
		cached    float64
		stage     Stage
		backendID uint32
	}{
		{"no mean known yet", 0, 1900, StagePrefill, 0},
		{"short for the decode backend that has its prefix cached", 1000, 1900, StageWhole, 4},
	} {
		d, runtime := newDispatcher(t)
		d.meanPrefillTokens = tc.average
		d.backends[4].State, d.backends[5].State = Removed, Removed
		d.backends[3].CachedPrefixes[7] = CachedPrefix{Tokens: tc.cached, UsedAt: d.runtime.Now()}
		d.route(newRequest(d))
		if len(runtime.sent) != 1 || runtime.sent[0].Stage != tc.stage ||
			tc.backendID != 0 && runtime.sent[0].Backend.ID != tc.backendID {
			t.Errorf("%s: sent %+v", tc.name, runtime.sent)
		}
	}
}

func TestLostKVCacheIsPrefilledAgain(t *testing.T) {
	d, runtime := newDispatcher(t)
	req := newRequest(d)
	attempt := addAttempt(req, d.backends[2], 0, d.runtime.Now())
	attempt.Ended, attempt.Stage, attempt.OnResult, req.KVHolder = false, StageDecode, d.afterAttempt(req), d.backends[0]
	d.AttemptDone(attempt, Result{Outcome: Rejected, Detail: 1})
	if len(runtime.sent) != 1 || runtime.sent[0].Stage != StagePrefill {
		t.Errorf("sent %v", runtime.sent)
	}
}

func TestNewNamesMissingOrInvalidSetting(t *testing.T) {
	for name, value := range map[string]any{"rules.coldFrom": -0.5, "siblings": -1.0, "requestClasses": 0.0,
		// The scheduler divides by these or counts up to them.
		"rules.tipAfterUs": 0.5, "rules.tipMultiple": -1.0, "rules.rampTimeUs": math.Inf(1), "policyLimits.maxAttempts": -1.0,
		"requestClasses.0.aimUs": 0.0, "requestClasses.0.worth": math.NaN(), "prices.peer": math.NaN(),
		"prices.crossZone": -1.0} {
		settings := testSettings()
		settings[name] = value
		if _, err := New(settings, 1, &fakeRuntime{}); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

func TestPrefillPrefersRackWithLessLoadedDecodeBackends(t *testing.T) {
	dispatcher, _ := newDispatcher(t)
	for i, backend := range dispatcher.backends[2:] {
		backend.RelativeCapacity = 100
		backend.Streams = 90 * (i % 2) // the decode backend and the mixed backend of the second rack are full
	}
	if backend := dispatcher.pickPrefill(newRequest(dispatcher), dispatcher.backends[2:]); backend == nil ||
		backend.Rack != 0 {
		t.Errorf("got %+v", backend)
	}
	for _, backend := range dispatcher.backends[2:] {
		backend.Streams = 90 - backend.Streams
	}
	if backend := dispatcher.pickPrefill(newRequest(dispatcher), dispatcher.backends[2:]); backend == nil ||
		backend.Rack != 1 {
		t.Errorf("got %+v", backend)
	}
}

func TestAttemptTimeoutLeavesTimeForAnotherAttempt(t *testing.T) {
	for _, tc := range []struct {
		name      string
		effect    Effect
		stage     Stage
		number    int
		wholeTime bool
	}{
		{"idempotent", Idempotent, StageWhole, 0, false},
		{"non-idempotent at a prefill backend", NonIdempotent, StagePrefill, 0, false},
		{"non-idempotent at a decode backend", NonIdempotent, StageDecode, 1, true},
		{"the last attempt allowed", Idempotent, StageWhole, 3, true},
	} {
		d, _ := newDispatcher(t)
		req := newRequest(d)
		req.Class.Effect = tc.effect
		wait := d.attemptTimeout(&Attempt{Request: req, Stage: tc.stage, Number: tc.number, SentAt: req.ReceivedAt})
		if (wait == req.Deadline-req.ReceivedAt) != tc.wholeTime {
			t.Errorf("%s: the timeout is %v of %v", tc.name, wait, req.Deadline-req.ReceivedAt)
		}
	}
}

func TestLostConnectionDoesNotCauseSlowStart(t *testing.T) {
	d, _ := newDispatcher(t)
	attempt := addAttempt(newRequest(d), d.backends[2], 0, d.runtime.Now())
	attempt.Ended = false
	d.AttemptDone(attempt, Result{Outcome: ConnectionLost, Finished: true})
	if d.inSlowStart(d.backends[2]) {
		t.Error("the backend is in slow start")
	}
}

// What a fleet lets through per window equals the sum of all shares, not only on average, and every dispatcher
// gets its turns.
func TestSlowStartSharesBelowOneRequestAddUp(t *testing.T) {
	dispatcher, runtime := newDispatcher(t)
	backend := dispatcher.backends[2]
	for _, other := range dispatcher.backends {
		if other.Role == RoleDecode && other != backend {
			other.CompletedWork.Add(runtime.now, 1000) // a share of about a tenth of the request's work
		}
	}
	const fleet = 300
	dispatcher.parameters.dispatchers = fleet
	backend.StartReported, backend.StartedAt = true, runtime.now
	want := fleet * dispatcher.slowStartBudget(backend) / dispatcher.requestWork(newRequest(dispatcher), backend,
		StageWhole)
	turns := map[int]int{}
	for window := range 4 {
		allowed := 0
		for slot := range fleet {
			dispatcher.parameters.index = float64(slot)
			if !dispatcher.disallowed(newRequest(dispatcher), backend) {
				allowed++
				turns[slot]++
			}
		}
		if math.Abs(float64(allowed)-want) > 1 || want < 10 || want > 60 {
			t.Errorf("window %d: %d of %d dispatchers may send one, the shares add up to %.1f", window, allowed, fleet, want)
		}
		runtime.now += 2 * time.Second
	}
	if len(turns) < int(2*want) {
		t.Errorf("only %d dispatchers ever have a turn", len(turns))
	}
}

func TestDispatchersPreferDifferentBackends(t *testing.T) {
	first := map[uint32]int{}
	for seed := range uint64(200) {
		d, err := New(testSettings(), seed, &fakeRuntime{now: time.Second})
		if err != nil {
			t.Fatal(err)
		}
		var endpoints []Endpoint
		for i := range 4 {
			endpoints = append(endpoints, Endpoint{Backend: &Backend{ID: uint32(i), Kind: 1}, State: Ready,
				CapacityUnits: float64(1 + i%2)})
		}
		d.UpdateEndpoints(endpoints, true)
		first[MinBy(d.backends, d.nextLoadScore).ID]++
	}
	if len(first) != 4 || first[1]+first[3] < 120 || first[1] > 120 || first[3] > 120 {
		t.Errorf("first choices of 200 dispatchers: %v", first)
	}
}

func TestOutcomesAreCountedPerClass(t *testing.T) {
	dispatcher, _ := newDispatcher(t)
	dispatcher.classes = append(dispatcher.classes, &Class{Index: 1})
	backend, granted := dispatcher.backends[2], [2]int{}
	backend.Outcomes = make([]OutcomeStats, 3)
	for i := range backend.Outcomes {
		backend.Outcomes[i].Successes.BucketWidth, backend.Outcomes[i].Failures.BucketWidth = time.Second, time.Second
	}
	for i := range 40 {
		dispatcher.PeerUpdated(PeerUpdate{Backend: backend, ClassIndex: i % 2,
			Verdict: []Verdict{VerdictGood, VerdictBad}[i%2]})
	}
	for i := range 200 {
		req := newRequest(dispatcher)
		req.Class = dispatcher.classes[i%2]
		dispatcher.PeerUpdated(PeerUpdate{Backend: backend, ClassIndex: 0, Verdict: VerdictGood})
		if dispatcher.drawTrust(dispatcher.successPosterior(backend, req)) {
			granted[i%2]++
		}
	}
	if granted[0] < 90 || granted[1] > 10 {
		t.Errorf("granted %v of 100 each", granted)
	}
}

func TestEligibleDrawsForOneSuspectedBackendAtATime(t *testing.T) {
	d, _ := newDispatcher(t)
	for range 30 {
		backend := &Backend{Kind: 1}
		d.UpdateEndpoints([]Endpoint{{Backend: backend, State: Ready, CapacityUnits: 1}}, false)
		for range 4 {
			d.PeerUpdated(PeerUpdate{Backend: backend, Verdict: VerdictBad})
		}
	}
	tried := 0
	for range 500 {
		if len(d.eligible(newRequest(d), (*Backend).Decodes)) > 4 {
			tried++
		}
	}
	if tried == 0 || tried > 150 {
		t.Errorf("a suspected backend was eligible %d times of 500", tried)
	}
}

func TestPeerUpdateOfUnreachableBackendCausesSlowStart(t *testing.T) {
	d, _ := newDispatcher(t)
	d.PeerUpdated(PeerUpdate{Backend: d.backends[2], Verdict: VerdictUnreachable})
	if !d.inSlowStart(d.backends[2]) {
		t.Error("the backend is not in slow start")
	}
}

// A full list repeats what it said before and knows only of processes: it must not end the slow start of a
// backend that can't be reached, nor clear its failures.
func TestRepeatedEndpointListChangesNothing(t *testing.T) {
	for _, restart := range []bool{true, false} {
		dispatcher, runtime := newDispatcher(t)
		backend := dispatcher.backends[2]
		endpoint := Endpoint{Backend: backend, State: Ready, CapacityUnits: 4, StartedAt: -time.Hour, StartReported: restart}
		dispatcher.UpdateEndpoints([]Endpoint{endpoint}, false)
		backend.CachedPrefixes[7] = CachedPrefix{100, runtime.now, 0}
		dispatcher.PeerUpdated(PeerUpdate{Backend: backend, Verdict: VerdictUnreachable})
		runtime.now += time.Second
		dispatcher.UpdateEndpoints([]Endpoint{endpoint}, false)
		if !dispatcher.inSlowStart(backend) || backend.Outcomes[0].ConsecutiveFailures != 1 ||
			len(backend.CachedPrefixes) != 1 {
			t.Errorf("restart %v: slow start %v, %g failures, %d prefixes", restart, dispatcher.inSlowStart(backend),
				backend.Outcomes[0].ConsecutiveFailures, len(backend.CachedPrefixes))
		}
		endpoint.StartedAt, endpoint.StartReported = runtime.now, true
		dispatcher.UpdateEndpoints([]Endpoint{endpoint}, false)
		if !dispatcher.inSlowStart(backend) || backend.Outcomes[0].ConsecutiveFailures != 0 ||
			len(backend.CachedPrefixes) != 0 {
			t.Error("a new start was ignored")
		}
		runtime.now += 11 * time.Second
		if dispatcher.inSlowStart(backend) {
			t.Error("it stays in slow start")
		}
	}
}

func TestPeerUpdatesGoToAFewPeersAndNeverToSelf(t *testing.T) {
	for _, tc := range []struct {
		name    string
		allowed bool
		price   float64
		peers   int
	}{{"not allowed", false, 0, 0}, {"free of charge", true, 0, 8}, {"expensive", true, 0.01, 2}} {
		settings := testSettings()
		settings["policyLimits.peers"], settings["prices.peer"], settings["siblings"], settings["slotNo"] =
			tc.allowed, tc.price, 50.0, 7.0
		runtime := &fakeRuntime{}
		d, err := New(settings, 1, runtime)
		if err != nil {
			t.Fatal(err)
		}
		d.sendPeerUpdates(PeerUpdate{})
		if len(runtime.updatedPeers) != tc.peers || slices.Contains(runtime.updatedPeers, 7) {
			t.Errorf("%s: updated peers %v", tc.name, runtime.updatedPeers)
		}
	}
}

// Requests that clients or deadlines ended early must not count as if their first tokens had come quickly:
// that widened the window while first tokens came seconds late.
func TestWindowFollowsTimeToFirstToken(t *testing.T) {
	for _, tc := range []struct {
		name          string
		elapsed       time.Duration
		gotFirstToken bool
		outcome       Outcome
		direction     int // 1: it widens, -1: it narrows
	}{
		{"quick", 100 * time.Millisecond, true, Served, 1},
		{"quick, cancelled by another dispatcher", 100 * time.Millisecond, false, Failed, 0},
		{"a client that disconnected early", 300 * time.Millisecond, false, Cancelled, 0},
		{"an early deadline", 300 * time.Millisecond, false, TimedOut, -1},
		{"late", 900 * time.Millisecond, true, Served, -1},
		{"a client that disconnected late", 900 * time.Millisecond, false, Cancelled, -1},
		{"rejected as full", time.Millisecond, false, Rejected, -1},
	} {
		dispatcher, runtime := newDispatcher(t)
		dispatcher.window = 10
		req := newRequest(dispatcher)
		attempt := addAttempt(req, dispatcher.backends[2], tc.outcome, runtime.now)
		req.Outstanding, req.DispatchedAt, dispatcher.outstanding, dispatcher.queue = true, runtime.now, 10,
			[]*Request{newRequest(dispatcher)}
		runtime.now += tc.elapsed
		if tc.gotFirstToken {
			attempt.FirstTokenAt = runtime.now
		}
		before := dispatcher.window
		dispatcher.clearOutstanding(req)
		if cmp.Compare(dispatcher.window, before) != tc.direction {
			t.Errorf("%s: window %g -> %g", tc.name, before, dispatcher.window)
		}
		dispatcher.outstanding -= 9
		if dispatcher.queue = nil; dispatcher.outstanding != 0 {
			runtime.timers[len(runtime.timers)-1]()
		}
		if dispatcher.outstanding != 0 {
			t.Errorf("%s: %d without a first token", tc.name, dispatcher.outstanding)
		}
	}
}

// A prefill that timed out still runs at its backend. If its place were free at once, the next request would
// wait behind it and time out too: prefill backends then do nothing but such work.
func TestTimedOutRequestKeepsItsPlaceForAsLongAgain(t *testing.T) {
	for _, tc := range []struct {
		outcome    Outcome
		took       time.Duration
		expected   float64 // expected seconds to a first token
		keepsPlace time.Duration
	}{
		{TimedOut, 600 * time.Millisecond, 0.5, 600 * time.Millisecond},
		{Cancelled, 200 * time.Millisecond, 0.5, 200 * time.Millisecond},
		{TimedOut, 3 * time.Second, 0.5, time.Second}, {Prefilled, 600 * time.Millisecond, 0.5, 0},
		{Unreachable, 200 * time.Millisecond, 0.5, 0},
		{Rejected, 0, 0.5, 0}, {TimedOut, 3 * time.Second, 0.1, 0}, // an unresponsive backend holds up no others
	} {
		dispatcher, runtime := newDispatcher(t)
		dispatcher.window = 1
		dispatcher.timeToFirstToken.Add(tc.expected, 1)
		req := newRequest(dispatcher)
		addAttempt(req, dispatcher.backends[0], tc.outcome, runtime.now)
		req.Outstanding, req.DispatchedAt, dispatcher.outstanding = true, runtime.now, 1
		runtime.now += tc.took
		runtime.timers, runtime.timerDelays = nil, nil
		dispatcher.clearOutstanding(req)
		switch {
		case tc.keepsPlace == 0 && dispatcher.outstanding == 0 && len(runtime.timers) == 0:
		case tc.keepsPlace == 0 || dispatcher.outstanding != 1 || len(runtime.timers) != 1 ||
			runtime.timerDelays[0] != tc.keepsPlace:
			t.Errorf("%+v: %d without a first token, timers after %v", tc, dispatcher.outstanding, runtime.timerDelays)
		default:
			next := newRequest(dispatcher)
			dispatcher.enqueue(next)
			runtime.timers[0]()
			if len(runtime.sent) != 1 || runtime.sent[0].Request != next {
				t.Errorf("%+v: the free place is not used", tc)
			}
		}
	}
}

// Backends that have just started get prefill work while the others are congested. Otherwise each dispatcher
// waits for a request whose prefix hashes to them.
func TestAffinityCandidatesIncludeBackendsInSlowStart(t *testing.T) {
	dispatcher, runtime := newDispatcher(t)
	for i := range 20 {
		dispatcher.UpdateEndpoints([]Endpoint{{Backend: &Backend{ID: uint32(100 + i)}, State: Ready, CapacityUnits: 1}},
			false)
	}
	req, prefillBackends := newRequest(dispatcher), Filter(dispatcher.backends, (*Backend).PrefillOnly)
	candidates := dispatcher.affinityCandidates(req, RolePrefill, slices.Clone(prefillBackends))
	started := prefillBackends[slices.IndexFunc(prefillBackends,
		func(b *Backend) bool { return !slices.Contains(candidates, b) })]
	started.StartReported, started.StartedAt = true, runtime.now-time.Second
	if got := dispatcher.affinityCandidates(req, RolePrefill, slices.Clone(prefillBackends)); !slices.Equal(got,
		append(candidates, started)) {
		t.Errorf("%d affinity candidates", len(got))
	}
	if share := dispatcher.capacityShare(started); share < 0.3 || share > 0.4 ||
		dispatcher.capacityShare(candidates[0]) != 1 ||
		dispatcher.loadScore(started, 0) < 2*dispatcher.loadScore(candidates[0], 0) {
		t.Errorf("capacity share %g, a load score of %g against %g", share, dispatcher.loadScore(started, 0),
			dispatcher.loadScore(candidates[0], 0))
	}
}

// The budget in slow start does not shrink from window to window when all backends are in slow start and would
// be measured by each other.
func TestSlowStartBudgetIsKeptWhileAllAreInSlowStart(t *testing.T) {
	dispatcher, runtime := newDispatcher(t)
	for _, backend := range dispatcher.backends[:2] {
		backend.CompletedWork.Add(runtime.now, 20000)
	}
	warm := dispatcher.slowStartBudget(dispatcher.backends[0])
	for _, backend := range dispatcher.backends[:2] {
		backend.StartReported, backend.StartedAt = true, runtime.now
	}
	runtime.now += 30 * time.Second // completed work has expired
	for _, backend := range dispatcher.backends[:2] {
		backend.StartedAt = runtime.now
	}
	if allStarting := dispatcher.slowStartBudget(dispatcher.backends[0]); warm == 0 || allStarting != warm {
		t.Errorf("a budget of %g is %g when all are in slow start", warm, allStarting)
	}
}

func TestAffinityCandidatesAreStableAndGrowWithShare(t *testing.T) {
	dispatcher, runtime := newDispatcher(t)
	for i := range 20 {
		dispatcher.UpdateEndpoints([]Endpoint{{Backend: &Backend{ID: uint32(100 + i)}, State: Ready, CapacityUnits: 1}},
			false)
	}
	req, prefillBackends := newRequest(dispatcher), Filter(dispatcher.backends, (*Backend).PrefillOnly)
	candidates := slices.Clone(dispatcher.affinityCandidates(req, RolePrefill, slices.Clone(prefillBackends)))
	without := slices.DeleteFunc(slices.Clone(prefillBackends), func(b *Backend) bool { return b == candidates[0] })
	if remaining := dispatcher.affinityCandidates(req, RolePrefill, without); len(candidates) != 2 ||
		!slices.Equal(remaining, candidates[1:]) {
		t.Errorf("affinity candidates %v, with one suspected %v", candidates, remaining)
	}
	dispatcher.prefillRequests.Add(runtime.now, 100)
	dispatcher.prefixTable.Add(req.PrefixKey, runtime.now, 50)
	if got := len(dispatcher.affinityCandidates(req, RolePrefill, prefillBackends)); got < 12 || got > 21 {
		t.Errorf("a prefix of half the requests has %d affinity candidates of 22", got)
	}
}

func TestAttemptCutShortCountsForNothing(t *testing.T) {
	for _, tc := range []struct {
		took     time.Duration
		failures float64
	}{{100 * time.Millisecond, 0}, {2 * time.Second, 1}} {
		d, runtime := newDispatcher(t)
		backend := d.backends[2]
		d.secondsPerToken[RoleDecode].Add(0.001, 1)
		d.recordOutcome(addAttempt(newRequest(d), backend, TimedOut, runtime.now), tc.took, false, false)
		if got := backend.Outcomes[0].Failures.Sum(runtime.now); got != tc.failures {
			t.Errorf("after %v: %g failures of the backend", tc.took, got)
		}
	}
}

func TestMixedGetsLessWorkWhereWholeAttemptsAreSlower(t *testing.T) {
	for _, tc := range []struct {
		name            string
		secondsPerToken float64
		picked          bool
	}{{"as quick", 1e-4, true}, {"slower", 1e-2, false}} {
		d, _ := newDispatcher(t)
		d.meanPrefillTokens = 1000
		for i, backend := range d.backends {
			backend.Bias, backend.Streams = 0, []int{3, 3, 8, 8, 0, 0}[i]
		}
		for role, seconds := range []float64{1e-4, 1e-4, tc.secondsPerToken} {
			d.secondsPerToken[role].Add(seconds, 1)
		}
		if mixed := d.pickMixed(newRequest(d), d.backends[2:], d.backends[0]); (mixed != nil) != tc.picked {
			t.Errorf("%s: got %v", tc.name, mixed)
		}
	}
}

func TestBackendThatFailedForLongStillGetsSomeWork(t *testing.T) {
	d, runtime := newDispatcher(t)
	backend, granted := d.backends[2], 0
	for range 100 {
		d.PeerUpdated(PeerUpdate{Backend: backend, Verdict: VerdictBad})
	}
	runtime.now += time.Minute
	for range 1000 {
		if d.drawTrust(d.successPosterior(backend, newRequest(d))) {
			granted++
		}
	}
	if granted < 20 || granted > 300 {
		t.Errorf("a minute after 100 failures it got %d of 1000", granted)
	}
}

// Half a fleet failing under a few dispatchers ends dozens of attempts late at the same time, by one
// congestion event. If each narrowed the window, it would close almost entirely and not recover for minutes.
func TestOneCongestionEventHalvesTheWindowAtMost(t *testing.T) {
	dispatcher, runtime := newDispatcher(t)
	dispatcher.window = 20
	for range 60 {
		req := newRequest(dispatcher)
		req.Outstanding, req.DispatchedAt = true, runtime.now-2*time.Second
		addAttempt(req, dispatcher.backends[0], TimedOut, runtime.now)
		dispatcher.outstanding++
		req.TargetAt = runtime.now + time.Second
		dispatcher.clearOutstanding(req)
	}
	runtime.now += 3 * time.Second
	if dispatcher.window != 10 {
		t.Errorf("the window is %g", dispatcher.window)
	}
	req := newRequest(dispatcher) // a request sent after the congestion reports another one
	req.Outstanding, req.DispatchedAt, dispatcher.outstanding = true, runtime.now-2*time.Second, dispatcher.outstanding+1
	addAttempt(req, dispatcher.backends[0], Rejected, runtime.now)
	dispatcher.clearOutstanding(req)
	if dispatcher.window >= 10 || dispatcher.window < 5 {
		t.Errorf("after the next one it is %g", dispatcher.window)
	}
}

// Decode at warm mixed backends must not count as whole requests for those in slow start, which would be
// overloaded by it.
func TestDecodeAtMixedBackendCountsLessThanWholeRequests(t *testing.T) {
	budget := func(stage Stage) float64 {
		dispatcher, runtime := newDispatcher(t)
		dispatcher.classes[0].PrefillTokens.Add(3000, 1)
		dispatcher.classes[0].DecodeSeconds.Add(1, 1)
		warm, slowStarting := dispatcher.backends[4], dispatcher.backends[5]
		slowStarting.StartedAt, slowStarting.StartReported = runtime.now, true
		for range 20 {
			req := newRequest(dispatcher)
			req.Attempts = []*Attempt{{Request: req, Backend: warm, Stage: stage, FirstTokenAt: runtime.now,
				OnResult: func(Result) {}}}
			dispatcher.AttemptDone(req.Attempts[0], Result{Outcome: Served, Finished: true})
		}
		return dispatcher.slowStartBudget(slowStarting)
	}
	if decode, whole := budget(StageDecode), budget(StageWhole); decode <= 0 || decode > whole/10 {
		t.Errorf("the budget of a mixed backend is %.0f after 20 decodes at a warm one, %.0f after 20 whole requests",
			decode, whole)
	}
}

// Backends come and go while a dispatcher runs: removed ones without attempts in flight are dropped, so that
// no decision visits them.
func TestListedDropsRemovedBackends(t *testing.T) {
	dispatcher, _ := newDispatcher(t)
	req := newRequest(dispatcher)
	busy := dispatcher.backends[2]
	if !dispatcher.send(req, busy, StageWhole, func(Result) {}) {
		t.Fatal("not sent")
	}
	for i := range 300 {
		backend := &Backend{ID: uint32(100 + i), Kind: 1}
		dispatcher.UpdateEndpoints([]Endpoint{{Backend: backend, State: Ready, CapacityUnits: 4}}, false)
		dispatcher.UpdateEndpoints([]Endpoint{{Backend: backend, State: Removed}}, false)
	}
	dispatcher.UpdateEndpoints([]Endpoint{{Backend: dispatcher.backends[0], State: Ready, CapacityUnits: 4}}, true)
	if len(dispatcher.backends) != 2 || !slices.Contains(dispatcher.backends, busy) {
		t.Errorf("%d backends, wanted 1 that is listed and 1 with an attempt in flight", len(dispatcher.backends))
	}
	dispatcher.AttemptDone(req.Attempts[0], Result{Outcome: Served, Finished: true})
	dispatcher.UpdateEndpoints([]Endpoint{{Backend: busy, State: Ready, CapacityUnits: 4}}, false)
	dispatcher.UpdateEndpoints([]Endpoint{{Backend: busy, State: Ready, CapacityUnits: 4}}, false)
	if len(dispatcher.backends) != 2 {
		t.Errorf("%d backends after one came back", len(dispatcher.backends))
	}
}

// Cached prefixes are forgotten by age, not by count: with more keys in use than the limit, a count would have
// every attempt look through all of them and drop none.
func TestRefreshForgetsCachedPrefixesByAge(t *testing.T) {
	dispatcher, runtime := newDispatcher(t)
	for i := range 5000 {
		req := newRequest(dispatcher)
		req.SessionKey, req.PrefixKey = uint64(1000+i), 0
		dispatcher.recordCachedPrefix(&Attempt{Request: req, Backend: dispatcher.backends[2]}, 0)
	}
	runtime.now += prefixTTL + time.Second
	req := newRequest(dispatcher)
	dispatcher.recordCachedPrefix(&Attempt{Request: req, Backend: dispatcher.backends[2]}, 0)
	dispatcher.refresh()
	if entries := len(dispatcher.backends[2].CachedPrefixes); entries != 2 {
		t.Errorf("%d prefixes in the table, 2 are recent", entries)
	}
	rarelyUsed := dispatcher.backends[3]
	rarelyUsed.CachedPrefixes[5] = CachedPrefix{10, runtime.now, 0}
	runtime.now += prefixTTL + time.Second
	dispatcher.refresh()
	if len(rarelyUsed.CachedPrefixes) != 0 {
		t.Error("a prefix that is never used again stays in the table")
	}
}

// A request whose client has disconnected leaves the queue, and no request is answered twice.
func TestFinishedRequestIsNeitherQueuedNorAnsweredAgain(t *testing.T) {
	d, runtime := newDispatcher(t)
	req := newRequest(d)
	d.enqueue(req)
	d.ClientDisconnected(req)
	d.giveUp(req)
	if len(d.queue) != 0 || len(runtime.rejected)+len(runtime.failed) != 0 {
		t.Errorf("%d queued, %d answers to a disconnected client", len(d.queue), len(runtime.rejected)+len(runtime.failed))
	}
}

// While the rules allow no backend, the queue widens the window with each first token that still comes.
// Without a bound it reached 1e16 and flooded the fleet once backends were allowed again.
func TestWindowIsBounded(t *testing.T) {
	d, _ := newDispatcher(t)
	d.queue = []*Request{newRequest(d)}
	for range 200 {
		req := newRequest(d)
		addAttempt(req, d.backends[2], Served, d.runtime.Now()).FirstTokenAt = d.runtime.Now()
		req.Outstanding, req.DispatchedAt = true, d.runtime.Now()
		d.outstanding = int(d.window) + 1
		d.clearOutstanding(req)
	}
	if limit := windowPerBackend * float64(len(d.backends)); d.window != limit {
		t.Errorf("the window is %g, wanted %g", d.window, limit)
	}
}
