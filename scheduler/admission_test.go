package scheduler

import (
	"math"
	"slices"
	"testing"
	"time"
)

// countDispatches returns how many requests the window lets out in a time, checked at every queue sweep, if
// none is ever outstanding.
func countDispatches(d *Dispatcher, runtime *fakeRuntime, span time.Duration) (dispatched int) {
	for end := runtime.now + span; runtime.now < end; runtime.now += queueSweepInterval {
		if d.mayDispatch() {
			d.outstanding++
			d.spendCredit()
			d.outstanding--
			dispatched++
		}
	}
	return dispatched
}

// A window below one is a rate: that many requests per response time on average, despite the random spread.
func TestWindowBelowOneIsARate(t *testing.T) {
	for _, window := range []float64{0.1, 0.3, 0.9} {
		d, runtime := newDispatcherOf(t, 300)
		d.window, d.sendCredit, d.creditUpdatedAt = window, 0, runtime.now
		d.timeToFirstToken.Add(0.5, 1)
		got := float64(countDispatches(d, runtime, 200*time.Second))
		if want := window / 0.5 * 200; math.Abs(got-want) > 0.1*want {
			t.Errorf("window %g sent %g, wanted %g", window, got, want)
		}
	}
}

// Dispatchers that begin to wait at the same time do not continue at the same time.
func TestPacedDispatchersSpreadOverTime(t *testing.T) {
	times := map[time.Duration]bool{}
	for seed := range uint64(50) {
		d, runtime := newDispatcherOf(t, 300)
		d.rng = NewPCG(seed)
		d.window, d.sendCredit, d.creditUpdatedAt, d.outstanding = 0.5, 1, runtime.now, 1
		d.timeToFirstToken.Add(0.5, 1)
		d.spendCredit()
		for d.outstanding = 0; !d.mayDispatch(); runtime.now += queueSweepInterval {
		}
		times[runtime.now] = true
	}
	if len(times) < 20 {
		t.Errorf("50 dispatchers continued at %d different times", len(times))
	}
}

// At low load nothing is paced: an idle dispatcher sends two requests at once, even with the smallest window.
func TestIdleDispatcherSendsAtOnce(t *testing.T) {
	d, runtime := newDispatcherOf(t, 300)
	for range 2 {
		d.Submit(&Request{ID: 1, PromptTokens: 2000, MaxOutputTokens: 400, Timeout: 4 * time.Second}, 0, 0)
	}
	if len(runtime.sent) != 2 {
		t.Errorf("%d of 2 requests were sent at the start", len(runtime.sent))
	}
	d, runtime = newDispatcherOf(t, 300)
	d.window, d.sendCredit, d.windowAdjusted = 1.0/300, 0, true
	runtime.now += 10 * time.Minute
	d.Submit(&Request{ID: 1, PromptTokens: 2000, MaxOutputTokens: 400, Timeout: 4 * time.Second}, 0, 0)
	if len(runtime.sent) != 1 {
		t.Error("the first request after a long idle time waits")
	}
}

// After congestion a nearly closed window opens by first tokens alone, without a step at one.
func TestNarrowWindowRecovers(t *testing.T) {
	dispatcher, runtime := newDispatcherOf(t, 300)
	dispatcher.window = 1.0 / 300
	for round := 0; dispatcher.window < 1; round++ {
		if round > 20 {
			t.Fatalf("after 20 quick first tokens the window is %g", dispatcher.window)
		}
		req := newRequest(dispatcher)
		addAttempt(req, dispatcher.backends[0], Served, runtime.now).FirstTokenAt = runtime.now
		req.Outstanding, req.DispatchedAt, dispatcher.outstanding = true, runtime.now, 1
		before := dispatcher.window
		dispatcher.clearOutstanding(req)
		if dispatcher.window <= before || dispatcher.window > 2.1*before {
			t.Fatalf("window %g -> %g", before, dispatcher.window)
		}
	}
}

// With one late first token per request, a window of 20 narrows by the same factor per response time as one of
// 0.5.
func TestWindowNarrowsByTheSameFactorAtAnySize(t *testing.T) {
	for _, window := range []float64{0.5, 5, 20} {
		d, runtime := newDispatcherOf(t, 300)
		d.window = window
		for range int(max(window, 1)) {
			req := newRequest(d)
			addAttempt(req, d.backends[0], TimedOut, runtime.now)
			req.Outstanding, req.DispatchedAt = true, runtime.now
			d.outstanding++
			d.clearOutstanding(req)
		}
		if remaining := d.window / window; remaining < 0.6 || remaining > 0.8 {
			t.Errorf("window %g: narrowed to %.2f of it", window, remaining)
		}
	}
}

