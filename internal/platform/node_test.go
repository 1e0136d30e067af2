package platform

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"sloetrestle/brain"
	"sloetrestle/internal/hosts"
	"sloetrestle/internal/system"
)

// quiet is a log that nobody reads.
var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// house is a dispatcher in this process with a prefill backend and two decode backends.
type testCluster struct {
	t        *testing.T
	site     *hosts.Platform
	agent    *hosts.Agent
	prefill  *hosts.Backend
	decoders []*hosts.Backend
	node     *node
	address  string
	again    chan os.Signal
	read     func() (Config, error)
	quit     context.CancelFunc
	ended    chan error
	ids      int
	system   system.System
}

// open starts everything; all of it has ended when the test has, and the backends saw no rule broken.
func startCluster(t *testing.T, change func(h *testCluster, p *Config)) *testCluster {
	t.Helper()
	before := goleak.IgnoreCurrent()
	h := &testCluster{t: t, site: hosts.New(), again: make(chan os.Signal, 1), ended: make(chan error, 1), system: system.Real()}
	h.prefill = h.site.AddBackend("r1", hosts.PrefillKind)
	h.decoders = []*hosts.Backend{h.site.AddBackend("w1", hosts.DecodeKind), h.site.AddBackend("w2", hosts.DecodeKind)}
	h.agent = h.site.AddAgent()
	p := Config{Name: "n1", Listen: "127.0.0.1:0", Discovery: h.agent.Address, Seed: "8c1f30d27a5be964"}
	if err := json.Unmarshal([]byte(hosts.Settings), &p.Settings); err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(h, &p)
	}
	var err error
	if h.node, err = open(context.Background(), p, h.system, discardLog); err != nil {
		t.Fatal(err)
	}
	h.address = h.node.limiter.Addr().String()
	h.read = func() (Config, error) { return p, nil }
	ctx, quit := context.WithCancel(context.Background())
	h.quit = quit
	go func() { h.ended <- h.node.run(ctx, h.again, func() (Config, error) { return h.read() }) }()
	h.await("the dispatcher is ready", func() bool {
		resp, err := http.Get("http://" + h.address + "/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == 200
	})
	http.DefaultClient.CloseIdleConnections()
	t.Cleanup(func() {
		h.quit()
		select {
		case err := <-h.ended:
			if err != nil {
				t.Error(err)
			}
		case <-time.After(15 * time.Second):
			t.Error("it does not end")
		}
		for _, f := range h.site.Violations {
			t.Error("rule broken: " + f)
		}
		if broken := h.node.monitor.Counts(); broken != "" {
			t.Error("rules broken, as the monitor counts: " + broken)
		}
		h.site.Close()
		goleak.VerifyNone(t, before)
	})
	return h
}

// until waits for something to become true.
func (h *testCluster) await(what string, is func() bool) {
	h.t.Helper()
	for end := time.Now().Add(8 * time.Second); !is(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			h.t.Fatal("it never came to be that " + what)
		}
	}
}

// write has both decode backends answer so; first only the first attempt to either, and the others well.
func (h *testCluster) onDecode(do func(e *hosts.Exchange) bool) {
	for _, w := range h.decoders {
		w.Handler = do
	}
}

func (h *testCluster) first(do func(e *hosts.Exchange) bool) {
	h.onDecode(func(e *hosts.Exchange) bool {
		if e.Method == "POST" && len(h.site.Requests("w1", "POST"))+len(h.site.Requests("w2", "POST")) == 1 {
			return do(e)
		}
		return e.Serve()
	})
}

// holdReads has the prefill backend hold a state for each request and answer none; what comes is handed over.
func (h *testCluster) holdPrefills() <-chan *hosts.Exchange {
	there := make(chan *hosts.Exchange, 1)
	h.prefill.Handler = func(e *hosts.Exchange) bool {
		if e.Method != "POST" {
			return e.Serve()
		}
		e.HoldKVCache()
		there <- e
		<-e.ClientClosed
		return false
	}
	return there
}

