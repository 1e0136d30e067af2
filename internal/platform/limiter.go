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

	"sloetrestle/internal/memory"
	"sloetrestle/internal/system"
)

const (
	silentEvictAfter     = 50 * time.Millisecond // for which a connection must send nothing to be evicted
	idleEvictAfter       = 2 * time.Second       // for which a connection must be between two requests to be evicted
	capacityPollInterval = 10 * time.Millisecond // between two checks for free capacity

	// maxAcceptWait is the longest time that a connection is assumed to have waited to be accepted.
	maxAcceptWait = 3 * time.Second

	// At the end of accepting, connections that the operating system has already completed are still accepted. Each
	// call of Accept waits finalAcceptWait for one, and minFinalAcceptWait once finalAcceptPeriod has passed.
	finalAcceptWait    = 20 * time.Millisecond
	minFinalAcceptWait = time.Millisecond
	finalAcceptPeriod  = 100 * time.Millisecond

	acceptErrorWindow = 200 * time.Millisecond // after an accept error, within which older connections may be accepted
	maxFinalAccepts   = 50                     // calls of Accept at the end of accepting, if errors or stalls spoil some
	finalCapacityWait = 200 * time.Millisecond // at the end of accepting, for capacity for a completed connection
)

const (
	// nearLimitShare is the share of the connection limit above which responses end their connections. A connection that
	// has just had its response could otherwise not be closed for idleEvictAfter, and clients that send one request and
	// stay connected would shut out the others.
	nearLimitShare = 0.5
	// closingShare is how many connections that are being closed may be open beside the others, as a share of the
	// limit.
	closingShare = 0.1
)

// timeSpan is the time between two instants.
type timeSpan struct{ from, to time.Time }

// limiter accepts clients' connections and bounds how many are open, by number and by their memory. At the limit, the
// oldest connection that is silent or idle is closed for the next one; if there is none, the next one waits in the
// listener's backlog.
type limiter struct {
	listener         system.Listener
	maxConns         int // connections that may be open
	account          *memory.Account
	next             *memory.Holder // of the memory of the connection that is accepted next
	mu               sync.Mutex
	conns            map[*clientConn]bool
	draining         bool         // connections without an open request are closed
	acceptFailures   timeSpan     // of the latest accept errors; used by the accepting goroutine only
	listeningSince   time.Time    // since when connections may have been completed
	backlogOnlySince time.Time    // when acceptBacklogOnly was called; set before backlogOnly
	backlogOnly      atomic.Bool  // completed connections are still accepted, and no others
	Evicted          atomic.Int64 // connections closed for others
	CapacityWaits    atomic.Int64 // checks that found no capacity
	AcceptErrors     atomic.Int64 // accept errors that were retried
	ClosedUnread     atomic.Int64 // connections closed unread at shutdown for lack of capacity
	Paced            atomic.Int64 // requests that were read later as their connection was too fast
	log              *slog.Logger
}

// newLimiter returns a limiter of the connections of a listener.
func newLimiter(listener system.Listener, maxConns int, account *memory.Account, log *slog.Logger) *limiter {
	return &limiter{
		listener: listener, maxConns: maxConns, account: account, next: account.NewHolder(nil), log: log,
		conns: map[*clientConn]bool{}, listeningSince: time.Now(),
	}
}

// Addr returns the listener's address.
func (l *limiter) Addr() net.Addr { return l.listener.Addr() }

// Close closes the listener.
func (l *limiter) Close() error { return l.listener.Close() }

// Accept returns the next connection. It fails only once the listener is closed: every other error of accept is
// transient. After acceptBacklogOnly it returns http.ErrServerClosed once no completed connection is left.
func (l *limiter) Accept() (net.Conn, error) {
	var backoff system.Backoff
	for {
		waitedSince := l.awaitCapacity()
		start := time.Now()
		conn, err := l.listener.Accept()
		if err != nil && l.backlogOnly.Load() {
			conn, err = l.nextFromBacklog()
		}
		switch {
		case err == nil:
			if c, err := l.admit(conn, l.completeSince(waitedSince, start), l.earliestCompletion(time.Now())); err == nil {
				return c, nil
			}
			conn.Close()
		case errors.Is(err, net.ErrClosed), errors.Is(err, http.ErrServerClosed):
			return nil, err
		default:
			l.recordAcceptError(start, err)
			backoff.Wait()
		}
	}
}

