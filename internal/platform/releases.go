package platform

import (
	"context"
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
	releaseNext = 30 * time.Millisecond  // without an answer, after which another backend is called too; doubled from the fifth on
	releaseMost = 3 * time.Second        // for all calls of one release
)

// releaser counts releases and bounds their calls.
type releaser struct {
	calls     chan struct{}              // one for each call, which has a connection
	heard     atomic.Pointer[reach.Host] // the backend that answered last
	releasing atomic.Int64               // releases that are not over
	Calls     atomic.Int64               // releases that a backend answered
	Unheard   atomic.Int64               // releases that no backend answered
}

// Release has what is held for a request released. Any backend takes that call: one that answers is asked first, then another beside
// it each time that none has answered for a while, as a backend that is cut off keeps its caller waiting.
func (c *transport) Release(b *dispatch.Box, a *dispatch.Asked) {
	m, _ := a.Matter.(*payload)
	if m == nil {
		return
	}
	call, targets := chat.LetGo(service, m.id), c.releaseOrder(c.hosts[b])
	c.releasing.Add(1)
	c.group.Go(func() error {
		defer c.releasing.Add(-1)
		began := time.Now()
		if c.releaseAny(targets, call) {
			c.Calls.Add(1)
			c.monitor.Released(m.id, "released")
		} else {
			c.Unheard.Add(1)
		}
		c.log.Debug("release over", "id", m.id, "box", b.Name, "took", time.Since(began), "asked", len(targets))
		return nil
	})
}

// releaseOrder is the order in which backends are called: the one that answered the last release, the one that may hold the state,
// and then the others from there on around. Where many backends are cut off, calls to them would else take all descriptors.
func (c *transport) releaseOrder(holder *reach.Host) []*reach.Host {
	first := max(slices.Index(c.order, holder), 0)
	order := slices.Concat(c.order[first:], c.order[:first])
	if i := slices.Index(order, c.heard.Load()); i > 0 {
		order = slices.Insert(slices.Delete(order, i, i+1), 0, c.heard.Load())
	}
	return order
}

// releaseAny calls backends until one answers.
func (c *transport) releaseAny(targets []*reach.Host, call []byte) bool {
	ctx, end := context.WithTimeout(c.life, releaseMost)
	defer end()
	heard := make(chan bool)
	next := time.NewTimer(0)
	defer next.Stop()
	for i, wait := 0, releaseNext; len(targets) > 0; {
		select {
		case <-ctx.Done():
			return false
		case ok := <-heard:
			if ok {
				return true
			}
			next.Reset(dialWait)
		case <-next.C:
			host := targets[i%len(targets)]
			c.group.Go(func() error {
				select {
				case heard <- c.release(ctx, host, call):
				case <-ctx.Done():
				}
				return nil
			})
			next.Reset(wait)
			if i++; i > 3 {
				wait = min(2*wait, releaseTry)
			}
		}
	}
	return false
}

// release calls one backend and tells whether it answered. Its time begins when there is a descriptor for the call.
func (c *transport) release(ctx context.Context, host *reach.Host, call []byte) bool {
	select {
	case c.calls <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-c.calls }()
	if !c.callRelease(ctx, host, call) {
		c.heard.CompareAndSwap(host, nil)
		return false
	}
	c.heard.Store(host)
	return true
}

func (c *transport) callRelease(ctx context.Context, host *reach.Host, call []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, releaseTry)
	defer cancel()
	conn, err := host.Get(ctx)
	if err != nil {
		return false
	}
	defer conn.Drop()
	conn.SetDeadline(time.Now().Add(releaseTry))
	if whole, _ := conn.Put(call); !whole {
		return false
	}
	resp, err := conn.Head(nil)
	if err != nil {
		return false
	}
	io.Copy(io.Discard, io.LimitReader(resp.Body, shortMost))
	return resp.StatusCode/100 == 2
}
