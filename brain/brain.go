// Package brain decides, for one dispatcher, where each request goes.
//
// The calling program makes a Dispatcher with New and calls it with what happens: Listed and ListFailed
// for the list of backends, Submit for a request, Began and Ended for its attempts, Left when its client has
// gone, Heard for what another dispatcher tells. It acts through the Runtime of runtime.go alone; types.go has
// what it is handed. Each attempt carries in Next what is to be done with its result. The ordinary path is
// that of docs/design.md: inPlace, pickMixed, pickPrefill, then pickDecode.
package brain

import (
	"math"
	"slices"
	"time"
)

const (
	refresh   = 5 * time.Second        // how often the average is taken anew (design)
	cutShare  = 0.25                   // shorter prompts are read in place (design)
	keptFor   = 20 * time.Second       // a prefix key unused for longer is taken for forgotten
	evidence  = 500 * time.Millisecond // a tenth of how long attempts speak for or against a backend
	believe   = 0.5                    // a doubtful backend gets work if its draw is above this
	sweep     = 20 * time.Millisecond  // how often held requests are looked at
	perHost   = 4.0                    // requests without a first token for each backend, to begin with
	calm      = 0.7                    // of the promised span to a first token, at which the window stays
	memory    = 3 * time.Second        // a tenth of how long what a backend was given counts
	lasting   = 0.5                    // how much that counts beside what it holds now
	gossip    = 0.0007                 // of the benefit, at most, for telling others of one attempt
	slowly    = 0.25                   // of a failure, that a late first token weighs against its backend
	crossing  = 1.5                    // how much fuller a decode backend in another rack than the state counts
	answer    = 0.25                   // of the longest answer, that a request is taken to need
	newsSize  = 8                      // bytes of what is told
	bound     = 3.0                    // times as full as the mean, from which a home is not chosen alone
	burst     = 2.0                    // requests that a window's last part lets out at once, at most
	impatient = 0.25                   // of the promised time: an oldest wait beyond it means overload
)

// New starts an instance from its settings and the seed for its chance.
func New(facts Facts, seed uint64, runtime Runtime) (*Dispatcher, error) {
	if err := facts.Sound(); err != nil {
		return nil, err
	}
	facts = facts.Complete()
	d := &Dispatcher{facts: facts, parameters: parametersOf(facts), runtime: runtime, rng: NewPCG(seed)}
	d.own, d.credit = Mix(seed, 1), burst
	d.unread.Width, d.asked.Width, d.begins.Width = refresh, refresh, refresh
	var err error
	if d.classes, err = facts.Grades(); err != nil {
		return nil, err
	}
	d.tenants = facts.Channels()
	if facts.Yes("policyLimits.peers") {
		dear := max(d.parameters.peerPrice*newsSize/256, gossip/8)
		d.listeners = min(int(gossip/dear), int(d.parameters.dispatchers)-1)
	}
	if facts.Text("discovery") == "subscribe" {
		runtime.Watch(true)
	}
	// Its own phase: dispatchers that start together would all turn to the same backends in one moment.
	runtime.Wake(time.Duration(d.rng.Float()*float64(refresh)), d.refresh)
	return d, nil
}

func (d *Dispatcher) refresh() {
	now := d.runtime.Now()
	if n := d.asked.Sum(now); n > 0 {
		d.average = d.unread.Sum(now) / n
	}
	d.begins.Forget(now)
	for role := range d.carried {
		d.carries(Role(role), false)
	}
	for _, h := range d.backends {
		h.Forget(now - keptFor)
	}
	d.forgetKeepers()
	d.compared = 0
	d.compareSizes()
	d.runtime.Wake(refresh, d.refresh)
}

// Listed takes what the list says of backends; a whole list leaves out those that are gone.
func (d *Dispatcher) Listed(lines []Listing, whole bool) {
	gone := whole
	if whole {
		for _, h := range d.backends {
			h.Standing = Gone
		}
	}
	for _, l := range lines {
		h := l.Host
		if h.Kept == nil {
			d.meet(h)
		}
		if !h.Held {
			d.addHost(h, len(lines) > smallFleet)
		}
		if h.Kept == nil || l.Restart && l.Booted != h.Booted {
			h.Kept = map[uint64]Kept{}
			fresh := Record{Good: Ring{Width: evidence}, Bad: Ring{Width: evidence}}
			h.Records = slices.Repeat([]Record{fresh}, 1+len(d.classes))
		}
		gone = gone || l.Standing == Gone
		h.Standing, h.Units, h.Booted, h.Restart = l.Standing, max(l.Units, 0.01), l.Booted, l.Restart
		if h.Size == 0 {
			h.Size = 1 // until sizes are compared
		}
	}
	if gone || d.lingering {
		d.dropHosts()
		d.lingering = slices.ContainsFunc(d.backends, func(h *Backend) bool { return h.Standing == Gone })
	}
	d.orderHosts()
	d.carriedChanged()
	d.compareSizes()
	if !d.adjusted {
		d.window = perHost * float64(len(d.backends)) / d.parameters.dispatchers
	}
	d.dispatch()
}

