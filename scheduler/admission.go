package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Admission: which requests wait in the queue, how many may be without a first token (the concurrency window),
// and which are rejected because they can no longer make their latency target.

const (
	// admissionBucketWidth is a tenth of the time for which a class's admitted requests are counted.
	admissionBucketWidth = 500 * time.Millisecond
	// admittedPrior is the number of requests assumed to have been admitted in addition to those counted.
	admittedPrior = 30.0
	// fairness is the exponent of alpha-fair sharing: with 0 the class of least value would get nothing while
	// others wait, with 1 shares follow the values, with 2 their square roots.
	fairness = 2.0
)

// reweightQueue reorders the queue by the share of each class that was admitted recently: the lower it is, the
// more the class's requests count. With a fixed order of classes the last one would wait for all others and be
// rejected as late.
func (d *Dispatcher) reweightQueue() {
	for _, class := range d.classes {
		class.Weight = math.Pow(class.admittedShare(d.runtime.Now()), -fairness)
	}
	for _, req := range d.queue {
		req.ValueDensity = d.valueDensity(req)
	}
	slices.SortFunc(d.queue, compareQueueOrder)
}

// compareQueueOrder orders requests by value density, then newest first, as the newest have most time left.
func compareQueueOrder(a, b *Request) int {
	return cmp.Or(cmp.Compare(b.ValueDensity, a.ValueDensity), cmp.Compare(b.ReceivedAt, a.ReceivedAt),
		cmp.Compare(a.ID, b.ID))
}

// valueDensity is the value of a request divided by its work.
func (d *Dispatcher) valueDensity(req *Request) float64 {
	value := req.Class.Value * cmp.Or(req.Class.Weight, 1)
	if req.OverQuota {
		value *= d.parameters.overQuotaValue
	}
	if req.ClientRetry {
		value *= req.Class.LateValue
	}
	if !d.parameters.valueByWork {
		value /= req.PromptTokens + req.MaxOutputTokens + 1
	}
	return value
}

// enqueue puts a request into the queue. One whose deadline passes before the next sweep is given up at once.
func (d *Dispatcher) enqueue(req *Request) {
	if d.runtime.Now()+2*queueSweepInterval > req.Deadline {
		d.giveUp(req)
		return
	}
	req.ValueDensity = d.valueDensity(req)
	i, _ := slices.BinarySearchFunc(d.queue, req, compareQueueOrder)
	d.queue = slices.Insert(d.queue, i, req)
}

// dispatch sends queued requests in order while the window allows it. A request that was sent before and that
// no backend may take now is given up: otherwise it would block everything behind it.
func (d *Dispatcher) dispatch() {
	for len(d.queue) > 0 && d.mayDispatch() {
		req := d.queue[0]
		first := len(req.Attempts) == 0
		if d.route(req) {
			d.recordAdmission(req, first)
		} else if len(req.Attempts) == 0 || d.anyAllowed(req) {
			break
		} else {
			d.giveUp(req)
		}
		d.dequeue(req)
	}
	if len(d.queue) > 0 && !d.sweepScheduled {
		d.sweepScheduled = true
		d.runtime.Schedule(queueSweepInterval, d.sweepQueue)
	}
}

// sweepQueue reorders the queue, sheds late requests and sends what the window allows.
func (d *Dispatcher) sweepQueue() {
	d.sweepScheduled = false
	d.reweightQueue()
	d.shedLate()
	d.dispatch()
}

// recordAdmission records that a request was sent, for the first time or again.
func (d *Dispatcher) recordAdmission(req *Request, first bool) {
	d.spendCredit()
	if first {
		req.Class.Admitted.Add(d.runtime.Now(), 1)
	}
}

// dequeue removes a request from the queue.
func (d *Dispatcher) dequeue(req *Request) {
	d.queue = slices.DeleteFunc(d.queue, func(r *Request) bool { return r == req })
}

// shedLate rejects queued requests that can no longer make their latency target. The longest wait indicates
// overload; under overload the requests too far back in the queue, which have the least value density, are
// rejected first.
func (d *Dispatcher) shedLate() {
	now := d.runtime.Now()
	overload := false
	for _, req := range d.queue {
		overload = overload || float64(now-req.ReceivedAt) > overloadWaitShare*float64(req.TargetAt-req.ReceivedAt)
	}
	expected := d.expectedTimeToFirstToken()
	// Before the first endpoints the window is zero: nothing is known then of how fast the queue will move.
	rate := max(d.window, d.smallestWindow()) / max(expected, queueSweepInterval.Seconds())
	position := 0.0
	for _, req := range slices.Clone(d.queue) {
		timeToFirstToken := time.Duration((position/rate + expected) * float64(time.Second))
		late := now+timeToFirstToken > req.TargetAt-(req.TargetAt-req.ReceivedAt)/4
		if overload && late || now+2*queueSweepInterval > req.Deadline {
			d.dequeue(req)
			d.giveUp(req)
			continue
		}
		position++
	}
}

// mayDispatch reports whether the window allows one more request. All of the window but its last part limits
// the number of outstanding requests. The last part, all of a window below two, is a rate: credit accrues as
// if that many requests were always outstanding. So the windows of many dispatchers add up to what the
// backends can take, and a dispatcher that was idle may send two requests at once.
func (d *Dispatcher) mayDispatch() bool {
	now := d.runtime.Now()
	rate := (d.window - d.wholePart()) / max(d.expectedTimeToFirstToken(), queueSweepInterval.Seconds())
	d.sendCredit = min(d.sendCredit+rate*max(now-d.creditUpdatedAt, 0).Seconds(), maxBurst)
	d.creditUpdatedAt = now
	return float64(d.outstanding) < d.wholePart() || d.sendCredit >= 1
}

