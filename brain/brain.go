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
	refreshInterval       = 5 * time.Second        // how often the average is taken anew (design)
	shortPromptShare      = 0.25                   // shorter prompts are read in place (design)
	prefixTTL             = 20 * time.Second       // a prefix key unused for longer is taken for forgotten
	outcomeBucketWidth    = 500 * time.Millisecond // a tenth of how long attempts speak for or against a backend
	trustThreshold        = 0.5                    // a doubtful backend gets work if its draw is above this
	queueSweepInterval    = 20 * time.Millisecond  // how often held requests are looked at
	windowPerBackend      = 4.0                    // requests without a first token for each backend, to begin with
	neutralTargetShare    = 0.7                    // of the promised span to a first token, at which the window stays
	recentLoadBucketWidth = 3 * time.Second        // a tenth of how long what a backend was given counts
	recentLoadWeight      = 0.5                    // how much that counts beside what it holds now
	peerUpdateBudget      = 0.0007                 // of the benefit, at most, for telling others of one attempt
	slowFailureWeight     = 0.25                   // of a failure, that a late first token weighs against its backend
	crossRackPenalty      = 1.5                    // how much fuller a decode backend in another rack than the state counts
	expectedOutputShare   = 0.25                   // of the longest answer, that a request is taken to need
	peerUpdateBytes       = 8                      // bytes of what is told
	maxLoadFactor         = 3.0                    // times as full as the mean, from which a home is not chosen alone
	maxBurst              = 2.0                    // requests that a window's last part lets out at once, at most
	overloadWaitShare     = 0.25                   // of the promised time: an oldest wait beyond it means overload
)

// New starts an instance from its settings and the seed for its chance.
func New(facts Settings, seed uint64, runtime Runtime) (*Dispatcher, error) {
	if err := facts.Validate(); err != nil {
		return nil, err
	}
	facts = facts.WithDefaults()
	d := &Dispatcher{settings: facts, parameters: parametersOf(facts), runtime: runtime, rng: NewPCG(seed)}
	d.orderSeed, d.sendCredit = Mix(seed, 1), maxBurst
	d.prefillTokens.BucketWidth, d.prefillRequests.BucketWidth, d.prefixTable.BucketWidth = refreshInterval, refreshInterval, refreshInterval
	var err error
	if d.classes, err = facts.Classes(); err != nil {
		return nil, err
	}
	d.tenants = facts.Tenants()
	if facts.Bool("policyLimits.peers") {
		dear := max(d.parameters.peerPrice*peerUpdateBytes/256, peerUpdateBudget/8)
		d.peerFanout = min(int(peerUpdateBudget/dear), int(d.parameters.dispatchers)-1)
	}
	if facts.Text("discovery") == "subscribe" {
		runtime.WatchEndpoints(true)
	}
	// Its own phase: dispatchers that start together would all turn to the same backends in one moment.
	runtime.Schedule(time.Duration(d.rng.Float()*float64(refreshInterval)), d.refresh)
	return d, nil
}

func (d *Dispatcher) refresh() {
	now := d.runtime.Now()
	if n := d.prefillRequests.Sum(now); n > 0 {
		d.meanPrefillTokens = d.prefillTokens.Sum(now) / n
	}
	d.prefixTable.DropEmpty(now)
	for role := range d.warmWork {
		d.meanCompletedWork(Role(role), false)
	}
	for _, h := range d.backends {
		h.ForgetPrefixes(now - prefixTTL)
	}
	d.dropStaleHolders()
	d.capacitiesComparedAt = 0
	d.compareCapacities()
	d.runtime.Schedule(refreshInterval, d.refresh)
}

// Listed takes what the list says of backends; a whole list leaves out those that are gone.
func (d *Dispatcher) UpdateEndpoints(lines []Endpoint, whole bool) {
	gone := whole
	if whole {
		for _, h := range d.backends {
			h.State = Removed
		}
	}
	for _, l := range lines {
		h := l.Backend
		if h.CachedPrefixes == nil {
			d.initBackend(h)
		}
		if !h.Tracked {
			d.addBackend(h, len(lines) > fullScanLimit)
		}
		if h.CachedPrefixes == nil || l.StartReported && l.StartedAt != h.StartedAt {
			h.CachedPrefixes = map[uint64]CachedPrefix{}
			fresh := OutcomeStats{Successes: RollingSum{BucketWidth: outcomeBucketWidth}, Failures: RollingSum{BucketWidth: outcomeBucketWidth}}
			h.Outcomes = slices.Repeat([]OutcomeStats{fresh}, 1+len(d.classes))
		}
		gone = gone || l.State == Removed
		h.State, h.CapacityUnits, h.StartedAt, h.StartReported = l.State, max(l.CapacityUnits, 0.01), l.StartedAt, l.StartReported
		if h.RelativeCapacity == 0 {
			h.RelativeCapacity = 1 // until sizes are compared
		}
	}
	if gone || d.removedInUse {
		d.dropRemoved()
		d.removedInUse = slices.ContainsFunc(d.backends, func(h *Backend) bool { return h.State == Removed })
	}
	d.sortBackends()
	d.invalidateCompletedWork()
	d.compareCapacities()
	if !d.windowAdjusted {
		d.window = windowPerBackend * float64(len(d.backends)) / d.parameters.dispatchers
	}
	d.dispatch()
}

