package testbackends

import (
	"encoding/json"
)

// UpdateDiscovery changes what service discovery lists and pushes the new list to the watches.
func (p *Platform) UpdateDiscovery(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	p.rev++
	for _, a := range p.agents {
		a.push(p.discoveryList(false))
	}
}

// Target is a backend in the list of service discovery.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Kind     string  `json:"model"`
	Rack     int     `json:"pod_group"`
	State    string  `json:"state"`
	Units    float64 `json:"capacity_hint"`
	Boot     int64   `json:"boot_ms"`
}

// discoveryList encodes the list of service discovery. p.mu must be held.
func (p *Platform) discoveryList(full bool) []byte {
	targets := []Target{}
	for i, b := range p.backends {
		targets = append(targets, Target{b.UID, b.Address, "hall-1", b.Kind, i % 2, b.State, 1, 0})
	}
	raw, err := json.Marshal(map[string]any{"rev": p.rev, "all": full, "targets": targets})
	if err != nil {
		panic(err)
	}
	return raw
}

// DiscoveryList returns the full list of service discovery, encoded.
func (p *Platform) DiscoveryList() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.discoveryList(true)
}
