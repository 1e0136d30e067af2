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
	"sloetrestle/internal/ledger"
	"sloetrestle/internal/requestids"
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
	s := newService(ctx, config, log)
	defer s.close()
	for _, open := range []func() error{s.createLoop, s.throttleRetries, s.listen, s.openAccounting} {
		if err := open(); err != nil {
			return err
		}
	}
	s.followDiscovery()
	s.createServer(ctx)
	failed := s.acceptClients()
	log.Info("serving", "listen", config.Instance.Listen, "epoch", s.epoch, "boxes", config.Instance.DiscoveryAddr)
	if started != nil {
		started(s.listeners[0].Addr())
	}
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	s.shutDown()
	return err
}

// service is a dispatcher with all that it opens and runs.
type service struct {
	config    setup.DispatcherConfig
	log       *slog.Logger
	random    [16]byte // drawn at each start
	epoch     string
	startedAt time.Time

	lifetime context.Context // of attempts and background tasks, which outlast the last request
	end      context.CancelFunc
	attempts errgroup.Group
	tasks    errgroup.Group

	loop      *Loop
	transport *HTTPTransport
	discovery *endpointlist.Follower
	journal   *ledger.Recorder // nil: no ledger is kept
	server    *Server

	listeners          []net.Listener // for clients, then for operators
	limiterMu          sync.Mutex
	limiter            retrythrottle.ConnLimiter // guarded by limiterMu
	clients, operators *http.Server
}

// newService returns a service of which nothing is open or running yet.
func newService(ctx context.Context, config setup.DispatcherConfig, log *slog.Logger) *service {
	s := &service{config: config, log: log, startedAt: time.Now()}
	rand.Read(s.random[:])
	s.epoch = fmt.Sprintf("%s.%x", config.Instance.Name, s.random[8:14])
	s.lifetime, s.end = context.WithCancel(context.WithoutCancel(ctx))
	s.limiter = retrythrottle.ConnLimiter{
		ConnsPerSecond: config.Instance.ConnsPerSecond, Burst: max(config.Instance.ConnsPerSecond, 1),
		MaxOpen: config.Instance.MaxConns,
	}
	return s
}

// close closes what is open. It may be called at any stage.
func (s *service) close() {
	if s.journal != nil {
		s.journal.Close()
	}
	for _, listener := range s.listeners {
		listener.Close()
	}
	s.end()
}

// clock returns the time since the start.
func (s *service) clock() time.Duration { return time.Since(s.startedAt) }

// seed returns the configured seed of random decisions, or one that is drawn at each start.
func (s *service) seed() uint64 {
	if seed := s.config.Instance.Seed; seed != 0 {
		return seed
	}
	return binary.BigEndian.Uint64(s.random[:])
}

// createLoop creates the event loop and its transport.
func (s *service) createLoop() (err error) {
	limits := s.config.Limits
	s.transport = NewHTTPTransport(
		s.lifetime, &s.attempts, limits.MaxConnsPerBackend, limits.DialTimeout.Std(), s.clock)
	s.transport.Model, s.transport.StallTimeout = s.config.Model, limits.StallTimeout.Std()
	allowed, err := connpool.NewAllowList(s.config.Instance.AllowedBackends)
	if err != nil {
		return err
	}
	resolver := Resolver{s.config.ZoneIndex, s.config.KindIndex, allowed.Contains}
	s.loop, err = NewLoop(
		s.config.SchedulerParameters(), s.seed(), resolver, s.transport, s.clock, s.epoch, s.log)
	if err != nil {
		return err
	}
	s.transport.loop = s.loop
	for _, further := range s.config.ExtraAddresses {
		s.loop.AddAddress(further.Backend, further.Spec)
	}
	return nil
}

// throttleRetries gives the loop its retry throttle, if the configuration wants one.
func (s *service) throttleRetries() (err error) {
	if !s.config.Limits.ThrottleRetries {
		return nil
	}
	signer := retrythrottle.TicketSigner{
		Key: s.random[:], StartedAt: time.Duration(s.startedAt.UnixNano()), Issuer: uint32(xxhash.Sum64String(s.epoch)),
	}
	if file := s.config.Instance.TicketKeyFile; file != "" {
		if signer.Key, err = setup.ReadKeyFile(file); err != nil {
			return fmt.Errorf("dispatcher.ticket_key: %w", err)
		}
	}
	s.loop.RetryThrottle = retrythrottle.New(
		s.config.Limits.MaxRetryAfter.Std(), len(s.config.Tenants), s.seed()^throttleSeed, signer)
	return nil
}

// throttleSeed makes the draws of the retry throttle differ from the scheduler's.
const throttleSeed = 0x5709

// listen opens the listeners. Only those for clients are behind the connection limiter.
func (s *service) listen() error {
	instance := s.config.Instance
	for i, address := range append(slices.Clone(instance.Listen), instance.AdminListen...) {
		spec, err := connpool.ParseListen(address)
		if err != nil {
			return fmt.Errorf("dispatcher.listen: %w", err)
		}
		listener, err := connpool.Listen(spec)
		if err != nil {
			return fmt.Errorf("dispatcher.listen: %w", err)
		}
		listener = system.RetryingListener{
			Listener: listener, OnError: func(err error) { s.log.Warn("accepting a connection failed", "error", err) },
		}
		if i < len(instance.Listen) && instance.ConnsPerSecond > 0 {
			listener = &limitedListener{listener, &s.limiterMu, &s.limiter, s.clock}
		}
		s.listeners = append(s.listeners, clientListener{listener})
	}
	return nil
}

