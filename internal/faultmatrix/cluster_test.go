// Package faultmatrix tests every fault at every stage of a request, with a real dispatcher and misbehaving backends,
// and checks the five rules of the service on what clients and backends recorded. It contains tests only and
// injects no fault into a dispatcher's own code. Begin with the table in table_test.go.
package faultmatrix

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"sloetrestle/internal/addresses"
	"sloetrestle/internal/checker"
	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/endpointlist"
	"sloetrestle/internal/fakes"
	"sloetrestle/internal/kserve"
	"sloetrestle/internal/record"
	"sloetrestle/internal/setup"
)

// testCluster is a real dispatcher on loopback with scripted backends, which answer in ways that no engine would.
type testCluster struct {
	t          *testing.T
	config     setup.DispatcherConfig
	recording  *record.Recorder
	clients    *fakes.Clients
	addr       string // of the dispatcher
	stop       func()
	backends   map[string]*testBackend
	faultCount atomic.Int64 // how often the scripted fault took effect

	mu             sync.Mutex
	lastAttempts   map[string]*call        // the latest attempt received, by request key
	kvCaches       map[string]*testBackend // the backend that holds each KV cache, by request key
	executed       map[string]bool         // deduplication keys of requests that have had their effect
	updates        chan string             // further lines of service discovery
	lastUpdate     string                  // the latest full update
	version        uint64
	discoveryDown  bool
	discoveryConns atomic.Int64 // connections to service discovery so far
}

// testBackend answers as its handlers say. A nil handler behaves as a healthy backend.
type testBackend struct {
	cluster   *testCluster
	name      string
	kind      string
	server    *http.Server
	addr      string
	onAttempt func(c *call)
	onRelease func(c *call)
	onProbe   func(c *call)
	attempts  atomic.Int64
	conns     atomic.Int64
}

// call is one HTTP request at a backend.
type call struct {
	backend       *testBackend
	w             http.ResponseWriter
	r             *http.Request
	params        kserve.AttemptParams
	attemptNumber int64 // of this backend's attempts, from 1
	ended         atomic.Bool
}

// connKey is the key of the request context's value that is the connection.
type connKey struct{}

// closedByPeer reports whether the dispatcher has closed the connection, which the kernel knows before the handler
// does.
func (c *call) closedByPeer() bool {
	raw, err := c.r.Context().Value(connKey{}).(*net.TCPConn).SyscallConn()
	if err != nil {
		return true // this side has closed it as well
	}
	closed := true
	raw.Control(func(fd uintptr) {
		events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(events, 0)
		closed = err == nil && n > 0
	})
	return closed
}

func (c *call) record(what, word string) {
	c.backend.cluster.recording.Record(record.Event{Kind: what, Detail: word, Backend: c.backend.name,
		Try:   c.params.DedupKey,
		Class: c.params.Class, RequestKey: c.params.RequestKey(), Phase: c.params.Phase, Attempt: c.params.Attempt})
}

func (c *call) finish(word string) {
	if !c.ended.Swap(true) {
		c.record(record.AttemptEnded, word)
	}
}

// countFault counts that the fault took effect.
func (c *call) countFault() { c.backend.cluster.faultCount.Add(1) }

// hijack takes over the connection and writes bytes that the HTTP library would not.
func (c *call) hijack(text string) net.Conn {
	conn, _, err := c.w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	io.WriteString(conn, text)
	return conn
}

// writeAndClose writes bytes and closes the connection.
func (c *call) writeAndClose(text string) { c.hijack(text).Close() }

// respond sends an answer without a stream.
func (c *call) respond(status int, outcome string) {
	c.finish(outcome) // recorded before the dispatcher can observe the answer
	kserve.WriteJSON(c.w, status, kserve.AttemptResult{Outcome: outcome})
}

// prefill holds a KV cache and reports success.
func (c *call) prefill() {
	c.holdKVCache()
	c.respond(http.StatusOK, kserve.OutcomePrefilled)
}

func (c *call) holdKVCache() {
	c.backend.cluster.mu.Lock()
	c.backend.cluster.kvCaches[c.params.RequestKey()] = c.backend
	c.backend.cluster.mu.Unlock()
	c.record(record.KVCacheHeld, "")
}

// takeKVCache transfers the KV cache of the request to this backend. It reports false if no backend holds one.
func (c *call) takeKVCache() bool {
	return c.backend.cluster.releaseKVCache(c.params.RequestKey(), "taken")
}

