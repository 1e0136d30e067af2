package platform

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync/atomic"
	"time"

	"sloetrestle/internal/chat"
	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/reach"
)

const (
	releaseTry  = 150 * time.Millisecond // for one call that releases
	releaseNext = 30 * time.Millisecond  // without an answer, after which another backend is called too; doubled from the ninth on
	releaseMost = 3 * time.Second        // for all calls of one release
	releaseFew  = 8                      // calls that begin one soon after the other
)

// releaser counts releases and bounds their calls.
type releaser struct {
	calls     chan struct{} // one for each call, which has a connection
	heard     heardList
	releasing atomic.Int64 // releases that are not over
	Calls     atomic.Int64 // releases that a backend answered
	Unheard   atomic.Int64 // releases that no backend answered
	Due       atomic.Int64 // releases of states that were due with an attempt out
}

// Release has what is held for a request released. Any backend takes that call: the one that was heard last is asked first, then another
// beside it each time that none has answered for a while, as a backend that is cut off keeps its caller waiting.
func (c *transport) Release(b *dispatch.Backend, a *dispatch.ClientRequest) {
	m, _ := a.Payload.(*outgoingRequest)
	if m == nil {
		return
	}
	call, targets := chat.ReleaseRequest(serviceHost, m.id), c.releaseOrder(c.hosts[b])
	if a.AttemptInFlight() {
		c.Due.Add(1)
		c.notable.Info("a state is due: released beside an attempt that has no answer", "id", m.id, "backend", b.Name)
	}
	c.releasing.Add(1)
	c.group.Go(func() error {
		defer c.releasing.Add(-1)
		began := time.Now()
		if c.releaseAny(targets, call) {
			c.Calls.Add(1)
			c.monitor.CacheReleased(m.id, "released")
		} else {
			c.Unheard.Add(1)
			c.notable.Info("no backend has heard a release", "id", m.id, "backend", b.Name)
		}
		c.log.Debug("release over", "id", m.id, "box", b.Name, "took", time.Since(began), "asked", len(targets))
		return nil
	})
}

// releaseOrder is the order in which backends are called: those heard last, and second the one that may hold the state. Where many
// backends are cut off, calls to them would else take all descriptors, and the time that is left.
func (c *transport) releaseOrder(holder *reach.Pool) []*reach.Pool {
	order := c.heard.lastHeard()
	if holder == nil || len(order) > 0 && order[0] == holder {
		return order
	}
	order = slices.DeleteFunc(order, func(h *reach.Pool) bool { return h == holder })
	return slices.Insert(order, min(1, len(order)), holder)
}

// releaseAny calls backends until one answers.
func (c *transport) releaseAny(targets []*reach.Pool, call []byte) bool {
	ctx, end := context.WithTimeout(c.life, releaseMost)
	defer end()
	heard := make(chan releaseResult)
	next := time.NewTimer(0)
	defer next.Stop()
	for asked, wait := 0, releaseNext; len(targets) > 0; {
		select {
		case <-ctx.Done():
			return false
		case result := <-heard:
			if result == releaseHeard {
				return true
			}
			if result == releaseNotBegun {
				asked, wait = max(asked-1, 0), releaseNext // nobody was asked
			}
			next.Reset(dialRetryDelay)
		case <-next.C:
			host := targets[asked%len(targets)]
			c.group.Go(func() error {
				select {
				case heard <- c.release(ctx, host, call):
				case <-ctx.Done():
				}
				return nil
			})
			next.Reset(wait)
			if asked++; asked >= releaseFew {
				wait = min(2*wait, releaseTry)
			}
		}
	}
	return false
}

// releaseResult is what came of one call that releases.
type releaseResult int

const (
	releaseHeard    releaseResult = iota
	releaseUnheard                // the backend did not answer it
	releaseNotBegun               // this machine could not begin to connect, which says nothing of the backend
)

// release calls one backend. Its time begins when there is a descriptor for the call.
func (c *transport) release(ctx context.Context, host *reach.Pool, call []byte) releaseResult {
	select {
	case c.calls <- struct{}{}:
	case <-ctx.Done():
		return releaseNotBegun
	}
	defer func() { <-c.calls }()
	result := c.callRelease(ctx, host, call)
	switch result {
	case releaseHeard:
		c.heard.heard(host)
	case releaseUnheard:
		c.heard.silent(host)
	}
	return result
}

func (c *transport) callRelease(ctx context.Context, host *reach.Pool, call []byte) releaseResult {
	ctx, cancel := context.WithTimeout(ctx, releaseTry)
	defer cancel()
	conn, err := host.Get(ctx)
	if errors.Is(err, reach.ErrLocal) {
		return releaseNotBegun
	}
	if err != nil {
		return releaseUnheard
	}
	defer conn.Discard()
	conn.SetDeadline(time.Now().Add(releaseTry))
	if whole, _ := conn.WriteRequest(call); !whole {
		return releaseUnheard
	}
	resp, err := conn.ReadResponse(nil)
	if err != nil {
		return releaseUnheard
	}
	io.Copy(io.Discard, io.LimitReader(resp.Body, shortMost))
	if resp.StatusCode/100 != 2 {
		return releaseUnheard
	}
	return releaseHeard
}
