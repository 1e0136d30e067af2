// Package endpoints follows the platform's discovery: Table turns what it says into lines of the backend list, without I/O, and
// Follower keeps a watch on it. It knows only what discovery says and never asks a backend; begin with Table.
package endpoints

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"sloetrestle/internal/addresses"
	"sloetrestle/internal/boxlist"
)

const (
	maxTargets = 10_000
	// olderFor is how long discovery has to have nothing newer before an older list than the own is taken. After a move all that the
	// new address has counts as known 4 s later, which leaves a second to reach it.
	staleListGrace = 3 * time.Second
)

// push is what discovery sends.
type push struct {
	Revision int64    `json:"rev"`
	Full     bool     `json:"all"`
	Targets  []target `json:"targets"`
}

type target struct {
	UID          string  `json:"uid"`
	Endpoint     string  `json:"endpoint"`
	Zone         string  `json:"az"`
	Model        string  `json:"model"`
	PodGroup     int64   `json:"pod_group"`
	State        string  `json:"state"`
	CapacityHint float64 `json:"capacity_hint"`
	BootMs       int64   `json:"boot_ms"`
}

var endpointStates = map[string]string{"in_service": boxlist.Ready, "terminating": boxlist.Draining, "terminated": boxlist.Removed}

// Table is how far discovery was followed.
type Table struct {
	Revision         int64
	synced           bool
	staleSince       time.Duration // since when discovery only has older lists; 0: it has not
	clock            startClock
	addressChangedAt time.Duration // when it got another address, and has said nothing newer since; 0: it did not
}

// Moved takes note that discovery has another address: an older list from there has been what discovery says from now on.
func (t *Table) AddressChanged(now time.Duration) { t.addressChangedAt = max(now, 1) }

// Take reads a push and returns the lines that it changes. unix is the wall time in milliseconds, by which backends tell their
// start. Lines without sense are left out and named.
func (t *Table) Apply(now time.Duration, unix int64, raw []byte) (lines []boxlist.Endpoint, whole bool, refused []string, err error) {
	var p push
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, false, nil, fmt.Errorf("a push can't be read: %w", err)
	}
	if len(p.Targets) > maxTargets {
		return nil, false, nil, fmt.Errorf("a push has %d targets, %d are taken at most", len(p.Targets), maxTargets)
	}
	// A list that goes back could bring back backends that are draining. What it takes out of service is taken at once: discovery may
	// have begun to count anew, and that change counts as told.
	older := t.synced && p.Revision < t.Revision
	if older {
		refused = append(refused, fmt.Sprintf("rev %d is older than %d", p.Revision, t.Revision))
		if !p.Full {
			return nil, false, refused, nil
		}
		if t.staleSince == 0 {
			t.staleSince = max(cmp.Or(t.addressChangedAt, now), 1)
		}
		older = now-t.staleSince < staleListGrace
	}
	if !older {
		t.staleSince, t.addressChangedAt = 0, 0
		t.Revision, t.synced = p.Revision, true
	}
	unix = t.clock.observeStarts(p.Targets, unix)
	for _, g := range p.Targets {
		b, err := g.endpoint()
		if err == nil && g.BootMs > 0 {
			b.UptimeMs = t.clock.uptime(g, now, unix).Milliseconds()
		}
		if b.State == boxlist.Removed {
			t.clock.forget(g.UID)
		}
		if err != nil {
			refused = append(refused, err.Error())
			continue
		}
		if !older || b.State != boxlist.Ready {
			lines = append(lines, b)
		}
	}
	if !older {
		t.clock.lastConfirmed = now
	}
	return lines, p.Full && !older, refused, nil
}

func (g target) endpoint() (b boxlist.Endpoint, err error) {
	b = boxlist.Endpoint{Name: g.UID, Kind: g.Model, Zone: g.Zone, Rack: strconv.FormatInt(g.PodGroup, 10), State: endpointStates[g.State], Units: g.CapacityHint,
		Incarnation: uint64(max(g.BootMs, 0)), UptimeMs: -1}
	if strings.ContainsAny(b.Name, " \r\n\t") {
		return b, fmt.Errorf("target %.40q: no name of a box", g.UID)
	}
	if b.State != boxlist.Removed {
		at, err := netip.ParseAddrPort(g.Endpoint)
		if err != nil {
			return b, fmt.Errorf("target %s: %w", g.UID, err)
		}
		network := addresses.TCP6
		if at.Addr().Unmap().Is4() {
			network = addresses.TCP4
		}
		b.Addresses = []addresses.Spec{{Network: network, Addr: g.Endpoint}}
	}
	return b, b.Check()
}
