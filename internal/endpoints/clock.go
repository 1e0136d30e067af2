package endpoints

import "time"

// startClock converts the wall-clock start times that backends report into uptimes. It reads the wall clock once,
// when the process starts, and advances it by the monotonic clock, because the wall clock may step. Where its
// readings cannot be right it errs towards shorter uptimes: a backend that is wrongly taken for warm receives more
// load than it can bear during slow start.
type startClock struct {
	initialized      bool
	initialWall      time.Time     // first reading of the wall clock
	initialMonotonic time.Duration // monotonic time of that reading
	skew             time.Duration // how far other clocks were seen to be ahead of this one
	lastConfirmed    time.Duration // monotonic time at which discovery last confirmed the list
	startTimes       map[string]int64
	synced           bool // a list was received from a watch: a start time first reported from now on is a new start
}

// maxReportDelay is how long after its start a backend may first be reported. One that is first reported with a
// longer uptime shows that the wall clock was ahead when this process started.
const maxReportDelay = time.Minute

// now returns the wall time, in Unix milliseconds, against which start times are compared.
func (c *startClock) now(monotonic time.Duration, wallClock func() time.Time) int64 {
	if !c.initialized {
		c.initialized, c.initialWall, c.initialMonotonic = true, wallClock(), monotonic
	}
	return c.initialWall.Add(monotonic - c.initialMonotonic + c.skew).UnixMilli()
}

// observeStarts corrects the clock by the reported start times and returns the corrected time: a start in the future
// shows that this clock is behind by that much.
func (c *startClock) observeStarts(targets []target, now int64) int64 {
	for _, t := range targets {
		if behind := time.Duration(t.BootMs-now) * time.Millisecond; behind > 0 {
			c.skew += behind
			now = t.BootMs
		}
	}
	return now
}

// uptime returns how long a target has been up. A start that is reported for the first time while discovery is
// followed cannot be older than the last confirmed list by more than maxReportDelay; where it seems to be, the time
// since that list is returned.
func (c *startClock) uptime(reported target, monotonic time.Duration, now int64) time.Duration {
	if c.startTimes == nil {
		c.startTimes = map[string]int64{}
	}
	known := c.startTimes[reported.UID] == reported.BootMs
	c.startTimes[reported.UID] = reported.BootMs
	up := max(time.Duration(now-reported.BootMs)*time.Millisecond, 0)
	if unconfirmed := monotonic - c.lastConfirmed; !known && c.synced && up > unconfirmed+maxReportDelay {
		return unconfirmed
	}
	return up
}

// forget drops the start time of a removed target.
func (c *startClock) forget(uid string) { delete(c.startTimes, uid) }
