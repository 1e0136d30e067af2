package platform

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"sloetrestle/brain"
	"sloetrestle/internal/addresses"
	"sloetrestle/internal/chat"
	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/reach"
)

const (
	headTime  = 400 * time.Millisecond  // for an answer's head, and its first events, once its first byte has come
	dialTries = 4                       // connections that are refused before a box counts as away
	dialWait  = 10 * time.Millisecond   // between them
	stallTime = 4200 * time.Millisecond // without an event, after which a stream is taken for dead
	shortMost = 64 << 10                // bytes of an answer that is no stream
	waitedFor = time.Millisecond        // for a connection, after which the loop is asked whether the trip is still wanted
	letGoTry  = 150 * time.Millisecond  // for one call that releases
	letGoNext = 30 * time.Millisecond   // without an answer, after which another box is called too; doubled from the fifth on
	letGoFor  = 3 * time.Second         // for all of them
	letGoMost = 64                      // calls that wait for an answer at a time
)

// matter is what is sent of a question.
type matter struct {
	head func(wait time.Duration) []byte
	id   string
	body []byte
}

// carrier takes trips to boxes.
type carrier struct {
	fields []string // of load reports
	boxes  *reach.Boxes
	loop   *dispatch.Loop
	life   context.Context
	group  *errgroup.Group
	tell   func(peer int, n brain.News)
	hosts  map[*dispatch.Box]*reach.Host // the loop's
	order  []*reach.Host                 // the same, by when they came
	log    *slog.Logger
	mu     sync.Mutex
	passed map[string]*passed // by box: what went over its connections

	calls   chan struct{} // one for each call that waits
	Calls   atomic.Int64  // that released
	Unheard atomic.Int64  // that no box answered
	Stale   atomic.Int64  // trips that were not wanted any more when their connection was there
	Spoilt  atomic.Int64  // answers that could not be read
	Strange atomic.Int64  // answers that tell of a fault of this program: 400 and 404
}

func (c *carrier) Reach(b *dispatch.Box, at []addresses.Spec) {
	h := c.boxes.Set(b.Name, at, uint64(b.Host.ID))
	c.order = slices.DeleteFunc(c.order, func(o *reach.Host) bool { return o == c.hosts[b] })
	delete(c.hosts, b)
	if len(at) > 0 {
		c.hosts[b] = h
		c.order = append(c.order, h)
	}
}

func (c *carrier) Tell(peer int, n brain.News) { c.tell(peer, n) }

// passed is what went over a box's connections.
type passed struct {
	reads, writes int // requests that are out, since their last byte
	sent          int64
	load          string // its last report
}

// pass takes note of a request that went out whole, or of its end.
func (c *carrier) pass(f *dispatch.Flight, out int, load string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.passed[f.Box.Name]
	if p == nil {
		p = &passed{}
		c.passed[f.Box.Name] = p
	}
	if f.Trip.Stage == brain.ToRead {
		p.reads += out
	} else {
		p.writes += out
	}
	if out > 0 {
		p.sent++
	}
	if load != "" {
		p.load = load
	}
}

// Carry starts a trip.
func (c *carrier) Carry(f *dispatch.Flight) {
	ctx, off := context.WithCancelCause(c.life)
	f.Off = off
	m, host := f.Asked.Matter.(*matter), c.hosts[f.Box]
	c.group.Go(func() error {
		r := c.fly(ctx, f, host, m)
		off(nil)
		close(f.Tokens)
		c.loop.Post(func() { c.loop.Ended(f, r) })
		return nil
	})
}

// connect gets a connection for a trip, over which all of the request has gone out; until then it can't have run.
func (c *carrier) connect(ctx context.Context, f *dispatch.Flight, host *reach.Host, m *matter) (*reach.Conn, func() bool) {
	began, tries, limit := time.Now(), 0, c.boxes.Limit
	if t := f.Trip.Connect; t > 0 && t < limit {
		limit = t
	}
	within, done := context.WithTimeout(ctx, limit)
	defer done()
	for host != nil {
		conn, err := host.Get(within)
		if err != nil {
			// One that is refused or reset while it is made says little: a box that is really away refuses the next too. Told at
			// once, a rash of resets had the module take a whole fleet for restarting.
			if tries++; tries < dialTries && ctx.Err() == nil && time.Since(began) < limit/2 {
				time.Sleep(dialWait)
				continue
			}
			return nil, nil
		}
		if time.Since(began) > waitedFor {
			wanted := false
			c.loop.Call(ctx, func() { wanted = c.loop.Wanted(f) })
			if !wanted {
				c.Stale.Add(1)
				conn.Drop()
				return nil, nil
			}
		}
		stop := context.AfterFunc(ctx, func() { conn.Conn.Close() })
		whole, _ := conn.Put(m.head(f.Wait-time.Since(began)), m.body)
		if whole {
			return conn, stop
		}
		stop()
		conn.Drop()
		if ctx.Err() != nil || time.Since(began) > limit {
			return nil, nil
		}
	}
	return nil, nil
}

