package brain

import (
	"fmt"
	"testing"
	"time"
)

// fleetState is the state of the backends of a benchmarked fleet.
type fleetState int

const (
	allWarm fleetState = iota
	mostInSlowStart
	allInSlowStart
	thirdGone
)

func (s fleetState) String() string {
	return [...]string{"warm", "most in slow start", "all in slow start", "a third gone"}[s]
}

// newLoadedFleet returns a dispatcher with backends, of which some have completed work, and with requests in
// its queue.
func measured(t testing.TB, backends int, state fleetState, waiting int) (*Dispatcher, *door) {
	t.Helper()
	f := facts()
	f["siblings"] = 300.0
	out := &door{now: 100 * time.Second}
	d, err := New(f, 1, out)
	if err != nil {
		t.Fatal(err)
	}
	var lines []Listing
	for i := range backends {
		l := Listing{Host: &Backend{ID: uint32(i + 1), Kind: i % 2, Rack: i / 5, Zone: i % 3}, Standing: Ready, Units: 1}
		if state == allInSlowStart || state == mostInSlowStart && i%10 < 6 {
			l.Restart, l.Booted = true, out.now-time.Second
		}
		lines = append(lines, l)
	}
	d.Listed(lines, true)
	if state == thirdGone {
		for i := range lines {
			if i%3 == 0 {
				lines[i].Standing = Gone
				d.Listed(lines[i:i+1], false)
			}
		}
	}
	for i, h := range d.backends {
		if i%8 == 0 {
			h.Carried.Add(out.now, 50000)
		}
	}
	d.window, d.credit = 0, 0
	for i := range waiting {
		d.Submit(&Request{ID: uint64(1e6 + i), Session: uint64(i%50 + 1), Prompt: 2000, Most: 400, Left: time.Hour}, 0, 0)
	}
	return d, out
}

// serveOne submits one request and runs one to its end: prefill, decode, first token, end.
func serve(d *Dispatcher, out *door, number int) {
	out.now += 10 * time.Millisecond
	d.window, d.credit = 2, 0
	d.Submit(&Request{ID: uint64(number), Session: uint64(number%200 + 1), Shared: uint64(number%20 + 1), Prompt: 2000, Prefix: 1500, Most: 400, Left: time.Hour}, 0, 0)
	for served := false; !served && len(out.sent) > 0; {
		t := out.sent[0]
		out.sent = out.sent[1:]
		if t.Stage == ToRead {
			d.Ended(t, Result{Outcome: Read, Took: 20 * time.Millisecond, Note: 100})
			continue
		}
		d.Began(t, 5*time.Millisecond)
		d.Ended(t, Result{Outcome: Served, Took: 50 * time.Millisecond, Over: true})
		served = true
	}
	out.wakes, out.delays, out.waits = out.wakes[:0], out.delays[:0], out.waits[:0]
}

// BenchmarkRequest measures the time per request by number and state of the backends and by queue length.
func BenchmarkRequest(b *testing.B) {
	for _, backends := range []int{10, 79, 800, 3200} {
		for _, state := range []fleetState{allWarm, mostInSlowStart, allInSlowStart, thirdGone} {
			for _, waiting := range []int{1, 50, 500} {
				b.Run(fmt.Sprintf("%d %v %d waiting", backends, state, waiting), func(b *testing.B) {
					d, out := measured(b, backends, state, waiting)
					for number := 0; b.Loop(); number++ {
						serve(d, out, number)
					}
				})
			}
		}
	}
}

// maxRequestTime is the limit on the mean time per request. Beyond it the event loop falls behind: 483 ms
// stopped it.
const costMost = 3 * time.Millisecond

func TestARequestCostsLittleWithThousandsOfBackends(t *testing.T) {
	for _, state := range []fleetState{allWarm, mostInSlowStart, allInSlowStart, thirdGone} {
		d, out := measured(t, 3200, state, 50)
		const rounds = 20
		began := time.Now()
		for number := range rounds {
			serve(d, out, number)
		}
		if took := time.Since(began) / rounds; took > costMost {
			t.Errorf("%v: a request costs %v", state, took)
		}
	}
}

func TestAChangeOfTheListCostsLittleWithThousandsOfBackends(t *testing.T) {
	d, out := measured(t, 3200, allWarm, 0)
	const rounds = 100
	began := time.Now()
	for i := range rounds {
		out.now += time.Millisecond
		d.Listed([]Listing{{Host: d.backends[i], Standing: Ready, Units: 1, Restart: true, Booted: out.now}}, false)
	}
	if took := time.Since(began) / rounds; took > costMost/10 {
		t.Errorf("a change costs %v", took)
	}
}
