package scheduler

import (
	"math"
	"time"
)

// Slow start (rule 4): which backends are in it, and what this dispatcher may send them.

// roleWork is the work that backends of each role completed recently, for warm ones and those in slow start.
type roleWork struct {
	summedAt time.Duration // when it was summed up
	valid    bool
	sum      [3][2]float64 // by role; second index 1: in slow start
	count    [3][2]float64
}

// completedWorkMaxAge is how old the sum may be in a large fleet, as summing visits all backends.
const completedWorkMaxAge = 100 * time.Millisecond

// inSlowStart reports whether a backend is treated as in slow start.
func (d *Dispatcher) inSlowStart(backend *Backend) bool {
	return d.recentlyStarted(backend) ||
		backend.UnreachableAt > 0 && d.runtime.Now() < backend.UnreachableAt+d.parameters.slowStartTime
}

// recentlyStarted reports whether service discovery reported a start within the slow-start time.
func (d *Dispatcher) recentlyStarted(backend *Backend) bool {
	return backend.StartReported && d.runtime.Now() < backend.StartedAt+d.parameters.slowStartTime
}

// capacityShare is the share of its capacity that a backend has: it rises from the stated share to 1 over the
// slow-start time.
func (d *Dispatcher) capacityShare(backend *Backend) float64 {
	if !d.recentlyStarted(backend) {
		return 1
	}
	initialShare, slowStartTime := max(d.parameters.slowStartShare, 0.1), d.parameters.slowStartTime
	return initialShare + (1-initialShare)*float64(max(d.runtime.Now()-backend.StartedAt, 0))/float64(slowStartTime)
}

// requestWork is the mean work of the request's class, in the unit of the slow-start rule. At a mixed backend
// decode alone counts less than a whole request: otherwise warm ones that only decode would vouch for prefill
// too.
func (d *Dispatcher) requestWork(req *Request, backend *Backend, stage Stage) float64 {
	decodeWork := 100 * req.Class.DecodeSeconds.ValueOr(2)
	if backend.Mixed() && stage == StageDecode {
		return decodeWork
	}
	return req.Class.PrefillTokens.ValueOr(1000) + decodeWork
}

// meanCompletedWork is the mean work per unit that backends of a role completed for this dispatcher in a
// slow-start window, averaged over five: the warm ones, or those in slow start if none is warm. With most of
// them in slow start, the last value of the warm ones holds for backends that discovery reported as started:
// those in slow start complete only what they are allowed, which would shrink each time.
func (d *Dispatcher) meanCompletedWork(role Role, justStarted bool) float64 {
	completed := d.completedWorkNow()
	sums, counts := completed.sum[role], completed.count[role]
	if counts[0] == 0 {
		sums[0], counts[0] = sums[1], max(counts[1], 1)
	} else if counts[0] >= counts[1] {
		d.warmWork[role] = sums[0] / counts[0]
	}
	if justStarted && counts[0] <= counts[1] && d.warmWork[role] > 0 {
		return d.warmWork[role]
	}
	return sums[0] / counts[0]
}

// completedWorkNow sums up completed work: once per instant, however many backends are considered, and at
// limited frequency in a large fleet.
func (d *Dispatcher) completedWorkNow() *roleWork {
	now, work := d.runtime.Now(), &d.completedWork
	if work.valid && (now == work.summedAt ||
		d.isLarge() && now > work.summedAt && now-work.summedAt < completedWorkMaxAge) {
		return work
	}
	*work = roleWork{summedAt: now, valid: true}
	for _, backend := range d.backends {
		if backend.State != Ready {
			continue
		}
		i := 0
		if d.inSlowStart(backend) {
			i = 1
		}
		work.sum[backend.Role][i] += backend.CompletedWork.Sum(now) / 5 / backend.CapacityUnits
		work.count[backend.Role][i]++
	}
	return work
}

// invalidateCompletedWork marks the sum as outdated.
func (d *Dispatcher) invalidateCompletedWork() {
	if !d.isLarge() {
		d.completedWork.valid = false
	}
}

// slowStartBudget is this dispatcher's share of the work that a backend in slow start may be sent in a window.
// What warm backends of its role completed over five windows never exceeds their capacity, however hard they
// are loaded just now. With the stated multiple and share of that, and no more, a saturated role does not
// overload a backend in slow start.
func (d *Dispatcher) slowStartBudget(backend *Backend) float64 {
	share := d.parameters.slowStartMultiple * d.parameters.slowStartShare
	return share * d.meanCompletedWork(backend.Role, d.recentlyStarted(backend)) * backend.CapacityUnits
}

// mayUseSlowStart returns whether a backend may have totalWork in a window, that of the request at hand included
// (rule 4). With many dispatchers the share of each is less than one request; it is then a probability, drawn
// per window. All dispatchers use the same draw shifted by their index, so that the shares add up exactly and
// not only on average.
func (d *Dispatcher) mayUseSlowStart(backend *Backend, workPerRequest, totalWork float64) Permission {
	if !d.inSlowStart(backend) {
		return Allowed
	}
	now, window, start := d.runtime.Now(), d.parameters.slowStartWindow, max(backend.UnreachableAt, 0)
	if backend.StartReported && backend.StartedAt > start {
		start = backend.StartedAt
	}
	draw := float64(Mix(uint64((now-start)/window), uint64(backend.ID))>>11) / (1 << 53)
	_, chance := math.Modf(draw + d.parameters.index/d.parameters.dispatchers)
	if totalWork > d.slowStartBudget(backend)+chance*workPerRequest {
		return SlowStartSpent
	}
	return Allowed
}
