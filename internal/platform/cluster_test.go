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
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"sloetrestle/internal/memory"
	"sloetrestle/internal/system"
	"sloetrestle/internal/testbackends"
)

// discardLog discards its lines.
var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// testCluster is a dispatcher in this process with one prefill backend and two decode backends.
type testCluster struct {
	t        *testing.T
	site     *testbackends.Platform
	agent    *testbackends.Agent // of service discovery
	prefill  *testbackends.Backend
	decoders []*testbackends.Backend
	node     *node
	address  string // of the dispatcher's listener
	reloads  chan os.Signal
	load     atomic.Pointer[func() (Config, error)]
	quit     context.CancelFunc // begins the graceful shutdown
	exited   chan error         // the result of the node's run
	lastID   int                // of the requests made
	system   system.System
	division memory.Division
}

// ampleClientBytes is more memory than the clients of one test take.
const ampleClientBytes = 256 << 20

// ampleMemory returns an account that refuses nothing.
func ampleMemory() *memory.Account { return memory.NewAccount(ampleClientBytes) }

// heldMemory returns how much memory the account has for clients besides their connections.
func (c *testCluster) heldMemory() int64 {
	held := c.node.memory.Snapshot()
	return held.Total - held.Held[memory.Connections]
}

// setLoad sets how the node loads its configuration when it is told to.
func (c *testCluster) setLoad(load func() (Config, error)) { c.load.Store(&load) }

// startCluster starts everything, with the given change to the configuration. When the test ends, everything must have
// ended, and neither the backends nor the monitor must have seen a violation.
func startCluster(t *testing.T, change func(cluster *testCluster, config *Config)) *testCluster {
	t.Helper()
	before := goleak.IgnoreCurrent()
	cluster := &testCluster{
		t: t, site: testbackends.New(), reloads: make(chan os.Signal, 1), exited: make(chan error, 1), system: system.Real(),
		division: memory.Division{Clients: ampleClientBytes, Attempts: defaultSockets},
	}
	cluster.prefill = cluster.site.AddBackend("r1", testbackends.PrefillKind)
	cluster.decoders = []*testbackends.Backend{cluster.site.AddBackend("w1", testbackends.DecodeKind),
		cluster.site.AddBackend("w2", testbackends.DecodeKind)}
	cluster.agent = cluster.site.AddAgent()
	config := Config{Name: "n1", Listen: "127.0.0.1:0", Discovery: cluster.agent.Address, Seed: "8c1f30d27a5be964"}
	if err := json.Unmarshal([]byte(testbackends.Settings), &config.Settings); err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(cluster, &config)
	}
	var err error
	if cluster.node, err = newNode(context.Background(), config, cluster.division, cluster.system, discardLog); err != nil {
		t.Fatal(err)
	}
	cluster.address = cluster.node.limiter.Addr().String()
	cluster.setLoad(func() (Config, error) { return config, nil })
	ctx, cancel := context.WithCancel(context.Background())
	cluster.quit = cancel
	go func() {
		cluster.exited <- cluster.node.run(ctx, cluster.reloads, func() (Config, error) { return (*cluster.load.Load())() })
	}()
	cluster.await("the dispatcher is ready", func() bool {
		resp, err := http.Get("http://" + cluster.address + "/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == 200
	})
	http.DefaultClient.CloseIdleConnections()
	t.Cleanup(func() {
		cluster.quit()
		select {
		case err := <-cluster.exited:
			if err != nil {
				t.Error(err)
			}
		case <-time.After(15 * time.Second):
			t.Error("the dispatcher does not end")
		}
		for _, violation := range cluster.site.Violations {
			t.Error("violation seen by the backends: " + violation)
		}
		if violations := cluster.node.monitor.Counts(); violations != "" {
			t.Error("violations counted by the monitor: " + violations)
		}
		if held := cluster.node.memory.Snapshot(); held.Total > connectionBytes { // of the connection to be accepted next
			t.Errorf("memory is held after the end: %+v", held)
		}
		cluster.site.Close()
		goleak.VerifyNone(t, before)
	})
	return cluster
}

// await waits for a condition and fails the test after 8 s.
func (c *testCluster) await(condition string, holds func() bool) {
	c.t.Helper()
	for end := time.Now().Add(8 * time.Second); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatal("timed out waiting until " + condition)
		}
	}
}

// onDecode sets how both decode backends respond.
func (c *testCluster) onDecode(do func(e *testbackends.Exchange) bool) {
	for _, decoder := range c.decoders {
		decoder.Handler = do
	}
}

