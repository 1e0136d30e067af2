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
	line := boxlist.Box{Name: b.make.Name, Addresses: []addresses.Spec{{Network: addresses.TCP4, At: "127.0.0.1:1"}}, Kind: b.make.Kind, Zone: b.make.Zone,
		Rack: b.make.Rack, Standing: standing, Units: b.make.Units, Start: b.start, UpMs: -1}
	started, cold := b.started, b.cold
	w.at(max(w.now+after+w.lateList, w.downList), func() {
		l := line
		if cold {
			l.UpMs = (w.now - started).Milliseconds()
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
			d.hear([]boxlist.Box{l}, false)
		}
	})
}

// byName lists backends in one order.
func byName(boxes map[string]boxlist.Box) []boxlist.Box {
	return slices.SortedFunc(maps.Values(boxes), func(a, b boxlist.Box) int { return strings.Compare(a.Name, b.Name) })
}

// gap is how long a lost change goes unnoticed.
const gap = time.Second

// whole tells a dispatcher the whole list, with a change that it missed.
func (d *dispatcher) whole(missed boxlist.Box) {
	known := maps.Clone(d.known)
	known[missed.Name] = missed
	lines := slices.DeleteFunc(byName(known), func(l boxlist.Box) bool { return l.Standing == boxlist.Gone })
	d.w.put(record.Event{Kind: record.EndpointNotified, Dispatcher: d.name, Backend: missed.Name, Detail: missed.Standing, StartID: missed.Start})
	d.hear(lines, true)
}

func (d *dispatcher) hear(lines []boxlist.Box, whole bool) {
	if !d.up {
		return
	}
	for _, l := range lines {
		d.known[l.Name] = l
		if !whole {
			d.w.put(record.Event{Kind: record.EndpointNotified, Dispatcher: d.name, Backend: l.Name, Detail: l.Standing, StartID: l.Start})
		}
	}
	d.do(func() { d.loop.Listed(lines, whole) })
}
