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

	"sloetrestle/internal/addresses"
	"sloetrestle/internal/chat"
	"sloetrestle/internal/connpool"
	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/monitor"
	"sloetrestle/scheduler"
)

const (
	responseHeadTimeout = 400 * time.Millisecond  // from a response's first byte to its first event or the end of its body
	maxDialAttempts     = 4                       // refused connections before a backend counts as unreachable
	dialRetryDelay      = 10 * time.Millisecond   // between two of them
	streamStallTimeout  = 4200 * time.Millisecond // without an event, after which a stream counts as broken
	maxShortBody        = 64 << 10                // bytes of a response body that is not streamed

	// ackTimeoutFactor times the connect timeout is how long the backend's machine has to acknowledge a request while
	// a KV cache waits.
	ackTimeoutFactor = 2
)

// outgoingRequest is what is sent to a backend for a client's request.
type outgoingRequest struct {
	head func(timeout time.Duration) []byte // the request head, which states the time remaining
	id   string
	body []byte
}

// transport sends attempts and releases to backends.
type transport struct {
	loadFields []string // of load reports
	pools      *connpool.Manager
	loop       *dispatch.Loop
	lifetime   context.Context
	tasks      *errgroup.Group
	sendToPeer func(peer int, update scheduler.PeerUpdate)
	poolOf     map[*dispatch.Backend]*connpool.Pool // used by the event loop only
	log        *slog.Logger
	notable    *notableLog
	monitor    *monitor.Monitor
	stalls     *stallDetector
	mu         sync.Mutex
	traffic    map[string]*backendTraffic // by backend name

	attemptSlots chan struct{}        // holds one element per attempt that has or makes a connection
	clock        func() time.Duration // the event loop's clock
	releaser
	LocalFailures  atomic.Int64 // connections that this machine could not begin
	Unacknowledged atomic.Int64 // attempts cancelled because their requests were not acknowledged
	Stale          atomic.Int64 // attempts that were no longer wanted when their connection was established
	Malformed      atomic.Int64 // responses that could not be parsed
	BadRequest     atomic.Int64 // 400 and 404 responses, which point at a fault of this program
}

// SetAddresses sets the addresses of a backend. None means that it was removed.
func (c *transport) SetAddresses(backend *dispatch.Backend, specs []addresses.Spec) {
	pool := c.pools.SetAddresses(backend.Name, specs, uint64(backend.SchedulerState.ID))
	if len(specs) == 0 {
		delete(c.poolOf, backend)
		c.activity.remove(pool)
		return
	}
	c.poolOf[backend] = pool
	c.activity.add(pool, failureDomain{backend.SchedulerState.Role, backend.SchedulerState.Zone})
}

// SendPeerUpdate sends an update to a peer.
func (c *transport) SendPeerUpdate(peer int, update scheduler.PeerUpdate) { c.sendToPeer(peer, update) }

// backendTraffic counts the requests sent to one backend.
type backendTraffic struct {
	prefills, decodes int // requests in flight, from their last byte on
	sent              int64
	load              string // the last load report
}

// recordTraffic counts a request that was sent completely, or the end of one.
func (c *transport) recordTraffic(attempt *dispatch.Attempt, delta int, load string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	traffic := c.traffic[attempt.Backend.Name]
	if traffic == nil {
		traffic = &backendTraffic{}
		c.traffic[attempt.Backend.Name] = traffic
	}
	if attempt.Scheduled.Stage == scheduler.StagePrefill {
		traffic.prefills += delta
	} else {
		traffic.decodes += delta
	}
	if delta > 0 {
		traffic.sent++
	}
	if load != "" {
		traffic.load = load
	}
}

// Start starts an attempt.
func (c *transport) Start(attempt *dispatch.Attempt) {
	ctx, cancel := context.WithCancelCause(c.lifetime)
	attempt.Cancel = cancel
	outgoing, pool := attempt.Request.Payload.(*outgoingRequest), c.poolOf[attempt.Backend]
	c.tasks.Go(func() error {
		result := c.perform(ctx, attempt, pool, outgoing)
		cancel(nil)
		close(attempt.Tokens)
		c.reportEnd(attempt, outgoing.id, result)
		return nil
	})
}

// reportEnd posts the end of an attempt to the event loop, with how long ago it was by the time that the loop handles
// it.
func (c *transport) reportEnd(attempt *dispatch.Attempt, id string, result scheduler.Result) {
	ended := c.clock()
	switch result.Outcome {
	case scheduler.TimedOut, scheduler.ConnectionLost, scheduler.Unreachable:
		c.notable.Info("attempt failed", "id", id, "backend", attempt.Backend.Name, "stage", attempt.Stage(),
			"number", attempt.Scheduled.Number, "outcome", dispatch.OutcomeName(result.Outcome),
			"arrived", attempt.ResponseStarted.Load(), "wait", attempt.Timeout)
	}
	c.loop.Post(func() {
		result.Delay = c.clock() - ended
		c.loop.AttemptEnded(attempt, result)
	})
}

