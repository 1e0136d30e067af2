package platform

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"sloetrestle/internal/testbackends"
	"sloetrestle/scheduler"
)

func TestRequestAndResponsePassThroughByteForByte(t *testing.T) {
	cluster := startCluster(t, nil)
	got := cluster.send(cluster.request("hut-booking"))
	if got.status != 200 || got.body != testbackends.TextEvent("a")+testbackends.TextEvent("b")+
		testbackends.UsageEvent+testbackends.DoneEvent ||
		!got.complete {
		t.Errorf("%+v", got)
	}
	for _, e := range cluster.site.Requests("", "POST") {
		if e.URI != "/v1/chat/completions?x=1" || e.Body != `{"model":""}` || e.ID != "q1" ||
			e.Header.Get("X-Timeout-Ms") == "" {
			t.Errorf("%s %s %q as %s, %v", e.Backend.UID, e.URI, e.Body, e.ID, e.Header)
		}
	}
	cluster.awaitIdle()
	cluster.node.loop.Call(context.Background(), func() {
		if prefill := cluster.node.loop.SchedulerBackend("r1"); prefill.Util != 0.5 || prefill.QueueLength != 2 {
			t.Errorf("the prefill backend's load report is read as util %g, queue %g", prefill.Util, prefill.QueueLength)
		}
	})
}

// A body may come in chunks of any size, with extensions and trailers, and is passed on byte for byte. A request that
// follows on the same connection is served too.
func TestChunkedBodyPassesThrough(t *testing.T) {
	cluster := startCluster(t, nil)
	for name, body := range map[string]string{
		"one chunk":     "c\r\n{\"model\":\"\"}\r\n0\r\n\r\n",
		"many chunks":   "1\r\n{\r\n7;a=b\r\n\"model\"\r\n0004\r\n:\"\"}\r\n0\r\n\r\n",
		"with trailers": "c\r\n{\"model\":\"\"}\r\n0\r\nA: b\r\nC: d\r\n\r\n",
	} {
		before := len(cluster.site.Requests("", "POST"))
		client := cluster.dial()
		for _, b := range []byte(cluster.chunkedRequest("hut-booking", body)) { // one byte per write
			client.Write([]byte{b})
		}
		io.WriteString(client, cluster.request("hut-booking"))
		for range 2 {
			if got := client.readResponse(); got.status != 200 || !got.complete || got.closes {
				t.Errorf("%s: %+v", name, got)
			}
		}
		seen := cluster.site.Requests("", "POST")
		if len(seen) != before+4 {
			t.Errorf("%s: %d attempts", name, len(seen)-before)
		}
		for _, e := range seen[before:] {
			if e.Body != `{"model":""}` || e.Header.Get("Content-Length") != "12" {
				t.Errorf("%s: %q, %v", name, e.Body, e.Header)
			}
		}
		client.Close()
	}
	cluster.awaitIdle()
}