// Peer updates move the window like own requests; all peers that report together have the weight of one
// request.
func TestPeerUpdatesMoveTheWindow(t *testing.T) {
	dispatcher, _ := newDispatcherOf(t, 300)
	dispatcher.window, dispatcher.peerFanout = 0.8, 7
	before := dispatcher.window
	dispatcher.PeerUpdated(PeerUpdate{Backend: dispatcher.backends[0], Verdict: VerdictBad, TargetShare: 1})
	if dispatcher.window >= before || dispatcher.window < 0.9*before {
		t.Errorf("a late first token: window %g -> %g", before, dispatcher.window)
	}
	before = dispatcher.window
	dispatcher.PeerUpdated(PeerUpdate{Backend: dispatcher.backends[0], Verdict: VerdictGood, TargetShare: 0.1})
	if dispatcher.window <= before || dispatcher.window > 1.3*before {
		t.Errorf("a quick first token: window %g -> %g", before, dispatcher.window)
	}
	before = dispatcher.window
	dispatcher.PeerUpdated(PeerUpdate{Backend: dispatcher.backends[0], Verdict: VerdictBad})
	dispatcher.PeerUpdated(PeerUpdate{Backend: dispatcher.backends[0], ClassIndex: 200, TargetShare: 1})
	if dispatcher.window != before {
		t.Errorf("updates without a share or of no known class: window %g -> %g", before, dispatcher.window)
	}
}

// An outstanding request raises the expected time to first token before it has ended.
func TestOutstandingRequestRaisesExpectedTimeToFirstToken(t *testing.T) {
	dispatcher, runtime := newDispatcher(t)
	dispatcher.timeToFirstToken.Add(0.1, 1)
	req := newRequest(dispatcher)
	if !dispatcher.send(req, dispatcher.backends[0], StagePrefill, dispatcher.afterAttempt(req)) {
		t.Fatal("not sent")
	}
	runtime.now += 2 * time.Second
	if got := dispatcher.expectedTimeToFirstToken(); got != 2 {
		t.Errorf("after 2 s a first token is expected in %g s", got)
	}
	dispatcher.AttemptDone(req.Attempts[0], Result{Outcome: Unreachable, Finished: true})
	if got := dispatcher.expectedTimeToFirstToken(); got != 0.1 {
		t.Errorf("once it has ended it is expected in %g s", got)
	}
}

// The sum of all initial windows, and of all smallest ones, does not depend on the number of dispatchers, and
// no dispatcher stops sending for good.
func TestSumOfWindowsIsIndependentOfDispatcherCount(t *testing.T) {
	for _, dispatchers := range []float64{1, 6, 300} {
		d, runtime := newDispatcherOf(t, dispatchers)
		if sum := d.window * dispatchers; sum != windowPerBackend*6 {
			t.Errorf("%g dispatchers: the initial windows add up to %g", dispatchers, sum)
		}
		for range 500 {
			d.adjustWindow(1, runtime.now, false)
		}
		if sum := d.window * dispatchers; math.Abs(sum-1) > 1e-9 {
			t.Errorf("%g dispatchers: the smallest windows add up to %g", dispatchers, sum)
		}
	}
}

