package brain

import (
	"math"
	"time"
)

// Slow start (rule 4): which backends are in it, and what this dispatcher may send them.

// carriedWork is what backends of each role carried lately, warm ones and those in slow start apart.
type carriedWork struct {
	at    time.Duration // when it was summed up
	known bool
	sum   [3][2]float64 // by role, and whether in slow start
	count [3][2]float64
}

// carriedAge is how old the sum may be where a fleet is large: it walks all backends.
const carriedAge = 100 * time.Millisecond

// cold tells whether a backend is taken to be in slow start.
func (d *Dispatcher) cold(h *Backend) bool {
	return d.started(h) || h.Unmet > 0 && d.runtime.Now() < h.Unmet+d.parameters.slowStartTime
}

// started tells whether the list told of a start within the ramp.
func (d *Dispatcher) started(h *Backend) bool {
	return h.Restart && d.runtime.Now() < h.Booted+d.parameters.slowStartTime
}

// warmth is the part of its capacity that a backend has: it warms from the stated share within the stated time.
func (d *Dispatcher) warmth(h *Backend) float64 {
	if !d.started(h) {
		return 1
	}
	from, ramp := max(d.parameters.slowStartShare, 0.1), d.parameters.slowStartTime
	return from + (1-from)*float64(max(d.runtime.Now()-h.Booted, 0))/float64(ramp)
}

// weight is the mean work of the request's class, the measure of the rule on cold backends. At a mixed backend an
// answer alone weighs less than a whole request: warm ones that only write must not speak for reading too.
func (d *Dispatcher) weight(q *Request, h *Backend, stage Stage) float64 {
	write := 100 * q.Class.Writing.Or(2)
	if h.Mixed() && stage == ToWrite {
		return write
	}
	return q.Class.Reading.Or(1000) + write
}

// carries is what backends of a role ended well in a window for this dispatcher, on the mean and for a unit: the
// warm ones, or where none is the cold ones. With most cold, what the warm ones did is not forgotten for
// those that the list tells of: cold ones do what they are let, and less each time.
func (d *Dispatcher) carries(role Role, fresh bool) float64 {
	work := d.carriedNow()
	sum, n := work.sum[role], work.count[role]
	if n[0] == 0 {
		sum[0], n[0] = sum[1], max(n[1], 1)
	} else if n[0] >= n[1] {
		d.carried[role] = sum[0] / n[0]
	}
	if fresh && n[0] <= n[1] && d.carried[role] > 0 {
		return d.carried[role]
	}
	return sum[0] / n[0]
}

// carriedNow sums up what backends carried: once at each time, however many of them are looked at then, and less often where the
// fleet is large.
func (d *Dispatcher) carriedNow() *carriedWork {
	now, w := d.runtime.Now(), &d.work
	if w.known && (now == w.at || d.large() && now > w.at && now-w.at < carriedAge) {
		return w
	}
	*w = carriedWork{at: now, known: true}
	for _, h := range d.backends {
		if h.Standing != Ready {
			continue
		}
		i := 0
		if d.cold(h) {
			i = 1
		}
		w.sum[h.Role][i] += h.Carried.Sum(now) / 5 / h.Units
		w.count[h.Role][i]++
	}
	return w
}

// carriedChanged takes note that the sum is out of date.
func (d *Dispatcher) carriedChanged() {
	if !d.large() {
		d.work.known = false
	}
}

// coldBudget is this dispatcher's part of what a cold backend may be sent in a window. What warm backends of its
// role ended well over five windows is their capacity at most, however hard they are pushed just now. With
// the stated multiple and cold share of that, and no more, a saturated role pushes no cold backend over.
func (d *Dispatcher) coldBudget(h *Backend) float64 {
	part := d.parameters.slowStartMultiple * d.parameters.slowStartShare
	return part * d.carries(h.Role, d.started(h)) * h.Units
}

// mayUseSlowStart tells whether a backend may have so much work in a window, a request's own included, of which one is the work of
// one (rule 4). With many dispatchers a part is less than one request: then it is a chance of one, drawn for each window. All draw
// alike and shift by their number: so the parts add up, and not only on average.
func (d *Dispatcher) mayUseSlowStart(h *Backend, one, sent float64) Permission {
	if !d.cold(h) {
		return Allowed
	}
	now, window, turn := d.runtime.Now(), d.parameters.slowStartWindow, max(h.Unmet, 0)
	if h.Restart && h.Booted > turn {
		turn = h.Booted
	}
	draw := float64(Mix(uint64((now-turn)/window), uint64(h.ID))>>11) / (1 << 53)
	_, chance := math.Modf(draw + d.parameters.number/d.parameters.dispatchers)
	if sent > d.coldBudget(h)+chance*one {
		return SlowStartSpent
	}
	return Allowed
}
