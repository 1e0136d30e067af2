package boxlist

import (
	"encoding/json"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
)

// A push, whole or not, leaves a table whose every line makes sense, and never panics.
func FuzzPushes(f *testing.F) {
	for _, s := range []string{
		`{"version":2,"base":1,"boxes":[{"name":"a","standing":"gone"}]}`, `{"version":1,"whole":true,"boxes":[{"name":"b","standing":"ready","addresses":[{}],"units":1e308}]}`,
		`{"version":18446744073709551615,"base":1}`, `{"version":0,"base":1,"boxes":null}`, `{"whole":true}`, `{"base":1,"version":1,"boxes":[{"name":"a","standing":"ready","up_ms":9223372036854775807,"addresses":[{"network":"tcp4"}]}]}`, `null`, `[`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var table Table
		table.Apply(Update{Version: 1, Full: true, Endpoints: []Endpoint{line("a", Ready)}})
		var p Update
		if json.Unmarshal(raw, &p) != nil {
			return
		}
		_, _, err := table.Apply(p)
		if err != nil && (len(table.All()) != 1 || table.Version != 1) {
			t.Fatalf("%q: %v, and yet %v", raw, err, table.All())
		}
		for _, b := range table.All() {
			if b.Check() != nil {
				t.Fatalf("%q: holds %+v: %v", raw, b, b.Check())
			}
		}
	})
}

// Whatever a kept list says, a start survives it, and nothing of a bad one is handed on.
func FuzzKeptList(f *testing.F) {
	for _, s := range []string{"", "{", "null", `{"saved_unix_ms":-9223372036854775808,"push":{"boxes":[{"name":"a","standing":"ready","up_ms":5,"addresses":[{}]}]}}`, `{"push":{"version":7}}`, `{"form":9}`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, "boxlist-d.json"), raw, 0o600); err != nil {
			t.Fatal(err)
		}
		follower := &Follower{Name: "d", CacheDir: dir, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), OnUpdate: func(lines []Endpoint, _ bool) {
			for _, b := range lines {
				if b.Check() != nil || b.UptimeMs > 2*maxUptimeMs {
					t.Fatalf("%q: %+v is handed on", raw, b)
				}
			}
		}}
		follower.Restore()
	})
}
