package platform

import (
	"cmp"
	"context"
	"errors"
	"io"
	"time"

	"sloetrestle/internal/connpool"
	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/monitor"
	"sloetrestle/internal/system"
	"sloetrestle/scheduler"
)

// This file takes an attempt from the choice of a backend to a fully written request: it gets a descriptor, opens a
// connection, obtains the final permission to send, and writes the request.

var (
	// errNotSent ends an attempt that was not sent because it was no longer permitted or no descriptor was free.
	errNotSent = errors.New("attempt not sent")
	// errCutMidRequest ends an attempt that was cancelled while its request was being written.
	errCutMidRequest = errors.New("cancelled with part of the request sent")
)

// connect opens a connection for an attempt and writes the whole request to it. A request that was not written whole
// cannot have run.
func (c *transport) connect(
	ctx, dialCtx context.Context, attempt *dispatch.Attempt, backend *connpool.Pool, request *outgoingRequest,
) (*connpool.Conn, func() bool, error) {
	limit := c.connectTimeout(attempt)
	var local error // why this machine could not open the previous connection
	for start, failures := time.Now(), 0; ; {
		conn, err := backend.Get(dialCtx)
		if err != nil && local != nil && dialCtx.Err() != nil {
			return nil, nil, local
		}
		if local = nil; errors.Is(err, connpool.ErrLocal) {
			// A momentary shortage of descriptors or ports on this machine says nothing about the backend. Counted as
			// refused connections, such errors made the scheduler treat a whole fleet as restarting.
			c.LocalFailures.Add(1)
			c.log.Warn("cannot open a connection: local error", "backend", backend.Name, "error", err)
			local = err
			system.Sleep(dialCtx, dialRetryDelay)
			continue
		}
		if err != nil {
			// A single connection that is refused or reset while it is opened says little: a backend that is really
			// down refuses the next one too. Reported at once, a burst of resets made the scheduler treat a whole fleet
			// as restarting.
			failures++
			if failures == maxDialAttempts || ctx.Err() != nil || time.Since(start) >= limit/2 {
				return nil, nil, err
			}
			system.Sleep(dialCtx, dialRetryDelay)
			continue
		}
		if deadline, bounded := dialCtx.Deadline(); bounded && attempt.Scheduled.ConnectTimeout > 0 {
			// While a backend does not read the request a KV cache keeps waiting, as it would without a connection.
			conn.SetWriteDeadline(deadline)
		}
		stop, err := c.send(ctx, attempt, conn, request)
		if err == nil {
			return conn, stop, nil
		}
		conn.Discard()
		if errors.Is(err, errNotSent) || errors.Is(err, errCutMidRequest) || dialCtx.Err() != nil {
			return nil, nil, err
		}
	}
}

// connectTimeout returns how long opening a connection for an attempt may take.
func (c *transport) connectTimeout(attempt *dispatch.Attempt) time.Duration {
	if timeout := attempt.Scheduled.ConnectTimeout; timeout > 0 {
		return min(timeout, c.pools.DialTimeout)
	}
	return c.pools.DialTimeout
}

// send writes a request to a new connection if the attempt may still be sent. Only the event loop can tell: the backend
// may have begun to drain, the client may have gone or the window for repeats may have ended while the connection was
// being opened.
func (c *transport) send(
	ctx context.Context, attempt *dispatch.Attempt, conn *connpool.Conn, request *outgoingRequest,
) (stop func() bool, err error) {
	permission := c.maySend(ctx, attempt)
	if permission != scheduler.Allowed {
		c.Stale.Add(1)
		c.log.Debug("attempt not sent", "id", request.id, "backend", attempt.Backend.Name,
			"number", attempt.Scheduled.Number, "why", permission)
		return nil, errNotSent
	}
	timeout := attempt.Deadline - c.clock()
	if timeout <= 0 || attempt.Request.Over() {
		// The end of a request is checked right here, as the event loop may not have processed it yet.
		c.Stale.Add(1)
		return nil, errNotSent
	}
	c.monitor.AttemptBegins(request.id, attempt.Backend.Name, attempt.Scheduled.Number, hasEffect(attempt), timeout)
	stop, err = write(ctx, conn, request.head(timeout), request.body)
	switch {
	case err == nil:
		c.monitor.AttemptSent(request.id, attempt.Scheduled.Number, hasEffect(attempt))
	case errors.Is(err, errCutMidRequest):
		c.monitor.AttemptEnds(request.id, attempt.Scheduled.Number, hasEffect(attempt), monitor.MayHaveRun, err.Error())
	default:
		c.monitor.AttemptEnds(request.id, attempt.Scheduled.Number, hasEffect(attempt), monitor.NeverRan, err.Error())
	}
	return stop, err
}

