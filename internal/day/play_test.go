package day

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"sloetrestle/examples"
	"sloetrestle/internal/boxlist"
	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/kserve"
	"sloetrestle/internal/record"
	"sloetrestle/internal/setup"
)

// The test binary serves as the dispatcher's program too: the right one, or a deliberately wrong one.
const asProgram = "SLOETRESTLE_TEST_DISPATCHER"

func TestMain(m *testing.M) {
	which := os.Getenv(asProgram)
	if which == "" {
		os.Exit(m.Run())
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	d, err := setup.Load(os.Args[len(os.Args)-1])
	if err == nil && which == "wrong" {
		err = wrongly(ctx, d)
	} else if err == nil {
		err = dispatch.Serve(ctx, d, slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelWarn})), nil)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func stage(t *testing.T, which string) RunOptions {
	return RunOptions{ServeCommand: []string{os.Args[0]}, Env: []string{asProgram + "=" + which}, RecordDir: t.TempDir()}
}

// example is a day of the examples with fewer seconds.
func example(t *testing.T, name string) Scenario {
	t.Helper()
	raw, err := os.ReadFile("../../examples/" + name + ".toml")
	if err != nil {
		t.Fatal(err)
	}
	d, err := Parse(name, raw)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Days are played side by side, so that all of them take little longer than the longest.
func TestShortDaysKeepTheRules(t *testing.T) {
	for _, name := range []string{"crash-after-read", "reset-running", "overlap-kill-in-burst", "stop-dispatcher", "list-gap", "drain", "ledger"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := example(t, name)
			d.Header.RequestsPerSecond /= 2 // what is looked at is rules, not speed
			s := stage(t, "right")
			v, err := Run(context.Background(), d, s)
			if err != nil {
				t.Fatal(err)
			}
			if !v.Passed() || v.Tries < 50 || v.Effects == 0 {
				t.Errorf("tries %d, effects %d\n%s", v.Tries, v.Effects, v.Text())
			}
			head, lines, err := record.Read(s.RecordDir)
			if err != nil || len(lines) == 0 || head.Scenario != d.Header.Name {
				t.Errorf("the kept record: %d lines of %q, %v", len(lines), head.Scenario, err)
			}
		})
	}
}

// A judge that finds nothing wrong with a dispatcher that does all wrong would find nothing at all.
func TestTheJudgeCatchesAWrongDispatcher(t *testing.T) {
	t.Parallel()
	d, err := Parse("demo", examples.Demo)
	if err != nil {
		t.Fatal(err)
	}
	d.Header.Duration, d.Header.Dispatchers, d.Header.RequestsPerSecond = setup.Duration(6*time.Second), 1, 15
	d.Faults = []Fault{
		{Kind: "drain", Start: setup.Duration(time.Second), Duration: setup.Duration(2 * time.Second), Backends: []string{"writer-3"}},
		{Kind: "restart", Start: setup.Duration(1500 * time.Millisecond), Backends: []string{"writer-1"}},
	}
	v, err := Run(context.Background(), d, stage(t, "wrong"))
	if err != nil {
		t.Fatal(err)
	}
	for i, r := range v.Rules {
		if r.Passed {
			t.Errorf("rule %d passes for kept", i+1)
		}
	}
}

// wrongly serves against all five rules: it reads and lets the state wait, sends each question to the last started and
// to a draining writer at once, and answers twice.
func wrongly(ctx context.Context, d setup.DispatcherConfig) error {
	var mu sync.Mutex
	boxes := map[string]boxlist.Endpoint{}
	list := boxlist.Follower{Address: d.Instance.DiscoveryAddr, Name: d.Instance.Name, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), HTTPClient: http.DefaultClient,
		OnUpdate: func(lines []boxlist.Endpoint, _ bool) {
			mu.Lock()
			defer mu.Unlock()
			for _, b := range lines {
				boxes[b.Name] = b
			}
		}}
	go list.Run(ctx)
	send := func(name string, e kserve.AttemptParams) io.ReadCloser {
		mu.Lock()
		addr := boxes[name].Addresses[0].Addr
		mu.Unlock()
		r, err := kserve.NewAttemptRequest(ctx, "http://"+addr, d.Model, "", e)
		if err != nil {
			return nil
		}
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			return nil
		}
		return resp.Body
	}
	n := uint64(0)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v2/health/ready", func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		if len(boxes) == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("POST /v2/models/lodge/generate_stream", func(w http.ResponseWriter, r *http.Request) {
		ask, err := kserve.ReadGenerateRequest(r.Body)
		if err != nil {
			kserve.WriteError(w, err)
			return
		}
		mu.Lock()
		n++
		e := kserve.AttemptParams{Phase: kserve.PhasePrefill, DispatcherEpoch: d.Instance.Name + ".wrong", RequestNumber: n, DedupKey: ask.ID, Class: ask.Class, PromptTokens: 3000, MaxTokens: 60}
		mu.Unlock()
		if body := send("reader-1", e); body != nil {
			body.Close()
		}
		e.Phase, e.Attempt = kserve.PhaseCombined, 1
		var both sync.WaitGroup
		for _, name := range []string{"writer-1", "writer-3"} {
			e := e
			both.Add(1)
			go func() {
				defer both.Done()
				for range 12 {
					if body := send(name, e); body != nil {
						io.Copy(io.Discard, body)
						body.Close()
					}
					e.Attempt += 2
				}
			}()
			e.Attempt++
		}
		kserve.WriteEvent(w, "", kserve.Token{Text: "word"})
		f := kserve.FinalResponse{Outcome: kserve.Served}
		kserve.WriteEvent(w, "end", f)
		kserve.WriteEvent(w, "end", f)
		http.NewResponseController(w).Flush()
		both.Wait()
	})
	listener, err := net.Listen("tcp", d.Instance.Listen[0])
	if err != nil {
		return err
	}
	server := http.Server{Handler: mux}
	context.AfterFunc(ctx, func() { server.Close() })
	server.Serve(listener)
	return nil
}