// wholePart is the part of the window that limits the number of outstanding requests.
func (d *Dispatcher) wholePart() float64 { return max(math.Floor(d.window)-1, 0) }

// spendCredit charges a request that exceeds the whole part of the window. The random amount spreads
// dispatchers that wait at the same time.
func (d *Dispatcher) spendCredit() {
	if float64(d.outstanding) > d.wholePart() {
		d.sendCredit -= 0.5 + d.rng.Float()
	}
}

// clearOutstanding ends a request's place in the window: it has its first token, returns to the queue or is
// finished. There is one window over all backends, as a dispatcher's own attempts at any one backend are too
// few to detect congestion.
func (d *Dispatcher) clearOutstanding(req *Request) {
	if !req.Outstanding {
		return
	}
	req.Outstanding = false
	d.awaitingFirstToken = slices.DeleteFunc(d.awaitingFirstToken, func(r *Request) bool { return r == req })
	now, attempt := d.runtime.Now(), req.Attempts[len(req.Attempts)-1]
	d.adjustWindow(d.targetShare(req), req.DispatchedAt, attempt.FirstTokenAt > 0)
	// A request that timed out or was cancelled still runs at its backend. Under congestion, one sent in its
	// place at once would wait behind it and time out too, so it keeps its place for as long again.
	congested := d.expectedTimeToFirstToken() > overloadWaitShare*(req.TargetAt-req.ReceivedAt).Seconds()
	// The first token of a timed-out attempt would have come even later. If only attempts with a first token
	// counted, latency would look low under congestion and more attempts would be sent into it.
	if attempt.FirstTokenAt == 0 && attempt.Outcome == TimedOut {
		d.timeToFirstToken.Add(max((now-req.DispatchedAt).Seconds(), d.timeToFirstToken.ValueOr(0)), 0.1)
	}
	if congested && attempt.FirstTokenAt == 0 && (attempt.Outcome == TimedOut || attempt.Outcome == Cancelled) {
		d.runtime.Schedule(min(now-attempt.SentAt, req.TargetAt-req.ReceivedAt), func() { d.outstanding--; d.dispatch() })
	} else {
		d.outstanding--
	}
}

// targetShare is the share of its latency target for which a request has been outstanding. Without a first
// token this is a lower bound: it never indicates low latency.
func (d *Dispatcher) targetShare(req *Request) float64 {
	attempt := req.Attempts[len(req.Attempts)-1]
	if attempt.FirstTokenAt == 0 && (attempt.Outcome == Rejected || attempt.Outcome == TimedOut) {
		return 1
	}
	return min(float64(d.runtime.Now()-req.DispatchedAt)/float64(max(req.TargetAt-req.ReceivedAt, 1)), 1)
}

// adjustWindow narrows the window if the share is above neutralTargetShare; otherwise, given a first token and
// a window that limits sending, it widens it. The factor per response time is the same for narrow and wide
// windows. Over the fleet the windows never add up to less than one request.
func (d *Dispatcher) adjustWindow(share float64, dispatchedAt time.Duration, gotFirstToken bool) {
	d.windowAdjusted = true
	change := math.Exp((neutralTargetShare - share) / max(d.window*float64(1+d.peerFanout), 1))
	binding := d.window < 1 || len(d.queue) > 0 && float64(d.outstanding)+1 > d.window
	switch {
	case share > neutralTargetShare:
		if dispatchedAt >= d.congestedAt {
			d.congestedAt, d.windowFloor = d.runtime.Now(), d.window/2
		}
		// All requests outstanding when congestion begins report the same event, and together halve the window at
		// most. Otherwise the failure of half the fleet would nearly close the window, which would then take
		// minutes to recover for lack of samples.
		d.window = max(d.window*change, d.windowFloor)
	case gotFirstToken && binding:
		d.window *= change
	}
	d.window = max(min(d.window, windowPerBackend*float64(len(d.backends))), d.smallestWindow())
}

// smallestWindow is the share of one dispatcher in a fleet that may send one request.
func (d *Dispatcher) smallestWindow() float64 { return 1 / d.parameters.dispatchers }

// applyPeerShare applies the latency that a peer reports for one of its requests.
func (d *Dispatcher) applyPeerShare(update PeerUpdate) {
	if update.TargetShare == 0 || update.ClassIndex >= len(d.classes) {
		return
	}
	took := time.Duration(update.TargetShare * float64(d.classes[update.ClassIndex].Target))
	d.timeToFirstToken.Add(took.Seconds(), 0.1)
	d.adjustWindow(update.TargetShare, d.runtime.Now()-took, update.TargetShare < 1)
}

// expectedTimeToFirstToken is in seconds: the recent mean, or the time that the oldest outstanding request has
// waited if that is longer.
func (d *Dispatcher) expectedTimeToFirstToken() float64 {
	expected := d.timeToFirstToken.ValueOr(overloadWaitShare * d.classes[0].Target.Seconds())
	if len(d.awaitingFirstToken) > 0 {
		expected = max(expected, (d.runtime.Now() - d.awaitingFirstToken[0].DispatchedAt).Seconds())
	}
	return expected
}
