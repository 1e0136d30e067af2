package platform

import (
	"context"
	"sync"
	"time"
)

const (
	stallCheckInterval = 50 * time.Millisecond  // between two checks of the clock
	minStall           = 100 * time.Millisecond // between two checks, from which on the process is taken to have stalled
	stallSettleTime    = 50 * time.Millisecond  // after a stall, until what arrived during it has been read
)

// stallDetector notices when the process has stalled, as when it is stopped by a signal or gets no processor. What is
// read right after a stall may have arrived at any time since the stall began.
type stallDetector struct {
	mu                   sync.Mutex
	lastTick             time.Time
	stallStart, stallEnd time.Time // bounds of the last stall
}

// newStallDetector returns a detector that starts at a time at which the process runs.
func newStallDetector(now time.Time) *stallDetector { return &stallDetector{lastTick: now} }

// run checks the clock until the context ends.
func (d *stallDetector) run(ctx context.Context) {
	tick := time.NewTicker(stallCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			d.tick(time.Now())
		}
	}
}

// tick records a time at which the process runs.
func (d *stallDetector) tick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.lastTick) >= minStall {
		d.stallStart, d.stallEnd = d.lastTick, now
	}
	if now.After(d.lastTick) {
		d.lastTick = now
	}
}

// earliestArrival returns the earliest time at which something that is read now may have arrived.
func (d *stallDetector) earliestArrival(now time.Time) time.Time {
	d.tick(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.stallEnd) < stallSettleTime {
		return d.stallStart
	}
	return now
}

// stalledSince reports whether the process has stalled after a time. What was found out before may no longer hold.
func (d *stallDetector) stalledSince(then, now time.Time) bool {
	d.tick(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stallEnd.After(then)
}
