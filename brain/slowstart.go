package brain

import (
	"math"
	"time"
)

// Slow start (rule 4): which backends are in it, and what this dispatcher may send them.

// roleWork is the work that backends of each role completed recently, for warm ones and those in slow start.
type carriedWork struct {
	at    time.Duration // when it was summed up
	known bool
	sum   [3][2]float64 // by role; second index 1: in slow start
	count [3][2]float64
}

// completedWorkMaxAge is how old the sum may be in a large fleet, as summing visits all backends.
const carriedAge = 100 * time.Millisecond

// inSlowStart reports whether a backend is treated as in slow start.
func (d *Dispatcher) cold(h *Backend) bool {
	return d.started(h) || h.Unmet > 0 && d.runtime.Now() < h.Unmet+d.parameters.slowStartTime
}

// recentlyStarted reports whether service discovery reported a start within the slow-start time.
func (d *Dispatcher) started(h *Backend) bool {
	return h.Restart && d.runtime.Now() < h.Booted+d.parameters.slowStartTime
}

// capacityShare is the share of its capacity that a backend has: it rises from the stated share to 1 over the
// slow-start time.
func (d *Dispatcher) warmth(h *Backend) float64 {
	if !d.started(h) {
		return 1
	}
	from, ramp := max(d.parameters.slowStartShare, 0.1), d.parameters.slowStartTime
	return from + (1-from)*float64(max(d.runtime.Now()-h.Booted, 0))/float64(ramp)
}

// requestWork is the mean work of the request's class, in the unit of the slow-start rule. At a mixed backend
// decode alone counts less than a whole request: otherwise warm ones that only decode would vouch for prefill
// too.
func (d *Dispatcher) weight(q *Request, h *Backend, stage Stage) float64 {
	write := 100 * q.Class.Writing.Or(2)
	if h.Mixed() && stage == ToWrite {
		return write
	}
	return q.Class.Reading.Or(1000) + write
}

// meanCompletedWork is the mean work per unit that backends of a role completed in a slow-start window for
// this dispatcher: the warm ones, or those in slow start if none is warm. With most of them in slow start, the
// last value of the warm ones holds for backends that discovery reported as started: those in slow start
// complete only what they are allowed, which would shrink each time.
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

// completedWorkNow sums up completed work: once per instant, however many backends are considered, and at
// limited frequency in a large fleet.
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

// invalidateCompletedWork marks the sum as outdated.
func (d *Dispatcher) carriedChanged() {
	if !d.large() {
		d.work.known = false
	}
}

// slowStartBudget is this dispatcher's share of the work that a backend in slow start may be sent in a window.
// What warm backends of its role completed over five windows bounds their capacity from below, however hard
// they are loaded just now. With the stated multiple and share of that, and no more, a saturated role does not
// overload a backend in slow start.
func (d *Dispatcher) coldBudget(h *Backend) float64 {
	part := d.parameters.slowStartMultiple * d.parameters.slowStartShare
	return part * d.carries(h.Role, d.started(h)) * h.Units
}

// mayUseSlowStart returns whether a backend may have the given work in a window, a request's own included;
// requestWork is the work of one request (rule 4). With many dispatchers the share of each is less than one
// request; it is then a probability, drawn per window. All dispatchers use the same draw shifted by their
// index, so that the shares add up exactly and not only on average.
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
