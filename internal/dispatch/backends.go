package dispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sloetrestle/brain"
	"sloetrestle/internal/addresses"
	"sloetrestle/internal/boxlist"
	"sloetrestle/internal/reach"
)

// Backend is one model backend as the program knows it: the module's backend and where it listens.
type Backend struct {
	Name           string
	Addresses      []addresses.Spec // where it listens, as far as that is allowed
	SchedulerState *brain.Backend
	StartID        uint64
	Removed        chan struct{} // closed when the list says that it is gone
	reach          *reach.Pool
	place          [3]string     // kind, zone and rack, as listed
	booted         time.Duration // when Start was, as first told
	dated          bool          // it was told
	gone           time.Duration // since when it is
	out            int           // attempts that are
}

// HostID is a backend's number, alike at all dispatchers.
func BackendID(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Listed takes lines of the backend list.
func (l *Loop) UpdateBackends(lines []boxlist.Endpoint, whole bool) {
	var out []brain.Endpoint
	named := map[string]bool{}
	for _, line := range lines {
		named[line.Name] = true
		b, place := l.backends[line.Name], [3]string{line.Kind, line.Zone, line.Rack}
		if b != nil && b.place != place && line.State != boxlist.Removed {
			// Another machine under the old name: what is known of that one says nothing of this.
			l.retire(b)
			out = append(out, brain.Endpoint{Backend: b.SchedulerState, State: brain.Removed})
			l.forgetBox(b)
			b = nil
		}
		if b == nil {
			if line.State == boxlist.Removed {
				continue
			}
			id := BackendID(line.Name)
			kind := l.places.KindNumber(line.Kind)
			if l.hosts[id] != nil || kind < 0 {
				l.Log.Warn("box left out", "box", line.Name, "kind", line.Kind, "id", id, "why", "unknown kind, or another box has its number")
				continue
			}
			b = &Backend{Name: line.Name, Removed: make(chan struct{}), place: place}
			b.SchedulerState = &brain.Backend{ID: id, Kind: kind, Zone: max(l.places.ZoneNumber(line.Zone), 0), Rack: int(BackendID(line.Rack))}
			l.backends[line.Name], l.byHost[b.SchedulerState], l.hosts[id] = b, b, b.SchedulerState
		}
		out = append(out, l.listing(b, line))
	}
	if whole {
		for _, b := range l.backends {
			if !named[b.Name] {
				l.retire(b)
			}
		}
	}
	l.module.UpdateEndpoints(out, whole)
	l.forgetGone()
}

// forgetGone drops the backends that are gone for long, and those that came back from the list of them.
func (l *Loop) forgetGone() {
	l.gone = slices.DeleteFunc(l.gone, func(b *Backend) bool {
		switch {
		case b.SchedulerState.State != brain.Removed || l.backends[b.Name] != b:
			return true
		case b.out == 0 && l.now-b.gone >= goneKept:
			l.forgetBox(b)
			return true
		}
		return false
	})
}

// goneKept is how long a backend that is gone is still known: it may come back within its cold start, and what it was sent in
// that counts.
const goneKept = time.Minute

// forgetBox drops a backend; attempts that are out there keep their own way to it.
func (l *Loop) forgetBox(b *Backend) {
	delete(l.backends, b.Name)
	delete(l.hosts, b.SchedulerState.ID)
	if b.out == 0 {
		delete(l.byHost, b.SchedulerState)
	}
}

// retire ends what is still tried at a backend that is gone.
func (l *Loop) retire(b *Backend) {
	select {
	case <-b.Removed:
	default:
		close(b.Removed)
		b.Addresses, b.gone = nil, l.now
		l.gone = append(l.gone, b)
		l.accountListed(b, true)
		l.carrier.SetAddresses(b, nil)
	}
}

func (l *Loop) listing(b *Backend, line boxlist.Endpoint) brain.Endpoint {
	standing := map[string]brain.BackendState{boxlist.Ready: brain.Ready, boxlist.Draining: brain.Draining, boxlist.Removed: brain.Removed}[line.State]
	if standing == brain.Removed {
		l.retire(b)
	} else {
		l.accountListed(b, false)
		select {
		case <-b.Removed:
			b.Removed = make(chan struct{}) // it came back under its name
		default:
		}
		if at := l.allowed(line); !slices.Equal(at, b.Addresses) {
			b.Addresses = at
			l.carrier.SetAddresses(b, at)
		}
	}
	// A start has one time, however often the list repeats it with another age: the module would else see
	// a new start each time, and forget what it knows of the backend.
	if b.StartID != line.Incarnation || !b.dated {
		b.booted, b.dated = l.now-time.Duration(line.UptimeMs)*time.Millisecond, line.UptimeMs >= 0
	}
	b.StartID = line.Incarnation
	return brain.Endpoint{Backend: b.SchedulerState, State: standing, CapacityUnits: max(line.Units, 0.01), StartedAt: b.booted, StartReported: line.UptimeMs >= 0}
}

// allowed leaves out addresses that make no sense or lie outside of what the deployment allows, with a note.
func (l *Loop) allowed(line boxlist.Endpoint) []addresses.Spec {
	var at []addresses.Spec
	for _, s := range append(slices.Clone(line.Addresses), l.further[line.Name]...) {
		if err := s.Check(); err != nil {
			l.Log.Warn("address left out", "box", line.Name, "address", s, "why", err)
		} else if !l.places.AddressAllowed(s) {
			l.Log.Warn("address left out", "box", line.Name, "address", s, "why", "it is outside of dispatcher.allow")
		} else {
			at = append(at, s)
		}
	}
	return at
}

// Further adds an address to what the list says of a backend.
func (l *Loop) AddAddress(box string, at addresses.Spec) {
	if l.further == nil {
		l.further = map[string][]addresses.Spec{}
	}
	l.further[box] = append(l.further[box], at)
}
