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
	ErrLate    = errors.New("its time was up")
	ErrLeft    = errors.New("nobody waits for it")
	errStalled = errors.New("the stream stalled")
)

// Seen is what the socket of an attempt showed.
type Seen struct {
	Local     bool         // this machine could not begin to connect
	Connected bool         // a byte of the request went out, over one proven connection
	Told      *kserve.Told // what the backend said at the end
	Cause     error        // why it was called off, if it was
}

// Outcome is what may be said of an attempt. Only what is proven not to have run is called so: without a connection
// nothing was sent, and a backend that states that it refused is believed; all else may have run.
func (s Seen) Outcome(stage brain.Stage) (o brain.Outcome, note int) {
	if t := s.Told; t != nil {
		switch {
		case t.Outcome == kserve.OutcomeRead && stage == brain.ToRead:
			return brain.Read, t.Kept
		case t.Outcome == kserve.OutcomeAnswered && stage != brain.ToRead:
			return brain.Served, t.Kept
		case t.Outcome == kserve.OutcomeFull:
			return brain.Rejected, 0
		case t.Outcome == kserve.OutcomeNoState:
			return brain.Rejected, 1
		}
		return brain.Failed, 0
	}
	switch {
	case !s.Connected && errors.Is(s.Cause, ErrLeft):
		return brain.Cancelled, 0
	case s.Local:
		return brain.NotSent, 0
	case !s.Connected:
		return brain.Unreachable, 0
	case errors.Is(s.Cause, ErrLate):
		return brain.TimedOut, 0
	case errors.Is(s.Cause, ErrLeft):
		return brain.Cancelled, 0
	}
	return brain.Broken, 0
}

// Attempts takes attempts to backends over HTTP.
type Trips struct {
	Model string
	Stall time.Duration
	Peers *Peers
	Boxes *reach.Boxes

	loop  *Loop
	group *errgroup.Group
	life  context.Context

	mu       sync.Mutex
	releases map[*Backend]*releases
	Refused  atomic.Int64 // releases given up, as too many waited
}

// NewTrips makes the carrier; its goroutines belong to the group and end with the context. A connection is given dial.
func NewTrips(life context.Context, group *errgroup.Group, conns int, dial time.Duration, since func() time.Duration) *Trips {
	boxes := &reach.Boxes{Limit: dial, Most: conns, Since: since, Life: life, Group: group}
	group.Go(boxes.Tend)
	return &Trips{life: life, group: group, Boxes: boxes, releases: map[*Backend]*releases{}}
}

// Reach says where a backend is now.
func (c *Trips) Reach(b *Backend, at []addresses.Spec) {
	b.reach = c.Boxes.Set(b.Name, at, uint64(b.Known.ID))
}

// Start starts an attempt.
func (c *Trips) Start(f *Attempt) {
	f.ctx, f.Off = context.WithCancelCause(c.life)
	q, a := f.Planned.Request, f.Request
	e := kserve.Errand{
		Stage: f.Stage(),
		From:  c.loop.Epoch, Question: q.ID, Trip: f.Planned.Number, Mark: cmp.Or(a.Ask.ID, f.Key), Grade: a.Grade, Channel: a.Channel,
		Session: q.Session, Shared: q.Shared, Tokens: int(q.Prompt), Prefix: int(q.Prefix), Most: int(q.Most),
		WaitUs: f.Wait.Microseconds(),
	}
	if f.State != nil {
		e.Reader, e.State = f.State.Name, f.State.reach.Best()
	}
	// What the goroutine needs is read here: backends are the loop's.
	host, text := f.Backend.reach, a.Ask.Text
	c.group.Go(func() error {
		seen := c.fly(f, host, text, e)
		f.Off(nil)
		outcome, note := seen.Outcome(f.Planned.Stage)
		result := brain.Result{Outcome: outcome, Note: note}
		if seen.Told != nil {
			result.Load = seen.Told.Load
			f.Count = seen.Told.Count
		}
		close(f.Tokens)
		c.loop.Post(func() { c.loop.Ended(f, result) })
		return nil
	})
}

