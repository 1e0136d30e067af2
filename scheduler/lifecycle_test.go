package scheduler

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
type simulation struct {
	*fakeRuntime
	t              *testing.T
	dispatcher     *Dispatcher
	rng            *rand.Rand
	timers         []timer
	finalAnswers   map[*Request]int
	inFlight       map[*Request]*Attempt
	kvHolders      map[*Request]*Backend // KV caches as their backends hold them
	notReady       map[*Backend]bool
	mayHaveRun     map[*Request]bool          // requests that may have run
	silent         map[*Attempt]bool          // attempts that never arrive
	kvWaitingSince map[*Request]time.Duration // since when its KV cache has been waiting, with no attempt that has arrived
}

const simulatedHoldLimit = 60 * time.Millisecond

// checkHoldTimes checks how long KV caches wait (rule 5).
func (s *simulation) checkHoldTimes() {
	for req, since := range s.kvWaitingSince {
		if s.kvHolders[req] == nil {
			delete(s.kvWaitingSince, req)
		} else if s.now-since > simulatedHoldLimit+10*time.Millisecond {
			s.t.Errorf("a KV cache has been waiting for %v", s.now-since)
			delete(s.kvWaitingSince, req)
		}
	}
}

type timer struct {
	due      time.Duration
	callback func()
}

func (s *simulation) Schedule(delay time.Duration, callback func()) {
	s.timers = append(s.timers, timer{s.now + delay, callback})
}
func (s *simulation) SendPeerUpdate(int, PeerUpdate) {}

func (s *simulation) Send(attempt *Attempt, timeout time.Duration) {
	req := attempt.Request
	effect := req.Class.Effect
	switch {
	case s.finalAnswers[req] > 0:
		s.t.Errorf("an attempt after the final answer")
	case s.inFlight[req] != nil:
		s.t.Errorf("two attempts in flight")
	case s.notReady[attempt.Backend]:
		s.t.Errorf("an attempt at a backend that is not ready")
	case attempt.Stage != StagePrefill && s.mayHaveRun[req] && effect == NonIdempotent:
		s.t.Errorf("a non-idempotent request that may have run is sent again")
	case s.now >= req.Deadline || timeout > req.Deadline-s.now:
		s.t.Errorf("an attempt beyond the client's deadline")
	case attempt.Stage == StageDecode && s.kvHolders[req] == nil:
		s.t.Errorf("a decode attempt without a KV cache")
	}
	s.inFlight[req] = attempt
	s.silent[attempt] = s.rng.IntN(4) == 0
	if !s.silent[attempt] {
		delete(s.kvWaitingSince, req)
	}
	s.Schedule(timeout, func() {
		if s.inFlight[req] == attempt && attempt.FirstTokenAt == 0 {
			s.endAttempt(attempt, TimedOut)
		}
	})
}

// advance moves the clock and runs timers that come due, each at its time.
func (s *simulation) advance(duration time.Duration) {
	for until := s.now + duration; ; {
		index := -1
		for i, next := range s.timers {
			if next.due <= until && (index < 0 || next.due < s.timers[index].due) {
				index = i
			}
		}
		if index < 0 {
			s.now = until
			return
		}
		next := s.timers[index]
		s.timers = slices.Delete(s.timers, index, index+1)
		s.now = next.due
		next.callback()
		s.checkHoldTimes()
	}
}

// Release drops a KV cache that no attempt waits for.
func (s *simulation) Release(req *Request) {
	if attempt := s.inFlight[req]; attempt == nil || s.silent[attempt] {
		delete(s.kvHolders, req)
	}
}

func (s *simulation) checkFinalAnswer(req *Request, outcome string) {
	if s.finalAnswers[req]++; s.finalAnswers[req] > 1 {
		s.t.Errorf("two final answers, the last %s", outcome)
	}
	if s.inFlight[req] != nil {
		s.t.Errorf("%s while an attempt is in flight", outcome)
	}
	if s.now > req.Deadline {
		s.t.Errorf("%s %v after the client's deadline", outcome, s.now-req.Deadline)
	}
}

func (s *simulation) Reject(req *Request, _ time.Duration) {
	s.checkFinalAnswer(req, "rejected")
	if s.mayHaveRun[req] && req.Class.Effect == NonIdempotent {
		s.t.Errorf("a non-idempotent request that may have run is rejected")
	}
}
func (s *simulation) Fail(req *Request) { s.checkFinalAnswer(req, "failed") }

