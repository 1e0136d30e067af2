package dispatch

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"sloetrestle/internal/account"
	"sloetrestle/internal/addresses"
	"sloetrestle/internal/connpool"
	"sloetrestle/internal/kserve"
	"sloetrestle/scheduler"
)

var (
	// ErrAttemptTimeout cancels an attempt that has no first token within its timeout.
	ErrAttemptTimeout = errors.New("attempt timed out before its first token")
	// ErrNotNeeded cancels an attempt that nobody waits for any more: its client has disconnected or its request is
	// over.
	ErrNotNeeded = errors.New("attempt no longer needed")

	errStalled = errors.New("no token within the stall timeout")
)

// Observation is what an attempt's connection showed.
type Observation struct {
	LocalFailure bool                  // the connection failed at this machine, before anything left it
	Sent         bool                  // a byte of the request was sent, over a connection that is known to be established
	Report       *kserve.AttemptResult // what the backend reported at the end; nil if it reported nothing valid
	Cause        error                 // why the attempt was cancelled; nil if it was not
}

// Outcome returns the outcome that the observation proves, with the number of cached tokens, or 1 where a rejection
// says that the KV cache is missing. An attempt that may have run is never reported as one that did not: only without
// a connection was nothing sent, and only a backend's own statement proves a rejection.
func (s Observation) Outcome(stage scheduler.Stage) (outcome scheduler.Outcome, note int) {
	if report := s.Report; report != nil {
		switch {
		case report.Outcome == kserve.OutcomePrefilled && stage == scheduler.StagePrefill:
			return scheduler.Prefilled, report.CachedTokens
		case report.Outcome == kserve.OutcomeCompleted && stage != scheduler.StagePrefill:
			return scheduler.Served, report.CachedTokens
		case report.Outcome == kserve.OutcomeFull:
			return scheduler.Rejected, 0
		case report.Outcome == kserve.OutcomeNoKVCache:
			return scheduler.Rejected, 1
		}
		return scheduler.Failed, 0
	}
	switch {
	case !s.Sent && errors.Is(s.Cause, ErrNotNeeded):
		return scheduler.Cancelled, 0
	case s.LocalFailure:
		return scheduler.NotSent, 0
	case !s.Sent:
		return scheduler.Unreachable, 0
	case errors.Is(s.Cause, ErrAttemptTimeout):
		return scheduler.TimedOut, 0
	case errors.Is(s.Cause, ErrNotNeeded):
		return scheduler.Cancelled, 0
	}
	return scheduler.ConnectionLost, 0
}

// HTTPTransport is the Transport that sends attempts to backends over HTTP.
type HTTPTransport struct {
	Model        string
	StallTimeout time.Duration     // longest time between two tokens of a stream
	Peers        *Peers            // nil: no peer updates are sent
	Pools        *connpool.Manager // connection pools, by backend

	loop     *Loop
	group    *errgroup.Group
	lifetime context.Context

	mu              sync.Mutex
	releases        map[*Backend]*releaseQueue
	DroppedReleases atomic.Int64 // releases dropped because too many were queued for their backend

	ForeignResponses atomic.Int64 // responses to other attempts, which were not passed on
}

// NewHTTPTransport returns a transport with its connection pools. Its goroutines belong to the group and end with the
// lifetime context. conns bounds the connections to one backend, and dial is the time for opening one.
func NewHTTPTransport(
	lifetime context.Context, group *errgroup.Group, conns int, dial time.Duration, clock func() time.Duration,
) *HTTPTransport {
	pools := &connpool.Manager{DialTimeout: dial, MaxConnsPerBackend: conns, Now: clock, Context: lifetime, Group: group}
	group.Go(pools.Run)
	return &HTTPTransport{lifetime: lifetime, group: group, Pools: pools, releases: map[*Backend]*releaseQueue{}}
}

// SetAddresses sets a backend's addresses.
func (c *HTTPTransport) SetAddresses(backend *Backend, specs []addresses.Spec) {
	backend.pool = c.Pools.SetAddresses(backend.Name, specs, uint64(backend.SchedulerState.ID))
}