// maySend asks the event loop for permission to send, again if the process stalled meanwhile: events that arrived
// during the stall must be processed before the answer counts.
func (c *transport) maySend(ctx context.Context, attempt *dispatch.Attempt) scheduler.Permission {
	for {
		start, permission := time.Now(), scheduler.RequestFinished
		if !c.loop.Call(ctx, func() { permission = c.loop.MaySend(attempt) }) {
			return scheduler.RequestFinished
		}
		if permission != scheduler.Allowed || !c.stalls.stalledSince(start, time.Now()) {
			return permission
		}
		system.Sleep(ctx, dialRetryDelay)
	}
}

// write writes a request, and closes its connection when the context is cancelled.
func write(ctx context.Context, conn *connpool.Conn, head, body []byte) (stop func() bool, err error) {
	stop = context.AfterFunc(ctx, func() { conn.Conn.Close() })
	complete, err := conn.WriteRequest(head, body)
	if complete {
		return stop, nil
	}
	stop()
	if ctx.Err() != nil && conn.Sent() {
		return nil, errCutMidRequest
	}
	return nil, cmp.Or(err, io.ErrShortWrite)
}

// openConn opens a connection for an attempt within the limit on descriptors for attempts, and writes the request to
// it.
func (c *transport) openConn(
	ctx context.Context, attempt *dispatch.Attempt, backend *connpool.Pool, request *outgoingRequest,
) (conn *connpool.Conn, stop func() bool, err error) {
	if backend == nil {
		return nil, nil, errNotSent // its backend has been removed
	}
	waitCtx := ctx
	if attempt.Scheduled.ConnectTimeout > 0 { // a KV cache is waiting, and a descriptor may not become free in time
		bounded, cancel := context.WithTimeout(ctx, c.connectTimeout(attempt))
		defer cancel()
		waitCtx = bounded
	}
	select {
	case c.attemptSlots <- struct{}{}:
	case <-waitCtx.Done():
		return nil, nil, errNotSent
	}
	dialCtx, cancel := context.WithTimeout(waitCtx, c.connectTimeout(attempt))
	defer cancel()
	if conn, stop, err = c.connect(ctx, dialCtx, attempt, backend, request); err != nil {
		<-c.attemptSlots
	}
	return conn, stop, err
}

// notSentResult returns the result of an attempt whose request was not written to its last byte. If the dispatcher
// itself cut the request off, the attempt is not reported as harmless: only the backend knows what it had received by
// then.
func notSentResult(ctx context.Context, err error) scheduler.Result {
	switch {
	case errors.Is(context.Cause(ctx), dispatch.ErrNotNeeded):
		return scheduler.Result{Outcome: scheduler.Cancelled}
	case errors.Is(err, errCutMidRequest):
		return scheduler.Result{Outcome: scheduler.TimedOut}
	case errors.Is(err, errNotSent), errors.Is(err, connpool.ErrLocal):
		return scheduler.Result{Outcome: scheduler.NotSent}
	}
	return scheduler.Result{Outcome: scheduler.Unreachable}
}

// errUnacknowledged ends an attempt whose request the backend's host has not acknowledged.
var errUnacknowledged = errors.New("the backend has not acknowledged the request")

// checkAcknowledged cancels an attempt whose request was written whole but has not been acknowledged: the KV cache that
// it is to take keeps waiting. Only the backend knows whether the request may still run.
func (c *transport) checkAcknowledged(attempt *dispatch.Attempt, conn *connpool.Conn) {
	if system.UnacknowledgedBytes(conn.Conn) > 0 {
		c.Unacknowledged.Add(1)
		attempt.Cancel(errUnacknowledged)
	}
}