// endAttempt ends the attempt that a request has in flight.
func (s *simulation) endAttempt(attempt *Attempt, outcome Outcome) {
	req := attempt.Request
	delete(s.inFlight, req)
	if _, waiting := s.kvWaitingSince[req]; !waiting {
		s.kvWaitingSince[req] = s.now
	}
	if attempt.Stage != StagePrefill && !outcome.NeverRan() {
		s.mayHaveRun[req] = true
	}
	note := 0
	switch {
	case outcome == Prefilled:
		s.kvHolders[req], s.kvWaitingSince[req] = attempt.Backend, s.now
		note = int(req.PromptTokens / 2)
	case attempt.Stage == StageDecode && (attempt.FirstTokenAt > 0 || outcome == Served):
		delete(s.kvHolders, req)
	case outcome == Rejected && attempt.Stage == StageDecode && (s.kvHolders[req] == nil || s.rng.IntN(2) == 0):
		delete(s.kvHolders, req) // the prefill backend had none
		note = 1
	}
	finished := outcome == Served || attempt.FirstTokenAt > 0
	if finished && s.finalAnswers[req] == 0 {
		s.finalAnswers[req]++
	}
	s.dispatcher.AttemptDone(attempt, Result{Outcome: outcome, Duration: s.now - attempt.SentAt,
		Finished: finished || s.finalAnswers[req] > 0, Detail: note,
		LoadReport: []float64{s.rng.Float64(), float64(s.rng.IntN(20))}})
	if s.inFlight[req] == nil && s.kvHolders[req] != nil {
		s.t.Errorf("a KV cache is held with no attempt in flight, after outcome %d", outcome)
	}
}

