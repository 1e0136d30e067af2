package dispatch

import (
	"log/slog"
	"sync/atomic"
	"time"
)

const (
	// longTurn is the duration from which a turn of the event loop is logged: everything else waits meanwhile.
	longTurn = 50 * time.Millisecond
	// longTurnLogInterval is the shortest time between two such log lines.
	longTurnLogInterval = time.Second
)

// Lag measures how far behind the event loop is. Messages and timers wait for the one goroutine that owns the
// scheduler; a turn is the handling of one of them. Times are on the loop's clock.
type Lag struct {
	oldestPostedAt atomic.Int64 // when the oldest waiting message was posted, in nanoseconds; 0 if none waits

	// The fields below belong to the loop. The first three cover the time since the last call of TakePeriod.
	LongestTurn       time.Duration
	LongestWait       time.Duration // of a message in the queue
	LongestTimerDelay time.Duration // the most by which a timer ran late
	LongTurns         int64         // turns of longTurn and more, since the start
	lastLogged        time.Duration
}

// posted records that a message was posted. It has an effect only if no other message waits.
func (g *Lag) posted(now time.Duration) { g.oldestPostedAt.CompareAndSwap(0, int64(max(now, 1))) }

// updateOldest records which messages still wait, oldest first.
func (g *Lag) updateOldest(waiting []message) {
	if len(waiting) == 0 {
		g.oldestPostedAt.Store(0)
		return
	}
	g.oldestPostedAt.Store(int64(max(waiting[0].postedAt, 1)))
}

// currentWait returns how long the oldest waiting message has waited.
func (g *Lag) currentWait(now time.Duration) time.Duration {
	oldest := g.oldestPostedAt.Load()
	if oldest == 0 {
		return 0
	}
	return max(now-time.Duration(oldest), 0)
}

// recordTurn records one turn of the event loop.
func (g *Lag) recordTurn(start, end time.Duration, log *slog.Logger) {
	took := end - start
	g.LongestTurn = max(g.LongestTurn, took)
	if took < longTurn {
		return
	}
	g.LongTurns++
	if g.lastLogged == 0 || end-g.lastLogged >= longTurnLogInterval {
		g.lastLogged = end
		log.Warn("long turn of the event loop", "took", took, "so_many", g.LongTurns)
	}
}

// TakePeriod returns the longest turn, the longest wait of a message and the greatest delay of a timer since the last
// call, and resets them.
func (g *Lag) TakePeriod() (turn, wait, timer time.Duration) {
	turn, wait, timer = g.LongestTurn, g.LongestWait, g.LongestTimerDelay
	g.LongestTurn, g.LongestWait, g.LongestTimerDelay = 0, 0, 0
	return turn, wait, timer
}