// Every way in which a decode attempt can end, and what the client of a non-idempotent and of an idempotent request
// gets then. If the attempt provably did not run, both may be retried.
func TestAttemptEndsAreRetriedOnlyIfProvenNotRun(t *testing.T) {
	malformed := func(raw string) func(exchange *testbackends.Exchange) bool {
		return func(exchange *testbackends.Exchange) bool {
			exchange.WriteRaw(raw)
			<-exchange.ClientClosed
			return false
		}
	}
	responds := func(raw string) func(exchange *testbackends.Exchange) bool {
		return func(exchange *testbackends.Exchange) bool { return exchange.WriteRaw(raw) }
	}
	for _, test := range []struct {
		name       string
		do         func(exchange *testbackends.Exchange) bool
		wantStatus int // for the client of a non-idempotent request
	}{
		{"rejected by the backend", responds(testbackends.Rejection(503, true)), 200},
		{"deadline passed at the backend", responds(testbackends.Rejection(504, true)), 200},
		{"KV cache gone", responds(testbackends.Rejection(410, true)), 200},
		{"503 that proves nothing", responds(testbackends.Rejection(503, false)), 502},
		{"error", responds(testbackends.Rejection(500, false)), 502},
		{"reset", func(*testbackends.Exchange) bool { return false }, 502},
		{"garbage", malformed("\x00\x01\x02\x03 noise\r\n\r\n"), 502},
		{"endless head", malformed("HTTP/1.1 200 OK\r\n" + strings.Repeat("X-A: b\r\n", 9000)), 502},
		{"incomplete head", malformed("HTTP/1.1 200 OK\r\nX-"), 502},
		{"malformed chunk", malformed(testbackends.StreamHead + "zz\r\n"), 502},
		{"chunk of 3 GB", malformed(testbackends.StreamHead + "c0000000\r\n" + testbackends.TextEvent("a")), 502},
		{"length instead of chunks", malformed("HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n" +
			testbackends.TextEvent("a")), 502},
		{"1xx first", func(exchange *testbackends.Exchange) bool {
			exchange.WriteRaw("HTTP/1.1 103 Early Hints\r\n\r\n")
			return exchange.Serve()
		}, 200},
		{"second response behind the first", func(exchange *testbackends.Exchange) bool {
			return exchange.Serve() && exchange.WriteRaw(testbackends.StreamHead+
				testbackends.EncodeChunk(testbackends.TextEvent("z")))
		}, 200},
	} {
		t.Run(test.name, func(t *testing.T) {
			cluster := startCluster(t, nil)
			cluster.onFirstDecode(test.do)
			if got := cluster.send(cluster.request("hut-booking")); got.status != test.wantStatus ||
				got.status == 200 && !got.complete {
				t.Errorf("non-idempotent: %+v", got)
			}
			cluster.awaitIdle()
			if got := cluster.send(cluster.request("trail-info")); got.status != 200 ||
				strings.Contains(got.body, `"z"`) || !got.complete {
				t.Errorf("the next request: %+v", got)
			}
			cluster.awaitIdle()
		})
	}
}

// An idempotent request is retried although its first attempt may have run, unlike a non-idempotent one.
func TestIdempotentRequestSurvivesAMalformedResponse(t *testing.T) {
	cluster := startCluster(t, nil)
	cluster.onFirstDecode(func(e *testbackends.Exchange) bool {
		return e.WriteRaw("HTTP/1.1 200 OK\r\n\x01\x02\r\n") && false
	})
	if got := cluster.send(cluster.request("trail-info")); got.status != 200 || !got.complete {
		t.Errorf("%+v", got)
	}
	cluster.awaitIdle()
}

// A stream that breaks after its first event ends the client's connection without the last chunk, so that the client
// does not take the response for complete.
func TestBrokenStreamIsNotEndedAsComplete(t *testing.T) {
	for name, tail := range map[string]string{
		"between chunks": "", "in a chunk": "20\r\ndata", "in a chunk's size": "zz\r\n",
		"early last chunk": testbackends.LastChunk,
	} {
		t.Run(name, func(t *testing.T) {
			cluster := startCluster(t, nil)
			cluster.onDecode(func(e *testbackends.Exchange) bool {
				e.WriteRaw(testbackends.StreamHead + testbackends.EncodeChunk(testbackends.TextEvent("a")) + tail)
				return false
			})
			if got := cluster.send(cluster.request("trail-info")); got.status != 200 ||
				got.body != testbackends.TextEvent("a") || got.complete {
				t.Errorf("%+v", got)
			}
			cluster.awaitIdle()
		})
	}
}