// Whatever happens in whatever order, the rules hold, and in the end nothing is left over: no request, no
// count, no KV cache.
func TestRulesHoldAndNothingLeaksUnderRandomEvents(t *testing.T) {
	for seed := range uint64(150) {
		sim := &simulation{fakeRuntime: &fakeRuntime{now: time.Second}, t: t, rng: rand.New(rand.NewPCG(seed, 3)),
			finalAnswers: map[*Request]int{}, inFlight: map[*Request]*Attempt{},
			kvHolders: map[*Request]*Backend{}, notReady: map[*Backend]bool{}, mayHaveRun: map[*Request]bool{},
			silent: map[*Attempt]bool{}, kvWaitingSince: map[*Request]time.Duration{}}
		settings := testSettings()
		settings["requestClasses"], settings["siblings"], settings["policyLimits.retryAfter"], settings["report.fields.0"],
			settings["report.fields.1"] = 3.0, 1.0, true, "util", "queue"
		settings["familyInfo.pinLimitUs"] = float64(simulatedHoldLimit.Microseconds())
		for i, effect := range []string{"repeatable", "by_key", "once"} {
			key := fmt.Sprintf("requestClasses.%d.", i)
			settings[key+"aimUs"], settings[key+"effect"], settings[key+"windowUs"], settings[key+"worth"] =
				5e5, effect, 1e6, float64(i+1)
		}
		dispatcher, err := New(settings, seed, sim)
		if err != nil {
			t.Fatal(err)
		}
		sim.dispatcher = dispatcher
		var backends []*Backend
		for i := range 9 {
			backends = append(backends, &Backend{ID: uint32(i + 1), Kind: i / 3, Rack: i % 2})
		}
		list := func(backend *Backend, s BackendState) {
			sim.notReady[backend] = s != Ready
			dispatcher.UpdateEndpoints([]Endpoint{{Backend: backend, State: s, CapacityUnits: 1, StartedAt: sim.now,
				StartReported: s == Ready && sim.rng.IntN(3) == 0}}, false)
		}
		for _, backend := range backends {
			list(backend, Ready)
		}
		var requests []*Request
		for step := range 1500 {
			sim.advance(time.Duration(sim.rng.IntN(4)) * time.Millisecond)
			if step < 1000 && sim.rng.IntN(3) == 0 {
				req := &Request{ID: uint64(len(requests) + 1), SessionKey: uint64(sim.rng.IntN(30)),
					PrefixKey: uint64(sim.rng.IntN(5)), PromptTokens: float64(sim.rng.IntN(4000)),
					MaxOutputTokens: float64(sim.rng.IntN(200)), ClientRetry: sim.rng.IntN(5) == 0,
					Timeout: time.Duration(100+sim.rng.IntN(1500)) * time.Millisecond}
				requests = append(requests, req)
				dispatcher.Submit(req, sim.rng.IntN(3), 0)
			}
			if sim.rng.IntN(40) == 0 {
				list(backends[sim.rng.IntN(len(backends))], BackendState(sim.rng.IntN(3)))
			}
			if sim.rng.IntN(40) == 0 {
				dispatcher.PeerUpdated(PeerUpdate{Backend: backends[sim.rng.IntN(len(backends))], ClassIndex: sim.rng.IntN(3),
					Verdict: Verdict(sim.rng.IntN(5))})
			}
			for _, req := range requests {
				attempt := sim.inFlight[req]
				switch {
				case attempt == nil:
				case attempt.FirstTokenAt > 0 && sim.rng.IntN(30) == 0:
					sim.endAttempt(attempt, []Outcome{Served, Served, Served, ConnectionLost}[sim.rng.IntN(4)])
				case attempt.FirstTokenAt > 0:
				case sim.rng.IntN(25) > 0:
				case sim.silent[attempt]:
					if sim.rng.IntN(4) == 0 {
						sim.endAttempt(attempt, []Outcome{Unreachable, ConnectionLost}[sim.rng.IntN(2)])
					}
				case attempt.Stage == StageDecode && sim.kvHolders[req] == nil:
					sim.endAttempt(attempt, Rejected) // it arrives after the release
				case attempt.Stage == StagePrefill:
					sim.endAttempt(attempt, []Outcome{Prefilled, Prefilled, Prefilled, Prefilled, Failed, Rejected, TimedOut,
						Unreachable, ConnectionLost}[sim.rng.IntN(9)])
				case sim.rng.IntN(3) > 0:
					dispatcher.FirstToken(attempt, sim.now-attempt.SentAt)
					if attempt.Stage == StageDecode {
						delete(sim.kvHolders, req)
					}
				default:
					sim.endAttempt(attempt, []Outcome{Failed, Rejected, TimedOut, Unreachable, ConnectionLost}[sim.rng.IntN(5)])
				}
				if sim.finalAnswers[req] == 0 && sim.rng.IntN(400) == 0 {
					sim.finalAnswers[req]++ // its client disconnects
					dispatcher.ClientDisconnected(req)
				}
			}
		}
		for range 3000 {
			sim.advance(2 * time.Millisecond)
			for _, req := range requests {
				if attempt := sim.inFlight[req]; attempt != nil && sim.now < req.Deadline {
					sim.endAttempt(attempt, ConnectionLost)
				} else if attempt != nil {
					sim.endAttempt(attempt, Cancelled)
				}
			}
		}
		for _, req := range requests {
			if sim.finalAnswers[req] != 1 || sim.kvHolders[req] != nil {
				t.Errorf("seed %d, request %d: %d final answers, KV cache held: %v", seed, req.ID, sim.finalAnswers[req],
					sim.kvHolders[req] != nil)
			}
		}
		if dispatcher.outstanding != 0 || len(dispatcher.queue) != 0 || dispatcher.streams != 0 {
			t.Errorf("seed %d: %d without a first token, %d queued, %g streams", seed, dispatcher.outstanding,
				len(dispatcher.queue), dispatcher.streams)
		}
		for _, backend := range backends {
			if backend.Streams != 0 || backend.KVTokens > 1e-6 || backend.PrefillBacklog > 1e-6 || backend.KVTokens < -1e-6 {
				t.Errorf("seed %d, backend %d: %d streams, %g KV tokens, %g to prefill", seed, backend.ID, backend.Streams,
					backend.KVTokens, backend.PrefillBacklog)
			}
		}
		if t.Failed() {
			return
		}
	}
}

// Timed-out attempts raise the expected time to first token: under congestion only the quick ones get a first
// token.
func TestTimeoutsRaiseExpectedTimeToFirstToken(t *testing.T) {
	dispatcher, runtime := newDispatcher(t)
	dispatcher.timeToFirstToken.Add(0.1, 0.1)
	for range 20 {
		req := newRequest(dispatcher)
		dispatcher.enqueue(req)
		dispatcher.dispatch()
		attempt := runtime.sent[len(runtime.sent)-1]
		runtime.now += 700 * time.Millisecond
		req.NoMoreAttempts = true
		dispatcher.AttemptDone(attempt, Result{Outcome: TimedOut, Duration: 700 * time.Millisecond})
		runtime.now += time.Second
	}
	if expected := dispatcher.timeToFirstToken.ValueOr(0); expected < 0.5 || expected > 0.7 {
		t.Errorf("a first token is expected after %.2f s, but none comes within 0.7 s", expected)
	}
	attempt := &Attempt{Request: &Request{Class: dispatcher.classes[0], Deadline: runtime.now + 2*time.Second},
		SentAt: runtime.now, Stage: StagePrefill}
	if got := dispatcher.attemptTimeout(attempt); got != 2*time.Second {
		t.Errorf("an attempt under congestion leaves time for another: %v", got)
	}
}