// fly is one attempt from its connection to its end. It is bound to one connection, of one address.
func (c *Trips) fly(f *Attempt, host *reach.Host, text string, e kserve.Errand) (seen Seen) {
	var conn *reach.Conn
	defer func() {
		seen.Cause = context.Cause(f.ctx)
		if conn == nil {
			return
		}
		// An attempt that ended without a word speaks against the way it took, unless it was called off for its client.
		if seen.Told != nil {
			seen.Told.Bound(e)
			conn.Served()
		} else if !errors.Is(seen.Cause, ErrLeft) {
			conn.Lost()
		}
	}()
	if host == nil {
		return seen
	}
	conn, resp, err := host.Send(f.ctx, func() (*http.Request, error) {
		return kserve.NewErrand(f.ctx, reach.URL(host.Name), c.Model, text, e)
	})
	seen.Local, seen.Connected = errors.Is(err, reach.ErrLocal), conn != nil && conn.Sent()
	if err != nil {
		return seen
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK || e.Stage == kserve.StageRead {
		seen.Told = told(resp)
		return seen
	}
	stall := time.AfterFunc(c.Stall, func() { f.Off(errStalled) })
	defer stall.Stop()
	events := kserve.NewEvents(resp.Body)
	for begun := false; ; {
		ev, err := events.Next()
		if err != nil {
			return seen
		}
		switch ev.Name {
		case "end":
			seen.Told = &kserve.Told{}
			if json.Unmarshal(ev.Data, seen.Told) != nil {
				seen.Told = nil
			} else if seen.Told.Outcome != kserve.OutcomeAnswered || !begun {
				// Whatever else an answer's end claims: its stream was opened, so it may have run.
				seen.Told.Outcome = kserve.OutcomeFailed
			}
			return seen
		case "error":
			seen.Told = &kserve.Told{Outcome: kserve.OutcomeFailed}
			return seen
		case "":
			// On one line, as the client gets it: what is no JSON is no token, and could pass for an event of this program.
			var piece bytes.Buffer
			if json.Compact(&piece, ev.Data) != nil {
				return seen
			}
			if !begun {
				begun = true
				c.loop.Post(func() { c.loop.Began(f) })
			}
			stall.Reset(c.Stall) // nothing but tokens shows that the answer goes on
			if f.Streamed.Add(1) > int64(e.Most) {
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
func told(resp *http.Response) *kserve.Told {
	raw, err := io.ReadAll(io.LimitReader(resp.Body, 64<<10))
	if err != nil {
		return nil
	}
	t := &kserve.Told{}
	if json.Unmarshal(raw, t) != nil || t.Outcome == "" || t.Outcome == kserve.OutcomeAnswered ||
		(t.Outcome == kserve.OutcomeFull || t.Outcome == kserve.OutcomeNoState) && resp.StatusCode != http.StatusServiceUnavailable ||
		t.Outcome == kserve.OutcomeRead && resp.StatusCode != http.StatusOK {
		return &kserve.Told{Outcome: kserve.OutcomeFailed}
	}
	return t
}

// Tell sends news to a peer.
func (c *Trips) Tell(peer int, n brain.PeerUpdate) {
	if c.Peers != nil {
		c.Peers.Tell(peer, n)
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
func (c *Trips) Release(b *Backend, a *ClientRequest) {
	if a.AttemptOut() {
		return // its connection was proven right before it, and its backend may hold the state without having fetched it
	}
	key := kserve.Release{Key: c.loop.Key(a), Trip: len(a.Request.Attempts) - 1}
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.releases[b]
	if r == nil {
		r = &releases{}
		c.releases[b] = r
		host, gone := b.reach, b.Drained
		c.group.Go(func() error { c.releasing(b, r, host, gone); return nil })
	}
	if len(r.keys) >= releaseMost {
		c.Refused.Add(1)
		return
	}
	r.keys = append(r.keys, key)
}

// releasing works until nothing is left to release at the backend.
func (c *Trips) releasing(b *Backend, r *releases, host *reach.Host, gone <-chan struct{}) {
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

func (c *Trips) release(host *reach.Host, keys []kserve.Release) error {
	ctx, cancel := context.WithTimeout(c.life, releaseTime)
	defer cancel()
	if host == nil {
		return reach.ErrUnreached
	}
	conn, resp, err := host.Send(ctx, func() (*http.Request, error) {
		return kserve.NewRelease(ctx, reach.URL(host.Name), c.Model, keys)
	})
	if err != nil {
		if conn != nil {
			conn.Lost() // the next try takes another way
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
func (c *Trips) Inquire(b *Backend, q account.Inquiry, heard func(*account.Reply)) {
	host := b.reach
	c.group.Go(func() error {
		r := c.inquire(host, q)
		c.loop.Post(func() { heard(r) })
		return nil
	})
}

func (c *Trips) inquire(host *reach.Host, q account.Inquiry) *account.Reply {
	if host == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(c.life, inquireTime)
	defer cancel()
	_, resp, err := host.Send(ctx, func() (*http.Request, error) {
		return kserve.NewInquiry(ctx, reach.URL(host.Name), c.Model, kserve.Inquiry{From: q.Epoch, After: q.After})
	})
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil
	}
	counts, err := kserve.ReadCounts(io.LimitReader(resp.Body, 8<<20))
	if err != nil {
		return nil
	}
	r := &account.Reply{More: counts.More, Running: counts.Open, ForgottenUpTo: counts.Forgot}
	for _, x := range counts.Counts {
		r.Counts = append(r.Counts, tripOf(x))
	}
	return r
}
