package platform

import (
	"os"
	"path/filepath"
	"testing"

	"sloetrestle/internal/testbackends"
	"sloetrestle/scheduler"
)

// A configuration is either rejected or leaves every use a share of its limits.
func FuzzConfiguration(f *testing.F) {
	f.Add([]byte(`{"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2",` +
		`"limits":{"memory_mb":64,"sockets":256},"settings":` + testbackends.Settings + `}`))
	f.Add([]byte(`{"listen":"a","discovery":"b","limits":{"memory_mb":1,"sockets":1},"settings":{"siblings":"x"}}`))
	f.Add([]byte(`{"limits":{"sockets":-1}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		file := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(file, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		config, err := Load(file, func(string) string { return "" })
		if err != nil {
			return
		}
		shares := config.resources()
		division, err := config.divideMemory()
		if config.Listen == "" || config.Discovery == "" || shares.clients < 1 || shares.attempts < 1 ||
			shares.releases < 1 || err == nil && (division.Runtime < 1 || division.Clients < 1) {
			t.Errorf("%+v leaves %+v and %+v", config, shares, division)
		}
	})
}

// The shares of descriptors for clients, attempts and releases never exceed the limit, from the lowest limit on that
// leaves any.
func TestDescriptorSharesFitTheLimit(t *testing.T) {
	for sockets := 64; sockets <= 4096; sockets++ {
		config := Config{}
		config.Limits.Sockets = sockets
		if shares := config.resources(); shares.clients+shares.attempts+shares.releases+reservedSockets > sockets {
			t.Fatalf("limit of %d descriptors: %+v and %d reserved", sockets, shares, reservedSockets)
		}
	}
}

// A zone that the settings do not name has a number of its own: retries that are deduplicated within one zone must
// not be sent to it.
func TestUnnamedZoneHasItsOwnNumber(t *testing.T) {
	settings := scheduler.FlattenSettings(map[string]any{"dcs": []any{"a", "b"}})
	seen := map[int]string{}
	for _, name := range []string{"a", "b", "c", "d"} {
		number := zoneNumber(settings, name)
		if other, taken := seen[number]; taken || number < 0 {
			t.Errorf("zone %s has number %d, as has %q", name, number, other)
		}
		seen[number] = name
	}
	if zoneNumber(settings, "") != 0 {
		t.Error("a backend without a zone is not in the first one")
	}
}