func (s *testCluster) releaseKVCache(key, why string) bool {
	s.mu.Lock()
	b := s.kvCaches[key]
	delete(s.kvCaches, key)
	s.mu.Unlock()
	if b != nil {
		s.recording.Record(record.Event{Kind: record.KVCacheReleased, Detail: why, Backend: b.name, RequestKey: key})
	}
	return b != nil
}

// writeEvent writes one event of a stream.
func (c *call) writeEvent(name string, v any) {
	kserve.WriteEvent(c.w, name, v)
	c.flush()
}

func (c *call) flush() { http.NewResponseController(c.w).Flush() }

// execute records the effect of the attempt. A repeat of a deduplicated request has none.
func (c *call) execute() {
	s := c.backend.cluster
	s.mu.Lock()
	repeated := s.executed[c.params.DedupKey]
	s.executed[c.params.DedupKey] = true
	s.mu.Unlock()
	if repeated && c.params.Class == "deduplicated" {
		c.record(record.DuplicateDropped, "")
		return
	}
	c.record(record.EffectStarted, "")
}

// startStream opens a stream and writes the first token, after the effect is recorded.
func (c *call) startStream() {
	c.execute()
	c.w.Header().Set("Content-Type", "text/event-stream")
	c.writeEvent("", kserve.Token{Text: " one"})
}

// streamAnswer streams a complete answer.
func (c *call) streamAnswer() {
	c.startStream()
	c.writeEvent("", kserve.Token{Text: " two"})
	c.writeEvent("end", kserve.AttemptResult{Outcome: kserve.OutcomeCompleted})
	c.finish(kserve.OutcomeCompleted)
}

// serve behaves as a healthy backend.
func (c *call) serve() {
	switch {
	case c.params.Phase == kserve.PhasePrefill:
		c.prefill()
	case c.params.Phase == kserve.PhaseDecode && !c.takeKVCache():
		c.respond(http.StatusServiceUnavailable, kserve.OutcomeNoKVCache)
	default:
		c.streamAnswer()
	}
}

func (b *testBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(kserve.AttemptHeader, r.Header.Get(kserve.AttemptHeader))
	c := &call{backend: b, w: w, r: r}
	switch {
	case r.Method == http.MethodGet && b.onProbe != nil:
		b.onProbe(c)
	case r.Method == http.MethodGet:
		kserve.WriteJSON(w, http.StatusOK, map[string]string{"name": b.name})
	case r.URL.Path == "/v2/models/lodge/release":
		if b.onRelease != nil {
			b.onRelease(c)
			return
		}
		c.serveRelease()
	default:
		params, _, err := kserve.ReadAttemptParams(r.Body)
		if err != nil {
			kserve.WriteError(w, err)
			return
		}
		c.params, c.attemptNumber = params, b.attempts.Add(1)
		b.cluster.receive(c)
		stopWatching := context.AfterFunc(r.Context(), func() { c.record(record.AttemptClosed, "") })
		defer stopWatching()
		defer c.finish("broke")
		if b.onAttempt != nil {
			b.onAttempt(c)
			return
		}
		c.serve()
	}
}

// receive records that an attempt has been received. Where the dispatcher had closed the connection of the request's
// attempt before, that one is recorded as ended first: on a busy machine its handler may learn of it much later.
func (s *testCluster) receive(c *call) {
	s.mu.Lock()
	previous := s.lastAttempts[c.params.RequestKey()]
	s.lastAttempts[c.params.RequestKey()] = c
	s.mu.Unlock()
	if previous != nil && previous.closedByPeer() {
		previous.finish("closed")
	}
	c.record(record.AttemptReceived, "")
}

func (c *call) serveRelease() {
	refs, err := kserve.ReadReleases(c.r.Body)
	if err != nil {
		kserve.WriteError(c.w, err)
		return
	}
	for _, x := range refs {
		c.backend.cluster.releaseKVCache(x.RequestKey, "released")
	}
	kserve.WriteJSON(c.w, http.StatusOK, map[string]int{"released": len(refs)})
}

