// Package fleet plays a scripted day in virtual time: many dispatchers, each the real loop with the real module, and many
// engines in one process, with no sockets and no clock. The same script and seed give the same record to the last line.
// It decides nothing; what it leaves is a record for internal/judge. Begin with Play.
package fleet

import (
	"fmt"
	"hash"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"sloetrestle/internal/agenda"
	"sloetrestle/internal/baseline"
	"sloetrestle/internal/boxlist"
	"sloetrestle/internal/budget"
	"sloetrestle/internal/day"
	"sloetrestle/internal/engine"
	"sloetrestle/internal/judge"
	"sloetrestle/internal/record"
	"sloetrestle/internal/standin"
)

const (
	networkDelay      = 200 * time.Microsecond // one way between any two, a hall's network
	timerResolution     = 2 * time.Millisecond   // how often a dispatcher's timers are looked at, as on the bench
	refusedConnectionTime  = 1 * time.Millisecond   // for a refused connection
	dialTimeout = 250 * time.Millisecond
)

// Outcome is what a run comes to, beside its verdict.
type Outcome struct {
	judge.Verdict
	Digest    string                   `json:"digest"` // of the record
	Requests int                      `json:"questions"`
	Engines   map[string]engine.Counts `json:"engines"`
	OnTimeShare     []float64                `json:"share"` // answered in time of those first asked in each second
	Submitted     []float64                `json:"asked"`
	TriesPerSecond     []float64                `json:"again"` // tries in each second
	Budgets   map[string]BudgetUse     `json:"budgets,omitempty"`
}

// Play plays a day with a policy: "module", or one of the baselines.
func Play(d day.Day, policy string) (Outcome, error) {
	return PlayLines(d, policy, nil)
}

// PlayLines does the same and hands on each line of the record.
func PlayLines(d day.Day, policy string, each func(record.Line)) (Outcome, error) {
	w, err := newSimulation(d, policy, each)
	if err != nil {
		return Outcome{}, err
	}
	return w.runToEnd(), nil
}

// newWorld makes backends, discovery and dispatchers, and clients that will ask.
func newSimulation(d day.Day, policy string, each func(record.Line)) (*simulation, error) {
	w := &simulation{
		scenario: d, policy: policy, rng: rand.New(rand.NewPCG(d.Head.Seed, 77)), backends: map[string]*backend{}, byID: map[uint32]*backend{}, onRecord: each,
		linkSlowdown: 1, durableLoans: map[string]float64{}, rackLinkFreeAt: map[string]time.Duration{}, digest: xxhash.New(), dedupMarks: map[string]time.Duration{},
		prefillTokens: map[string]*[2]float64{}, requests: d.Plan(),
	}
	if err := w.build(); err != nil {
		return nil, err
	}
	if policy == baseline.Informed {
		w.observeBackends()
	}
	for i := range w.requests {
		w.schedule(w.requests[i].SubmitAt, func() { w.submit(&w.requests[i], 0, "") })
	}
	for _, t := range d.Troubles {
		w.schedule(t.At.Std(), func() { w.inject(t) })
	}
	return w, nil
}

// play runs the day to its end.
func (w *simulation) runToEnd() Outcome {
	d := w.scenario
	w.run(d.Head.Length.Std() + drainTime)
	head := record.Head{Day: d.Head.Name, Seed: d.Head.Seed, Terms: d.Deployment}
	out := Outcome{
		Verdict: judge.Judge(head, w.lines), Digest: fmt.Sprintf("%x", w.digest.Sum64()), Requests: len(w.requests), Engines: map[string]engine.Counts{},
	}
	out.OnTimeShare, out.Submitted, out.TriesPerSecond = judge.Timeline(head, w.lines)
	out.Budgets = w.budgetUse()
	for _, b := range w.backendOrder {
		sum := out.Engines[b.spec.Kind]
		sum.Add(b.engine.Counts)
		out.Engines[b.spec.Kind] = sum
	}
	return out
}

// tail is how long a day runs on after its last request.
const drainTime = 40 * time.Second

type simulation struct {
	scenario    day.Day
	policy string
	now    time.Duration
	timers agenda.Queue
	rng    *rand.Rand
	requests []standin.Request
	lines  []record.Line
	onRecord   func(record.Line)
	digest    hash.Hash64

	backends       map[string]*backend // by name
	byID        map[uint32]*backend
	backendOrder       []*backend
	dispatchers []*dispatcher
	discoveryDelay    time.Duration
	discoveryDownUntil    time.Duration // until then nothing is heard of it
	dropNextUpdate    bool          // its next change is lost
	slowConnectShare   float64       // of connections to backends that come up late
	slowConnectMax      time.Duration // at most
	linkSlowdown    float64
	rackLinkFreeAt       map[string]time.Duration // when a rack's link is free
	dedupMarks        map[string]time.Duration // marks, by group
	prefillTokens       map[string]*[2]float64   // tokens left to read by grade: sum and number
	lastIncarnation      uint64
	durableLoans        map[string]float64 // what keepers have made durable
	budgets      []*budget.Purse
}

func (w *simulation) schedule(at time.Duration, do func()) {
	w.timers.Schedule(max(at, w.now), do)
}

func (w *simulation) after(d time.Duration, do func()) { w.schedule(w.now+d, do) }

func (w *simulation) run(until time.Duration) {
	w.timers.RunUntil(until, func(at time.Duration) { w.now = at })
}

func (w *simulation) addRecord(l record.Line) {
	l.At = w.now.Microseconds()
	w.lines = append(w.lines, l)
	fmt.Fprintf(w.digest, "%d %s %s %s %s %s %d %s\n", l.At, l.What, l.Box, l.Try, l.Word, l.Key, l.Trip, l.Dispatcher)
	if w.onRecord != nil {
		w.onRecord(l)
	}
}

// build makes backends, list and dispatchers.
func (w *simulation) build() error {
	for _, m := range w.scenario.Makes() {
		if err := m.Engine.Validate(); err != nil {
			return fmt.Errorf("box %s: %w", m.Name, err)
		}
		w.publish(w.addBackend(m, false), boxlist.Ready, 0)
	}
	for i := range w.scenario.Head.Dispatchers {
		d := &dispatcher{w: w, number: i, name: fmt.Sprintf("d%d", i)}
		w.dispatchers = append(w.dispatchers, d)
		if err := d.start(nil); err != nil {
			return err
		}
	}
	return nil
}
