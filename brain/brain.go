// Package brain is the scheduler of one dispatcher: it decides which backend prefills and decodes each
// request, and which requests wait or are rejected. It does no I/O and reads no clock of its own: it is called
// with events (endpoint list, requests, attempts, peer updates) from one goroutine and acts only through
// Runtime. Begin with New and the methods of Dispatcher; the usual path of a request is Submit, route,
// pickPrefill, pickDecode.
package brain

import (
	"math"
	"slices"
	"time"
)

const (
	// refreshInterval is how often the mean of the tokens to prefill is recomputed and stale entries are
	// dropped.
	refresh = 5 * time.Second
	// shortPromptShare is the share of the mean tokens to prefill below which a decode backend prefills a prompt
	// itself.
	cutShare = 0.25
	// prefixTTL is the time after which an unused prefix is assumed to have been evicted from a backend's cache.
	keptFor = 20 * time.Second
	// outcomeBucketWidth is a tenth of the time for which outcomes of attempts count for or against a backend.
	evidence = 500 * time.Millisecond
	// trustThreshold is what the draw from a suspected backend's success posterior must exceed for it to get
	// work.
	believe = 0.5
	// queueSweepInterval is how often the queue is checked for requests that can no longer make their target.
	sweep = 20 * time.Millisecond
	// windowPerBackend is how many requests without a first token the window initially has for each backend of
	// the fleet; also the largest window of one dispatcher, per backend.
	perHost = 4.0
	// neutralTargetShare is the share of the latency target that a first token may take without narrowing the
	// window.
	calm = 0.7
	// recentLoadBucketWidth is a tenth of the time for which load sent to a backend counts as recent.
	memory = 3 * time.Second
	// recentLoadWeight is the weight of recently sent load relative to load in flight.
	lasting = 0.5
	// peerUpdateBudget is the largest cost of peer updates about one attempt, as a share of a request's value.
	gossip = 0.0007
	// slowFailureWeight is the part of a failure that a slow first token counts as.
	slowly = 0.25
	// crossRackPenalty is the factor on the load of a decode backend outside the rack that holds the KV cache.
	crossing = 1.5
	// expectedOutputShare is the share of the maximum output that a request is assumed to produce.
	answer = 0.25
	// peerUpdateBytes is the encoded size of a peer update.
	newsSize = 8
	// maxLoadFactor is the load, relative to the mean, from which an affinity candidate is considered
	// overloaded.
	bound = 3.0
	// maxBurst is how many requests the fractional part of the window lets out at once, at most.
	burst = 2.0
	// overloadWaitShare is the share of the latency target beyond which a wait indicates overload.
	impatient = 0.25
)

// New returns a dispatcher with the given settings. The seed determines all of its random draws.
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
	// A random phase for each dispatcher: ones that start together would otherwise all switch to the same
	// backends at the same moment.
	runtime.Wake(time.Duration(d.rng.Float()*float64(refresh)), d.refresh)
	return d, nil
}

// refresh recomputes the mean of the tokens to prefill and drops stale state.
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

// Listed applies a change of the endpoint list. With whole set, backends that are not in endpoints have been
// removed.
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
			h.Size = 1 // until capacities are compared
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

// initBackend sets the fields that are fixed once a backend has been discovered.
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

// ListFailed resubscribes after a second where service discovery is by subscription.
func (d *Dispatcher) ListFailed() {
	if d.facts.Text("discovery") == "subscribe" {
		d.runtime.Wake(time.Second, func() { d.runtime.Watch(true) })
	}
}

// Submit accepts a request of a class and a tenant (both by index), and queues or sends it.
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

// giveUp ends a request without an answer: rejected if a retry by its client is harmless, else failed.
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

// send starts an attempt and reports whether the rules allow it.
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
		t.Connect = d.connectTime() // leaves time for another decode backend and for a release (rule 5)
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

// applyLoad adds the attempt's load to the totals and to its backend (sign 1) or removes it (sign -1), and
// returns the change in streams.
func (d *Dispatcher) weigh(t *Attempt, sign float64) float64 {
	streams := t.Weigh(sign)
	d.streams += streams
	if t.Backend.Role == Reads {
		d.atReaders += sign * t.Request.Memory
	}
	return streams
}

// attemptTimeout is how long an attempt may take: three quarters of the time left if another attempt may
// follow, so that an unresponsive backend leaves time for one. Shorter timeouts only fill backends that go on
// with work that was given up.
func (d *Dispatcher) patience(t *Attempt) time.Duration {
	left := t.Request.Deadline - t.Sent
	if left.Seconds()/4 < d.firstToken.Or(0) || t.Stage != ToRead && t.Request.Class.Effect != Idempotent ||
		t.Number+1 >= d.parameters.maxAttempts {
		return left
	}
	return left * 3 / 4
}

// Left ends a request whose client has disconnected. An attempt without a first token is cancelled if
// cancelling is supported.
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
