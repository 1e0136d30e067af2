package brain

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Admission: which requests wait in the queue, how many may be out without a first token (the concurrency
// window), and which are rejected because they can't make their latency target any more.

const (
	// admittedWidth is a tenth of how long a class's admitted requests are remembered.
	admissionBucketWidth = 500 * time.Millisecond
	// admittedPrior is how many requests are taken to have been admitted beside those that were seen.
	admittedPrior = 30.0
	// fairness is the exponent of alpha-fair sharing: with 0 the class of least value would get nothing while others
	// wait, with 1 shares follow the values, with 2 their square roots.
	fairness = 2.0
)

// weighQueue has the queue follow what was admitted of each class lately: the less, the more its requests count. With a
// fixed order of classes, the last one would wait for all of the others and be rejected as late.
func (d *Dispatcher) reweightQueue() {
	for _, g := range d.classes {
		g.Weight = math.Pow(g.admittedShare(d.runtime.Now()), -fairness)
	}
	for _, q := range d.queue {
		q.ValueDensity = d.valueDensity(q)
	}
	slices.SortFunc(d.queue, compareQueueOrder)
}

// compareRank orders requests in the queue: densest first, then newest, which has most time left.
func compareQueueOrder(a, b *Request) int {
	return cmp.Or(cmp.Compare(b.ValueDensity, a.ValueDensity), cmp.Compare(b.ReceivedAt, a.ReceivedAt), cmp.Compare(a.ID, b.ID))
}

// density is the value of a request for its work.
func (d *Dispatcher) valueDensity(q *Request) float64 {
	v := q.Class.Value * cmp.Or(q.Class.Weight, 1)
	if q.OverQuota {
		v *= d.parameters.overQuotaValue
	}
	if q.ClientRetry {
		v *= q.Class.LateValue
	}
	if !d.parameters.valueByWork {
		v /= q.PromptTokens + q.MaxOutputTokens + 1
	}
	return v
}

// enqueue puts a request into the queue. One whose deadline passes before the next look is rejected at once.
func (d *Dispatcher) enqueue(q *Request) {
	if d.runtime.Now()+2*queueSweepInterval > q.Deadline {
		d.giveUp(q)
		return
	}
	q.ValueDensity = d.valueDensity(q)
	i, _ := slices.BinarySearchFunc(d.queue, q, compareQueueOrder)
	d.queue = slices.Insert(d.queue, i, q)
}

// dispatch sends out queued requests, the first first, while the window allows it. One that has been out, and
// that no backend may take now, is given up on: it would hold up all behind it.
func (d *Dispatcher) dispatch() {
	for len(d.queue) > 0 && d.mayDispatch() {
		q := d.queue[0]
		first := len(q.Attempts) == 0
		if d.route(q) {
			d.recordAdmission(q, first)
		} else if len(q.Attempts) == 0 || d.anyAllowed(q) {
			break
		} else {
			d.giveUp(q)
		}
		d.dequeue(q)
	}
	if len(d.queue) > 0 && !d.sweepScheduled {
		d.sweepScheduled = true
		d.runtime.Schedule(queueSweepInterval, d.sweepQueue)
	}
}

// sweepQueue looks at the queue anew.
func (d *Dispatcher) sweepQueue() {
	d.sweepScheduled = false
	d.reweightQueue()
	d.shedLate()
	d.dispatch()
}

// admitted takes note that a request was sent on, for the first time or again.
func (d *Dispatcher) recordAdmission(q *Request, first bool) {
	d.spendCredit()
	if first {
		q.Class.Admitted.Add(d.runtime.Now(), 1)
	}
}

func (d *Dispatcher) dequeue(q *Request) {
	d.queue = slices.DeleteFunc(d.queue, func(o *Request) bool { return o == q })
}

// shed rejects, at once, queued requests that can't make their latency target. Overload is told by
// the oldest wait; then what stands too far back, and so has least value for its work, goes first.
func (d *Dispatcher) shedLate() {
	now := d.runtime.Now()
	overload := false
	for _, q := range d.queue {
		overload = overload || float64(now-q.ReceivedAt) > overloadWaitShare*float64(q.TargetAt-q.ReceivedAt)
	}
	expected := d.expectedTimeToFirstToken()
	rate := d.window / max(expected, queueSweepInterval.Seconds())
	place := 0.0
	for _, q := range slices.Clone(d.queue) {
		first := time.Duration((place/rate + expected) * float64(time.Second))
		late := now+first > q.TargetAt-(q.TargetAt-q.ReceivedAt)/4
		if overload && late || now+2*queueSweepInterval > q.Deadline {
			d.dequeue(q)
			d.giveUp(q)
			continue
		}
		place++
	}
}

// mayDispatch tells whether the window lets one more request out. All but its last part is how many may be
// out at once; that part, all of a window below two, is a rate: credit gathers as if so many were always out.
// So the windows of many dispatchers add up to what backends bear, and one that had nothing to send may send
// two at once.
func (d *Dispatcher) mayDispatch() bool {
	now := d.runtime.Now()
	rate := (d.window - d.wholePart()) / max(d.expectedTimeToFirstToken(), queueSweepInterval.Seconds())
	d.sendCredit = min(d.sendCredit+rate*max(now-d.creditUpdatedAt, 0).Seconds(), maxBurst)
	d.creditUpdatedAt = now
	return float64(d.outstanding) < d.wholePart() || d.sendCredit >= 1
}

func (d *Dispatcher) wholePart() float64 { return max(math.Floor(d.window)-1, 0) }

// spendCredit takes credit for a request beyond the whole part. Chance spreads those who wait together.
func (d *Dispatcher) spendCredit() {
	if float64(d.outstanding) > d.wholePart() {
		d.sendCredit -= 0.5 + d.rng.Float()
	}
}

// settle takes note that a request that was out has its first token, or goes back to the queue or is over
// without. One window over all backends: own attempts at any one are too few to tell congestion by.
func (d *Dispatcher) clearOutstanding(q *Request) {
	if !q.Outstanding {
		return
	}
	q.Outstanding = false
	d.awaitingFirstToken = slices.DeleteFunc(d.awaitingFirstToken, func(o *Request) bool { return o == q })
	now, t := d.runtime.Now(), q.Attempts[len(q.Attempts)-1]
	d.adjustWindow(d.targetShare(q), q.DispatchedAt, t.FirstTokenAt > 0)
	// What was given up on still runs at its backend; where first tokens come late for all, what is let out in
	// its place at once would wait behind it and be given up on too. So it keeps its place for as long again.
	congested := d.expectedTimeToFirstToken() > overloadWaitShare*(q.TargetAt-q.ReceivedAt).Seconds()
	// An attempt that timed out would have had its first token later still: told by those alone that had one,
	// congestion looks quick, and further attempts are sent into it.
	if t.FirstTokenAt == 0 && t.Outcome == TimedOut {
		d.timeToFirstToken.Add(max((now-q.DispatchedAt).Seconds(), d.timeToFirstToken.ValueOr(0)), 0.1)
	}
	if congested && t.FirstTokenAt == 0 && (t.Outcome == TimedOut || t.Outcome == Cancelled) {
		d.runtime.Schedule(min(now-t.SentAt, q.TargetAt-q.ReceivedAt), func() { d.outstanding--; d.dispatch() })
	} else {
		d.outstanding--
	}
}

// targetShare is which part of its latency target a request has been out for. Without a first token that says
// only how long there was none: it is never a sign that first tokens come quickly.
func (d *Dispatcher) targetShare(q *Request) float64 {
	t := q.Attempts[len(q.Attempts)-1]
	if t.FirstTokenAt == 0 && (t.Outcome == Rejected || t.Outcome == TimedOut) {
		return 1
	}
	return min(float64(d.runtime.Now()-q.DispatchedAt)/float64(max(q.TargetAt-q.ReceivedAt, 1)), 1)
}

// adjustWindow lets such a share narrow the window or, with a first token, widen it if it holds requests
// back: in one response time by as much, be it wide or narrow. Over the fleet it is never below one request.
func (d *Dispatcher) adjustWindow(share float64, dispatched time.Duration, began bool) {
	d.windowAdjusted = true
	change := math.Exp((neutralTargetShare - share) / max(d.window*float64(1+d.peerFanout), 1))
	binding := d.window < 1 || len(d.queue) > 0 && float64(d.outstanding)+1 > d.window
	switch {
	case share > neutralTargetShare:
		if dispatched >= d.congestedAt {
			d.congestedAt, d.windowFloor = d.runtime.Now(), d.window/2
		}
		// All that was out when congestion began tells of the one, and halves the window at most: when half a
		// fleet died it would else close to nearly nothing, and learn nothing for minutes.
		d.window = max(d.window*change, d.windowFloor)
	case began && binding:
		d.window *= change
	}
	d.window = max(min(d.window, windowPerBackend*float64(len(d.backends))), 1/d.parameters.dispatchers)
}

// heardShare takes in what another dispatcher tells of a request of its own.
func (d *Dispatcher) applyPeerShare(n PeerUpdate) {
	if n.TargetShare == 0 || n.ClassIndex >= len(d.classes) {
		return
	}
	took := time.Duration(n.TargetShare * float64(d.classes[n.ClassIndex].Target))
	d.timeToFirstToken.Add(took.Seconds(), 0.1)
	d.adjustWindow(n.TargetShare, d.runtime.Now()-took, n.TargetShare < 1)
}

// expectedFirstToken is in how many seconds one comes: as lately seen, at least as long as one is awaited by
// now.
func (d *Dispatcher) expectedTimeToFirstToken() float64 {
	expected := d.timeToFirstToken.ValueOr(overloadWaitShare * d.classes[0].Target.Seconds())
	if len(d.awaitingFirstToken) > 0 {
		expected = max(expected, (d.runtime.Now() - d.awaitingFirstToken[0].DispatchedAt).Seconds())
	}
	return expected
}
