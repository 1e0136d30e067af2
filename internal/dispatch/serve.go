package dispatch

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"sloetrestle/brain"
	"sloetrestle/internal/addresses"
	"sloetrestle/internal/boxlist"
	"sloetrestle/internal/kserve"
	"sloetrestle/internal/reach"
	"sloetrestle/internal/setup"
	"sloetrestle/internal/storm"
	"sloetrestle/internal/system"
)

// Version is the program's.
const Version = "0.2.0"

// headerTime is how long a client may take over its request's head, and idleTime how long a connection may rest.
const (
	headerTime = 5 * time.Second
	idleTime   = 60 * time.Second
	headerMost = 64 << 10

	accountTime = 4 * time.Second // for the counts of the last attempts, when a dispatcher stops
)

// Serve runs one dispatcher until the context ends; then it declines what is new, lets what it holds end, and
// returns. Listening is told to started, with the address.
func Serve(ctx context.Context, d setup.Dispatcher, log *slog.Logger, started func(addr net.Addr)) error {
	var seed [16]byte
	rand.Read(seed[:])
	epoch := fmt.Sprintf("%s.%x", d.Place.Name, seed[8:14])
	chance := d.Place.Seed
	if chance == 0 {
		chance = binary.BigEndian.Uint64(seed[:])
	}
	began := time.Now()
	since := func() time.Duration { return time.Since(began) }

	// Attempts outlive the wish to stop: they end with life, after the last request.
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	var flights, group errgroup.Group
	trips := NewTrips(life, &flights, d.Limits.BoxConns, d.Limits.Dial.D(), since)
	trips.Model, trips.Stall = d.Model, d.Limits.Stall.D()
	may, err := reach.NewAllowed(d.Place.Allow)
	if err != nil {
		return err
	}
	loop, err := NewLoop(d.Facts(), chance, Places{d.ZoneNumber, d.KindNumber, may.Has}, trips, since, epoch, log)
	if err != nil {
		return err
	}
	trips.loop = loop
	if d.Limits.Storms {
		seal := storm.Seal{Key: seed[:], Began: time.Duration(began.UnixNano()), From: uint32(xxhash.Sum64String(epoch))}
		if d.Place.Tickets != "" {
			if seal.Key, err = setup.ReadKey(d.Place.Tickets); err != nil {
				return fmt.Errorf("dispatcher.ticket_key: %w", err)
			}
		}
		loop.Guard = storm.New(d.Limits.RetryAfter.D(), len(d.Channels), chance^0x5709, seal)
	}
	for _, f := range d.Further {
		loop.Further(f.Box, f.Spec)
	}
	var listeners []net.Listener
	door, doorMu := &storm.Door{PerS: d.Place.ConnPerS, Burst: max(d.Place.ConnPerS, 1), MostOpen: d.Place.ConnOpen}, &sync.Mutex{}
	for i, at := range append(slices.Clone(d.Place.Listen), d.Place.Control...) {
		spec, err := reach.ParseListen(at)
		if err != nil {
			return fmt.Errorf("dispatcher.listen: %w", err)
		}
		l, err := reach.Listen(spec)
		if err != nil {
			return fmt.Errorf("dispatcher.listen: %w", err)
		}
		defer l.Close()
		l = system.Persistent{Listener: l, Failed: func(err error) { log.Warn("accept failed", "error", err) }}
		if i < len(d.Place.Listen) && d.Place.ConnPerS > 0 {
			l = &guarded{l, doorMu, door, since}
		}
		listeners = append(listeners, l)
	}
	books, account, err := openBooks(d, epoch, began, log)
	if err != nil {
		return err
	}
	if books != nil {
		defer books.Close()
	}
	if d.Limits.Siblings || len(d.Budgets) > 0 && d.Place.Siblings > 1 {
		if trips.Peers, err = ListenPeers(d.Place.Number, d.Place.News, d.Place.Peers, system.Real().ListenUDP); err != nil {
			return fmt.Errorf("dispatcher.%w", err)
		}
		group.Go(func() error { return trips.Peers.Listen(life, loop) })
	}
	if kept := newBooks(d, loop, trips, books, account, epoch, began); kept != nil {
		loop.Keep(kept)
	}
	list := &boxlist.Follower{
		Address: d.Place.Boxes, Name: d.Place.Name, Keep: d.Place.Keep, Log: log, Client: &http.Client{Transport: &http.Transport{}},
		Listed: func(lines []boxlist.Box, whole bool) { loop.Post(func() { loop.Listed(lines, whole) }) },
	}
	if err := list.Restore(); err != nil {
		log.Warn("the kept list is left out", "error", err)
	}
	group.Go(func() error { return loop.Run(life) })
	group.Go(func() error { return list.Follow(life) })

	server := &Server{Terms: d.Terms, Place: d.Place, Loop: loop, Log: log}
	server.State = func() map[string]any {
		out := state(ctx, loop, list, trips, server, since())
		if books != nil {
			out["ledger"] = books.State()
		}
		doorMu.Lock()
		defer doorMu.Unlock()
		out["connections_taken"], out["connections_refused"] = door.Taken, door.Refused
		return out
	}
	server.Ready = func() bool {
		ready := false
		loop.Call(ctx, func() { ready = loop.Answers() })
		return ready
	}
	front := func(h http.Handler) *http.Server {
		return &http.Server{
			Handler: h, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: headerMost,
			ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		}
	}
	web, operators := front(server.Handler()), front(server.Operators())
	failed := make(chan error, len(listeners))
	for i, l := range listeners {
		web := web
		if i >= len(d.Place.Listen) {
			web = operators
		}
		group.Go(func() error {
			if err := web.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
			return nil
		})
	}
	log.Info("serving", "listen", d.Place.Listen, "epoch", epoch, "boxes", d.Place.Boxes)
	if started != nil {
		started(listeners[0].Addr())
	}
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	server.stopping.Store(true)
	log.Info("stopping: new questions are declined", "open", server.open.Load())
	if server.drain(d.Place.Stop.D()) {
		log.Info("every question has its answer")
	} else {
		log.Warn("questions are cut off", "open", server.open.Load())
	}
	loop.Call(life, loop.forfeitAll)
	shut, cancel := context.WithTimeout(life, time.Second)
	web.Shutdown(shut)
	operators.Shutdown(shut)
	cancel()
	web.Close()
	operators.Close()
	trips.settle(life, time.Second)
	loop.settleAccount(life, accountTime)
	end()
	flights.Wait()
	group.Wait()
	list.Client.CloseIdleConnections()
	return err
}