// Start sends an attempt from a goroutine of its own.
func (c *HTTPTransport) Start(attempt *Attempt) {
	attempt.ctx, attempt.Cancel = context.WithCancelCause(c.lifetime)
	scheduled, request := attempt.Scheduled.Request, attempt.Request
	metadata := kserve.AttemptParams{
		Phase:           attempt.Stage(),
		DispatcherEpoch: c.loop.Epoch, RequestNumber: scheduled.ID, Attempt: attempt.Scheduled.Number,
		DedupKey: cmp.Or(request.Params.ID, attempt.RequestKey), Class: request.Class, Tenant: request.Tenant,
		Session: scheduled.SessionKey, SharedPrefix: scheduled.PrefixKey, PromptTokens: int(scheduled.PromptTokens),
		PrefixTokens: int(scheduled.PrefixTokens), MaxTokens: int(scheduled.MaxOutputTokens),
		TimeoutUs: attempt.Timeout.Microseconds(),
	}
	if attempt.PrefillBackend != nil {
		metadata.PrefillBackend, metadata.KVCacheAddresses = attempt.PrefillBackend.Name,
			attempt.PrefillBackend.pool.Addresses()
	}
	// Read what the goroutine needs here, as backends and requests belong to the loop.
	pool, text := attempt.Backend.pool, request.Params.Text
	c.group.Go(func() error {
		observed := c.runAttempt(attempt, pool, text, metadata)
		attempt.Cancel(nil)
		outcome, note := observed.Outcome(attempt.Scheduled.Stage)
		result := scheduler.Result{Outcome: outcome, Detail: note}
		if observed.Report != nil {
			result.LoadReport = observed.Report.Load
			attempt.Usage = observed.Report.Usage
		}
		close(attempt.Tokens)
		c.loop.Post(func() { c.loop.AttemptEnded(attempt, result) })
		return nil
	})
}

// runAttempt runs an attempt over one connection to one address, from dialing to its end.
func (c *HTTPTransport) runAttempt(
	attempt *Attempt, pool *connpool.Pool, text string, metadata kserve.AttemptParams,
) (observed Observation) {
	var conn *connpool.Conn
	defer func() {
		observed.Cause = context.Cause(attempt.ctx)
		if conn == nil {
			return
		}
		// An attempt that ended without a report counts against the address, unless it was cancelled as not needed.
		if observed.Report != nil {
			observed.Report.Sanitize(metadata)
			conn.ReportServed()
		} else if !errors.Is(observed.Cause, ErrNotNeeded) {
			conn.ReportFailed()
		}
	}()
	if pool == nil {
		return observed
	}
	conn, resp, err := pool.Send(attempt.ctx, func() (*http.Request, error) {
		return kserve.NewAttemptRequest(attempt.ctx, connpool.URL(pool.Name), c.Model, text, metadata)
	})
	observed.LocalFailure, observed.Sent = errors.Is(err, connpool.ErrLocal), conn != nil && conn.Sent()
	if err != nil {
		return observed
	}
	defer resp.Body.Close()
	switch resp.Header.Get(kserve.AttemptHeader) {
	case metadata.Name():
	case "":
		conn.NoReuse() // whatever else it sends could not be told from the next response
	default:
		conn.NoReuse()
		c.ForeignResponses.Add(1)
		return observed
	}
	if resp.StatusCode != http.StatusOK || metadata.Phase == kserve.PhasePrefill {
		observed.Report = readReport(resp)
		return observed
	}
	stall := time.AfterFunc(c.StallTimeout, func() { attempt.Cancel(errStalled) })
	defer stall.Stop()
	events := kserve.NewEventReader(resp.Body)
	for begun := false; ; {
		event, err := events.Next()
		if err != nil {
			return observed
		}
		switch event.Name {
		case "end":
			observed.Report = &kserve.AttemptResult{}
			if json.Unmarshal(event.Data, observed.Report) != nil {
				observed.Report = nil
			} else if observed.Report.Outcome != kserve.OutcomeCompleted || !begun {
				// A stream was opened, so the attempt may have run, whatever else its end claims.
				observed.Report.Outcome = kserve.OutcomeFailed
			}
			return observed
		case "error":
			observed.Report = &kserve.AttemptResult{Outcome: kserve.OutcomeFailed}
			return observed
		case "":
			// The client gets the token on one line. Data that is not JSON is not a token, and with line breaks in it
			// the client could take it for an event of this dispatcher.
			var piece bytes.Buffer
			if json.Compact(&piece, event.Data) != nil {
				return observed
			}
			if !begun {
				begun = true
				c.loop.Post(func() { c.loop.AttemptBegan(attempt) })
			}
			stall.Reset(c.StallTimeout) // only tokens show that the answer makes progress
			if attempt.StreamedTokens.Add(1) > int64(metadata.MaxTokens) {
				return observed // more tokens than requested: this cannot be the answer to the request
			}
			select {
			case attempt.Tokens <- piece.Bytes():
			case <-attempt.ctx.Done():
				return observed
			}
		}
	}
}

// readReport reads an answer that is not a stream. A 503 counts as a rejection only if the backend says so itself, as
// one from a proxy proves nothing. Without a stream there are no tokens, so that such an answer never counts as served.
func readReport(resp *http.Response) *kserve.AttemptResult {
	raw, err := io.ReadAll(io.LimitReader(resp.Body, 64<<10))
	if err != nil {
		return nil
	}
	report := &kserve.AttemptResult{}
	if json.Unmarshal(raw, report) != nil || report.Outcome == "" || report.Outcome == kserve.OutcomeCompleted ||
		(report.Outcome == kserve.OutcomeFull || report.Outcome == kserve.OutcomeNoKVCache) &&
			resp.StatusCode != http.StatusServiceUnavailable ||
		report.Outcome == kserve.OutcomePrefilled && resp.StatusCode != http.StatusOK {
		return &kserve.AttemptResult{Outcome: kserve.OutcomeFailed}
	}
	return report
}

