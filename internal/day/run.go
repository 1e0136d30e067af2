package day

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"
	"golang.org/x/sync/errgroup"

	"sloetrestle/internal/addresses"
	"sloetrestle/internal/checker"
	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/endpointlist"
	"sloetrestle/internal/fakes"
	"sloetrestle/internal/ledger"
	"sloetrestle/internal/record"
	"sloetrestle/internal/setup"
)

// RunOptions says how a scenario is run.
type RunOptions struct {
	ServeCommand []string  // the command that runs one dispatcher; the name of its configuration file is appended
	Env          []string  // added to the dispatchers' environment
	RecordDir    string    // folder for the record; empty: it is not kept
	Progress     io.Writer // receives lines while the scenario runs; nil: none
}

// runner runs one scenario.
type runner struct {
	scenario    Scenario
	options     RunOptions
	recorder    *record.Recorder
	fleet       *fakes.Fleet
	discovery   *fakes.Discovery
	backends    map[string]*fakes.Backend
	dispatchers []*process
	dir         string
	group       *errgroup.Group
	counts      struct {
		sync.Mutex
		sent, served, rejected, failed, other int
	}
}

// process is one dispatcher process.
type process struct {
	number     int
	name       string
	addr       string
	configFile string

	mu            sync.Mutex
	cmd           *exec.Cmd
	done          chan struct{}
	balanced      bool // the load balancer sends here
	running       bool // it is meant to run
	unexpectedEnd error
}

// Run runs a scenario and checks its record against the rules.
func Run(ctx context.Context, d Scenario, options RunOptions) (checker.Verdict, error) {
	r := &runner{scenario: d, options: options, backends: map[string]*fakes.Backend{}}
	header := record.Header{Scenario: d.Header.Name, Seed: d.Header.Seed, Terms: d.Deployment,
		Backends: r.recordBackends()}
	var err error
	if r.recorder, err = record.Open(options.RecordDir, header); err != nil {
		return checker.Verdict{}, err
	}
	defer r.recorder.Close()
	r.recorder.OnEvent = r.count
	if r.dir = options.RecordDir; r.dir == "" {
		if r.dir, err = os.MkdirTemp("", "sloetrestle-day-"); err != nil {
			return checker.Verdict{}, err
		}
		defer os.RemoveAll(r.dir)
	}
	if err := r.run(ctx); err != nil {
		return checker.Verdict{}, err
	}
	v := checker.Check(header, r.recorder.Events())
	if d.Header.Ledger {
		if err := CheckLedgers(&v, r.dir, r.recorder.Events()); err != nil {
			return v, err
		}
	}
	return v, r.recorder.Close()
}

// CheckLedgers reads the ledgers in a run's folder, if there are any, and adds a rule to the verdict: their totals
// equal what the backends counted.
func CheckLedgers(verdict *checker.Verdict, dir string, events []record.Event) error {
	folders, err := filepath.Glob(filepath.Join(dir, "ledger-*"))
	if err != nil || len(folders) == 0 {
		return err
	}
	key, err := dispatch.ReadLedgerKey(filepath.Join(dir, "tickets.key"))
	if err != nil {
		return err
	}
	sheet := ledger.NewCollector()
	for _, folder := range folders {
		damages, err := ledger.Read(folder, key, sheet.Add)
		if err != nil {
			return err
		}
		for _, damage := range damages {
			if !damage.Torn {
				verdict.Notes = append(verdict.Notes, "ledger damaged: "+damage.String())
			}
		}
	}
	usage := map[string]checker.Usage{} // by backend
	for backend, c := range sheet.BackendTotals() {
		usage[backend] = checker.Usage{Attempts: c.Attempts, PrefillTokens: c.PrefillTokens, CachedTokens: c.CachedTokens,
			AnswerTokens: c.OutputTokens}
	}
	rule, total := checker.CheckUsage(events, usage)
	verdict.Rules, verdict.Usage = append(verdict.Rules, rule), &total
	return nil
}

