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
func (p *played) waits() {
	for q, since := range p.since {
		if p.state[q] == nil {
			delete(p.since, q)
		} else if p.now-since > playedHold+10*time.Millisecond {
			p.t.Errorf("a state waits for %v", p.now-since)
			delete(p.since, q)
		}
	}
}

type due struct {
	at time.Duration
	do func()
}

func (p *played) Wake(after time.Duration, do func()) { p.due = append(p.due, due{p.now + after, do}) }
func (p *played) Tell(int, PeerUpdate)                {}

func (p *played) Send(t *Attempt, wait time.Duration) {
	q := t.Request
	g := q.Class.Effect
	switch {
	case p.final[q] > 0:
		p.t.Errorf("a trip after the final answer")
	case p.out[q] != nil:
		p.t.Errorf("two trips out")
	case p.drains[t.Backend]:
		p.t.Errorf("a trip to a host that is not ready")
	case t.Stage != ToRead && p.may[q] && g == Unrepeatable:
		p.t.Errorf("an unrepeatable question that may have run goes out again")
	case p.now >= q.Deadline || wait > q.Deadline-p.now:
		p.t.Errorf("a trip past the client's time")
	case t.Stage == ToWrite && p.state[q] == nil:
		p.t.Errorf("a write without a state")
	}
	p.out[q] = t
	p.silent[t] = p.rng.IntN(4) == 0
	if !p.silent[t] {
		delete(p.since, q)
	}
	p.Wake(wait, func() {
		if p.out[q] == t && t.Began == 0 {
			p.finish(t, TimedOut)
		}
	})
}

// advance moves the clock and runs timers that come due, each at its time.
func (p *played) pass(by time.Duration) {
	for to := p.now + by; ; {
		next := -1
		for i, w := range p.due {
			if w.at <= to && (next < 0 || w.at < p.due[next].at) {
				next = i
			}
		}
		if next < 0 {
			p.now = to
			return
		}
		w := p.due[next]
		p.due = slices.Delete(p.due, next, next+1)
		p.now = w.at
		w.do()
		p.waits()
	}
}

// Release drops a KV cache that no attempt waits for.
func (p *played) Release(q *Request) {
	if t := p.out[q]; t == nil || p.silent[t] {
		delete(p.state, q)
	}
}

func (p *played) end(q *Request, word string) {
	if p.final[q]++; p.final[q] > 1 {
		p.t.Errorf("two final answers, the last %s", word)
	}
	if p.out[q] != nil {
		p.t.Errorf("%s while a trip is out", word)
	}
	if p.now > q.Deadline {
		p.t.Errorf("%s %v after the client's time", word, p.now-q.Deadline)
	}
}

func (p *played) Reject(q *Request, _ time.Duration) {
	p.end(q, "declined")
	if p.may[q] && q.Class.Effect == Unrepeatable {
		p.t.Errorf("a decline of what may have run")
	}
}
func (p *played) Fail(q *Request) { p.end(q, "forfeited") }

// endAttempt ends the attempt that a request has in flight.
func (p *played) finish(t *Attempt, o Outcome) {
	q := t.Request
	delete(p.out, q)
	if _, waits := p.since[q]; !waits {
		p.since[q] = p.now
	}
	if t.Stage != ToRead && !o.NeverRan() {
		p.may[q] = true
	}
	note := 0
	switch {
	case o == Read:
		p.state[q], p.since[q] = t.Backend, p.now
		note = int(q.Prompt / 2)
	case t.Stage == ToWrite && (t.Began > 0 || o == Served):
		delete(p.state, q)
	case o == Rejected && t.Stage == ToWrite && (p.state[q] == nil || p.rng.IntN(2) == 0):
		delete(p.state, q) // the prefill backend had none
		note = 1
	}
	over := o == Served || t.Began > 0
	if over && p.final[q] == 0 {
		p.final[q]++
	}
	p.d.Ended(t, Result{Outcome: o, Took: p.now - t.Sent, Over: over || p.final[q] > 0, Note: note, Load: []float64{p.rng.Float64(), float64(p.rng.IntN(20))}})
	if p.out[q] == nil && p.state[q] != nil {
		p.t.Errorf("a state is held with no trip out, after %d", o)
	}
}