// completeSince returns since when a connection that was accepted now may have been complete. If the call of accept
// found it waiting, that is for as long as there was no capacity or accept failed.
func (l *limiter) completeSince(waitedSince, start time.Time) time.Time {
	now := time.Now()
	switch {
	case now.Sub(start) > immediateThreshold:
		return now // accept waited for it
	case now.Sub(l.acceptFailures.to) < acceptErrorWindow:
		return l.acceptFailures.from
	case !waitedSince.IsZero():
		return waitedSince
	}
	return now
}

// earliestCompletion returns the earliest time at which a connection that was accepted now was complete. The duration
// of the call shows nothing: on a busy machine a call that finds a connection waiting takes as long as one that waits
// for it.
func (l *limiter) earliestCompletion(now time.Time) time.Time {
	if earliest := now.Add(-maxAcceptWait); earliest.After(l.listeningSince) {
		return earliest
	}
	return l.listeningSince
}

// awaitCapacity waits until one more connection may be open or accepting ends. It returns when it began to wait, or
// zero if there was capacity at once.
func (l *limiter) awaitCapacity() (since time.Time) {
	for !l.backlogOnly.Load() && !l.ensureCapacity(time.Now()) {
		if since.IsZero() {
			since = time.Now()
		}
		l.CapacityWaits.Add(1)
		time.Sleep(l.pollInterval())
	}
	return since
}

// pollInterval returns the time between two checks for capacity. Memory that is given up is there at once, and many
// connections may wait for some.
func (l *limiter) pollInterval() time.Duration {
	if l.next.Held(memory.Connections) == 0 {
		return memoryPollInterval
	}
	return capacityPollInterval
}

// nextFromBacklog returns a connection that the operating system has completed, or http.ErrServerClosed after closing
// the listener if none is left. Closing a listener resets the connections that wait in it and loses their requests, so
// it is closed only after a call that found none: neither a transient error nor a deadline that passed before the call
// shows that.
func (l *limiter) nextFromBacklog() (system.Conn, error) {
	var backoff system.Backoff
	for round := 0; round < maxFinalAccepts; round++ {
		l.awaitFinalCapacity()
		start := time.Now()
		wait := finalAcceptWait
		if start.Sub(l.backlogOnlySince) > finalAcceptPeriod {
			wait = minFinalAcceptWait // a trickle of connections must not keep the listener open
		}
		l.listener.SetDeadline(start.Add(wait))
		conn, err := l.listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			l.recordAcceptError(start, err)
			backoff.Wait()
		} else if time.Since(start) < 2*wait {
			break // the call began at once, and nothing arrived while it waited
		}
	}
	l.listener.Close()
	return nil, http.ErrServerClosed
}

// awaitFinalCapacity waits for a bounded time until one more connection may be open: at shutdown, idle connections are
// being closed.
func (l *limiter) awaitFinalCapacity() {
	for deadline := time.Now().Add(finalCapacityWait); l.count() >= l.maxConns+l.maxClosing() &&
		time.Now().Before(deadline); {
		time.Sleep(capacityPollInterval)
	}
}

// errConnLimit refuses a connection over the limit.
var errConnLimit = errors.New("too many connections are open")

// admit wraps and registers a connection that may have been complete since complete, and was not before earliest.
func (l *limiter) admit(conn system.Conn, complete, earliest time.Time) (net.Conn, error) {
	if l.backlogOnly.Load() && l.count() >= l.maxConns+l.maxClosing() {
		l.ClosedUnread.Add(1)
		return nil, errConnLimit
	}
	client, err := newClientConn(conn, l.account, l.remove)
	if err != nil {
		return nil, err
	}
	l.next.ReleaseAll(memory.Connections) // the connection has its own now
	client.waitingSince, client.earliestCompletion = complete, earliest
	client.requestDeadline = firstRequestDeadline(time.Now(), complete)
	l.mu.Lock()
	l.conns[client] = true
	l.mu.Unlock()
	return client, nil
}

