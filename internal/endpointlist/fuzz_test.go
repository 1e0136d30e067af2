package endpointlist

import (
	"encoding/json"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
)

// An update, full or not, never panics and leaves a table of valid lines.
func FuzzTableApply(f *testing.F) {
	for _, seed := range []string{
		`{"version":2,"base":1,"boxes":[{"name":"a","standing":"gone"}]}`,
		`{"version":1,"whole":true,"boxes":[{"name":"b","standing":"ready","addresses":[{}],"units":1e308}]}`,
		`{"version":18446744073709551615,"base":1}`, `{"version":0,"base":1,"boxes":null}`, `{"whole":true}`,
		`{"base":1,"version":1,"boxes":[{"name":"a","standing":"ready",` +
			`"up_ms":9223372036854775807,"addresses":[{"network":"tcp4"}]}]}`,
		`null`, `[`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var table Table
		table.Apply(Update{Version: 1, Full: true, Endpoints: []Endpoint{testEndpoint("a", Ready)}})
		var update Update
		if json.Unmarshal(raw, &update) != nil {
			return
		}
		_, _, err := table.Apply(update)
		if err != nil && (len(table.All()) != 1 || table.Version != 1) {
			t.Fatalf("%q: refused with %v, but the list changed to %v", raw, err, table.All())
		}
		for _, endpoint := range table.All() {
			if endpoint.Check() != nil {
				t.Fatalf("%q: the list has %+v: %v", raw, endpoint, endpoint.Check())
			}
		}
	})
}

// Whatever a saved list contains, Restore doesn't panic and passes on only valid lines.
func FuzzRestore(f *testing.F) {
	for _, seed := range []string{
		"", "{", "null",
		`{"saved_unix_ms":-9223372036854775808,"push":{"boxes":[` +
			`{"name":"a","standing":"ready","up_ms":5,"addresses":[{}]}]}}`,
		`{"push":{"version":7}}`, `{"form":9}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, "boxlist-d.json"), raw, 0o600); err != nil {
			t.Fatal(err)
		}
		follower := &Follower{
			Name: "d", CacheDir: dir, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
			OnUpdate: func(lines []Endpoint, _ bool) {
				for _, line := range lines {
					if line.Check() != nil || line.UptimeMs > 2*maxUptimeMs {
						t.Fatalf("%q: %+v was passed on", raw, line)
					}
				}
			},
		}
		follower.Restore()
	})
}