// drain waits for open requests to end. It goes on listening for a little while at the least, so that clients
// that a front still sends here get an answer.
func (s *Server) drain(most time.Duration) bool {
	const step, least = 10 * time.Millisecond, 300 * time.Millisecond
	for waited := time.Duration(0); waited < most; waited += step {
		if waited >= least && s.open.Load() == 0 {
			return true
		}
		time.Sleep(step)
	}
	return s.open.Load() == 0
}

// settle waits until every attempt has ended and the backends were told of all releases, or for so long. An attempt that was called off
// ends a little later, and its end may ask for a release.
func (c *Trips) settle(ctx context.Context, most time.Duration) {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		out := 0
		c.loop.Call(ctx, func() { out = len(c.loop.requests) })
		c.mu.Lock()
		left := len(c.releases)
		c.mu.Unlock()
		if out+left == 0 {
			return
		}
	}
}

// Answers tells whether a backend that answers is ready.
func (l *Loop) Answers() bool {
	for _, b := range l.backends {
		if b.Known.State == brain.Ready && b.Known.CachedPrefixes != nil && b.Known.Decodes() {
			return true
		}
	}
	return false
}

// Yield ends what has not begun to be answered, so that clients may ask elsewhere: what is held is declined where that promise can be
// kept, and what is out gets no further attempt.
func (l *Loop) Yield() {
	for q, a := range l.requests {
		switch f := a.flight; {
		case a.answered || a.left:
			if f != nil {
				f.Off(ErrLeft) // nobody waits for it, and what it holds has to be released before the end
			}
		case f != nil && f.Planned.FirstTokenAt > 0:
		case f != nil:
			q.NoMoreAttempts = true
			f.late = true
			f.Off(ErrLate)
		default:
			if brain.MayReject(q) == brain.Allowed {
				l.answer(a, kserve.Final{Final: kserve.Declined, Error: "this dispatcher is stopping", Harmless: true, AfterMs: 1})
			} else {
				l.Fail(q)
			}
			l.module.Left(q)
			l.forget(a)
		}
	}
}