// A KV cache is released in time also if neither a decode backend nor the backend that holds it can be reached.
func TestKVCacheIsReleasedIfNoConnectionIsEstablished(t *testing.T) {
	cluster := startCluster(t, func(cluster *testCluster, config *Config) {
		config.Settings["familyInfo"].(map[string]any)["pinLimitUs"] = 300_000.0
		cluster.site.HoldLimit = 500 * time.Millisecond
		// it accepts no requests, but release calls
		cluster.site.AddBackend("r2", testbackends.DecodeKind).State = "terminating"
	})
	cluster.prefill.Handler = func(e *testbackends.Exchange) bool {
		if e.Method == "POST" {
			for _, b := range append(cluster.decoders, cluster.prefill) {
				b.Blackhole()
			}
		}
		return e.Serve()
	}
	client := cluster.dial()
	io.WriteString(client, cluster.request("trail-info"))
	cluster.await("the KV cache is held", func() bool { return cluster.site.HeldCount() == 1 })
	cluster.await("the KV cache is released", func() bool { return cluster.site.HeldCount() == 0 })
	client.Close()
	cluster.awaitIdle()
}

// A stream whose backend sends nothing more is given up within 5 s.
func TestStalledStreamIsGivenUp(t *testing.T) {
	cluster := startCluster(t, nil)
	cluster.onDecode(func(e *testbackends.Exchange) bool {
		e.WriteRaw(testbackends.StreamHead + testbackends.EncodeChunk(testbackends.TextEvent("a")))
		<-e.ClientClosed
		return false
	})
	began := time.Now()
	if got := cluster.send(cluster.request("trail-info")); got.complete || time.Since(began) > 5*time.Second {
		t.Errorf("%+v after %v", got, time.Since(began))
	}
	cluster.awaitIdle()
}

func TestInvalidRequestsAreRefusedAtOnce(t *testing.T) {
	cluster := startCluster(t, nil)
	huge := strings.Repeat("A", 40<<10)
	for name, raw := range map[string]string{
		"garbage":           "\x16\x03\x01 what\r\n\r\n",
		"endless head":      "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-A: " + huge,
		"no id":             cluster.request("trail-info", "X-Request-ID", "X-Other"),
		"id with a path":    cluster.request("trail-info", "X-Request-ID: q", "X-Request-ID: ../q"),
		"unknown class":     cluster.request("no-such"),
		"unknown tenant":    cluster.request("trail-info", "web-app", "nobody"),
		"deadline no word":  cluster.request("trail-info", "X-Timeout-Ms: 3000", "X-Timeout-Ms: soon"),
		"deadline missing":  cluster.request("trail-info", "X-Timeout-Ms", "X-Other"),
		"deadline negative": cluster.request("trail-info", "X-Timeout-Ms: 3000", "X-Timeout-Ms: -1"),
		"deadline huge":     cluster.request("trail-info", "X-Timeout-Ms: 3000", "X-Timeout-Ms: 99999999999999999999"),
		"length negative":   cluster.request("trail-info", "Content-Length: 12", "Content-Length: -12"),
		"length huge":       cluster.request("trail-info", "Content-Length: 12", "Content-Length: 60000000"),
		"length twice":      cluster.request("trail-info", "Content-Length: 12", "Content-Length: 12\r\nContent-Length: 13"),
		"length no number":  cluster.request("trail-info", "Content-Length: 12", "Content-Length: x"),
		"tokens negative":   cluster.request("trail-info", "prompt_len=400", "prompt_len=-400"),
		"tokens not finite": cluster.request("trail-info", "prompt_len=400", "prompt_len=NaN"),
		"tokens huge":       cluster.request("trail-info", "prompt_len=400", "prompt_len=1e300"),
		"smuggled by length and chunks": cluster.request("trail-info", "Content-Length: 12",
			"Content-Length: 200\r\nTransfer-Encoding: chunked", `{"model":""}`, "0\r\n\r\n"+cluster.request("hut-booking")),
		"smuggled by chunks and length": cluster.request("trail-info", "Content-Length: 12",
			"Transfer-Encoding: chunked\r\nContent-Length: 12", `{"model":""}`,
			"c\r\n{\"model\":\"\"}\r\n0\r\n\r\n"+cluster.request("hut-booking")),
		"chunk without size":  cluster.chunkedRequest("trail-info", "zz\r\n{}\r\n0\r\n\r\n"),
		"chunk of 3 GB":       cluster.chunkedRequest("trail-info", "c0000000\r\n{}"),
		"chunk over its size": cluster.chunkedRequest("trail-info", "1\r\n{}\r\n0\r\n\r\n"),
		"too many chunks": cluster.chunkedRequest("trail-info",
			strings.Repeat("8000\r\n"+strings.Repeat("x", 0x8000)+"\r\n", 9)+"0\r\n\r\n"),
		"incomplete chunk": cluster.chunkedRequest("trail-info", "c\r\n{\"model\""),
		"no last chunk":    cluster.chunkedRequest("trail-info", "c\r\n{\"model\":\"\"}\r\n"),
		"another path":     cluster.request("trail-info", "/v1/chat/completions", "/v1/other"),
		"another method":   cluster.request("trail-info", "POST", "PUT"),
		"incomplete body":  cluster.request("trail-info", `{"model":""}`, `{"mod`),
		"incomplete head":  "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n",
		"nothing":          "",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client := cluster.dial()
			began := time.Now()
			io.WriteString(client, raw)
			if got := client.readResponse(); got.status != 0 && got.status/100 != 4 || time.Since(began) > 3*time.Second {
				t.Errorf("%+v after %v", got, time.Since(began))
			}
			client.SetReadDeadline(time.Now().Add(time.Second))
			if n, err := io.Copy(io.Discard, client.reader); err != nil && os.IsTimeout(err) || n > 0 {
				t.Errorf("the connection stays open, %d bytes more, %v", n, err)
			}
		})
	}
	t.Cleanup(func() {
		if n := cluster.node.loop.Counters.Accepted; n != 0 {
			t.Errorf("%d requests reached the scheduler", n)
		}
	})
}

