package brain

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// played is a dispatcher in a world of chance: attempts begin, end in any way or late, clients leave, backends come, drain and go, and
// peers tell of failures. It keeps, from outside, what the rules are about.
type simulation struct {
	*fakeRuntime
	t              *testing.T
	dispatcher     *Dispatcher
	rng            *rand.Rand
	timers         []timer
	finalAnswers   map[*Request]int
	inFlight       map[*Request]*Attempt
	kvHolders      map[*Request]*Backend // held for it, as its backend knows
	notReady       map[*Backend]bool
	mayHaveRun     map[*Request]bool          // it may have run
	silent         map[*Attempt]bool          // it never arrives
	kvWaitingSince map[*Request]time.Duration // when its state began to wait with no attempt that has arrived
}

const simulatedHoldLimit = 60 * time.Millisecond

// waits judges how long a state waits (rule 5).
func (p *simulation) checkHoldTimes() {
	for q, since := range p.kvWaitingSince {
		if p.kvHolders[q] == nil {
			delete(p.kvWaitingSince, q)
		} else if p.now-since > simulatedHoldLimit+10*time.Millisecond {
			p.t.Errorf("a state waits for %v", p.now-since)
			delete(p.kvWaitingSince, q)
		}
	}
}

type timer struct {
	due      time.Duration
	callback func()
}

func (p *simulation) Schedule(after time.Duration, do func()) {
	p.timers = append(p.timers, timer{p.now + after, do})
}
func (p *simulation) SendPeerUpdate(int, PeerUpdate) {}

func (p *simulation) Send(t *Attempt, wait time.Duration) {
	q := t.Request
	g := q.Class.Effect
	switch {
	case p.finalAnswers[q] > 0:
		p.t.Errorf("a trip after the final answer")
	case p.inFlight[q] != nil:
		p.t.Errorf("two trips out")
	case p.notReady[t.Backend]:
		p.t.Errorf("a trip to a host that is not ready")
	case t.Stage != StagePrefill && p.mayHaveRun[q] && g == NonIdempotent:
		p.t.Errorf("an unrepeatable question that may have run goes out again")
	case p.now >= q.Deadline || wait > q.Deadline-p.now:
		p.t.Errorf("a trip past the client's time")
	case t.Stage == StageDecode && p.kvHolders[q] == nil:
		p.t.Errorf("a write without a state")
	}
	p.inFlight[q] = t
	p.silent[t] = p.rng.IntN(4) == 0
	if !p.silent[t] {
		delete(p.kvWaitingSince, q)
	}
	p.Schedule(wait, func() {
		if p.inFlight[q] == t && t.FirstTokenAt == 0 {
			p.endAttempt(t, TimedOut)
		}
	})
}

// pass lets time pass, and runs the timers that come due, each at its time.
func (p *simulation) advance(by time.Duration) {
	for to := p.now + by; ; {
		next := -1
		for i, w := range p.timers {
			if w.due <= to && (next < 0 || w.due < p.timers[next].due) {
				next = i
			}
		}
		if next < 0 {
			p.now = to
			return
		}
		w := p.timers[next]
		p.timers = slices.Delete(p.timers, next, next+1)
		p.now = w.due
		w.callback()
		p.checkHoldTimes()
	}
}

// Release lets go of a state that no attempt waits for.
func (p *simulation) Release(q *Request) {
	if t := p.inFlight[q]; t == nil || p.silent[t] {
		delete(p.kvHolders, q)
	}
}

func (p *simulation) checkFinalAnswer(q *Request, word string) {
	if p.finalAnswers[q]++; p.finalAnswers[q] > 1 {
		p.t.Errorf("two final answers, the last %s", word)
	}
	if p.inFlight[q] != nil {
		p.t.Errorf("%s while a trip is out", word)
	}
	if p.now > q.Deadline {
		p.t.Errorf("%s %v after the client's time", word, p.now-q.Deadline)
	}
}

func (p *simulation) Reject(q *Request, _ time.Duration) {
	p.checkFinalAnswer(q, "declined")
	if p.mayHaveRun[q] && q.Class.Effect == NonIdempotent {
		p.t.Errorf("a decline of what may have run")
	}
}
func (p *simulation) Fail(q *Request) { p.checkFinalAnswer(q, "forfeited") }

