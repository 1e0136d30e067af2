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

// publish announces a backend's state to all dispatchers after the given delay.
func (sim *simulation) publish(b *backend, standing string, after time.Duration) {
	line := boxlist.Endpoint{Name: b.spec.Name, Addresses: []addresses.Spec{{Network: addresses.TCP4, Addr: "127.0.0.1:1"}}, Kind: b.spec.Kind, Zone: b.spec.Zone,
		Rack: b.spec.Rack, State: standing, Units: b.spec.Units, Incarnation: b.incarnation, UptimeMs: -1}
	started, cold := b.startedAt, b.slowStart
	sim.schedule(max(sim.now+after+sim.discoveryDelay, sim.discoveryDownUntil), func() {
		l := line
		if cold {
			l.UptimeMs = (sim.now - started).Milliseconds()
		}
		lost := sim.dropNextUpdate
		if sim.dropNextUpdate = false; lost {
			sim.addRecord(record.Line{What: record.Note, Word: "a push of the list is lost"})
		}
		for _, d := range sim.dispatchers {
			if lost { // noticed at the next heartbeat, which makes it fetch the full list
				sim.after(missedUpdateDelay, func() { d.sendFullList(l) })
				continue
			}
			d.updateEndpoints([]boxlist.Endpoint{l}, false)
		}
	})
}

// sortedByName returns the endpoints in the order of their names.
func sortedByName(boxes map[string]boxlist.Endpoint) []boxlist.Endpoint {
	return slices.SortedFunc(maps.Values(boxes), func(a, b boxlist.Endpoint) int { return strings.Compare(a.Name, b.Name) })
}

// missedUpdateDelay is how long a lost update goes unnoticed.
const missedUpdateDelay = time.Second

// sendFullList gives a dispatcher the full endpoint list, with an update that it missed.
func (d *dispatcher) sendFullList(missed boxlist.Endpoint) {
	known := maps.Clone(d.lastKnown)
	known[missed.Name] = missed
	lines := slices.DeleteFunc(sortedByName(known), func(l boxlist.Endpoint) bool { return l.State == boxlist.Removed })
	d.sim.addRecord(record.Line{What: record.Told, Dispatcher: d.name, Box: missed.Name, Word: missed.State, Start: missed.Incarnation})
	d.updateEndpoints(lines, true)
}

func (d *dispatcher) updateEndpoints(lines []boxlist.Endpoint, whole bool) {
	if !d.running {
		return
	}
	for _, l := range lines {
		d.lastKnown[l.Name] = l
		if !whole {
			d.sim.addRecord(record.Line{What: record.Told, Dispatcher: d.name, Box: l.Name, Word: l.State, Start: l.Incarnation})
		}
	}
	d.runInLoop(func() { d.loop.UpdateBackends(lines, whole) })
}
