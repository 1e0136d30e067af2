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
	FaultInterval     time.Duration // between two faults, on the mean
	Clients   int           // usual ones for each process
	Backends  int           // 0: as few as show all rules
	Rate      float64       // requests a second for each process beside those of the usual clients, which wait for their answers
	Command   []string      // that runs a dispatcher with Shims
	Env       []string
	Dir       string  // for the record; empty: none is kept
	Faults    []Fault // in place of the schedule that the seed draws
}

const (
	settleTime      = 4 * time.Second // at a run's end, without a new fault
	faultAftermath  = time.Second     // for which a fault that has ended still acts
	defaultBackends = 5
	prefillShare    = 0.45 // of the backends
	badClients      = 2
	startLimit      = 30 * time.Second
	clientsEndLimit = 8 * time.Second // for clients to end
)

// run is one that is being played.
type run struct {
	options     Options
	variant     variant
	lateness    lateness // of the soak itself
	record      *record
	cluster     *cluster
	discovery   *discovery
	dispatchers []*dispatcher
	dir         string
	group       errgroup.Group

	mu                  sync.Mutex
	badClientViolations []Violation // of bad clients
	badClientsSeen      int         // bad clients that had their end
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
	if err := r.writeSchedule(o.Faults); err != nil {
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
func (r *run) writeSchedule(faults []Fault) error {
	raw, err := json.MarshalIndent(faults, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(r.dir, "schedule.json"), raw, 0o644)
}

// open opens backends, discovery and the places of the dispatchers.
func (r *run) open() error {
	r.cluster = &cluster{record: r.record, cached: map[string]bool{}}
	r.discovery = &discovery{record: r.record, cluster: r.cluster, revision: 1}
	backends := cmp.Or(r.options.Backends, defaultBackends)
	prefills := int(prefillShare * float64(backends))
	for i := range backends {
		name := fmt.Sprintf("r%d", i)
		if i >= prefills {
			name = fmt.Sprintf("w%d", i-prefills)
		}
		if err := r.cluster.addBackend(name, i < prefills, r.options.Processes); err != nil {
			return err
		}
	}
	ports := &portAllocator{map[int]bool{}}
	for i := range r.options.Processes {
		if err := r.discovery.addAgent(i); err != nil {
			return err
		}
		d := &dispatcher{run: r, number: i, configFile: filepath.Join(r.dir, fmt.Sprintf("n%d.json", i))}
		var err error
		if d.listen, err = ports.free(); err != nil {
			return err
		}
		if d.peer, err = ports.free(); err != nil {
			return err
		}
		if d.shimListener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
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
		running.Go(func() { asking.runWellBehaved(ctx, rand.New(rand.NewPCG(r.options.Seed, uint64(i)))) })
	}
	running.Go(func() { r.lateness.watch(ctx) })
	if rate := r.options.Rate * float64(r.options.Processes); rate > 0 {
		running.Go(func() { asking.openLoop(ctx, rand.New(rand.NewPCG(r.options.Seed, 2<<32)), rate) })
	}
	for _, d := range r.dispatchers {
		for range r.variant.idleClients {
			running.Go(func() { asking.idle(ctx, d) })
		}
	}
	for i := range badClients {
		running.Go(func() { asking.runMalformed(ctx, rand.New(rand.NewPCG(r.options.Seed, 1<<32+uint64(i)))) })
	}
	running.Go(func() {
		for system.Sleep(ctx, heartbeatInterval) {
			r.discovery.heartbeat()
		}
	})
	began := time.Now()
	for _, f := range faults {
		if !system.Sleep(ctx, f.At-time.Since(began)) {
			break
		}
		running.Go(func() { r.inject(ctx, f) })
	}
	<-ctx.Done()
	running.Wait()
}

// front deals out a dispatcher that takes new connections.
func (r *run) pickDispatcher(rng *rand.Rand) *dispatcher {
	var up []*dispatcher
	for _, d := range r.dispatchers {
		if d.acceptsConnections() {
			up = append(up, d)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[rng.IntN(len(up))]
}

// badDone takes note of a bad client's end.
func (r *run) recordBadClient(dispatcher int, began, took time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.badClientsSeen++
	if took > badClientLimit+observationSlack+r.stoppedFor(dispatcher, began, began+took) {
		r.badClientViolations = append(r.badClientViolations, Violation{ruleBad, began + took, fmt.Sprintf("a client that stopped in a request to n%d had its end after %v: %v", dispatcher, took, err)})
	}
}

func (r *run) stoppedFor(dispatcher int, from, to time.Duration) (held time.Duration) {
	r.record.with(func() { held = r.record.stoppedFor(dispatcher, from, to) })
	return held
}

// close ends all of it.
func (r *run) close() {
	for _, d := range r.dispatchers {
		r.record.with(func() {
			if d.process != nil {
				d.process.killed = true
			}
		})
		d.signal(syscall.SIGKILL)
		d.shimListener.Close()
	}
	r.group.Wait()
	r.discovery.close()
	for _, b := range r.cluster.backends {
		b.close()
	}
	r.cluster.connections.Wait()
}

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
