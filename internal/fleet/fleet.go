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
	hop      = 200 * time.Microsecond // one way between any two, a hall's network
	beat     = 2 * time.Millisecond   // how often a dispatcher's timers are looked at, as on the bench
	unreach  = 1 * time.Millisecond   // for a refused connection
	dialTime = 250 * time.Millisecond
)

// Outcome is what a run comes to, beside its verdict.
type Outcome struct {
	judge.Verdict
	Digest    string                   `json:"digest"` // of the record
	Questions int                      `json:"questions"`
	Engines   map[string]engine.Counts `json:"engines"`
	Share     []float64                `json:"share"` // answered in time of those first asked in each second
	Asked     []float64                `json:"asked"`
	Again     []float64                `json:"again"` // tries in each second
	Budgets   map[string]BudgetUse     `json:"budgets,omitempty"`
}

// Play plays a day with a policy: "module", or one of the baselines.
func Play(d day.Scenario, policy string) (Outcome, error) {
	return PlayWithRecords(d, policy, nil)
}

// PlayLines does the same and hands on each line of the record.
func PlayWithRecords(d day.Scenario, policy string, each func(record.Event)) (Outcome, error) {
	w, err := newWorld(d, policy, each)
	if err != nil {
		return Outcome{}, err
	}
	return w.play(), nil
}

// newWorld makes backends, discovery and dispatchers, and clients that will ask.
func newWorld(d day.Scenario, policy string, each func(record.Event)) (*world, error) {
	w := &world{
		day: d, policy: policy, rng: rand.New(rand.NewPCG(d.Header.Seed, 77)), boxes: map[string]*backend{}, byID: map[uint32]*backend{}, each: each,
		slowLink: 1, lent: map[string]float64{}, racks: map[string]time.Duration{}, sum: xxhash.New(), seen: map[string]time.Duration{},
		reads: map[string]*[2]float64{}, wishes: d.Plan(),
	}
	if err := w.build(); err != nil {
		return nil, err
	}
	if policy == baseline.Informed {
		w.observe()
	}
	for i := range w.wishes {
		w.at(w.wishes[i].SubmitAt, func() { w.ask(&w.wishes[i], 0, "") })
	}
	for _, t := range d.Faults {
		w.at(t.Start.Std(), func() { w.inject(t) })
	}
	return w, nil
}

// play runs the day to its end.
func (w *world) play() Outcome {
	d := w.day
	w.run(d.Header.Duration.Std() + tail)
	head := record.Header{Scenario: d.Header.Name, Seed: d.Header.Seed, Terms: d.Deployment}
	out := Outcome{
		Verdict: judge.Check(head, w.lines), Digest: fmt.Sprintf("%x", w.sum.Sum64()), Questions: len(w.wishes), Engines: map[string]engine.Counts{},
	}
	out.Share, out.Asked, out.Again = judge.Timeline(head, w.lines)
	out.Budgets = w.used()
	for _, b := range w.order {
		sum := out.Engines[b.make.Kind]
		sum.Add(b.engine.Counts)
		out.Engines[b.make.Kind] = sum
	}
	return out
}

// tail is how long a day runs on after its last request.
const tail = 40 * time.Second

type world struct {
	day    day.Scenario
	policy string
	now    time.Duration
	events agenda.Queue
	rng    *rand.Rand
	wishes []standin.Request
	lines  []record.Event
	each   func(record.Event)
	sum    hash.Hash64

	boxes       map[string]*backend // by name
	byID        map[uint32]*backend
	order       []*backend
	dispatchers []*dispatcher
	lateList    time.Duration
	downList    time.Duration // until then nothing is heard of it
	skipList    bool          // its next change is lost
	lateShare   float64       // of connections to backends that come up late
	lateBy      time.Duration // at most
	slowLink    float64
	racks       map[string]time.Duration // when a rack's link is free
	seen        map[string]time.Duration // marks, by group
	reads       map[string]*[2]float64   // tokens left to read by grade: sum and number
	starts      uint64
	lent        map[string]float64 // what keepers have made durable
	purses      []*budget.LocalBudget
}

func (w *world) at(at time.Duration, do func()) {
	w.events.Schedule(max(at, w.now), do)
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now+d, do) }

func (w *world) run(until time.Duration) {
	w.events.RunUntil(until, func(at time.Duration) { w.now = at })
}

func (w *world) put(l record.Event) {
	l.TimeUs = w.now.Microseconds()
	w.lines = append(w.lines, l)
	fmt.Fprintf(w.sum, "%d %s %s %s %s %s %d %s\n", l.TimeUs, l.Kind, l.Backend, l.Try, l.Detail, l.RequestKey, l.Attempt, l.Dispatcher)
	if w.each != nil {
		w.each(l)
	}
}

// build makes backends, list and dispatchers.
func (w *world) build() error {
	for _, m := range w.day.BackendSpecs() {
		if err := m.Engine.Validate(); err != nil {
			return fmt.Errorf("box %s: %w", m.Name, err)
		}
		w.publish(w.add(m, false), boxlist.Ready, 0)
	}
	for i := range w.day.Header.Dispatchers {
		d := &dispatcher{w: w, number: i, name: fmt.Sprintf("d%d", i)}
		w.dispatchers = append(w.dispatchers, d)
		if err := d.boot(nil); err != nil {
			return err
		}
	}
	return nil
}
