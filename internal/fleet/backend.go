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
	spec          day.BackendSpec
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
	sentAt time.Duration
	work   float64
}

// runSteps schedules the engine's next step, if it is idle and has work.
func (b *backend) runSteps() {
	if b.stepScheduled || !b.running {
		return
	}
	if loadTime := b.engine.LoadTimeLeft(b.sim.now); loadTime > 0 {
		b.stepScheduled = true
		b.sim.after(loadTime, func() { b.stepScheduled = false; b.runSteps() })
		return
	}
	stepTime, ok := b.engine.BeginStep(b.sim.now)
	if !ok {
		return
	}
	b.stepScheduled = true
	e := b.engine
	b.sim.after(stepTime, func() {
		b.stepScheduled = false
		if b.engine != e { // restarted meanwhile
			b.runSteps()
			return
		}
		e.FinishStep(b.sim.now)
		b.runSteps()
	})
}

func (b *backend) start(slowStart bool) {
	b.sim.lastIncarnation++
	b.incarnation, b.startedAt, b.slowStart, b.running, b.stepScheduled, b.overloaded, b.recentWork =
		b.sim.lastIncarnation, b.sim.now, slowStart, true, false, false, nil
	b.engine = engine.New(b.spec.Engine, b.sim.now, slowStart)
	b.engine.OnKVCacheDropped = func(key string) {
		reason := "expired"
		if !b.running {
			reason = "lost"
		}
		b.sim.addRecord(record.Event{Kind: record.KVCacheReleased, Backend: b.spec.Name, RequestKey: key, Detail: reason})
	}
	b.attempts, b.releasedUpTo = map[*attempt]bool{}, map[string]int{}
	b.sim.addRecord(record.Event{Kind: record.ProcessStarted, Backend: b.spec.Name, StartID: b.incarnation,
		SlowStart: slowStart})
}

func (b *backend) kill(reason string) {
	if !b.running {
		return
	}
	b.running = false
	b.sim.addRecord(record.Event{Kind: record.ProcessEnded, Backend: b.spec.Name, StartID: b.incarnation, Detail: reason})
	attempts := make([]*attempt, 0, len(b.attempts))
	for t := range b.attempts {
		attempts = append(attempts, t)
	}
	slices.SortFunc(attempts, func(x, y *attempt) int { return strings.Compare(x.id(), y.id()) })
	for _, t := range attempts {
		t.loseConnection()
	}
	b.engine.Stop()
}

// addBackend adds a backend to the fleet and starts it.
func (sim *simulation) addBackend(spec day.BackendSpec, slowStart bool) *backend {
	b := &backend{sim: sim, spec: spec}
	sim.backends[spec.Name] = b
	sim.byID[dispatch.BackendID(spec.Name)] = b
	sim.backendOrder = append(sim.backendOrder, b)
	b.start(slowStart)
	return b
}

func (b *backend) releaseKVCache(key, reason string) {
	if b.engine.ReleaseKVCache(key) {
		b.sim.addRecord(record.Event{Kind: record.KVCacheReleased, Backend: b.spec.Name, RequestKey: key, Detail: reason})
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

// attemptWork returns the expected work of an attempt in seconds of the backend's full capacity. The prefill part
// follows the mean number of uncached prompt tokens seen for the class so far.
func (b *backend) attemptWork(class, phase string) float64 {
	config, profile := b.spec.Engine, b.sim.scenario.RequestShape(class)
	uncached := b.sim.prefillTokens[class]
	if uncached == nil {
		uncached = &[2]float64{profile.NewTokens + float64(profile.PrefixTokens)/4, 1}
		b.sim.prefillTokens[class] = uncached
	}
	prefillWork := uncached[0] / uncached[1] / config.PrefillTokensPerSecond
	stepTime := config.StepTime.Seconds() + float64(config.Slots)*config.TimePerSequence.Seconds() +
		float64(config.Slots)*config.TimePer1000ContextTokens.Seconds()
	decodeWork := profile.AnswerTokens * stepTime / float64(config.Slots)
	switch phase {
	case kserve.PhasePrefill:
		return prefillWork
	case kserve.PhaseDecode:
		return decodeWork
	}
	return prefillWork + decodeWork
}

// exceedsSlowStart adds work to the slow-start window and tells whether the sum is more than the backend can bear,
// which is the allowed multiple of its present share of capacity and a margin of 10 %.
func (b *backend) exceedsSlowStart(work float64) bool {
	rules, now := b.sim.scenario.Rules, b.sim.now
	uptime := now - b.startedAt
	if !b.slowStart || uptime > rules.SlowStartRamp.Std() {
		return false
	}
	b.recentWork = append(b.recentWork, sentWork{now, work})
	sum := 0.0
	for _, sent := range b.recentWork {
		if sent.sentAt >= now-rules.SlowStartWindow.Std() {
			sum += sent.work
		}
	}
	share := rules.SlowStartShare + (1-rules.SlowStartShare)*float64(uptime)/float64(rules.SlowStartRamp.Std())
	return sum > 1.1*rules.SlowStartMultiple*share*rules.SlowStartWindow.Std().Seconds()
}
