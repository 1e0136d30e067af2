// Package soak plays real dispatcher processes through faults that a seed draws and that overlap: signals, reloads, shims of the
// system calls and the wall clock, backends, links and discovery that misbehave, clients that do. An oracle holds the far ends' record,
// never the dispatchers' word, to the rules and terms. The same seed has the same schedule; Shrink drops what a failing one does not
// need. Begin with Run.
package soak

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"sloetrestle/internal/system"
)

// ControlVariable names the environment variable that has a process of a soak find whoever drives its shims.
const ControlVariable = "SLOETRESTLE_SOAK_CONTROL"

// Options say what is played.
type Options struct {
	Seed      uint64
	Processes int
	Length    time.Duration
	Every     time.Duration // between two faults, on the mean
	Clients   int           // usual ones for each process
	Backends  int           // 0: as few as show all rules
	Rate      float64       // requests a second for each process beside those of the usual clients, which wait for their answers
	Command   []string      // that runs a dispatcher with Shims
	Env       []string
	Dir       string  // for the record; empty: none is kept
	Faults    []Fault // in place of the schedule that the seed draws
}

const (
	settleTime  = 4 * time.Second // at a run's end, without a new fault
	aftermath   = time.Second     // for which a fault that has ended still acts
	fewBackends = 5
	prefillPart = 0.45 // of the backends
	badClients  = 2
	startMost   = 30 * time.Second
	clientsMost = 8 * time.Second // for clients to end
)

// run is one that is being played.
type run struct {
	options     Options
	variant     variant
	late        lateness // of the soak itself
	record      *record
	farm        *farm
	discovery   *discovery
	dispatchers []*dispatcher
	dir         string
	group       errgroup.Group

	mu  sync.Mutex
	bad []Violation // of bad clients
	saw int         // bad clients that had their end
}

// Result is what came of a run.
type Result struct {
	Verdict
	Seed     uint64
	Faults   []Fault
	Requests int
	Attempts int
	Statuses map[int]int
	Resent   int
	usage    usage
	Late     time.Duration // by which the soak itself was late
	Unjudged bool          // it was too late to tell whose a delay is
}

// Run plays one seed and judges it.
func Run(ctx context.Context, o Options) (Result, error) {
	v := drawVariant(o.Seed)
	r := &run{options: o, variant: v, record: newRecord(v), dir: o.Dir}
	if o.Faults == nil {
		o.Faults = Schedule(o)
	}
	if r.dir == "" {
		dir, err := os.MkdirTemp("", "sloetrestle-soak-")
		if err != nil {
			return Result{}, err
		}
		defer os.RemoveAll(dir)
		r.dir = dir
	}
	if err := r.keepSchedule(o.Faults); err != nil {
		return Result{}, err
	}
	if err := r.open(); err != nil {
		return Result{}, err
	}
	defer r.close()
	if err := r.startAll(ctx); err != nil {
		return Result{}, err
	}
	r.play(ctx, o.Faults)
	if err := ctx.Err(); err != nil {
		return Result{}, fmt.Errorf("seed %d was interrupted: %w", o.Seed, err)
	}
	return r.result(o.Faults), nil
}

// keepSchedule writes the schedule beside the record.
func (r *run) keepSchedule(faults []Fault) error {
	raw, err := json.MarshalIndent(faults, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(r.dir, "schedule.json"), raw, 0o644)
}

// open opens backends, discovery and the places of the dispatchers.
func (r *run) open() error {
	r.farm = &farm{record: r.record, held: map[string]bool{}}
	r.discovery = &discovery{record: r.record, farm: r.farm, rev: 1}
	backends := cmp.Or(r.options.Backends, fewBackends)
	prefills := int(prefillPart * float64(backends))
	for i := range backends {
		name := fmt.Sprintf("r%d", i)
		if i >= prefills {
			name = fmt.Sprintf("w%d", i-prefills)
		}
		if err := r.farm.addBackend(name, i < prefills, r.options.Processes); err != nil {
			return err
		}
	}
	ports := &addresses{map[int]bool{}}
	for i := range r.options.Processes {
		if err := r.discovery.addAgent(i); err != nil {
			return err
		}
		d := &dispatcher{run: r, number: i, file: filepath.Join(r.dir, fmt.Sprintf("n%d.json", i))}
		var err error
		if d.listen, err = ports.free(); err != nil {
			return err
		}
		if d.peer, err = ports.free(); err != nil {
			return err
		}
		if d.control, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return err
		}
		r.dispatchers = append(r.dispatchers, d)
	}
	return nil
}

// startAll starts the dispatchers and waits until they are ready.
func (r *run) startAll(ctx context.Context) error {
	var starting errgroup.Group
	for _, d := range r.dispatchers {
		if err := d.configure(r.discovery.agents[d.number].address(), false); err != nil {
			return err
		}
		starting.Go(func() error { return d.start(ctx) })
	}
	return starting.Wait()
}

