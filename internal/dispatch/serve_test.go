package dispatch_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"sloetrestle/internal/addresses"
	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/endpointlist"
	"sloetrestle/internal/engine"
	"sloetrestle/internal/fakes"
	"sloetrestle/internal/kserve"
	"sloetrestle/internal/record"
	"sloetrestle/internal/setup"
)

// testService is a dispatcher in this process, with a prefill and a decode backend and service discovery.
type testService struct {
	t         *testing.T
	config    setup.DispatcherConfig
	events    *record.Recorder // what the test backends recorded
	fleet     *fakes.Fleet
	discovery *fakes.Discovery
	prefill   *fakes.Backend
	decode    *fakes.Backend
	baseURL   string
	stop      func()
	ended     chan error
}

// startService starts the service and waits until it is ready. At the test's end it stops everything, and checks that
// no goroutine is left.
func startService(t *testing.T, change func(*setup.DispatcherConfig)) *testService {
	t.Helper()
	before := goleak.IgnoreCurrent()
	service := &testService{t: t, config: setup.DefaultDispatcherConfig(), ended: make(chan error, 1)}
	service.config.Classes = []setup.Class{
		{
			Name: "trail-info", Effect: "idempotent", LatencyTarget: setup.Duration(time.Second),
			Deadline: setup.Duration(2 * time.Second), Value: 1, DefaultMaxTokens: 40,
		},
		{
			Name: "hut-booking", Effect: "unrepeatable", LatencyTarget: setup.Duration(time.Second),
			Deadline: setup.Duration(2 * time.Second), Value: 5, DefaultMaxTokens: 40,
		},
	}
	service.config.BackendKinds = []setup.BackendKind{
		{Name: "reader", Role: "reader", MemoryTokens: 2e5}, {Name: "writer", Role: "writer", MemoryTokens: 2e5},
	}
	service.config.Instance.Listen, service.config.Instance.DiscoveryAddr, service.config.Instance.ShutdownTimeout =
		[]string{"127.0.0.1:0"}, freeAddress(t), setup.Duration(5*time.Second)
	service.config.Instance.BodyTimeout, service.config.Instance.WriteTimeout, service.config.Instance.Seed =
		setup.Duration(300*time.Millisecond), setup.Duration(500*time.Millisecond), 5
	service.config.Limits.DecodeCanPrefill = false
	if change != nil {
		change(&service.config)
	}
	var err error
	if service.events, err = record.Open("", record.Header{}); err != nil {
		t.Fatal(err)
	}
	profile := fakes.ClassProfile{NewTokens: 200, AnswerTokens: 20, PrefixTokens: 100}
	service.fleet = fakes.NewFleet(service.config.Deployment, service.events,
		fakes.Links{SameRack: 1e6, CrossRack: 1e6, ZoneFactor: 1},
		map[string]fakes.ClassProfile{"trail-info": profile, "hut-booking": profile})
	service.discovery = service.fleet.NewDiscovery(service.config.Instance.DiscoveryAddr)
	if err := service.discovery.Start(); err != nil {
		t.Fatal(err)
	}
	service.prefill, service.decode = service.startBackend("reader"), service.startBackend("writer")
	ctx, cancel := context.WithCancel(context.Background())
	listening := make(chan net.Addr, 1)
	go func() {
		service.ended <- dispatch.Serve(ctx, service.config, slog.New(slog.NewTextHandler(io.Discard, nil)),
			func(addr net.Addr) { listening <- addr })
	}()
	service.baseURL = "http://" + (<-listening).String()
	service.stop = sync.OnceFunc(func() {
		cancel()
		if err := <-service.ended; err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(func() {
		service.stop()
		service.prefill.Kill("end")
		service.decode.Kill("end")
		service.discovery.Stop()
		service.fleet.Close()
		http.DefaultClient.CloseIdleConnections()
		goleak.VerifyNone(t, before)
	})
	for range 200 {
		if resp, err := http.Get(service.baseURL + "/v2/health/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return service
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("never ready")
	return nil
}

// freeAddress returns a loopback address that nobody listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// startBackend starts a test backend of a kind and lists it as ready.
func (s *testService) startBackend(kind string) *fakes.Backend {
	s.t.Helper()
	backend := s.fleet.NewBackend(fakes.Config{
		Name: kind + "-1", Kind: kind, Zone: "here", Rack: "r", Units: 1,
		Addresses: []addresses.Spec{{Network: addresses.TCP4, Addr: freeAddress(s.t)}},
		Engine: engine.Config{
			Prefills: kind == "reader", Decodes: kind == "writer", Slots: 64, MaxQueued: 300, Blocks: 6000, BlockTokens: 32,
			ChunkTokens: 4096, StepTime: 5 * time.Millisecond, PrefillTokensPerSecond: 50000, KVCacheTTL: 8 * time.Second,
		},
	})
	if err := backend.Boot(false); err != nil {
		s.t.Fatal(err)
	}
	s.discovery.Publish(backend, endpointlist.Ready, 0)
	return backend
}

// post sends a body and returns the status, body and header of the answer. Without an answer the status is 0 and the
// body the error.
func (s *testService) post(path string, body io.Reader) (int, string, http.Header) {
	s.t.Helper()
	resp, err := http.Post(s.baseURL+path, "application/json", body)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), resp.Header
}

const modelPath = "/v2/models/lodge/"

func TestEachRequestFormIsServedEndToEnd(t *testing.T) {
	service := startService(t, nil)
	status, body, _ := service.post(modelPath+"generate", strings.NewReader(
		`{"id":"a","text_input":"is the hut free","parameters":{"grade":"hut-booking","session":"s"}}`))
	if status != 200 || !strings.Contains(body, `"text_output":" word`) ||
		!strings.Contains(body, `"final":"satisfied"`) {
		t.Errorf("generate: %d %s", status, body)
	}
	status, body, _ = service.post(modelPath+"versions/1/infer", strings.NewReader(
		`{"id":"b","inputs":[{"name":"text_input","shape":[1],"datatype":"BYTES","data":["is the hut free"]}]}`))
	if status != 200 || !strings.Contains(body, `"datatype":"BYTES"`) || !strings.Contains(body, `"satisfied"`) {
		t.Errorf("infer: %d %s", status, body)
	}
	status, body, header := service.post(modelPath+"generate_stream", strings.NewReader(
		`{"id":"c","text_input":"x","parameters":{"prompt_tokens":900}}`))
	if status != 200 || header.Get("Content-Type") != "text/event-stream" || strings.Count(body, "data: ") < 5 ||
		!strings.HasSuffix(body, "\n\n") || strings.Count(body, "event: end") != 1 {
		t.Errorf("stream: %d %v %s", status, header, body)
	}
	for path, want := range map[string]int{
		"/v2": 200, "/v2/health/live": 200, modelPath + "ready": 200, "/v2/models/lodge": 200, "/v2/models/other": 404,
		"/v2/models/lodge/versions/7": 404, "/state": 200,
	} {
		resp, err := http.Get(service.baseURL + path)
		if err != nil || resp.StatusCode != want {
			t.Errorf("%s: %v %v, want status %d", path, resp, err, want)
			continue
		}
		resp.Body.Close()
	}
}

// endlessBody is a body that never ends; it comes in pieces.
type endlessBody struct {
	piece string
	wait  time.Duration
}

func (e endlessBody) Read(p []byte) (int, error) {
	time.Sleep(e.wait)
	return copy(p, e.piece), nil
}

func TestInvalidRequestsAreRejectedWithFieldName(t *testing.T) {
	service := startService(t, func(config *setup.DispatcherConfig) { config.Instance.MaxBodyBytes = 64 << 10 })
	for _, c := range []struct {
		method, body string
		status       int
		text         string // part of the answer
	}{
		{"generate", `{"text_input": "x"`, 400, "ends before its JSON"},
		{"generate", `{"text_input": x}`, 400, "no JSON at byte"},
		{"generate", `{"text_input": 7}`, 400, "text_input"},
		{"generate", `{}`, 400, "text_input"},
		{"generate", `{"text_input":"x","parameters":{"max_tokens":-4}}`, 400, "parameters.max_tokens"},
		{"generate", `{"text_input":"x","parameters":{"prompt_tokens":1e12}}`, 400, "parameters.prompt_tokens"},
		{"generate", `{"text_input":"x","parameters":{"timeout":"soon"}}`, 400, "parameters.timeout"},
		{"generate", `{"text_input":"x","parameters":{"grade":"nonesuch"}}`, 400, "parameters.grade"},
		{"generate", `{"text_input":"x","parameters":{"channel":"nonesuch"}}`, 400, "parameters.channel"},
		{"generate", `{"text_input":"` + strings.Repeat("x", 70<<10) + `"}`, 413, "longer than 65536 bytes"},
		{"infer", `{"inputs":[{"name":"a","shape":[-1],"datatype":"BYTES","data":["x"]}]}`, 400, "inputs.0.shape"},
		{"infer", `{"inputs":[{"name":"a","shape":[1],"datatype":"FP32","data":[1]}]}`, 400, "inputs.0.datatype"},
		{"infer", `{"inputs":[]}`, 400, "inputs"},
	} {
		status, body, _ := service.post(modelPath+c.method, strings.NewReader(c.body))
		if status != c.status || !strings.Contains(body, c.text) {
			t.Errorf("%.60s: %d %s, want %d with %q", c.body, status, body, c.status, c.text)
		}
	}
	if status, body, _ := service.post("/v2/models/other/generate", strings.NewReader(`{}`)); status != 404 ||
		!strings.Contains(body, "other") {
		t.Errorf("another model: %d %s", status, body)
	}
	start := time.Now()
	status, body, _ := service.post(modelPath+"generate", endlessBody{" ", 20 * time.Millisecond})
	if took := time.Since(start); took > 3*time.Second || status != 408 {
		t.Errorf("a body that never ends: %d %s after %v", status, body, took)
	}
	for _, event := range service.events.Events() {
		if event.Kind == record.AttemptReceived {
			t.Errorf("an invalid request was sent to a backend: %+v", event)
		}
	}
}

func TestPromptTooLargeForEveryBackendIsRejected(t *testing.T) {
	s := startService(t, nil)
	status, body, _ := s.post(modelPath+"generate", strings.NewReader(
		`{"text_input":"","parameters":{"prompt_tokens":900000,"timeout":900000}}`))
	if status != 503 || !strings.Contains(body, `"final":"declined"`) || !strings.Contains(body, `"harmless":true`) {
		t.Errorf("%d %s", status, body)
	}
}

func TestBrokenStreamEndsWithErrorEvent(t *testing.T) {
	s := startService(t, nil)
	s.decode.UpdateFaults(func(faults *fakes.Faults) { faults.ResetShare = 1 })
	status, body, _ := s.post(modelPath+"generate_stream", strings.NewReader(
		`{"text_input":"x","parameters":{"max_tokens":40}}`))
	if status != 200 || !strings.Contains(body, " word") || strings.Count(body, "event: error") != 1 ||
		!strings.Contains(body, `"final":"forfeited"`) {
		t.Errorf("%d %s", status, body)
	}
}

func TestNonIdempotentRequestFailsAndRunsOnceAfterDecodeConnectionReset(t *testing.T) {
	s := startService(t, nil)
	s.decode.UpdateFaults(func(faults *fakes.Faults) { faults.EarlyResetShare = 1 })
	status, body, _ := s.post(modelPath+"generate", strings.NewReader(
		`{"id":"once","text_input":"x","parameters":{"grade":"hut-booking"}}`))
	if status != 502 || !strings.Contains(body, `"final":"forfeited"`) || strings.Contains(body, `"harmless":true`) {
		t.Errorf("%d %s", status, body)
	}
	ran := 0
	for _, event := range s.events.Events() {
		if event.Kind == record.EffectStarted {
			ran++
		}
	}
	if ran != 1 {
		t.Errorf("ran %d times", ran)
	}
}

func TestRejectionCarriesRetryAfter(t *testing.T) {
	s := startService(t, nil)
	s.prefill.Kill("gone")
	s.decode.Kill("gone")
	s.discovery.Publish(s.prefill, endpointlist.Removed, 0)
	s.discovery.Publish(s.decode, endpointlist.Removed, 0)
	time.Sleep(100 * time.Millisecond)
	status, body, header := s.post(modelPath+"generate", strings.NewReader(
		`{"text_input":"x","parameters":{"timeout":600000}}`))
	var final kserve.FinalResponse
	if json.Unmarshal([]byte(body), &final); status != 503 || final.Outcome != kserve.Rejected || !final.SafeToRetry ||
		final.RetryAfterMs < 100 || final.RetryAfterMs > 500 || header.Get("Retry-After") != "1" {
		t.Errorf("%d %s, Retry-After %q", status, body, header.Get("Retry-After"))
	}
}

// A client that reads nothing must slow down its backend instead of filling the dispatcher's memory, and must be
// disconnected in the end.
func TestSlowClientAppliesBackpressureAndIsDisconnected(t *testing.T) {
	service := startService(t, nil)
	var conns []net.Conn
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range 20 {
		conn, err := net.Dial("tcp", strings.TrimPrefix(service.baseURL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		conn.(*net.TCPConn).SetReadBuffer(4096)
		body := fmt.Sprintf(`{"id":"slow%d","text_input":"x","parameters":{"max_tokens":40}}`, i)
		fmt.Fprintf(conn, "POST %sgenerate_stream HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s",
			modelPath, len(body), body)
		conns = append(conns, conn)
	}
	time.Sleep(700 * time.Millisecond)
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > 32<<20 {
		t.Errorf("20 clients that read nothing cost %d bytes", grown)
	}
	for _, conn := range conns {
		conn.Close()
	}
	service.stop()
}

// A graceful shutdown in the middle of a burst loses no request: those in flight are served, later ones are rejected.
func TestGracefulShutdownMidBurstLosesNoRequest(t *testing.T) {
	service := startService(t, nil)
	const n = 120
	finals := make([]string, n)
	var clients sync.WaitGroup
	for i := range n {
		clients.Add(1)
		go func() {
			defer clients.Done()
			time.Sleep(time.Duration(i) * 4 * time.Millisecond)
			_, body, _ := service.post(modelPath+"generate", strings.NewReader(
				fmt.Sprintf(`{"id":"q%d","text_input":"x","parameters":{"max_tokens":30}}`, i)))
			var final kserve.FinalResponse
			json.Unmarshal([]byte(body), &final)
			finals[i] = final.Outcome
			if final.Outcome == "" {
				finals[i] = body
			}
		}()
	}
	time.Sleep(200 * time.Millisecond)
	service.stop()
	clients.Wait()
	sent := map[string]bool{}
	for _, event := range service.events.Events() {
		if event.Kind == record.AttemptReceived {
			sent[event.Try] = true
		}
	}
	counts := map[string]int{}
	for i, final := range finals {
		if sent[fmt.Sprint("q", i)] && final != kserve.Served && final != kserve.Rejected {
			t.Errorf("q%d was sent to a backend and ended with %q", i, final)
		}
		if strings.Contains(final, "refused") || strings.Contains(final, "EOF") || strings.Contains(final, "reset") {
			final = "unreached" // it came after the listener was closed
		}
		counts[final]++
	}
	if counts[kserve.Served]+counts[kserve.Rejected]+counts["unreached"] != n ||
		counts[kserve.Served] < 10 || counts[kserve.Rejected] < 10 {
		t.Errorf("answers %v", counts)
	}
}

// A graceful shutdown does not wait for a stuck answer longer than configured, and the request still gets its final
// answer.
func TestGracefulShutdownTimeoutFailsOpenRequests(t *testing.T) {
	service := startService(t, func(config *setup.DispatcherConfig) {
		config.Instance.ShutdownTimeout = setup.Duration(400 * time.Millisecond)
	})
	service.decode.UpdateFaults(func(faults *fakes.Faults) { faults.SlowFactor = 50 })
	answer := make(chan string, 1)
	go func() {
		_, body, _ := service.post(modelPath+"generate_stream", strings.NewReader(`{"text_input":"x"}`))
		answer <- body
	}()
	time.Sleep(200 * time.Millisecond)
	start := time.Now()
	service.stop()
	if took := time.Since(start); took > 3*time.Second {
		t.Errorf("the shutdown took %v", took)
	}
	if body := <-answer; !strings.Contains(body, `"final":"forfeited"`) {
		t.Errorf("the stream ended with %q", body)
	}
}

func TestRequestsBeyondOpenLimitAreRejected(t *testing.T) {
	s := startService(t, func(config *setup.DispatcherConfig) { config.Limits.MaxOpenRequests = 2 })
	s.decode.UpdateFaults(func(faults *fakes.Faults) { faults.SlowFactor = 10 })
	var clients sync.WaitGroup
	var mu sync.Mutex
	counts := map[int]int{}
	for range 6 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			status, _, _ := s.post(modelPath+"generate", bytes.NewReader(
				[]byte(`{"text_input":"x","parameters":{"max_tokens":10}}`)))
			mu.Lock()
			counts[status]++
			mu.Unlock()
		}()
	}
	clients.Wait()
	if counts[200] != 2 || counts[503] != 4 {
		t.Errorf("statuses %v", counts)
	}
}