// meet sets what does not change of a backend that is seen for the first time.
func (d *Dispatcher) initBackend(h *Backend) {
	h.Role, h.KVCapacity = d.settings.RoleOf(h.Kind), d.settings.KVCapacityOf(h.Kind)
	h.SentWork.BucketWidth = max(d.parameters.slowStartWindow/(bucketCount-1), 1)
	h.CompletedWork.BucketWidth = max(d.parameters.slowStartWindow*5/bucketCount, 1)
	h.RecentLoad.BucketWidth, h.DistanceFactor, h.Bias = recentLoadBucketWidth, 1, -math.Log(d.rng.Float())
	if h.Zone != d.parameters.zone {
		h.DistanceFactor += 25 * d.parameters.crossZonePrice
	}
	h.TokenLimit = h.KVCapacity / d.parameters.dispatchers
}

// ListFailed asks again, a little later, where the list has to be asked for.
func (d *Dispatcher) DiscoveryFailed() {
	if d.settings.Text("discovery") == "subscribe" {
		d.runtime.Schedule(time.Second, func() { d.runtime.WatchEndpoints(true) })
	}
}

// Submit takes a request.
func (d *Dispatcher) Submit(q *Request, grade, channel int) {
	now := d.runtime.Now()
	q.Class = d.classes[min(grade, len(d.classes)-1)]
	q.ReceivedAt, q.Deadline, q.KVTokens = now, now+q.Timeout, q.PromptTokens+expectedOutputShare*q.MaxOutputTokens
	q.Class.Offered.Add(now, 1)
	q.TargetAt = now + q.Class.Target + time.Duration(q.PromptTokens/1000*float64(q.Class.TargetPer1000Tokens))
	if channel < len(d.tenants) {
		c := d.tenants[channel]
		c.Received.Add(now, 1)
		share := d.parameters.ownShare(c.Quota)
		q.OverQuota = c.Received.Sum(now) > share*bucketCount*c.Received.BucketWidth.Seconds()
	}
	d.enqueue(q)
	d.dispatch()
}

// giveUp answers a request finally: declined where that promise can be kept, else forfeited.
func (d *Dispatcher) giveUp(q *Request) {
	if q.Finished {
		return
	}
	q.Finished = true
	d.releaseKV(q)
	if MayReject(q) != Allowed {
		d.runtime.Fail(q)
		return
	}
	var after time.Duration
	if d.parameters.retryAfter {
		after = min(d.parameters.maxRetryAfter, q.TargetAt-q.ReceivedAt)
	}
	d.runtime.Reject(q, after)
}

// send makes an attempt unless the gate bars it.
func (d *Dispatcher) send(q *Request, h *Backend, stage Stage, next func(Result)) bool {
	if h == nil || d.disallowed(q, h) {
		return false
	}
	now := d.runtime.Now()
	t := &Attempt{Request: q, Backend: h, Number: len(q.Attempts), SentAt: now, Stage: stage, SlowStart: d.inSlowStart(h), OnResult: next}
	kept := d.cachedTokens(h, q)
	t.CachedTokens = kept / max(h.HitRatio.ValueOr(1), 0.01)
	if stage != StageDecode {
		t.PrefillTokens = q.PromptTokens - kept
	} else {
		t.ConnectTimeout = d.connectTimeout() // other decode backends, and a release, are in time (rule 5)
	}
	streams := d.applyLoad(t, 1)
	h.RecentLoad.Add(now, streams+t.PrefillTokens/2/max(d.meanPrefillTokens, 300))
	if !q.Outstanding {
		q.Outstanding, q.DispatchedAt = true, now
		d.awaitingFirstToken = append(d.awaitingFirstToken, q)
		d.outstanding++
	}
	h.SentWork.Add(now, d.requestWork(q, h, stage))
	q.Attempts = append(q.Attempts, t)
	d.scheduleRelease(t)
	d.runtime.Send(t, d.attemptTimeout(t))
	return true
}

// weigh counts what an attempt takes at its backend, or takes it away again, and tells the change in streams.
func (d *Dispatcher) applyLoad(t *Attempt, sign float64) float64 {
	streams := t.ApplyLoad(sign)
	d.streams += streams
	if t.Backend.Role == RolePrefill {
		d.prefillOnlyTokens += sign * t.Request.KVTokens
	}
	return streams
}

// patience is how long an attempt may take: three quarters of what is left where another attempt may follow it,
// so that a silent backend leaves time for one. Shorter waits only fill backends that go on with dropped work.
func (d *Dispatcher) attemptTimeout(t *Attempt) time.Duration {
	left := t.Request.Deadline - t.SentAt
	if left.Seconds()/4 < d.timeToFirstToken.ValueOr(0) || t.Stage != StagePrefill && t.Request.Class.Effect != Idempotent ||
		t.Number+1 >= d.parameters.maxAttempts {
		return left
	}
	return left * 3 / 4
}

// Left takes word that the client has gone.
func (d *Dispatcher) ClientDisconnected(q *Request) {
	if q.Finished {
		return
	}
	q.Finished = true
	d.clearOutstanding(q)
	d.dequeue(q)
	if t := q.InFlight(); t != nil && t.FirstTokenAt == 0 && d.parameters.canCancel {
		d.runtime.Cancel(t)
	}
	d.releaseKV(q)
}
