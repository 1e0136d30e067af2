package platform

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/endpointlist"
	"sloetrestle/internal/monitor"
	"sloetrestle/scheduler"
)

// Bounds of the monitored rules that the settings do not state.
const (
	clientGoneSlack    = 100 * time.Millisecond // for which an attempt may still begin once its client has closed
	statedTimeoutSlack = 150 * time.Millisecond // by which the stated timeout may exceed what the client has left
	kvHoldSlack        = 300 * time.Millisecond // for which a KV cache may wait beyond its limit
	defaultDrainGrace  = 250 * time.Millisecond // for attempts to a draining backend, if the settings state none
)

const (
	// At most maxNotableLines lines on single requests are logged per notableInterval at the info level.
	notableInterval = time.Second
	maxNotableLines = 20
)

// notableLog logs unusual events of single requests with their ids: an attempt that failed or had no answer, a KV
// cache that was due for release, a release that no backend answered. It is rate limited, and counts the lines that
// it drops.
type notableLog struct {
	log     *slog.Logger
	dropped atomic.Int64

	mu            sync.Mutex
	intervalStart time.Time
	lines         int // in the current interval
}

// Info logs a line unless the current interval has had maxNotableLines.
func (n *notableLog) Info(text string, args ...any) {
	n.mu.Lock()
	now := time.Now()
	if now.Sub(n.intervalStart) >= notableInterval {
		n.intervalStart, n.lines = now, 0
	}
	n.lines++
	exceeded := n.lines > maxNotableLines
	n.mu.Unlock()
	if exceeded {
		n.dropped.Add(1)
		return
	}
	n.log.Info(text, args...)
}

// monitorBounds returns the bounds of the monitored rules under the given settings.
func monitorBounds(settings scheduler.Settings) monitor.Bounds {
	bounds := monitor.Bounds{
		ClientGoneGrace: clientGoneSlack, TimeoutSlack: statedTimeoutSlack,
		DrainGrace: settings.Duration("rules.drainGraceUs"),
	}
	if bounds.DrainGrace == 0 {
		bounds.DrainGrace = defaultDrainGrace
	}
	if limit := settings.Duration("familyInfo.pinLimitUs"); limit > 0 {
		bounds.MaxCacheWait = limit + kvHoldSlack
	}
	return bounds
}

// monitorClass returns the monitor's class of requests: whether and how a request may run again.
func monitorClass(class *scheduler.Class) monitor.Class {
	switch class.Effect {
	case scheduler.Deduplicated:
		return monitor.Deduplicated
	case scheduler.NonIdempotent:
		return monitor.NonIdempotent
	}
	return monitor.Idempotent
}

// hasEffect reports whether an attempt may have an effect that must not happen twice. A prefill has none, however it
// ends.
func hasEffect(attempt *dispatch.Attempt) bool {
	return attempt.Scheduled.Stage != scheduler.StagePrefill
}

// provenEnd returns what the outcome of an attempt proves about whether it ran.
func provenEnd(outcome scheduler.Outcome) monitor.AttemptEnd {
	switch {
	case outcome == scheduler.Prefilled:
		return monitor.CacheHeld
	case outcome.NeverRan():
		return monitor.NeverRan
	}
	return monitor.MayHaveRun
}

// discoveryObserver reports to the monitor what service discovery lists. A backend that a full list leaves out was
// removed.
type discoveryObserver struct {
	monitor *monitor.Monitor
	known   map[string]bool // backends by name
}

func (o *discoveryObserver) listed(endpoints []endpointlist.Endpoint, full bool) {
	named := map[string]bool{}
	for _, endpoint := range endpoints {
		named[endpoint.Name] = true
		o.known[endpoint.Name] = true
		o.monitor.BackendChanged(endpoint.Name, endpoint.State == endpointlist.Ready)
	}
	if !full {
		return
	}
	for name := range o.known {
		if !named[name] {
			o.monitor.BackendChanged(name, false)
			delete(o.known, name)
		}
	}
}
