package platform

import (
	"cmp"
	"context"
	"errors"
	"io"
	"time"

	"sloetrestle/brain"
	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/monitor"
	"sloetrestle/internal/reach"
	"sloetrestle/internal/system"
)

// How an attempt gets from its choice to a request that has gone out whole: a descriptor, a connection, the last permission, the bytes.

var (
	// errStale ends an attempt that was not sent, as it might not go out any more or had no descriptor.
	errNotSent = errors.New("not sent")
	// errCutOff ends an attempt that was called off while its request was being written.
	errCutMidRequest = errors.New("called off with part of the request sent")
)

// connect gets a connection for an attempt, over which all of the request has gone out; until then it can't have run.
func (c *transport) connect(ctx, within context.Context, f *dispatch.Attempt, host *reach.Pool, m *outgoingRequest) (*reach.Conn, func() bool, error) {
	limit := c.connectTimeout(f)
	var local error // why this machine could not begin the last connection
	for began, refused := time.Now(), 0; ; {
		conn, err := host.Get(within)
		if err != nil && local != nil && within.Err() != nil {
			return nil, nil, local
		}
		if local = nil; errors.Is(err, reach.ErrLocal) {
			// No descriptors or ports for a moment say nothing of the backend. Taken for its refusals, they had the module take a whole
			// fleet for restarting.
			c.LocalFailures.Add(1)
			c.log.Warn("not connected", "backend", host.Name, "error", err)
			local = err
			system.Sleep(within, dialRetryDelay)
			continue
		}
		if err != nil {
			// One that is refused or reset while it is made says little: a backend that is really away refuses the next too. Told at
			// once, a rash of resets had the module take a whole fleet for restarting.
			refused++
			if refused == maxDialAttempts || ctx.Err() != nil || time.Since(began) >= limit/2 {
				return nil, nil, err
			}
			system.Sleep(within, dialRetryDelay)
			continue
		}
		if until, bounded := within.Deadline(); bounded && f.Scheduled.ConnectTimeout > 0 {
			conn.SetWriteDeadline(until) // a request that is not taken leaves a state waiting as no connection does
		}
		stop, err := c.send(ctx, f, conn, m)
		if err == nil {
			return conn, stop, nil
		}
		conn.Discard()
		if errors.Is(err, errNotSent) || errors.Is(err, errCutMidRequest) || within.Err() != nil {
			return nil, nil, err
		}
	}
}

// connectLimit is how long an attempt's connection may take.
func (c *transport) connectTimeout(f *dispatch.Attempt) time.Duration {
	if t := f.Scheduled.ConnectTimeout; t > 0 {
		return min(t, c.pools.DialTimeout)
	}
	return c.pools.DialTimeout
}

// put sends a request over a new connection, if it may still go out. Nothing but the loop can tell: a drain, the client's going or
// the end of the window for repeats may have come while the connection was made.
func (c *transport) send(ctx context.Context, f *dispatch.Attempt, conn *reach.Conn, m *outgoingRequest) (stop func() bool, err error) {
	may := c.maySend(ctx, f)
	if may != brain.Allowed {
		c.Stale.Add(1)
		c.log.Debug("attempt not sent", "id", m.id, "backend", f.Backend.Name, "number", f.Scheduled.Number, "why", may)
		return nil, errNotSent
	}
	told := f.Deadline - c.clock()
	if told <= 0 || f.Request.Over() {
		// What ends a request is looked at right here: word of it may still wait for its turn in the loop.
		c.Stale.Add(1)
		return nil, errNotSent
	}
	c.monitor.AttemptBegins(m.id, f.Backend.Name, f.Scheduled.Number, hasEffect(f), told)
	stop, err = write(ctx, conn, m.head(told), m.body)
	switch {
	case err == nil:
		c.monitor.AttemptSent(m.id, f.Scheduled.Number, hasEffect(f))
	case errors.Is(err, errCutMidRequest):
		c.monitor.AttemptEnds(m.id, f.Scheduled.Number, hasEffect(f), monitor.MayHaveRun, err.Error())
	default:
		c.monitor.AttemptEnds(m.id, f.Scheduled.Number, hasEffect(f), monitor.NeverRan, err.Error())
	}
	return stop, err
}

// maySend asks the loop, again where the process stood still meanwhile: what came by then has to be read before the answer counts.
func (c *transport) maySend(ctx context.Context, f *dispatch.Attempt) brain.Permission {
	for {
		asked, may := time.Now(), brain.RequestFinished
		if !c.loop.Call(ctx, func() { may = c.loop.MaySend(f) }) {
			return brain.RequestFinished
		}
		if may != brain.Allowed || !c.pulse.stalledSince(asked, time.Now()) {
			return may
		}
		system.Sleep(ctx, dialRetryDelay)
	}
}

// write sends a request, and has its connection closed when it is called off.
func write(ctx context.Context, conn *reach.Conn, head, body []byte) (stop func() bool, err error) {
	stop = context.AfterFunc(ctx, func() { conn.Conn.Close() })
	whole, err := conn.WriteRequest(head, body)
	if whole {
		return stop, nil
	}
	stop()
	if ctx.Err() != nil && conn.Sent() {
		return nil, errCutMidRequest
	}
	return nil, cmp.Or(err, io.ErrShortWrite)
}

// open gets a connection for an attempt within the descriptors that attempts may have.
func (c *transport) openConn(ctx context.Context, f *dispatch.Attempt, host *reach.Pool, m *outgoingRequest) (conn *reach.Conn, stop func() bool, err error) {
	if host == nil {
		return nil, nil, errNotSent // its backend is gone
	}
	waits := ctx
	if f.Scheduled.ConnectTimeout > 0 { // a state waits, for which no descriptor may be free in time
		bounded, done := context.WithTimeout(ctx, c.connectTimeout(f))
		defer done()
		waits = bounded
	}
	select {
	case c.attemptSlots <- struct{}{}:
	case <-waits.Done():
		return nil, nil, errNotSent
	}
	within, done := context.WithTimeout(waits, c.connectTimeout(f))
	defer done()
	if conn, stop, err = c.connect(ctx, within, f, host, m); err != nil {
		<-c.attemptSlots
	}
	return conn, stop, err
}

// notSent is the result of an attempt of which no backend got the last byte. Where the dispatcher itself cut the request off, it does not
// call the attempt harmless: what the backend had of it by then only the backend knows.
func notSentResult(ctx context.Context, err error) brain.Result {
	switch {
	case errors.Is(context.Cause(ctx), dispatch.ErrNotNeeded):
		return brain.Result{Outcome: brain.Cancelled}
	case errors.Is(err, errCutMidRequest):
		return brain.Result{Outcome: brain.TimedOut}
	case errors.Is(err, errNotSent), errors.Is(err, reach.ErrLocal):
		return brain.Result{Outcome: brain.NotSent}
	}
	return brain.Result{Outcome: brain.Unreachable}
}

// errNotArrived ends an attempt whose request the far machine does not acknowledge.
var errUnacknowledged = errors.New("the request is not acknowledged")

// checkArrival calls an attempt off whose request, though written whole, has not arrived: the state that it is to take goes on waiting
// meanwhile. Whether it may yet run only the backend knows.
func (c *transport) checkAcknowledged(f *dispatch.Attempt, conn *reach.Conn) {
	if system.UnacknowledgedBytes(conn.Conn) > 0 {
		c.Unacknowledged.Add(1)
		f.Cancel(errUnacknowledged)
	}
}
