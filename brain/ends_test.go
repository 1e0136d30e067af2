package brain

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// simulation is a dispatcher with random events: attempts begin, end in any way or late, clients disconnect,
// backends appear, drain and are removed, and peers report failures. It keeps its own account of what the
// rules require.
type played struct {
	*door
	t      *testing.T
	d      *Dispatcher
	rng    *rand.Rand
	due    []due
	final  map[*Request]int
	out    map[*Request]*Attempt
	state  map[*Request]*Backend // KV caches as their backends hold them
	drains map[*Backend]bool
	may    map[*Request]bool          // requests that may have run
	silent map[*Attempt]bool          // attempts that never arrive
	since  map[*Request]time.Duration // since when its KV cache has been waiting, with no attempt that has arrived
}

const playedHold = 60 * time.Millisecond

// checkHoldTimes checks how long KV caches wait (rule 5).
func (s *played) waits() {
	for req, since := range s.since {
		if s.state[req] == nil {
			delete(s.since, req)
		} else if s.now-since > playedHold+10*time.Millisecond {
			s.t.Errorf("a KV cache has been waiting for %v", s.now-since)
			delete(s.since, req)
		}
	}
}

type due struct {
	at time.Duration
	do func()
}

func (s *played) Wake(delay time.Duration, callback func()) {
	s.due = append(s.due, due{s.now + delay, callback})
}
func (s *played) Tell(int, PeerUpdate) {}

func (s *played) Send(attempt *Attempt, timeout time.Duration) {
	req := attempt.Request
	effect := req.Class.Effect
	switch {
	case s.final[req] > 0:
		s.t.Errorf("an attempt after the final answer")
	case s.out[req] != nil:
		s.t.Errorf("two attempts in flight")
	case s.drains[attempt.Backend]:
		s.t.Errorf("an attempt at a backend that is not ready")
	case attempt.Stage != ToRead && s.may[req] && effect == Unrepeatable:
		s.t.Errorf("a non-idempotent request that may have run is sent again")
	case s.now >= req.Deadline || timeout > req.Deadline-s.now:
		s.t.Errorf("an attempt beyond the client's deadline")
	case attempt.Stage == ToWrite && s.state[req] == nil:
		s.t.Errorf("a decode attempt without a KV cache")
	}
	s.out[req] = attempt
	s.silent[attempt] = s.rng.IntN(4) == 0
	if !s.silent[attempt] {
		delete(s.since, req)
	}
	s.Wake(timeout, func() {
		if s.out[req] == attempt && attempt.Began == 0 {
			s.finish(attempt, TimedOut)
		}
	})
}

// advance moves the clock and runs timers that come due, each at its time.
func (s *played) pass(duration time.Duration) {
	for until := s.now + duration; ; {
		index := -1
		for i, next := range s.due {
			if next.at <= until && (index < 0 || next.at < s.due[index].at) {
				index = i
			}
		}
		if index < 0 {
			s.now = until
			return
		}
		next := s.due[index]
		s.due = slices.Delete(s.due, index, index+1)
		s.now = next.at
		next.do()
		s.waits()
	}
}

// Release drops a KV cache that no attempt waits for.
func (s *played) Release(req *Request) {
	if attempt := s.out[req]; attempt == nil || s.silent[attempt] {
		delete(s.state, req)
	}
}

func (s *played) end(req *Request, outcome string) {
	if s.final[req]++; s.final[req] > 1 {
		s.t.Errorf("two final answers, the last %s", outcome)
	}
	if s.out[req] != nil {
		s.t.Errorf("%s while an attempt is in flight", outcome)
	}
	if s.now > req.Deadline {
		s.t.Errorf("%s %v after the client's deadline", outcome, s.now-req.Deadline)
	}
}

func (s *played) Reject(req *Request, _ time.Duration) {
	s.end(req, "rejected")
	if s.may[req] && req.Class.Effect == Unrepeatable {
		s.t.Errorf("a non-idempotent request that may have run is rejected")
	}
}
func (s *played) Fail(req *Request) { s.end(req, "failed") }