// A request with the id of an open one is refused, and the open one is served.
func TestIDOfAnOpenRequestIsRefused(t *testing.T) {
	cluster := startCluster(t, nil)
	hold := make(chan struct{})
	cluster.prefill.Handler = func(e *testbackends.Exchange) bool { <-hold; return e.Serve() }
	raw := cluster.request("hut-booking")
	client := cluster.dial()
	io.WriteString(client, raw)
	cluster.await("the prefill is sent", func() bool { return len(cluster.site.Requests("r1", "POST")) == 1 })
	if got := cluster.send(raw); got.status != 409 || !got.closes {
		t.Errorf("%+v", got)
	}
	close(hold)
	if got := client.readResponse(); got.status != 200 {
		t.Errorf("%+v", got)
	}
	cluster.awaitIdle()
}

// A client that leaves ends its attempt, and nothing stays held, whichever phase its request was in.
func TestLeavingClientEndsItsAttempt(t *testing.T) {
	for _, phase := range []string{"prefill", "decode", "streaming"} {
		t.Run(phase, func(t *testing.T) {
			cluster := startCluster(t, nil)
			received := make(chan *testbackends.Exchange, 1)
			stay := func(exchange *testbackends.Exchange) bool {
				if exchange.Method != "POST" {
					return exchange.Serve()
				}
				switch phase {
				case "prefill":
					exchange.HoldKVCache() // the prefill succeeds just as the attempt is cancelled
				case "streaming":
					exchange.WriteRaw(testbackends.StreamHead + testbackends.EncodeChunk(testbackends.TextEvent("a")))
				}
				received <- exchange
				<-exchange.ClientClosed
				return false
			}
			if phase == "prefill" {
				cluster.prefill.Handler = stay
			} else {
				cluster.onDecode(stay)
			}
			client := cluster.dial()
			io.WriteString(client, cluster.request("trail-info"))
			<-received
			client.Close()
			cluster.awaitIdle()
		})
	}
}