// settled waits until nothing is out, held or open, at the dispatcher as at the backends: rule 5, and every count back at nought.
func (h *testCluster) awaitIdle() {
	h.t.Helper()
	h.await("nothing is left of the questions", func() bool {
		still := h.site.InFlight() + h.site.HeldCount() + int(h.node.frontend.openRequests.Load()) + int(h.node.frontend.bodyBytes.Load()) + int(h.node.transport.releasing.Load())
		h.node.loop.Call(context.Background(), func() {
			for _, b := range []*hosts.Backend{h.prefill, h.decoders[0], h.decoders[1]} {
				if m := h.node.loop.SchedulerBackend(b.UID); m != nil && (m.Streams != 0 || m.KVTokens != 0 || m.PrefillBacklog != 0) {
					still++
				}
			}
		})
		return still == 0
	})
}

// ask is a client's request as text.
func (h *testCluster) request(class string, change ...string) string {
	h.ids++
	raw := fmt.Sprintf("POST /v1/chat/completions?x=1 HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: q%d\r\nX-Priority-Class: %s\r\nX-Tenant-Id: web-app\r\n"+
		"X-Route-Key: s%d\r\nX-Timeout-Ms: 3000\r\nX-Attrs: prefix=ab,prompt_len=400,prefix_len=100,max_out=50\r\nContent-Length: 12\r\n\r\n{\"model\":\"\"}", h.ids, class, h.ids)
	return strings.NewReplacer(change...).Replace(raw)
}

// chunked is a client's request whose body comes in chunks.
func (h *testCluster) chunkedRequest(class, body string) string {
	return h.request(class, "Content-Length: 12", "Transfer-Encoding: chunked", `{"model":""}`, body)
}

// client is one connection.
type testClient struct {
	net.Conn
	reader *bufio.Reader
}

func (h *testCluster) dial() *testClient {
	h.t.Helper()
	c, err := net.Dial("tcp", h.address)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second))
	return &testClient{c, bufio.NewReader(c)}
}

// said is what came back: a status of 0 is a close without an answer, whole tells whether the answer ended in good order.
type response struct {
	status   int
	after    string
	closes   bool
	text     string
	complete bool
}

func (c *testClient) readResponse() response {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return response{}
	}
	text, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header.Get("Retry-After"), resp.Close, string(text), err == nil}
}

func (h *testCluster) send(raw string) response {
	h.t.Helper()
	c := h.dial()
	io.WriteString(c, raw)
	return c.readResponse()
}

func TestAQuestionGoesThroughByteForByte(t *testing.T) {
	h := startCluster(t, nil)
	got := h.send(h.request("hut-booking"))
	if got.status != 200 || got.text != hosts.TextEvent("a")+hosts.TextEvent("b")+hosts.UsageEvent+hosts.DoneEvent || !got.complete {
		t.Errorf("%+v", got)
	}
	for _, e := range h.site.Requests("", "POST") {
		if e.URI != "/v1/chat/completions?x=1" || e.Body != `{"model":""}` || e.ID != "q1" || e.Header.Get("X-Timeout-Ms") == "" {
			t.Errorf("%s %s %q as %s, %v", e.Backend.UID, e.URI, e.Body, e.ID, e.Header)
		}
	}
	h.awaitIdle()
	h.node.loop.Call(context.Background(), func() {
		if r := h.node.loop.SchedulerBackend("r1"); r.Util != 0.5 || r.QueueLength != 2 {
			t.Errorf("the reader's report is taken for %g, %g", r.Util, r.QueueLength)
		}
	})
}

// A body may come in chunks of any size, with extensions and trailers; it goes on byte for byte. Requests behind it are served too.
func TestABodyInChunksGoesThrough(t *testing.T) {
	h := startCluster(t, nil)
	for name, body := range map[string]string{
		"one chunk":     "c\r\n{\"model\":\"\"}\r\n0\r\n\r\n",
		"many chunks":   "1\r\n{\r\n7;a=b\r\n\"model\"\r\n0004\r\n:\"\"}\r\n0\r\n\r\n",
		"with trailers": "c\r\n{\"model\":\"\"}\r\n0\r\nA: b\r\nC: d\r\n\r\n",
	} {
		before := len(h.site.Requests("", "POST"))
		c := h.dial()
		for _, b := range []byte(h.chunkedRequest("hut-booking", body)) { // in pieces of a byte
			c.Write([]byte{b})
		}
		io.WriteString(c, h.request("hut-booking"))
		for range 2 {
			if got := c.readResponse(); got.status != 200 || !got.complete || got.closes {
				t.Errorf("%s: %+v", name, got)
			}
		}
		seen := h.site.Requests("", "POST")
		if len(seen) != before+4 {
			t.Errorf("%s: %d attempts", name, len(seen)-before)
		}
		for _, e := range seen[before:] {
			if e.Body != `{"model":""}` || e.Header.Get("Content-Length") != "12" {
				t.Errorf("%s: %q, %v", name, e.Body, e.Header)
			}
		}
		c.Close()
	}
	h.awaitIdle()
}