// finish ends the attempt that is out for a request.
func (p *simulation) endAttempt(t *Attempt, o Outcome) {
	q := t.Request
	delete(p.inFlight, q)
	if _, waits := p.kvWaitingSince[q]; !waits {
		p.kvWaitingSince[q] = p.now
	}
	if t.Stage != StagePrefill && !o.NeverRan() {
		p.mayHaveRun[q] = true
	}
	note := 0
	switch {
	case o == Prefilled:
		p.kvHolders[q], p.kvWaitingSince[q] = t.Backend, p.now
		note = int(q.PromptTokens / 2)
	case t.Stage == StageDecode && (t.FirstTokenAt > 0 || o == Served):
		delete(p.kvHolders, q)
	case o == Rejected && t.Stage == StageDecode && (p.kvHolders[q] == nil || p.rng.IntN(2) == 0):
		delete(p.kvHolders, q) // the prefill backend had none
		note = 1
	}
	over := o == Served || t.FirstTokenAt > 0
	if over && p.finalAnswers[q] == 0 {
		p.finalAnswers[q]++
	}
	p.dispatcher.AttemptDone(t, Result{Outcome: o, Duration: p.now - t.SentAt, Finished: over || p.finalAnswers[q] > 0, Detail: note, LoadReport: []float64{p.rng.Float64(), float64(p.rng.IntN(20))}})
	if p.inFlight[q] == nil && p.kvHolders[q] != nil {
		p.t.Errorf("a state is held with no trip out, after %d", o)
	}
}

