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
	// trustThreshold is what the draw from a backend's success posterior must exceed for the backend to get work.
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
func New(settings Facts, seed uint64, runtime Runtime) (*Dispatcher, error) {
	if err := settings.Sound(); err != nil {
		return nil, err
	}
	settings = settings.Complete()
	d := &Dispatcher{facts: settings, parameters: parametersOf(settings), runtime: runtime, rng: NewPCG(seed)}
	d.own, d.credit = Mix(seed, 1), burst
	d.unread.Width, d.asked.Width, d.begins.Width = refresh, refresh, refresh
	var err error
	if d.classes, err = settings.Grades(); err != nil {
		return nil, err
	}
	d.tenants = settings.Channels()
	if settings.Yes("policyLimits.peers") {
		cost := max(d.parameters.peerPrice*newsSize/256, gossip/8)
		d.listeners = min(int(gossip/cost), int(d.parameters.dispatchers)-1)
	}
	if settings.Text("discovery") == "subscribe" {
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
	if requests := d.asked.Sum(now); requests > 0 {
		d.average = d.unread.Sum(now) / requests
	}
	d.begins.Forget(now)
	for role := range d.carried {
		d.carries(Role(role), false)
	}
	for _, backend := range d.backends {
		backend.Forget(now - keptFor)
	}
	d.forgetKeepers()
	d.compared = 0
	d.compareSizes()
	d.runtime.Wake(refresh, d.refresh)
}

// Listed applies a change of the endpoint list. With whole set, backends that are not in endpoints have been
// removed.
func (d *Dispatcher) Listed(endpoints []Listing, whole bool) {
	anyRemoved := whole
	if whole {
		for _, backend := range d.backends {
			backend.Standing = Gone
		}
	}
	for _, endpoint := range endpoints {
		backend := endpoint.Host
		if backend.Kept == nil {
			d.meet(backend)
		}
		if !backend.Held {
			d.addHost(backend, len(endpoints) > smallFleet)
		}
		if backend.Kept == nil || endpoint.Restart && endpoint.Booted != backend.Booted {
			backend.Kept = map[uint64]Kept{}
			emptyStats := Record{Good: Ring{Width: evidence}, Bad: Ring{Width: evidence}}
			backend.Records = slices.Repeat([]Record{emptyStats}, 1+len(d.classes))
		}
		anyRemoved = anyRemoved || endpoint.Standing == Gone
		backend.Standing, backend.Units, backend.Booted, backend.Restart = endpoint.Standing, max(endpoint.Units, 0.01), endpoint.Booted, endpoint.Restart
		if backend.Size == 0 {
			backend.Size = 1 // until capacities are compared
		}
	}
	if anyRemoved || d.lingering {
		d.dropHosts()
		d.lingering = slices.ContainsFunc(d.backends, func(b *Backend) bool { return b.Standing == Gone })
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
func (d *Dispatcher) meet(backend *Backend) {
	backend.Role, backend.Memory = d.facts.RoleOf(backend.Kind), d.facts.MemoryOf(backend.Kind)
	backend.Sent.Width = max(d.parameters.slowStartWindow/(buckets-1), 1)
	backend.Carried.Width = max(d.parameters.slowStartWindow*5/buckets, 1)
	backend.Given.Width, backend.Far, backend.Lean = memory, 1, -math.Log(d.rng.Float())
	if backend.Zone != d.parameters.zone {
		backend.Far += 25 * d.parameters.crossZonePrice
	}
	backend.Room = backend.Memory / d.parameters.dispatchers
}

// ListFailed resubscribes after a second where service discovery is by subscription.
func (d *Dispatcher) ListFailed() {
	if d.facts.Text("discovery") == "subscribe" {
		d.runtime.Wake(time.Second, func() { d.runtime.Watch(true) })
	}
}

// Submit accepts a request of a class and a tenant (both by index), and queues or sends it.
func (d *Dispatcher) Submit(req *Request, classIndex, tenantIndex int) {
	now := d.runtime.Now()
	req.Class = d.classes[min(classIndex, len(d.classes)-1)]
	req.Taken, req.Deadline, req.Memory = now, now+req.Left, req.Prompt+answer*req.Most
	req.Class.Offered.Add(now, 1)
	req.TargetAt = now + req.Class.Target + time.Duration(req.Prompt/1000*float64(req.Class.TargetPer1000Tokens))
	if tenantIndex < len(d.tenants) {
		tenant := d.tenants[tenantIndex]
		tenant.Received.Add(now, 1)
		share := d.parameters.share(tenant.Quota)
		req.Surplus = tenant.Received.Sum(now) > share*buckets*tenant.Received.Width.Seconds()
	}
	d.enqueue(req)
	d.dispatch()
}

// giveUp ends a request without an answer: rejected if a retry by its client is harmless, else failed.
func (d *Dispatcher) giveUp(req *Request) {
	if req.Over {
		return
	}
	req.Over = true
	d.letGo(req)
	if MayReject(req) != Allowed {
		d.runtime.Fail(req)
		return
	}
	var retryAfter time.Duration
	if d.parameters.retryAfter {
		retryAfter = min(d.parameters.retryMost, req.TargetAt-req.Taken)
	}
	d.runtime.Reject(req, retryAfter)
}

// send starts an attempt and reports whether the rules allow it.
func (d *Dispatcher) send(req *Request, backend *Backend, stage Stage, onResult func(Result)) bool {
	if backend == nil || d.barred(req, backend) {
		return false
	}
	now := d.runtime.Now()
	attempt := &Attempt{Request: req, Backend: backend, Number: len(req.Attempts), Sent: now, Stage: stage, SlowStart: d.cold(backend), Next: onResult}
	cached := d.keeps(backend, req)
	attempt.Kept = cached / max(backend.Hits.Or(1), 0.01)
	if stage != ToWrite {
		attempt.Left = req.Prompt - cached
	} else {
		attempt.Connect = d.connectTime() // leaves time for another decode backend and for a release (rule 5)
	}
	streams := d.weigh(attempt, 1)
	backend.Given.Add(now, streams+attempt.Left/2/max(d.average, 300))
	if !req.Outstanding {
		req.Outstanding, req.Dispatched = true, now
		d.awaiting = append(d.awaiting, req)
		d.outstanding++
	}
	backend.Sent.Add(now, d.weight(req, backend, stage))
	req.Attempts = append(req.Attempts, attempt)
	d.releaseWhenDue(attempt)
	d.runtime.Send(attempt, d.patience(attempt))
	return true
}

// applyLoad adds the attempt's load to the totals and to its backend (sign 1) or removes it (sign -1), and
// returns the change in streams.
func (d *Dispatcher) weigh(attempt *Attempt, sign float64) float64 {
	streams := attempt.Weigh(sign)
	d.streams += streams
	if attempt.Backend.Role == Reads {
		d.atReaders += sign * attempt.Request.Memory
	}
	return streams
}

// attemptTimeout is how long an attempt may take: three quarters of the time left if another attempt may
// follow, so that an unresponsive backend leaves time for one. Shorter timeouts only fill backends that go on
// with work that was given up.
func (d *Dispatcher) patience(attempt *Attempt) time.Duration {
	timeLeft := attempt.Request.Deadline - attempt.Sent
	if timeLeft.Seconds()/4 < d.firstToken.Or(0) || attempt.Stage != ToRead && attempt.Request.Class.Effect != Idempotent ||
		attempt.Number+1 >= d.parameters.maxAttempts {
		return timeLeft
	}
	return timeLeft * 3 / 4
}

// Left ends a request whose client has disconnected. An attempt without a first token is cancelled if
// cancelling is supported.
func (d *Dispatcher) Left(req *Request) {
	if req.Over {
		return
	}
	req.Over = true
	d.settle(req)
	d.dequeue(req)
	if attempt := req.Out(); attempt != nil && attempt.Began == 0 && d.parameters.cancelling {
		d.runtime.Cancel(attempt)
	}
	d.letGo(req)
}