// run starts the backends and the dispatchers, plays traffic and faults, and stops everything.
func (r *runner) run(ctx context.Context) error {
	header := r.scenario.Header
	socketDir, err := os.MkdirTemp("", "slt")
	if err != nil {
		return err
	}
	defer os.RemoveAll(socketDir)
	backendAddresses := 0
	for _, b := range r.scenario.Backends {
		backendAddresses += b.Count * max(len(b.Addresses), 1)
	}
	ports, err := freePorts(1 + backendAddresses + 2*header.Dispatchers)
	if err != nil {
		return err
	}
	nextAddr := func() string { p := ports[0]; ports = ports[1:]; return fmt.Sprintf("127.0.0.1:%d", p) }
	profiles := map[string]fakes.ClassProfile{} // by class
	for _, t := range r.scenario.Traffic {
		profiles[t.Class] = fakes.ClassProfile{NewTokens: t.NewTokens, AnswerTokens: t.AnswerTokens,
			PrefixTokens: t.SharedPrefixTokens}
	}
	r.fleet = fakes.NewFleet(r.scenario.Deployment, r.recorder, fakes.Links{
		SameRack: r.scenario.Links.NearTokensPerSecond, CrossRack: r.scenario.Links.FarTokensPerSecond,
		ZoneFactor: r.scenario.Links.CrossZoneFactor,
	}, profiles)
	defer r.fleet.Close()
	r.discovery = r.fleet.NewDiscovery(nextAddr())
	if err := r.discovery.Start(); err != nil {
		return err
	}
	defer r.discovery.Stop()
	for _, spec := range r.testBackendSpecs() {
		for i := range spec.Addresses {
			switch a := &spec.Addresses[i]; a.Network {
			case addresses.Unix:
				a.Addr = fmt.Sprintf("%s/%s.%d", socketDir, spec.Name, i)
			case addresses.TCP6:
				a.Addr = strings.Replace(nextAddr(), "127.0.0.1", "[::1]", 1)
			default:
				a.Addr = nextAddr()
			}
		}
		b := r.fleet.NewBackend(spec)
		r.backends[spec.Name] = b
		if err := b.Boot(false); err != nil {
			return err
		}
		defer b.Kill("end of the day")
		r.discovery.Publish(b, endpointlist.Ready, 0)
	}
	if err := r.configureDispatchers(nextAddr); err != nil {
		return err
	}
	defer r.stopDispatchers()
	for _, p := range r.dispatchers {
		if err := r.start(ctx, p); err != nil {
			return err
		}
	}
	requests := r.scenario.Plan()
	r.printf("%s: %d backends, %d dispatchers, %d requests in %v (test backends, not engines)", header.Name,
		len(r.backends),
		len(r.dispatchers), len(requests), header.Duration.Std())
	clients := fakes.NewClients(r.recorder, r.scenario.Model, r.pickDispatcher)
	defer clients.Close()
	startTime := time.Now()
	wait := func(ctx context.Context, offset time.Duration) bool {
		select {
		case <-time.After(time.Until(startTime.Add(offset))):
			return ctx.Err() == nil
		case <-ctx.Done():
			return false
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	r.group = group
	for _, f := range r.scenario.Faults {
		group.Go(func() error {
			if wait(ctx, f.Start.Std()) {
				return r.inject(ctx, f, func(after time.Duration) bool { return wait(ctx, f.Start.Std()+after) })
			}
			return nil
		})
	}
	trafficDone := make(chan struct{})
	group.Go(func() error {
		defer close(trafficDone)
		var pending sync.WaitGroup
		for _, request := range requests {
			if !wait(ctx, request.SubmitAt) {
				break
			}
			pending.Add(1)
			go func() { defer pending.Done(); clients.Submit(ctx, request) }()
		}
		pending.Wait()
		return nil
	})
	group.Go(func() error {
		for {
			select {
			case <-trafficDone:
				return nil
			case <-time.After(time.Second):
				r.printProgress(time.Since(startTime))
			}
		}
	})
	if err := group.Wait(); err != nil {
		return err
	}
	// KV caches that are released late must still be recorded.
	time.Sleep(r.scenario.Rules.KVCacheHoldLimit.Std() + 100*time.Millisecond)
	return r.unexpectedEnds()
}

func (r *runner) printf(format string, args ...any) {
	if r.options.Progress != nil {
		fmt.Fprintf(r.options.Progress, format+"\n", args...)
	}
}

func (r *runner) count(event record.Event) {
	counts := &r.counts
	counts.Lock()
	defer counts.Unlock()
	switch {
	case event.Kind == record.RequestSent:
		counts.sent++
	case event.Kind == record.FinalAnswer && event.Detail == "satisfied":
		counts.served++
	case event.Kind == record.FinalAnswer && event.Detail == "declined":
		counts.rejected++
	case event.Kind == record.FinalAnswer && event.Detail == "forfeited":
		counts.failed++
	case event.Kind == record.ClientLeft || event.Kind == record.ConnectionLost || event.Kind == record.FinalAnswer:
		counts.other++
	}
}

func (r *runner) printProgress(elapsed time.Duration) {
	c := &r.counts
	c.Lock()
	defer c.Unlock()
	r.printf("%4.0f s  tries %5d  satisfied %5d  declined %4d  forfeited %4d  left or cut %4d  open %4d",
		elapsed.Seconds(), c.sent, c.served, c.rejected, c.failed, c.other,
		c.sent-c.served-c.rejected-c.failed-c.other)
}

// recordBackends lists the backends for the record's header.
func (r *runner) recordBackends() []record.Backend {
	var backends []record.Backend
	for _, spec := range r.testBackendSpecs() {
		backends = append(backends,
			record.Backend{Name: spec.Name, Kind: spec.Kind, Role: spec.Role, Zone: spec.Zone, Rack: spec.Rack})
	}
	return backends
}

// testBackendSpecs lists the configurations of the test backends, with addresses still to be assigned.
func (r *runner) testBackendSpecs() []fakes.Config {
	var specs []fakes.Config
	for _, b := range r.scenario.BackendSpecs() {
		var unassigned []addresses.Spec
		for _, network := range b.Group.Addresses {
			unassigned = append(unassigned, addresses.Spec{Network: network})
		}
		if len(unassigned) == 0 {
			unassigned = append(unassigned, addresses.Spec{Network: addresses.TCP4})
		}
		specs = append(specs, fakes.Config{Name: b.Name, Kind: b.Kind, Role: b.Role, Zone: b.Zone, Rack: b.Rack,
			Units: b.Units, Addresses: unassigned, Seed: r.scenario.Header.Seed, Engine: b.Engine})
	}
	return specs
}

// configureDispatchers writes the dispatchers' configuration files.
func (r *runner) configureDispatchers(nextAddr func() string) error {
	header := r.scenario.Header
	var peers []string
	for i := range header.Dispatchers {
		r.dispatchers = append(r.dispatchers, &process{number: i, name: fmt.Sprintf("d%d", i), addr: nextAddr()})
		peers = append(peers, nextAddr())
	}
	key := filepath.Join(r.dir, "tickets.key")
	if err := os.WriteFile(key, []byte(fmt.Sprintf("%064x\n", r.scenario.rng(9).Uint64())), 0o600); err != nil {
		return err
	}
	for i, proc := range r.dispatchers {
		config := setup.DefaultDispatcherConfig()
		config.Deployment = r.scenario.Deployment
		config.Instance.Name, config.Instance.Index, config.Instance.FleetSize = proc.name, i, header.Dispatchers
		config.Instance.Zone = r.scenario.Zones[i%len(r.scenario.Zones)]
		config.Instance.Listen, config.Instance.DiscoveryAddr, config.Instance.EndpointCacheFolder = []string{proc.addr},
			r.discovery.Address,
			r.dir
		config.Instance.PeerListen, config.Instance.PeerAddrs, config.Instance.ResponseMargin = peers[i], peers,
			header.DeadlineMargin
		config.Instance.TicketKeyFile = key
		if header.Ledger {
			config.Ledger.Folder, config.Ledger.KeyFile = filepath.Join(r.dir, "ledger-"+proc.name), key
		}
		config.Instance.Seed = header.Seed*1000 + uint64(i) + 1
		raw, err := toml.Marshal(config)
		if err != nil {
			return err
		}
		proc.configFile = filepath.Join(r.dir, proc.name+".toml")
		if err := os.WriteFile(proc.configFile, raw, 0o644); err != nil {
			return err
		}
	}
	return nil
}

// startTimeout is how long a dispatcher may take to be ready.
const startTimeout = 15 * time.Second

// start starts a dispatcher's process and waits until it is ready.
func (r *runner) start(ctx context.Context, proc *process) error {
	log, err := os.OpenFile(filepath.Join(r.dir, proc.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	args := append(append([]string(nil), r.options.ServeCommand[1:]...), proc.configFile)
	cmd := exec.Command(r.options.ServeCommand[0], args...)
	cmd.Stderr, cmd.Stdout, cmd.Env = log, log, append(os.Environ(), r.options.Env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it must not outlive the runner
	if err := cmd.Start(); err != nil {
		log.Close()
		return fmt.Errorf("%s: %w", proc.name, err)
	}
	done := make(chan struct{})
	proc.mu.Lock()
	proc.cmd, proc.done, proc.running = cmd, done, true
	proc.mu.Unlock()
	go func() {
		err := cmd.Wait()
		log.Close()
		proc.mu.Lock()
		if proc.running {
			proc.unexpectedEnd, proc.balanced, proc.running = fmt.Errorf(
				"dispatcher %s ended unexpectedly: %v; its log ends with: %s",
				proc.name, err, tail(log.Name())), false, false
			r.recorder.Record(record.Event{Kind: record.ProcessEnded, Dispatcher: proc.name, Detail: "died"})
		}
		proc.mu.Unlock()
		close(done)
	}()
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		select {
		case <-done:
			return proc.unexpectedEnd
		case <-ctx.Done():
			return ctx.Err()
		default:
		}
		if ready(proc.addr) {
			r.recorder.Record(record.Event{Kind: record.ProcessStarted, Dispatcher: proc.name})
			proc.mu.Lock()
			proc.balanced = true
			proc.mu.Unlock()
			return nil
		}
	}
	return fmt.Errorf("dispatcher %s at %s was not ready within %v; its log ends with: %s", proc.name, proc.addr,
		startTimeout,
		tail(log.Name()))
}

// tail returns the end of a file, or the error of reading it, for an error message.
func tail(file string) string {
	raw, err := os.ReadFile(file)
	if err != nil {
		return err.Error()
	}
	return string(raw[max(0, len(raw)-400):])
}

func ready(addr string) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + addr + "/v2/health/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// kill kills a dispatcher. Its end is recorded when it has ended: while it waits for a slow disk, its connections stay
// open and further ones are taken. The load balancer goes on sending there for a while.
func (r *runner) kill(proc *process) {
	proc.mu.Lock()
	cmd, done := proc.cmd, proc.done
	proc.running = false
	proc.mu.Unlock()
	cmd.Process.Kill()
	<-done
	r.recorder.Record(record.Event{Kind: record.ProcessEnded, Dispatcher: proc.name, Detail: "killed"})
	time.AfterFunc(r.scenario.Header.LoadBalancerNotice.Std(), func() {
		proc.mu.Lock()
		proc.balanced = proc.balanced && proc.running
		proc.mu.Unlock()
	})
}

// stop stops a dispatcher gracefully. The load balancer reads its readiness and sends there no more at once.
func (r *runner) stop(p *process) {
	p.mu.Lock()
	p.balanced, p.running = false, false
	cmd, done := p.cmd, p.done
	p.mu.Unlock()
	r.recorder.Record(record.Event{Kind: record.Note, Dispatcher: p.name, Detail: "told to stop"})
	cmd.Process.Signal(syscall.SIGTERM)
	<-done
	r.recorder.Record(record.Event{Kind: record.Note, Dispatcher: p.name, Detail: "stopped"})
}

// stopDispatchers stops all running dispatchers at the end of the run.
func (r *runner) stopDispatchers() {
	var pending sync.WaitGroup
	for _, p := range r.dispatchers {
		p.mu.Lock()
		running := p.cmd != nil && p.running
		p.mu.Unlock()
		if running {
			pending.Add(1)
			go func() { defer pending.Done(); r.stop(p) }()
		}
	}
	pending.Wait()
}

// unexpectedEnds returns an error that names each dispatcher that ended without being killed or stopped.
func (r *runner) unexpectedEnds() error {
	var errs []error
	for _, p := range r.dispatchers {
		p.mu.Lock()
		errs = append(errs, p.unexpectedEnd)
		p.mu.Unlock()
	}
	return errors.Join(errs...)
}

// pickDispatcher acts as the load balancer: it spreads tries over the dispatchers that it takes for running. It returns
// a name and an address, empty if there is none.
func (r *runner) pickDispatcher(seed uint64) (string, string) {
	var candidates []*process
	for _, proc := range r.dispatchers {
		proc.mu.Lock()
		if proc.balanced {
			candidates = append(candidates, proc)
		}
		proc.mu.Unlock()
	}
	if len(candidates) == 0 {
		return "", ""
	}
	proc := candidates[(seed*0x9e3779b97f4a7c15>>33)%uint64(len(candidates))]
	return proc.name, proc.addr
}

// portSearch is where the search for free ports continues, so that concurrent runs have different ones.
var portSearch struct {
	sync.Mutex
	next int
}

// freePorts finds ports below those that the system gives to outgoing connections: one of those could be taken while
// its backend is down.
func freePorts(n int) ([]int, error) {
	const low, high = 12000, 32000
	portSearch.Lock()
	defer portSearch.Unlock()
	if portSearch.next == 0 {
		portSearch.next = low + os.Getpid()*131%(high-low)
	}
	var found []int
	for range high - low {
		if len(found) == n {
			break
		}
		if portSearch.next++; portSearch.next >= high {
			portSearch.next = low
		}
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", portSearch.next)); err == nil {
			l.Close()
			found = append(found, portSearch.next)
		}
	}
	if len(found) < n {
		return nil, fmt.Errorf("finding free ports from %d to %d: %d of %d found", low, high-1, len(found), n)
	}
	return found, nil
}