// Whatever a dispatcher has gone through, it sends a request half an hour later.
func TestDispatcherAlwaysResumesSending(t *testing.T) {
	for name, disturb := range map[string]func(*Dispatcher, *fakeRuntime){
		"no backends for a while": func(dispatcher *Dispatcher, _ *fakeRuntime) {
			backends := dispatcher.backends
			dispatcher.backends = nil
			dispatcher.adjustWindow(0.1, 0, true)
			dispatcher.backends = backends
		},
		"a clock that steps back": func(dispatcher *Dispatcher, runtime *fakeRuntime) {
			dispatcher.mayDispatch()
			runtime.now -= time.Hour
			dispatcher.mayDispatch()
		},
		"a target of zero": func(dispatcher *Dispatcher, runtime *fakeRuntime) {
			req := newRequest(dispatcher)
			req.TargetAt = req.ReceivedAt
			addAttempt(req, dispatcher.backends[0], Served, runtime.now).FirstTokenAt = runtime.now
			req.Outstanding, req.DispatchedAt, dispatcher.outstanding = true, runtime.now, 1
			dispatcher.clearOutstanding(req)
		},
		"absurd load reports": func(dispatcher *Dispatcher, _ *fakeRuntime) {
			for _, backend := range dispatcher.backends {
				dispatcher.PeerUpdated(PeerUpdate{Backend: backend, HasLoad: true, Util: 1e9, QueueLength: 1e12, TargetShare: 1,
					Verdict: VerdictGood})
			}
		},
	} {
		dispatcher, runtime := newDispatcherOf(t, 300)
		disturb(dispatcher, runtime)
		if math.IsNaN(dispatcher.window) || dispatcher.window <= 0 || math.IsNaN(dispatcher.sendCredit) {
			t.Errorf("%s: window %g, credit %g", name, dispatcher.window, dispatcher.sendCredit)
		}
		runtime.now += 30 * time.Minute
		dispatcher.Submit(&Request{ID: 1, PromptTokens: 2000, MaxOutputTokens: 400, Timeout: 4 * time.Second}, 0, 0)
		if len(runtime.sent) != 1 {
			t.Errorf("%s: half an hour later nothing is sent", name)
		}
	}
}

// A class of which little was admitted goes before one of twice its value; among its own requests the newest
// stays first.
func TestQueuePrefersRarelyAdmittedClass(t *testing.T) {
	settings := testSettings()
	settings["requestClasses"] = 2.0
	for key, value := range map[string]any{"aimUs": 1e6, "effect": "repeatable"} {
		settings["requestClasses.1."+key] = value
	}
	settings["requestClasses.0.worth"], settings["requestClasses.1.worth"] = 2.0, 1.0
	for admittedOfTheLast, want := range map[int][]uint64{100: {2, 1, 4, 3}, 20: {4, 3, 2, 1}} {
		runtime := &fakeRuntime{now: 100 * time.Second}
		dispatcher, err := New(settings, 1, runtime)
		if err != nil {
			t.Fatal(err)
		}
		for i, admitted := range []int{100, admittedOfTheLast} {
			dispatcher.classes[i].Offered.Add(runtime.now, 100)
			dispatcher.classes[i].Admitted.Add(runtime.now, float64(admitted))
		}
		for id := uint64(1); id <= 4; id++ {
			req := newRequest(dispatcher)
			req.ID, req.Class, req.ReceivedAt = id, dispatcher.classes[(id-1)/2], req.ReceivedAt+time.Duration(id)
			dispatcher.enqueue(req)
		}
		dispatcher.reweightQueue()
		var order []uint64
		for _, req := range dispatcher.queue {
			order = append(order, req.ID)
		}
		if !slices.Equal(order, want) {
			t.Errorf("with %d of 100 admitted the queue is %v, wanted %v", admittedOfTheLast, order, want)
		}
	}
}

// Guards against requests that wait until their deadline although no backend has been listed yet: the rate of a window
// of zero made their time to the first token infinite, and what that converts to differs by machine.
func TestRequestsBeforeTheFirstEndpointsAreRejectedByTheirTarget(t *testing.T) {
	settings := testSettings()
	settings["requestClasses"], settings["requestClasses.1.effect"] = 2.0, "repeatable"
	settings["requestClasses.1.aimUs"], settings["requestClasses.1.worth"] = 10e6, 100.0
	runtime := &fakeRuntime{now: 100 * time.Second}
	d, err := New(settings, 1, runtime)
	if err != nil {
		t.Fatal(err)
	}
	var requests []*Request
	for id, class := range []int{1, 0, 0} { // the first one is worth most and has time until long after the others
		request := &Request{ID: uint64(id + 1), PromptTokens: 100, MaxOutputTokens: 50, Timeout: 20 * time.Second}
		d.Submit(request, class, 0)
		requests = append(requests, request)
	}
	for _, request := range []*Request{requests[1], requests[0]} {
		for ; runtime.now < request.TargetAt; runtime.now += queueSweepInterval {
			d.sweepQueue()
		}
		if !request.Finished {
			t.Errorf("request %d still waits at its target", request.ID)
		}
	}
	if len(runtime.rejected) != len(requests) || len(runtime.sent) != 0 {
		t.Errorf("%d of %d requests were rejected, %d attempts sent", len(runtime.rejected), len(requests), len(runtime.sent))
	}
}
