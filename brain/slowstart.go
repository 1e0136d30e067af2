package brain

import (
	"math"
	"time"
)

// Slow start (rule 4): which backends are in it, and what this dispatcher may send them.

// carriedWork is what backends of each role carried lately, warm ones and those in slow start apart.
type roleWork struct {
	summedAt time.Duration // when it was summed up
	valid    bool
	sum      [3][2]float64 // by role, and whether in slow start
	count    [3][2]float64
}

// carriedAge is how old the sum may be where a fleet is large: it walks all backends.
const completedWorkMaxAge = 100 * time.Millisecond

// cold tells whether a backend is taken to be in slow start.
func (d *Dispatcher) inSlowStart(h *Backend) bool {
	return d.recentlyStarted(h) || h.UnreachableAt > 0 && d.runtime.Now() < h.UnreachableAt+d.parameters.slowStartTime
}

// started tells whether the list told of a start within the ramp.
func (d *Dispatcher) recentlyStarted(h *Backend) bool {
	return h.StartReported && d.runtime.Now() < h.StartedAt+d.parameters.slowStartTime
}

// warmth is the part of its capacity that a backend has: it warms from the stated share within the stated time.
func (d *Dispatcher) capacityShare(h *Backend) float64 {
	if !d.recentlyStarted(h) {
		return 1
	}
	from, ramp := max(d.parameters.slowStartShare, 0.1), d.parameters.slowStartTime
	return from + (1-from)*float64(max(d.runtime.Now()-h.StartedAt, 0))/float64(ramp)
}

// weight is the mean work of the request's class, the measure of the rule on cold backends. At a mixed backend an
// answer alone weighs less than a whole request: warm ones that only write must not speak for reading too.
func (d *Dispatcher) requestWork(q *Request, h *Backend, stage Stage) float64 {
	write := 100 * q.Class.DecodeSeconds.ValueOr(2)
	if h.Mixed() && stage == StageDecode {
		return write
	}
	return q.Class.PrefillTokens.ValueOr(1000) + write
}

// carries is what backends of a role ended well in a window for this dispatcher, on the mean and for a unit: the
// warm ones, or where none is the cold ones. With most cold, what the warm ones did is not forgotten for
// those that the list tells of: cold ones do what they are let, and less each time.
func (d *Dispatcher) meanCompletedWork(role Role, fresh bool) float64 {
	work := d.completedWorkNow()
	sum, n := work.sum[role], work.count[role]
	if n[0] == 0 {
		sum[0], n[0] = sum[1], max(n[1], 1)
	} else if n[0] >= n[1] {
		d.warmWork[role] = sum[0] / n[0]
	}
	if fresh && n[0] <= n[1] && d.warmWork[role] > 0 {
		return d.warmWork[role]
	}
	return sum[0] / n[0]
}

// carriedNow sums up what backends carried: once at each time, however many of them are looked at then, and less often where the
// fleet is large.
func (d *Dispatcher) completedWorkNow() *roleWork {
	now, w := d.runtime.Now(), &d.completedWork
	if w.valid && (now == w.summedAt || d.isLarge() && now > w.summedAt && now-w.summedAt < completedWorkMaxAge) {
		return w
	}
	*w = roleWork{summedAt: now, valid: true}
	for _, h := range d.backends {
		if h.State != Ready {
			continue
		}
		i := 0
		if d.inSlowStart(h) {
			i = 1
		}
		w.sum[h.Role][i] += h.CompletedWork.Sum(now) / 5 / h.CapacityUnits
		w.count[h.Role][i]++
	}
	return w
}

// carriedChanged takes note that the sum is out of date.
func (d *Dispatcher) invalidateCompletedWork() {
	if !d.isLarge() {
		d.completedWork.valid = false
	}
}

// coldBudget is this dispatcher's part of what a cold backend may be sent in a window. What warm backends of its
// role ended well over five windows is their capacity at most, however hard they are pushed just now. With
// the stated multiple and cold share of that, and no more, a saturated role pushes no cold backend over.
func (d *Dispatcher) slowStartBudget(h *Backend) float64 {
	part := d.parameters.slowStartMultiple * d.parameters.slowStartShare
	return part * d.meanCompletedWork(h.Role, d.recentlyStarted(h)) * h.CapacityUnits
}

// mayUseSlowStart tells whether a backend may have so much work in a window, a request's own included, of which one is the work of
// one (rule 4). With many dispatchers a part is less than one request: then it is a chance of one, drawn for each window. All draw
// alike and shift by their number: so the parts add up, and not only on average.
func (d *Dispatcher) mayUseSlowStart(h *Backend, one, sent float64) Permission {
	if !d.inSlowStart(h) {
		return Allowed
	}
	now, window, turn := d.runtime.Now(), d.parameters.slowStartWindow, max(h.UnreachableAt, 0)
	if h.StartReported && h.StartedAt > turn {
		turn = h.StartedAt
	}
	draw := float64(Mix(uint64((now-turn)/window), uint64(h.ID))>>11) / (1 << 53)
	_, chance := math.Modf(draw + d.parameters.index/d.parameters.dispatchers)
	if sent > d.slowStartBudget(h)+chance*one {
		return SlowStartSpent
	}
	return Allowed
}
