package platform

import (
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"sloetrestle/internal/system"
)

const (
	silentEvictAfter     = 50 * time.Millisecond // a connection on which no request came by then makes room before others
	idleEvictAfter       = 2 * time.Second       // one without an open request may be closed by then
	capacityPollInterval = 10 * time.Millisecond // until another look, where none makes room

	// waitMost is how long a connection is taken to have waited to be accepted at most.
	maxAcceptWait = 3 * time.Second

	// At the end of accepting, for connections that the system has completed already: how long a look waits for one, until
	// drainMost is over and after that.
	finalAcceptWait    = 20 * time.Millisecond
	minFinalAcceptWait = time.Millisecond
	finalAcceptPeriod  = 100 * time.Millisecond

	acceptErrorWindow = 200 * time.Millisecond // after accept failed, until connections from before are accepted
	maxFinalAccepts   = 50                     // looks for completed connections at the end of accepting, if errors or stalls spoil them
	finalCapacityWait = 200 * time.Millisecond // at the end of accepting, for a place for a completed connection
)

const (
	// crowdedShare is the share of the connections that may be open, above which answers end theirs: one that has just had its
	// answer may else not be closed for idleFor, and clients that ask once and stay would shut out the others.
	nearLimitShare = 0.5
	// closingShare is how many connections that are being closed may be open beside the others.
	closingShare = 0.1
)

// timeSpan is a stretch of time.
type timeSpan struct{ from, to time.Time }

// limiter accepts clients' connections and bounds how many are open. Where as many are open as may be, the oldest that is silent or
// idle makes room; where there is none, the next waits outside until one is.
type limiter struct {
	listener         system.Listener
	maxConns         int
	mu               sync.Mutex
	conns            map[*clientConn]bool
	draining         bool         // connections without an open request are closed
	acceptFailures   timeSpan     // in which accept failed last; the accepting goroutine's
	listeningSince   time.Time    // since when connections may have come
	backlogOnlySince time.Time    // when acceptLast was called; set before last is
	backlogOnly      atomic.Bool  // what is completed already is accepted, and no more
	Evicted          atomic.Int64 // connections that made room
	CapacityWaits    atomic.Int64 // looks that found none
	AcceptErrors     atomic.Int64 // errors of accept that were passed over
	ClosedUnread     atomic.Int64 // connections that were shut unread at a stop, as there was no room
	log              *slog.Logger
}

func newLimiter(listener system.Listener, most int, log *slog.Logger) *limiter {
	return &limiter{listener: listener, maxConns: most, log: log, conns: map[*clientConn]bool{}, listeningSince: time.Now()}
}

// Addr is where the limiter listens.
func (l *limiter) Addr() net.Addr { return l.listener.Addr() }

// Close ends listening.
func (l *limiter) Close() error { return l.listener.Close() }

// Accept returns the next connection. It fails only once the listener is closed: whatever else the system says passes. After acceptLast
// it returns http.ErrServerClosed once no completed connection is left.
func (l *limiter) Accept() (net.Conn, error) {
	var retry system.Backoff
	for {
		noRoom := l.awaitCapacity()
		called := time.Now()
		raw, err := l.listener.Accept()
		if err != nil && l.backlogOnly.Load() {
			raw, err = l.nextFromBacklog()
		}
		switch {
		case err == nil:
			if c, err := l.admit(raw, l.completeSince(noRoom, called), l.earliestCompletion(time.Now())); err == nil {
				return c, nil
			}
			raw.Close()
		case errors.Is(err, net.ErrClosed), errors.Is(err, http.ErrServerClosed):
			return nil, err
		default:
			l.recordAcceptError(called, err)
			retry.Wait()
		}
	}
}

// completedAt is since when a connection that was accepted now may have been complete: for as long as there was no room, or accept
// failed, if the call that returned it found it there.
func (l *limiter) completeSince(noRoom, called time.Time) time.Time {
	now := time.Now()
	switch {
	case now.Sub(called) > immediateThreshold:
		return now // it was waited for
	case now.Sub(l.acceptFailures.to) < acceptErrorWindow:
		return l.acceptFailures.from
	case !noRoom.IsZero():
		return noRoom
	}
	return now
}

// waitingSince is since when at the earliest a connection that was accepted now was complete. How long the call took shows nothing: on a
// busy machine a call that finds a connection there takes as long as one that waits for it.
func (l *limiter) earliestCompletion(now time.Time) time.Time {
	if earliest := now.Add(-maxAcceptWait); earliest.After(l.listeningSince) {
		return earliest
	}
	return l.listeningSince
}

// awaitRoom waits until one more connection may be open, or accepting ends, and tells since when; zero: there was room at once.
func (l *limiter) awaitCapacity() (since time.Time) {
	for !l.backlogOnly.Load() && !l.ensureCapacity(time.Now()) {
		if since.IsZero() {
			since = time.Now()
		}
		l.CapacityWaits.Add(1)
		time.Sleep(capacityPollInterval)
	}
	return since
}

