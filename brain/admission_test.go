package brain

import (
	"math"
	"slices"
	"testing"
	"time"
)

// allowed counts how many requests that find nothing else out a window lets out in some time, looked at every 20 ms.
func countDispatches(d *Dispatcher, out *fakeRuntime, span time.Duration) (n int) {
	for end := out.now + span; out.now < end; out.now += queueSweepInterval {
		if d.mayDispatch() {
			d.outstanding++
			d.spendCredit()
			d.outstanding--
			n++
		}
	}
	return n
}

// A window below one is a rate: so many in each response time, on the mean, whatever the chance that spreads them.
func TestWindowBelowOneIsARate(t *testing.T) {
	for _, window := range []float64{0.1, 0.3, 0.9} {
		d, out := newDispatcherOf(t, 300)
		d.window, d.sendCredit, d.creditUpdatedAt = window, 0, out.now
		d.timeToFirstToken.Add(0.5, 1)
		got := float64(countDispatches(d, out, 200*time.Second))
		if want := window / 0.5 * 200; math.Abs(got-want) > 0.1*want {
			t.Errorf("window %g let %g out, wanted %g", window, got, want)
		}
	}
}

// Dispatchers that begin to wait in one moment do not go on in one moment.
func TestPacedDispatchersSpreadOverTime(t *testing.T) {
	times := map[time.Duration]bool{}
	for seed := range uint64(50) {
		d, out := newDispatcherOf(t, 300)
		d.rng = NewPCG(seed)
		d.window, d.sendCredit, d.creditUpdatedAt, d.outstanding = 0.5, 1, out.now, 1
		d.timeToFirstToken.Add(0.5, 1)
		d.spendCredit()
		for d.outstanding = 0; !d.mayDispatch(); out.now += queueSweepInterval {
		}
		times[out.now] = true
	}
	if len(times) < 20 {
		t.Errorf("50 dispatchers went on at %d times", len(times))
	}
}

// With little load nothing is paced: a dispatcher that had nothing to send sends two at once, also with the least window.
func TestIdleDispatcherSendsAtOnce(t *testing.T) {
	d, out := newDispatcherOf(t, 300)
	for range 2 {
		d.Submit(&Request{ID: 1, PromptTokens: 2000, MaxOutputTokens: 400, Timeout: 4 * time.Second}, 0, 0)
	}
	if len(out.sent) != 2 {
		t.Errorf("%d of 2 were sent at the start", len(out.sent))
	}
	d, out = newDispatcherOf(t, 300)
	d.window, d.sendCredit, d.windowAdjusted = 1.0/300, 0, true
	out.now += 10 * time.Minute
	d.Submit(&Request{ID: 1, PromptTokens: 2000, MaxOutputTokens: 400, Timeout: 4 * time.Second}, 0, 0)
	if len(out.sent) != 1 {
		t.Error("after a long rest the first request waits")
	}
}

// Congestion over, a window that was nearly shut opens by first tokens alone, without a cliff at one.
func TestNarrowWindowRecovers(t *testing.T) {
	d, out := newDispatcherOf(t, 300)
	d.window = 1.0 / 300
	for n := 0; d.window < 1; n++ {
		if n > 20 {
			t.Fatalf("after 20 quick first tokens the window is %g", d.window)
		}
		q := newRequest(d)
		addAttempt(q, d.backends[0], Served, out.now).FirstTokenAt = out.now
		q.Outstanding, q.DispatchedAt, d.outstanding = true, out.now, 1
		before := d.window
		d.clearOutstanding(q)
		if d.window <= before || d.window > 2.1*before {
			t.Fatalf("%g -> %g", before, d.window)
		}
	}
}

// One late first token each, and a window of twenty narrows as much in a response time as one of a half.
func TestWindowNarrowsByTheSameFactorAtAnySize(t *testing.T) {
	for _, window := range []float64{0.5, 5, 20} {
		d, out := newDispatcherOf(t, 300)
		d.window = window
		for range int(max(window, 1)) {
			q := newRequest(d)
			addAttempt(q, d.backends[0], TimedOut, out.now)
			q.Outstanding, q.DispatchedAt = true, out.now
			d.outstanding++
			d.clearOutstanding(q)
		}
		if left := d.window / window; left < 0.6 || left > 0.8 {
			t.Errorf("window %g: %.2f of it is left", window, left)
		}
	}
}

// What others tell of their requests moves the own window as an own request does; all that tell together have the say of one.
func TestPeerUpdatesMoveTheWindow(t *testing.T) {
	d, _ := newDispatcherOf(t, 300)
	d.window, d.peerFanout = 0.8, 7
	before := d.window
	d.PeerUpdated(PeerUpdate{Backend: d.backends[0], Verdict: VerdictBad, TargetShare: 1})
	if d.window >= before || d.window < 0.9*before {
		t.Errorf("a late one: %g -> %g", before, d.window)
	}
	before = d.window
	d.PeerUpdated(PeerUpdate{Backend: d.backends[0], Verdict: VerdictGood, TargetShare: 0.1})
	if d.window <= before || d.window > 1.3*before {
		t.Errorf("a quick one: %g -> %g", before, d.window)
	}
	before = d.window
	d.PeerUpdated(PeerUpdate{Backend: d.backends[0], Verdict: VerdictBad})
	d.PeerUpdated(PeerUpdate{Backend: d.backends[0], ClassIndex: 200, TargetShare: 1})
	if d.window != before {
		t.Errorf("news with no share, or of no class: %g -> %g", before, d.window)
	}
}