// fly is one trip. Its connection is closed before its end is told.
func (c *carrier) fly(ctx context.Context, f *dispatch.Flight, host *reach.Host, m *matter) (r brain.Result) {
	conn, stop := c.connect(ctx, f, host, m)
	if conn == nil {
		if errors.Is(context.Cause(ctx), dispatch.ErrLeft) {
			return brain.Result{Outcome: brain.Cancelled}
		}
		return brain.Result{Outcome: brain.Unreached}
	}
	load := ""
	c.pass(f, 1, "")
	defer func() {
		c.pass(f, -1, load)
		stop()
		conn.Drop()
	}()
	broken := func() brain.Result {
		switch cause := context.Cause(ctx); {
		case errors.Is(cause, dispatch.ErrLate):
			return brain.Result{Outcome: brain.TimedOut}
		case errors.Is(cause, dispatch.ErrLeft):
			return brain.Result{Outcome: brain.Cancelled}
		}
		return brain.Result{Outcome: brain.Broken}
	}
	if _, err := conn.Bytes().Peek(1); err != nil {
		return broken()
	}
	conn.SetReadDeadline(time.Now().Add(headTime))
	var resp *http.Response
	for range chat.InformMost {
		var err error
		if resp, err = conn.Head(nil); err != nil {
			c.Spoilt.Add(1)
			return broken()
		}
		if resp.StatusCode >= 200 || resp.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	if resp.StatusCode != http.StatusOK || f.Trip.Stage == brain.ToRead {
		body, err := io.ReadAll(io.LimitReader(resp.Body, shortMost+1))
		if err != nil || len(body) > shortMost {
			c.Spoilt.Add(1)
			return broken()
		}
		if resp.StatusCode == http.StatusBadRequest || resp.StatusCode == http.StatusNotFound {
			// The question is at fault, not the box: it must not speak against the box, and no other would take it either.
			c.Strange.Add(1)
			f.Unfit = true
			return brain.Result{Outcome: brain.Cancelled}
		}
		r.Outcome, r.Note = chat.Outcome(f.Trip.Stage, resp, body)
		load = resp.Header.Get("X-Server-Load")
		r.Load = chat.Load(load, c.fields)
		return r
	}
	if len(resp.TransferEncoding) != 1 || resp.TransferEncoding[0] != "chunked" {
		c.Spoilt.Add(1)
		return broken()
	}
	stream := chat.NewStream(conn.Bytes())
	for begun := false; ; {
		piece, err := stream.Next()
		if err == io.EOF {
			if load = stream.Report; load == "" {
				load = resp.Header.Get("X-Server-Load")
			}
			return brain.Result{Outcome: brain.Answered, Note: stream.Kept, Load: chat.Load(load, c.fields)}
		}
		if err != nil {
			if errors.Is(err, chat.ErrSpoilt) {
				c.Spoilt.Add(1)
			}
			return broken()
		}
		if !begun {
			begun = true
			c.loop.Post(func() { c.loop.Began(f) })
		}
		conn.SetReadDeadline(time.Now().Add(stallTime))
		select {
		case f.Tokens <- piece:
		case <-ctx.Done():
			return broken()
		}
	}
}

// Release has what is held for a question let go. Any box takes that call: the one that may hold it is asked first, then another
// beside it each time that none has answered for a while, as a box that is cut off keeps its caller waiting.
func (c *carrier) Release(b *dispatch.Box, a *dispatch.Asked) {
	m, _ := a.Matter.(*matter)
	if m == nil {
		return
	}
	call := chat.LetGo(service, m.id)
	// From there on around, so that not all calls go to one box.
	first := max(slices.Index(c.order, c.hosts[b]), 0)
	at := slices.Concat(c.order[first:], c.order[:first])
	c.group.Go(func() error {
		select {
		case c.calls <- struct{}{}:
		case <-c.life.Done():
			return nil
		}
		defer func() { <-c.calls }()
		began := time.Now()
		if c.letGoAny(at, call) {
			c.Calls.Add(1)
		} else {
			c.Unheard.Add(1)
		}
		c.log.Debug("release over", "id", m.id, "box", b.Name, "took", time.Since(began))
		return nil
	})
}

// letGoAny calls boxes until one answers.
func (c *carrier) letGoAny(at []*reach.Host, call []byte) bool {
	ctx, end := context.WithTimeout(c.life, letGoFor)
	defer end()
	heard := make(chan bool)
	next := time.NewTimer(0)
	defer next.Stop()
	for i, wait := 0, letGoNext; len(at) > 0; {
		select {
		case <-ctx.Done():
			return false
		case ok := <-heard:
			if ok {
				return true
			}
			next.Reset(dialWait)
		case <-next.C:
			h := at[i%len(at)]
			c.group.Go(func() error {
				select {
				case heard <- c.letGo(ctx, h, call):
				case <-ctx.Done():
				}
				return nil
			})
			next.Reset(wait)
			if i++; i > 3 {
				wait = min(2*wait, letGoTry)
			}
		}
	}
	return false
}

func (c *carrier) letGo(ctx context.Context, h *reach.Host, call []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, letGoTry)
	defer cancel()
	conn, err := h.Get(ctx)
	if err != nil {
		return false
	}
	defer conn.Drop()
	conn.SetDeadline(time.Now().Add(letGoTry))
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
