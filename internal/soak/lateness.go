package soak

import (
	"context"
	"sync/atomic"
	"time"

	"sloetrestle/internal/system"
)

const (
	latenessStep = 5 * time.Millisecond
	// maxLateness is by how much the soak itself may run late. Beyond it a run is inconclusive, because a delay
	// can't be attributed to the dispatchers.
	maxLateness = 100 * time.Millisecond
)

// lateness measures the scheduling delay of the soak's own process.
type lateness struct{ worst atomic.Int64 }

// watch measures until the context ends.
func (l *lateness) watch(ctx context.Context) {
	for {
		began := time.Now()
		if !system.Sleep(ctx, latenessStep) {
			return
		}
		l.observe(time.Since(began) - latenessStep)
	}
}

// observe records a delay.
func (l *lateness) observe(late time.Duration) {
	for {
		worst := l.worst.Load()
		if int64(late) <= worst || l.worst.CompareAndSwap(worst, int64(late)) {
			return
		}
	}
}

// largest returns the largest delay observed.
func (l *lateness) largest() time.Duration { return time.Duration(l.worst.Load()) }