// Whatever happens in whatever order, the rules hold, and in the end nothing is left over: no request, no
// count, no KV cache.
func TestNothingIsLeftBehindWhateverHappens(t *testing.T) {
	for seed := range uint64(150) {
		p := &played{door: &door{now: time.Second}, t: t, rng: rand.New(rand.NewPCG(seed, 3)), final: map[*Request]int{}, out: map[*Request]*Attempt{},
			state: map[*Request]*Backend{}, drains: map[*Backend]bool{}, may: map[*Request]bool{},
			silent: map[*Attempt]bool{}, since: map[*Request]time.Duration{}}
		f := facts()
		f["requestClasses"], f["siblings"], f["policyLimits.retryAfter"], f["report.fields.0"], f["report.fields.1"] = 3.0, 1.0, true, "util", "queue"
		f["familyInfo.pinLimitUs"] = float64(playedHold.Microseconds())
		for i, effect := range []string{"repeatable", "by_key", "once"} {
			at := fmt.Sprintf("requestClasses.%d.", i)
			f[at+"aimUs"], f[at+"effect"], f[at+"windowUs"], f[at+"worth"] = 5e5, effect, 1e6, float64(i+1)
		}
		d, err := New(f, seed, p)
		if err != nil {
			t.Fatal(err)
		}
		p.d = d
		var hosts []*Backend
		for i := range 9 {
			hosts = append(hosts, &Backend{ID: uint32(i + 1), Kind: i / 3, Rack: i % 2})
		}
		list := func(h *Backend, s BackendState) {
			p.drains[h] = s != Ready
			d.Listed([]Listing{{Host: h, Standing: s, Units: 1, Booted: p.now, Restart: s == Ready && p.rng.IntN(3) == 0}}, false)
		}
		for _, h := range hosts {
			list(h, Ready)
		}
		var asked []*Request
		for step := range 1500 {
			p.pass(time.Duration(p.rng.IntN(4)) * time.Millisecond)
			if step < 1000 && p.rng.IntN(3) == 0 {
				q := &Request{ID: uint64(len(asked) + 1), Session: uint64(p.rng.IntN(30)), Shared: uint64(p.rng.IntN(5)), Prompt: float64(p.rng.IntN(4000)),
					Most: float64(p.rng.IntN(200)), Again: p.rng.IntN(5) == 0, Left: time.Duration(100+p.rng.IntN(1500)) * time.Millisecond}
				asked = append(asked, q)
				d.Submit(q, p.rng.IntN(3), 0)
			}
			if p.rng.IntN(40) == 0 {
				list(hosts[p.rng.IntN(len(hosts))], BackendState(p.rng.IntN(3)))
			}
			if p.rng.IntN(40) == 0 {
				d.Heard(PeerUpdate{Host: hosts[p.rng.IntN(len(hosts))], Grade: p.rng.IntN(3), Verdict: Verdict(p.rng.IntN(5))})
			}
			for _, q := range asked {
				trip := p.out[q]
				switch {
				case trip == nil:
				case trip.Began > 0 && p.rng.IntN(30) == 0:
					p.finish(trip, []Outcome{Served, Served, Served, Broken}[p.rng.IntN(4)])
				case trip.Began > 0:
				case p.rng.IntN(25) > 0:
				case p.silent[trip]:
					if p.rng.IntN(4) == 0 {
						p.finish(trip, []Outcome{Unreachable, Broken}[p.rng.IntN(2)])
					}
				case trip.Stage == ToWrite && p.state[q] == nil:
					p.finish(trip, Rejected) // it arrives after the release
				case trip.Stage == ToRead:
					p.finish(trip, []Outcome{Read, Read, Read, Read, Failed, Rejected, TimedOut, Unreachable, Broken}[p.rng.IntN(9)])
				case p.rng.IntN(3) > 0:
					d.Began(trip, p.now-trip.Sent)
					if trip.Stage == ToWrite {
						delete(p.state, q)
					}
				default:
					p.finish(trip, []Outcome{Failed, Rejected, TimedOut, Unreachable, Broken}[p.rng.IntN(5)])
				}
				if p.final[q] == 0 && p.rng.IntN(400) == 0 {
					p.final[q]++ // its client disconnects
					d.Left(q)
				}
			}
		}
		for range 3000 {
			p.pass(2 * time.Millisecond)
			for _, q := range asked {
				if trip := p.out[q]; trip != nil && p.now < q.Deadline {
					p.finish(trip, Broken)
				} else if trip != nil {
					p.finish(trip, Cancelled)
				}
			}
		}
		for _, q := range asked {
			if p.final[q] != 1 || p.state[q] != nil {
				t.Errorf("seed %d, question %d: %d final answers, state %v", seed, q.ID, p.final[q], p.state[q] != nil)
			}
		}
		if d.outstanding != 0 || len(d.queue) != 0 || d.streams != 0 {
			t.Errorf("seed %d: %d without a first token, %d held, %g streams", seed, d.outstanding, len(d.queue), d.streams)
		}
		for _, h := range hosts {
			if h.Streams != 0 || h.Tokens > 1e-6 || h.Unread > 1e-6 || h.Tokens < -1e-6 {
				t.Errorf("seed %d, host %d: %d streams, %g tokens, %g unread", seed, h.ID, h.Streams, h.Tokens, h.Unread)
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
	d, out := begin(t)
	d.firstToken.Add(0.1, 0.1)
	for range 20 {
		q := ask(d)
		d.enqueue(q)
		d.dispatch()
		trip := out.sent[len(out.sent)-1]
		out.now += 700 * time.Millisecond
		q.Last = true
		d.Ended(trip, Result{Outcome: TimedOut, Took: 700 * time.Millisecond})
		out.now += time.Second
	}
	if ahead := d.firstToken.Or(0); ahead < 0.5 || ahead > 0.7 {
		t.Errorf("first tokens are taken to come after %.2f s, where none comes within 0.7 s", ahead)
	}
	trip := &Attempt{Request: &Request{Class: d.classes[0], Deadline: out.now + 2*time.Second}, Sent: out.now, Stage: ToRead}
	if got := d.patience(trip); got != 2*time.Second {
		t.Errorf("a trip leaves time for another into the jam: %v", got)
	}
}
