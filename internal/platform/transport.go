package platform

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"sloetrestle/internal/addresses"
	"sloetrestle/internal/connpool"
	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/memory"
	"sloetrestle/internal/monitor"
	"sloetrestle/scheduler"
)

const (
	maxDialAttempts = 4                     // refused connections before a backend counts as unreachable
	dialRetryDelay  = 10 * time.Millisecond // between two of them

	// ackTimeoutFactor times the connect timeout is how long the backend's machine has to acknowledge a request while
	// a KV cache waits.
	ackTimeoutFactor = 2
)

// outgoingRequest is what is sent to a backend for a client's request.
type outgoingRequest struct {
	head   func(timeout time.Duration) []byte // the request head, which states the time remaining
	id     string
	body   []byte
	memory *memory.Holder // of the request; closed once its client has its answer
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
	c.recordTraffic(attempt, 1, "")
	if limit := attempt.Scheduled.ConnectTimeout; limit > 0 {
		defer time.AfterFunc(ackTimeoutFactor*limit, func() { c.checkAcknowledged(attempt, conn) }).Stop()
	}
	sent := &exchange{
		transport: c, ctx: ctx, attempt: attempt, id: outgoing.id, memory: outgoing.memory, pool: pool, conn: conn,
	}
	defer func() {
		c.recordTraffic(attempt, -1, sent.load)
		stop()
		conn.Discard()
		<-c.attemptSlots
		c.monitor.AttemptEnds(outgoing.id, attempt.Scheduled.Number, hasEffect(attempt),
			provenEnd(result.Outcome), dispatch.OutcomeName(result.Outcome))
	}()
	return sent.run()
}
