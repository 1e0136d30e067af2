package platform

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"sloetrestle/brain"
	"sloetrestle/internal/boxlist"
	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/monitor"
)

// The terms of the rules that the settings do not state.
const (
	goneSlack      = 100 * time.Millisecond // in which an attempt may still begin once its client has closed
	toldSlack      = 150 * time.Millisecond // by which a told deadline may be over what the client has left
	holdSlack      = 300 * time.Millisecond // that a state may wait beyond its limit
	drainGraceElse = 250 * time.Millisecond // for attempts to a backend that drains, where the settings state none
)

const (
	// notableEach and notableMost bound the lines on single requests that an operator sees without asking for more: so many in each.
	notableEach = time.Second
	notableMost = 20
)

// notableLog logs what happened to single requests, by their ids, as far as it is out of the ordinary: an attempt that failed or had no
// answer, a state that was due, a release that nobody heard. A rash of them is counted.
type notableLog struct {
	log     *slog.Logger
	dropped atomic.Int64

	mu    sync.Mutex
	began time.Time
	lines int
}

// Info logs a line, unless there were too many just now.
func (n *notableLog) Info(text string, args ...any) {
	n.mu.Lock()
	now := time.Now()
	if now.Sub(n.began) >= notableEach {
		n.began, n.lines = now, 0
	}
	n.lines++
	many := n.lines > notableMost
	n.mu.Unlock()
	if many {
		n.dropped.Add(1)
		return
	}
	n.log.Info(text, args...)
}

// monitorTerms are the rules' bounds by the settings.
func monitorTerms(facts brain.Settings) monitor.Bounds {
	terms := monitor.Bounds{ClientGoneGrace: goneSlack, TimeoutSlack: toldSlack, DrainGrace: facts.Duration("rules.drainGraceUs")}
	if terms.DrainGrace == 0 {
		terms.DrainGrace = drainGraceElse
	}
	if limit := facts.Duration("familyInfo.pinLimitUs"); limit > 0 {
		terms.MaxCacheWait = limit + holdSlack
	}
	return terms
}

// monitorClasses are the requests' classes by their numbers, as far as running again matters.
func monitorClasses(facts brain.Settings) (classes []monitor.Class) {
	grades, err := facts.Classes()
	if err != nil {
		return nil // the loop, which needs them, says so
	}
	for _, g := range grades {
		classes = append(classes, map[brain.Effect]monitor.Class{
			brain.Idempotent: monitor.Idempotent, brain.Deduplicated: monitor.Deduplicated, brain.NonIdempotent: monitor.NonIdempotent,
		}[g.Effect])
	}
	return classes
}

// hasEffect tells whether an attempt has one that must not come twice: at a prefill backend it has none, however it ends.
func hasEffect(f *dispatch.Attempt) bool { return f.Scheduled.Stage != brain.StagePrefill }

// proves is what the end of an attempt proves.
func proves(o brain.Outcome) monitor.AttemptEnd {
	switch {
	case o == brain.Prefilled:
		return monitor.CacheHeld
	case o.NeverRan():
		return monitor.NeverRan
	}
	return monitor.MayHaveRun
}

// listedObserver tells the monitor what lists say of backends: those that a whole list leaves out are gone.
type listedObserver struct {
	monitor *monitor.Monitor
	known   map[string]bool
}

func (o *listedObserver) listed(lines []boxlist.Endpoint, whole bool) {
	named := map[string]bool{}
	for _, line := range lines {
		named[line.Name] = true
		o.known[line.Name] = true
		o.monitor.BackendChanged(line.Name, line.State == boxlist.Ready)
	}
	if !whole {
		return
	}
	for name := range o.known {
		if !named[name] {
			o.monitor.BackendChanged(name, false)
			delete(o.known, name)
		}
	}
}
