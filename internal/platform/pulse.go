package platform

import (
	"context"
	"sync"
	"time"
)

const (
	stallCheckInterval = 50 * time.Millisecond  // between two looks at the clock
	minStall           = 100 * time.Millisecond // between two looks, that shows that the process stood still
	stallSettleTime    = 50 * time.Millisecond  // after a stall, until what came meanwhile has been read
)

// pulse notices when the process stood still, as when it is stopped by a signal or gets no processor. What is read right after that may
// have come at any time since it began.
type stallDetector struct {
	mu                   sync.Mutex
	lastTick             time.Time
	stallStart, stallEnd time.Time // the last stall
}

func newStallDetector(now time.Time) *stallDetector { return &stallDetector{lastTick: now} }

// run looks at the clock until the context ends.
func (p *stallDetector) run(ctx context.Context) {
	tick := time.NewTicker(stallCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			p.tick(time.Now())
		}
	}
}

// beat takes note of a time at which the process runs.
func (p *stallDetector) tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.lastTick) >= minStall {
		p.stallStart, p.stallEnd = p.lastTick, now
	}
	if now.After(p.lastTick) {
		p.lastTick = now
	}
}

// came is when at the earliest something had come that is read now.
func (p *stallDetector) earliestArrival(now time.Time) time.Time {
	p.tick(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.stallEnd) < stallSettleTime {
		return p.stallStart
	}
	return now
}

// stalledSince tells whether the process stood still after a time: what was found out before it may not hold any more.
func (p *stallDetector) stalledSince(then, now time.Time) bool {
	p.tick(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stallEnd.After(then)
}
