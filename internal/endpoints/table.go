// Package endpoints follows the platform's service discovery: Table turns its messages into lines of the endpoint
// list without I/O, and Follower keeps a watch open. It knows only what discovery reports and never contacts a
// backend. Begin with Table.
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
	"sloetrestle/internal/endpointlist"
)

const (
	maxTargets = 10_000
	// staleListGrace is how long discovery must have had nothing newer before a list older than the known one is
	// accepted. After a change of discovery's address, the dispatcher has to act on everything the new address
	// reports within 4 s, which leaves a second to connect to it.
	staleListGrace = 3 * time.Second
)

// push is a message from discovery.
type push struct {
	Revision int64    `json:"rev"`
	Full     bool     `json:"all"`
	Targets  []target `json:"targets"`
}

// target is a backend as discovery describes it.
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

// endpointStates maps the states of discovery to those of the endpoint list.
var endpointStates = map[string]string{
	"in_service": endpointlist.Ready, "terminating": endpointlist.Draining, "terminated": endpointlist.Removed,
}

// Table tracks how far discovery's messages were applied. The zero value is ready to use.
type Table struct {
	Revision         int64 // of the last list that was applied, or of the last-known one
	revisionKnown    bool
	staleSince       time.Duration // since when discovery has had only older lists; 0: it has had newer ones
	clock            startClock
	addressChangedAt time.Duration // when discovery's address changed; 0: not since the last list was applied
	withdrawals      withdrawals
}

// AddressChanged notes that discovery's address changed at the given monotonic time. An older list from the new
// address counts as discovery's state from that time on.
func (t *Table) AddressChanged(now time.Duration) {
	t.addressChangedAt, t.staleSince = max(now, 1), 0
}

// SetLastKnown sets the list that an earlier process had. Only its revision counts, by which an older list of discovery is
// recognised: discovery alone knows which of its backends are still in service.
func (t *Table) SetLastKnown(raw []byte) error {
	var message push
	if err := json.Unmarshal(raw, &message); err != nil {
		return fmt.Errorf("decode the last-known endpoints: %w", err)
	}
	t.Revision, t.revisionKnown = message.Revision, true
	return nil
}

// Apply decodes a message and returns the endpoints that it changes; full tells whether they are the whole list. now
// is the monotonic time, unixMs the wall time in Unix milliseconds, against which backends report their start.
// Invalid lines are left out and described in refused.
func (t *Table) Apply(now time.Duration, unixMs int64, raw []byte) (
	lines []endpointlist.Endpoint, full bool, refused []string, err error,
) {
	var message push
	if err := json.Unmarshal(raw, &message); err != nil {
		return nil, false, nil, fmt.Errorf("decode discovery message: %w", err)
	}
	if len(message.Targets) > maxTargets {
		return nil, false, nil, fmt.Errorf("discovery message has %d targets, more than the limit of %d",
			len(message.Targets), maxTargets)
	}
	// A list that goes back in revision could bring back backends that are draining, so it is not applied at once.
	// Backends that it takes out of service are applied at once: discovery may have restarted its revisions, and the
	// dispatcher counts as notified of the change.
	stale := t.revisionKnown && message.Revision < t.Revision
	if stale {
		refused = append(refused,
			fmt.Sprintf("revision %d is older than the applied revision %d", message.Revision, t.Revision))
		if !message.Full {
			return nil, false, refused, nil
		}
		if t.staleSince == 0 {
			t.staleSince = max(cmp.Or(t.addressChangedAt, now), 1)
		}
		stale = now-t.staleSince < staleListGrace
	}
	if !stale {
		t.staleSince, t.addressChangedAt = 0, 0
		t.Revision, t.revisionKnown = message.Revision, true
	}
	unixMs = t.clock.observeStarts(message.Targets, unixMs)
	t.withdrawals.forgetOld(now)
	named := map[string]bool{}
	for _, reported := range message.Targets {
		endpoint, err := reported.endpoint()
		named[reported.UID] = true
		if err == nil && reported.BootMs > 0 {
			endpoint.UptimeMs = t.clock.uptime(reported, now, unixMs).Milliseconds()
		}
		if endpoint.State == endpointlist.Removed {
			t.clock.forget(reported.UID)
		}
		if err != nil {
			refused = append(refused, err.Error())
			continue
		}
		if stale && endpoint.State == endpointlist.Ready {
			continue
		}
		endpoint.State = t.withdrawals.observe(endpoint.Name, endpoint.State, message.Revision, now)
		lines = append(lines, endpoint)
	}
	if !stale {
		t.clock.lastConfirmed = now
		if message.Full {
			t.withdrawals.observeFull(named, message.Revision, now)
		}
	}
	return lines, message.Full && !stale, refused, nil
}

// endpoint converts a target to a line of the endpoint list, without its uptime. With an error, the state of the line
// is still set.
func (t target) endpoint() (endpoint endpointlist.Endpoint, err error) {
	endpoint = endpointlist.Endpoint{
		Name: t.UID, Kind: t.Model, Zone: t.Zone, Rack: strconv.FormatInt(t.PodGroup, 10),
		State: endpointStates[t.State], Units: t.CapacityHint, Incarnation: uint64(max(t.BootMs, 0)), UptimeMs: -1,
	}
	if strings.ContainsAny(endpoint.Name, " \r\n\t") {
		return endpoint, fmt.Errorf("target %.40q: white space in its name", t.UID)
	}
	if endpoint.State != endpointlist.Removed {
		address, err := netip.ParseAddrPort(t.Endpoint)
		if err != nil {
			return endpoint, fmt.Errorf("target %s: %w", t.UID, err)
		}
		network := addresses.TCP6
		if address.Addr().Unmap().Is4() {
			network = addresses.TCP4
		}
		endpoint.Addresses = []addresses.Spec{{Network: network, Addr: t.Endpoint}}
	}
	return endpoint, endpoint.Check()
}