// forfeitAll ends what is left when the time to stop is over.
func (l *Loop) forfeitAll() {
	for q, a := range l.requests {
		if !a.answered && !a.left {
			l.Fail(q)
			l.module.Left(q)
		}
		if a.flight != nil {
			a.flight.Off(ErrLeft)
		}
		l.forget(a)
	}
}

// state is what operators see of a dispatcher.
func state(ctx context.Context, l *Loop, list *boxlist.Follower, trips *Trips, s *Server, up time.Duration) map[string]any {
	age, heard := list.Age()
	out := map[string]any{
		"dispatcher": l.Epoch, "up_s": up.Seconds(), "open": s.open.Load(), "stopping": s.stopping.Load(), "list_heard": heard,
		"list_age_s": age.Seconds(), "list_gaps": list.Gaps(), "releases_refused": trips.Refused.Load(),
	}
	if trips.Peers != nil {
		out["messages_dropped"] = trips.Peers.Dropped.Load()
	}
	l.Call(ctx, func() {
		t := l.Tally
		out["taken"], out["satisfied"], out["declined"], out["forfeited"] = t.Taken, t.Satisfied, t.Declined, t.Forfeited
		out["left"], out["overdue"], out["trips"], out["held_timers"] = t.Left, t.Overdue, t.Trips, l.wakes.Len()
		out["damped"] = t.Damped
		if b := l.books; b != nil {
			out["budgets"] = l.budgets()
			if b.Account != nil {
				out["account"] = b.Account.Counts
			}
		}
		if g := l.Guard; g != nil {
			out["storm"] = map[string]any{"on": g.On(l.now), "again_share": g.Again(l.now), "promised_returns": g.Promised(l.now), "rate": g.Rate(l.now), "counts": g.Counts}
		}
		outcomes := map[string]int64{}
		for i, n := range t.Outcomes {
			outcomes[outcomeWords[i]] = n
		}
		out["outcomes"] = outcomes
		var boxes []map[string]any
		for _, b := range l.backends {
			h := b.Known
			boxes = append(boxes, map[string]any{"name": b.Name, "at": b.At, "standing": [...]string{"draining", "ready", "gone"}[h.State],
				"role": [...]string{"reader", "writer", "mixed"}[h.Role], "streams": h.Streams, "tokens": h.KVTokens, "util": h.Util, "queue": h.QueueLength})
		}
		out["boxes"] = boxes
	})
	out["addresses"] = boxAddresses(trips, up)
	return out
}

// boxAddresses tells how each address of each backend stands, and why.
func boxAddresses(trips *Trips, now time.Duration) []BoxState {
	var out []BoxState
	trips.Boxes.Look(func(name string, book *addresses.Book, open, idle int) {
		b := BoxState{Name: name, Open: open, Idle: idle}
		for _, a := range book.Addresses() {
			b.Addresses = append(b.Addresses, AddressState{a.Spec.String(), a.Prefer, a.Doubtful(now), a.Why(now)})
		}
		out = append(out, b)
	})
	return out
}

// BoxState is a backend as it is reached.
type BoxState struct {
	Name      string         `json:"name"`
	Open      int            `json:"open"`
	Idle      int            `json:"idle"`
	Addresses []AddressState `json:"addresses"`
}

// AddressState is one of its addresses.
type AddressState struct {
	At       string `json:"at"`
	Prefer   int    `json:"prefer"`
	Doubtful bool   `json:"doubtful"`
	Why      string `json:"why"`
}

// OutcomeName is how logs and counters name an outcome.
func OutcomeName(o brain.Outcome) string { return outcomeWords[o] }

var outcomeWords = [...]string{"answered", "read", "failed", "full", "timed_out", "unreached", "broken", "cancelled", "moot"}