// A client with a pipelined request is noticed to leave as any other. If it stays, both requests are answered.
func TestPipeliningClientIsNoticedToLeave(t *testing.T) {
	cluster := startCluster(t, nil)
	received := cluster.holdPrefills()
	client := cluster.dial()
	io.WriteString(client, cluster.request("trail-info"))
	prefill := <-received
	io.WriteString(client, cluster.request("hut-booking"))
	time.Sleep(20 * time.Millisecond)
	client.Close()
	select {
	case <-prefill.ClientClosed:
	case <-time.After(100 * time.Millisecond):
		t.Error("the attempt goes on")
	}
	cluster.awaitIdle()
	if n := len(cluster.site.Requests("", "POST")); n != 1 {
		t.Errorf("%d attempts", n)
	}
	cluster.prefill.Handler = nil
	client = cluster.dial()
	io.WriteString(client, cluster.request("trail-info"))
	io.WriteString(client, cluster.request("hut-booking")+cluster.request("trail-info"))
	for range 3 {
		if got := client.readResponse(); got.status != 200 || !got.complete {
			t.Errorf("%+v", got)
		}
	}
	cluster.awaitIdle()
}

// A KV cache is released also if the backend that may hold it can't be reached: any backend accepts the call.
func TestKVCacheIsReleasedThroughAnotherBackend(t *testing.T) {
	cluster := startCluster(t, nil)
	cluster.prefill.Handler = func(e *testbackends.Exchange) bool {
		if e.Method != "POST" {
			return e.Serve()
		}
		e.HoldKVCache()
		cluster.prefill.Handler = nil
		<-e.ClientClosed
		return false
	}
	client := cluster.dial()
	io.WriteString(client, cluster.request("trail-info"))
	cluster.await("the KV cache is held", func() bool { return cluster.site.HeldCount() == 1 })
	cluster.prefill.CloseListener()
	client.Close()
	cluster.await("a backend received the release", func() bool { return len(cluster.site.Requests("", "DELETE")) > 0 })
	cluster.awaitIdle()
}

// An idle connection that its backend has closed gets no request: a non-idempotent one would be lost.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	cluster := startCluster(t, nil)
	for range 3 {
		if got := cluster.send(cluster.request("hut-booking")); got.status != 200 {
			t.Fatalf("%+v", got)
		}
		cluster.awaitIdle()
		for _, b := range append(cluster.decoders, cluster.prefill) {
			b.CloseIdle()
		}
	}
}

// A single refused connection does not count as a restart of its backend. During a burst of connection resets every
// backend would otherwise be put into slow start, and the whole fleet be left without work.
func TestRefusedConnectionAloneIsNoRestart(t *testing.T) {
	cluster := startCluster(t, nil)
	cluster.prefill.CloseListener()
	time.AfterFunc(dialRetryDelay*3/2, cluster.prefill.Reopen)
	if got := cluster.send(cluster.request("hut-booking")); got.status != 200 {
		t.Errorf("%+v", got)
	}
	cluster.node.loop.Call(context.Background(), func() {
		if b := cluster.node.loop.Estimates(); b.InSlowStart != 0 ||
			cluster.node.loop.Counters.Outcomes[scheduler.Unreachable] != 0 {
			t.Errorf("%+v, outcomes %v", b, cluster.node.loop.Counters.Outcomes)
		}
	})
	cluster.awaitIdle()
}

// A 400 of a backend is about the request itself: it neither counts against the backend nor leads to an attempt
// elsewhere.
func TestRequestThatABackendFindsInvalidIsNotRetried(t *testing.T) {
	cluster := startCluster(t, nil)
	cluster.prefill.Handler = func(e *testbackends.Exchange) bool { return e.WriteRaw(testbackends.Rejection(400, false)) }
	if got := cluster.send(cluster.request("trail-info")); got.status != 502 ||
		len(cluster.site.Requests("", "POST")) != 1 {
		t.Errorf("%+v after %d attempts", got, len(cluster.site.Requests("", "POST")))
	}
	cluster.node.loop.Call(context.Background(), func() {
		if prefill := cluster.node.loop.SchedulerBackend("r1").Outcomes[0]; prefill.ConsecutiveFailures != 0 {
			t.Error("the response counts against the backend")
		}
	})
	cluster.awaitIdle()
}

