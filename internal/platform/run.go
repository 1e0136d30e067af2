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

	"sloetrestle/internal/chat"
	"sloetrestle/internal/connpool"
	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/endpointlist"
	"sloetrestle/internal/endpoints"
	"sloetrestle/internal/memory"
	"sloetrestle/internal/monitor"
	"sloetrestle/internal/system"
	"sloetrestle/scheduler"
)

const serviceHost = "backend.local" // the Host header of requests to backends

// node is one dispatcher with its listeners, its connections to backends and its background goroutines.
type node struct {
	config         Config
	settings       scheduler.Settings
	log            *slog.Logger
	uptime         func() time.Duration // the event loop's clock
	lifetime       context.Context      // of attempts, which continue during a graceful shutdown
	cancel         context.CancelFunc
	transportTasks errgroup.Group
	tasks          errgroup.Group
	loop           *dispatch.Loop
	transport      *transport
	frontend       *frontend
	limiter        *limiter
	acceptingDone  chan struct{}   // closed when no further connection is accepted
	peers          *dispatch.Peers // does not listen if the configuration has no address for it
	follower       *endpoints.Follower
	monitor        *monitor.Monitor
	stalls         *stallDetector
	memory         *memory.Account // of what clients make the dispatcher hold
	maxAttempts    int             // in flight
}

// RunConfigured runs a dispatcher that is configured by the file which BALANCER_CONFIG names and, for what the file lacks,
// by further BALANCER_* variables.
func RunConfigured(ctx context.Context, sys system.System, reloads <-chan os.Signal, log *slog.Logger) error {
	load := func() (Config, error) { return Load(os.Getenv("BALANCER_CONFIG"), os.Getenv) }
	config, err := load()
	if err != nil {
		return err
	}
	return Run(ctx, config, sys, reloads, load, log)
}

// Run serves until the context ends, then answers all admitted requests and returns. On every signal from reloads it
// calls load for a new configuration.
func Run(
	ctx context.Context, config Config, sys system.System,
	reloads <-chan os.Signal, load func() (Config, error), log *slog.Logger,
) error {
	runtime.GOMAXPROCS(1)
	division, err := config.divideMemory()
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(division.Runtime)
	n, err := newNode(context.WithoutCancel(ctx), config, division, sys, log)
	if err != nil {
		return err
	}
	return n.run(ctx, reloads, load)
}

// newNode opens the listeners and sets up a dispatcher with the last-known endpoints of its configuration.
func newNode(
	ctx context.Context, config Config, division memory.Division, sys system.System, log *slog.Logger,
) (*node, error) {
	began := time.Now()
	n := &node{
		config: config, settings: scheduler.FlattenSettings(config.Settings), log: log, acceptingDone: make(chan struct{}),
		uptime: func() time.Duration { return time.Since(began) }, memory: memory.NewAccount(division.Clients),
		maxAttempts: min(config.resources().attempts, division.Attempts),
	}
	n.lifetime, n.cancel = context.WithCancel(ctx)
	n.stalls = newStallDetector(began)
	n.monitor = monitor.New(monitorBounds(n.settings), n.uptime, log)
	n.createTransport(sys)
	listener, err := system.OpenWithRetry(func() (system.Listener, error) { return sys.Listen(config.Listen) })
	if err != nil {
		return nil, err
	}
	if err := n.openPeers(sys); err != nil {
		listener.Close()
		return nil, err
	}
	if err := n.createLoop(); err != nil {
		listener.Close()
		if n.peers.Conn != nil {
			n.peers.Conn.Close()
		}
		return nil, err
	}
	n.createFollower(sys)
	n.limiter = newLimiter(listener, int(float64(config.resources().clients)/(1+closingShare)), n.memory, log)
	n.frontend = newFrontend(n.loop, n.settings, n.memory, n.monitor, n.stalls, log)
	n.frontend.nearConnLimit = n.limiter.NearLimit
	n.frontend.becomesReady = n.becomesReady
	n.frontend.unlistedFor = n.unlistedFor
	return n, nil
}

// createTransport creates what sends attempts to backends.
func (n *node) createTransport(sys system.System) {
	shares := n.config.resources()
	pools := &connpool.Manager{
		DialTimeout:        max(n.settings.Duration("policyLimits.dialTimeoutUs"), 10*time.Millisecond),
		MaxConnsPerBackend: n.maxAttempts, Now: n.uptime,
		Context: n.lifetime, Group: &n.transportTasks, Dial: sys.Dial, SkipVerify: true,
	}
	n.transport = &transport{
		loadFields: n.settings.Names("report.fields"), pools: pools, lifetime: n.lifetime,
		tasks: &n.transportTasks, log: n.log, notable: &notableLog{log: n.log}, monitor: n.monitor,
		stalls: n.stalls, traffic: map[string]*backendTraffic{},
		poolOf: map[*dispatch.Backend]*connpool.Pool{}, releaser: releaser{callSlots: make(chan struct{}, shares.releases)},
		clock: n.uptime, attemptSlots: make(chan struct{}, n.maxAttempts),
	}
}

