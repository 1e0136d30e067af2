package boxlist

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"sloetrestle/internal/system"

	"sloetrestle/internal/addresses"
)

func line(name, standing string) Endpoint {
	return Endpoint{Name: name, Addresses: []addresses.Spec{{Network: "tcp4", Addr: "127.0.0.1:1"}}, State: standing, Units: 1, UptimeMs: -1}
}

func TestChangesApplyInOrderAndAGapIsNoticed(t *testing.T) {
	var table Table
	if _, _, err := table.Apply(Update{Version: 5, Full: true, Endpoints: []Endpoint{line("b", Ready), line("a", Ready)}}); err != nil {
		t.Fatal(err)
	}
	changed, refused, err := table.Apply(Update{Version: 6, Base: 5, Endpoints: []Endpoint{line("b", Removed), {State: Ready}, line("c", "asleep")}})
	if err != nil || len(changed) != 1 || changed[0].Name != "b" || refused == nil || !strings.Contains(refused.Error(), "asleep") {
		t.Errorf("%v, %v, %v", changed, refused, err)
	}
	if all := table.All(); len(all) != 1 || all[0].Name != "a" || table.Version != 6 {
		t.Errorf("%v at version %d", all, table.Version)
	}
	if _, _, err := table.Apply(Update{Version: 9, Base: 8, Endpoints: []Endpoint{line("d", Ready)}}); !errors.Is(err, ErrGap) || len(table.All()) != 1 {
		t.Errorf("a gap gives %v, and %v", err, table.All())
	}
}

// What a list says of size and age goes into shares and into the cold budget of rule 4: a figure without sense is refused by
// name, and the box keeps the line that it had, in a whole list too.
func TestALineWithoutSenseLeavesItsBoxAsItWas(t *testing.T) {
	for name, bad := range map[string]func(b *Endpoint){
		"negative units":  func(b *Endpoint) { b.Units = -1 },
		"huge units":      func(b *Endpoint) { b.Units = 1e308 },
		"older than time": func(b *Endpoint) { b.UptimeMs = 1 << 60 },
		"a name's length": func(b *Endpoint) { b.Kind = strings.Repeat("k", 300) },
		"no standing":     func(b *Endpoint) { b.State = "READY" },
		"no address":      func(b *Endpoint) { b.Addresses = nil },
	} {
		for _, whole := range []bool{true, false} {
			var table Table
			table.Apply(Update{Version: 1, Full: true, Endpoints: []Endpoint{line("a", Ready), line("b", Draining)}})
			l := line("a", Ready)
			bad(&l)
			changed, refused, err := table.Apply(Update{Version: 2, Base: 1, Full: whole, Endpoints: []Endpoint{l, line("b", Ready)}})
			if err != nil || refused == nil || !strings.Contains(refused.Error(), "box a") {
				t.Errorf("%s: %v, %v", name, refused, err)
			}
			if all := table.All(); len(all) != 2 || all[0].Units != 1 || all[0].State != Ready || all[1].State != Ready {
				t.Errorf("%s, whole %v: holds %v", name, whole, all)
			}
			if whole && len(changed) != 2 {
				t.Errorf("%s: a whole list without a line for a would have it taken for gone: %v", name, changed)
			}
		}
	}
	var table Table
	other := line("a", Removed)
	if changed, refused, _ := table.Apply(Update{Version: 1, Full: true, Endpoints: []Endpoint{line("a", Ready), other}}); refused == nil || len(changed) != 1 || changed[0].State != Ready {
		t.Errorf("a name twice: %v, %v", changed, refused)
	}
	if _, _, err := table.Apply(Update{Version: 0, Base: 1, Endpoints: []Endpoint{line("a", Removed)}}); !errors.Is(err, ErrGap) || len(table.All()) != 1 {
		t.Errorf("a version that goes back: %v, %v", err, table.All())
	}
	many := make([]Endpoint, maxEndpoints+5)
	for i := range many {
		many[i] = line(fmt.Sprint("box", i), Ready)
	}
	if _, refused, _ := table.Apply(Update{Version: 2, Full: true, Endpoints: many}); refused == nil || len(table.All()) != maxEndpoints {
		t.Errorf("%d boxes are held, %v", len(table.All()), refused)
	}
}

// pushes serves, for each connection, a script of pushes; have collects what versions were asked from.
type pushes struct {
	mu     sync.Mutex
	have   []string
	script [][]Update
}