// onFirstDecode sets how the decode backends respond to the first attempt; further ones are served normally.
func (c *testCluster) onFirstDecode(do func(e *testbackends.Exchange) bool) {
	c.onDecode(func(e *testbackends.Exchange) bool {
		if e.Method == "POST" && len(c.site.Requests("w1", "POST"))+len(c.site.Requests("w2", "POST")) == 1 {
			return do(e)
		}
		return e.Serve()
	})
}

// holdPrefills makes the prefill backend hold a KV cache for each request and respond to none. The requests are sent to
// the channel.
func (c *testCluster) holdPrefills() <-chan *testbackends.Exchange {
	received := make(chan *testbackends.Exchange, 1)
	c.prefill.Handler = func(e *testbackends.Exchange) bool {
		if e.Method != "POST" {
			return e.Serve()
		}
		e.HoldKVCache()
		received <- e
		<-e.ClientClosed
		return false
	}
	return received
}

// sendHeldRequests sends requests, each of a client of its own, whose KV caches the prefill backend holds without a
// response.
func (c *testCluster) sendHeldRequests(n int) (clients []*testClient) {
	c.t.Helper()
	received := c.holdPrefills()
	for range n {
		client := c.dial()
		io.WriteString(client, c.request("trail-info"))
		clients = append(clients, client)
	}
	for range n {
		select {
		case <-received:
		case <-time.After(5 * time.Second):
			c.t.Fatal("not all prefills were sent")
		}
	}
	return clients
}

// awaitIdle waits until nothing is in flight, held or open, at the dispatcher or at the backends, and every count is
// back at zero.
func (c *testCluster) awaitIdle() {
	c.t.Helper()
	c.await("nothing of the requests remains", func() bool {
		remaining := c.site.InFlight() + c.site.HeldCount() + int(c.node.frontend.openRequests.Load()) +
			int(c.heldMemory()) +
			int(c.node.transport.pending.Load())
		c.node.loop.Call(context.Background(), func() {
			requests, _ := c.node.loop.Retained()
			remaining += requests
			for _, b := range []*testbackends.Backend{c.prefill, c.decoders[0], c.decoders[1]} {
				if known := c.node.loop.SchedulerBackend(b.UID); known != nil &&
					(known.Streams != 0 || known.KVTokens != 0 || known.PrefillBacklog != 0) {
					remaining++
				}
			}
		})
		return remaining == 0
	})
}

// request returns a client's request as text, with the given pairs of old and new strings replaced.
func (c *testCluster) request(class string, change ...string) string {
	c.lastID++
	raw := fmt.Sprintf("POST /v1/chat/completions?x=1 HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: q%d\r\n"+
		"X-Priority-Class: %s\r\nX-Tenant-Id: web-app\r\nX-Route-Key: s%d\r\nX-Timeout-Ms: 3000\r\n"+
		"X-Attrs: prefix=ab,prompt_len=400,prefix_len=100,max_out=50\r\nContent-Length: 12\r\n\r\n{\"model\":\"\"}",
		c.lastID, class, c.lastID)
	return strings.NewReplacer(change...).Replace(raw)
}

// chunkedRequest returns a client's request with chunked transfer encoding.
func (c *testCluster) chunkedRequest(class, body string) string {
	return c.request(class, "Content-Length: 12", "Transfer-Encoding: chunked", `{"model":""}`, body)
}

// testClient is one client connection.
type testClient struct {
	net.Conn
	reader *bufio.Reader
}

// dial opens a client connection with a deadline of 10 s.
func (c *testCluster) dial() *testClient {
	c.t.Helper()
	return c.dialWith(&net.Dialer{}, 10*time.Second)
}

// dialWith opens a client connection by a dialer, with a deadline.
func (c *testCluster) dialWith(dialer *net.Dialer, deadline time.Duration) *testClient {
	c.t.Helper()
	conn, err := dialer.Dial("tcp", c.address)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(deadline))
	return &testClient{conn, bufio.NewReader(conn)}
}

// response is what a client reads in answer to a request. Status 0 means that the connection was closed without one.
type response struct {
	status     int
	retryAfter string // the Retry-After header
	closes     bool   // it announces that the connection is closed
	body       string
	complete   bool // it ended properly
}

// readResponse reads the response to the earliest request without one.
func (c *testClient) readResponse() response {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return response{}
	}
	body, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header.Get("Retry-After"), resp.Close, string(body), err == nil}
}

// send sends a request over a new connection and returns the response.
func (c *testCluster) send(raw string) response {
	c.t.Helper()
	client := c.dial()
	io.WriteString(client, raw)
	return client.readResponse()
}