// openAccounting opens the ledger, the socket for peers' messages and the budgets, as far as they are configured.
func (s *service) openAccounting() error {
	config := s.config
	journal, history, err := openLedger(config, s.epoch, s.startedAt, s.log)
	if err != nil {
		return err
	}
	s.journal = journal
	if config.Limits.PeerUpdates || len(config.Budgets) > 0 && config.Instance.FleetSize > 1 {
		s.transport.Peers, err = ListenPeers(config.Instance.Index, config.Instance.PeerListen, config.Instance.PeerAddrs,
			system.Real().ListenUDP)
		if err != nil {
			return fmt.Errorf("dispatcher.%w", err)
		}
	}
	accounting := accountingSetup{
		config: config, loop: s.loop, transport: s.transport, journal: journal, history: history, epoch: s.epoch,
		startedAt: s.startedAt,
	}.newAccounting()
	if accounting != nil {
		s.loop.SetAccounting(accounting)
	}
	if s.transport.Peers != nil {
		s.tasks.Go(func() error { return s.transport.Peers.Listen(s.lifetime, s.loop) })
	}
	return nil
}

// followDiscovery starts the event loop, with the stored endpoint list, and follows service discovery.
func (s *service) followDiscovery() {
	instance := s.config.Instance
	s.discovery = &endpointlist.Follower{
		Address: instance.DiscoveryAddr, Name: instance.Name, CacheDir: instance.EndpointCacheFolder, Log: s.log,
		HTTPClient: &http.Client{Transport: &http.Transport{}},
		OnUpdate: func(entries []endpointlist.Endpoint, complete bool) {
			s.loop.Post(func() { s.loop.UpdateBackends(entries, complete) })
		},
	}
	if err := s.discovery.Restore(); err != nil {
		s.log.Warn("starting without the stored service discovery list", "error", err)
	}
	s.tasks.Go(func() error { return s.loop.Run(s.lifetime) })
	s.tasks.Go(func() error { return s.discovery.Run(s.lifetime) })
}

// createServer creates the HTTP frontend.
func (s *service) createServer(ctx context.Context) {
	longest := time.Duration(0)
	for _, class := range s.config.Classes {
		longest = max(longest, class.Deadline.Std())
	}
	s.server = &Server{
		Service: s.config.Deployment, Instance: s.config.Instance, Loop: s.loop, Log: s.log,
		ids: requestids.New(longest + requestids.RetentionSlack),
	}
	s.server.Status = func() map[string]any {
		out := statusReport(ctx, s.loop, s.discovery, s.transport, s.server, s.clock())
		if s.journal != nil {
			out["ledger"] = s.journal.State()
		}
		s.limiterMu.Lock()
		defer s.limiterMu.Unlock()
		out["connections_taken"], out["connections_refused"] = s.limiter.Accepted, s.limiter.Refused
		return out
	}
	s.server.Ready = func() bool {
		ready := false
		s.loop.Call(ctx, func() { ready = s.loop.HasReadyBackend() })
		return ready
	}
	s.clients, s.operators = s.newHTTPServer(s.server.Handler()), s.newHTTPServer(s.server.OperatorHandler())
}

func (s *service) newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:  slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
		ConnState: func(conn net.Conn, state http.ConnState) { conn.(*clientConn).stateChanged(state, s.clock()) },
	}
}

// acceptClients serves all listeners. A listener that fails sends its error to the channel that it returns.
func (s *service) acceptClients() <-chan error {
	failed := make(chan error, len(s.listeners))
	for i, listener := range s.listeners {
		httpServer := s.clients
		if i >= len(s.config.Instance.Listen) {
			httpServer = s.operators
		}
		s.tasks.Go(func() error {
			if err := httpServer.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
			return nil
		})
	}
	return failed
}

// shutDown rejects new requests, lets the open ones end, and waits for all goroutines.
func (s *service) shutDown() {
	s.server.stopping.Store(true)
	s.log.Info("graceful shutdown: new requests are rejected", "open", s.server.openRequests.Load())
	if s.server.drain(s.config.Instance.ShutdownTimeout.Std()) {
		s.log.Info("graceful shutdown: all requests are answered")
	} else {
		s.log.Warn("graceful shutdown timed out, open requests are failed", "open", s.server.openRequests.Load())
	}
	s.loop.Call(s.lifetime, s.loop.failAll)
	shutdown, cancel := context.WithTimeout(s.lifetime, time.Second)
	s.clients.Shutdown(shutdown)
	s.operators.Shutdown(shutdown)
	cancel()
	s.clients.Close()
	s.operators.Close()
	s.transport.waitIdle(s.lifetime, time.Second)
	s.loop.closeAccount(s.lifetime, accountTimeout)
	s.end()
	s.attempts.Wait()
	s.tasks.Wait()
	s.discovery.HTTPClient.CloseIdleConnections()
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
