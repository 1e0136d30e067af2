package brain

import (
	"math"
	"slices"
	"testing"
	"time"
)

// countDispatches returns how many requests the window lets out in a time, checked at every queue sweep, if
// none is ever outstanding.
func allowed(d *Dispatcher, out *door, span time.Duration) (n int) {
	for end := out.now + span; out.now < end; out.now += sweep {
		if d.mayDispatch() {
			d.outstanding++
			d.spendCredit()
			d.outstanding--
			n++
		}
	}
	return n
}

// A window below one is a rate: that many requests per response time on average, despite the random spread.
func TestAWindowBelowOneIsPacing(t *testing.T) {
	for _, window := range []float64{0.1, 0.3, 0.9} {
		d, out := fleetOf(t, 300)
		d.window, d.credit, d.credited = window, 0, out.now
		d.firstToken.Add(0.5, 1)
		got := float64(allowed(d, out, 200*time.Second))
		if want := window / 0.5 * 200; math.Abs(got-want) > 0.1*want {
			t.Errorf("window %g let %g out, wanted %g", window, got, want)
		}
	}
}

// Dispatchers that begin to wait at the same time do not continue at the same time.
func TestPacedDispatchersSpread(t *testing.T) {
	times := map[time.Duration]bool{}
	for seed := range uint64(50) {
		d, out := fleetOf(t, 300)
		d.rng = NewPCG(seed)
		d.window, d.credit, d.credited, d.outstanding = 0.5, 1, out.now, 1
		d.firstToken.Add(0.5, 1)
		d.spendCredit()
		for d.outstanding = 0; !d.mayDispatch(); out.now += sweep {
		}
		times[out.now] = true
	}
	if len(times) < 20 {
		t.Errorf("50 dispatchers went on at %d times", len(times))
	}
}

// At low load nothing is paced: an idle dispatcher sends two requests at once, even with the smallest window.
func TestAnIdleDispatcherSendsAtOnce(t *testing.T) {
	d, out := fleetOf(t, 300)
	for range 2 {
		d.Submit(&Request{ID: 1, Prompt: 2000, Most: 400, Left: 4 * time.Second}, 0, 0)
	}
	if len(out.sent) != 2 {
		t.Errorf("%d of 2 were sent at the start", len(out.sent))
	}
	d, out = fleetOf(t, 300)
	d.window, d.credit, d.adjusted = 1.0/300, 0, true
	out.now += 10 * time.Minute
	d.Submit(&Request{ID: 1, Prompt: 2000, Most: 400, Left: 4 * time.Second}, 0, 0)
	if len(out.sent) != 1 {
		t.Error("after a long rest the first request waits")
	}
}

// After congestion a nearly closed window opens by first tokens alone, without a step at one.
func TestANarrowWindowRecovers(t *testing.T) {
	d, out := fleetOf(t, 300)
	d.window = 1.0 / 300
	for n := 0; d.window < 1; n++ {
		if n > 20 {
			t.Fatalf("after 20 quick first tokens the window is %g", d.window)
		}
		q := ask(d)
		went(q, d.backends[0], Served, out.now).Began = out.now
		q.Outstanding, q.Dispatched, d.outstanding = true, out.now, 1
		before := d.window
		d.settle(q)
		if d.window <= before || d.window > 2.1*before {
			t.Fatalf("%g -> %g", before, d.window)
		}
	}
}

// With one late first token per request, a window of 20 narrows by the same factor per response time as one of
// 0.5.
func TestAWindowNarrowsAlikeHoweverWide(t *testing.T) {
	for _, window := range []float64{0.5, 5, 20} {
		d, out := fleetOf(t, 300)
		d.window = window
		for range int(max(window, 1)) {
			q := ask(d)
			went(q, d.backends[0], TimedOut, out.now)
			q.Outstanding, q.Dispatched = true, out.now
			d.outstanding++
			d.settle(q)
		}
		if left := d.window / window; left < 0.6 || left > 0.8 {
			t.Errorf("window %g: %.2f of it is left", window, left)
		}
	}
}

// Peer updates move the window like own requests; all peers that report together have the weight of one
// request.
func TestSharesThatOthersTellMoveTheWindow(t *testing.T) {
	d, _ := fleetOf(t, 300)
	d.window, d.listeners = 0.8, 7
	before := d.window
	d.Heard(PeerUpdate{Host: d.backends[0], Verdict: Badly, Share: 1})
	if d.window >= before || d.window < 0.9*before {
		t.Errorf("a late one: %g -> %g", before, d.window)
	}
	before = d.window
	d.Heard(PeerUpdate{Host: d.backends[0], Verdict: Well, Share: 0.1})
	if d.window <= before || d.window > 1.3*before {
		t.Errorf("a quick one: %g -> %g", before, d.window)
	}
	before = d.window
	d.Heard(PeerUpdate{Host: d.backends[0], Verdict: Badly})
	d.Heard(PeerUpdate{Host: d.backends[0], Grade: 200, Share: 1})
	if d.window != before {
		t.Errorf("news with no share, or of no class: %g -> %g", before, d.window)
	}
}