// What ends an attempt at the decode backend, and what the client of an unrepeatable and of an idempotent request gets then. Where the attempt is
// proven not to have run, another may follow for both.
func TestEachEndOfATripIsTakenForWhatItProves(t *testing.T) {
	spoilt := func(raw string) func(e *hosts.Exchange) bool {
		return func(e *hosts.Exchange) bool { e.WriteRaw(raw); <-e.ClientClosed; return false }
	}
	says := func(raw string) func(e *hosts.Exchange) bool {
		return func(e *hosts.Exchange) bool { return e.WriteRaw(raw) }
	}
	for _, c := range []struct {
		name string
		do   func(e *hosts.Exchange) bool
		once int // the status that the client of an unrepeatable request gets
	}{
		{"turned away", says(hosts.Rejection(503, true)), 200},
		{"over at the box", says(hosts.Rejection(504, true)), 200},
		{"state gone", says(hosts.Rejection(410, true)), 200},
		{"503 of somebody", says(hosts.Rejection(503, false)), 502},
		{"error", says(hosts.Rejection(500, false)), 502},
		{"reset", func(*hosts.Exchange) bool { return false }, 502},
		{"noise", spoilt("\x00\x01\x02\x03 noise\r\n\r\n"), 502},
		{"endless head", spoilt("HTTP/1.1 200 OK\r\n" + strings.Repeat("X-A: b\r\n", 9000)), 502},
		{"a head that stops", spoilt("HTTP/1.1 200 OK\r\nX-"), 502},
		{"no chunk", spoilt(hosts.StreamHead + "zz\r\n"), 502},
		{"a chunk of 3 GB", spoilt(hosts.StreamHead + "c0000000\r\n" + hosts.TextEvent("a")), 502},
		{"length and no chunks", spoilt("HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n" + hosts.TextEvent("a")), 502},
		{"a 1xx in front", func(e *hosts.Exchange) bool { e.WriteRaw("HTTP/1.1 103 Early Hints\r\n\r\n"); return e.Serve() }, 200},
		{"a second answer behind", func(e *hosts.Exchange) bool {
			return e.Serve() && e.WriteRaw(hosts.StreamHead+hosts.EncodeChunk(hosts.TextEvent("z")))
		}, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := startCluster(t, nil)
			h.first(c.do)
			if got := h.send(h.request("hut-booking")); got.status != c.once || got.status == 200 && !got.complete {
				t.Errorf("unrepeatable: %+v", got)
			}
			h.awaitIdle()
			if got := h.send(h.request("trail-info")); got.status != 200 || strings.Contains(got.text, `"z"`) || !got.complete {
				t.Errorf("the next one: %+v", got)
			}
			h.awaitIdle()
		})
	}
}

// An unrepeatable request must not be asked again while its first attempt may have run; an idempotent one may.
func TestAnIdempotentQuestionOutlivesASpoiltAnswer(t *testing.T) {
	h := startCluster(t, nil)
	h.first(func(e *hosts.Exchange) bool { return e.WriteRaw("HTTP/1.1 200 OK\r\n\x01\x02\r\n") && false })
	if got := h.send(h.request("trail-info")); got.status != 200 || !got.complete {
		t.Errorf("%+v", got)
	}
	h.awaitIdle()
}