// startCluster starts a dispatcher with one prefill and two decode backends. change may alter settings first.
func startCluster(t *testing.T, change func(*testCluster)) *testCluster {
	t.Helper()
	s := &testCluster{t: t, config: setup.DefaultDispatcherConfig(), backends: map[string]*testBackend{},
		kvCaches: map[string]*testBackend{}, lastAttempts: map[string]*call{}, executed: map[string]bool{},
		updates: make(chan string, 64)}
	s.config.Classes = nil
	for _, effect := range []string{"idempotent", "deduplicated", "unrepeatable"} {
		s.config.Classes = append(s.config.Classes, setup.Class{Name: effect, Effect: effect, DedupScope: "all",
			DedupWindow: setup.Duration(time.Second), LatencyTarget: setup.Duration(600 * time.Millisecond),
			Deadline: setup.Duration(1200 * time.Millisecond), Value: 1, DefaultMaxTokens: 8})
	}
	s.config.BackendKinds = []setup.BackendKind{
		{Name: "reader", Role: "reader", MemoryTokens: 2e5},
		{Name: "writer", Role: "writer", MemoryTokens: 2e5},
		{Name: "mixed", Role: "mixed", MemoryTokens: 2e5},
	}
	s.config.Instance.Name, s.config.Instance.Listen, s.config.Instance.Seed, s.config.Instance.ShutdownTimeout =
		"d", []string{"127.0.0.1:0"}, 5, setup.Duration(time.Second)
	// Wide enough that a delay on a busy machine is not reported as a violation.
	s.config.Instance.ResponseMargin = setup.Duration(150 * time.Millisecond)
	s.config.Limits.DecodeCanPrefill, s.config.Limits.StallTimeout, s.config.Rules.KVCacheHoldLimit =
		false, setup.Duration(300*time.Millisecond), setup.Duration(300*time.Millisecond)
	var err error
	if s.recording, err = record.Open("", record.Header{}); err != nil {
		t.Fatal(err)
	}
	for _, kind := range []string{"reader", "writer", "writer"} {
		s.addBackend(kind)
	}
	if change != nil {
		change(s)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.config.Instance.DiscoveryAddr = listener.Addr().String()
	if s.discoveryDown {
		s.config.Instance.DiscoveryAddr = "127.0.0.1:1" // no listener at this address
	}
	discovery := &http.Server{Handler: http.HandlerFunc(s.serveDiscovery), ErrorLog: log.New(io.Discard, "", 0)}
	go discovery.Serve(listener)
	s.buildFullUpdate()
	ctx, cancel := context.WithCancel(context.Background())
	addrs, ended := make(chan net.Addr, 1), make(chan error, 1)
	go func() {
		ended <- dispatch.Serve(ctx, s.config, slog.New(slog.NewTextHandler(io.Discard, nil)),
			func(a net.Addr) { addrs <- a })
	}()
	select {
	case a := <-addrs:
		s.addr = a.String()
	case err := <-ended:
		t.Fatal(err)
	}
	s.clients = fakes.NewClients(s.recording, "lodge", func(uint64) (string, string) { return "d", s.addr })
	s.stop = sync.OnceFunc(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(func() {
		s.stop()
		s.clients.Close()
		for _, b := range s.backends {
			b.server.Close()
		}
		discovery.Close()
		http.DefaultClient.CloseIdleConnections()
	})
	s.waitFor("the dispatcher to be ready", func() bool { return s.ready() })
	return s
}

func (s *testCluster) ready() bool {
	resp, err := http.Get("http://" + s.addr + "/v2/health/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitFor polls until the condition holds and fails the test after at least five seconds.
func (s *testCluster) waitFor(what string, condition func() bool) {
	s.t.Helper()
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	s.t.Fatalf("timed out after at least 5 s waiting for %s", what)
}

// addBackend starts a backend of a kind.
func (s *testCluster) addBackend(kind string) *testBackend {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	b := &testBackend{cluster: s, kind: kind, name: fmt.Sprintf("%s-%d", kind, len(s.backends)),
		addr: l.Addr().String()}
	b.server = &http.Server{Handler: b, ErrorLog: log.New(io.Discard, "", 0),
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
		ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				b.conns.Add(1)
			}
		}}
	go b.server.Serve(l)
	s.backends[b.name] = b
	return b
}

// eachBackend calls visit with every backend of a kind.
func (s *testCluster) eachBackend(kind string, visit func(*testBackend)) {
	for _, b := range s.backends {
		if b.kind == kind {
			visit(b)
		}
	}
}

func (b *testBackend) endpoint(state string) endpointlist.Endpoint {
	return endpointlist.Endpoint{Name: b.name, Addresses: []addresses.Spec{{Network: addresses.TCP4, Addr: b.addr}},
		Kind: b.kind, Zone: "here", Rack: "r", State: state, Units: 1, UptimeMs: -1}
}

// serveDiscovery serves the endpoint list: the latest full update, further lines of updates, and a heartbeat.
func (s *testCluster) serveDiscovery(w http.ResponseWriter, r *http.Request) {
	heartbeat := time.NewTicker(time.Second)
	defer heartbeat.Stop()
	s.discoveryConns.Add(1)
	s.mu.Lock()
	initial := s.lastUpdate
	s.mu.Unlock()
	for {
		line := initial
		if initial = ""; line != "" {
			io.WriteString(w, line+"\n")
			http.NewResponseController(w).Flush()
			continue
		}
		select {
		case line = <-s.updates:
		case <-heartbeat.C:
			s.mu.Lock()
			line = fmt.Sprintf(`{"version":%d,"base":%d}`, s.version, s.version)
			s.mu.Unlock()
		case <-r.Context().Done():
			return
		}
		io.WriteString(w, line+"\n")
		http.NewResponseController(w).Flush()
	}
}

// buildFullUpdate makes lastUpdate a full list with every backend ready, except those in overrides.
func (s *testCluster) buildFullUpdate(overrides ...endpointlist.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	update := endpointlist.Update{Version: s.version, Full: true}
	for _, b := range s.backends {
		if i := slices.IndexFunc(overrides, func(l endpointlist.Endpoint) bool { return l.Name == b.name }); i >= 0 {
			update.Endpoints = append(update.Endpoints, overrides[i])
		} else {
			update.Endpoints = append(update.Endpoints, b.endpoint(endpointlist.Ready))
		}
	}
	slices.SortFunc(update.Endpoints, func(a, b endpointlist.Endpoint) int { return len(a.Name) - len(b.Name) })
	raw, err := json.Marshal(update)
	if err != nil {
		panic(err)
	}
	s.lastUpdate = string(raw)
}

// newRequest returns a request of a class.
func newRequest(name, class string) fakes.Request {
	return fakes.Request{Name: name, Class: class, Session: name, PromptTokens: 500, MaxTokens: 8,
		LatencyTarget: 600 * time.Millisecond, Deadline: 1200 * time.Millisecond, PatienceShare: 1}
}

// submit sends perClass requests of each class concurrently and waits for all answers.
func (s *testCluster) submit(perClass int, change func(*fakes.Request)) {
	var pending sync.WaitGroup
	for i := range perClass {
		for _, class := range s.config.Classes {
			request := newRequest(fmt.Sprintf("%s-%d", class.Name, i), class.Name)
			if change != nil {
				change(&request)
			}
			pending.Go(func() { s.clients.Submit(context.Background(), request) })
		}
	}
	pending.Wait()
}

// finals counts the final answers that clients received, by outcome.
func (s *testCluster) finals() map[string]int {
	n := map[string]int{}
	for _, l := range s.recording.Events() {
		if l.Kind == record.FinalAnswer {
			n[l.Detail]++
		}
	}
	return n
}

// expectServed checks how many requests were served.
func (s *testCluster) expectServed(want int) {
	s.t.Helper()
	if f := s.finals(); f[kserve.Served] != want {
		s.t.Errorf("%d requests served, want %d; final answers: %v", f[kserve.Served], want, f)
	}
}

// heldKVCaches returns the number of KV caches that backends hold.
func (s *testCluster) heldKVCaches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.kvCaches)
}

