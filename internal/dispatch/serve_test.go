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
	"sloetrestle/internal/boxlist"
	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/engine"
	"sloetrestle/internal/kserve"
	"sloetrestle/internal/record"
	"sloetrestle/internal/setup"
	"sloetrestle/internal/standin"
)

// house is a dispatcher in this process with a prefill backend and a decode backend beside it.
type house struct {
	t      *testing.T
	d      setup.DispatcherConfig
	book   *record.Recorder
	fleet  *standin.Fleet
	list   *standin.Discovery
	reader *standin.Backend
	writer *standin.Backend
	base   string
	stop   func()
	ended  chan error
}

// open starts everything; all of it has ended when the test has, which goleak looks at.
func open(t *testing.T, change func(*setup.DispatcherConfig)) *house {
	t.Helper()
	before := goleak.IgnoreCurrent()
	h := &house{t: t, d: setup.DefaultDispatcherConfig(), ended: make(chan error, 1)}
	h.d.Classes = []setup.Class{
		{Name: "trail-info", Effect: "idempotent", LatencyTarget: setup.Duration(time.Second), Deadline: setup.Duration(2 * time.Second), Value: 1, DefaultMaxTokens: 40},
		{Name: "hut-booking", Effect: "unrepeatable", LatencyTarget: setup.Duration(time.Second), Deadline: setup.Duration(2 * time.Second), Value: 5, DefaultMaxTokens: 40},
	}
	h.d.BackendKinds = []setup.BackendKind{{Name: "reader", Role: "reader", MemoryTokens: 2e5}, {Name: "writer", Role: "writer", MemoryTokens: 2e5}}
	h.d.Instance.Listen, h.d.Instance.DiscoveryAddr, h.d.Instance.ShutdownTimeout = []string{"127.0.0.1:0"}, address(t), setup.Duration(5*time.Second)
	h.d.Instance.BodyTimeout, h.d.Instance.WriteTimeout, h.d.Instance.Seed = setup.Duration(300*time.Millisecond), setup.Duration(500*time.Millisecond), 5
	h.d.Limits.DecodeCanPrefill = false
	if change != nil {
		change(&h.d)
	}
	var err error
	if h.book, err = record.Open("", record.Header{}); err != nil {
		t.Fatal(err)
	}
	talk := standin.ClassProfile{NewTokens: 200, AnswerTokens: 20, PrefixTokens: 100}
	h.fleet = standin.NewFleet(h.d.Deployment, h.book, standin.Links{SameRack: 1e6, CrossRack: 1e6, ZoneFactor: 1}, map[string]standin.ClassProfile{"trail-info": talk, "hut-booking": talk})
	h.list = h.fleet.NewDiscovery(h.d.Instance.DiscoveryAddr)
	if err := h.list.Start(); err != nil {
		t.Fatal(err)
	}
	h.reader, h.writer = h.box("reader"), h.box("writer")
	ctx, cancel := context.WithCancel(context.Background())
	at := make(chan net.Addr, 1)
	go func() {
		h.ended <- dispatch.Serve(ctx, h.d, slog.New(slog.NewTextHandler(io.Discard, nil)), func(a net.Addr) { at <- a })
	}()
	h.base = "http://" + (<-at).String()
	h.stop = sync.OnceFunc(func() {
		cancel()
		if err := <-h.ended; err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(func() {
		h.stop()
		h.reader.Kill("end")
		h.writer.Kill("end")
		h.list.Stop()
		h.fleet.Close()
		http.DefaultClient.CloseIdleConnections()
		goleak.VerifyNone(t, before)
	})
	for range 200 {
		if resp, err := http.Get(h.base + "/v2/health/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return h
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("never ready")
	return nil
}

func address(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func (h *house) box(kind string) *standin.Backend {
	h.t.Helper()
	b := h.fleet.NewBackend(standin.Config{Name: kind + "-1", Kind: kind, Zone: "here", Rack: "r", Units: 1, Addresses: []addresses.Spec{{Network: addresses.TCP4, Addr: address(h.t)}},
		Engine: engine.Make{Reads: kind == "reader", Writes: kind == "writer", Slots: 64, Queue: 300, Blocks: 6000, BlockTokens: 32, Chunk: 4096, Step: 5 * time.Millisecond,
			ReadPerS: 50000, StateLife: 8 * time.Second}})
	if err := b.Boot(false); err != nil {
		h.t.Fatal(err)
	}
	h.list.Publish(b, boxlist.Ready, 0)
	return b
}

// post sends a body and returns the answer.
func (h *house) post(way string, body io.Reader) (int, string, http.Header) {
	h.t.Helper()
	resp, err := http.Post(h.base+way, "application/json", body)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), resp.Header
}

const lodge = "/v2/models/lodge/"

func TestAQuestionIsCarriedEndToEndInEachForm(t *testing.T) {
	h := open(t, nil)
	status, body, _ := h.post(lodge+"generate", strings.NewReader(`{"id":"a","text_input":"is the hut free","parameters":{"grade":"hut-booking","session":"s"}}`))
	if status != 200 || !strings.Contains(body, `"text_output":" word`) || !strings.Contains(body, `"final":"satisfied"`) {
		t.Errorf("generate: %d %s", status, body)
	}
	status, body, _ = h.post(lodge+"versions/1/infer", strings.NewReader(
		`{"id":"b","inputs":[{"name":"text_input","shape":[1],"datatype":"BYTES","data":["is the hut free"]}]}`))
	if status != 200 || !strings.Contains(body, `"datatype":"BYTES"`) || !strings.Contains(body, `"satisfied"`) {
		t.Errorf("infer: %d %s", status, body)
	}
	status, body, head := h.post(lodge+"generate_stream", strings.NewReader(`{"id":"c","text_input":"x","parameters":{"prompt_tokens":900}}`))
	if status != 200 || head.Get("Content-Type") != "text/event-stream" || strings.Count(body, "data: ") < 5 || !strings.HasSuffix(body, "\n\n") ||
		strings.Count(body, "event: end") != 1 {
		t.Errorf("stream: %d %v %s", status, head, body)
	}
	for way, want := range map[string]int{"/v2": 200, "/v2/health/live": 200, lodge + "ready": 200, "/v2/models/lodge": 200, "/v2/models/other": 404,
		"/v2/models/lodge/versions/7": 404, "/state": 200} {
		resp, err := http.Get(h.base + way)
		if err != nil || resp.StatusCode != want {
			t.Errorf("%s: %v %v, not %d", way, resp, err, want)
			continue
		}
		resp.Body.Close()
	}
}

// endless is a body that goes on, in pieces.
type endless struct {
	piece string
	wait  time.Duration
}

func (e endless) Read(p []byte) (int, error) {
	time.Sleep(e.wait)
	return copy(p, e.piece), nil
}

func TestWhatMakesNoSenseIsRefusedByName(t *testing.T) {
	h := open(t, func(d *setup.DispatcherConfig) { d.Instance.MaxBodyBytes = 64 << 10 })
	for _, c := range []struct {
		way, body string
		status    int
		says      string
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
		status, body, _ := h.post(lodge+c.way, strings.NewReader(c.body))
		if status != c.status || !strings.Contains(body, c.says) {
			t.Errorf("%.60s: %d %s, not %d with %q", c.body, status, body, c.status, c.says)
		}
	}
	if status, body, _ := h.post("/v2/models/other/generate", strings.NewReader(`{}`)); status != 404 || !strings.Contains(body, "other") {
		t.Errorf("another model: %d %s", status, body)
	}
	began := time.Now()
	status, body, _ := h.post(lodge+"generate", endless{" ", 20 * time.Millisecond})
	if took := time.Since(began); took > 3*time.Second || status != 408 {
		t.Errorf("a body that never ends: %d %s after %v", status, body, took)
	}
	for _, l := range h.book.Events() {
		if l.Kind == record.AttemptReceived {
			t.Errorf("a senseless question went out: %+v", l)
		}
	}
}

func TestAPromptLargerThanAnyBoxIsGivenAFinalAnswer(t *testing.T) {
	h := open(t, nil)
	status, body, _ := h.post(lodge+"generate", strings.NewReader(`{"text_input":"","parameters":{"prompt_tokens":900000,"timeout":900000}}`))
	if status != 503 || !strings.Contains(body, `"final":"declined"`) || !strings.Contains(body, `"harmless":true`) {
		t.Errorf("%d %s", status, body)
	}
}

func TestABrokenStreamEndsWithAnErrorEvent(t *testing.T) {
	h := open(t, nil)
	h.writer.UpdateFaults(func(f *standin.Faults) { f.ResetShare = 1 })
	status, body, _ := h.post(lodge+"generate_stream", strings.NewReader(`{"text_input":"x","parameters":{"max_tokens":40}}`))
	if status != 200 || !strings.Contains(body, " word") || strings.Count(body, "event: error") != 1 || !strings.Contains(body, `"final":"forfeited"`) {
		t.Errorf("%d %s", status, body)
	}
}

func TestAnUnrepeatableQuestionWhoseWriterResetsIsForfeitedAndItsStateGone(t *testing.T) {
	h := open(t, nil)
	h.writer.UpdateFaults(func(f *standin.Faults) { f.EarlyResetShare = 1 })
	status, body, _ := h.post(lodge+"generate", strings.NewReader(`{"id":"once","text_input":"x","parameters":{"grade":"hut-booking"}}`))
	if status != 502 || !strings.Contains(body, `"final":"forfeited"`) || strings.Contains(body, `"harmless":true`) {
		t.Errorf("%d %s", status, body)
	}
	ran := 0
	for _, l := range h.book.Events() {
		if l.Kind == record.EffectStarted {
			ran++
		}
	}
	if ran != 1 {
		t.Errorf("ran %d times", ran)
	}
}

func TestADeclineSaysWhenToComeBack(t *testing.T) {
	h := open(t, nil)
	h.reader.Kill("gone")
	h.writer.Kill("gone")
	h.list.Publish(h.reader, boxlist.Removed, 0)
	h.list.Publish(h.writer, boxlist.Removed, 0)
	time.Sleep(100 * time.Millisecond)
	status, body, head := h.post(lodge+"generate", strings.NewReader(`{"text_input":"x","parameters":{"timeout":600000}}`))
	var f kserve.FinalResponse
	if json.Unmarshal([]byte(body), &f); status != 503 || f.Outcome != kserve.Rejected || !f.SafeToRetry || f.RetryAfterMs < 100 || f.RetryAfterMs > 500 || head.Get("Retry-After") != "1" {
		t.Errorf("%d %s, Retry-After %q", status, body, head.Get("Retry-After"))
	}
}

// A client that reads nothing must hold its backend back, not fill the dispatcher's memory; and be let go in the end.
func TestASlowReaderHoldsItsBoxBackAndIsLetGo(t *testing.T) {
	h := open(t, nil)
	var conns []net.Conn
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range 20 {
		c, err := net.Dial("tcp", strings.TrimPrefix(h.base, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		c.(*net.TCPConn).SetReadBuffer(4096)
		body := fmt.Sprintf(`{"id":"slow%d","text_input":"x","parameters":{"max_tokens":40}}`, i)
		fmt.Fprintf(c, "POST %sgenerate_stream HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", lodge, len(body), body)
		conns = append(conns, c)
	}
	time.Sleep(700 * time.Millisecond)
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > 32<<20 {
		t.Errorf("20 clients that read nothing cost %d bytes", grown)
	}
	for _, c := range conns {
		c.Close()
	}
	h.stop()
}

// Stopping mid-burst loses no request: those that are taken end, those that come later are declined.
func TestStoppingMidBurstLosesNoQuestion(t *testing.T) {
	h := open(t, nil)
	const n = 120
	words := make([]string, n)
	var asking sync.WaitGroup
	for i := range n {
		asking.Add(1)
		go func() {
			defer asking.Done()
			time.Sleep(time.Duration(i) * 4 * time.Millisecond)
			_, body, _ := h.post(lodge+"generate", strings.NewReader(fmt.Sprintf(`{"id":"q%d","text_input":"x","parameters":{"max_tokens":30}}`, i)))
			var f kserve.FinalResponse
			json.Unmarshal([]byte(body), &f)
			words[i] = f.Outcome
			if f.Outcome == "" {
				words[i] = body
			}
		}()
	}
	time.Sleep(200 * time.Millisecond)
	h.stop()
	asking.Wait()
	taken := map[string]bool{}
	for _, l := range h.book.Events() {
		if l.Kind == record.AttemptReceived {
			taken[l.Try] = true
		}
	}
	counts := map[string]int{}
	for i, w := range words {
		if taken[fmt.Sprint("q", i)] && w != kserve.Served && w != kserve.Rejected {
			t.Errorf("q%d was taken and ended with %q", i, w)
		}
		if strings.Contains(w, "refused") || strings.Contains(w, "EOF") || strings.Contains(w, "reset") {
			w = "unreached" // it came when the listener had closed
		}
		counts[w]++
	}
	if counts[kserve.Served]+counts[kserve.Rejected]+counts["unreached"] != n || counts[kserve.Served] < 10 || counts[kserve.Rejected] < 10 {
		t.Errorf("answers %v", counts)
	}
}

// A stop that waits for a stuck answer is bounded, and the request gets its final answer.
func TestStoppingForfeitsWhatDoesNotEnd(t *testing.T) {
	h := open(t, func(d *setup.DispatcherConfig) { d.Instance.ShutdownTimeout = setup.Duration(400 * time.Millisecond) })
	h.writer.UpdateFaults(func(f *standin.Faults) { f.SlowFactor = 50 })
	got := make(chan string, 1)
	go func() {
		_, body, _ := h.post(lodge+"generate_stream", strings.NewReader(`{"text_input":"x"}`))
		got <- body
	}()
	time.Sleep(200 * time.Millisecond)
	began := time.Now()
	h.stop()
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("stopping took %v", took)
	}
	if body := <-got; !strings.Contains(body, `"final":"forfeited"`) {
		t.Errorf("the stream ended with %q", body)
	}
}

func TestTooManyOpenQuestionsAreDeclinedAtTheDoor(t *testing.T) {
	h := open(t, func(d *setup.DispatcherConfig) { d.Limits.MaxOpenRequests = 2 })
	h.writer.UpdateFaults(func(f *standin.Faults) { f.SlowFactor = 10 })
	var all sync.WaitGroup
	var mu sync.Mutex
	counts := map[int]int{}
	for range 6 {
		all.Add(1)
		go func() {
			defer all.Done()
			status, _, _ := h.post(lodge+"generate", bytes.NewReader([]byte(`{"text_input":"x","parameters":{"max_tokens":10}}`)))
			mu.Lock()
			counts[status]++
			mu.Unlock()
		}()
	}
	all.Wait()
	if counts[200] != 2 || counts[503] != 4 {
		t.Errorf("statuses %v", counts)
	}
}
