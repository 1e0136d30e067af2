package platform

import (
	"os"
	"path/filepath"
	"testing"

	"sloetrestle/brain"
	"sloetrestle/internal/hosts"
)

// A configuration is either refused or leaves every use a share of its limits.
func FuzzConfiguration(f *testing.F) {
	f.Add([]byte(`{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","limits":{"memory_mb":64,"sockets":256},"settings":` + hosts.Settings + `}`))
	f.Add([]byte(`{"listen":"a","discovery":"b","limits":{"memory_mb":1,"sockets":1},"settings":{"siblings":"x"}}`))
	f.Add([]byte(`{"limits":{"sockets":-1}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		file := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(file, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		p, err := Load(file, func(string) string { return "" })
		if err != nil {
			return
		}
		r := p.room()
		if p.Listen == "" || p.Discovery == "" || r.clients < 1 || r.boxes < 1 || r.releases < 1 || r.heap < 1 || r.bodies < 1 {
			t.Errorf("%+v has %+v", p, r)
		}
	})
}

// Descriptors for clients, attempts and releases are never more than there are, from the least limit on that leaves any.
func TestSharesOfTheDescriptorsFit(t *testing.T) {
	for sockets := 64; sockets <= 4096; sockets++ {
		p := Config{}
		p.Limits.Sockets = sockets
		if r := p.room(); r.clients+r.boxes+r.releases+ownSockets > sockets {
			t.Fatalf("of %d descriptors %+v are taken beside %d", sockets, r, ownSockets)
		}
	}
}

// A zone that the settings do not name is none of those that they do: repeats that are dropped in one zone are not sent to it.
func TestAZoneThatIsNotNamedIsNoOther(t *testing.T) {
	facts := brain.FlattenSettings(map[string]any{"dcs": []any{"a", "b"}})
	seen := map[int]string{}
	for _, name := range []string{"a", "b", "c", "d"} {
		n := zoneNumber(facts, name)
		if other, taken := seen[n]; taken || n < 0 {
			t.Errorf("zone %s has number %d, as has %q", name, n, other)
		}
		seen[n] = name
	}
	if zoneNumber(facts, "") != 0 {
		t.Error("a backend without a zone is not in the first")
	}
}
