// Package scheduler is the scheduler of one dispatcher: it decides which backend prefills and decodes each
// request, and which requests wait or are rejected. It does no I/O and reads no clock of its own: it is called
// with events (endpoint list, requests, attempts, peer updates) from one goroutine and acts only through
// Runtime. Begin with New and the methods of Dispatcher; the usual path of a request is Submit, route,
// pickPrefill, pickDecode.
package scheduler

import (
	"math"
	"slices"
	"time"
)

const (
	// refreshInterval is how often the mean of the tokens to prefill is recomputed and stale entries are
	// dropped.
	refreshInterval = 5 * time.Second
	// shortPromptShare is the share of the mean tokens to prefill below which a decode backend prefills a prompt
	// itself.
	shortPromptShare = 0.25
	// prefixTTL is the time after which an unused prefix is assumed to have been evicted from a backend's cache.
	prefixTTL = 20 * time.Second
	// outcomeBucketWidth is a tenth of the time for which outcomes of attempts count for or against a backend.
	outcomeBucketWidth = 500 * time.Millisecond
	// trustThreshold is what the draw from a backend's success posterior must exceed for the backend to get work.
	trustThreshold = 0.5
	// queueSweepInterval is how often the queue is checked for requests that can no longer make their target.
	queueSweepInterval = 20 * time.Millisecond
	// windowPerBackend is how many requests without a first token the window initially has for each backend of
	// the fleet; also the largest window of one dispatcher, per backend.
	windowPerBackend = 4.0
	// neutralTargetShare is the share of the latency target that a first token may take without narrowing the
	// window.
	neutralTargetShare = 0.7
	// recentLoadBucketWidth is a tenth of the time for which load sent to a backend counts as recent.
	recentLoadBucketWidth = 3 * time.Second
	// recentLoadWeight is the weight of recently sent load relative to load in flight.
	recentLoadWeight = 0.5
	// peerUpdateBudget is the largest cost of peer updates about one attempt, as a share of a request's value.
	peerUpdateBudget = 0.0007
	// slowFailureWeight is the part of a failure that a slow first token counts as.
	slowFailureWeight = 0.25
	// crossRackPenalty is the factor on the load of a decode backend outside the rack that holds the KV cache.
	crossRackPenalty = 1.5
	// expectedOutputShare is the share of the maximum output that a request is assumed to produce.
	expectedOutputShare = 0.25
	// peerUpdateBytes is the encoded size of a peer update.
	peerUpdateBytes = 8
	// maxLoadFactor is the load, relative to the mean, from which an affinity candidate is considered
	// overloaded.
	maxLoadFactor = 3.0
	// maxBurst is how many requests the fractional part of the window lets out at once, at most.
	maxBurst = 2.0
	// overloadWaitShare is the share of the latency target beyond which a wait indicates overload.
	overloadWaitShare = 0.25
)

// New returns a dispatcher with the given settings. The seed determines all of its random draws.
func New(settings Settings, seed uint64, runtime Runtime) (*Dispatcher, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	settings = settings.WithDefaults()
	d := &Dispatcher{settings: settings, parameters: parametersOf(settings), runtime: runtime, rng: NewPCG(seed)}
	d.orderSeed, d.sendCredit = Mix(seed, 1), maxBurst
	d.prefillTokens.BucketWidth, d.prefillRequests.BucketWidth, d.prefixTable.BucketWidth =
		refreshInterval, refreshInterval, refreshInterval
	var err error
	if d.classes, err = settings.Classes(); err != nil {
		return nil, err
	}
	d.tenants = settings.Tenants()
	if settings.Bool("policyLimits.peers") {
		cost := max(d.parameters.peerPrice*peerUpdateBytes/256, peerUpdateBudget/8)
		d.peerFanout = min(int(peerUpdateBudget/cost), int(d.parameters.dispatchers)-1)
	}
	if settings.Text("discovery") == "subscribe" {
		runtime.WatchEndpoints(true)
	}
	// A random phase for each dispatcher: ones that start together would otherwise all switch to the same
	// backends at the same moment.
	runtime.Schedule(time.Duration(d.rng.Float()*float64(refreshInterval)), d.refresh)
	return d, nil
}

