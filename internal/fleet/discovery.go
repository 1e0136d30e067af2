package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"

	"sloetrestle/internal/addresses"
	"sloetrestle/internal/endpointlist"
	"sloetrestle/internal/record"
)

// publish announces a backend's state to all dispatchers after the given delay.
func (sim *simulation) publish(b *backend, state string, delay time.Duration) {
	endpoint := endpointlist.Endpoint{Name: b.spec.Name,
		Addresses: []addresses.Spec{{Network: addresses.TCP4, Addr: "127.0.0.1:1"}}, Kind: b.spec.Kind, Zone: b.spec.Zone,
		Rack: b.spec.Rack, State: state, Units: b.spec.Units, Incarnation: b.incarnation, UptimeMs: -1}
	startedAt, slowStart := b.startedAt, b.slowStart
	sim.schedule(max(sim.now+delay+sim.discoveryDelay, sim.discoveryDownUntil), func() {
		update := endpoint
		if slowStart {
			update.UptimeMs = (sim.now - startedAt).Milliseconds()
		}
		lost := sim.dropNextUpdate
		if sim.dropNextUpdate = false; lost {
			sim.addRecord(record.Event{Kind: record.Note, Detail: "a push of the list is lost"})
		}
		for _, d := range sim.dispatchers {
			if lost { // noticed at the next heartbeat, which makes it fetch the full list
				sim.after(missedUpdateDelay, func() { d.sendFullList(update) })
				continue
			}
			d.updateEndpoints([]endpointlist.Endpoint{update}, false)
		}
	})
}

// sortedByName returns the endpoints in the order of their names.
func sortedByName(endpoints map[string]endpointlist.Endpoint) []endpointlist.Endpoint {
	return slices.SortedFunc(maps.Values(endpoints), func(a, b endpointlist.Endpoint) int {
		return strings.Compare(a.Name, b.Name)
	})
}

// missedUpdateDelay is how long a lost update goes unnoticed.
const missedUpdateDelay = time.Second

// sendFullList gives a dispatcher the full endpoint list, with an update that it missed.
func (d *dispatcher) sendFullList(missed endpointlist.Endpoint) {
	byName := maps.Clone(d.lastKnown)
	byName[missed.Name] = missed
	endpoints := slices.DeleteFunc(sortedByName(byName),
		func(endpoint endpointlist.Endpoint) bool { return endpoint.State == endpointlist.Removed })
	d.sim.addRecord(record.Event{Kind: record.EndpointNotified, Dispatcher: d.name, Backend: missed.Name,
		Detail:  missed.State,
		StartID: missed.Incarnation})
	d.updateEndpoints(endpoints, true)
}

func (d *dispatcher) updateEndpoints(endpoints []endpointlist.Endpoint, full bool) {
	if !d.running {
		return
	}
	for _, endpoint := range endpoints {
		d.lastKnown[endpoint.Name] = endpoint
		if !full {
			d.sim.addRecord(record.Event{Kind: record.EndpointNotified, Dispatcher: d.name, Backend: endpoint.Name,
				Detail:  endpoint.State,
				StartID: endpoint.Incarnation})
		}
	}
	d.runInLoop(func() { d.loop.UpdateBackends(endpoints, full) })
}
