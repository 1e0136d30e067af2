package platform

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"golang.org/x/sync/errgroup"

	"sloetrestle/brain"
	"sloetrestle/internal/boxlist"
	"sloetrestle/internal/chat"
	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/endpoints"
	"sloetrestle/internal/monitor"
	"sloetrestle/internal/reach"
	"sloetrestle/internal/system"
)

const (
	serviceHost = "backend.local"
	tellEach    = 5 * time.Second // between two lines on how things stand
	// firstListWait is how long a dispatcher that knows an old list waits for discovery's before it takes clients: what discovery has
	// counts as known from the start.
	firstListWait = time.Second
)

// node is one dispatcher with its ways in and out.
type node struct {
	place     Config
	facts     brain.Settings
	log       *slog.Logger
	life      context.Context // of attempts, which outlive the wish to stop
	end       context.CancelFunc
	trips     errgroup.Group
	group     errgroup.Group
	loop      *dispatch.Loop
	transport *transport
	frontend  *frontend
	limiter   *limiter
	served    chan struct{}   // closed when no further connection is accepted
	peers     *dispatch.Peers // none that listens where the configuration has no address
	follower  *endpoints.Follower
	monitor   *monitor.Monitor
	pulse     *stallDetector
}

// Run serves until the context ends; then it answers what it has and returns. again says when the configuration is to be read anew.
func Run(ctx context.Context, p Config, sys system.System, again <-chan os.Signal, read func() (Config, error), log *slog.Logger) error {
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(p.room().heap)
	n, err := open(context.WithoutCancel(ctx), p, sys, log)
	if err != nil {
		return err
	}
	return n.run(ctx, again, read)
}

// open makes a dispatcher that listens, and knows the list that it was started with.
func open(ctx context.Context, p Config, sys system.System, log *slog.Logger) (*node, error) {
	room, facts := p.room(), brain.FlattenSettings(p.Settings)
	began := time.Now()
	since := func() time.Duration { return time.Since(began) }
	n := &node{place: p, facts: facts, log: log, served: make(chan struct{})}
	n.life, n.end = context.WithCancel(ctx)
	n.pulse = newStallDetector(time.Now())
	n.monitor = monitor.New(monitorTerms(facts), since, log)
	boxes := &reach.Manager{
		DialTimeout: max(facts.Duration("policyLimits.dialTimeoutUs"), 10*time.Millisecond), MaxConnsPerBackend: room.boxes, Now: since, Context: n.life, Group: &n.trips, Dial: sys.Dial, SkipVerify: true,
	}
	n.transport = &transport{
		fields: facts.Names("report.fields"), pools: boxes, life: n.life, group: &n.trips, log: log, notable: &notableLog{log: log}, monitor: n.monitor, pulse: n.pulse, passed: map[string]*passed{},
		hosts: map[*dispatch.Backend]*reach.Pool{}, releaser: releaser{calls: make(chan struct{}, room.releases)}, clock: since,
		attemptSlots: make(chan struct{}, room.boxes),
	}
	places := dispatch.Resolver{
		ZoneNumber: func(name string) int { return zoneNumber(facts, name) },
		KindNumber: func(name string) int { return facts.Index("kinds", name) },
	}
	listener, err := system.OpenWithRetry(func() (system.Listener, error) { return sys.Listen(p.Listen) })
	if err != nil {
		return nil, err
	}
	if n.peers = (&dispatch.Peers{}); p.PeerListen != "" {
		if n.peers, err = dispatch.ListenPeers(int(facts.Number("slotNo", 0)), p.PeerListen, p.Peers, sys.ListenUDP); err != nil {
			listener.Close()
			return nil, fmt.Errorf("siblings: %w", err)
		}
		n.peers.Plain = true
	}
	n.transport.tell = n.peers.SendUpdate
	if n.loop, err = dispatch.NewLoop(facts, p.chance(), places, n.transport, since, p.Name, log); err != nil {
		listener.Close()
		if n.peers.Conn != nil {
			n.peers.Conn.Close()
		}
		return nil, err
	}
	n.transport.loop = n.loop
	observer := &listedObserver{n.monitor, map[string]bool{}}
	n.follower = &endpoints.Follower{Log: log, Monotonic: since, WallClock: sys.Wall, Dial: sys.Dial, OnUpdate: func(lines []boxlist.Endpoint, whole bool) {
		observer.listed(lines, whole)
		n.loop.Post(func() { n.loop.UpdateBackends(lines, whole) })
	}}
	if len(p.Known) > 0 {
		if err := n.follower.Apply(p.Known); err != nil {
			log.Warn("the known list is left out", "error", err)
		}
	}
	n.follower.SetAddress(p.Discovery)
	n.limiter = newLimiter(listener, int(float64(room.clients)/(1+closingShare)), log)
	n.frontend = newFrontend(n.loop, facts, room.bodies, n.monitor, n.pulse, log)
	n.frontend.nearConnLimit = n.limiter.NearLimit
	n.frontend.hasBackends = func() bool {
		if !n.follower.Synced() && since() < firstListWait {
			return false
		}
		ready := false
		n.loop.Call(n.life, func() { ready = n.loop.HasReadyBackend() })
		return ready
	}
	return n, nil
}

