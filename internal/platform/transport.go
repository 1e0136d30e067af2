package platform

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
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
)

const (
	headTime        = 400 * time.Millisecond  // for an answer's head, and its first events, once its first byte has come
	maxDialAttempts = 4                       // connections that are refused before a backend counts as away
	dialRetryDelay  = 10 * time.Millisecond   // between them
	stallTime       = 4200 * time.Millisecond // without an event, after which a stream is taken for dead
	shortMost       = 64 << 10                // bytes of an answer that is no stream

	// arrivalTimes is how many times as long as for its connection a request is given to arrive, where a state waits for it.
	arrivalTimes = 2
)

// payload is what is sent of a request.
type outgoingRequest struct {
	head func(wait time.Duration) []byte
	id   string
	body []byte
}

// transport takes attempts to backends.
type transport struct {
	fields  []string // of load reports
	pools   *reach.Manager
	loop    *dispatch.Loop
	life    context.Context
	group   *errgroup.Group
	tell    func(peer int, n brain.PeerUpdate)
	hosts   map[*dispatch.Backend]*reach.Pool // the loop's
	log     *slog.Logger
	notable *notableLog
	monitor *monitor.Monitor
	pulse   *stallDetector
	mu      sync.Mutex
	passed  map[string]*passed // by backend: what went over its connections

	attemptSlots chan struct{}        // one for each attempt that has or makes a connection
	clock        func() time.Duration // the loop's clock
	releaser
	LocalFailures  atomic.Int64 // connections that this machine could not begin
	Unacknowledged atomic.Int64 // attempts called off, as their requests did not arrive
	Stale          atomic.Int64 // attempts that were not wanted any more when their connection was there
	Spoilt         atomic.Int64 // answers that could not be read
	Strange        atomic.Int64 // answers that tell of a fault of this program: 400 and 404
}

func (c *transport) SetAddresses(b *dispatch.Backend, at []addresses.Spec) {
	h := c.pools.SetAddresses(b.Name, at, uint64(b.SchedulerState.ID))
	if len(at) == 0 {
		delete(c.hosts, b)
		c.heard.remove(h)
		return
	}
	c.hosts[b] = h
	c.heard.add(h, failureDomain{b.SchedulerState.Role, b.SchedulerState.Zone})
}

func (c *transport) SendPeerUpdate(peer int, n brain.PeerUpdate) { c.tell(peer, n) }

// passed is what went over a backend's connections.
type passed struct {
	reads, writes int // requests that are out, since their last byte
	sent          int64
	load          string // its last report
}

