package endpointlist

import (
	"bytes"
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
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"sloetrestle/internal/system"

	"sloetrestle/internal/addresses"
)

func testEndpoint(name, state string) Endpoint {
	return Endpoint{
		Name: name, Addresses: []addresses.Spec{{Network: "tcp4", Addr: "127.0.0.1:1"}},
		State: state, Units: 1, UptimeMs: -1,
	}
}

func TestUpdatesApplyInOrderAndGapsAreDetected(t *testing.T) {
	var table Table
	if _, _, err := table.Apply(Update{Version: 5, Full: true,
		Endpoints: []Endpoint{testEndpoint("b", Ready), testEndpoint("a", Ready)}}); err != nil {
		t.Fatal(err)
	}
	changed, refused, err := table.Apply(Update{Version: 6, Base: 5,
		Endpoints: []Endpoint{testEndpoint("b", Removed), {State: Ready}, testEndpoint("c", "asleep")}})
	if err != nil || len(changed) != 1 || changed[0].Name != "b" || refused == nil ||
		!strings.Contains(refused.Error(), "asleep") {
		t.Errorf("%v, %v, %v", changed, refused, err)
	}
	if all := table.All(); len(all) != 1 || all[0].Name != "a" || table.Version != 6 {
		t.Errorf("%v at version %d", all, table.Version)
	}
	if _, _, err := table.Apply(Update{Version: 9, Base: 8,
		Endpoints: []Endpoint{testEndpoint("d", Ready)}}); !errors.Is(err, ErrGap) || len(table.All()) != 1 {
		t.Errorf("a gap gives %v, and the list is %v", err, table.All())
	}
}

// The capacity and the uptime in a list go into the shares of backends and into the budget for backends that are
// warming up. An invalid line must be refused by name, and its endpoint must keep its last line, in a full list too.
func TestInvalidLineLeavesItsEndpointUnchanged(t *testing.T) {
	for name, invalidate := range map[string]func(e *Endpoint){
		"negative units":  func(e *Endpoint) { e.Units = -1 },
		"huge units":      func(e *Endpoint) { e.Units = 1e308 },
		"uptime too long": func(e *Endpoint) { e.UptimeMs = 1 << 60 },
		"kind too long":   func(e *Endpoint) { e.Kind = strings.Repeat("k", 300) },
		"unknown state":   func(e *Endpoint) { e.State = "READY" },
		"no address":      func(e *Endpoint) { e.Addresses = nil },
	} {
		for _, full := range []bool{true, false} {
			var table Table
			table.Apply(Update{Version: 1, Full: true,
				Endpoints: []Endpoint{testEndpoint("a", Ready), testEndpoint("b", Draining)}})
			invalid := testEndpoint("a", Ready)
			invalidate(&invalid)
			changed, refused, err := table.Apply(Update{Version: 2, Base: 1, Full: full,
				Endpoints: []Endpoint{invalid, testEndpoint("b", Ready)}})
			if err != nil || refused == nil || !strings.Contains(refused.Error(), "endpoint a") {
				t.Errorf("%s: %v, %v", name, refused, err)
			}
			if all := table.All(); len(all) != 2 || all[0].Units != 1 ||
				all[0].State != Ready || all[1].State != Ready {
				t.Errorf("%s, full %v: the list is %v", name, full, all)
			}
			if full && len(changed) != 2 {
				t.Errorf("%s: a full list without a line for a would remove it: %v", name, changed)
			}
		}
	}
	var table Table
	duplicate := testEndpoint("a", Removed)
	if changed, refused, _ := table.Apply(Update{Version: 1, Full: true,
		Endpoints: []Endpoint{testEndpoint("a", Ready), duplicate}}); refused == nil || len(changed) != 1 ||
		changed[0].State != Ready {
		t.Errorf("a duplicate name: %v, %v", changed, refused)
	}
	if _, _, err := table.Apply(Update{Version: 0, Base: 1,
		Endpoints: []Endpoint{testEndpoint("a", Removed)}}); !errors.Is(err, ErrGap) || len(table.All()) != 1 {
		t.Errorf("a version that goes back: %v, %v", err, table.All())
	}
	many := make([]Endpoint, maxEndpoints+5)
	for i := range many {
		many[i] = testEndpoint(fmt.Sprint("backend", i), Ready)
	}
	if _, refused, _ := table.Apply(Update{Version: 2, Full: true, Endpoints: many}); refused == nil ||
		len(table.All()) != maxEndpoints {
		t.Errorf("the list has %d endpoints, %v", len(table.All()), refused)
	}
}

