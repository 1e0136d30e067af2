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
	"sloetrestle/internal/boxlist"
	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/judge"
	"sloetrestle/internal/ledger"
	"sloetrestle/internal/record"
	"sloetrestle/internal/setup"
	"sloetrestle/internal/standin"
)

// Stage is what a day is played with.
type RunOptions struct {
	ServeCommand []string  // the command that serves one dispatcher; its file's name is added
	Env          []string  // added to its environment
	RecordDir    string    // folder for the record; empty: it is not kept
	Progress     io.Writer // lines while the day runs; nil: none
}

// run is a day being played.
type run struct {
	day         Scenario
	stage       RunOptions
	book        *record.Recorder
	fleet       *standin.Fleet
	list        *standin.Discovery
	boxes       map[string]*standin.Backend
	dispatchers []*process
	dir         string
	group       *errgroup.Group
	counts      struct {
		sync.Mutex
		asked, satisfied, declined, forfeited, other int
	}
}

// process is one dispatcher.
type process struct {
	number int
	name   string
	addr   string
	file   string

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	front   bool // the front sends here
	wanted  bool // it should be running
	lasting error
}

// Play plays a day and judges it.
func Run(ctx context.Context, d Scenario, stage RunOptions) (judge.Verdict, error) {
	r := &run{day: d, stage: stage, boxes: map[string]*standin.Backend{}}
	head := record.Header{Scenario: d.Header.Name, Seed: d.Header.Seed, Terms: d.Deployment, Backends: r.places()}
	var err error
	if r.book, err = record.Open(stage.RecordDir, head); err != nil {
		return judge.Verdict{}, err
	}
	defer r.book.Close()
	r.book.OnEvent = r.count
	if r.dir = stage.RecordDir; r.dir == "" {
		if r.dir, err = os.MkdirTemp("", "sloetrestle-day-"); err != nil {
			return judge.Verdict{}, err
		}
		defer os.RemoveAll(r.dir)
	}
	if err := r.play(ctx); err != nil {
		return judge.Verdict{}, err
	}
	v := judge.Check(head, r.book.Events())
	if d.Header.Ledger {
		if err := CheckLedgers(&v, r.dir, r.book.Events()); err != nil {
			return v, err
		}
	}
	return v, r.book.Close()
}

// Audit reads a day's ledgers and adds to its verdict whether they have what its boxes counted.
func CheckLedgers(v *judge.Verdict, dir string, lines []record.Event) error {
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
		damage, err := ledger.Read(folder, key, sheet.Add)
		if err != nil {
			return err
		}
		for _, d := range damage {
			if !d.Torn {
				v.Notes = append(v.Notes, "ledger damaged: "+d.String())
			}
		}
	}
	ledgers := map[string]judge.Usage{}
	for box, l := range sheet.BackendTotals() {
		ledgers[box] = judge.Usage{Attempts: l.Attempts, PrefillTokens: l.PrefillTokens, CachedTokens: l.CachedTokens, AnswerTokens: l.OutputTokens}
	}
	rule, cost := judge.CheckUsage(lines, ledgers)
	v.Rules, v.Usage = append(v.Rules, rule), &cost
	return nil
}