// endAttempt ends the attempt that a request has in flight.
func (s *played) finish(attempt *Attempt, outcome Outcome) {
	req := attempt.Request
	delete(s.out, req)
	if _, waiting := s.since[req]; !waiting {
		s.since[req] = s.now
	}
	if attempt.Stage != ToRead && !outcome.NeverRan() {
		s.may[req] = true
	}
	note := 0
	switch {
	case outcome == Read:
		s.state[req], s.since[req] = attempt.Backend, s.now
		note = int(req.Prompt / 2)
	case attempt.Stage == ToWrite && (attempt.Began > 0 || outcome == Served):
		delete(s.state, req)
	case outcome == Rejected && attempt.Stage == ToWrite && (s.state[req] == nil || s.rng.IntN(2) == 0):
		delete(s.state, req) // the prefill backend had none
		note = 1
	}
	finished := outcome == Served || attempt.Began > 0
	if finished && s.final[req] == 0 {
		s.final[req]++
	}
	s.d.Ended(attempt, Result{Outcome: outcome, Took: s.now - attempt.Sent, Over: finished || s.final[req] > 0, Note: note, Load: []float64{s.rng.Float64(), float64(s.rng.IntN(20))}})
	if s.out[req] == nil && s.state[req] != nil {
		s.t.Errorf("a KV cache is held with no attempt in flight, after outcome %d", outcome)
	}
}

