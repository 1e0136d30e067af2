package platform

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync/atomic"
	"time"

	"sloetrestle/internal/chat"
	"sloetrestle/internal/connpool"
	"sloetrestle/internal/dispatch"
)

const (
	releaseCallTimeout = 150 * time.Millisecond // for one release call
	// releaseHedgeDelay is the wait for an answer before a further backend is called too. It doubles after
	// fastReleaseCalls calls, up to releaseCallTimeout.
	releaseHedgeDelay = 30 * time.Millisecond
	fastReleaseCalls  = 8
	releaseTimeout    = 3 * time.Second // for all calls of one release
)

// releaser counts releases of KV caches and bounds their concurrent calls.
type releaser struct {
	callSlots   chan struct{} // holds one element per call, each of which has a connection
	activity    activityList
	pending     atomic.Int64 // releases in progress
	Delivered   atomic.Int64 // releases that a backend answered
	Undelivered atomic.Int64 // releases that no backend answered
	Due         atomic.Int64 // releases of KV caches that were due while an attempt was in flight
}

// Release has the KV cache of a request released. Any backend accepts that call. The most recently active one is
// called first, and further ones are called in parallel whenever none has answered for a while, because a partitioned
// backend gives no answer at all.
func (c *transport) Release(backend *dispatch.Backend, request *dispatch.ClientRequest) {
	outgoing, _ := request.Payload.(*outgoingRequest)
	if outgoing == nil {
		return
	}
	call, targets := chat.ReleaseRequest(serviceHost, outgoing.id), c.releaseOrder(c.poolOf[backend])
	if request.AttemptInFlight() {
		c.Due.Add(1)
		c.notable.Info("releasing a KV cache that is due while its attempt is in flight",
			"id", outgoing.id, "backend", backend.Name)
	}
	c.pending.Add(1)
	c.tasks.Go(func() error {
		defer c.pending.Add(-1)
		began := time.Now()
		if c.releaseAny(targets, call) {
			c.Delivered.Add(1)
			c.monitor.CacheReleased(outgoing.id, "released")
		} else {
			c.Undelivered.Add(1)
			c.notable.Info("no backend answered a release", "id", outgoing.id, "backend", backend.Name)
		}
		c.log.Debug("release finished",
			"id", outgoing.id, "box", backend.Name, "took", time.Since(began), "asked", len(targets))
		return nil
	})
}

// releaseOrder returns the order in which backends are called: by recency of activity, with the backend that may hold
// the KV cache second at the latest. If many backends are partitioned, calls to those would otherwise take all
// descriptors and the remaining time.
func (c *transport) releaseOrder(holder *connpool.Pool) []*connpool.Pool {
	order := c.activity.byRecency()
	if holder == nil || len(order) > 0 && order[0] == holder {
		return order
	}
	order = slices.DeleteFunc(order, func(pool *connpool.Pool) bool { return pool == holder })
	return slices.Insert(order, min(1, len(order)), holder)
}

// releaseAny calls backends until one answers, and reports whether one did.
func (c *transport) releaseAny(targets []*connpool.Pool, call []byte) bool {
	ctx, cancel := context.WithTimeout(c.lifetime, releaseTimeout)
	defer cancel()
	results := make(chan releaseResult)
	next := time.NewTimer(0)
	defer next.Stop()
	var slots chan<- struct{} // nil while no call is due
	for called, delay := 0, releaseHedgeDelay; len(targets) > 0; {
		select {
		case <-ctx.Done():
			return false
		case result := <-results:
			if result == releaseDelivered {
				return true
			}
			if result == releaseNotStarted {
				called, delay = max(called-1, 0), releaseHedgeDelay // no backend was called
			}
			next.Reset(dialRetryDelay)
		case <-next.C:
			slots = c.callSlots
		case slots <- struct{}{}:
			// The backend is chosen once there is a descriptor: other releases may have found it silent meanwhile.
			slots = nil
			pool, wait := c.nextTarget(targets, called)
			if pool == nil {
				<-c.callSlots
				next.Reset(wait)
				continue
			}
			c.tasks.Go(func() error {
				result := c.release(ctx, pool, call)
				<-c.callSlots
				select {
				case results <- result:
				case <-ctx.Done():
				}
				return nil
			})
			next.Reset(delay)
			if called++; called >= fastReleaseCalls {
				delay = min(2*delay, releaseCallTimeout)
			}
		}
	}
	return false
}

// nextTarget returns the backend to call after so many calls: the next one in turn that may be called now. If there is
// none it returns how long to wait for one.
func (c *transport) nextTarget(targets []*connpool.Pool, called int) (pool *connpool.Pool, wait time.Duration) {
	now := time.Now()
	wait = maxSilentWait
	for i := range targets {
		pool := targets[(called+i)%len(targets)]
		delay := c.activity.callDelay(pool, now)
		if delay == 0 {
			return pool, 0
		}
		wait = min(wait, delay)
	}
	return nil, wait
}

// releaseResult is the result of one release call.
type releaseResult int

const (
	releaseDelivered   releaseResult = iota
	releaseUndelivered               // the backend did not answer
	releaseNotStarted                // this machine could not begin to connect, which says nothing about the backend
)

// release calls one backend.
func (c *transport) release(ctx context.Context, pool *connpool.Pool, call []byte) releaseResult {
	result := c.callRelease(ctx, pool, call)
	switch result {
	case releaseDelivered:
		c.activity.recordActivity(pool)
	case releaseUndelivered:
		c.activity.recordUnanswered(pool, time.Now())
	}
	return result
}

func (c *transport) callRelease(ctx context.Context, pool *connpool.Pool, call []byte) releaseResult {
	ctx, cancel := context.WithTimeout(ctx, releaseCallTimeout)
	defer cancel()
	conn, err := pool.Get(ctx)
	if errors.Is(err, connpool.ErrLocal) {
		return releaseNotStarted
	}
	if err != nil {
		return releaseUndelivered
	}
	defer conn.Discard()
	conn.SetDeadline(time.Now().Add(releaseCallTimeout))
	if whole, _ := conn.WriteRequest(call); !whole {
		return releaseUndelivered
	}
	resp, err := conn.ReadResponse(nil)
	if err != nil {
		return releaseUndelivered
	}
	io.Copy(io.Discard, io.LimitReader(resp.Body, maxShortBody))
	if resp.StatusCode/100 != 2 {
		return releaseUndelivered
	}
	return releaseDelivered
}