// scriptedServer sends a script of updates to each connection, and records the versions that the requests state.
type scriptedServer struct {
	mu     sync.Mutex
	have   []string
	script [][]Update // per connection
}

func (s *scriptedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.have = append(s.have, r.URL.Query().Get("have"))
	var updates []Update
	if len(s.script) > 0 {
		updates, s.script = s.script[0], s.script[1:]
	}
	s.mu.Unlock()
	for _, update := range updates {
		json.NewEncoder(w).Encode(update)
	}
	http.NewResponseController(w).Flush()
	if updates == nil {
		<-r.Context().Done()
	}
}

// Guards against a drain that is heard late because the list before it is still being written to a slow disk.
func TestSlowDiskDoesNotHoldUpTheNextUpdate(t *testing.T) {
	server := httptest.NewServer(&scriptedServer{script: [][]Update{{
		{Version: 1, Full: true, Endpoints: []Endpoint{testEndpoint("a", Ready)}},
		{Version: 2, Base: 1, Endpoints: []Endpoint{testEndpoint("a", Draining)}},
	}}})
	defer server.Close()
	updates := make(chan []Endpoint, 9)
	follower := &Follower{
		Address: strings.TrimPrefix(server.URL, "http://"), Name: "d", CacheDir: t.TempDir(), HTTPClient: server.Client(),
		Log:      slog.New(slog.NewTextHandler(io.Discard, nil)),
		OnUpdate: func(lines []Endpoint, full bool) { updates <- lines },
	}
	pipe := follower.cachePath() + ".new" // opening a pipe for writing waits until it is read
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- follower.Run(ctx) }()
	<-updates
	select {
	case <-updates:
	case <-time.After(time.Second):
		t.Error("the second update waits for the first one to be written")
	}
	disk, err := os.Open(pipe) // the disk goes on
	if err != nil {
		t.Fatal(err)
	}
	defer disk.Close()
	cancel()
	<-done
}

