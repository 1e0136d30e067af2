package dispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sloetrestle/internal/addresses"
	"sloetrestle/internal/connpool"
	"sloetrestle/internal/endpointlist"
	"sloetrestle/scheduler"
)

// Backend is a model backend: the scheduler's record of it, and how to connect to it.
type Backend struct {
	Name           string
	Addresses      []addresses.Spec   // its listed addresses that the deployment allows
	SchedulerState *scheduler.Backend // the scheduler's record of it
	StartID        uint64             // number of the backend's start, as listed
	Removed        chan struct{}      // closed when the backend is removed
	pool           *connpool.Pool
	location       [3]string     // kind, zone and rack, as listed
	startedAt      time.Duration // time of the start StartID, as first listed
	hasAge         bool          // the list gave the age of that start
	removedAt      time.Duration
	inFlight       int // attempts
}

// BackendID returns a backend's number, which is the same at all dispatchers.
func BackendID(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// UpdateBackends applies entries of the service discovery list. A complete list removes the backends that it leaves
// out.
func (l *Loop) UpdateBackends(entries []endpointlist.Endpoint, complete bool) {
	var listings []scheduler.Endpoint
	named := map[string]bool{}
	for _, entry := range entries {
		named[entry.Name] = true
		backend, location := l.backends[entry.Name], [3]string{entry.Kind, entry.Zone, entry.Rack}
		if backend != nil && backend.location != location && entry.State != endpointlist.Removed {
			// Another machine has taken over the name: nothing known of the old one holds for it.
			l.remove(backend)
			listings = append(listings, scheduler.Endpoint{Backend: backend.SchedulerState, State: scheduler.Removed})
			l.forgetBackend(backend)
			backend = nil
		}
		if backend == nil {
			if entry.State == endpointlist.Removed {
				continue
			}
			id := BackendID(entry.Name)
			kind := l.resolver.KindNumber(entry.Kind)
			if l.schedulerBackends[id] != nil || kind < 0 {
				l.Log.Warn("ignored a backend of the service discovery list", "box", entry.Name, "kind", entry.Kind,
					"id", id, "why", "the kind is unknown, or the id collides with another backend's")
				continue
			}
			backend = &Backend{Name: entry.Name, Removed: make(chan struct{}), location: location}
			backend.SchedulerState = &scheduler.Backend{
				ID: id, Kind: kind, Zone: max(l.resolver.ZoneNumber(entry.Zone), 0), Rack: int(BackendID(entry.Rack)),
			}
			l.backends[entry.Name], l.byState[backend.SchedulerState], l.schedulerBackends[id] =
				backend, backend, backend.SchedulerState
		}
		listings = append(listings, l.listing(backend, entry))
	}
	if complete {
		for _, backend := range l.backends {
			if !named[backend.Name] {
				l.remove(backend)
			}
		}
	}
	l.scheduler.UpdateEndpoints(listings, complete)
	l.forgetRemoved()
}

// forgetRemoved forgets backends that were removed long ago, and takes those that are listed again off l.removed.
func (l *Loop) forgetRemoved() {
	l.removed = slices.DeleteFunc(l.removed, func(backend *Backend) bool {
		switch {
		case backend.SchedulerState.State != scheduler.Removed || l.backends[backend.Name] != backend:
			return true
		case backend.inFlight == 0 && l.now-backend.removedAt >= removedRetention:
			l.forgetBackend(backend)
			return true
		}
		return false
	})
}

// removedRetention is how long a removed backend is remembered: it may come back while it is still warming up, and
// the work that it was sent before then counts against its slow-start share.
const removedRetention = time.Minute

// forgetBackend drops a backend. Attempts in flight keep their own reference to it.
func (l *Loop) forgetBackend(backend *Backend) {
	delete(l.backends, backend.Name)
	delete(l.schedulerBackends, backend.SchedulerState.ID)
	if backend.inFlight == 0 {
		delete(l.byState, backend.SchedulerState)
	}
}

// remove marks a backend as removed, which ends repeated releases to it, and takes its addresses away.
func (l *Loop) remove(backend *Backend) {
	select {
	case <-backend.Removed:
	default:
		close(backend.Removed)
		backend.Addresses, backend.removedAt = nil, l.now
		l.removed = append(l.removed, backend)
		l.accountListed(backend, true)
		l.transport.SetAddresses(backend, nil)
	}
}

// listing applies one entry of the list to a backend and returns it in the scheduler's form.
func (l *Loop) listing(backend *Backend, entry endpointlist.Endpoint) scheduler.Endpoint {
	state := map[string]scheduler.BackendState{
		endpointlist.Ready: scheduler.Ready, endpointlist.Draining: scheduler.Draining,
		endpointlist.Removed: scheduler.Removed,
	}[entry.State]
	if state == scheduler.Removed {
		l.remove(backend)
	} else {
		l.accountListed(backend, false)
		select {
		case <-backend.Removed:
			backend.Removed = make(chan struct{}) // it came back under its name
		default:
		}
		if allowed := l.allowedAddresses(entry); !slices.Equal(allowed, backend.Addresses) {
			backend.Addresses = allowed
			l.transport.SetAddresses(backend, allowed)
		}
	}
	// One start keeps the time computed from its first entry, although the list repeats it with another age each time.
	// Otherwise the scheduler would see a new start in every entry and forget what it knows of the backend.
	if backend.StartID != entry.Incarnation || !backend.hasAge {
		backend.startedAt, backend.hasAge = l.now-time.Duration(entry.UptimeMs)*time.Millisecond, entry.UptimeMs >= 0
	}
	backend.StartID = entry.Incarnation
	return scheduler.Endpoint{
		Backend: backend.SchedulerState, State: state, CapacityUnits: max(entry.Units, 0.01),
		StartedAt: backend.startedAt, StartReported: entry.UptimeMs >= 0,
	}
}

// allowedAddresses returns the addresses of an entry and of the configuration for that backend. It leaves out, with a
// warning, those that are invalid or that the deployment does not allow.
func (l *Loop) allowedAddresses(entry endpointlist.Endpoint) []addresses.Spec {
	var allowed []addresses.Spec
	for _, spec := range append(slices.Clone(entry.Addresses), l.extraAddresses[entry.Name]...) {
		if err := spec.Check(); err != nil {
			l.Log.Warn("ignored an invalid backend address", "box", entry.Name, "address", spec, "why", err)
		} else if !l.resolver.AddressAllowed(spec) {
			l.Log.Warn("ignored a backend address that is not allowed", "box", entry.Name, "address", spec,
				"why", "it is outside of dispatcher.allow")
		} else {
			allowed = append(allowed, spec)
		}
	}
	return allowed
}

// AddAddress adds an address to those that the list has for a backend.
func (l *Loop) AddAddress(backend string, spec addresses.Spec) {
	if l.extraAddresses == nil {
		l.extraAddresses = map[string][]addresses.Spec{}
	}
	l.extraAddresses[backend] = append(l.extraAddresses[backend], spec)
}
