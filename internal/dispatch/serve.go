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

	"sloetrestle/internal/connpool"
	"sloetrestle/internal/endpointlist"
	"sloetrestle/internal/retrythrottle"
	"sloetrestle/internal/setup"
	"sloetrestle/internal/system"
	"sloetrestle/scheduler"
)

// Version is the program's version.
const Version = "0.2.0"

const (
	headerTimeout  = 5 * time.Second // for the header of a request
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 64 << 10

	accountTimeout = 4 * time.Second // for the usage counts of the last attempts, when a dispatcher stops
)

// Serve runs one dispatcher until the context ends. It then rejects new requests, lets the open ones end within the
// configured time, and returns. started is called with the first address once the dispatcher listens.
func Serve(ctx context.Context, config setup.DispatcherConfig, log *slog.Logger, started func(addr net.Addr)) error {
	var random [16]byte
	rand.Read(random[:])
	epoch := fmt.Sprintf("%s.%x", config.Instance.Name, random[8:14])
	seed := config.Instance.Seed
	if seed == 0 {
		seed = binary.BigEndian.Uint64(random[:])
	}
	startedAt := time.Now()
	clock := func() time.Duration { return time.Since(startedAt) }

	// Attempts outlive ctx: they end with lifetime, after the last request.
	lifetime, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	var attempts, group errgroup.Group
	transport := NewHTTPTransport(lifetime, &attempts, config.Limits.MaxConnsPerBackend, config.Limits.DialTimeout.Std(),
		clock)
	transport.Model, transport.StallTimeout = config.Model, config.Limits.StallTimeout.Std()
	allowed, err := connpool.NewAllowList(config.Instance.AllowedBackends)
	if err != nil {
		return err
	}
	loop, err := NewLoop(config.SchedulerParameters(), seed,
		Resolver{config.ZoneIndex, config.KindIndex, allowed.Contains},
		transport, clock, epoch, log)
	if err != nil {
		return err
	}
	transport.loop = loop
	if config.Limits.ThrottleRetries {
		seal := retrythrottle.TicketSigner{
			Key: random[:], StartedAt: time.Duration(startedAt.UnixNano()), Issuer: uint32(xxhash.Sum64String(epoch)),
		}
		if config.Instance.TicketKeyFile != "" {
			if seal.Key, err = setup.ReadKeyFile(config.Instance.TicketKeyFile); err != nil {
				return fmt.Errorf("dispatcher.ticket_key: %w", err)
			}
		}
		loop.RetryThrottle = retrythrottle.New(config.Limits.MaxRetryAfter.Std(), len(config.Tenants), seed^0x5709, seal)
	}
	for _, further := range config.ExtraAddresses {
		loop.AddAddress(further.Backend, further.Spec)
	}
	var listeners []net.Listener
	limiter, limiterMu := &retrythrottle.ConnLimiter{
		ConnsPerSecond: config.Instance.ConnsPerSecond, Burst: max(config.Instance.ConnsPerSecond, 1),
		MaxOpen: config.Instance.MaxConns,
	}, &sync.Mutex{}
	for i, address := range append(slices.Clone(config.Instance.Listen), config.Instance.AdminListen...) {
		spec, err := connpool.ParseListen(address)
		if err != nil {
			return fmt.Errorf("dispatcher.listen: %w", err)
		}
		listener, err := connpool.Listen(spec)
		if err != nil {
			return fmt.Errorf("dispatcher.listen: %w", err)
		}
		defer listener.Close()
		listener = system.RetryingListener{
			Listener: listener, OnError: func(err error) { log.Warn("accepting a connection failed", "error", err) },
		}
		if i < len(config.Instance.Listen) && config.Instance.ConnsPerSecond > 0 {
			listener = &limitedListener{listener, limiterMu, limiter, clock}
		}
		listeners = append(listeners, listener)
	}
	journal, history, err := openLedger(config, epoch, startedAt, log)
	if err != nil {
		return err
	}
	if journal != nil {
		defer journal.Close()
	}
	if config.Limits.PeerUpdates || len(config.Budgets) > 0 && config.Instance.FleetSize > 1 {
		if transport.Peers, err = ListenPeers(config.Instance.Index, config.Instance.PeerListen, config.Instance.PeerAddrs,
			system.Real().ListenUDP); err != nil {
			return fmt.Errorf("dispatcher.%w", err)
		}
		group.Go(func() error { return transport.Peers.Listen(lifetime, loop) })
	}
	if accounting := newAccounting(config, loop, transport, journal, history, epoch, startedAt); accounting != nil {
		loop.SetAccounting(accounting)
	}
	discovery := &endpointlist.Follower{
		Address: config.Instance.DiscoveryAddr, Name: config.Instance.Name, CacheDir: config.Instance.EndpointCacheFolder,
		Log:        log,
		HTTPClient: &http.Client{Transport: &http.Transport{}},
		OnUpdate: func(entries []endpointlist.Endpoint, complete bool) {
			loop.Post(func() { loop.UpdateBackends(entries, complete) })
		},
	}
	if err := discovery.Restore(); err != nil {
		log.Warn("starting without the stored service discovery list", "error", err)
	}
	group.Go(func() error { return loop.Run(lifetime) })
	group.Go(func() error { return discovery.Run(lifetime) })

	server := &Server{Service: config.Deployment, Instance: config.Instance, Loop: loop, Log: log}
	server.Status = func() map[string]any {
		out := statusReport(ctx, loop, discovery, transport, server, clock())
		if journal != nil {
			out["ledger"] = journal.State()
		}
		limiterMu.Lock()
		defer limiterMu.Unlock()
		out["connections_taken"], out["connections_refused"] = limiter.Accepted, limiter.Refused
		return out
	}
	server.Ready = func() bool {
		ready := false
		loop.Call(ctx, func() { ready = loop.HasReadyBackend() })
		return ready
	}
	newHTTPServer := func(h http.Handler) *http.Server {
		return &http.Server{
			Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
			ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		}
	}
	clients, operators := newHTTPServer(server.Handler()), newHTTPServer(server.OperatorHandler())
	failed := make(chan error, len(listeners))
	for i, listener := range listeners {
		httpServer := clients
		if i >= len(config.Instance.Listen) {
			httpServer = operators
		}
		group.Go(func() error {
			if err := httpServer.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
			return nil
		})
	}
	log.Info("serving", "listen", config.Instance.Listen, "epoch", epoch, "boxes", config.Instance.DiscoveryAddr)
	if started != nil {
		started(listeners[0].Addr())
	}
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	server.stopping.Store(true)
	log.Info("graceful shutdown: new requests are rejected", "open", server.openRequests.Load())
	if server.drain(config.Instance.ShutdownTimeout.Std()) {
		log.Info("graceful shutdown: all requests are answered")
	} else {
		log.Warn("graceful shutdown timed out, open requests are failed", "open", server.openRequests.Load())
	}
	loop.Call(lifetime, loop.failAll)
	shutdown, cancel := context.WithTimeout(lifetime, time.Second)
	clients.Shutdown(shutdown)
	operators.Shutdown(shutdown)
	cancel()
	clients.Close()
	operators.Close()
	transport.waitIdle(lifetime, time.Second)
	loop.closeAccount(lifetime, accountTimeout)
	end()
	attempts.Wait()
	group.Wait()
	discovery.HTTPClient.CloseIdleConnections()
	return err
}

// HasReadyBackend tells whether a backend that decodes is ready.
func (l *Loop) HasReadyBackend() bool {
	for _, backend := range l.backends {
		if backend.SchedulerState.State == scheduler.Ready && backend.SchedulerState.CachedPrefixes != nil &&
			backend.SchedulerState.Decodes() {
			return true
		}
	}
	return false
}
