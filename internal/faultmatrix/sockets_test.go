package faultmatrix

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sloetrestle/internal/fakes"
	"sloetrestle/internal/kserve"
	"sloetrestle/internal/setup"
)

// incompleteBodies has clients whose request bodies end or stall early, next to valid requests.
func incompleteBodies(body string, length int, disconnect bool) setupFunc {
	return func(s *testCluster) func() {
		s.config.Instance.BodyTimeout = setup.Duration(100 * time.Millisecond)
		return func() {
			for range 4 {
				conn, err := net.Dial("tcp", s.addr)
				if err != nil {
					s.t.Fatal(err)
				}
				fmt.Fprintf(conn, "POST /v2/models/lodge/generate_stream HTTP/1.1\r\nHost: x\r\n"+
					"Content-Length: %d\r\n\r\n%s", length, body)
				if disconnect {
					conn.Close()
				} else {
					defer conn.Close()
					resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
					if err != nil || resp.StatusCode != http.StatusRequestTimeout {
						s.t.Errorf("answer to a stalled body: %v, error %v, want status 408", resp, err)
					}
				}
				s.faultCount.Add(1)
			}
			s.submit(2, nil)
			s.waitFor("all requests to be closed", func() bool { return s.readState()["open"] == 0.0 })
			s.expectServed(6)
		}
	}
}

// fewConnections allows one connection to each backend for all requests.
func fewConnections(s *testCluster) func() {
	s.config.Limits.MaxConnsPerBackend = 1
	s.eachBackend("reader", func(b *testBackend) {
		b.onAttempt = func(c *call) { c.countFault(); time.Sleep(20 * time.Millisecond); c.serve() }
	})
	return func() {
		s.submit(6, nil)
		s.eachBackend("reader", func(b *testBackend) {
			if n := b.conns.Load(); n > 3 {
				s.t.Errorf("%d connections to %s, want at most 3", n, b.name)
			}
		})
	}
}

// clientsLeaveWhileConnecting has clients disconnect while no backend answers a probe.
func clientsLeaveWhileConnecting(s *testCluster) func() {
	for _, b := range s.backends {
		b.onProbe = func(c *call) { c.countFault(); <-c.r.Context().Done() }
	}
	return func() { s.submit(2, func(w *fakes.Request) { w.LeaveAfter = 60 * time.Millisecond }) }
}

// deadlinePassesWhileConnecting has clients with short deadlines while no backend answers a probe.
func deadlinePassesWhileConnecting(s *testCluster) func() {
	for _, b := range s.backends {
		b.onProbe = func(c *call) { c.countFault(); <-c.r.Context().Done() }
	}
	return func() { s.submit(2, func(w *fakes.Request) { w.PatienceShare = 0.3 }) }
}

// clientsLeaveDuringPrefill has clients disconnect during prefill, at a backend that holds the KV cache even so.
func clientsLeaveDuringPrefill(s *testCluster) func() {
	s.eachBackend("reader", func(b *testBackend) {
		b.onAttempt = func(c *call) {
			c.countFault()
			c.holdKVCache()
			<-c.r.Context().Done()
			c.finish("closed")
		}
	})
	return func() {
		s.submit(2, func(w *fakes.Request) { w.LeaveAfter = 100 * time.Millisecond })
		s.waitFor("all KV caches to be released", func() bool { return s.heldKVCaches() == 0 })
	}
}

// clientsLeaveDuringShutdown has clients disconnect while the dispatcher stops and decode backends do not answer.
func clientsLeaveDuringShutdown(s *testCluster) func() {
	play := stopsDuring("writer", func(c *call) { <-c.r.Context().Done() })(s)
	return func() {
		left := make(chan bool)
		go func() {
			s.submit(1, func(w *fakes.Request) {
				w.Name += "-leaves"
				w.Session, w.LeaveAfter = w.Name, 150*time.Millisecond
			})
			close(left)
		}()
		play()
		<-left
	}
}