// play sets the day up, plays it and takes it down again.
func (r *run) play(ctx context.Context) error {
	h := r.day.Header
	sockets, err := os.MkdirTemp("", "slt")
	if err != nil {
		return err
	}
	defer os.RemoveAll(sockets)
	n := 0
	for _, b := range r.day.Backends {
		n += b.Count * max(len(b.Addresses), 1)
	}
	ports, err := freePorts(1 + n + 2*h.Dispatchers)
	if err != nil {
		return err
	}
	next := func() string { p := ports[0]; ports = ports[1:]; return fmt.Sprintf("127.0.0.1:%d", p) }
	talk := map[string]standin.ClassProfile{}
	for _, t := range r.day.Traffic {
		talk[t.Class] = standin.ClassProfile{NewTokens: t.NewTokens, AnswerTokens: t.AnswerTokens, PrefixTokens: t.SharedPrefixTokens}
	}
	r.fleet = standin.NewFleet(r.day.Deployment, r.book, standin.Links{SameRack: r.day.Links.NearTokensPerSecond, CrossRack: r.day.Links.FarTokensPerSecond, ZoneFactor: r.day.Links.CrossZoneFactor}, talk)
	defer r.fleet.Close()
	r.list = r.fleet.NewDiscovery(next())
	if err := r.list.Start(); err != nil {
		return err
	}
	defer r.list.Stop()
	for _, m := range r.makes() {
		for i := range m.Addresses {
			switch a := &m.Addresses[i]; a.Network {
			case addresses.Unix:
				a.Addr = fmt.Sprintf("%s/%s.%d", sockets, m.Name, i)
			case addresses.TCP6:
				a.Addr = strings.Replace(next(), "127.0.0.1", "[::1]", 1)
			default:
				a.Addr = next()
			}
		}
		b := r.fleet.NewBackend(m)
		r.boxes[m.Name] = b
		if err := b.Boot(false); err != nil {
			return err
		}
		defer b.Kill("end of the day")
		r.list.Publish(b, boxlist.Ready, 0)
	}
	if err := r.hire(next); err != nil {
		return err
	}
	defer r.dismiss()
	for _, p := range r.dispatchers {
		if err := r.start(ctx, p); err != nil {
			return err
		}
	}
	wishes := r.day.Plan()
	r.say("%s: %d boxes, %d dispatchers, %d questions in %v (stand-ins, not engines)", h.Name, len(r.boxes), len(r.dispatchers), len(wishes), h.Duration.Std())
	clients := standin.NewClients(r.book, r.day.Model, r.front)
	defer clients.Close()
	began := time.Now()
	wait := func(ctx context.Context, at time.Duration) bool {
		select {
		case <-time.After(time.Until(began.Add(at))):
			return ctx.Err() == nil
		case <-ctx.Done():
			return false
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	r.group = group
	for _, t := range r.day.Faults {
		group.Go(func() error {
			if wait(ctx, t.Start.Std()) {
				return r.trouble(ctx, t, func(after time.Duration) bool { return wait(ctx, t.Start.Std()+after) })
			}
			return nil
		})
	}
	ended := make(chan struct{})
	group.Go(func() error {
		defer close(ended)
		var asking sync.WaitGroup
		for _, w := range wishes {
			if !wait(ctx, w.SubmitAt) {
				break
			}
			asking.Add(1)
			go func() { defer asking.Done(); clients.Submit(ctx, w) }()
		}
		asking.Wait()
		return nil
	})
	group.Go(func() error {
		for {
			select {
			case <-ended:
				return nil
			case <-time.After(time.Second):
				r.progress(time.Since(began))
			}
		}
	})
	if err := group.Wait(); err != nil {
		return err
	}
	// What is released late is still seen.
	time.Sleep(r.day.Rules.KVCacheHoldLimit.Std() + 100*time.Millisecond)
	return r.died()
}

func (r *run) say(format string, args ...any) {
	if r.stage.Progress != nil {
		fmt.Fprintf(r.stage.Progress, format+"\n", args...)
	}
}

func (r *run) count(l record.Event) {
	c := &r.counts
	c.Lock()
	defer c.Unlock()
	switch {
	case l.Kind == record.RequestSent:
		c.asked++
	case l.Kind == record.FinalAnswer && l.Detail == "satisfied":
		c.satisfied++
	case l.Kind == record.FinalAnswer && l.Detail == "declined":
		c.declined++
	case l.Kind == record.FinalAnswer && l.Detail == "forfeited":
		c.forfeited++
	case l.Kind == record.ClientLeft || l.Kind == record.ConnectionLost || l.Kind == record.FinalAnswer:
		c.other++
	}
}

func (r *run) progress(at time.Duration) {
	c := &r.counts
	c.Lock()
	defer c.Unlock()
	r.say("%4.0f s  tries %5d  satisfied %5d  declined %4d  forfeited %4d  left or cut %4d  open %4d", at.Seconds(),
		c.asked, c.satisfied, c.declined, c.forfeited, c.other, c.asked-c.satisfied-c.declined-c.forfeited-c.other)
}

// places lists where the boxes stand.
func (r *run) places() []record.Backend {
	var out []record.Backend
	for _, m := range r.makes() {
		out = append(out, record.Backend{Name: m.Name, Kind: m.Kind, Role: m.Role, Zone: m.Zone, Rack: m.Rack})
	}
	return out
}

func (r *run) makes() []standin.Config {
	var out []standin.Config
	for _, m := range r.day.BackendSpecs() {
		var at []addresses.Spec
		for _, network := range m.Group.Addresses {
			at = append(at, addresses.Spec{Network: network})
		}
		if len(at) == 0 {
			at = append(at, addresses.Spec{Network: addresses.TCP4})
		}
		out = append(out, standin.Config{Name: m.Name, Kind: m.Kind, Role: m.Role, Zone: m.Zone, Rack: m.Rack, Units: m.Units, Addresses: at,
			Seed: r.day.Header.Seed, Engine: m.Engine})
	}
	return out
}

// hire writes the files of the dispatchers.
func (r *run) hire(next func() string) error {
	h := r.day.Header
	var peers []string
	for i := range h.Dispatchers {
		r.dispatchers = append(r.dispatchers, &process{number: i, name: fmt.Sprintf("d%d", i), addr: next()})
		peers = append(peers, next())
	}
	key := filepath.Join(r.dir, "tickets.key")
	if err := os.WriteFile(key, []byte(fmt.Sprintf("%064x\n", r.day.rng(9).Uint64())), 0o600); err != nil {
		return err
	}
	for i, p := range r.dispatchers {
		d := setup.DefaultDispatcherConfig()
		d.Deployment = r.day.Deployment
		d.Instance.Name, d.Instance.Index, d.Instance.FleetSize = p.name, i, h.Dispatchers
		d.Instance.Zone = r.day.Zones[i%len(r.day.Zones)]
		d.Instance.Listen, d.Instance.DiscoveryAddr, d.Instance.EndpointCacheFolder = []string{p.addr}, r.list.Address, r.dir
		d.Instance.PeerListen, d.Instance.PeerAddrs, d.Instance.ResponseMargin = peers[i], peers, h.DeadlineMargin
		d.Instance.TicketKeyFile = key
		if h.Ledger {
			d.Ledger.Folder, d.Ledger.KeyFile = filepath.Join(r.dir, "ledger-"+p.name), key
		}
		d.Instance.Seed = h.Seed*1000 + uint64(i) + 1
		raw, err := toml.Marshal(d)
		if err != nil {
			return err
		}
		p.file = filepath.Join(r.dir, p.name+".toml")
		if err := os.WriteFile(p.file, raw, 0o644); err != nil {
			return err
		}
	}
	return nil
}

// startTime is how long a dispatcher may take to be ready.
const startTime = 15 * time.Second

// start runs a dispatcher's process and waits until it is ready.
func (r *run) start(ctx context.Context, p *process) error {
	log, err := os.OpenFile(filepath.Join(r.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	args := append(append([]string(nil), r.stage.ServeCommand[1:]...), p.file)
	cmd := exec.Command(r.stage.ServeCommand[0], args...)
	cmd.Stderr, cmd.Stdout, cmd.Env = log, log, append(os.Environ(), r.stage.Env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it must not outlive the day
	if err := cmd.Start(); err != nil {
		log.Close()
		return fmt.Errorf("%s: %w", p.name, err)
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done, p.wanted = cmd, done, true
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		log.Close()
		p.mu.Lock()
		if p.wanted {
			p.lasting, p.front, p.wanted = fmt.Errorf("%s ended by itself: %v; its log ends: %s", p.name, err, tail(log.Name())), false, false
			r.book.Record(record.Event{Kind: record.ProcessEnded, Dispatcher: p.name, Detail: "died"})
		}
		p.mu.Unlock()
		close(done)
	}()
	for end := time.Now().Add(startTime); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		select {
		case <-done:
			return p.lasting
		case <-ctx.Done():
			return ctx.Err()
		default:
		}
		if ready(p.addr) {
			r.book.Record(record.Event{Kind: record.ProcessStarted, Dispatcher: p.name})
			p.mu.Lock()
			p.front = true
			p.mu.Unlock()
			return nil
		}
	}
	return fmt.Errorf("%s was not ready within %v; its log ends: %s", p.name, startTime, tail(log.Name()))
}

// tail is the end of a file, for an error.
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

// kill ends a dispatcher outright. The front goes on sending there for a while.
func (r *run) kill(p *process) {
	p.mu.Lock()
	cmd, done := p.cmd, p.done
	p.wanted = false
	p.mu.Unlock()
	r.book.Record(record.Event{Kind: record.ProcessEnded, Dispatcher: p.name, Detail: "killed"})
	cmd.Process.Kill()
	<-done
	time.AfterFunc(r.day.Header.LoadBalancerNotice.Std(), func() {
		p.mu.Lock()
		p.front = p.front && p.wanted
		p.mu.Unlock()
	})
}

// stop asks a dispatcher to stop; the front reads its readiness, and sends there no more.
func (r *run) stop(p *process) {
	p.mu.Lock()
	p.front, p.wanted = false, false
	cmd, done := p.cmd, p.done
	p.mu.Unlock()
	r.book.Record(record.Event{Kind: record.Note, Dispatcher: p.name, Detail: "told to stop"})
	cmd.Process.Signal(syscall.SIGTERM)
	<-done
	r.book.Record(record.Event{Kind: record.Note, Dispatcher: p.name, Detail: "stopped"})
}

// dismiss stops all dispatchers at the end of the day.
func (r *run) dismiss() {
	var all sync.WaitGroup
	for _, p := range r.dispatchers {
		p.mu.Lock()
		runs := p.cmd != nil && p.wanted
		p.mu.Unlock()
		if runs {
			all.Add(1)
			go func() { defer all.Done(); r.stop(p) }()
		}
	}
	all.Wait()
}

// died names a dispatcher that ended by itself.
func (r *run) died() error {
	var errs []error
	for _, p := range r.dispatchers {
		p.mu.Lock()
		errs = append(errs, p.lasting)
		p.mu.Unlock()
	}
	return errors.Join(errs...)
}

// front spreads tries over the dispatchers that it believes in.
func (r *run) front(seed uint64) (string, string) {
	var up []*process
	for _, p := range r.dispatchers {
		p.mu.Lock()
		if p.front {
			up = append(up, p)
		}
		p.mu.Unlock()
	}
	if len(up) == 0 {
		return "", ""
	}
	p := up[(seed*0x9e3779b97f4a7c15>>33)%uint64(len(up))]
	return p.name, p.addr
}

// ports is where the search for free ones goes on, so that days played side by side have different ones.
var ports struct {
	sync.Mutex
	next int
}

// freePorts finds ports below those that the system gives to outgoing connections: else one could be taken
// while its box is down.
func freePorts(n int) ([]int, error) {
	const low, high = 12000, 32000
	ports.Lock()
	defer ports.Unlock()
	if ports.next == 0 {
		ports.next = low + os.Getpid()*131%(high-low)
	}
	var found []int
	for range high - low {
		if len(found) == n {
			break
		}
		if ports.next++; ports.next >= high {
			ports.next = low
		}
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", ports.next)); err == nil {
			l.Close()
			found = append(found, ports.next)
		}
	}
	if len(found) < n {
		return nil, fmt.Errorf("%d free ports were found of %d", len(found), n)
	}
	return found, nil
}
