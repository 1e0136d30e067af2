package brain

import (
	"fmt"
	"testing"
	"time"
)

// fleetState is in what state the backends of a measured fleet are.
type fleetState int

const (
	allWarm fleetState = iota
	mostInSlowStart
	allInSlowStart
	thirdRemoved
)

func (s fleetState) String() string {
	return [...]string{"warm", "most in slow start", "all in slow start", "a third gone"}[s]
}

// measured makes a dispatcher of so many backends, of which some have done work lately, with so many requests waiting.
func newLoadedFleet(t testing.TB, backends int, state fleetState, waiting int) (*Dispatcher, *fakeRuntime) {
	t.Helper()
	f := testSettings()
	f["siblings"] = 300.0
	out := &fakeRuntime{now: 100 * time.Second}
	d, err := New(f, 1, out)
	if err != nil {
		t.Fatal(err)
	}
	var lines []Endpoint
	for i := range backends {
		l := Endpoint{Backend: &Backend{ID: uint32(i + 1), Kind: i % 2, Rack: i / 5, Zone: i % 3}, State: Ready, CapacityUnits: 1}
		if state == allInSlowStart || state == mostInSlowStart && i%10 < 6 {
			l.StartReported, l.StartedAt = true, out.now-time.Second
		}
		lines = append(lines, l)
	}
	d.UpdateEndpoints(lines, true)
	if state == thirdRemoved {
		for i := range lines {
			if i%3 == 0 {
				lines[i].State = Removed
				d.UpdateEndpoints(lines[i:i+1], false)
			}
		}
	}
	for i, h := range d.backends {
		if i%8 == 0 {
			h.CompletedWork.Add(out.now, 50000)
		}
	}
	d.window, d.sendCredit = 0, 0
	for i := range waiting {
		d.Submit(&Request{ID: uint64(1e6 + i), SessionKey: uint64(i%50 + 1), PromptTokens: 2000, MaxOutputTokens: 400, Timeout: time.Hour}, 0, 0)
	}
	return d, out
}

// serve takes one request in, and one through the module: prefill and decode chosen, begun and ended.
func serveOne(d *Dispatcher, out *fakeRuntime, number int) {
	out.now += 10 * time.Millisecond
	d.window, d.sendCredit = 2, 0
	d.Submit(&Request{ID: uint64(number), SessionKey: uint64(number%200 + 1), PrefixKey: uint64(number%20 + 1), PromptTokens: 2000, PrefixTokens: 1500, MaxOutputTokens: 400, Timeout: time.Hour}, 0, 0)
	for served := false; !served && len(out.sent) > 0; {
		t := out.sent[0]
		out.sent = out.sent[1:]
		if t.Stage == StagePrefill {
			d.AttemptDone(t, Result{Outcome: Prefilled, Duration: 20 * time.Millisecond, Detail: 100})
			continue
		}
		d.FirstToken(t, 5*time.Millisecond)
		d.AttemptDone(t, Result{Outcome: Served, Duration: 50 * time.Millisecond, Finished: true})
		served = true
	}
	out.timers, out.timerDelays, out.timeouts = out.timers[:0], out.timerDelays[:0], out.timeouts[:0]
}

// What one request costs, over the number of backends, their state and the requests that wait.
func BenchmarkRequest(b *testing.B) {
	for _, backends := range []int{10, 79, 800, 3200} {
		for _, state := range []fleetState{allWarm, mostInSlowStart, allInSlowStart, thirdRemoved} {
			for _, waiting := range []int{1, 50, 500} {
				b.Run(fmt.Sprintf("%d %v %d waiting", backends, state, waiting), func(b *testing.B) {
					d, out := newLoadedFleet(b, backends, state, waiting)
					for number := 0; b.Loop(); number++ {
						serveOne(d, out, number)
					}
				})
			}
		}
	}
}

// costMost is for one request on average, far above what it costs and far below what stops the loop: it was 483 ms.
const maxRequestTime = 3 * time.Millisecond

func TestRequestTimeWithThousandsOfBackends(t *testing.T) {
	for _, state := range []fleetState{allWarm, mostInSlowStart, allInSlowStart, thirdRemoved} {
		d, out := newLoadedFleet(t, 3200, state, 50)
		const rounds = 20
		began := time.Now()
		for number := range rounds {
			serveOne(d, out, number)
		}
		if took := time.Since(began) / rounds; took > maxRequestTime {
			t.Errorf("%v: a request costs %v", state, took)
		}
	}
}

func TestListChangeTimeWithThousandsOfBackends(t *testing.T) {
	d, out := newLoadedFleet(t, 3200, allWarm, 0)
	const rounds = 100
	began := time.Now()
	for i := range rounds {
		out.now += time.Millisecond
		d.UpdateEndpoints([]Endpoint{{Backend: d.backends[i], State: Ready, CapacityUnits: 1, StartReported: true, StartedAt: out.now}}, false)
	}
	if took := time.Since(began) / rounds; took > maxRequestTime/10 {
		t.Errorf("a change costs %v", took)
	}
}