// pass takes note of a request that went out whole, or of its end.
func (c *transport) pass(f *dispatch.Attempt, out int, load string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.passed[f.Backend.Name]
	if p == nil {
		p = &passed{}
		c.passed[f.Backend.Name] = p
	}
	if f.Scheduled.Stage == brain.StagePrefill {
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

// Start starts an attempt.
func (c *transport) Start(f *dispatch.Attempt) {
	ctx, off := context.WithCancelCause(c.life)
	f.Cancel = off
	m, host := f.Request.Payload.(*outgoingRequest), c.hosts[f.Backend]
	c.group.Go(func() error {
		r := c.fly(ctx, f, host, m)
		off(nil)
		close(f.Tokens)
		c.tellEnd(f, m.id, r)
		return nil
	})
}

// tellEnd tells the loop of an attempt's end, and how long ago that was once it is its turn.
func (c *transport) tellEnd(f *dispatch.Attempt, id string, r brain.Result) {
	ended := c.clock()
	switch r.Outcome {
	case brain.TimedOut, brain.ConnectionLost, brain.Unreachable:
		c.notable.Info("an attempt has failed", "id", id, "backend", f.Backend.Name, "stage", f.Stage(), "number", f.Scheduled.Number,
			"outcome", dispatch.OutcomeName(r.Outcome), "arrived", f.ResponseStarted.Load(), "wait", f.Timeout)
	}
	c.loop.Post(func() {
		r.Delay = c.clock() - ended
		c.loop.AttemptEnded(f, r)
	})
}

// fly is one attempt. Its connection is closed before its end is told.
func (c *transport) fly(ctx context.Context, f *dispatch.Attempt, host *reach.Pool, m *outgoingRequest) (r brain.Result) {
	conn, stop, err := c.openConn(ctx, f, host, m)
	if err != nil {
		return notSentResult(ctx, err)
	}
	load := ""
	c.pass(f, 1, "")
	if limit := f.Scheduled.ConnectTimeout; limit > 0 {
		defer time.AfterFunc(arrivalTimes*limit, func() { c.checkAcknowledged(f, conn) }).Stop()
	}
	defer func() {
		c.pass(f, -1, load)
		stop()
		conn.Discard()
		<-c.attemptSlots
		c.monitor.AttemptEnds(m.id, f.Scheduled.Number, hasEffect(f), proves(r.Outcome), dispatch.OutcomeName(r.Outcome))
	}()
	broken := func() brain.Result {
		switch cause := context.Cause(ctx); {
		case errors.Is(cause, dispatch.ErrAttemptTimeout):
			return brain.Result{Outcome: brain.TimedOut}
		case errors.Is(cause, dispatch.ErrNotNeeded):
			return brain.Result{Outcome: brain.Cancelled}
		}
		return brain.Result{Outcome: brain.ConnectionLost}
	}
	if _, err := conn.Reader().Peek(1); err != nil {
		c.heard.silent(host)
		return broken()
	}
	f.ResponseStarted.Store(true) // nothing else shows that the request has come to a running backend
	c.heard.heard(host)
	c.monitor.AttemptArrived(m.id, f.Scheduled.Number)
	conn.SetReadDeadline(time.Now().Add(headTime))
	var resp *http.Response
	for range chat.MaxInformational {
		var err error
		if resp, err = conn.ReadResponse(nil); err != nil {
			c.Spoilt.Add(1)
			return broken()
		}
		if resp.StatusCode >= 200 || resp.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	if resp.StatusCode != http.StatusOK || f.Scheduled.Stage == brain.StagePrefill {
		body, err := io.ReadAll(io.LimitReader(resp.Body, shortMost+1))
		if err != nil || len(body) > shortMost {
			c.Spoilt.Add(1)
			return broken()
		}
		if resp.StatusCode == http.StatusBadRequest || resp.StatusCode == http.StatusNotFound {
			// The request is at fault, not the backend: it must not speak against the backend, and no other would take it either.
			c.Strange.Add(1)
			f.RequestInvalid = true
			return brain.Result{Outcome: brain.Cancelled}
		}
		r.Outcome, r.Detail = chat.ClassifyResponse(f.Scheduled.Stage, resp, body)
		load = resp.Header.Get("X-Server-Load")
		r.LoadReport = chat.ParseLoad(load, c.fields)
		return r
	}
	if len(resp.TransferEncoding) != 1 || resp.TransferEncoding[0] != "chunked" {
		c.Spoilt.Add(1)
		return broken()
	}
	stream := chat.NewStream(conn.Reader())
	for begun := false; ; {
		piece, err := stream.Next()
		if err == io.EOF {
			if load = stream.LoadReport; load == "" {
				load = resp.Header.Get("X-Server-Load")
			}
			return brain.Result{Outcome: brain.Served, Detail: stream.CachedTokens, LoadReport: chat.ParseLoad(load, c.fields)}
		}
		if err != nil {
			if errors.Is(err, chat.ErrMalformed) {
				c.Spoilt.Add(1)
			}
			return broken()
		}
		if !begun {
			begun = true
			c.monitor.CacheReleased(m.id, "its answer begins")
			c.loop.Post(func() { c.loop.AttemptBegan(f) })
		}
		c.heard.heard(host)
		conn.SetReadDeadline(time.Now().Add(stallTime))
		select {
		case f.Tokens <- piece:
		case <-ctx.Done():
			return broken()
		}
	}
}
