// Package soak runs real dispatcher processes under overlapping random faults: signals, reloads, failing system
// calls, clock steps, and backends, links, discovery and clients that misbehave. An oracle checks what clients,
// backends and discovery recorded against the rules; it never uses what the dispatchers report about themselves. The
// same seed gives the same schedule of faults, but not the same timing of the processes. Begin with Run.
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

// ControlVariable is the environment variable with the address from which a dispatcher process gets the orders for
// its shims.
const ControlVariable = "SLOETRESTLE_SOAK_CONTROL"

// Options configure a run.
type Options struct {
	Seed          uint64
	Processes     int
	Length        time.Duration
	FaultInterval time.Duration // mean time between two faults
	Clients       int           // well-behaved clients per process
	Backends      int           // 0: the smallest number that exercises all rules
	Rate          float64       // open-loop requests per second and process, in addition to those of Clients
	Command       []string      // command line of a dispatcher with Shims
	Env           []string      // added to the environment of Command
	Dir           string        // for logs, configurations and the schedule; empty: they are not kept
	Faults        []Fault       // used instead of the schedule drawn from Seed
}

const (
	settleTime      = 4 * time.Second // at the end of a run, in which no fault begins
	faultAftermath  = time.Second     // for which a fault still has effects after its end
	defaultBackends = 5
	prefillShare    = 0.45 // of all backends
	badClients      = 2
	startLimit      = 30 * time.Second
	clientsEndLimit = 8 * time.Second // for clients to finish
)

// run is one run in progress.
type run struct {
	options     Options
	variant     variant
	lateness    lateness // of the soak's own process
	record      *record
	cluster     *cluster
	discovery   *discovery
	dispatchers []*dispatcher
	dir         string
	group       errgroup.Group

	mu                  sync.Mutex
	badClientViolations []Violation
	badClientsSeen      int // bad clients whose connection ended
}

// Run runs one seed, checks the record and returns the result.
func Run(ctx context.Context, options Options) (Result, error) {
	drawn := drawVariant(options.Seed)
	r := &run{options: options, variant: drawn, record: newRecord(drawn), dir: options.Dir}
	if options.Faults == nil {
		options.Faults = Schedule(options)
	}
	if r.dir == "" {
		dir, err := os.MkdirTemp("", "sloetrestle-soak-")
		if err != nil {
			return Result{}, err
		}
		defer os.RemoveAll(dir)
		r.dir = dir
	}
	if err := r.writeSchedule(options.Faults); err != nil {
		return Result{}, err
	}
	if err := r.open(); err != nil {
		return Result{}, err
	}
	defer r.close()
	if err := r.startAll(ctx); err != nil {
		return Result{}, err
	}
	r.play(ctx, options.Faults)
	if err := ctx.Err(); err != nil {
		return Result{}, fmt.Errorf("seed %d was interrupted: %w", options.Seed, err)
	}
	return r.result(options.Faults), nil
}

// writeSchedule writes the schedule into the folder of the run.
func (r *run) writeSchedule(faults []Fault) error {
	raw, err := json.MarshalIndent(faults, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(r.dir, "schedule.json"), raw, 0o644)
}

// open starts the backends and discovery and allocates the addresses of the dispatchers.
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

// play runs the clients and injects the faults until the run's length has passed.
func (r *run) play(ctx context.Context, faults []Fault) {
	ctx, end := context.WithTimeout(ctx, r.options.Length)
	defer end()
	load := &clients{run: r, record: r.record}
	var running sync.WaitGroup
	for i := range r.options.Processes * r.options.Clients {
		running.Go(func() { load.runWellBehaved(ctx, rand.New(rand.NewPCG(r.options.Seed, uint64(i)))) })
	}
	running.Go(func() { r.lateness.watch(ctx) })
	running.Go(func() { r.watchUsage(ctx) })
	if rate := r.options.Rate * float64(r.options.Processes); rate > 0 {
		running.Go(func() { load.openLoop(ctx, rand.New(rand.NewPCG(r.options.Seed, 2<<32)), rate) })
	}
	for _, d := range r.dispatchers {
		for range r.variant.idleClients {
			running.Go(func() { load.idle(ctx, d) })
		}
	}
	for i := range badClients {
		running.Go(func() { load.runMalformed(ctx, rand.New(rand.NewPCG(r.options.Seed, 1<<32+uint64(i)))) })
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

// pickDispatcher returns a random dispatcher that accepts new connections, or nil if there is none.
func (r *run) pickDispatcher(rng *rand.Rand) *dispatcher {
	var available []*dispatcher
	for _, d := range r.dispatchers {
		if d.acceptsConnections() {
			available = append(available, d)
		}
	}
	if len(available) == 0 {
		return nil
	}
	return available[rng.IntN(len(available))]
}

// recordBadClient counts a bad client whose connection ended, and records a violation if that took too long.
func (r *run) recordBadClient(dispatcher int, began, took time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.badClientsSeen++
	if took > badClientLimit+observationSlack+r.stoppedFor(dispatcher, began, began+took) {
		r.badClientViolations = append(r.badClientViolations, Violation{ruleBad, began + took,
			fmt.Sprintf("a client that stopped in a request to n%d had its end after %v: %v", dispatcher, took, err)})
	}
}

// stoppedFor is record.stoppedFor with the record locked.
func (r *run) stoppedFor(dispatcher int, from, to time.Duration) (stopped time.Duration) {
	r.record.with(func() { stopped = r.record.stoppedFor(dispatcher, from, to) })
	return stopped
}

// close kills the dispatchers and closes discovery and the backends.
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

// Shrink drops faults from a schedule as long as fails reports that the rest still fails, and returns the shortest
// schedule found.
func Shrink(faults []Fault, fails func([]Fault) bool) []Fault {
	for size := max(len(faults)/2, 1); size >= 1; size /= 2 {
		for start := 0; start < len(faults); {
			rest := slices.Concat(faults[:start], faults[min(start+size, len(faults)):])
			if len(rest) < len(faults) && fails(rest) {
				faults = rest
			} else {
				start += size
			}
		}
	}
	return faults
}