// startsWithCachedList starts a dispatcher with the given endpoint cache, while service discovery serves a valid
// list.
func startsWithCachedList(cached string) setupFunc {
	return func(s *testCluster) func() {
		s.config.Instance.EndpointCacheFolder = s.t.TempDir()
		if err := os.WriteFile(filepath.Join(s.config.Instance.EndpointCacheFolder, "boxlist-d.json"),
			[]byte(cached), 0o644); err != nil {
			s.t.Fatal(err)
		}
		s.faultCount.Add(1)
		return func() {
			s.submit(2, nil)
			s.expectServed(6)
		}
	}
}

// startsWithoutDiscovery starts a dispatcher with a valid endpoint cache while service discovery is down.
func startsWithoutDiscovery(s *testCluster) func() {
	s.config.Instance.EndpointCacheFolder = s.t.TempDir()
	s.buildFullUpdate()
	if err := os.WriteFile(filepath.Join(s.config.Instance.EndpointCacheFolder, "boxlist-d.json"),
		[]byte(`{"saved_unix_ms":1,"push":`+s.lastUpdate+`}`), 0o644); err != nil {
		s.t.Fatal(err)
	}
	s.discoveryDown = true
	s.faultCount.Add(1)
	return func() {
		s.submit(2, nil)
		s.expectServed(6)
	}
}

// peerDatagrams sends datagrams to the peer port of a dispatcher whose peer is down.
func peerDatagrams(raw []byte) setupFunc {
	return func(s *testCluster) func() {
		freeAddr := func() string {
			c, err := net.ListenPacket("udp", "127.0.0.1:0")
			if err != nil {
				s.t.Fatal(err)
			}
			defer c.Close()
			return c.LocalAddr().String()
		}
		s.config.Instance.PeerListen = freeAddr()
		s.config.Instance.FleetSize, s.config.Instance.PeerAddrs, s.config.Limits.PeerUpdates =
			2, []string{s.config.Instance.PeerListen, freeAddr()}, true
		return func() {
			if raw != nil {
				c, err := net.Dial("udp", s.config.Instance.PeerListen)
				if err != nil {
					s.t.Fatal(err)
				}
				defer c.Close()
				for range 20 {
					c.Write(raw)
				}
				s.waitFor("a datagram to be dropped", func() bool { return s.readState()["messages_dropped"].(float64) >= 1 })
			}
			s.faultCount.Add(1)
			s.submit(2, nil)
			s.expectServed(6)
		}
	}
}

// forgedTickets presents a retry ticket that the dispatcher never issued.
func forgedTickets(text string) setupFunc {
	return func(s *testCluster) func() {
		return func() {
			for range 5 {
				s.post("generate",
					fmt.Sprintf(`{"text_input":"x","parameters":{"again":true,"ticket":%q,"max_tokens":8}}`, text))
			}
			if n := s.readState()["storm"].(map[string]any)["counts"].(map[string]any)["Forged"]; n != 5.0 {
				s.t.Errorf("%v tickets were recognised as forged, want 5", n)
			}
			s.faultCount.Add(1)
			s.submit(1, nil)
		}
	}
}

// A unary answer is gathered in memory, so its size is bounded.
func TestUnaryAnswerBeyondSizeLimitFails(t *testing.T) {
	s := startCluster(t, func(s *testCluster) {
		s.config.Classes[0].DefaultMaxTokens = 64
		s.eachBackend("writer", func(b *testBackend) {
			b.onAttempt = func(c *call) {
				c.takeKVCache()
				c.startStream()
				for range 60 {
					c.writeEvent("", kserve.Token{Text: strings.Repeat("long ", 180_000)})
				}
				c.finish("broke")
				c.countFault()
			}
		})
	})
	status, answer := s.post("generate", `{"text_input":"x","parameters":{"max_tokens":64}}`)
	if status != http.StatusBadGateway || !strings.Contains(answer, "too long") {
		t.Errorf("status %d, answer %.200s", status, answer)
	}
	s.waitFor("the request to be closed", func() bool { return s.readState()["open"] == 0.0 })
}