// When connections run short, silent ones are closed for others, and responses announce that their connection is
// closed.
func TestSilentConnectionsMakeRoomForOthers(t *testing.T) {
	cluster := startCluster(t, func(_ *testCluster, config *Config) { config.Limits.Sockets = 64 })
	for range 200 {
		conn, err := net.Dial("tcp", cluster.address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	client := cluster.dial()
	io.WriteString(client, cluster.request("hut-booking"))
	if got := client.readResponse(); got.status != 200 || !got.closes {
		t.Errorf("%+v", got)
	}
	if n, limit := cluster.node.limiter.count(), cluster.node.config.resources().clients; n > limit+1 {
		t.Errorf("%d connections are open, the limit is %d", n, limit)
	}
}

// A request whose body exceeds the memory for bodies is rejected; others are served.
func TestMemoryForBodiesIsBounded(t *testing.T) {
	const body = 250000
	cluster := startCluster(t, func(cluster *testCluster, _ *Config) { cluster.division.Clients = body })
	raw := cluster.request("trail-info",
		"Content-Length: 12", "Content-Length: 250000", `{"model":""}`, strings.Repeat("x", 250000))
	if got := cluster.send(raw); got.status != 503 || got.retryAfter == "" {
		t.Errorf("%+v", got)
	}
	if got := cluster.send(cluster.request("trail-info")); got.status != 200 {
		t.Errorf("%+v", got)
	}
	cluster.awaitIdle()
}

// During a graceful shutdown every admitted request is answered, streams that still run are cut, and responses close
// their connections.
func TestShutdownAnswersAdmittedRequests(t *testing.T) {
	cluster := startCluster(t, nil)
	cluster.onDecode(func(exchange *testbackends.Exchange) bool {
		if exchange.Method != "POST" || exchange.ID != "q1" && exchange.ID != "q2" {
			return exchange.Serve()
		}
		if exchange.ID == "q2" {
			<-exchange.ClientClosed // its response never starts
			return false
		}
		exchange.WriteRaw(testbackends.StreamHead)
		for exchange.WriteRaw(testbackends.EncodeChunk(testbackends.TextEvent("a"))) {
			select {
			case <-exchange.ClientClosed:
				return false
			case <-time.After(20 * time.Millisecond):
			}
		}
		return false
	})
	streaming, unstarted, late := cluster.dial(), cluster.dial(), cluster.dial()
	io.WriteString(streaming, cluster.request("trail-info"))
	io.WriteString(unstarted, cluster.request("trail-info", "X-Timeout-Ms: 3000", "X-Timeout-Ms: 60000"))
	cluster.await("both attempts are in flight", func() bool {
		return len(cluster.site.Requests("w1", "POST"))+len(cluster.site.Requests("w2", "POST")) == 2
	})
	cluster.quit()
	cluster.await("the shutdown has begun", func() bool { return cluster.node.frontend.stopping.Load() })
	io.WriteString(late, cluster.request("trail-info"))
	if got := late.readResponse(); got.status != 200 || !got.closes {
		t.Errorf("request during the shutdown: %+v", got)
	}
	if got := streaming.readResponse(); got.status != 200 || got.complete {
		t.Errorf("endless stream: %+v", got.status)
	}
	if got := unstarted.readResponse(); got.status != 503 {
		t.Errorf("request whose response never starts: %+v", got)
	}
}

// A stream that starts once streams are being cut still passes on its first event: a client without one has had no
// answer.
func TestStreamIsNotCutBeforeItsFirstEvent(t *testing.T) {
	cluster := startCluster(t, nil)
	cluster.onDecode(func(e *testbackends.Exchange) bool {
		e.WriteRaw(testbackends.StreamHead + testbackends.EncodeChunk(testbackends.TextEvent("a")))
		<-e.ClientClosed
		return false
	})
	close(cluster.node.frontend.moveStreams)
	for range 20 {
		if got := cluster.send(cluster.request("trail-info")); got.status != 200 ||
			got.body != testbackends.TextEvent("a") || got.complete {
			t.Fatalf("%+v", got)
		}
	}
	cluster.awaitIdle()
	cluster.node.frontend.moveStreams = make(chan struct{}) // which the shutdown closes again
}

// Backends and clients with ever new names leave nothing behind: pools, ids and counters do not grow.
func TestChurnLeavesNothingBehind(t *testing.T) {
	cluster := startCluster(t, nil)
	for i := range 40 {
		var added *testbackends.Backend
		cluster.site.UpdateDiscovery(func() {})
		added = cluster.site.AddBackend(fmt.Sprintf("n%d", i), testbackends.DecodeKind)
		cluster.site.UpdateDiscovery(func() {})
		if got := cluster.send(cluster.request("trail-info")); got.status != 200 {
			t.Fatalf("%+v", got)
		}
		cluster.site.UpdateDiscovery(func() { added.State = "terminated" })
		cluster.await("the transport has forgotten it", func() bool {
			known := 0
			cluster.node.loop.Call(context.Background(), func() { known = len(cluster.node.transport.poolOf) })
			return known == 3
		})
		added.Kill()
	}
	cluster.awaitIdle()
	cluster.await("no pool for a removed backend remains", func() bool {
		return cluster.node.transport.pools.Len() == 3
	})
	if cluster.node.frontend.ids.OpenCount() != 0 || len(cluster.node.frontend.refusals) != 0 {
		t.Errorf("%d ids, %d reasons", cluster.node.frontend.ids.OpenCount(), len(cluster.node.frontend.refusals))
	}
}

// Guards against memory that is kept for requests that were rejected while they waited, some of them given up on by
// their clients: nothing of them may remain, neither in the event loop nor on the connections.
func TestRejectedRequestsLeaveNothingBehind(t *testing.T) {
	const clients = 120
	cluster := startCluster(t, nil)
	release := make(chan struct{})
	cluster.onDecode(func(e *testbackends.Exchange) bool { <-release; return e.Serve() })
	var open []*testClient
	for range clients {
		client := cluster.dial()
		io.WriteString(client, cluster.request("trail-info", "X-Timeout-Ms: 3000", "X-Timeout-Ms: 3600000"))
		open = append(open, client)
	}
	cluster.await("some requests are rejected", func() bool {
		rejected := int64(0)
		cluster.node.loop.Call(context.Background(), func() { rejected = cluster.node.loop.Counters.Rejected })
		return rejected > clients/2
	})
	for _, client := range open[:clients/4] {
		client.Close()
	}
	close(release)
	for _, client := range open[clients/4:] {
		if got := client.readResponse(); got.status != 200 && got.status != 503 {
			t.Errorf("%+v", got)
		}
	}
	cluster.awaitIdle()
	const periodicTimers = 5 // a bound: the scheduler's refresh, and the last sweeps of its queue
	cluster.await("no timer of a request remains", func() bool {
		timers := 0
		cluster.node.loop.Call(context.Background(), func() { _, timers = cluster.node.loop.Retained() })
		return timers <= periodicTimers
	})
}

// Peer updates are identified by the address that they come from; those from an unknown address, or of a wrong size,
// are dropped.
func TestPeerUpdatesFromUnknownAddressesAreDropped(t *testing.T) {
	peer, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	unused, err := net.Dial("udp", "127.0.0.1:9")
	if err != nil {
		t.Fatal(err)
	}
	unused.Close()
	cluster := startCluster(t, func(_ *testCluster, config *Config) {
		config.PeerListen, config.Peers = "127.0.0.1:0", []string{"127.0.0.1:1", peer.LocalAddr().String()}
	})
	to := cluster.node.peers.Conn.LocalAddr().(*net.UDPAddr)
	unknown, err := net.DialUDP("udp", nil, to)
	if err != nil {
		t.Fatal(err)
	}
	defer unknown.Close()
	unknown.Write(make([]byte, 8))
	cluster.await("the unknown sender is counted", func() bool { return cluster.node.peers.Dropped.Load() == 1 })
	peer.WriteToUDP(make([]byte, 8), to)
	peer.WriteToUDP(make([]byte, 3), to)
	cluster.await("the update of a wrong size is counted", func() bool { return cluster.node.peers.Dropped.Load() == 2 })
}