// play has clients ask and faults happen.
func (r *run) play(ctx context.Context, faults []Fault) {
	ctx, end := context.WithTimeout(ctx, r.options.Length)
	defer end()
	asking := &clients{run: r, record: r.record}
	var running sync.WaitGroup
	for i := range r.options.Processes * r.options.Clients {
		running.Go(func() { asking.usual(ctx, rand.New(rand.NewPCG(r.options.Seed, uint64(i)))) })
	}
	running.Go(func() { r.late.watch(ctx) })
	if rate := r.options.Rate * float64(r.options.Processes); rate > 0 {
		running.Go(func() { asking.openLoop(ctx, rand.New(rand.NewPCG(r.options.Seed, 2<<32)), rate) })
	}
	for _, d := range r.dispatchers {
		for range r.variant.crowd {
			running.Go(func() { asking.idle(ctx, d) })
		}
	}
	for i := range badClients {
		running.Go(func() { asking.bad(ctx, rand.New(rand.NewPCG(r.options.Seed, 1<<32+uint64(i)))) })
	}
	running.Go(func() {
		for system.Sleep(ctx, beatTime) {
			r.discovery.beat()
		}
	})
	began := time.Now()
	for _, f := range faults {
		if !system.Sleep(ctx, f.At-time.Since(began)) {
			break
		}
		running.Go(func() { r.cause(ctx, f) })
	}
	<-ctx.Done()
	running.Wait()
}

