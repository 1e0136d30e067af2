// Package fleet plays a scripted scenario in virtual time, in one process: many dispatchers, each with the
// production event loop and scheduler, and many emulated engines, without sockets or clock. The same script and
// seed give the same records to the last line. It does not check the rules itself: the records go to the checker.
// Begin with Play.
package fleet

import (
	"fmt"
	"hash"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"sloetrestle/internal/baseline"
	"sloetrestle/internal/budget"
	"sloetrestle/internal/checker"
	"sloetrestle/internal/day"
	"sloetrestle/internal/endpointlist"
	"sloetrestle/internal/engine"
	"sloetrestle/internal/fakes"
	"sloetrestle/internal/record"
	"sloetrestle/internal/timerqueue"
)

const (
	networkDelay          = 200 * time.Microsecond // one way between any two processes in a data center
	timerResolution       = 2 * time.Millisecond   // dispatchers' timers fire at multiples of it
	refusedConnectionTime = 1 * time.Millisecond   // until a refused connection is reported
	dialTimeout           = 250 * time.Millisecond
)

// Outcome is the result of a run: the checker's verdict, and figures of the run.
type Outcome struct {
	checker.Verdict
	Digest         string                   `json:"digest"` // of all records
	Requests       int                      `json:"questions"`
	Engines        map[string]engine.Counts `json:"engines"`
	OnTimeShare    []float64                `json:"share"` // by second of first submission
	Submitted      []float64                `json:"asked"`
	TriesPerSecond []float64                `json:"again"`
	Budgets        map[string]BudgetUse     `json:"budgets,omitempty"`
}

// Play plays a scenario with a policy: "module" for the scheduler, or the name of a baseline policy.
func Play(scenario day.Scenario, policy string) (Outcome, error) {
	return PlayWithRecords(scenario, policy, nil)
}

// PlayWithRecords does the same and calls a function with each record.
func PlayWithRecords(scenario day.Scenario, policy string, onRecord func(record.Event)) (Outcome, error) {
	sim, err := newSimulation(scenario, policy, onRecord)
	if err != nil {
		return Outcome{}, err
	}
	return sim.runToEnd(), nil
}

// newSimulation builds backends, discovery and dispatchers, and schedules the clients' requests and the faults.
func newSimulation(scenario day.Scenario, policy string, onRecord func(record.Event)) (*simulation, error) {
	sim := &simulation{
		scenario: scenario, policy: policy, rng: rand.New(rand.NewPCG(scenario.Header.Seed, 77)),
		backends: map[string]*backend{}, byID: map[uint32]*backend{}, onRecord: onRecord,
		linkSlowdown: 1, durableLoans: map[string]float64{}, rackLinkFreeAt: map[string]time.Duration{},
		digest: xxhash.New(), dedupMarks: map[string]time.Duration{},
		prefillTokens: map[string]*[2]float64{}, requests: scenario.Plan(),
	}
	if err := sim.build(); err != nil {
		return nil, err
	}
	if policy == baseline.Informed {
		sim.observeBackends()
	}
	for i := range sim.requests {
		sim.schedule(sim.requests[i].SubmitAt, func() { sim.submit(&sim.requests[i], 0, "") })
	}
	for _, fault := range scenario.Faults {
		sim.schedule(fault.Start.Std(), func() { sim.inject(fault) })
	}
	return sim, nil
}

// runToEnd runs the scenario to its end.
func (sim *simulation) runToEnd() Outcome {
	scenario := sim.scenario
	sim.run(scenario.Header.Duration.Std() + drainTime)
	head := record.Header{Scenario: scenario.Header.Name, Seed: scenario.Header.Seed, Terms: scenario.Deployment}
	out := Outcome{
		Verdict: checker.Check(head, sim.records), Digest: fmt.Sprintf("%x", sim.digest.Sum64()), Requests: len(sim.requests),
		Engines: map[string]engine.Counts{},
	}
	out.OnTimeShare, out.Submitted, out.TriesPerSecond = checker.Timeline(head, sim.records)
	out.Budgets = sim.budgetUse()
	for _, b := range sim.backendOrder {
		sum := out.Engines[b.spec.Kind]
		sum.Add(b.engine.Counts)
		out.Engines[b.spec.Kind] = sum
	}
	return out
}

// drainTime is how long a scenario runs on after its last request.
const drainTime = 40 * time.Second

type simulation struct {
	scenario day.Scenario
	policy   string
	now      time.Duration
	timers   timerqueue.Queue
	rng      *rand.Rand
	requests []fakes.Request
	records  []record.Event
	onRecord func(record.Event)
	digest   hash.Hash64

	backends           map[string]*backend // by name
	byID               map[uint32]*backend
	backendOrder       []*backend
	dispatchers        []*dispatcher
	discoveryDelay     time.Duration
	discoveryDownUntil time.Duration // no update is delivered before
	dropNextUpdate     bool          // lose the next update
	slowConnectShare   float64       // share of connections to backends that are slow to connect
	slowConnectMax     time.Duration // upper bound of their extra delay
	linkSlowdown       float64
	rackLinkFreeAt     map[string]time.Duration // when a rack's link has no transfers left
	dedupMarks         map[string]time.Duration // time of each deduplication key, by group
	prefillTokens      map[string]*[2]float64   // uncached prompt tokens by class: sum and count
	lastIncarnation    uint64
	durableLoans       map[string]float64 // keepers' durable sums
	budgets            []*budget.LocalBudget
}

func (sim *simulation) schedule(at time.Duration, do func()) {
	sim.timers.Schedule(max(at, sim.now), do)
}

func (sim *simulation) after(d time.Duration, do func()) { sim.schedule(sim.now+d, do) }

func (sim *simulation) run(until time.Duration) {
	sim.timers.RunUntil(until, func(now time.Duration) { sim.now = now })
}

func (sim *simulation) addRecord(l record.Event) {
	l.TimeUs = sim.now.Microseconds()
	sim.records = append(sim.records, l)
	fmt.Fprintf(sim.digest, "%d %s %s %s %s %s %d %s\n", l.TimeUs, l.Kind, l.Backend, l.Try, l.Detail,
		l.RequestKey, l.Attempt, l.Dispatcher)
	if sim.onRecord != nil {
		sim.onRecord(l)
	}
}

// build creates the backends, announces them, and starts the dispatchers.
func (sim *simulation) build() error {
	for _, m := range sim.scenario.BackendSpecs() {
		if err := m.Engine.Validate(); err != nil {
			return fmt.Errorf("backend %s: %w", m.Name, err)
		}
		sim.publish(sim.addBackend(m, false), endpointlist.Ready, 0)
	}
	for i := range sim.scenario.Header.Dispatchers {
		d := &dispatcher{sim: sim, number: i, name: fmt.Sprintf("d%d", i)}
		sim.dispatchers = append(sim.dispatchers, d)
		if err := d.start(nil); err != nil {
			return err
		}
	}
	return nil
}