// Whatever happens in whatever order, the rules hold, and in the end nothing is left over: no request, no
// count, no KV cache.
func TestNothingIsLeftBehindWhateverHappens(t *testing.T) {
	for seed := range uint64(150) {
		sim := &played{door: &door{now: time.Second}, t: t, rng: rand.New(rand.NewPCG(seed, 3)), final: map[*Request]int{}, out: map[*Request]*Attempt{},
			state: map[*Request]*Backend{}, drains: map[*Backend]bool{}, may: map[*Request]bool{},
			silent: map[*Attempt]bool{}, since: map[*Request]time.Duration{}}
		settings := facts()
		settings["requestClasses"], settings["siblings"], settings["policyLimits.retryAfter"], settings["report.fields.0"], settings["report.fields.1"] = 3.0, 1.0, true, "util", "queue"
		settings["familyInfo.pinLimitUs"] = float64(playedHold.Microseconds())
		for i, effect := range []string{"repeatable", "by_key", "once"} {
			key := fmt.Sprintf("requestClasses.%d.", i)
			settings[key+"aimUs"], settings[key+"effect"], settings[key+"windowUs"], settings[key+"worth"] = 5e5, effect, 1e6, float64(i+1)
		}
		d, err := New(settings, seed, sim)
		if err != nil {
			t.Fatal(err)
		}
		sim.d = d
		var backends []*Backend
		for i := range 9 {
			backends = append(backends, &Backend{ID: uint32(i + 1), Kind: i / 3, Rack: i % 2})
		}
		list := func(backend *Backend, s BackendState) {
			sim.drains[backend] = s != Ready
			d.Listed([]Listing{{Host: backend, Standing: s, Units: 1, Booted: sim.now, Restart: s == Ready && sim.rng.IntN(3) == 0}}, false)
		}
		for _, backend := range backends {
			list(backend, Ready)
		}
		var requests []*Request
		for step := range 1500 {
			sim.pass(time.Duration(sim.rng.IntN(4)) * time.Millisecond)
			if step < 1000 && sim.rng.IntN(3) == 0 {
				req := &Request{ID: uint64(len(requests) + 1), Session: uint64(sim.rng.IntN(30)), Shared: uint64(sim.rng.IntN(5)), Prompt: float64(sim.rng.IntN(4000)),
					Most: float64(sim.rng.IntN(200)), Again: sim.rng.IntN(5) == 0, Left: time.Duration(100+sim.rng.IntN(1500)) * time.Millisecond}
				requests = append(requests, req)
				d.Submit(req, sim.rng.IntN(3), 0)
			}
			if sim.rng.IntN(40) == 0 {
				list(backends[sim.rng.IntN(len(backends))], BackendState(sim.rng.IntN(3)))
			}
			if sim.rng.IntN(40) == 0 {
				d.Heard(PeerUpdate{Host: backends[sim.rng.IntN(len(backends))], Grade: sim.rng.IntN(3), Verdict: Verdict(sim.rng.IntN(5))})
			}
			for _, req := range requests {
				attempt := sim.out[req]
				switch {
				case attempt == nil:
				case attempt.Began > 0 && sim.rng.IntN(30) == 0:
					sim.finish(attempt, []Outcome{Served, Served, Served, Broken}[sim.rng.IntN(4)])
				case attempt.Began > 0:
				case sim.rng.IntN(25) > 0:
				case sim.silent[attempt]:
					if sim.rng.IntN(4) == 0 {
						sim.finish(attempt, []Outcome{Unreachable, Broken}[sim.rng.IntN(2)])
					}
				case attempt.Stage == ToWrite && sim.state[req] == nil:
					sim.finish(attempt, Rejected) // it arrives after the release
				case attempt.Stage == ToRead:
					sim.finish(attempt, []Outcome{Read, Read, Read, Read, Failed, Rejected, TimedOut, Unreachable, Broken}[sim.rng.IntN(9)])
				case sim.rng.IntN(3) > 0:
					d.Began(attempt, sim.now-attempt.Sent)
					if attempt.Stage == ToWrite {
						delete(sim.state, req)
					}
				default:
					sim.finish(attempt, []Outcome{Failed, Rejected, TimedOut, Unreachable, Broken}[sim.rng.IntN(5)])
				}
				if sim.final[req] == 0 && sim.rng.IntN(400) == 0 {
					sim.final[req]++ // its client disconnects
					d.Left(req)
				}
			}
		}
		for range 3000 {
			sim.pass(2 * time.Millisecond)
			for _, req := range requests {
				if attempt := sim.out[req]; attempt != nil && sim.now < req.Deadline {
					sim.finish(attempt, Broken)
				} else if attempt != nil {
					sim.finish(attempt, Cancelled)
				}
			}
		}
		for _, req := range requests {
			if sim.final[req] != 1 || sim.state[req] != nil {
				t.Errorf("seed %d, request %d: %d final answers, KV cache held: %v", seed, req.ID, sim.final[req], sim.state[req] != nil)
			}
		}
		if d.outstanding != 0 || len(d.queue) != 0 || d.streams != 0 {
			t.Errorf("seed %d: %d without a first token, %d queued, %g streams", seed, d.outstanding, len(d.queue), d.streams)
		}
		for _, backend := range backends {
			if backend.Streams != 0 || backend.Tokens > 1e-6 || backend.Unread > 1e-6 || backend.Tokens < -1e-6 {
				t.Errorf("seed %d, backend %d: %d streams, %g KV tokens, %g to prefill", seed, backend.ID, backend.Streams, backend.Tokens, backend.Unread)
			}
		}
		if t.Failed() {
			return
		}
	}
}

// Timed-out attempts raise the expected time to first token: under congestion only the quick ones get a first
// token.
func TestTimedOutTripsTellOfAJam(t *testing.T) {
	d, runtime := begin(t)
	d.firstToken.Add(0.1, 0.1)
	for range 20 {
		req := ask(d)
		d.enqueue(req)
		d.dispatch()
		attempt := runtime.sent[len(runtime.sent)-1]
		runtime.now += 700 * time.Millisecond
		req.Last = true
		d.Ended(attempt, Result{Outcome: TimedOut, Took: 700 * time.Millisecond})
		runtime.now += time.Second
	}
	if expected := d.firstToken.Or(0); expected < 0.5 || expected > 0.7 {
		t.Errorf("a first token is expected after %.2f s, but none comes within 0.7 s", expected)
	}
	attempt := &Attempt{Request: &Request{Class: d.classes[0], Deadline: runtime.now + 2*time.Second}, Sent: runtime.now, Stage: ToRead}
	if got := d.patience(attempt); got != 2*time.Second {
		t.Errorf("an attempt under congestion leaves time for another: %v", got)
	}
}