// A stream that breaks after its first event ends the client's connection without the last chunk, soon.
func TestABrokenStreamIsNotEndedAsWhole(t *testing.T) {
	for name, tail := range map[string]string{"between chunks": "", "in a chunk": "20\r\ndata", "a chunk's size": "zz\r\n", "early end": hosts.LastChunk} {
		t.Run(name, func(t *testing.T) {
			h := startCluster(t, nil)
			h.onDecode(func(e *hosts.Exchange) bool {
				e.WriteRaw(hosts.StreamHead + hosts.EncodeChunk(hosts.TextEvent("a")) + tail)
				return false
			})
			if got := h.send(h.request("trail-info")); got.status != 200 || got.text != hosts.TextEvent("a") || got.complete {
				t.Errorf("%+v", got)
			}
			h.awaitIdle()
		})
	}
}

// A state that no decode backend can be reached for is released in its time, also where the backend that holds it can't be reached either.
func TestAStateIsLetGoWhereNoConnectionComesUp(t *testing.T) {
	h := startCluster(t, func(h *testCluster, p *Config) {
		p.Settings["familyInfo"].(map[string]any)["pinLimitUs"] = 300_000.0
		h.site.HoldLimit = 500 * time.Millisecond
		h.site.AddBackend("r2", hosts.DecodeKind).State = "terminating" // it takes no requests, but that call
	})
	h.prefill.Handler = func(e *hosts.Exchange) bool {
		if e.Method == "POST" {
			for _, b := range append(h.decoders, h.prefill) {
				b.Blackhole()
			}
		}
		return e.Serve()
	}
	c := h.dial()
	io.WriteString(c, h.request("trail-info"))
	h.await("it is read", func() bool { return h.site.HeldCount() == 1 })
	h.await("it is released", func() bool { return h.site.HeldCount() == 0 })
	c.Close()
	h.awaitIdle()
}

// A backend that goes silent in a stream is given up within 5 s.
func TestASilentStreamIsGivenUp(t *testing.T) {
	h := startCluster(t, nil)
	h.onDecode(func(e *hosts.Exchange) bool {
		e.WriteRaw(hosts.StreamHead + hosts.EncodeChunk(hosts.TextEvent("a")))
		<-e.ClientClosed
		return false
	})
	began := time.Now()
	if got := h.send(h.request("trail-info")); got.complete || time.Since(began) > 5*time.Second {
		t.Errorf("%+v after %v", got, time.Since(began))
	}
	h.awaitIdle()
}