func (p *pushes) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.have = append(p.have, r.URL.Query().Get("have"))
	var mine []Update
	if len(p.script) > 0 {
		mine, p.script = p.script[0], p.script[1:]
	}
	p.mu.Unlock()
	for _, push := range mine {
		json.NewEncoder(w).Encode(push)
	}
	http.NewResponseController(w).Flush()
	if mine == nil {
		<-r.Context().Done()
	}
}

func TestAfterAGapTheWholeListIsAskedForAndTheLastOneIsKept(t *testing.T) {
	p := &pushes{script: [][]Update{
		{{Version: 1, Full: true, Endpoints: []Endpoint{line("a", Ready)}}, {Version: 3, Base: 2, Endpoints: []Endpoint{line("c", Ready)}}},
		{{Version: 3, Full: true, Endpoints: []Endpoint{line("a", Ready), line("b", Draining), line("c", Ready)}}},
	}}
	server := httptest.NewServer(p)
	defer server.Close()
	dir := t.TempDir()
	got := make(chan []Endpoint, 9)
	f := func() *Follower {
		return &Follower{Address: strings.TrimPrefix(server.URL, "http://"), Name: "d", CacheDir: dir, HTTPClient: server.Client(),
			Log: slog.New(slog.NewTextHandler(io.Discard, nil)), OnUpdate: func(lines []Endpoint, whole bool) { got <- lines }}
	}
	first := f()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- first.Run(ctx) }()
	<-got
	if second := <-got; len(second) != 3 || first.Gaps() != 1 {
		t.Errorf("after the gap: %v, gaps %d", second, first.Gaps())
	}
	for range 100 { // the list is kept a moment after it was handed on
		if raw, err := os.ReadFile(first.cachePath()); err == nil && strings.Contains(string(raw), `"draining"`) {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
	p.mu.Lock()
	if p.have[0] != "0" || p.have[1] != "0" {
		t.Errorf("asked from versions %v", p.have)
	}
	p.mu.Unlock()
	again := f()
	if err := again.Restore(); err != nil {
		t.Fatal(err)
	}
	if kept := <-got; len(kept) != 3 || kept[1].State != Draining {
		t.Errorf("kept %v", kept)
	}
}

func TestAKeptListThatIsCutOffIsNamedAndLeftOut(t *testing.T) {
	f := &Follower{Name: "d", CacheDir: t.TempDir(), OnUpdate: func([]Endpoint, bool) { t.Error("half a list was handed on") }}
	if err := os.WriteFile(f.cachePath(), []byte(`{"push":{"version":3,"boxes":[{"na`), 0o644); err != nil {
		t.Fatal(err)
	}
	if err := f.Restore(); err == nil || !strings.Contains(err.Error(), f.cachePath()) {
		t.Errorf("%v", err)
	}
}

// The time that a list was kept for is not taken from the wall clock: a file that says to be from an hour ago, or from before the
// machine's present boot, makes no box older.
func TestAKeptListDoesNotAgeByTheWallClock(t *testing.T) {
	boot, up := system.Uptime()
	hourAgo := time.Now().Add(-time.Hour).UnixMilli()
	for name, c := range map[string]struct {
		boot  string
		saved time.Duration
		want  time.Duration
	}{
		"kept a second ago":           {boot, up - time.Second, 3 * time.Second},
		"kept in another boot":        {"other", up - time.Second, 2 * time.Second},
		"kept by an older version":    {"", 0, 2 * time.Second},
		"kept in the future, it says": {boot, up + time.Hour, 2 * time.Second},
	} {
		var got time.Duration
		f := &Follower{Name: "d", CacheDir: t.TempDir(), OnUpdate: func(lines []Endpoint, _ bool) { got = time.Duration(lines[0].UptimeMs) * time.Millisecond }}
		box := line("a", Ready)
		box.UptimeMs = 2000
		raw, err := json.Marshal(savedList{hourAgo, c.boot, c.saved.Milliseconds(), Update{Version: 1, Full: true, Endpoints: []Endpoint{box}}})
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(f.cachePath(), raw, 0o644); err != nil {
			t.Fatal(err)
		}
		if err := f.Restore(); err != nil {
			t.Fatal(err)
		}
		if got < c.want || got > c.want+500*time.Millisecond {
			t.Errorf("%s: a box that had been up for 2 s is taken to be up for %v", name, got)
		}
	}
}