// front deals out a dispatcher that takes new connections.
func (r *run) front(rng *rand.Rand) *dispatcher {
	var up []*dispatcher
	for _, d := range r.dispatchers {
		if d.up() {
			up = append(up, d)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[rng.IntN(len(up))]
}

// Errors that the shims have calls fail with.
var (
	acceptErrors = []syscall.Errno{syscall.ECONNABORTED, syscall.ENFILE, syscall.ENOBUFS, syscall.EPROTO, syscall.ENETUNREACH, syscall.EINTR}
	dialErrors   = []syscall.Errno{syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ETIMEDOUT, syscall.EHOSTUNREACH}
	wallSteps    = []time.Duration{-time.Hour, -7 * time.Second, 7 * time.Second, time.Hour}
)

// cause has a fault happen.
func (r *run) cause(ctx context.Context, f Fault) {
	d := r.dispatchers[f.Target%len(r.dispatchers)]
	b := r.farm.backends[f.Target%len(r.farm.backends)]
	agent := r.discovery.agents[d.number]
	until := r.record.now() + f.Length
	switch f.Kind {
	case Terminate, TerminateTwice, TerminateReload:
		d.terminate(ctx, f)
	case KillProcess:
		d.crash(ctx)
	case Stop:
		d.stop(ctx, f.Length)
	case Reload, ReloadTorn, ReloadTwice, ReloadBurst:
		d.reload(ctx, f)
	case WallStep:
		d.order(Order{WallStep: wallSteps[f.Draw%uint64(len(wallSteps))]})
	case AcceptFails:
		d.order(Order{Accept: acceptErrors[f.Draw%uint64(len(acceptErrors))], For: f.Length})
	case DialFails:
		d.mu.Lock()
		l := d.life
		d.mu.Unlock()
		r.record.with(func() { l.cutOff = append(l.cutOff, span{r.record.now(), until}) })
		d.order(Order{Dial: dialErrors[f.Draw%uint64(len(dialErrors))], For: f.Length})
	case ShortReads:
		d.order(Order{ShortReads: true, For: f.Length})
	case BackendRestarts:
		b.restart()
		r.discovery.change(b, "in_service")
	case Drain:
		r.discovery.change(b, "terminating")
		if system.Sleep(ctx, f.Length) {
			r.discovery.change(b, "in_service")
		}
	case MassRestart:
		r.restartMost(ctx, f)
	case MassDrain:
		r.drainMany(ctx, f)
	case RoleMute:
		r.muteRole(f, until)
	case BackendSilent:
		b.cutOff(ctx, f.Length, f.Draw)
	case DiscoverySilent:
		agent.silence(until)
	case DiscoverySlow:
		agent.slowDown(until)
	case DiscoveryResets:
		agent.reset()
	default:
		b.goesWrong(f.Kind, until, f.Draw)
	}
}

const (
	restartTime  = 7 * time.Second // in which most backends are replaced
	restartShare = 0.6
	drainShare   = 0.25
	muteShare    = 0.8
)

// drawn are so large a share of the backends, as a fault's draw has it.
func (r *run) drawn(f Fault, share float64) []*backend {
	rng := rand.New(rand.NewPCG(f.Draw, 0))
	var chosen []*backend
	for _, b := range r.farm.backends {
		if rng.Float64() < share {
			chosen = append(chosen, b)
		}
	}
	return chosen
}

// restartMost has most backends be replaced one by one.
func (r *run) restartMost(ctx context.Context, f Fault) {
	chosen := r.drawn(f, restartShare)
	for _, b := range chosen {
		if !system.Sleep(ctx, restartTime/time.Duration(len(chosen))) {
			return
		}
		b.restart()
		r.discovery.change(b, "in_service")
	}
}

// drainMany has many backends drain at once, and come back.
func (r *run) drainMany(ctx context.Context, f Fault) {
	chosen := r.drawn(f, drainShare)
	for _, b := range chosen {
		r.discovery.change(b, "terminating")
	}
	if !system.Sleep(ctx, f.Length) {
		return
	}
	for _, b := range chosen {
		r.discovery.change(b, "in_service")
	}
}

// muteRole has four in five backends of one role fall silent together, but never all.
func (r *run) muteRole(f Fault, until time.Duration) {
	prefill := f.Target%2 == 0
	var role []*backend
	for _, b := range r.farm.backends {
		if b.prefill == prefill {
			role = append(role, b)
		}
	}
	mute := min(int(muteShare*float64(len(role))+0.5), len(role)-1)
	first := int(f.Draw % uint64(len(role)))
	for i := range mute {
		role[(first+i)%len(role)].goesWrong(BackendMute, until, 0)
	}
}

// badDone takes note of a bad client's end.
func (r *run) badDone(dispatcher int, began, took time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.saw++
	if took > badLimit+slack+r.heldUp(dispatcher, began, began+took) {
		r.bad = append(r.bad, Violation{ruleBad, began + took, fmt.Sprintf("a client that stopped in a request to n%d had its end after %v: %v", dispatcher, took, err)})
	}
}

func (r *run) heldUp(dispatcher int, from, to time.Duration) (held time.Duration) {
	r.record.with(func() { held = r.record.heldUp(dispatcher, from, to) })
	return held
}

// result judges what was recorded, with the processes still up.
func (r *run) result(faults []Fault) Result {
	res := Result{Seed: r.options.Seed, Faults: faults, Statuses: map[int]int{}}
	res.usage = usageOf(r.pids())
	r.record.mu.Lock()
	res.Verdict = judge(r.record, func(dispatcher int) []span { return r.discovery.agents[dispatcher].quiet })
	res.Requests, res.Attempts = len(r.record.requests), len(r.record.attempts)
	for _, q := range r.record.requests {
		res.Statuses[q.status]++
		if len(q.sends) > 1 {
			res.Resent++
		}
	}
	r.record.mu.Unlock()
	r.mu.Lock()
	res.Late = r.late.most()
	res.Unjudged = res.Late > latenessMost
	res.Violations = append(res.Violations, r.bad...)
	res.Chances[ruleBad] = r.saw
	r.mu.Unlock()
	return res
}

// pids are those of the processes that are up.
func (r *run) pids() (pids []int) {
	for _, d := range r.dispatchers {
		d.mu.Lock()
		if d.ready {
			pids = append(pids, d.cmd.Process.Pid)
		}
		d.mu.Unlock()
	}
	return pids
}

// close ends all of it.
func (r *run) close() {
	for _, d := range r.dispatchers {
		r.record.with(func() {
			if d.life != nil {
				d.life.killed = true
			}
		})
		d.signal(syscall.SIGKILL)
		d.control.Close()
	}
	r.group.Wait()
	r.discovery.close()
	for _, b := range r.farm.backends {
		b.close()
	}
	r.farm.done.Wait()
}

// Table prints what came of a run.
func (res Result) Table(w io.Writer) {
	fmt.Fprintf(w, "seed %d: %d requests, %d attempts, %d faults, %d sent again on a new connection, answers %v\n",
		res.Seed, res.Requests, res.Attempts, len(res.Faults), res.Resent, res.Statuses)
	kinds := map[Kind]int{}
	for _, f := range res.Faults {
		kinds[f.Kind]++
	}
	fmt.Fprint(w, "faults:")
	for _, k := range slices.Sorted(maps.Keys(kinds)) {
		fmt.Fprintf(w, " %s %d", k, kinds[k])
	}
	fmt.Fprintf(w, "\npairs that overlapped: %d kinds; the soak itself was late by up to %v\n", len(Overlaps(res.Faults)), res.Late.Round(time.Millisecond))
	fmt.Fprintf(w, "a dispatcher needed %v\n", res.usage)
	if res.Unjudged {
		fmt.Fprintf(w, "NOT JUDGED: the soak lagged by over %v; what follows may be its own\n", latenessMost)
	}
	broken := map[string]int{}
	for _, v := range res.Violations {
		broken[v.Rule]++
	}
	for _, rule := range Rules {
		note := ""
		if res.Chances[rule] < fewChances {
			note = "  (few chances)"
		}
		fmt.Fprintf(w, "  %-14s %6d chances, broken %d%s\n", rule, res.Chances[rule], broken[rule], note)
	}
	for _, v := range res.Violations {
		fmt.Fprintf(w, "BROKEN %s at %.3f s: %s\n", v.Rule, v.At.Seconds(), v.Text)
	}
}

// fewChances is below how many chances a rule's line says that they were few.
const fewChances = 20

// Shrink drops faults from a schedule as long as fails says that the rest still fails, and returns the shortest that was found.
func Shrink(faults []Fault, fails func([]Fault) bool) []Fault {
	for size := max(len(faults)/2, 1); size >= 1; size /= 2 {
		for at := 0; at < len(faults); {
			rest := slices.Concat(faults[:at], faults[min(at+size, len(faults)):])
			if len(rest) < len(faults) && fails(rest) {
				faults = rest
			} else {
				at += size
			}
		}
	}
	return faults
}