func TestFullListIsFetchedAfterAGapAndSaved(t *testing.T) {
	script := &scriptedServer{script: [][]Update{
		{
			{Version: 1, Full: true, Endpoints: []Endpoint{testEndpoint("a", Ready)}},
			{Version: 3, Base: 2, Endpoints: []Endpoint{testEndpoint("c", Ready)}},
		},
		{{Version: 3, Full: true,
			Endpoints: []Endpoint{testEndpoint("a", Ready), testEndpoint("b", Draining), testEndpoint("c", Ready)}}},
	}}
	server := httptest.NewServer(script)
	defer server.Close()
	dir := t.TempDir()
	updates := make(chan []Endpoint, 9)
	newFollower := func() *Follower {
		return &Follower{
			Address: strings.TrimPrefix(server.URL, "http://"), Name: "d", CacheDir: dir, HTTPClient: server.Client(),
			Log:      slog.New(slog.NewTextHandler(io.Discard, nil)),
			OnUpdate: func(lines []Endpoint, full bool) { updates <- lines },
		}
	}
	first := newFollower()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- first.Run(ctx) }()
	<-updates
	if afterGap := <-updates; len(afterGap) != 3 || first.Gaps() != 1 {
		t.Errorf("after the gap: %v, gaps %d", afterGap, first.Gaps())
	}
	for range 100 { // the list is saved shortly after it is passed on
		if raw, err := os.ReadFile(first.cachePath()); err == nil && strings.Contains(string(raw), `"draining"`) {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
	script.mu.Lock()
	if script.have[0] != "0" || script.have[1] != "0" {
		t.Errorf("the requests state the versions %v", script.have)
	}
	script.mu.Unlock()
	restarted := newFollower()
	if err := restarted.Restore(); err != nil {
		t.Fatal(err)
	}
	if restored := <-updates; len(restored) != 3 || restored[1].State != Draining {
		t.Errorf("restored %v", restored)
	}
}

func TestTruncatedSavedListIsRefusedByName(t *testing.T) {
	follower := &Follower{Name: "d", CacheDir: t.TempDir(),
		OnUpdate: func([]Endpoint, bool) { t.Error("a truncated list was passed on") }}
	if err := os.WriteFile(follower.cachePath(), []byte(`{"push":{"version":3,"boxes":[{"na`), 0o644); err != nil {
		t.Fatal(err)
	}
	if err := follower.Restore(); err == nil || !strings.Contains(err.Error(), follower.cachePath()) {
		t.Errorf("%v", err)
	}
}

// The age of a saved list is not taken from the wall clock: a file that states to be an hour old, or to be from
// before the machine's last boot, must not add to the uptime of a backend.
func TestSavedListDoesNotAgeByWallClock(t *testing.T) {
	boot, up := system.Uptime()
	hourAgo := time.Now().Add(-time.Hour).UnixMilli()
	for name, tc := range map[string]struct {
		boot        string
		savedUptime time.Duration
		want        time.Duration
	}{
		"saved a second ago":        {boot, up - time.Second, 3 * time.Second},
		"saved in another boot":     {"other", up - time.Second, 2 * time.Second},
		"saved by an older version": {"", 0, 2 * time.Second},
		"seems saved in the future": {boot, up + time.Hour, 2 * time.Second},
	} {
		var got time.Duration
		follower := &Follower{Name: "d", CacheDir: t.TempDir(),
			OnUpdate: func(lines []Endpoint, _ bool) { got = time.Duration(lines[0].UptimeMs) * time.Millisecond }}
		endpoint := testEndpoint("a", Ready)
		endpoint.UptimeMs = 2000
		raw, err := json.Marshal(savedList{hourAgo, tc.boot, tc.savedUptime.Milliseconds(),
			Update{Version: 1, Full: true, Endpoints: []Endpoint{endpoint}}})
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(follower.cachePath(), raw, 0o644); err != nil {
			t.Fatal(err)
		}
		if err := follower.Restore(); err != nil {
			t.Fatal(err)
		}
		if got < tc.want || got > tc.want+500*time.Millisecond {
			t.Errorf("%s: an uptime of 2 s was restored as %v, want %v", name, got, tc.want)
		}
	}
}

// Discovery that is down, or ends each watch at once, is dialed at a bounded pace, with one log line for each watch.
func TestDialsArePacedWhileTheListIsDown(t *testing.T) {
	const length, maxDials = 1500 * time.Millisecond, 10
	for name, respond := range map[string]http.HandlerFunc{
		"fails": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"sends a list and closes": func(w http.ResponseWriter, _ *http.Request) {
			json.NewEncoder(w).Encode(Update{Version: 1, Full: true})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var watches atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				watches.Add(1)
				respond(w, r)
			}))
			defer server.Close()
			ctx, cancel := context.WithTimeout(context.Background(), length)
			defer cancel()
			var log bytes.Buffer
			follower := &Follower{
				Address: server.Listener.Addr().String(), HTTPClient: server.Client(), Log: slog.New(slog.NewTextHandler(&log, nil)),
				OnUpdate: func([]Endpoint, bool) {},
			}
			follower.Run(ctx)
			if n := watches.Load(); n < 2 || n > maxDials {
				t.Errorf("%d watches in %v, want 2 to %d", n, length, maxDials)
			}
			if lines := bytes.Count(log.Bytes(), []byte("\n")); lines > maxDials {
				t.Errorf("%d log lines in %v, want at most %d", lines, length, maxDials)
			}
		})
	}
}