// zoneNumber is a zone's number in the settings. One that they do not name gets a number of its own, as it is not the first of those
// that they do: what drops repeats in one zone knows nothing of another's.
func zoneNumber(facts brain.Settings, name string) int {
	if i := facts.Index("dcs", name); i >= 0 || name == "" {
		return max(i, 0)
	}
	return int(facts.Number("dcs", 0)) + 1 + int(dispatch.BackendID(name))
}

func (n *node) run(ctx context.Context, again <-chan os.Signal, read func() (Config, error)) (err error) {
	n.trips.Go(n.transport.pools.Run)
	n.group.Go(func() error { return n.loop.Run(n.life) })
	n.group.Go(func() error { return n.follower.Run(n.life) })
	n.group.Go(func() error { n.pulse.run(n.life); return nil })
	n.group.Go(func() error { n.reload(n.life, again, read); return nil })
	if n.peers.Conn != nil {
		n.group.Go(func() error { return n.peers.Listen(n.life, n.loop) })
	}
	web := &http.Server{
		Handler: n.frontend, ReadHeaderTimeout: headTimeout, IdleTimeout: clientIdleTimeout, MaxHeaderBytes: chat.MaxHeadBytes, ConnState: n.limiter.connStateChanged, ConnContext: withConn,
		ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	}
	failed := make(chan error, 1)
	n.group.Go(func() error {
		defer close(n.served)
		if err := web.Serve(n.limiter); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
		return nil
	})
	p := n.place
	n.log.Info("serving", "listen", n.limiter.Addr().String(), "discovery", p.Discovery, "cores", p.Limits.Cores, "memory_mb", p.Limits.MemoryMB,
		"sockets", p.Limits.Sockets, "clients", n.limiter.maxConns, "boxes", n.transport.pools.MaxConnsPerBackend)
	tick := time.NewTicker(tellEach)
	defer tick.Stop()
	for run := true; run; {
		select {
		case <-ctx.Done():
			run = false
		case err = <-failed:
			run = false
		case <-tick.C:
			n.tell()
		}
	}
	n.stop(web)
	return err
}

// tell logs how things stand.
func (n *node) tell() {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	c, f, g := n.transport, n.frontend, n.limiter
	n.loop.Call(n.life, func() {
		t := n.loop.Counters
		turn, wait, timer := n.loop.Lag.TakePeriod()
		n.log.Info("state", "taken", t.Accepted, "again", f.Resubmitted.Load(), "rest", f.Continuations.Load(), "moved", f.MovedStreams.Load(), "satisfied", t.Served,
			"declined", t.Rejected, "forfeited", t.Failed, "left", t.Disconnected, "overdue", t.Overdue, "trips", t.Attempts, "outcomes", fmt.Sprint(t.Outcomes),
			"prefills", fmt.Sprint(t.Prefills), "began", t.FirstTokens, "in_time", t.OnTime, "held_ms", t.QueueTime.Milliseconds(), "first_ms", t.FirstTokenTime.Milliseconds(),
			"believes", fmt.Sprintf("%+v", n.loop.Estimates()), "open", f.openRequests.Load(), "bodies", f.bodyBytes.Load(), "clients", g.count(), "pushed", g.Evicted.Load(), "waited", g.CapacityWaits.Load(), "accept_failed", g.AcceptErrors.Load(), "shut", g.ClosedUnread.Load(), "refused", f.refusalCounts(),
			"released", c.Calls.Load(), "unheard", c.Unheard.Load(), "stale", c.Stale.Load(), "local", c.LocalFailures.Load(), "unarrived", c.Unacknowledged.Load(), "spoilt", c.Spoilt.Load(), "strange", c.Strange.Load(),
			"watch_lost", n.follower.WatchFailures(), "strangers", n.peers.Dropped.Load(), "broken", n.monitor.Counts(), "due", c.Due.Load(), "too_late", f.LateAnswers.Load(), "turn_ms", turn.Milliseconds(),
			"queued_ms", wait.Milliseconds(), "timer_ms", timer.Milliseconds(), "long_turns", n.loop.Lag.LongTurns, "unlogged", c.notable.dropped.Load(), "heap_kb", m.HeapAlloc>>10, "sys_kb", m.Sys>>10, "goroutines", runtime.NumGoroutine())
		n.compare()
	})
}

// compare logs what the module believes of each backend beside what passed on its connections, and forgets backends that are gone.
func (n *node) compare() {
	n.transport.mu.Lock()
	defer n.transport.mu.Unlock()
	for name, p := range n.transport.passed {
		if h := n.loop.SchedulerBackend(name); h == nil && p.reads+p.writes == 0 {
			delete(n.transport.passed, name)
		} else if h != nil {
			n.log.Debug("box", "name", name, "role", h.Role, "standing", h.State, "streams", h.Streams, "writes", p.writes, "unread", h.PrefillBacklog, "reads", p.reads,
				"tokens", h.KVTokens, "room", h.TokenLimit, "util", h.Util, "queue", h.QueueLength, "said", p.load, "sent", p.sent)
		}
	}
}