// An outstanding request raises the expected time to first token before it has ended.
func TestAnAwaitedFirstTokenSpeaksBeforeItComes(t *testing.T) {
	d, out := begin(t)
	d.firstToken.Add(0.1, 1)
	q := ask(d)
	if !d.send(q, d.backends[0], ToRead, d.onward(q)) {
		t.Fatal("not sent")
	}
	out.now += 2 * time.Second
	if got := d.expectedFirstToken(); got != 2 {
		t.Errorf("after 2 s a first token is expected in %g s", got)
	}
	d.Ended(q.Attempts[0], Result{Outcome: Unreachable, Over: true})
	if got := d.expectedFirstToken(); got != 0.1 {
		t.Errorf("once it has ended, in %g s", got)
	}
}

// The sum of all initial windows, and of all smallest ones, does not depend on the number of dispatchers, and
// no dispatcher stops sending for good.
func TestWindowsAddUpToTheSameForAnyFleet(t *testing.T) {
	for _, dispatchers := range []float64{1, 6, 300} {
		d, out := fleetOf(t, dispatchers)
		if sum := d.window * dispatchers; sum != perHost*6 {
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

// Whatever a dispatcher has gone through, it sends a request half an hour later.
func TestNothingStopsTheSendingForGood(t *testing.T) {
	for name, bad := range map[string]func(*Dispatcher, *door){
		"no hosts for a while": func(d *Dispatcher, _ *door) {
			hosts := d.backends
			d.backends = nil
			d.adjustWindow(0.1, 0, true)
			d.backends = hosts
		},
		"a clock that steps back": func(d *Dispatcher, out *door) {
			d.mayDispatch()
			out.now -= time.Hour
			d.mayDispatch()
		},
		"a target of nought": func(d *Dispatcher, out *door) {
			q := ask(d)
			q.TargetAt = q.Taken
			went(q, d.backends[0], Served, out.now).Began = out.now
			q.Outstanding, q.Dispatched, d.outstanding = true, out.now, 1
			d.settle(q)
		},
		"absurd reports": func(d *Dispatcher, _ *door) {
			for _, h := range d.backends {
				d.Heard(PeerUpdate{Host: h, Loaded: true, Util: 1e9, Queue: 1e12, Share: 1, Verdict: Well})
			}
		},
	} {
		d, out := fleetOf(t, 300)
		bad(d, out)
		if math.IsNaN(d.window) || d.window <= 0 || math.IsNaN(d.credit) {
			t.Errorf("%s: window %g, credit %g", name, d.window, d.credit)
		}
		out.now += 30 * time.Minute
		d.Submit(&Request{ID: 1, Prompt: 2000, Most: 400, Left: 4 * time.Second}, 0, 0)
		if len(out.sent) != 1 {
			t.Errorf("%s: half an hour later nothing is sent", name)
		}
	}
}

// A class of which little was admitted goes before one of twice its value; among its own requests the newest
// stays first.
func TestAClassThatIsLeftOutGoesFirst(t *testing.T) {
	f := facts()
	f["requestClasses"] = 2.0
	for key, value := range map[string]any{"aimUs": 1e6, "effect": "repeatable"} {
		f["requestClasses.1."+key] = value
	}
	f["requestClasses.0.worth"], f["requestClasses.1.worth"] = 2.0, 1.0
	for admittedOfTheLast, want := range map[int][]uint64{100: {2, 1, 4, 3}, 20: {4, 3, 2, 1}} {
		out := &door{now: 100 * time.Second}
		d, err := New(f, 1, out)
		if err != nil {
			t.Fatal(err)
		}
		for i, admitted := range []int{100, admittedOfTheLast} {
			d.classes[i].Offered.Add(out.now, 100)
			d.classes[i].Admitted.Add(out.now, float64(admitted))
		}
		for id := uint64(1); id <= 4; id++ {
			q := ask(d)
			q.ID, q.Class, q.Taken = id, d.classes[(id-1)/2], q.Taken+time.Duration(id)
			d.enqueue(q)
		}
		d.weighQueue()
		var order []uint64
		for _, q := range d.queue {
			order = append(order, q.ID)
		}
		if !slices.Equal(order, want) {
			t.Errorf("with %d of 100 admitted the queue is %v, wanted %v", admittedOfTheLast, order, want)
		}
	}
}