// checkRules stops the dispatcher and checks the recording against the five rules. The fault must have taken effect.
func (s *testCluster) checkRules() checker.Verdict {
	s.t.Helper()
	s.stop()
	verdict := checker.Check(record.Header{Scenario: s.t.Name(), Terms: s.config.Deployment}, s.recording.Events())
	if !verdict.Passed() || verdict.Tries == 0 {
		s.t.Errorf("rules broken or nothing submitted: %d tries\n%s", verdict.Tries, verdict.Text())
	}
	if s.faultCount.Load() == 0 {
		s.t.Error("the fault never took effect, so the run tests nothing")
	}
	return verdict
}

// post sends a request to one of the model's endpoints, and returns the status and the body of the answer.
func (s *testCluster) post(endpoint, body string) (status int, answer string) {
	s.t.Helper()
	resp, err := http.Post("http://"+s.addr+"/v2/models/lodge/"+endpoint, "application/json", strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw)
}

// readState returns the dispatcher's /state report.
func (s *testCluster) readState() map[string]any {
	resp, err := http.Get("http://" + s.addr + "/state")
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	state := map[string]any{}
	if err := json.NewDecoder(bufio.NewReader(resp.Body)).Decode(&state); err != nil {
		s.t.Fatal(err)
	}
	return state
}
