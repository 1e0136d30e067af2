package dispatch

import (
	"log/slog"
	"sync/atomic"
	"time"
)

const (
	// longTurn is how long one turn of the loop may take before it is logged: everything else waits meanwhile.
	longTurn = 50 * time.Millisecond
	// turnLogEach is how often long turns are logged at most.
	turnLogEach = time.Second
)

// Lag measures how far behind the event loop is. Messages and timers wait for the one goroutine that owns the module.
type Lag struct {
	oldest atomic.Int64 // when the oldest message that waits was posted, on the loop's clock; 0: none waits

	// Of the present period; the loop's.
	LongestTurn       time.Duration // of one message or timer
	LongestWait       time.Duration // of a message in the queue
	LongestTimerDelay time.Duration // by which a timer was late
	LongTurns         int64         // since the start
	logged            time.Duration
}

// posted takes note of a message that has come to an empty queue.
func (g *Lag) posted(at time.Duration) { g.oldest.CompareAndSwap(0, int64(max(at, 1))) }

// next takes note of which message is the oldest now; nil: none waits.
func (g *Lag) next(waiting []message) {
	if len(waiting) == 0 {
		g.oldest.Store(0)
		return
	}
	g.oldest.Store(int64(max(waiting[0].at, 1)))
}

// now is how long the oldest message has waited.
func (g *Lag) now(at time.Duration) time.Duration {
	oldest := g.oldest.Load()
	if oldest == 0 {
		return 0
	}
	return max(at-time.Duration(oldest), 0)
}

// turn takes note of one turn of the loop.
func (g *Lag) turn(began, ended time.Duration, log *slog.Logger) {
	took := ended - began
	g.LongestTurn = max(g.LongestTurn, took)
	if took < longTurn {
		return
	}
	g.LongTurns++
	if g.logged == 0 || ended-g.logged >= turnLogEach {
		g.logged = ended
		log.Warn("a turn of the event loop was long", "took", took, "so_many", g.LongTurns)
	}
}

// Period returns what was measured since the last call, and begins anew.
func (g *Lag) TakePeriod() (turn, wait, timer time.Duration) {
	turn, wait, timer = g.LongestTurn, g.LongestWait, g.LongestTimerDelay
	g.LongestTurn, g.LongestWait, g.LongestTimerDelay = 0, 0, 0
	return turn, wait, timer
}