// Whatever happens in whatever order, the gate holds, and in the end nothing is left: no request, no place in a count, no state.
func TestRulesHoldAndNothingLeaksUnderRandomEvents(t *testing.T) {
	for seed := range uint64(150) {
		p := &simulation{fakeRuntime: &fakeRuntime{now: time.Second}, t: t, rng: rand.New(rand.NewPCG(seed, 3)), finalAnswers: map[*Request]int{}, inFlight: map[*Request]*Attempt{},
			kvHolders: map[*Request]*Backend{}, notReady: map[*Backend]bool{}, mayHaveRun: map[*Request]bool{},
			silent: map[*Attempt]bool{}, kvWaitingSince: map[*Request]time.Duration{}}
		f := testSettings()
		f["requestClasses"], f["siblings"], f["policyLimits.retryAfter"], f["report.fields.0"], f["report.fields.1"] = 3.0, 1.0, true, "util", "queue"
		f["familyInfo.pinLimitUs"] = float64(simulatedHoldLimit.Microseconds())
		for i, effect := range []string{"repeatable", "by_key", "once"} {
			at := fmt.Sprintf("requestClasses.%d.", i)
			f[at+"aimUs"], f[at+"effect"], f[at+"windowUs"], f[at+"worth"] = 5e5, effect, 1e6, float64(i+1)
		}
		d, err := New(f, seed, p)
		if err != nil {
			t.Fatal(err)
		}
		p.dispatcher = d
		var hosts []*Backend
		for i := range 9 {
			hosts = append(hosts, &Backend{ID: uint32(i + 1), Kind: i / 3, Rack: i % 2})
		}
		list := func(h *Backend, s BackendState) {
			p.notReady[h] = s != Ready
			d.UpdateEndpoints([]Endpoint{{Backend: h, State: s, CapacityUnits: 1, StartedAt: p.now, StartReported: s == Ready && p.rng.IntN(3) == 0}}, false)
		}
		for _, h := range hosts {
			list(h, Ready)
		}
		var asked []*Request
		for step := range 1500 {
			p.advance(time.Duration(p.rng.IntN(4)) * time.Millisecond)
			if step < 1000 && p.rng.IntN(3) == 0 {
				q := &Request{ID: uint64(len(asked) + 1), SessionKey: uint64(p.rng.IntN(30)), PrefixKey: uint64(p.rng.IntN(5)), PromptTokens: float64(p.rng.IntN(4000)),
					MaxOutputTokens: float64(p.rng.IntN(200)), ClientRetry: p.rng.IntN(5) == 0, Timeout: time.Duration(100+p.rng.IntN(1500)) * time.Millisecond}
				asked = append(asked, q)
				d.Submit(q, p.rng.IntN(3), 0)
			}
			if p.rng.IntN(40) == 0 {
				list(hosts[p.rng.IntN(len(hosts))], BackendState(p.rng.IntN(3)))
			}
			if p.rng.IntN(40) == 0 {
				d.PeerUpdated(PeerUpdate{Backend: hosts[p.rng.IntN(len(hosts))], ClassIndex: p.rng.IntN(3), Verdict: Verdict(p.rng.IntN(5))})
			}
			for _, q := range asked {
				trip := p.inFlight[q]
				switch {
				case trip == nil:
				case trip.FirstTokenAt > 0 && p.rng.IntN(30) == 0:
					p.endAttempt(trip, []Outcome{Served, Served, Served, ConnectionLost}[p.rng.IntN(4)])
				case trip.FirstTokenAt > 0:
				case p.rng.IntN(25) > 0:
				case p.silent[trip]:
					if p.rng.IntN(4) == 0 {
						p.endAttempt(trip, []Outcome{Unreachable, ConnectionLost}[p.rng.IntN(2)])
					}
				case trip.Stage == StageDecode && p.kvHolders[q] == nil:
					p.endAttempt(trip, Rejected) // it arrives behind the release
				case trip.Stage == StagePrefill:
					p.endAttempt(trip, []Outcome{Prefilled, Prefilled, Prefilled, Prefilled, Failed, Rejected, TimedOut, Unreachable, ConnectionLost}[p.rng.IntN(9)])
				case p.rng.IntN(3) > 0:
					d.FirstToken(trip, p.now-trip.SentAt)
					if trip.Stage == StageDecode {
						delete(p.kvHolders, q)
					}
				default:
					p.endAttempt(trip, []Outcome{Failed, Rejected, TimedOut, Unreachable, ConnectionLost}[p.rng.IntN(5)])
				}
				if p.finalAnswers[q] == 0 && p.rng.IntN(400) == 0 {
					p.finalAnswers[q]++ // its client leaves
					d.ClientDisconnected(q)
				}
			}
		}
		for range 3000 {
			p.advance(2 * time.Millisecond)
			for _, q := range asked {
				if trip := p.inFlight[q]; trip != nil && p.now < q.Deadline {
					p.endAttempt(trip, ConnectionLost)
				} else if trip != nil {
					p.endAttempt(trip, Cancelled)
				}
			}
		}
		for _, q := range asked {
			if p.finalAnswers[q] != 1 || p.kvHolders[q] != nil {
				t.Errorf("seed %d, question %d: %d final answers, state %v", seed, q.ID, p.finalAnswers[q], p.kvHolders[q] != nil)
			}
		}
		if d.outstanding != 0 || len(d.queue) != 0 || d.streams != 0 {
			t.Errorf("seed %d: %d without a first token, %d held, %g streams", seed, d.outstanding, len(d.queue), d.streams)
		}
		for _, h := range hosts {
			if h.Streams != 0 || h.KVTokens > 1e-6 || h.PrefillBacklog > 1e-6 || h.KVTokens < -1e-6 {
				t.Errorf("seed %d, host %d: %d streams, %g tokens, %g unread", seed, h.ID, h.Streams, h.KVTokens, h.PrefillBacklog)
			}
		}
		if t.Failed() {
			return
		}
	}
}

// Attempts that time out tell how long first tokens take as well as those that had one: in a jam only the quick ones have.
func TestTimeoutsRaiseExpectedTimeToFirstToken(t *testing.T) {
	d, out := newDispatcher(t)
	d.timeToFirstToken.Add(0.1, 0.1)
	for range 20 {
		q := newRequest(d)
		d.enqueue(q)
		d.dispatch()
		trip := out.sent[len(out.sent)-1]
		out.now += 700 * time.Millisecond
		q.NoMoreAttempts = true
		d.AttemptDone(trip, Result{Outcome: TimedOut, Duration: 700 * time.Millisecond})
		out.now += time.Second
	}
	if ahead := d.timeToFirstToken.ValueOr(0); ahead < 0.5 || ahead > 0.7 {
		t.Errorf("first tokens are taken to come after %.2f s, where none comes within 0.7 s", ahead)
	}
	trip := &Attempt{Request: &Request{Class: d.classes[0], Deadline: out.now + 2*time.Second}, SentAt: out.now, Stage: StagePrefill}
	if got := d.attemptTimeout(trip); got != 2*time.Second {
		t.Errorf("a trip leaves time for another into the jam: %v", got)
	}
}
