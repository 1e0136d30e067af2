package soak

import (
	"context"
	"sync/atomic"
	"time"

	"sloetrestle/internal/system"
)

const (
	latenessStep = 5 * time.Millisecond
	// latenessMost is by how much a soak may itself be late. What it saw then is not judged: it can't tell whose the delay is.
	maxLateness = 100 * time.Millisecond
)

// lateness measures by how much the soak's own process runs late.
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

// saw takes note of a delay.
func (l *lateness) observe(late time.Duration) {
	for {
		worst := l.worst.Load()
		if int64(late) <= worst || l.worst.CompareAndSwap(worst, int64(late)) {
			return
		}
	}
}

func (l *lateness) max() time.Duration { return time.Duration(l.worst.Load()) }