func TestPlansAreTheSameForTheSameSeed(t *testing.T) {
	d, err := Parse("demo", examples.Demo)
	if err != nil {
		t.Fatal(err)
	}
	a, b := d.Plan(), d.Plan()
	d.Header.Seed++
	c := d.Plan()
	same := len(a) == len(b)
	for i := range min(len(a), len(b)) {
		same = same && a[i] == b[i]
	}
	if !same || len(a) == 0 || len(c) > 0 && a[0] == c[0] {
		t.Errorf("%d and %d questions, the same %v; another seed gives %v after %v", len(a), len(b), same, c[0], a[0])
	}
	turns := 0
	for _, w := range a {
		if w.PromptTokens < 1 || w.PrefixTokens > w.PromptTokens || w.Deadline <= w.LatencyTarget {
			t.Fatalf("senseless: %+v", w)
		}
		if w.Session != "s"+strings.TrimPrefix(w.Name, "q") {
			turns++
		}
	}
	if turns == 0 {
		t.Error("no session has a second turn")
	}
}

func TestFaultsOfADayNameLineAndKey(t *testing.T) {
	text := string(examples.Demo)
	for _, c := range []struct{ old, new, says string }{
		{`length = "20s"`, `lenght = "20s"`, "day.lenght: no such key"},
		{`length = "20s"`, `length = 20`, "day.length"},
		{`length = "20s"`, `length = "long"`, "no length of time"},
		{`kind = "slow"`, `kind = "slwo"`, `trouble.0.kind: "slwo" is unknown`},
		{`boxes = ["reader-2"]`, `boxes = ["reader-9"]`, `trouble.0.boxes: "reader-9" is no box`},
		{`promised = "1.5s"`, `promised = "0s"`, "grade.0.promised: must be above 0"},
		{`cold_share = 0.3`, `cold_share = 3.0`, "rules.cold_share"},
	} {
		changed := strings.Replace(text, c.old, c.new, 1)
		if changed == text {
			t.Fatalf("%q does not stand in the demo", c.old)
		}
		_, err := Parse("f.toml", []byte(changed))
		line := 1 + strings.Count(changed[:strings.Index(changed, c.new)], "\n")
		if err == nil || !strings.Contains(err.Error(), c.says) || !strings.HasPrefix(err.Error(), fmt.Sprintf("f.toml:%d: ", line)) {
			t.Errorf("%s: %v; it stands on line %d", c.new, err, line)
		}
	}
}

func TestImportCarriesADrawnDayOver(t *testing.T) {
	raw := map[string]any{
		"site": "small", "family": "twostage", "noise": 7, "length": 50e6, "zones": []string{"a"},
		"traffic": map[string]any{"load": 0.5, "shape": [][2]float64{{0, 1}}}, "clients": map[string]any{"retries": 1, "try_share": 0.6, "backoff_us": 1e5, "backoff": "exp"},
		"discovery": map[string]any{"notice": 1e6, "silent_notice": 5e6}, "allow": map[string]any{"max_attempts": 4, "cancel": true},
		"drain_grace": 1e6, "fall_multiple": 2.5, "fall_for": 2e6,
		"classes": []any{map[string]any{"name": "g", "share": 1, "aim": 1e6, "deadline": 4e6, "worth": 1, "effect": "unsafe", "group": "all"}},
		"tiers": []any{map[string]any{"kinds": []any{map[string]any{"name": "in", "cancel": "all"}, map[string]any{"name": "out", "cancel": "none"}},
			"stated_cold_from": 0.3, "stated_cold": 12e6}},
		"servers":   []any{map[string]any{"kind": 0, "speed": 1, "weight": 2}, map[string]any{"kind": 1, "speed": 1, "weight": 2}},
		"balancers": []any{map[string]any{}, map[string]any{}},
		"troubles":  []any{map[string]any{"kind": "slow", "at": 10e6, "len": 20e6, "size": 4, "on": []int{1}}, map[string]any{"kind": "from_the_moon"}},
		"fam": map[string]any{"near": 2e5, "far": 2e5, "release": 5e5, "roles": []string{"read", "write"},
			"engines": []any{map[string]any{"memory": 2e5, "slots": 8, "read_per_s": 2e4, "step_ms": 15}, map[string]any{"memory": 2e5, "slots": 50, "read_per_s": 7e3, "step_ms": 15}},
			"talks":   []any{map[string]any{"new_tokens": 300, "out_tokens": 50, "turns": 2, "max_out": 300}}},
	}
	text, err := json.Marshal(raw)
	if err != nil {
		t.Fatal(err)
	}
	d, lost, err := Import("day.json", text, Scale{Duration: 0.2, Rate: 0.5})
	if err != nil {
		t.Fatal(err)
	}
	if d.Header.Duration.Std() != 10*time.Second || d.Header.Dispatchers != 2 || d.Classes[0].Effect != "unrepeatable" || d.Header.RequestsPerSecond <= 0 {
		t.Errorf("%+v %+v", d.Header, d.Classes)
	}
	found := false
	for _, tr := range d.Faults {
		if tr.Kind == "slow" {
			found = tr.Start.Std() == 2*time.Second && tr.Duration.Std() == 4*time.Second && tr.Backends[0] == "out-1"
		}
	}
	if said := strings.Join(lost, "; "); !found || !strings.Contains(said, "from_the_moon") {
		t.Errorf("troubles %+v; lost %s", d.Faults, said)
	}
}