func TestWhatIsNoQuestionIsRefusedAtOnce(t *testing.T) {
	h := startCluster(t, nil)
	huge := strings.Repeat("A", 40<<10)
	for name, raw := range map[string]string{
		"noise":             "\x16\x03\x01 what\r\n\r\n",
		"endless head":      "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-A: " + huge,
		"no id":             h.request("trail-info", "X-Request-ID", "X-Other"),
		"id of a path":      h.request("trail-info", "X-Request-ID: q", "X-Request-ID: ../q"),
		"class":             h.request("no-such"),
		"tenant":            h.request("trail-info", "web-app", "nobody"),
		"deadline no word":  h.request("trail-info", "X-Timeout-Ms: 3000", "X-Timeout-Ms: soon"),
		"deadline missing":  h.request("trail-info", "X-Timeout-Ms", "X-Other"),
		"deadline negative": h.request("trail-info", "X-Timeout-Ms: 3000", "X-Timeout-Ms: -1"),
		"deadline huge":     h.request("trail-info", "X-Timeout-Ms: 3000", "X-Timeout-Ms: 99999999999999999999"),
		"length negative":   h.request("trail-info", "Content-Length: 12", "Content-Length: -12"),
		"length huge":       h.request("trail-info", "Content-Length: 12", "Content-Length: 60000000"),
		"length twice":      h.request("trail-info", "Content-Length: 12", "Content-Length: 12\r\nContent-Length: 13"),
		"length no number":  h.request("trail-info", "Content-Length: 12", "Content-Length: x"),
		"tokens negative":   h.request("trail-info", "prompt_len=400", "prompt_len=-400"),
		"tokens not finite": h.request("trail-info", "prompt_len=400", "prompt_len=NaN"),
		"tokens huge":       h.request("trail-info", "prompt_len=400", "prompt_len=1e300"),
		"hidden": h.request("trail-info", "Content-Length: 12", "Content-Length: 200\r\nTransfer-Encoding: chunked",
			`{"model":""}`, "0\r\n\r\n"+h.request("hut-booking")),
		"hidden the other way round": h.request("trail-info", "Content-Length: 12", "Transfer-Encoding: chunked\r\nContent-Length: 12",
			`{"model":""}`, "c\r\n{\"model\":\"\"}\r\n0\r\n\r\n"+h.request("hut-booking")),
		"a chunk of no size":   h.chunkedRequest("trail-info", "zz\r\n{}\r\n0\r\n\r\n"),
		"a chunk of 3 GB":      h.chunkedRequest("trail-info", "c0000000\r\n{}"),
		"a chunk that is long": h.chunkedRequest("trail-info", "1\r\n{}\r\n0\r\n\r\n"),
		"chunks of too much":   h.chunkedRequest("trail-info", strings.Repeat("8000\r\n"+strings.Repeat("x", 0x8000)+"\r\n", 9)+"0\r\n\r\n"),
		"half the chunks":      h.chunkedRequest("trail-info", "c\r\n{\"model\""),
		"no last chunk":        h.chunkedRequest("trail-info", "c\r\n{\"model\":\"\"}\r\n"),
		"another path":         h.request("trail-info", "/v1/chat/completions", "/v1/other"),
		"another method":       h.request("trail-info", "POST", "PUT"),
		"half a body":          h.request("trail-info", `{"model":""}`, `{"mod`),
		"half a head":          "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n",
		"nothing":              "",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := h.dial()
			began := time.Now()
			io.WriteString(c, raw)
			if got := c.readResponse(); got.status != 0 && got.status/100 != 4 || time.Since(began) > 3*time.Second {
				t.Errorf("%+v after %v", got, time.Since(began))
			}
			c.SetReadDeadline(time.Now().Add(time.Second))
			if n, err := io.Copy(io.Discard, c.reader); err != nil && os.IsTimeout(err) || n > 0 {
				t.Errorf("the connection stays open, %d bytes more, %v", n, err)
			}
		})
	}
	t.Cleanup(func() {
		if n := h.node.loop.Counters.Accepted; n != 0 {
			t.Errorf("%d reached the module", n)
		}
	})
}

// The id of a request that is open is refused, and the open one goes on.
func TestTheIDOfAnOpenQuestionIsRefused(t *testing.T) {
	h := startCluster(t, nil)
	hold := make(chan struct{})
	h.prefill.Handler = func(e *hosts.Exchange) bool { <-hold; return e.Serve() }
	raw := h.request("hut-booking")
	c := h.dial()
	io.WriteString(c, raw)
	h.await("it is read", func() bool { return len(h.site.Requests("r1", "POST")) == 1 })
	if got := h.send(raw); got.status != 409 || !got.closes {
		t.Errorf("%+v", got)
	}
	close(hold)
	if got := c.readResponse(); got.status != 200 {
		t.Errorf("%+v", got)
	}
	h.awaitIdle()
}

// A client that goes away ends its attempt, and nothing stays held, wherever its request was.
func TestAClientThatLeavesLeavesNothingBehind(t *testing.T) {
	for _, at := range []string{"reading", "writing", "streaming"} {
		t.Run(at, func(t *testing.T) {
			h := startCluster(t, nil)
			there := make(chan *hosts.Exchange, 1)
			stay := func(e *hosts.Exchange) bool {
				if e.Method != "POST" {
					return e.Serve()
				}
				switch at {
				case "reading":
					e.HoldKVCache() // it ends well just as the attempt is called off
				case "streaming":
					e.WriteRaw(hosts.StreamHead + hosts.EncodeChunk(hosts.TextEvent("a")))
				}
				there <- e
				<-e.ClientClosed
				return false
			}
			if at == "reading" {
				h.prefill.Handler = stay
			} else {
				h.onDecode(stay)
			}
			c := h.dial()
			io.WriteString(c, h.request("trail-info"))
			<-there
			c.Close()
			h.awaitIdle()
		})
	}
}

