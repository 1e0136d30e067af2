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
	w        *world
	make     day.BackendSpec
	engine   *engine.Engine
	start    uint64
	started  time.Duration
	cold     bool
	up       bool
	busy     bool
	hang     bool
	fail     float64
	failOf   string
	resets   float64
	cuts     float64 // share of attempts cut off when they have begun to run
	crashes  float64 // share of reads after which it dies
	trips    map[*attempt]bool
	released map[string]int
	sent     []sent
	fell     bool
	seen     baseline.Load // as baseline.Informed sees it
}

type sent struct {
	at   time.Duration
	work float64
}

// kick has an engine go on with its steps.
func (b *backend) kick() {
	if b.busy || !b.up {
		return
	}
	if load := b.engine.LoadTimeLeft(b.w.now); load > 0 {
		b.busy = true
		b.w.after(load, func() { b.busy = false; b.kick() })
		return
	}
	took, ok := b.engine.BeginStep(b.w.now)
	if !ok {
		return
	}
	b.busy = true
	e := b.engine
	b.w.after(took, func() {
		b.busy = false
		if b.engine != e { // it was killed meanwhile
			b.kick()
			return
		}
		e.FinishStep(b.w.now)
		b.kick()
	})
}

func (b *backend) boot(cold bool) {
	b.w.starts++
	b.start, b.started, b.cold, b.up, b.busy, b.fell, b.sent = b.w.starts, b.w.now, cold, true, false, false, nil
	b.engine = engine.New(b.make.Engine, b.w.now, cold)
	b.engine.OnKVCacheDropped = func(key string) {
		word := "expired"
		if !b.up {
			word = "lost"
		}
		b.w.put(record.Event{Kind: record.KVCacheReleased, Backend: b.make.Name, RequestKey: key, Detail: word})
	}
	b.trips, b.released = map[*attempt]bool{}, map[string]int{}
	b.w.put(record.Event{Kind: record.ProcessStarted, Backend: b.make.Name, StartID: b.start, SlowStart: cold})
}

func (b *backend) kill(why string) {
	if !b.up {
		return
	}
	b.up = false
	b.w.put(record.Event{Kind: record.ProcessEnded, Backend: b.make.Name, StartID: b.start, Detail: why})
	trips := make([]*attempt, 0, len(b.trips))
	for t := range b.trips {
		trips = append(trips, t)
	}
	slices.SortFunc(trips, func(x, y *attempt) int { return strings.Compare(x.id(), y.id()) })
	for _, t := range trips {
		t.broke()
	}
	b.engine.Stop()
}

// add starts a new backend.
func (w *world) add(m day.BackendSpec, cold bool) *backend {
	b := &backend{w: w, make: m}
	w.boxes[m.Name] = b
	w.byID[dispatch.BackendID(m.Name)] = b
	w.order = append(w.order, b)
	b.boot(cold)
	return b
}

func (b *backend) release(key, why string) {
	if b.engine.ReleaseKVCache(key) {
		b.w.put(record.Event{Kind: record.KVCacheReleased, Backend: b.make.Name, RequestKey: key, Detail: why})
		b.kick()
	}
}

func (b *backend) load() []float64 {
	values := b.engine.LoadReport()
	var out []float64
	for _, name := range b.w.day.ReportFields {
		out = append(out, values[name])
	}
	return out
}

// work is what an attempt asks of a backend, in seconds of its full capacity.
func (b *backend) work(grade, stage string) float64 {
	m, talk := b.make.Engine, b.w.day.RequestShape(grade)
	sum := b.w.reads[grade]
	if sum == nil {
		sum = &[2]float64{talk.NewTokens + float64(talk.PrefixTokens)/4, 1}
		b.w.reads[grade] = sum
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
func (b *backend) weigh(work float64) bool {
	r, now := b.w.day.Rules, b.w.now
	up := now - b.started
	if !b.cold || up > r.SlowStartRamp.Std() {
		return false
	}
	b.sent = append(b.sent, sent{now, work})
	sum := 0.0
	for _, s := range b.sent {
		if s.at >= now-r.SlowStartWindow.Std() {
			sum += s.work
		}
	}
	share := r.SlowStartShare + (1-r.SlowStartShare)*float64(up)/float64(r.SlowStartRamp.Std())
	return sum > 1.1*r.SlowStartMultiple*share*r.SlowStartWindow.Std().Seconds()
}
