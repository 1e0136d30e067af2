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

	"sloetrestle/brain"
	"sloetrestle/internal/account"
	"sloetrestle/internal/addresses"
	"sloetrestle/internal/kserve"
	"sloetrestle/internal/reach"
)

// Why a attempt was called off.
var (
	ErrAttemptTimeout = errors.New("its time was up")
	ErrNotNeeded      = errors.New("nobody waits for it")
	errStalled        = errors.New("the stream stalled")
)

// Seen is what the socket of an attempt showed.
type Observation struct {
	LocalFailure bool                  // this machine could not begin to connect
	Sent         bool                  // a byte of the request went out, over one proven connection
	Report       *kserve.AttemptResult // what the backend said at the end
	Cause        error                 // why it was called off, if it was
}

// Outcome is what may be said of an attempt. Only what is proven not to have run is called so: without a connection
// nothing was sent, and a backend that states that it refused is believed; all else may have run.
func (s Observation) Outcome(stage brain.Stage) (o brain.Outcome, note int) {
	if t := s.Report; t != nil {
		switch {
		case t.Outcome == kserve.OutcomePrefilled && stage == brain.StagePrefill:
			return brain.Prefilled, t.CachedTokens
		case t.Outcome == kserve.OutcomeCompleted && stage != brain.StagePrefill:
			return brain.Served, t.CachedTokens
		case t.Outcome == kserve.OutcomeFull:
			return brain.Rejected, 0
		case t.Outcome == kserve.OutcomeNoKVCache:
			return brain.Rejected, 1
		}
		return brain.Failed, 0
	}
	switch {
	case !s.Sent && errors.Is(s.Cause, ErrNotNeeded):
		return brain.Cancelled, 0
	case s.LocalFailure:
		return brain.NotSent, 0
	case !s.Sent:
		return brain.Unreachable, 0
	case errors.Is(s.Cause, ErrAttemptTimeout):
		return brain.TimedOut, 0
	case errors.Is(s.Cause, ErrNotNeeded):
		return brain.Cancelled, 0
	}
	return brain.ConnectionLost, 0
}

// Attempts takes attempts to backends over HTTP.
type HTTPTransport struct {
	Model        string
	StallTimeout time.Duration
	Peers        *Peers
	Pools        *reach.Manager

	loop  *Loop
	group *errgroup.Group
	life  context.Context

	mu              sync.Mutex
	releases        map[*Backend]*releases
	DroppedReleases atomic.Int64 // releases given up, as too many waited
}

// NewTrips makes the carrier; its goroutines belong to the group and end with the context. A connection is given dial.
func NewHTTPTransport(life context.Context, group *errgroup.Group, conns int, dial time.Duration, since func() time.Duration) *HTTPTransport {
	boxes := &reach.Manager{DialTimeout: dial, MaxConnsPerBackend: conns, Now: since, Context: life, Group: group}
	group.Go(boxes.Run)
	return &HTTPTransport{life: life, group: group, Pools: boxes, releases: map[*Backend]*releases{}}
}

// Reach says where a backend is now.
func (c *HTTPTransport) SetAddresses(b *Backend, at []addresses.Spec) {
	b.reach = c.Pools.SetAddresses(b.Name, at, uint64(b.SchedulerState.ID))
}

// Start starts an attempt.
func (c *HTTPTransport) Start(f *Attempt) {
	f.ctx, f.Cancel = context.WithCancelCause(c.life)
	q, a := f.Scheduled.Request, f.Request
	e := kserve.AttemptParams{
		Phase:           f.Stage(),
		DispatcherEpoch: c.loop.Epoch, RequestNumber: q.ID, Attempt: f.Scheduled.Number, DedupKey: cmp.Or(a.Params.ID, f.RequestKey), Class: a.Class, Tenant: a.Tenant,
		Session: q.SessionKey, SharedPrefix: q.PrefixKey, PromptTokens: int(q.PromptTokens), PrefixTokens: int(q.PrefixTokens), MaxTokens: int(q.MaxOutputTokens),
		TimeoutUs: f.Timeout.Microseconds(),
	}
	if f.PrefillBackend != nil {
		e.PrefillBackend, e.KVCacheAddresses = f.PrefillBackend.Name, f.PrefillBackend.reach.Addresses()
	}
	// What the goroutine needs is read here: backends are the loop's.
	host, text := f.Backend.reach, a.Params.Text
	c.group.Go(func() error {
		seen := c.fly(f, host, text, e)
		f.Cancel(nil)
		outcome, note := seen.Outcome(f.Scheduled.Stage)
		result := brain.Result{Outcome: outcome, Detail: note}
		if seen.Report != nil {
			result.LoadReport = seen.Report.Load
			f.Usage = seen.Report.Usage
		}
		close(f.Tokens)
		c.loop.Post(func() { c.loop.AttemptEnded(f, result) })
		return nil
	})
}