// refresh recomputes the mean of the tokens to prefill and drops stale state.
func (d *Dispatcher) refresh() {
	now := d.runtime.Now()
	if requests := d.prefillRequests.Sum(now); requests > 0 {
		d.meanPrefillTokens = d.prefillTokens.Sum(now) / requests
	}
	d.prefixTable.DropEmpty(now)
	for role := range d.warmWork {
		d.meanCompletedWork(Role(role), false)
	}
	for _, backend := range d.backends {
		backend.ForgetPrefixes(now - prefixTTL)
	}
	d.dropStaleHolders()
	d.capacitiesComparedAt = 0
	d.compareCapacities()
	d.runtime.Schedule(refreshInterval, d.refresh)
}

// UpdateEndpoints applies a change of the endpoint list. With whole set, backends that are not in endpoints have been
// removed.
func (d *Dispatcher) UpdateEndpoints(endpoints []Endpoint, whole bool) {
	anyRemoved := whole
	if whole {
		for _, backend := range d.backends {
			backend.State = Removed
		}
	}
	for _, endpoint := range endpoints {
		backend := endpoint.Backend
		if backend.CachedPrefixes == nil {
			d.initBackend(backend)
		}
		if !backend.Tracked {
			d.addBackend(backend, len(endpoints) > fullScanLimit)
		}
		if backend.CachedPrefixes == nil || endpoint.StartReported && endpoint.StartedAt != backend.StartedAt {
			backend.CachedPrefixes = map[uint64]CachedPrefix{}
			emptyStats := OutcomeStats{Successes: RollingSum{BucketWidth: outcomeBucketWidth},
				Failures: RollingSum{BucketWidth: outcomeBucketWidth}}
			backend.Outcomes = slices.Repeat([]OutcomeStats{emptyStats}, 1+len(d.classes))
		}
		anyRemoved = anyRemoved || endpoint.State == Removed
		backend.State, backend.CapacityUnits, backend.StartedAt, backend.StartReported =
			endpoint.State, max(endpoint.CapacityUnits, 0.01), endpoint.StartedAt, endpoint.StartReported
		if backend.RelativeCapacity == 0 {
			backend.RelativeCapacity = 1 // until capacities are compared
		}
	}
	if anyRemoved || d.removedInUse {
		d.dropRemoved()
		d.removedInUse = slices.ContainsFunc(d.backends, func(b *Backend) bool { return b.State == Removed })
	}
	d.sortBackends()
	d.invalidateCompletedWork()
	d.compareCapacities()
	if !d.windowAdjusted {
		d.window = windowPerBackend * float64(len(d.backends)) / d.parameters.dispatchers
	}
	d.dispatch()
}

// initBackend sets the fields that are fixed once a backend has been discovered.
func (d *Dispatcher) initBackend(backend *Backend) {
	backend.Role, backend.KVCapacity = d.settings.RoleOf(backend.Kind), d.settings.KVCapacityOf(backend.Kind)
	backend.SentWork.BucketWidth = max(d.parameters.slowStartWindow/(bucketCount-1), 1)
	backend.CompletedWork.BucketWidth = max(d.parameters.slowStartWindow*5/bucketCount, 1)
	backend.RecentLoad.BucketWidth, backend.DistanceFactor, backend.Bias =
		recentLoadBucketWidth, 1, -math.Log(d.rng.Float())
	if backend.Zone != d.parameters.zone {
		backend.DistanceFactor += 25 * d.parameters.crossZonePrice
	}
	backend.TokenLimit = backend.KVCapacity / d.parameters.dispatchers
}

// DiscoveryFailed resubscribes after a second where service discovery is by subscription.
func (d *Dispatcher) DiscoveryFailed() {
	if d.settings.Text("discovery") == "subscribe" {
		d.runtime.Schedule(time.Second, func() { d.runtime.WatchEndpoints(true) })
	}
}

