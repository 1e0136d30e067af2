package platform

import (
	"context"
	"sync"
	"time"
)

const (
	pulseEach  = 50 * time.Millisecond  // between two checks of the clock
	stallLeast = 100 * time.Millisecond // between two checks, from which on the process is taken to have stalled
	settleTime = 50 * time.Millisecond  // after a stall, until what arrived during it has been read
)

// stallDetector notices when the process has stalled, as when it is stopped by a signal or gets no processor. What is
// read right after a stall may have arrived at any time since the stall began.
type stallDetector struct {
	mu       sync.Mutex
	last     time.Time
	from, to time.Time // bounds of the last stall
}

// newStallDetector returns a detector that starts at a time at which the process runs.
func newStallDetector(now time.Time) *stallDetector { return &stallDetector{last: now} }

// run checks the clock until the context ends.
func (p *stallDetector) run(ctx context.Context) {
	tick := time.NewTicker(pulseEach)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			p.beat(time.Now())
		}
	}
}

// tick records a time at which the process runs.
func (p *stallDetector) beat(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.last) >= stallLeast {
		p.from, p.to = p.last, now
	}
	if now.After(p.last) {
		p.last = now
	}
}

// earliestArrival returns the earliest time at which something that is read now may have arrived.
func (p *stallDetector) came(now time.Time) time.Time {
	p.beat(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.to) < settleTime {
		return p.from
	}
	return now
}

// stalledSince reports whether the process has stalled after a time. What was found out before may no longer hold.
func (p *stallDetector) stalledSince(then, now time.Time) bool {
	p.beat(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.to.After(then)
}