// acceptCompleted returns a connection that the system has completed; http.ErrServerClosed: there is none any more, and the listener is
// closed. A closed listener resets those that wait, and loses their requests, so it is closed only after a look that found none:
// neither an error that passes nor a deadline that went by before the look says that.
func (l *limiter) nextFromBacklog() (system.Conn, error) {
	var retry system.Backoff
	for round := 0; round < maxFinalAccepts; round++ {
		l.awaitFinalCapacity()
		began := time.Now()
		wait := finalAcceptWait
		if began.Sub(l.backlogOnlySince) > finalAcceptPeriod {
			wait = minFinalAcceptWait // connections that come one by one must not keep it open
		}
		l.listener.SetDeadline(began.Add(wait))
		raw, err := l.listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return raw, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			l.recordAcceptError(began, err)
			retry.Wait()
		} else if time.Since(began) < 2*wait {
			break // it looked at once, and nothing came while it waited
		}
	}
	l.listener.Close()
	return nil, http.ErrServerClosed
}

// awaitLastRoom waits for a while until one more connection may be open: at a stop, connections at rest are being closed.
func (l *limiter) awaitFinalCapacity() {
	for end := time.Now().Add(finalCapacityWait); l.count() >= l.maxConns+l.maxClosing() && time.Now().Before(end); {
		time.Sleep(capacityPollInterval)
	}
}

// errNoPlace says that a connection can't be held.
var errConnLimit = errors.New("too many connections are open")

// admit takes a connection on that may have been complete for a while, and was not before earliest.
func (l *limiter) admit(raw system.Conn, complete, earliest time.Time) (net.Conn, error) {
	if l.backlogOnly.Load() && l.count() >= l.maxConns+l.maxClosing() {
		l.ClosedUnread.Add(1)
		return nil, errConnLimit
	}
	c, err := newClientConn(raw, l.remove)
	if err != nil {
		return nil, err
	}
	c.waitingSince, c.earliestCompletion = complete, earliest
	c.requestDeadline = firstRequestDeadline(time.Now(), complete)
	l.mu.Lock()
	l.conns[c] = true
	l.mu.Unlock()
	return c, nil
}

// failed takes note of an error of accept that is passed over.
func (l *limiter) recordAcceptError(called time.Time, err error) {
	now := time.Now()
	if now.Sub(l.acceptFailures.to) > acceptErrorWindow {
		l.acceptFailures.from = called
	}
	l.acceptFailures.to = now
	l.AcceptErrors.Add(1)
	l.log.Warn("accept failed", "error", err)
}

// closingMost is how many connections that are being closed may be open beside the others.
func (l *limiter) maxClosing() int { return max(int(closingShare*float64(l.maxConns)), 1) }

// acceptLast has Accept take the connections that are completed already, and then end.
func (l *limiter) acceptBacklogOnly() {
	l.backlogOnlySince = time.Now()
	l.backlogOnly.Store(true)
	l.listener.SetDeadline(l.backlogOnlySince) // ends an Accept that waits; the looks of acceptCompleted follow
}

// makeRoom tells whether there is room for a connection.
func (l *limiter) ensureCapacity(now time.Time) bool {
	if l.count() < l.maxConns {
		return true
	}
	open, closing := 0, 0
	var victim, lingering evictionCandidate
	l.mu.Lock()
	for c := range l.conns {
		state, since := c.status(now)
		if state == connClosing {
			closing++
			lingering.consider(c, state, since)
			continue
		}
		open++
		if mayClose(closedForCapacity, state, since) {
			victim.consider(c, state, since)
		}
	}
	l.mu.Unlock()
	if closing >= l.maxClosing() {
		lingering.conn.abort()
	}
	if open < l.maxConns {
		return true
	}
	if victim.conn == nil || !victim.conn.closeIdle(closedForCapacity) {
		return false
	}
	l.Evicted.Add(1)
	return true
}

// oldest is the connection that is longest in its state. Those on which nothing has come yet go before the others.
type evictionCandidate struct {
	conn  *clientConn
	state connState
	age   time.Duration
}

func (o *evictionCandidate) consider(c *clientConn, state connState, since time.Duration) {
	switch {
	case o.conn == nil:
	case o.state != state:
		if state != connNew {
			return
		}
	case since <= o.age:
		return
	}
	*o = evictionCandidate{c, state, since}
}

// forget is told that a connection's socket is closed.
func (l *limiter) remove(c *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	c.logClose(l.log)
}

// moved is told by net/http of a connection's state.
func (l *limiter) connStateChanged(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*clientConn)
	if !ok || state != http.StateIdle {
		return
	}
	c.responseDone()
	l.mu.Lock()
	draining := l.draining
	l.mu.Unlock()
	if draining {
		c.closeIdle(closedByShutdown)
	}
}

// drain closes the connections without an open request, now and as their answers end. Those on which nothing came yet are left for
// closeSilent: their clients may just be about to send.
func (l *limiter) drain() {
	l.mu.Lock()
	l.draining = true
	l.mu.Unlock()
	l.closeEligible(closedByShutdown)
}

// closeSilent closes connections on which nothing came for long, and those between two requests.
func (l *limiter) closeSilent() { l.closeEligible(closedAsSilent) }

// closeEach closes the connections that may be closed for that cause.
func (l *limiter) closeEligible(cause closeCause) {
	l.mu.Lock()
	now := time.Now()
	var chosen []*clientConn
	for c := range l.conns {
		if state, since := c.status(now); mayClose(cause, state, since) {
			chosen = append(chosen, c)
		}
	}
	l.mu.Unlock()
	for _, c := range chosen {
		c.closeIdle(cause)
	}
}

// Crowded tells whether answers should end their connections.
func (l *limiter) NearLimit() bool { return float64(l.count()) > nearLimitShare*float64(l.maxConns) }

// count is how many connections are open, those that are being closed among them.
func (l *limiter) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}
