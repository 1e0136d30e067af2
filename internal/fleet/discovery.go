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
func (w *world) publish(b *backend, standing string, after time.Duration) {
	line := boxlist.Endpoint{Name: b.make.Name, Addresses: []addresses.Spec{{Network: addresses.TCP4, Addr: "127.0.0.1:1"}}, Kind: b.make.Kind, Zone: b.make.Zone,
		Rack: b.make.Rack, State: standing, Units: b.make.Units, Incarnation: b.start, UptimeMs: -1}
	started, cold := b.started, b.cold
	w.at(max(w.now+after+w.lateList, w.downList), func() {
		l := line
		if cold {
			l.UptimeMs = (w.now - started).Milliseconds()
		}
		lost := w.skipList
		if w.skipList = false; lost {
			w.put(record.Event{Kind: record.Note, Detail: "a push of the list is lost"})
		}
		for _, d := range w.dispatchers {
			if lost { // the gap is noticed by the next beat, and the whole list asked for
				w.after(gap, func() { d.whole(l) })
				continue
			}
			d.hear([]boxlist.Endpoint{l}, false)
		}
	})
}

// byName lists backends in one order.
func byName(boxes map[string]boxlist.Endpoint) []boxlist.Endpoint {
	return slices.SortedFunc(maps.Values(boxes), func(a, b boxlist.Endpoint) int { return strings.Compare(a.Name, b.Name) })
}

// gap is how long a lost change goes unnoticed.
const gap = time.Second

// whole tells a dispatcher the whole list, with a change that it missed.
func (d *dispatcher) whole(missed boxlist.Endpoint) {
	known := maps.Clone(d.known)
	known[missed.Name] = missed
	lines := slices.DeleteFunc(byName(known), func(l boxlist.Endpoint) bool { return l.State == boxlist.Removed })
	d.w.put(record.Event{Kind: record.EndpointNotified, Dispatcher: d.name, Backend: missed.Name, Detail: missed.State, StartID: missed.Incarnation})
	d.hear(lines, true)
}

func (d *dispatcher) hear(lines []boxlist.Endpoint, whole bool) {
	if !d.up {
		return
	}
	for _, l := range lines {
		d.known[l.Name] = l
		if !whole {
			d.w.put(record.Event{Kind: record.EndpointNotified, Dispatcher: d.name, Backend: l.Name, Detail: l.State, StartID: l.Incarnation})
		}
	}
	d.do(func() { d.loop.UpdateBackends(lines, whole) })
}