// SendPeerUpdate sends an update to a peer.
func (c *HTTPTransport) SendPeerUpdate(peer int, update scheduler.PeerUpdate) {
	if c.Peers != nil {
		c.Peers.SendUpdate(peer, update)
	}
}

// releaseQueue holds the releases that a backend is still to be sent.
type releaseQueue struct {
	keys []kserve.Release
}

const (
	releaseBatch = 256
	// maxQueuedReleases bounds the releases queued for one backend. A backend that is away for so long that they reach
	// it drops KV caches that nobody fetches by itself.
	maxQueuedReleases = 20000
	// The time between two tries doubles from releaseRetryMin to releaseRetryMax.
	releaseRetryMin = 20 * time.Millisecond
	releaseRetryMax = time.Second
	releaseTimeout  = 250 * time.Millisecond // of one try
)

// Release has a backend release a request's KV cache. It is repeated until it succeeds or the backend is removed.
func (c *HTTPTransport) Release(backend *Backend, request *ClientRequest) {
	if request.AttemptInFlight() {
		return // that attempt arrives, as its connection was proven first, and may not have fetched the KV cache yet
	}
	key := kserve.Release{RequestKey: c.loop.RequestKey(request), LastAttempt: len(request.Scheduled.Attempts) - 1}
	c.mu.Lock()
	defer c.mu.Unlock()
	queue := c.releases[backend]
	if queue == nil {
		queue = &releaseQueue{}
		c.releases[backend] = queue
		pool, removed := backend.pool, backend.Removed
		c.group.Go(func() error { c.sendReleases(backend, queue, pool, removed); return nil })
	}
	if len(queue.keys) >= maxQueuedReleases {
		c.DroppedReleases.Add(1)
		return
	}
	queue.keys = append(queue.keys, key)
}

// sendReleases sends a backend's releases until none is queued.
func (c *HTTPTransport) sendReleases(backend *Backend, queue *releaseQueue, pool *connpool.Pool,
	removed <-chan struct{}) {
	wait := releaseRetryMin
	for {
		c.mu.Lock()
		batch := slices.Clone(queue.keys[:min(len(queue.keys), releaseBatch)])
		if len(batch) == 0 {
			delete(c.releases, backend)
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		if err := c.sendReleaseBatch(pool, batch); err == nil {
			c.mu.Lock()
			queue.keys = queue.keys[len(batch):]
			c.mu.Unlock()
			wait = releaseRetryMin
			continue
		}
		select {
		case <-c.lifetime.Done():
			return
		case <-removed:
			c.mu.Lock()
			delete(c.releases, backend)
			c.mu.Unlock()
			return
		case <-time.After(wait):
		}
		wait = min(2*wait, releaseRetryMax)
	}
}

func (c *HTTPTransport) sendReleaseBatch(pool *connpool.Pool, keys []kserve.Release) error {
	ctx, cancel := context.WithTimeout(c.lifetime, releaseTimeout)
	defer cancel()
	if pool == nil {
		return connpool.ErrUnreachable
	}
	conn, resp, err := pool.Send(ctx, func() (*http.Request, error) {
		return kserve.NewReleaseRequest(ctx, connpool.URL(pool.Name), c.Model, keys)
	})
	if err != nil {
		if conn != nil {
			conn.ReportFailed() // the next try takes another address
		}
		return err
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, io.LimitReader(resp.Body, 4096))
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("releasing KV caches: backend answered %s", resp.Status)
	}
	return nil
}

// usageTimeout bounds one request for usage counts.
const usageTimeout = 500 * time.Millisecond

// FetchUsage fetches usage counts from a backend and posts them to the loop; the reply is nil if the request failed.
func (c *HTTPTransport) FetchUsage(backend *Backend, inquiry account.Inquiry, received func(*account.Reply)) {
	pool := backend.pool
	c.group.Go(func() error {
		reply := c.fetchUsage(pool, inquiry)
		c.loop.Post(func() { received(reply) })
		return nil
	})
}

func (c *HTTPTransport) fetchUsage(pool *connpool.Pool, inquiry account.Inquiry) *account.Reply {
	if pool == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(c.lifetime, usageTimeout)
	defer cancel()
	_, resp, err := pool.Send(ctx, func() (*http.Request, error) {
		return kserve.NewUsageRequest(ctx, connpool.URL(pool.Name), c.Model,
			kserve.UsageQuery{DispatcherEpoch: inquiry.Epoch, After: inquiry.After})
	})
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil
	}
	counts, err := kserve.ReadUsageReport(io.LimitReader(resp.Body, 8<<20))
	if err != nil {
		return nil
	}
	reply := &account.Reply{More: counts.More, Running: counts.InFlight, ForgottenUpTo: counts.ForgottenThrough}
	for _, count := range counts.Records {
		reply.Counts = append(reply.Counts, countedRecord(count))
	}
	return reply
}
