// Package boxlist keeps a dispatcher's list of boxes: Table applies pushed changes without I/O and notices gaps,
// Follow keeps a connection to the list and asks for the whole list after one, and the last list stays on disk
// for the next start. It knows only what the list says and never asks a box; begin with Table.
package boxlist

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"sloetrestle/internal/addresses"
)

// Standings, as the list writes them.
const (
	Ready    = "ready"
	Draining = "draining"
	Removed  = "gone"
)

// The bounds of a list and of its lines.
const (
	maxEndpoints = 10_000
	maxAddresses = 16 // of one box
	maxNameBytes = 253
	MaxUnits     = 1e6
	maxUptimeMs  = 100 * 365 * 24 * 3600 * 1000 // milliseconds
)

// Box is one line of the list.
type Endpoint struct {
	Name        string           `json:"name"`
	Addresses   []addresses.Spec `json:"addresses"`
	Kind        string           `json:"kind"`
	Zone        string           `json:"zone"`
	Rack        string           `json:"rack"`
	State       string           `json:"standing"`
	Units       float64          `json:"units"`
	Incarnation uint64           `json:"start"` // tells one start of its process from another
	UptimeMs    int64            `json:"up_ms"` // how long it had been up when this was sent; negative: since long ago
}

// Push is what the list sends: a whole list, or the changes from version Base to Version; a beat has none.
type Update struct {
	Version   uint64     `json:"version"`
	Base      uint64     `json:"base"`
	Full      bool       `json:"whole,omitempty"`
	Endpoints []Endpoint `json:"boxes,omitempty"`
}

// ErrGap says that changes were missed, so that the whole list has to be asked for.
var ErrGap = errors.New("changes of the box list were missed")

// Table is the list as last heard.
type Table struct {
	Version   uint64
	endpoints map[string]Endpoint
}

// Apply takes a push and returns the lines that changed, in the order of their names. Lines without sense are
// left out and named, and leave their boxes as they were; the rest of the push counts.
func (t *Table) Apply(p Update) (changed []Endpoint, refused error, err error) {
	if !p.Full && (p.Base != t.Version || p.Version < p.Base) {
		return nil, nil, fmt.Errorf("%w: have %d, got changes from %d", ErrGap, t.Version, p.Base)
	}
	var faults []error
	next := map[string]Endpoint{}
	for _, b := range p.Endpoints {
		fault := b.Check()
		if _, twice := next[b.Name]; twice && fault == nil {
			fault = fmt.Errorf("box %s: listed twice, the first line counts", b.Name)
		} else if had, known := t.endpoints[b.Name]; fault != nil && known && p.Full && !twice {
			next[b.Name] = had
		} else if fault == nil && !known && len(t.endpoints)+len(next) >= maxEndpoints && (!p.Full || len(next) >= maxEndpoints) {
			fault = fmt.Errorf("box %s: %d boxes are held at most", b.Name, maxEndpoints)
		}
		if fault != nil {
			faults = append(faults, fault)
			continue
		}
		next[b.Name] = b
	}
	if p.Full || t.endpoints == nil {
		t.endpoints = map[string]Endpoint{}
	}
	for name, b := range next {
		changed = append(changed, b)
		if b.State == Removed {
			delete(t.endpoints, name)
		} else {
			t.endpoints[name] = b
		}
	}
	t.Version = p.Version
	SortByName(changed)
	return changed, errors.Join(faults...), nil
}

// Whole lists all boxes by name.
func (t *Table) All() []Endpoint {
	all := make([]Endpoint, 0, len(t.endpoints))
	for _, b := range t.endpoints {
		all = append(all, b)
	}
	SortByName(all)
	return all
}

// SortByName puts lines in the order of their names.
func SortByName(boxes []Endpoint) {
	slices.SortStableFunc(boxes, func(a, b Endpoint) int { return strings.Compare(a.Name, b.Name) })
}

// Check tells what is wrong with a line.
func (b Endpoint) Check() error {
	switch {
	case b.Name == "":
		return errors.New("a box without a name")
	case b.State != Ready && b.State != Draining && b.State != Removed:
		return fmt.Errorf("box %s: standing %q is unknown", b.Name, b.State)
	case b.State != Removed && len(b.Addresses) == 0:
		return fmt.Errorf("box %s: no address", b.Name)
	case max(len(b.Name), len(b.Kind), len(b.Zone), len(b.Rack)) > maxNameBytes:
		return fmt.Errorf("box %.40s: a name of it is longer than %d bytes", b.Name, maxNameBytes)
	case !(b.Units >= 0 && b.Units <= MaxUnits):
		return fmt.Errorf("box %s: units of %g, 0 to %g are taken", b.Name, b.Units, float64(MaxUnits))
	case b.UptimeMs > maxUptimeMs:
		return fmt.Errorf("box %s: up_ms of %d, %d at most are taken", b.Name, b.UptimeMs, int64(maxUptimeMs))
	case len(b.Addresses) > maxAddresses:
		return fmt.Errorf("box %s: %d addresses, %d are taken at most", b.Name, len(b.Addresses), maxAddresses)
	}
	return nil
}