// openPeers opens the socket for messages of peers, if the configuration has an address for it.
func (n *node) openPeers(sys system.System) (err error) {
	n.peers = &dispatch.Peers{}
	if n.config.PeerListen != "" {
		n.peers, err = dispatch.ListenPeers(
			int(n.settings.Number("slotNo", 0)), n.config.PeerListen, n.config.Peers, sys.ListenUDP)
		if err != nil {
			return fmt.Errorf("listening for peer updates on %s: %w", n.config.PeerListen, err)
		}
		n.peers.Plain = true
	}
	n.transport.sendToPeer = n.peers.SendUpdate
	return nil
}

// createLoop creates the event loop with its scheduler.
func (n *node) createLoop() (err error) {
	resolver := dispatch.Resolver{
		ZoneNumber: func(name string) int { return zoneNumber(n.settings, name) },
		KindNumber: func(name string) int { return n.settings.Index("kinds", name) },
	}
	n.loop, err = dispatch.NewLoop(
		n.settings, n.config.randomSeed(), resolver, n.transport, n.uptime, n.config.Name, n.log)
	n.transport.loop = n.loop
	return err
}

// createFollower creates the follower of service discovery.
func (n *node) createFollower(sys system.System) {
	observer := &discoveryObserver{n.monitor, map[string]bool{}}
	n.follower = &endpoints.Follower{
		Log: n.log, Monotonic: n.uptime, WallClock: sys.Wall, Dial: sys.Dial,
		OnUpdate: func(listed []endpointlist.Endpoint, full bool) {
			observer.listed(listed, full)
			n.loop.Post(func() { n.loop.UpdateBackends(listed, full) })
		},
	}
	if len(n.config.LastKnown) > 0 {
		if err := n.follower.SetLastKnown(n.config.LastKnown); err != nil {
			n.log.Warn("cannot read the last-known endpoints of the configuration, ignoring them", "error", err)
		}
	}
	n.follower.SetAddress(n.config.Discovery)
}

// unlistedFor returns how long the dispatcher has run without a list of service discovery, or 0 once it has one.
func (n *node) unlistedFor() time.Duration {
	if n.follower.Synced() {
		return 0
	}
	return max(n.uptime(), 1)
}

// becomesReady reports whether the dispatcher, which has not been ready before, is ready now.
func (n *node) becomesReady() bool {
	unlisted, canServe := n.unlistedFor(), false
	if unlisted == 0 {
		n.loop.Call(n.lifetime, func() { canServe = n.loop.HasReadyBackend() })
	}
	ready := mayBeReady(unlisted, canServe)
	if ready && unlisted > 0 {
		n.log.Warn("ready without a list of service discovery, requests are rejected until it answers", "after", unlisted)
	}
	return ready
}

// zoneNumber returns the number of a zone: its index in the settings or, for a zone that they do not name, a number
// that none of the named zones has. Backends deduplicate requests per zone, so an unnamed zone must not be taken for
// a named one.
func zoneNumber(settings scheduler.Settings, name string) int {
	if i := settings.Index("dcs", name); i >= 0 || name == "" {
		return max(i, 0)
	}
	return int(settings.Number("dcs", 0)) + 1 + int(dispatch.BackendID(name))
}

func (n *node) run(ctx context.Context, reloads <-chan os.Signal, load func() (Config, error)) (err error) {
	n.transportTasks.Go(n.transport.pools.Run)
	n.tasks.Go(func() error { return n.loop.Run(n.lifetime) })
	n.tasks.Go(func() error { return n.follower.Run(n.lifetime) })
	n.tasks.Go(func() error { n.stalls.run(n.lifetime); return nil })
	n.tasks.Go(func() error { n.watchReloads(n.lifetime, reloads, load); return nil })
	if n.peers.Conn != nil {
		n.tasks.Go(func() error { return n.peers.Listen(n.lifetime, n.loop) })
	}
	server := &http.Server{
		Handler: n.frontend, ReadHeaderTimeout: headTimeout, IdleTimeout: clientIdleTimeout,
		MaxHeaderBytes: chat.MaxHeadBytes,
		ConnState:      n.limiter.connStateChanged, ConnContext: withConn,
		ErrorLog: slog.NewLogLogger(n.log.Handler(), slog.LevelDebug),
	}
	failed := make(chan error, 1)
	n.tasks.Go(func() error {
		defer close(n.acceptingDone)
		if err := server.Serve(n.limiter); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
		return nil
	})
	config := n.config
	n.log.Info("serving", "listen", n.limiter.Addr().String(), "discovery", config.Discovery, "cores", config.Limits.Cores,
		"memory_mb", config.Limits.MemoryMB, "sockets", config.Limits.Sockets, "clients", n.limiter.maxConns,
		"boxes", n.transport.pools.MaxConnsPerBackend)
	tick := time.NewTicker(stateLogInterval)
	defer tick.Stop()
	for running := true; running; {
		select {
		case <-ctx.Done():
			running = false
		case err = <-failed:
			running = false
		case <-tick.C:
			n.logState()
		}
	}
	n.shutdown(server)
	return err
}