// fly is one attempt from its connection to its end. It is bound to one connection, of one address.
func (c *HTTPTransport) fly(f *Attempt, host *reach.Pool, text string, e kserve.AttemptParams) (seen Observation) {
	var conn *reach.Conn
	defer func() {
		seen.Cause = context.Cause(f.ctx)
		if conn == nil {
			return
		}
		// An attempt that ended without a word speaks against the way it took, unless it was called off for its client.
		if seen.Report != nil {
			seen.Report.Sanitize(e)
			conn.ReportServed()
		} else if !errors.Is(seen.Cause, ErrNotNeeded) {
			conn.ReportFailed()
		}
	}()
	if host == nil {
		return seen
	}
	conn, resp, err := host.Send(f.ctx, func() (*http.Request, error) {
		return kserve.NewAttemptRequest(f.ctx, reach.URL(host.Name), c.Model, text, e)
	})
	seen.LocalFailure, seen.Sent = errors.Is(err, reach.ErrLocal), conn != nil && conn.Sent()
	if err != nil {
		return seen
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK || e.Phase == kserve.PhasePrefill {
		seen.Report = told(resp)
		return seen
	}
	stall := time.AfterFunc(c.StallTimeout, func() { f.Cancel(errStalled) })
	defer stall.Stop()
	events := kserve.NewEventReader(resp.Body)
	for begun := false; ; {
		ev, err := events.Next()
		if err != nil {
			return seen
		}
		switch ev.Name {
		case "end":
			seen.Report = &kserve.AttemptResult{}
			if json.Unmarshal(ev.Data, seen.Report) != nil {
				seen.Report = nil
			} else if seen.Report.Outcome != kserve.OutcomeCompleted || !begun {
				// Whatever else an answer's end claims: its stream was opened, so it may have run.
				seen.Report.Outcome = kserve.OutcomeFailed
			}
			return seen
		case "error":
			seen.Report = &kserve.AttemptResult{Outcome: kserve.OutcomeFailed}
			return seen
		case "":
			// On one line, as the client gets it: what is no JSON is no token, and could pass for an event of this program.
			var piece bytes.Buffer
			if json.Compact(&piece, ev.Data) != nil {
				return seen
			}
			if !begun {
				begun = true
				c.loop.Post(func() { c.loop.AttemptBegan(f) })
			}
			stall.Reset(c.StallTimeout) // nothing but tokens shows that the answer goes on
			if f.StreamedTokens.Add(1) > int64(e.MaxTokens) {
				return seen // more than was asked for: no answer of this request
			}
			select {
			case f.Tokens <- piece.Bytes():
			case <-f.ctx.Done():
				return seen
			}
		}
	}
}

// told reads a short answer of a backend. A 503 counts as a refusal only if the backend says so itself: a proxy's
// proves nothing. An answer that is no stream has no tokens, so none is satisfied by it.
func told(resp *http.Response) *kserve.AttemptResult {
	raw, err := io.ReadAll(io.LimitReader(resp.Body, 64<<10))
	if err != nil {
		return nil
	}
	t := &kserve.AttemptResult{}
	if json.Unmarshal(raw, t) != nil || t.Outcome == "" || t.Outcome == kserve.OutcomeCompleted ||
		(t.Outcome == kserve.OutcomeFull || t.Outcome == kserve.OutcomeNoKVCache) && resp.StatusCode != http.StatusServiceUnavailable ||
		t.Outcome == kserve.OutcomePrefilled && resp.StatusCode != http.StatusOK {
		return &kserve.AttemptResult{Outcome: kserve.OutcomeFailed}
	}
	return t
}

// Tell sends news to a peer.
func (c *HTTPTransport) SendPeerUpdate(peer int, n brain.PeerUpdate) {
	if c.Peers != nil {
		c.Peers.SendUpdate(peer, n)
	}
}

// releases are the states that a backend is still to be told to let go of.
type releases struct {
	keys []kserve.Release
}

const (
	releaseBatch = 256
	releaseMost  = 20000                 // waiting for one backend; a backend that is away so long lets go by itself
	releaseAgain = 20 * time.Millisecond // the first wait for the next try, doubled up to the next value
	releaseMax   = time.Second
	releaseTime  = 250 * time.Millisecond // for one try
)

// Release tells a backend to let go of a request's state, until it is known done or the backend is gone.
func (c *HTTPTransport) Release(b *Backend, a *ClientRequest) {
	if a.AttemptInFlight() {
		return // its connection was proven right before it, and its backend may hold the state without having fetched it
	}
	key := kserve.Release{RequestKey: c.loop.RequestKey(a), LastAttempt: len(a.Scheduled.Attempts) - 1}
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.releases[b]
	if r == nil {
		r = &releases{}
		c.releases[b] = r
		host, gone := b.reach, b.Removed
		c.group.Go(func() error { c.releasing(b, r, host, gone); return nil })
	}
	if len(r.keys) >= releaseMost {
		c.DroppedReleases.Add(1)
		return
	}
	r.keys = append(r.keys, key)
}

// releasing works until nothing is left to release at the backend.
func (c *HTTPTransport) releasing(b *Backend, r *releases, host *reach.Pool, gone <-chan struct{}) {
	wait := releaseAgain
	for {
		c.mu.Lock()
		batch := slices.Clone(r.keys[:min(len(r.keys), releaseBatch)])
		if len(batch) == 0 {
			delete(c.releases, b)
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		if err := c.release(host, batch); err == nil {
			c.mu.Lock()
			r.keys = r.keys[len(batch):]
			c.mu.Unlock()
			wait = releaseAgain
			continue
		}
		select {
		case <-c.life.Done():
			return
		case <-gone:
			c.mu.Lock()
			delete(c.releases, b)
			c.mu.Unlock()
			return
		case <-time.After(wait):
		}
		wait = min(2*wait, releaseMax)
	}
}

func (c *HTTPTransport) release(host *reach.Pool, keys []kserve.Release) error {
	ctx, cancel := context.WithTimeout(c.life, releaseTime)
	defer cancel()
	if host == nil {
		return reach.ErrUnreachable
	}
	conn, resp, err := host.Send(ctx, func() (*http.Request, error) {
		return kserve.NewReleaseRequest(ctx, reach.URL(host.Name), c.Model, keys)
	})
	if err != nil {
		if conn != nil {
			conn.ReportFailed() // the next try takes another way
		}
		return err
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, io.LimitReader(resp.Body, 4096))
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("release: %s", resp.Status)
	}
	return nil
}

// inquireTime is for one inquiry.
const inquireTime = 500 * time.Millisecond

// Inquire asks a backend for counts.
func (c *HTTPTransport) FetchUsage(b *Backend, q account.Inquiry, heard func(*account.Reply)) {
	host := b.reach
	c.group.Go(func() error {
		r := c.inquire(host, q)
		c.loop.Post(func() { heard(r) })
		return nil
	})
}

func (c *HTTPTransport) inquire(host *reach.Pool, q account.Inquiry) *account.Reply {
	if host == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(c.life, inquireTime)
	defer cancel()
	_, resp, err := host.Send(ctx, func() (*http.Request, error) {
		return kserve.NewUsageRequest(ctx, reach.URL(host.Name), c.Model, kserve.UsageQuery{DispatcherEpoch: q.Epoch, After: q.After})
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
	r := &account.Reply{More: counts.More, Running: counts.InFlight, ForgottenUpTo: counts.ForgottenThrough}
	for _, x := range counts.Records {
		r.Counts = append(r.Counts, tripOf(x))
	}
	return r
}