// perform carries out one attempt. Its connection is closed before its end is reported.
func (c *transport) perform(
	ctx context.Context, attempt *dispatch.Attempt, pool *connpool.Pool, outgoing *outgoingRequest,
) (result scheduler.Result) {
	conn, stop, err := c.openConn(ctx, attempt, pool, outgoing)
	if err != nil {
		return notSentResult(ctx, err)
	}
	load := ""
	c.recordTraffic(attempt, 1, "")
	if limit := attempt.Scheduled.ConnectTimeout; limit > 0 {
		defer time.AfterFunc(ackTimeoutFactor*limit, func() { c.checkAcknowledged(attempt, conn) }).Stop()
	}
	defer func() {
		c.recordTraffic(attempt, -1, load)
		stop()
		conn.Discard()
		<-c.attemptSlots
		c.monitor.AttemptEnds(outgoing.id, attempt.Scheduled.Number, hasEffect(attempt),
			provenEnd(result.Outcome), dispatch.OutcomeName(result.Outcome))
	}()
	interrupted := func() scheduler.Result {
		switch cause := context.Cause(ctx); {
		case errors.Is(cause, dispatch.ErrAttemptTimeout):
			return scheduler.Result{Outcome: scheduler.TimedOut}
		case errors.Is(cause, dispatch.ErrNotNeeded):
			return scheduler.Result{Outcome: scheduler.Cancelled}
		}
		return scheduler.Result{Outcome: scheduler.ConnectionLost}
	}
	if _, err := conn.Reader().Peek(1); err != nil {
		c.activity.recordSilence(pool)
		return interrupted()
	}
	attempt.ResponseStarted.Store(true) // only a response shows that the request has reached a running backend
	c.activity.recordActivity(pool)
	c.monitor.AttemptArrived(outgoing.id, attempt.Scheduled.Number)
	conn.SetReadDeadline(time.Now().Add(responseHeadTimeout))
	var resp *http.Response
	for range chat.MaxInformational {
		var err error
		if resp, err = conn.ReadResponse(nil); err != nil {
			c.Malformed.Add(1)
			return interrupted()
		}
		if resp.StatusCode >= 200 || resp.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	if resp.StatusCode != http.StatusOK || attempt.Scheduled.Stage == scheduler.StagePrefill {
		body, err := io.ReadAll(io.LimitReader(resp.Body, maxShortBody+1))
		if err != nil || len(body) > maxShortBody {
			c.Malformed.Add(1)
			return interrupted()
		}
		if resp.StatusCode == http.StatusBadRequest || resp.StatusCode == http.StatusNotFound {
			// The request is at fault: this must not count against the backend, and no other backend would accept the
			// request either.
			c.BadRequest.Add(1)
			attempt.RequestInvalid = true
			return scheduler.Result{Outcome: scheduler.Cancelled}
		}
		result.Outcome, result.Detail = chat.ClassifyResponse(attempt.Scheduled.Stage, resp, body)
		load = resp.Header.Get("X-Server-Load")
		result.LoadReport = chat.ParseLoad(load, c.loadFields)
		return result
	}
	if len(resp.TransferEncoding) != 1 || resp.TransferEncoding[0] != "chunked" {
		c.Malformed.Add(1)
		return interrupted()
	}
	stream := chat.NewStream(conn.Reader())
	for begun := false; ; {
		piece, err := stream.Next()
		if err == io.EOF {
			if load = stream.LoadReport; load == "" {
				load = resp.Header.Get("X-Server-Load")
			}
			return scheduler.Result{Outcome: scheduler.Served, Detail: stream.CachedTokens,
				LoadReport: chat.ParseLoad(load, c.loadFields)}
		}
		if err != nil {
			if errors.Is(err, chat.ErrMalformed) {
				c.Malformed.Add(1)
			}
			return interrupted()
		}
		if !begun {
			begun = true
			c.monitor.CacheReleased(outgoing.id, "response started")
			c.loop.Post(func() { c.loop.AttemptBegan(attempt) })
		}
		c.activity.recordActivity(pool)
		conn.SetReadDeadline(time.Now().Add(streamStallTimeout))
		select {
		case attempt.Tokens <- piece:
		case <-ctx.Done():
			return interrupted()
		}
	}
}