// A client that has sent a further request behind its open one is seen to go all the same; while it stays, both are answered.
func TestAClientThatPipelinesIsSeenToGo(t *testing.T) {
	h := startCluster(t, nil)
	there := h.holdPrefills()
	c := h.dial()
	io.WriteString(c, h.request("trail-info"))
	e := <-there
	io.WriteString(c, h.request("hut-booking"))
	time.Sleep(20 * time.Millisecond)
	c.Close()
	select {
	case <-e.ClientClosed:
	case <-time.After(100 * time.Millisecond):
		t.Error("its trip goes on")
	}
	h.awaitIdle()
	if n := len(h.site.Requests("", "POST")); n != 1 {
		t.Errorf("%d trips", n)
	}
	h.prefill.Handler = nil
	c = h.dial()
	io.WriteString(c, h.request("trail-info"))
	io.WriteString(c, h.request("hut-booking")+h.request("trail-info"))
	for range 3 {
		if got := c.readResponse(); got.status != 200 || !got.complete {
			t.Errorf("%+v", got)
		}
	}
	h.awaitIdle()
}

// A state is released also where the backend that may hold it can't be reached: any backend takes the call.
func TestAStateIsReleasedThroughAnotherBox(t *testing.T) {
	h := startCluster(t, nil)
	h.prefill.Handler = func(e *hosts.Exchange) bool {
		if e.Method != "POST" {
			return e.Serve()
		}
		e.HoldKVCache()
		h.prefill.Handler = nil
		<-e.ClientClosed
		return false
	}
	c := h.dial()
	io.WriteString(c, h.request("trail-info"))
	h.await("it is read", func() bool { return h.site.HeldCount() == 1 })
	h.prefill.CloseListener()
	c.Close()
	h.await("a box was told", func() bool { return len(h.site.Requests("", "DELETE")) > 0 })
	h.awaitIdle()
}

// A connection that its backend has closed while it rested is not written to: for an unrepeatable request that would be a loss.
func TestAClosedConnectionIsNotUsed(t *testing.T) {
	h := startCluster(t, nil)
	for range 3 {
		if got := h.send(h.request("hut-booking")); got.status != 200 {
			t.Fatalf("%+v", got)
		}
		h.awaitIdle()
		for _, b := range append(h.decoders, h.prefill) {
			b.CloseIdle()
		}
	}
}

// Connections that are refused in a rash of resets must not have the module take a backend for restarting, and so for cold: a whole fleet
// was shut out by that.
func TestARefusedConnectionAloneIsNoRestart(t *testing.T) {
	h := startCluster(t, nil)
	h.prefill.CloseListener()
	time.AfterFunc(dialRetryDelay*3/2, h.prefill.Reopen)
	if got := h.send(h.request("hut-booking")); got.status != 200 {
		t.Errorf("%+v", got)
	}
	h.node.loop.Call(context.Background(), func() {
		if b := h.node.loop.Estimates(); b.InSlowStart != 0 || h.node.loop.Counters.Outcomes[brain.Unreachable] != 0 {
			t.Errorf("%+v, outcomes %v", b, h.node.loop.Counters.Outcomes)
		}
	})
	h.awaitIdle()
}

// What a backend says of the request itself is passed on, and speaks neither against the backend nor for an attempt elsewhere.
func TestAQuestionThatNoBoxCanUseIsNotRepeated(t *testing.T) {
	h := startCluster(t, nil)
	h.prefill.Handler = func(e *hosts.Exchange) bool { return e.WriteRaw(hosts.Rejection(400, false)) }
	if got := h.send(h.request("trail-info")); got.status != 502 || len(h.site.Requests("", "POST")) != 1 {
		t.Errorf("%+v after %d trips", got, len(h.site.Requests("", "POST")))
	}
	h.node.loop.Call(context.Background(), func() {
		if r := h.node.loop.SchedulerBackend("r1").Outcomes[0]; r.ConsecutiveFailures != 0 {
			t.Error("it speaks against the box")
		}
	})
	h.awaitIdle()
}

