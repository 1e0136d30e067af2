// Package endpointlist keeps a dispatcher's list of backend endpoints, as service discovery sends it: Table applies
// updates without I/O and detects gaps; Follower keeps a connection open, fetches the full list after a gap and saves
// the last list for the next start. It knows only what the list says and never contacts a backend. Begin with Table.
package endpointlist

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"sloetrestle/internal/addresses"
)

// The states of an endpoint, as the list writes them.
const (
	Ready    = "ready"
	Draining = "draining"
	Removed  = "gone"
)

// Bounds of a list and of its lines.
const (
	maxEndpoints = 10_000
	maxAddresses = 16 // of one endpoint
	maxNameBytes = 253
	// MaxUnits is the largest relative capacity of an endpoint.
	MaxUnits    = 1e6
	maxUptimeMs = 100 * 365 * 24 * 3600 * 1000 // 100 years
)

// Endpoint is one line of the list: a backend, its addresses and its state.
type Endpoint struct {
	Name        string           `json:"name"`
	Addresses   []addresses.Spec `json:"addresses"`
	Kind        string           `json:"kind"`
	Zone        string           `json:"zone"`
	Rack        string           `json:"rack"`
	State       string           `json:"standing"`
	Units       float64          `json:"units"` // relative capacity
	Incarnation uint64           `json:"start"` // differs between two starts of the backend's process
	UptimeMs    int64            `json:"up_ms"` // when the line was sent; negative: unknown, but long
}

// Update is a message of the list: the full list, or the changes from version Base to Version. A heartbeat has no
// changes.
type Update struct {
	Version   uint64     `json:"version"`
	Base      uint64     `json:"base"`
	Full      bool       `json:"whole,omitempty"`
	Endpoints []Endpoint `json:"boxes,omitempty"`
}

// ErrGap reports that changes were missed, so that the full list has to be fetched.
var ErrGap = errors.New("changes of the endpoint list were missed")

// Table is the last-known list. The zero value is an empty list at version 0.
type Table struct {
	Version   uint64
	endpoints map[string]Endpoint
}

// Apply applies an update and returns the endpoints that it lists, sorted by name. Invalid lines are left out,
// described in refused and leave their endpoints as they were; the rest of the update applies. err is ErrGap if the
// update does not follow on the last one.
func (t *Table) Apply(update Update) (changed []Endpoint, refused error, err error) {
	if !update.Full && (update.Base != t.Version || update.Version < update.Base) {
		return nil, nil, fmt.Errorf("%w: have version %d, received changes from version %d to %d",
			ErrGap, t.Version, update.Base, update.Version)
	}
	var invalid []error
	next := map[string]Endpoint{}
	for _, endpoint := range update.Endpoints {
		lineErr := endpoint.Check()
		if _, duplicate := next[endpoint.Name]; duplicate && lineErr == nil {
			lineErr = fmt.Errorf("endpoint %s: listed twice, the second line is ignored", endpoint.Name)
		} else if previous, known := t.endpoints[endpoint.Name]; lineErr != nil && known && update.Full && !duplicate {
			next[endpoint.Name] = previous
		} else if lineErr == nil && !known && len(t.endpoints)+len(next) >= maxEndpoints &&
			(!update.Full || len(next) >= maxEndpoints) {
			lineErr = fmt.Errorf("endpoint %s: exceeds the limit of %d endpoints", endpoint.Name, maxEndpoints)
		}
		if lineErr != nil {
			invalid = append(invalid, lineErr)
			continue
		}
		next[endpoint.Name] = endpoint
	}
	if update.Full || t.endpoints == nil {
		t.endpoints = map[string]Endpoint{}
	}
	for name, endpoint := range next {
		changed = append(changed, endpoint)
		if endpoint.State == Removed {
			delete(t.endpoints, name)
		} else {
			t.endpoints[name] = endpoint
		}
	}
	t.Version = update.Version
	SortByName(changed)
	return changed, errors.Join(invalid...), nil
}

// All returns all endpoints, sorted by name.
func (t *Table) All() []Endpoint {
	all := make([]Endpoint, 0, len(t.endpoints))
	for _, endpoint := range t.endpoints {
		all = append(all, endpoint)
	}
	SortByName(all)
	return all
}

// SortByName sorts endpoints by name; lines of the same name keep their order.
func SortByName(endpoints []Endpoint) {
	slices.SortStableFunc(endpoints, func(a, b Endpoint) int { return strings.Compare(a.Name, b.Name) })
}

// Check returns an error that says why a line is invalid, or nil.
func (e Endpoint) Check() error {
	switch {
	case e.Name == "":
		return errors.New("an endpoint has no name")
	case e.State != Ready && e.State != Draining && e.State != Removed:
		return fmt.Errorf("endpoint %s: unknown state %q", e.Name, e.State)
	case e.State != Removed && len(e.Addresses) == 0:
		return fmt.Errorf("endpoint %s: no address", e.Name)
	case max(len(e.Name), len(e.Kind), len(e.Zone), len(e.Rack)) > maxNameBytes:
		return fmt.Errorf("endpoint %.40s: its name, kind, zone or rack is longer than %d bytes", e.Name, maxNameBytes)
	case !(e.Units >= 0 && e.Units <= MaxUnits):
		return fmt.Errorf("endpoint %s: units of %g are not between 0 and %g", e.Name, e.Units, float64(MaxUnits))
	case e.UptimeMs > maxUptimeMs:
		return fmt.Errorf("endpoint %s: uptime of %d ms exceeds the limit of %d ms",
			e.Name, e.UptimeMs, int64(maxUptimeMs))
	case len(e.Addresses) > maxAddresses:
		return fmt.Errorf("endpoint %s: %d addresses exceed the limit of %d", e.Name, len(e.Addresses), maxAddresses)
	}
	return nil
}