// meet sets what does not change of a backend that is seen for the first time.
func (d *Dispatcher) meet(h *Backend) {
	h.Role, h.Memory = d.facts.RoleOf(h.Kind), d.facts.MemoryOf(h.Kind)
	h.Sent.Width = max(d.parameters.slowStartWindow/(buckets-1), 1)
	h.Carried.Width = max(d.parameters.slowStartWindow*5/buckets, 1)
	h.Given.Width, h.Far, h.Lean = memory, 1, -math.Log(d.rng.Float())
	if h.Zone != d.parameters.zone {
		h.Far += 25 * d.parameters.crossZonePrice
	}
	h.Room = h.Memory / d.parameters.dispatchers
}

// ListFailed asks again, a little later, where the list has to be asked for.
func (d *Dispatcher) ListFailed() {
	if d.facts.Text("discovery") == "subscribe" {
		d.runtime.Wake(time.Second, func() { d.runtime.Watch(true) })
	}
}

// Submit takes a request.
func (d *Dispatcher) Submit(q *Request, grade, channel int) {
	now := d.runtime.Now()
	q.Class = d.classes[min(grade, len(d.classes)-1)]
	q.Taken, q.Deadline, q.Memory = now, now+q.Left, q.Prompt+answer*q.Most
	q.Class.Offered.Add(now, 1)
	q.TargetAt = now + q.Class.Target + time.Duration(q.Prompt/1000*float64(q.Class.TargetPerK))
	if channel < len(d.tenants) {
		c := d.tenants[channel]
		c.Taken.Add(now, 1)
		share := d.parameters.share(c.Quota)
		q.Surplus = c.Taken.Sum(now) > share*buckets*c.Taken.Width.Seconds()
	}
	d.enqueue(q)
	d.dispatch()
}

// giveUp answers a request finally: declined where that promise can be kept, else forfeited.
func (d *Dispatcher) giveUp(q *Request) {
	if q.Over {
		return
	}
	q.Over = true
	d.letGo(q)
	if MayReject(q) != Allowed {
		d.runtime.Fail(q)
		return
	}
	var after time.Duration
	if d.parameters.retryAfter {
		after = min(d.parameters.retryMost, q.TargetAt-q.Taken)
	}
	d.runtime.Reject(q, after)
}

// send makes an attempt unless the gate bars it.
func (d *Dispatcher) send(q *Request, h *Backend, stage Stage, next func(Result)) bool {
	if h == nil || d.barred(q, h) {
		return false
	}
	now := d.runtime.Now()
	t := &Attempt{Request: q, Backend: h, Number: len(q.Attempts), Sent: now, Stage: stage, SlowStart: d.cold(h), Next: next}
	kept := d.keeps(h, q)
	t.Kept = kept / max(h.Hits.Or(1), 0.01)
	if stage != ToWrite {
		t.Left = q.Prompt - kept
	} else {
		t.Connect = d.connectTime() // other decode backends, and a release, are in time (rule 5)
	}
	streams := d.weigh(t, 1)
	h.Given.Add(now, streams+t.Left/2/max(d.average, 300))
	if !q.Outstanding {
		q.Outstanding, q.Dispatched = true, now
		d.awaiting = append(d.awaiting, q)
		d.outstanding++
	}
	h.Sent.Add(now, d.weight(q, h, stage))
	q.Attempts = append(q.Attempts, t)
	d.releaseWhenDue(t)
	d.runtime.Send(t, d.patience(t))
	return true
}

// weigh counts what an attempt takes at its backend, or takes it away again, and tells the change in streams.
func (d *Dispatcher) weigh(t *Attempt, sign float64) float64 {
	streams := t.Weigh(sign)
	d.streams += streams
	if t.Backend.Role == Reads {
		d.atReaders += sign * t.Request.Memory
	}
	return streams
}

// patience is how long an attempt may take: three quarters of what is left where another attempt may follow it,
// so that a silent backend leaves time for one. Shorter waits only fill backends that go on with dropped work.
func (d *Dispatcher) patience(t *Attempt) time.Duration {
	left := t.Request.Deadline - t.Sent
	if left.Seconds()/4 < d.firstToken.Or(0) || t.Stage != ToRead && t.Request.Class.Effect != Idempotent ||
		t.Number+1 >= d.parameters.maxAttempts {
		return left
	}
	return left * 3 / 4
}

// Left takes word that the client has gone.
func (d *Dispatcher) Left(q *Request) {
	if q.Over {
		return
	}
	q.Over = true
	d.settle(q)
	d.dequeue(q)
	if t := q.Out(); t != nil && t.Began == 0 && d.parameters.cancelling {
		d.runtime.Cancel(t)
	}
	d.letGo(q)
}