// recordAcceptError records an accept error that is retried.
func (l *limiter) recordAcceptError(start time.Time, err error) {
	now := time.Now()
	if now.Sub(l.acceptFailures.to) > acceptErrorWindow {
		l.acceptFailures.from = start
	}
	l.acceptFailures.to = now
	l.AcceptErrors.Add(1)
	l.log.Warn("accept failed", "error", err)
}

// maxClosing returns how many connections that are being closed may be open beside the others.
func (l *limiter) maxClosing() int { return max(int(closingShare*float64(l.maxConns)), 1) }

// acceptBacklogOnly has Accept return the connections that are already complete, and then end.
func (l *limiter) acceptBacklogOnly() {
	l.backlogOnlySince = time.Now()
	l.backlogOnly.Store(true)
	l.listener.SetDeadline(l.backlogOnlySince) // ends an Accept that is waiting; nextFromBacklog takes over
}

// ensureCapacity reports whether there is capacity for a connection, closing another one for it if necessary.
func (l *limiter) ensureCapacity(now time.Time) bool {
	hasMemory := l.reserveNext()
	if hasMemory && l.count() < l.maxConns {
		return true
	}
	open, closing := 0, 0
	var victim, lingering evictionCandidate
	l.mu.Lock()
	for c := range l.conns {
		state, age := c.status(now)
		if state == connClosing {
			closing++
			lingering.consider(c, state, age)
			continue
		}
		open++
		if mayClose(closedForCapacity, state, age) {
			victim.consider(c, state, age)
		}
	}
	l.mu.Unlock()
	if closing >= l.maxClosing() {
		lingering.conn.abort()
	}
	if hasMemory && open < l.maxConns {
		return true
	}
	if victim.conn == nil || !victim.conn.closeIdle(closedForCapacity) {
		return false
	}
	l.Evicted.Add(1)
	return hasMemory
}

// reserveNext takes the memory of one more connection, and reports whether there is enough. The client that takes most
// has its unfinished request given up for it.
func (l *limiter) reserveNext() bool {
	if l.next.Held(memory.Connections) > 0 {
		return true
	}
	victim, err := l.next.Reserve(memory.Connections, connectionBytes)
	if victim != nil {
		victim.Evict()
	}
	return err == nil
}

// evictionCandidate is the connection that has been longest in its state. Connections that have sent nothing yet go
// before the others.
type evictionCandidate struct {
	conn  *clientConn
	state connState
	age   time.Duration
}

// consider takes a connection as the candidate if it goes before the present one. The age is its time in the state.
func (e *evictionCandidate) consider(c *clientConn, state connState, age time.Duration) {
	switch {
	case e.conn == nil:
	case e.state != state:
		if state != connNew {
			return
		}
	case age <= e.age:
		return
	}
	*e = evictionCandidate{c, state, age}
}

// remove is called when a connection's socket has been closed.
func (l *limiter) remove(c *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	c.logClose(l.log)
}

// connStateChanged is called by net/http with a connection's state, on the goroutine that serves the connection. Between
// two requests it waits for the connection's pace.
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
		return
	}
	if wait := c.pacer.Done(time.Since(l.listeningSince)); wait > 0 {
		l.Paced.Add(1)
		time.Sleep(wait)
	}
}

// drain closes the connections without an open request, now and as their responses end. Those that have sent nothing
// yet are left for closeSilent: their clients may be just about to send.
func (l *limiter) drain() {
	l.mu.Lock()
	l.draining = true
	l.mu.Unlock()
	l.closeEligible(closedByShutdown)
}

// closeSilent closes connections that have sent nothing for long, and those between two requests.
func (l *limiter) closeSilent() { l.closeEligible(closedAsSilent) }

// closeEligible closes the connections that may be closed for the given cause.
func (l *limiter) closeEligible(cause closeCause) {
	l.mu.Lock()
	now := time.Now()
	var eligible []*clientConn
	for c := range l.conns {
		if state, age := c.status(now); mayClose(cause, state, age) {
			eligible = append(eligible, c)
		}
	}
	l.mu.Unlock()
	for _, c := range eligible {
		c.closeIdle(cause)
	}
}

// NearLimit reports whether responses should end their connections.
func (l *limiter) NearLimit() bool { return float64(l.count()) > nearLimitShare*float64(l.maxConns) }

// count returns how many connections are open, including those that are being closed.
func (l *limiter) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}
