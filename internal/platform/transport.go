package platform

import (
	"cmp"
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
	"sloetrestle/internal/monitor"
	"sloetrestle/internal/reach"
	"sloetrestle/internal/system"
)

const (
	headTime  = 400 * time.Millisecond  // for an answer's head, and its first events, once its first byte has come
	dialTries = 4                       // connections that are refused before a box counts as away
	dialWait  = 10 * time.Millisecond   // between them
	stallTime = 4200 * time.Millisecond // without an event, after which a stream is taken for dead
	shortMost = 64 << 10                // bytes of an answer that is no stream

	// arrivalTimes is how many times as long as for its connection a request is given to arrive, where a state waits for it.
	arrivalTimes = 2
)

// payload is what is sent of a question.
type payload struct {
	head func(wait time.Duration) []byte
	id   string
	body []byte
}

// transport takes attempts to backends.
type transport struct {
	fields  []string // of load reports
	boxes   *reach.Boxes
	loop    *dispatch.Loop
	life    context.Context
	group   *errgroup.Group
	tell    func(peer int, n brain.News)
	hosts   map[*dispatch.Box]*reach.Host // the loop's
	order   []*reach.Host                 // the same, by when they came
	log     *slog.Logger
	monitor *monitor.Monitor
	pulse   *pulse
	mu      sync.Mutex
	passed  map[string]*passed // by box: what went over its connections

	slots chan struct{}        // one for each attempt that has or makes a connection
	since func() time.Duration // the loop's clock
	releaser
	Local     atomic.Int64 // connections that this machine could not begin
	Unarrived atomic.Int64 // attempts called off, as their requests did not arrive
	Stale     atomic.Int64 // trips that were not wanted any more when their connection was there
	Spoilt    atomic.Int64 // answers that could not be read
	Strange   atomic.Int64 // answers that tell of a fault of this program: 400 and 404
}

func (c *transport) Reach(b *dispatch.Box, at []addresses.Spec) {
	h := c.boxes.Set(b.Name, at, uint64(b.Host.ID))
	c.order = slices.DeleteFunc(c.order, func(o *reach.Host) bool { return o == c.hosts[b] })
	delete(c.hosts, b)
	if len(at) > 0 {
		c.hosts[b] = h
		c.order = append(c.order, h)
	}
}

func (c *transport) Tell(peer int, n brain.News) { c.tell(peer, n) }

// passed is what went over a box's connections.
type passed struct {
	reads, writes int // requests that are out, since their last byte
	sent          int64
	load          string // its last report
}