// Where connections run short, those that say nothing make room, and answers end theirs.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	h := startCluster(t, func(h *testCluster, p *Config) { p.Limits.Sockets = 64 })
	for range 200 {
		c, err := net.Dial("tcp", h.address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	c := h.dial()
	io.WriteString(c, h.request("hut-booking"))
	if got := c.readResponse(); got.status != 200 || !got.closes {
		t.Errorf("%+v", got)
	}
	if n, most := h.node.limiter.count(), h.node.place.room().clients; n > most+1 {
		t.Errorf("%d connections are open, %d may be", n, most)
	}
}

// Bodies of more than there is room for are declined; the others go on.
func TestBodiesHaveABound(t *testing.T) {
	h := startCluster(t, func(h *testCluster, p *Config) { p.Limits.MemoryMB = 1 })
	big := h.request("trail-info", "Content-Length: 12", "Content-Length: 250000", `{"model":""}`, strings.Repeat("x", 250000))
	if got := h.send(big); got.status != 503 || got.after == "" {
		t.Errorf("%+v", got)
	}
	if got := h.send(h.request("trail-info")); got.status != 200 {
		t.Errorf("%+v", got)
	}
	h.awaitIdle()
}

// A new configuration moves discovery; one that is torn or absent changes nothing. No request notices.
// A configuration that is still being written when its signal comes is read once it is whole, also while the dispatcher stops.
func TestAHalfWrittenConfigurationIsReadOnceItIsWhole(t *testing.T) {
	for _, stopping := range []bool{false, true} {
		t.Run(fmt.Sprintf("stopping %t", stopping), func(t *testing.T) {
			h := startCluster(t, nil)
			other := h.site.AddAgent()
			p := h.node.place
			p.Discovery = other.Address
			raw, err := json.Marshal(p)
			if err != nil {
				t.Fatal(err)
			}
			file := t.TempDir() + "/config.json"
			write := func(raw []byte) {
				if err := os.WriteFile(file, raw, 0o600); err != nil {
					t.Error(err)
				}
			}
			write(raw[:len(raw)/2])
			h.read = func() (Config, error) { return Load(file, os.Getenv) }
			if stopping {
				there := h.holdPrefills()
				io.WriteString(h.dial(), h.request("trail-info"))
				<-there
				h.quit()
			}
			h.again <- syscall.SIGHUP
			time.Sleep(100 * time.Millisecond)
			write(raw)
			h.await("discovery is followed at its new address", func() bool { return other.WatchCount() == 1 })
		})
	}
}

func TestTheConfigurationIsReadAnew(t *testing.T) {
	h := startCluster(t, nil)
	other := h.site.AddAgent()
	h.read = func() (Config, error) { return Load(t.TempDir()+"/absent.json", os.Getenv) }
	h.again <- syscall.SIGHUP
	torn := t.TempDir() + "/torn.json"
	if err := os.WriteFile(torn, []byte(`{"name":"n1","listen`), 0o600); err != nil {
		t.Fatal(err)
	}
	h.await("the absent one was looked for", func() bool { return len(h.again) == 0 })
	h.read = func() (Config, error) { return Load(torn, os.Getenv) }
	h.again <- syscall.SIGHUP
	if got := h.send(h.request("hut-booking")); got.status != 200 || other.WatchCount() != 0 {
		t.Errorf("%+v, %d watches on the new address", got, other.WatchCount())
	}
	h.await("the torn one was read", func() bool { return len(h.again) == 0 })
	p := h.node.place
	p.Discovery = other.Address
	raw, err := json.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	whole := t.TempDir() + "/whole.json"
	if err := os.WriteFile(whole, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	h.read = func() (Config, error) { return Load(whole, os.Getenv) }
	h.again <- syscall.SIGHUP
	h.await("discovery was followed", func() bool { return other.WatchCount() == 1 && h.agent.WatchCount() == 0 })
	h.site.UpdateDiscovery(func() { h.prefill.State = "terminating" })
	h.await("the change is known", func() bool {
		standing := brain.Ready
		h.node.loop.Call(context.Background(), func() { standing = h.node.loop.SchedulerBackend("r1").State })
		return standing == brain.Draining
	})
}

// At a stop every request that was taken gets its answer, streams that still run are cut, and new clients are sent elsewhere.
func TestAStopAnswersWhatWasTaken(t *testing.T) {
	h := startCluster(t, nil)
	h.onDecode(func(e *hosts.Exchange) bool {
		if e.Method != "POST" || e.ID != "q1" && e.ID != "q2" {
			return e.Serve()
		}
		if e.ID == "q2" {
			<-e.ClientClosed // never begins
			return false
		}
		e.WriteRaw(hosts.StreamHead)
		for e.WriteRaw(hosts.EncodeChunk(hosts.TextEvent("a"))) {
			select {
			case <-e.ClientClosed:
				return false
			case <-time.After(20 * time.Millisecond):
			}
		}
		return false
	})
	long, never, late := h.dial(), h.dial(), h.dial()
	io.WriteString(long, h.request("trail-info"))
	io.WriteString(never, h.request("trail-info", "X-Timeout-Ms: 3000", "X-Timeout-Ms: 60000"))
	h.await("both are out", func() bool { return len(h.site.Requests("w1", "POST"))+len(h.site.Requests("w2", "POST")) == 2 })
	h.quit()
	h.await("it wants no new clients", func() bool { return h.node.frontend.stopping.Load() })
	io.WriteString(late, h.request("trail-info"))
	if got := late.readResponse(); got.status != 200 || !got.closes {
		t.Errorf("asked after the stop: %+v", got)
	}
	if got := long.readResponse(); got.status != 200 || got.complete {
		t.Errorf("a long stream: %+v", got.status)
	}
	if got := never.readResponse(); got.status != 503 {
		t.Errorf("one that never began: %+v", got)
	}
}

// A request that begins when streams are cut already has its first event all the same: a client without one has had no answer.
func TestAStreamIsNotCutBeforeItsFirstEvent(t *testing.T) {
	h := startCluster(t, nil)
	h.onDecode(func(e *hosts.Exchange) bool {
		e.WriteRaw(hosts.StreamHead + hosts.EncodeChunk(hosts.TextEvent("a")))
		<-e.ClientClosed
		return false
	})
	close(h.node.frontend.moveStreams)
	for range 20 {
		if got := h.send(h.request("trail-info")); got.status != 200 || got.text != hosts.TextEvent("a") || got.complete {
			t.Fatalf("%+v", got)
		}
	}
	h.awaitIdle()
	h.node.frontend.moveStreams = make(chan struct{}) // for the stop
}

// Ids of backends and of clients that are always new leave nothing behind.
func TestChurnLeavesNothingBehind(t *testing.T) {
	h := startCluster(t, nil)
	for i := range 40 {
		var fresh *hosts.Backend
		h.site.UpdateDiscovery(func() {})
		fresh = h.site.AddBackend(fmt.Sprintf("n%d", i), hosts.DecodeKind)
		h.site.UpdateDiscovery(func() {})
		if got := h.send(h.request("trail-info")); got.status != 200 {
			t.Fatalf("%+v", got)
		}
		h.site.UpdateDiscovery(func() { fresh.State = "terminated" })
		h.await("it is forgotten as a way", func() bool {
			known := 0
			h.node.loop.Call(context.Background(), func() { known = len(h.node.transport.hosts) })
			return known == 3
		})
		fresh.Kill()
	}
	h.awaitIdle()
	h.await("no connection to them is left", func() bool { return h.node.transport.pools.Len() == 3 })
	if len(h.node.frontend.ids.open) != 0 || len(h.node.frontend.refusals) != 0 {
		t.Errorf("%d ids, %d reasons", len(h.node.frontend.ids.open), len(h.node.frontend.refusals))
	}
}

// News of peers count by where they come from; a stranger's are dropped.
func TestNewsOfStrangersAreDropped(t *testing.T) {
	sibling, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer sibling.Close()
	stranger, err := net.Dial("udp", "127.0.0.1:9")
	if err != nil {
		t.Fatal(err)
	}
	stranger.Close()
	h := startCluster(t, func(h *testCluster, p *Config) {
		p.PeerListen, p.Peers = "127.0.0.1:0", []string{"127.0.0.1:1", sibling.LocalAddr().String()}
	})
	to := h.node.peers.Conn.LocalAddr().(*net.UDPAddr)
	other, err := net.DialUDP("udp", nil, to)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	other.Write(make([]byte, 8))
	h.await("the stranger is counted", func() bool { return h.node.peers.Dropped.Load() == 1 })
	sibling.WriteToUDP(make([]byte, 8), to)
	sibling.WriteToUDP(make([]byte, 3), to)
	h.await("what is no news is counted", func() bool { return h.node.peers.Dropped.Load() == 2 })
}