// A request that is out tells at once how long first tokens take, before it has ended.
func TestOutstandingRequestRaisesExpectedTimeToFirstToken(t *testing.T) {
	d, out := newDispatcher(t)
	d.timeToFirstToken.Add(0.1, 1)
	q := newRequest(d)
	if !d.send(q, d.backends[0], StagePrefill, d.afterAttempt(q)) {
		t.Fatal("not sent")
	}
	out.now += 2 * time.Second
	if got := d.expectedTimeToFirstToken(); got != 2 {
		t.Errorf("after 2 s a first token is expected in %g s", got)
	}
	d.AttemptDone(q.Attempts[0], Result{Outcome: Unreachable, Finished: true})
	if got := d.expectedTimeToFirstToken(); got != 0.1 {
		t.Errorf("once it has ended, in %g s", got)
	}
}

// What a fleet begins with, and the least that it goes down to, does not grow with the number of dispatchers; nothing stops
// the sending for good.
func TestSumOfWindowsIsIndependentOfDispatcherCount(t *testing.T) {
	for _, dispatchers := range []float64{1, 6, 300} {
		d, out := newDispatcherOf(t, dispatchers)
		if sum := d.window * dispatchers; sum != windowPerBackend*6 {
			t.Errorf("%g dispatchers begin with %g", dispatchers, sum)
		}
		for range 500 {
			d.adjustWindow(1, out.now, false)
		}
		if sum := d.window * dispatchers; math.Abs(sum-1) > 1e-9 {
			t.Errorf("%g dispatchers go down to %g", dispatchers, sum)
		}
	}
}

func TestDispatcherAlwaysResumesSending(t *testing.T) {
	for name, bad := range map[string]func(*Dispatcher, *fakeRuntime){
		"no hosts for a while": func(d *Dispatcher, _ *fakeRuntime) {
			hosts := d.backends
			d.backends = nil
			d.adjustWindow(0.1, 0, true)
			d.backends = hosts
		},
		"a clock that steps back": func(d *Dispatcher, out *fakeRuntime) {
			d.mayDispatch()
			out.now -= time.Hour
			d.mayDispatch()
		},
		"a target of nought": func(d *Dispatcher, out *fakeRuntime) {
			q := newRequest(d)
			q.TargetAt = q.ReceivedAt
			addAttempt(q, d.backends[0], Served, out.now).FirstTokenAt = out.now
			q.Outstanding, q.DispatchedAt, d.outstanding = true, out.now, 1
			d.clearOutstanding(q)
		},
		"absurd reports": func(d *Dispatcher, _ *fakeRuntime) {
			for _, h := range d.backends {
				d.PeerUpdated(PeerUpdate{Backend: h, HasLoad: true, Util: 1e9, QueueLength: 1e12, TargetShare: 1, Verdict: VerdictGood})
			}
		},
	} {
		d, out := newDispatcherOf(t, 300)
		bad(d, out)
		if math.IsNaN(d.window) || d.window <= 0 || math.IsNaN(d.sendCredit) {
			t.Errorf("%s: window %g, credit %g", name, d.window, d.sendCredit)
		}
		out.now += 30 * time.Minute
		d.Submit(&Request{ID: 1, PromptTokens: 2000, MaxOutputTokens: 400, Timeout: 4 * time.Second}, 0, 0)
		if len(out.sent) != 1 {
			t.Errorf("%s: half an hour later nothing is sent", name)
		}
	}
}

// A class of which little was admitted goes before one of twice its value; among its own requests the newest stays first.
func TestQueuePrefersRarelyAdmittedClass(t *testing.T) {
	f := testSettings()
	f["requestClasses"] = 2.0
	for key, value := range map[string]any{"aimUs": 1e6, "effect": "repeatable"} {
		f["requestClasses.1."+key] = value
	}
	f["requestClasses.0.worth"], f["requestClasses.1.worth"] = 2.0, 1.0
	for admittedOfTheLast, want := range map[int][]uint64{100: {2, 1, 4, 3}, 20: {4, 3, 2, 1}} {
		out := &fakeRuntime{now: 100 * time.Second}
		d, err := New(f, 1, out)
		if err != nil {
			t.Fatal(err)
		}
		for i, admitted := range []int{100, admittedOfTheLast} {
			d.classes[i].Offered.Add(out.now, 100)
			d.classes[i].Admitted.Add(out.now, float64(admitted))
		}
		for id := uint64(1); id <= 4; id++ {
			q := newRequest(d)
			q.ID, q.Class, q.ReceivedAt = id, d.classes[(id-1)/2], q.ReceivedAt+time.Duration(id)
			d.enqueue(q)
		}
		d.reweightQueue()
		var order []uint64
		for _, q := range d.queue {
			order = append(order, q.ID)
		}
		if !slices.Equal(order, want) {
			t.Errorf("with %d of 100 admitted the queue is %v, wanted %v", admittedOfTheLast, order, want)
		}
	}
}
