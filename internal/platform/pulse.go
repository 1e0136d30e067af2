package platform

import (
	"context"
	"sync"
	"time"
)

const (
	pulseEach  = 50 * time.Millisecond  // between two looks at the clock
	stallLeast = 100 * time.Millisecond // between two looks, that shows that the process stood still
	settleTime = 50 * time.Millisecond  // after a stall, until what came meanwhile has been read
)

// pulse notices when the process stood still, as when it is stopped by a signal or gets no processor. What is read right after that may
// have come at any time since it began.
type stallDetector struct {
	mu       sync.Mutex
	last     time.Time
	from, to time.Time // the last stall
}

func newStallDetector(now time.Time) *stallDetector { return &stallDetector{last: now} }

// run looks at the clock until the context ends.
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

// beat takes note of a time at which the process runs.
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

// came is when at the earliest something had come that is read now.
func (p *stallDetector) came(now time.Time) time.Time {
	p.beat(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.to) < settleTime {
		return p.from
	}
	return now
}

// stalledSince tells whether the process stood still after a time: what was found out before it may not hold any more.
func (p *stallDetector) stalledSince(then, now time.Time) bool {
	p.beat(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.to.After(then)
}