// Submit accepts a request of a class and a tenant (both by index), and queues or sends it.
func (d *Dispatcher) Submit(req *Request, classIndex, tenantIndex int) {
	now := d.runtime.Now()
	req.Class = d.classes[min(classIndex, len(d.classes)-1)]
	req.ReceivedAt, req.Deadline, req.KVTokens =
		now, now+req.Timeout, req.PromptTokens+expectedOutputShare*req.MaxOutputTokens
	req.Class.Offered.Add(now, 1)
	req.TargetAt = now + req.Class.Target + time.Duration(req.PromptTokens/1000*float64(req.Class.TargetPer1000Tokens))
	if tenantIndex < len(d.tenants) {
		tenant := d.tenants[tenantIndex]
		tenant.Received.Add(now, 1)
		share := d.parameters.ownShare(tenant.Quota)
		req.OverQuota = tenant.Received.Sum(now) > share*bucketCount*tenant.Received.BucketWidth.Seconds()
	}
	d.enqueue(req)
	d.dispatch()
}

// giveUp ends a request without an answer: rejected if a retry by its client is harmless, else failed.
func (d *Dispatcher) giveUp(req *Request) {
	if req.Finished {
		return
	}
	req.Finished = true
	d.releaseKV(req)
	if MayReject(req) != Allowed {
		d.runtime.Fail(req)
		return
	}
	var retryAfter time.Duration
	if d.parameters.retryAfter {
		retryAfter = min(d.parameters.maxRetryAfter, req.TargetAt-req.ReceivedAt)
	}
	d.runtime.Reject(req, retryAfter)
}

// send starts an attempt and reports whether the rules allow it.
func (d *Dispatcher) send(req *Request, backend *Backend, stage Stage, onResult func(Result)) bool {
	if backend == nil || d.disallowed(req, backend) {
		return false
	}
	now := d.runtime.Now()
	attempt := &Attempt{Request: req, Backend: backend, Number: len(req.Attempts), SentAt: now, Stage: stage,
		SlowStart: d.inSlowStart(backend), OnResult: onResult}
	cached := d.cachedTokens(backend, req)
	attempt.CachedTokens = cached / max(backend.HitRatio.ValueOr(1), 0.01)
	if stage != StageDecode {
		attempt.PrefillTokens = req.PromptTokens - cached
	} else {
		attempt.ConnectTimeout = d.connectTimeout() // leaves time for another decode backend and for a release (rule 5)
	}
	streams := d.applyLoad(attempt, 1)
	backend.RecentLoad.Add(now, streams+attempt.PrefillTokens/2/max(d.meanPrefillTokens, 300))
	if !req.Outstanding {
		req.Outstanding, req.DispatchedAt = true, now
		d.awaitingFirstToken = append(d.awaitingFirstToken, req)
		d.outstanding++
	}
	backend.SentWork.Add(now, d.requestWork(req, backend, stage))
	req.Attempts = append(req.Attempts, attempt)
	d.scheduleRelease(attempt)
	d.runtime.Send(attempt, d.attemptTimeout(attempt))
	return true
}

// applyLoad adds the attempt's load to the totals and to its backend (sign 1) or removes it (sign -1), and
// returns the change in streams.
func (d *Dispatcher) applyLoad(attempt *Attempt, sign float64) float64 {
	streams := attempt.ApplyLoad(sign)
	d.streams += streams
	if attempt.Backend.Role == RolePrefill {
		d.prefillOnlyTokens += sign * attempt.Request.KVTokens
	}
	return streams
}

// attemptTimeout is how long an attempt may take: three quarters of the time left if another attempt may
// follow, so that an unresponsive backend leaves time for one. Shorter timeouts only fill backends that go on
// with work that was given up.
func (d *Dispatcher) attemptTimeout(attempt *Attempt) time.Duration {
	timeLeft := attempt.Request.Deadline - attempt.SentAt
	if timeLeft.Seconds()/4 < d.timeToFirstToken.ValueOr(0) ||
		attempt.Stage != StagePrefill && attempt.Request.Class.Effect != Idempotent ||
		attempt.Number+1 >= d.parameters.maxAttempts {
		return timeLeft
	}
	return timeLeft * 3 / 4
}

// ClientDisconnected ends a request whose client has disconnected. An attempt without a first token is cancelled if
// cancelling is supported.
func (d *Dispatcher) ClientDisconnected(req *Request) {
	if req.Finished {
		return
	}
	req.Finished = true
	d.clearOutstanding(req)
	d.dequeue(req)
	if attempt := req.InFlight(); attempt != nil && attempt.FirstTokenAt == 0 && d.parameters.canCancel {
		d.runtime.Cancel(attempt)
	}
	d.releaseKV(req)
}