// pass takes note of a request that went out whole, or of its end.
func (c *transport) pass(f *dispatch.Flight, out int, load string) {
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
func (c *transport) Carry(f *dispatch.Flight) {
	ctx, off := context.WithCancelCause(c.life)
	f.Off = off
	m, host := f.Asked.Matter.(*payload), c.hosts[f.Box]
	c.group.Go(func() error {
		r := c.fly(ctx, f, host, m)
		off(nil)
		close(f.Tokens)
		c.loop.Post(func() { c.loop.Ended(f, r) })
		return nil
	})
}

var (
	// errStale ends an attempt that was not sent, as it might not go out any more or had no descriptor.
	errStale = errors.New("not sent")
	// errCutOff ends an attempt that was called off while its request was being written.
	errCutOff = errors.New("called off with part of the request sent")
)

// connect gets a connection for a trip, over which all of the request has gone out; until then it can't have run.
func (c *transport) connect(ctx, within context.Context, f *dispatch.Flight, host *reach.Host, m *payload) (*reach.Conn, func() bool, error) {
	limit := c.connectLimit(f)
	var local error // why this machine could not begin the last connection
	for began, refused := time.Now(), 0; ; {
		conn, err := host.Get(within)
		if err != nil && local != nil && within.Err() != nil {
			return nil, nil, local
		}
		if local = nil; errors.Is(err, reach.ErrLocal) {
			// No descriptors or ports for a moment say nothing of the backend. Taken for its refusals, they had the module take a whole
			// fleet for restarting.
			c.Local.Add(1)
			c.log.Warn("not connected", "backend", host.Name, "error", err)
			local = err
			sleep(within, dialWait)
			continue
		}
		if err != nil {
			// One that is refused or reset while it is made says little: a box that is really away refuses the next too. Told at
			// once, a rash of resets had the module take a whole fleet for restarting.
			refused++
			if refused == dialTries || ctx.Err() != nil || time.Since(began) >= limit/2 {
				return nil, nil, err
			}
			sleep(within, dialWait)
			continue
		}
		if until, bounded := within.Deadline(); bounded && f.Trip.Connect > 0 {
			conn.SetWriteDeadline(until) // a request that is not taken leaves a state waiting as no connection does
		}
		stop, err := c.put(ctx, f, conn, m)
		if err == nil {
			return conn, stop, nil
		}
		conn.Drop()
		if errors.Is(err, errStale) || errors.Is(err, errCutOff) || within.Err() != nil {
			return nil, nil, err
		}
	}
}

// connectLimit is how long a trip's connection may take.
func (c *transport) connectLimit(f *dispatch.Flight) time.Duration {
	if t := f.Trip.Connect; t > 0 {
		return min(t, c.boxes.Limit)
	}
	return c.boxes.Limit
}

// sleep waits; false: the context ended before.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// put sends a request over a new connection, if it may still go out. Nothing but the loop can tell: a drain, the client's going or
// the end of the window for repeats may have come while the connection was made.
func (c *transport) put(ctx context.Context, f *dispatch.Flight, conn *reach.Conn, m *payload) (stop func() bool, err error) {
	may := c.maySend(ctx, f)
	if may != brain.Allowed {
		c.Stale.Add(1)
		c.log.Debug("attempt not sent", "id", m.id, "backend", f.Box.Name, "number", f.Trip.Number, "why", may)
		return nil, errStale
	}
	told := f.Until - c.since()
	c.monitor.AttemptBegins(m.id, f.Box.Name, f.Trip.Number, hasEffect(f), told)
	stop, err = write(ctx, conn, m.head(told), m.body)
	switch {
	case err == nil:
		c.monitor.AttemptSent(m.id, f.Trip.Number, hasEffect(f))
	case errors.Is(err, errCutOff):
		c.monitor.AttemptEnds(m.id, f.Trip.Number, hasEffect(f), monitor.MayHaveRun, err.Error())
	default:
		c.monitor.AttemptEnds(m.id, f.Trip.Number, hasEffect(f), monitor.NeverRan, err.Error())
	}
	return stop, err
}

// maySend asks the loop, again where the process stood still meanwhile: what came by then has to be read before the answer counts.
func (c *transport) maySend(ctx context.Context, f *dispatch.Flight) brain.Permission {
	for {
		asked, may := time.Now(), brain.RequestOver
		if !c.loop.Call(ctx, func() { may = c.loop.MaySend(f) }) {
			return brain.RequestOver
		}
		if may != brain.Allowed || !c.pulse.stalledSince(asked, time.Now()) {
			return may
		}
		sleep(ctx, dialWait)
	}
}

// write sends a request, and has its connection closed when it is called off.
func write(ctx context.Context, conn *reach.Conn, head, body []byte) (stop func() bool, err error) {
	stop = context.AfterFunc(ctx, func() { conn.Conn.Close() })
	whole, err := conn.Put(head, body)
	if whole {
		return stop, nil
	}
	stop()
	if ctx.Err() != nil && conn.Sent() {
		return nil, errCutOff
	}
	return nil, cmp.Or(err, io.ErrShortWrite)
}

// open gets a connection for a trip within the descriptors that attempts may have.
func (c *transport) open(ctx context.Context, f *dispatch.Flight, host *reach.Host, m *payload) (conn *reach.Conn, stop func() bool, err error) {
	if host == nil {
		return nil, nil, errStale // its backend is gone
	}
	waits := ctx
	if f.Trip.Connect > 0 { // a state waits, for which no descriptor may be free in time
		bounded, done := context.WithTimeout(ctx, c.connectLimit(f))
		defer done()
		waits = bounded
	}
	select {
	case c.slots <- struct{}{}:
	case <-waits.Done():
		return nil, nil, errStale
	}
	within, done := context.WithTimeout(waits, c.connectLimit(f))
	defer done()
	if conn, stop, err = c.connect(ctx, within, f, host, m); err != nil {
		<-c.slots
	}
	return conn, stop, err
}

// notSent is the result of an attempt of which no backend got the last byte. Where the dispatcher itself cut the request off, it does not
// call the attempt harmless: what the backend had of it by then only the backend knows.
func notSent(ctx context.Context, err error) brain.Result {
	switch {
	case errors.Is(context.Cause(ctx), dispatch.ErrLeft):
		return brain.Result{Outcome: brain.Cancelled}
	case errors.Is(err, errCutOff):
		return brain.Result{Outcome: brain.TimedOut}
	case errors.Is(err, errStale), errors.Is(err, reach.ErrLocal):
		return brain.Result{Outcome: brain.Moot}
	}
	return brain.Result{Outcome: brain.Unreached}
}

// errNotArrived ends an attempt whose request the far machine does not acknowledge.
var errNotArrived = errors.New("the request is not acknowledged")

// checkArrival calls an attempt off whose request, though written whole, has not arrived: the state that it is to take goes on waiting
// meanwhile. Whether it may yet run only the backend knows.
func (c *transport) checkArrival(f *dispatch.Flight, conn *reach.Conn) {
	if system.Unacknowledged(conn.Conn) > 0 {
		c.Unarrived.Add(1)
		f.Off(errNotArrived)
	}
}

// fly is one trip. Its connection is closed before its end is told.
func (c *transport) fly(ctx context.Context, f *dispatch.Flight, host *reach.Host, m *payload) (r brain.Result) {
	conn, stop, err := c.open(ctx, f, host, m)
	if err != nil {
		return notSent(ctx, err)
	}
	load := ""
	c.pass(f, 1, "")
	if limit := f.Trip.Connect; limit > 0 {
		defer time.AfterFunc(arrivalTimes*limit, func() { c.checkArrival(f, conn) }).Stop()
	}
	defer func() {
		c.pass(f, -1, load)
		stop()
		conn.Drop()
		<-c.slots
		c.monitor.AttemptEnds(m.id, f.Trip.Number, hasEffect(f), proves(r.Outcome), dispatch.OutcomeName(r.Outcome))
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
			c.monitor.Released(m.id, "its answer begins")
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
