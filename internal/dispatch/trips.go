package dispatch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"sloetrestle/brain"
	"sloetrestle/internal/kserve"
)

// Why a flight was called off.
var (
	errLate    = errors.New("its time was up")
	errLeft    = errors.New("nobody waits for it")
	errNoDial  = errors.New("no connection in time")
	errStalled = errors.New("the stream stalled")
)

// Seen is what the socket of a trip showed.
type Seen struct {
	Connected bool         // a connection was to be had: from here on bytes may have gone out
	Told      *kserve.Told // what the box said at the end
	Cause     error        // why it was called off, if it was
}

// Outcome is what may be said of a trip. Only what is proven not to have run is called so: without a connection
// nothing was sent, and a box that states that it refused is believed; all else may have run.
func (s Seen) Outcome(stage brain.Stage) (o brain.Outcome, note int) {
	if t := s.Told; t != nil {
		switch {
		case t.Outcome == kserve.OutcomeRead && stage == brain.ToRead:
			return brain.Read, t.Kept
		case t.Outcome == kserve.OutcomeAnswered && stage != brain.ToRead:
			return brain.Answered, t.Kept
		case t.Outcome == kserve.OutcomeFull:
			return brain.Full, 0
		case t.Outcome == kserve.OutcomeNoState:
			return brain.Full, 1
		}
		return brain.Failed, 0
	}
	switch {
	case !s.Connected && errors.Is(s.Cause, errLeft):
		return brain.Cancelled, 0
	case !s.Connected:
		return brain.Unreached, 0
	case errors.Is(s.Cause, errLate):
		return brain.TimedOut, 0
	case errors.Is(s.Cause, errLeft):
		return brain.Cancelled, 0
	}
	return brain.Broken, 0
}

// Trips takes trips to boxes over HTTP.
type Trips struct {
	Model string
	Dial  time.Duration // for a connection
	Stall time.Duration
	Peers *Peers
	Zones []string

	loop  *Loop
	http  *http.Client
	group *errgroup.Group
	life  context.Context

	mu       sync.Mutex
	releases map[*Box]*releases
	Refused  atomic.Int64 // releases given up, as too many waited
}

// NewTrips makes the carrier; its goroutines belong to the group and end with the context.
func NewTrips(life context.Context, group *errgroup.Group, conns int) *Trips {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{KeepAlive: 15 * time.Second}).DialContext,
		MaxConnsPerHost:     conns,
		MaxIdleConnsPerHost: conns,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	return &Trips{life: life, group: group, http: &http.Client{Transport: transport}, releases: map[*Box]*releases{}}
}

// Close lets the idle connections go.
func (c *Trips) Close() { c.http.CloseIdleConnections() }

// Carry starts a trip.
func (c *Trips) Carry(f *Flight) {
	q, a := f.Trip.Question, f.Asked
	e := kserve.Errand{
		Stage: [...]string{brain.ToRead: kserve.StageRead, brain.ToWrite: kserve.StageWrite, brain.Whole: kserve.StageWhole}[f.Trip.Stage],
		From:  c.loop.Epoch, Question: q.ID, Trip: f.Trip.Number, Mark: a.Ask.ID, Grade: a.Grade, Channel: a.Channel,
		Session: q.Session, Shared: q.Shared, Tokens: int(q.Prompt), Prefix: int(q.Prefix), Most: int(q.Most),
		WaitUs: f.Wait.Microseconds(),
	}
	if f.State != nil {
		e.State = f.State.Address
	}
	// What the goroutine needs is read here: boxes are the loop's.
	base, text := "http://"+f.Box.Address, a.Ask.Text
	c.group.Go(func() error {
		seen := c.fly(f, base, text, e)
		f.cancel(nil)
		outcome, note := seen.Outcome(f.Trip.Stage)
		result := brain.Result{Outcome: outcome, Note: note}
		if seen.Told != nil {
			result.Load = seen.Told.Load
		}
		close(f.tokens)
		c.loop.Post(func() { c.loop.Ended(f, result) })
		return nil
	})
}

