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
func Serve(ctx context.Context, d setup.DispatcherConfig, log *slog.Logger, started func(addr net.Addr)) error {
	var seed [16]byte
	rand.Read(seed[:])
	epoch := fmt.Sprintf("%s.%x", d.Instance.Name, seed[8:14])
	chance := d.Instance.Seed
	if chance == 0 {
		chance = binary.BigEndian.Uint64(seed[:])
	}
	began := time.Now()
	since := func() time.Duration { return time.Since(began) }

	// Attempts outlive the wish to stop: they end with life, after the last request.
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	var flights, group errgroup.Group
	trips := NewHTTPTransport(life, &flights, d.Limits.MaxConnsPerBackend, d.Limits.DialTimeout.Std(), since)
	trips.Model, trips.StallTimeout = d.Model, d.Limits.StallTimeout.Std()
	may, err := reach.NewAllowList(d.Instance.AllowedBackends)
	if err != nil {
		return err
	}
	loop, err := NewLoop(d.SchedulerParameters(), chance, Resolver{d.ZoneIndex, d.KindIndex, may.Contains}, trips, since, epoch, log)
	if err != nil {
		return err
	}
	trips.loop = loop
	if d.Limits.ThrottleRetries {
		seal := storm.TicketSigner{Key: seed[:], StartedAt: time.Duration(began.UnixNano()), Issuer: uint32(xxhash.Sum64String(epoch))}
		if d.Instance.TicketKeyFile != "" {
			if seal.Key, err = setup.ReadKeyFile(d.Instance.TicketKeyFile); err != nil {
				return fmt.Errorf("dispatcher.ticket_key: %w", err)
			}
		}
		loop.RetryThrottle = storm.New(d.Limits.MaxRetryAfter.Std(), len(d.Tenants), chance^0x5709, seal)
	}
	for _, f := range d.ExtraAddresses {
		loop.AddAddress(f.Backend, f.Spec)
	}
	var listeners []net.Listener
	door, doorMu := &storm.ConnLimiter{ConnsPerSecond: d.Instance.ConnsPerSecond, Burst: max(d.Instance.ConnsPerSecond, 1), MaxOpen: d.Instance.MaxConns}, &sync.Mutex{}
	for i, at := range append(slices.Clone(d.Instance.Listen), d.Instance.AdminListen...) {
		spec, err := reach.ParseListen(at)
		if err != nil {
			return fmt.Errorf("dispatcher.listen: %w", err)
		}
		l, err := reach.Listen(spec)
		if err != nil {
			return fmt.Errorf("dispatcher.listen: %w", err)
		}
		defer l.Close()
		l = system.RetryingListener{Listener: l, OnError: func(err error) { log.Warn("accept failed", "error", err) }}
		if i < len(d.Instance.Listen) && d.Instance.ConnsPerSecond > 0 {
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
	if d.Limits.PeerUpdates || len(d.Budgets) > 0 && d.Instance.FleetSize > 1 {
		if trips.Peers, err = ListenPeers(d.Instance.Index, d.Instance.PeerListen, d.Instance.PeerAddrs, system.Real().ListenUDP); err != nil {
			return fmt.Errorf("dispatcher.%w", err)
		}
		group.Go(func() error { return trips.Peers.Listen(life, loop) })
	}
	if kept := newBooks(d, loop, trips, books, account, epoch, began); kept != nil {
		loop.SetAccounting(kept)
	}
	list := &boxlist.Follower{
		Address: d.Instance.DiscoveryAddr, Name: d.Instance.Name, CacheDir: d.Instance.EndpointCacheFolder, Log: log, HTTPClient: &http.Client{Transport: &http.Transport{}},
		OnUpdate: func(lines []boxlist.Endpoint, whole bool) { loop.Post(func() { loop.UpdateBackends(lines, whole) }) },
	}
	if err := list.Restore(); err != nil {
		log.Warn("the kept list is left out", "error", err)
	}
	group.Go(func() error { return loop.Run(life) })
	group.Go(func() error { return list.Run(life) })

	server := &Server{Service: d.Deployment, Instance: d.Instance, Loop: loop, Log: log}
	server.Status = func() map[string]any {
		out := state(ctx, loop, list, trips, server, since())
		if books != nil {
			out["ledger"] = books.State()
		}
		doorMu.Lock()
		defer doorMu.Unlock()
		out["connections_taken"], out["connections_refused"] = door.Accepted, door.Refused
		return out
	}
	server.Ready = func() bool {
		ready := false
		loop.Call(ctx, func() { ready = loop.HasReadyBackend() })
		return ready
	}
	front := func(h http.Handler) *http.Server {
		return &http.Server{
			Handler: h, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: headerMost,
			ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		}
	}
	web, operators := front(server.Handler()), front(server.OperatorHandler())
	failed := make(chan error, len(listeners))
	for i, l := range listeners {
		web := web
		if i >= len(d.Instance.Listen) {
			web = operators
		}
		group.Go(func() error {
			if err := web.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
			return nil
		})
	}
	log.Info("serving", "listen", d.Instance.Listen, "epoch", epoch, "boxes", d.Instance.DiscoveryAddr)
	if started != nil {
		started(listeners[0].Addr())
	}
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	server.stopping.Store(true)
	log.Info("stopping: new questions are declined", "open", server.open.Load())
	if server.drain(d.Instance.ShutdownTimeout.Std()) {
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
	list.HTTPClient.CloseIdleConnections()
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
func (c *HTTPTransport) settle(ctx context.Context, most time.Duration) {
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
func (l *Loop) HasReadyBackend() bool {
	for _, b := range l.backends {
		if b.SchedulerState.State == brain.Ready && b.SchedulerState.CachedPrefixes != nil && b.SchedulerState.Decodes() {
			return true
		}
	}
	return false
}

// Yield ends what has not begun to be answered, so that clients may ask elsewhere: what is held is declined where that promise can be
// kept, and what is out gets no further attempt.
func (l *Loop) EndUnstarted() {
	for q, a := range l.requests {
		switch f := a.flight; {
		case a.answered || a.left:
			if f != nil {
				f.Cancel(ErrNotNeeded) // nobody waits for it, and what it holds has to be released before the end
			}
		case f != nil && f.Scheduled.FirstTokenAt > 0:
		case f != nil:
			q.NoMoreAttempts = true
			f.late = true
			f.Cancel(ErrAttemptTimeout)
		default:
			if brain.MayReject(q) == brain.Allowed {
				l.answer(a, kserve.FinalResponse{Outcome: kserve.Rejected, Error: "this dispatcher is stopping", SafeToRetry: true, RetryAfterMs: 1})
			} else {
				l.Fail(q)
			}
			l.module.ClientDisconnected(q)
			l.forget(a)
		}
	}
}

// forfeitAll ends what is left when the time to stop is over.
func (l *Loop) forfeitAll() {
	for q, a := range l.requests {
		if !a.answered && !a.left {
			l.Fail(q)
			l.module.ClientDisconnected(q)
		}
		if a.flight != nil {
			a.flight.Cancel(ErrNotNeeded)
		}
		l.forget(a)
	}
}

// state is what operators see of a dispatcher.
func state(ctx context.Context, l *Loop, list *boxlist.Follower, trips *HTTPTransport, s *Server, up time.Duration) map[string]any {
	age, heard := list.Staleness()
	out := map[string]any{
		"dispatcher": l.Epoch, "up_s": up.Seconds(), "open": s.open.Load(), "stopping": s.stopping.Load(), "list_heard": heard,
		"list_age_s": age.Seconds(), "list_gaps": list.Gaps(), "releases_refused": trips.DroppedReleases.Load(),
	}
	if trips.Peers != nil {
		out["messages_dropped"] = trips.Peers.Dropped.Load()
	}
	l.Call(ctx, func() {
		t := l.Counters
		out["taken"], out["satisfied"], out["declined"], out["forfeited"] = t.Accepted, t.Served, t.Rejected, t.Failed
		out["left"], out["overdue"], out["trips"], out["held_timers"] = t.Disconnected, t.Overdue, t.Attempts, l.wakes.Len()
		out["damped"] = t.Throttled
		if b := l.books; b != nil {
			out["budgets"] = l.budgets()
			if b.Account != nil {
				out["account"] = b.Account.Counts
			}
		}
		if g := l.RetryThrottle; g != nil {
			out["storm"] = map[string]any{"on": g.Active(l.now), "again_share": g.RetryShare(l.now), "promised_returns": g.BookedRetries(l.now), "rate": g.ServiceRate(l.now), "counts": g.Counters}
		}
		outcomes := map[string]int64{}
		for i, n := range t.Outcomes {
			outcomes[outcomeWords[i]] = n
		}
		out["outcomes"] = outcomes
		var boxes []map[string]any
		for _, b := range l.backends {
			h := b.SchedulerState
			boxes = append(boxes, map[string]any{"name": b.Name, "at": b.Addresses, "standing": [...]string{"draining", "ready", "gone"}[h.State],
				"role": [...]string{"reader", "writer", "mixed"}[h.Role], "streams": h.Streams, "tokens": h.KVTokens, "util": h.Util, "queue": h.QueueLength})
		}
		out["boxes"] = boxes
	})
	out["addresses"] = boxAddresses(trips, up)
	return out
}

// boxAddresses tells how each address of each backend stands, and why.
func boxAddresses(trips *HTTPTransport, now time.Duration) []PoolState {
	var out []PoolState
	trips.Pools.ForEach(func(name string, book *addresses.Tracker, open, idle int) {
		b := PoolState{Name: name, Open: open, Idle: idle}
		for _, a := range book.Addresses() {
			b.Addresses = append(b.Addresses, AddressState{a.Spec.String(), a.Preference, a.Suspected(now), a.Summary(now)})
		}
		out = append(out, b)
	})
	return out
}

// BoxState is a backend as it is reached.
type PoolState struct {
	Name      string         `json:"name"`
	Open      int            `json:"open"`
	Idle      int            `json:"idle"`
	Addresses []AddressState `json:"addresses"`
}

// AddressState is one of its addresses.
type AddressState struct {
	Address string `json:"at"`
	Prefer  int    `json:"prefer"`
	Suspect bool   `json:"doubtful"`
	Reason  string `json:"why"`
}

// OutcomeName is how logs and counters name an outcome.
func OutcomeName(o brain.Outcome) string { return outcomeWords[o] }

var outcomeWords = [...]string{"answered", "read", "failed", "full", "timed_out", "unreached", "broken", "cancelled", "moot"}
