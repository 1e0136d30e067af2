package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"

	"sloetrestle/internal/addresses"
	"sloetrestle/internal/boxlist"
	"sloetrestle/internal/record"
)

// publish says of a backend what dispatchers hear after a while.
func (w *simulation) publish(b *backend, standing string, after time.Duration) {
	line := boxlist.Endpoint{Name: b.spec.Name, Addresses: []addresses.Spec{{Network: addresses.TCP4, Addr: "127.0.0.1:1"}}, Kind: b.spec.Kind, Zone: b.spec.Zone,
		Rack: b.spec.Rack, State: standing, Units: b.spec.Units, Incarnation: b.incarnation, UptimeMs: -1}
	started, cold := b.startedAt, b.slowStart
	w.schedule(max(w.now+after+w.discoveryDelay, w.discoveryDownUntil), func() {
		l := line
		if cold {
			l.UptimeMs = (w.now - started).Milliseconds()
		}
		lost := w.dropNextUpdate
		if w.dropNextUpdate = false; lost {
			w.addRecord(record.Line{What: record.Note, Word: "a push of the list is lost"})
		}
		for _, d := range w.dispatchers {
			if lost { // the gap is noticed by the next beat, and the whole list asked for
				w.after(missedUpdateDelay, func() { d.sendFullList(l) })
				continue
			}
			d.updateEndpoints([]boxlist.Endpoint{l}, false)
		}
	})
}

// byName lists backends in one order.
func sortedByName(boxes map[string]boxlist.Endpoint) []boxlist.Endpoint {
	return slices.SortedFunc(maps.Values(boxes), func(a, b boxlist.Endpoint) int { return strings.Compare(a.Name, b.Name) })
}

// gap is how long a lost change goes unnoticed.
const missedUpdateDelay = time.Second

// whole tells a dispatcher the whole list, with a change that it missed.
func (d *dispatcher) sendFullList(missed boxlist.Endpoint) {
	known := maps.Clone(d.lastKnown)
	known[missed.Name] = missed
	lines := slices.DeleteFunc(sortedByName(known), func(l boxlist.Endpoint) bool { return l.State == boxlist.Removed })
	d.w.addRecord(record.Line{What: record.Told, Dispatcher: d.name, Box: missed.Name, Word: missed.State, Start: missed.Incarnation})
	d.updateEndpoints(lines, true)
}

func (d *dispatcher) updateEndpoints(lines []boxlist.Endpoint, whole bool) {
	if !d.running {
		return
	}
	for _, l := range lines {
		d.lastKnown[l.Name] = l
		if !whole {
			d.w.addRecord(record.Line{What: record.Told, Dispatcher: d.name, Box: l.Name, Word: l.State, Start: l.Incarnation})
		}
	}
	d.runInLoop(func() { d.loop.UpdateBackends(lines, whole) })
}