// fly is one trip from its connection to its end.
func (c *Trips) fly(f *Flight, base, text string, e kserve.Errand) (seen Seen) {
	defer func() { seen.Cause = context.Cause(f.ctx) }()
	dial := time.AfterFunc(c.Dial, func() { f.cancel(errNoDial) })
	defer dial.Stop()
	ctx := httptrace.WithClientTrace(f.ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		dial.Stop()
		seen.Connected = true
	}})
	r, err := kserve.NewErrand(ctx, base, c.Model, text, e)
	if err != nil {
		return seen // the address makes no request: nothing was sent
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return seen
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK || e.Stage == kserve.StageRead {
		seen.Told = told(resp)
		return seen
	}
	stall := time.AfterFunc(c.Stall, func() { f.cancel(errStalled) })
	defer stall.Stop()
	events := kserve.NewEvents(resp.Body)
	for begun := false; ; {
		ev, err := events.Next()
		if err != nil {
			return seen
		}
		stall.Reset(c.Stall)
		switch ev.Name {
		case "end":
			seen.Told = &kserve.Told{}
			if json.Unmarshal(ev.Data, seen.Told) != nil {
				seen.Told = nil
			}
			return seen
		case "error":
			seen.Told = &kserve.Told{Outcome: kserve.OutcomeFailed}
			return seen
		case "":
			if !begun {
				begun = true
				c.loop.Post(func() { c.loop.Began(f) })
			}
			select {
			case f.tokens <- slices.Clone(ev.Data):
			case <-f.ctx.Done():
				return seen
			}
		}
	}
}

// told reads a short answer of a box. A 503 counts as a refusal only if the box says so itself: a proxy's
// proves nothing.
func told(resp *http.Response) *kserve.Told {
	raw, err := io.ReadAll(io.LimitReader(resp.Body, 64<<10))
	if err != nil {
		return nil
	}
	t := &kserve.Told{}
	if json.Unmarshal(raw, t) != nil || t.Outcome == "" ||
		(t.Outcome == kserve.OutcomeFull || t.Outcome == kserve.OutcomeNoState) && resp.StatusCode != http.StatusServiceUnavailable ||
		t.Outcome == kserve.OutcomeRead && resp.StatusCode != http.StatusOK {
		return &kserve.Told{Outcome: kserve.OutcomeFailed}
	}
	return t
}

// Tell sends news to a sibling.
func (c *Trips) Tell(peer int, n brain.News) {
	if c.Peers != nil {
		c.Peers.Tell(peer, n)
	}
}

// releases are the states that a box is still to be told to let go of.
type releases struct {
	keys []string
}

const (
	releaseBatch = 256
	releaseMost  = 20000                 // waiting for one box; a box that is away so long lets go by itself
	releaseAgain = 20 * time.Millisecond // the first wait for the next try, doubled up to the next value
	releaseMax   = time.Second
	releaseTime  = 250 * time.Millisecond // for one try
)

// Release tells a box to let go of a question's state, until it is known done or the box is gone.
func (c *Trips) Release(b *Box, key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.releases[b]
	if r == nil {
		r = &releases{}
		c.releases[b] = r
		base, gone := "http://"+b.Address, b.Drained
		c.group.Go(func() error { c.releasing(b, r, base, gone); return nil })
	}
	if len(r.keys) >= releaseMost {
		c.Refused.Add(1)
		return
	}
	r.keys = append(r.keys, key)
}

// releasing works until nothing is left to release at the box.
func (c *Trips) releasing(b *Box, r *releases, base string, gone <-chan struct{}) {
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
		if err := c.release(base, batch); err == nil {
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

func (c *Trips) release(base string, keys []string) error {
	ctx, cancel := context.WithTimeout(c.life, releaseTime)
	defer cancel()
	r, err := kserve.NewRelease(ctx, base, c.Model, keys)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, io.LimitReader(resp.Body, 4096))
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("release: %s", resp.Status)
	}
	return nil
}
