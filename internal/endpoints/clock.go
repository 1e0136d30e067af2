package endpoints

import "time"

// startClock turns the wall times at which backends say that they started into ages. It reads the wall clock once, at the process's
// start, and goes on by the monotonic one: the wall clock may step. Where its readings can't be right it errs towards younger backends,
// as one that is taken for warm gets more than it bears in slow start.
type startClock struct {
	initialized      bool
	initialWall      time.Time     // as first read
	initialMonotonic time.Duration // when that was
	skew             time.Duration // by which other clocks were seen to be ahead of this one
	lastConfirmed    time.Duration // when discovery last said that the list was whole as it was
	startTimes       map[string]int64
	synced           bool // discovery has been heard: a start that is told of from now on is a new one
}

// lagMost is how long after its start a backend may be told of first. One that seems to have been up for longer shows a wall clock
// that was ahead when the process began.
const maxReportDelay = time.Minute

// now is the wall time in milliseconds by which starts are judged.
func (c *startClock) now(since time.Duration, wall func() time.Time) int64 {
	if !c.initialized {
		c.initialized, c.initialWall, c.initialMonotonic = true, wall(), since
	}
	return c.initialWall.Add(since - c.initialMonotonic + c.skew).UnixMilli()
}

// sees takes note of starts: one in the future shows that this clock is behind by that much.
func (c *startClock) observeStarts(targets []target, now int64) int64 {
	for _, g := range targets {
		if behind := time.Duration(g.BootMs-now) * time.Millisecond; behind > 0 {
			c.skew += behind
			now = g.BootMs
		}
	}
	return now
}

// age is for how long a target has been up.
func (c *startClock) uptime(g target, since time.Duration, now int64) time.Duration {
	if c.startTimes == nil {
		c.startTimes = map[string]int64{}
	}
	known := c.startTimes[g.UID] == g.BootMs
	c.startTimes[g.UID] = g.BootMs
	up := max(time.Duration(now-g.BootMs)*time.Millisecond, 0)
	if unlisted := since - c.lastConfirmed; !known && c.synced && up > unlisted+maxReportDelay {
		return unlisted
	}
	return up
}

// forget drops the starts of targets that are gone.
func (c *startClock) forget(uid string) { delete(c.startTimes, uid) }
