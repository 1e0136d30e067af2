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

// backend is one engine and its process.
type backend struct {
	w        *simulation
	spec     day.Made
	engine   *engine.Engine
	incarnation    uint64
	startedAt  time.Duration
	slowStart     bool
	running       bool
	stepScheduled     bool
	hangs     bool
	failShare     float64
	failClass   string
	resetShare   float64
	cutShare     float64 // share of attempts cut off when they have begun to run
	crashShare  float64 // share of reads after which it dies
	attempts    map[*attempt]bool
	releasedUpTo map[string]int
	recentWork     []sentWork
	overloaded     bool
	observed     baseline.Load // as baseline.Informed sees it
}

type sentWork struct {
	at   time.Duration
	work float64
}

// kick has an engine go on with its steps.
func (b *backend) runSteps() {
	if b.stepScheduled || !b.running {
		return
	}
	if load := b.engine.LoadTimeLeft(b.w.now); load > 0 {
		b.stepScheduled = true
		b.w.after(load, func() { b.stepScheduled = false; b.runSteps() })
		return
	}
	took, ok := b.engine.BeginStep(b.w.now)
	if !ok {
		return
	}
	b.stepScheduled = true
	e := b.engine
	b.w.after(took, func() {
		b.stepScheduled = false
		if b.engine != e { // it was killed meanwhile
			b.runSteps()
			return
		}
		e.FinishStep(b.w.now)
		b.runSteps()
	})
}

func (b *backend) start(cold bool) {
	b.w.lastIncarnation++
	b.incarnation, b.startedAt, b.slowStart, b.running, b.stepScheduled, b.overloaded, b.recentWork = b.w.lastIncarnation, b.w.now, cold, true, false, false, nil
	b.engine = engine.New(b.spec.Engine, b.w.now, cold)
	b.engine.OnKVCacheDropped = func(key string) {
		word := "expired"
		if !b.running {
			word = "lost"
		}
		b.w.addRecord(record.Line{What: record.Let, Box: b.spec.Name, Key: key, Word: word})
	}
	b.attempts, b.releasedUpTo = map[*attempt]bool{}, map[string]int{}
	b.w.addRecord(record.Line{What: record.Up, Box: b.spec.Name, Start: b.incarnation, Cold: cold})
}

func (b *backend) kill(why string) {
	if !b.running {
		return
	}
	b.running = false
	b.w.addRecord(record.Line{What: record.Down, Box: b.spec.Name, Start: b.incarnation, Word: why})
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

// add starts a new backend.
func (w *simulation) addBackend(m day.Made, cold bool) *backend {
	b := &backend{w: w, spec: m}
	w.backends[m.Name] = b
	w.byID[dispatch.BackendID(m.Name)] = b
	w.backendOrder = append(w.backendOrder, b)
	b.start(cold)
	return b
}

func (b *backend) releaseKVCache(key, why string) {
	if b.engine.ReleaseKVCache(key) {
		b.w.addRecord(record.Line{What: record.Let, Box: b.spec.Name, Key: key, Word: why})
		b.runSteps()
	}
}

func (b *backend) loadReport() []float64 {
	values := b.engine.LoadReport()
	var out []float64
	for _, name := range b.w.scenario.ReportFields {
		out = append(out, values[name])
	}
	return out
}

// work is what an attempt asks of a backend, in seconds of its full capacity.
func (b *backend) attemptWork(grade, stage string) float64 {
	m, talk := b.spec.Engine, b.w.scenario.TalkOf(grade)
	sum := b.w.prefillTokens[grade]
	if sum == nil {
		sum = &[2]float64{talk.NewTokens + float64(talk.PrefixTokens)/4, 1}
		b.w.prefillTokens[grade] = sum
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

// weigh counts work against what a cold backend bears, and tells whether it falls over.
func (b *backend) exceedsSlowStart(work float64) bool {
	r, now := b.w.scenario.Rules, b.w.now
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
