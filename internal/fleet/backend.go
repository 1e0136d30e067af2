package fleet

import (
	"slices"
	"strings"
	"time"

	"sloetrestle/internal/baseline"
	"sloetrestle/internal/day"
	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/engine"
	"sloetrestle/internal/kserve"
	"sloetrestle/internal/record"
)

// backend is one emulated backend: an engine, its process, and the faults injected into it.
type backend struct {
	sim           *simulation
	spec          day.Made
	engine        *engine.Engine
	incarnation   uint64
	startedAt     time.Duration
	slowStart     bool
	running       bool
	stepScheduled bool
	hangs         bool
	failShare     float64
	failClass     string
	resetShare    float64
	cutShare      float64 // share of attempts cut off at their first token
	crashShare    float64 // share of prefills after which the backend crashes
	attempts      map[*attempt]bool
	releasedUpTo  map[string]int
	recentWork    []sentWork
	overloaded    bool
	observed      baseline.Load // as the informed baseline policy sees it
}

type sentWork struct {
	at   time.Duration
	work float64
}

// runSteps schedules the engine's next step, if it is idle and has work.
func (b *backend) runSteps() {
	if b.stepScheduled || !b.running {
		return
	}
	if load := b.engine.LoadTimeLeft(b.sim.now); load > 0 {
		b.stepScheduled = true
		b.sim.after(load, func() { b.stepScheduled = false; b.runSteps() })
		return
	}
	took, ok := b.engine.BeginStep(b.sim.now)
	if !ok {
		return
	}
	b.stepScheduled = true
	e := b.engine
	b.sim.after(took, func() {
		b.stepScheduled = false
		if b.engine != e { // restarted meanwhile
			b.runSteps()
			return
		}
		e.FinishStep(b.sim.now)
		b.runSteps()
	})
}

func (b *backend) start(cold bool) {
	b.sim.lastIncarnation++
	b.incarnation, b.startedAt, b.slowStart, b.running, b.stepScheduled, b.overloaded, b.recentWork = b.sim.lastIncarnation, b.sim.now, cold, true, false, false, nil
	b.engine = engine.New(b.spec.Engine, b.sim.now, cold)
	b.engine.OnKVCacheDropped = func(key string) {
		word := "expired"
		if !b.running {
			word = "lost"
		}
		b.sim.addRecord(record.Line{What: record.Let, Box: b.spec.Name, Key: key, Word: word})
	}
	b.attempts, b.releasedUpTo = map[*attempt]bool{}, map[string]int{}
	b.sim.addRecord(record.Line{What: record.Up, Box: b.spec.Name, Start: b.incarnation, Cold: cold})
}

func (b *backend) kill(why string) {
	if !b.running {
		return
	}
	b.running = false
	b.sim.addRecord(record.Line{What: record.Down, Box: b.spec.Name, Start: b.incarnation, Word: why})
	trips := make([]*attempt, 0, len(b.attempts))
	for t := range b.attempts {
		trips = append(trips, t)
	}
	slices.SortFunc(trips, func(x, y *attempt) int { return strings.Compare(x.id(), y.id()) })
	for _, t := range trips {
		t.loseConnection()
	}
	b.engine.Stop()
}

// addBackend adds a backend to the fleet and starts it.
func (sim *simulation) addBackend(m day.Made, cold bool) *backend {
	b := &backend{sim: sim, spec: m}
	sim.backends[m.Name] = b
	sim.byID[dispatch.BackendID(m.Name)] = b
	sim.backendOrder = append(sim.backendOrder, b)
	b.start(cold)
	return b
}

func (b *backend) releaseKVCache(key, why string) {
	if b.engine.ReleaseKVCache(key) {
		b.sim.addRecord(record.Line{What: record.Let, Box: b.spec.Name, Key: key, Word: why})
		b.runSteps()
	}
}

func (b *backend) loadReport() []float64 {
	values := b.engine.LoadReport()
	var out []float64
	for _, name := range b.sim.scenario.ReportFields {
		out = append(out, values[name])
	}
	return out
}

// attemptWork returns the expected work of an attempt in seconds of the backend's full capacity. The prefill part follows the
// mean number of uncached prompt tokens seen for the class so far.
func (b *backend) attemptWork(grade, stage string) float64 {
	m, talk := b.spec.Engine, b.sim.scenario.TalkOf(grade)
	sum := b.sim.prefillTokens[grade]
	if sum == nil {
		sum = &[2]float64{talk.NewTokens + float64(talk.PrefixTokens)/4, 1}
		b.sim.prefillTokens[grade] = sum
	}
	read := sum[0] / sum[1] / m.PrefillTokensPerSecond
	step := m.StepTime.Seconds() + float64(m.Slots)*m.TimePerSequence.Seconds() + float64(m.Slots)*m.TimePer1000ContextTokens.Seconds()
	write := talk.AnswerTokens * step / float64(m.Slots)
	switch stage {
	case kserve.PhasePrefill:
		return read
	case kserve.PhaseDecode:
		return write
	}
	return read + write
}

// exceedsSlowStart adds work to the slow-start window and tells whether the sum is more than the backend can bear, which is
// the allowed multiple of its present share of capacity and a margin of 10 %.
func (b *backend) exceedsSlowStart(work float64) bool {
	r, now := b.sim.scenario.Rules, b.sim.now
	up := now - b.startedAt
	if !b.slowStart || up > r.SlowStartRamp.Std() {
		return false
	}
	b.recentWork = append(b.recentWork, sentWork{now, work})
	sum := 0.0
	for _, s := range b.recentWork {
		if s.at >= now-r.SlowStartWindow.Std() {
			sum += s.work
		}
	}
	share := r.SlowStartShare + (1-r.SlowStartShare)*float64(up)/float64(r.SlowStartRamp.Std())
	return sum > 1.1*r.SlowStartMultiple*share*r.SlowStartWindow.Std().Seconds()
}