// Invalid bodies are rejected with the name of the field, before the request counts as taken.
func TestInvalidBodiesAreRejectedWithFieldName(t *testing.T) {
	s := startCluster(t, func(s *testCluster) { s.config.Instance.MaxBodyBytes = 64 << 10 })
	deep := func(n int) string {
		return `{"text_input":"x","parameters":{"x":` + strings.Repeat("[", n) + strings.Repeat("]", n) + `}}`
	}
	for _, test := range []struct {
		endpoint, body string
		status         int
		message        string
	}{
		{"generate", ``, 400, "ends before"},
		{"generate", `null`, 400, "text_input"},
		{"generate", `[]`, 400, "array"},
		{"generate", `{"text_input":"x"} {"text_input":"y"}`, 400, "after"},
		{"generate", `{"text_input":7}`, 400, "text_input"},
		{"generate", `{"text_input":"x","parameters":{"max_tokens":-1}}`, 400, "parameters.max_tokens"},
		{"generate", `{"text_input":"x","parameters":{"max_tokens":1.5}}`, 400, "parameters.max_tokens"},
		{"generate", `{"text_input":"x","parameters":{"max_tokens":1e300}}`, 400, "parameters.max_tokens"},
		{"generate", `{"text_input":"x","parameters":{"max_tokens":1e999}}`, 400, ""},
		{"generate", `{"text_input":"x","parameters":{"max_tokens":NaN}}`, 400, "no JSON"},
		{"generate", `{"text_input":"x","parameters":{"max_tokens":"8"}}`, 400, "parameters.max_tokens"},
		{"generate", `{"text_input":"x","parameters":{"timeout":-5}}`, 400, "parameters.timeout"},
		{"generate", `{"text_input":"x","parameters":{"timeout":1e17}}`, 400, "parameters.timeout"},
		{"generate", `{"text_input":"x","parameters":{"prompt_tokens":1e9}}`, 400, "parameters.prompt_tokens"},
		{"generate", `{"text_input":"x","parameters":{"again":"yes"}}`, 400, "parameters.again"},
		{"generate", `{"text_input":"x","parameters":{"session":` + `"` + strings.Repeat("s", 600) + `"}}`, 400,
			"parameters.session"},
		{"generate", `{"text_input":"x","parameters":{"session":[1]}}`, 400, "parameters.session"},
		{"generate", `{"text_input":"x","parameters":{"grade":"none"}}`, 400, "parameters.grade"},
		{"generate", `{"text_input":"x","parameters":{"channel":"none"}}`, 400, "parameters.channel"},
		{"generate", `{"id":"` + strings.Repeat("i", 600) + `","text_input":"x"}`, 400, "id"},
		{"generate", deep(20_000), 400, ""},
		{"generate", `{"text_input":"` + strings.Repeat("x", 100<<10) + `"}`, 413, "longer than 65536"},
		{"infer", `{"inputs":[]}`, 400, "inputs"},
		{"infer", `{"inputs":[{"name":"t","shape":[1],"datatype":"FP32","data":[1]}]}`, 400, "inputs.0.datatype"},
		{"infer", `{"inputs":[{"name":"t","shape":[-1],"datatype":"BYTES","data":["x"]}]}`, 400, "inputs.0.shape"},
		{"infer", `{"inputs":[{"name":"t","shape":[2],"datatype":"BYTES","data":["x"]}]}`, 400, "inputs.0"},
		{"infer", `{"inputs":[{"name":"t","shape":[3,6148914691236517205,3,5],"datatype":"BYTES","data":["x"]}]}`, 400,
			"inputs.0"},
		{"infer", `{"inputs":[{"name":"t","shape":[4294967296,4294967296,0],"datatype":"BYTES","data":["x"]}]}`, 400,
			"inputs.0"},
		{"infer", `{"inputs":[{"name":"t","shape":[1],"datatype":"BYTES","data":["x","y"]}]}`, 400, "inputs.0.data"},
	} {
		status, answer := s.post(test.endpoint, test.body)
		if status != test.status || !strings.Contains(answer, test.message) {
			t.Errorf("body %.80s: status %d, answer %.200s", test.body, status, answer)
		}
	}
	if state := s.readState(); state["taken"] != 0.0 || state["open"] != 0.0 {
		t.Errorf("after rejected requests only: taken %v, open %v, want 0", state["taken"], state["open"])
	}
}
