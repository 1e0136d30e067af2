package faultmatrix

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"sloetrestle/internal/fakes"
	"sloetrestle/internal/kserve"
	"sloetrestle/internal/setup"
)

// Raw pieces of HTTP responses and JSON bodies, for answers that the HTTP library would not write.
const (
	jsonHeader    = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	streamHeader  = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	prefilledBody = `{"outcome":"read","kept_tokens":0}`
)

// jsonResponse returns a complete HTTP response with the JSON body.
func jsonResponse(body string) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", jsonHeader, len(body), body)
}

// reset writes a text and resets the TCP connection.
func (c *call) reset(text string) {
	conn := c.hijack(text)
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

// writeSlowly writes a text in pieces, 10 ms apart.
func (c *call) writeSlowly(text string, pieces int) {
	conn := c.hijack("")
	defer conn.Close()
	for i := range pieces {
		io.WriteString(conn, text[len(text)*i/pieces:len(text)*(i+1)/pieces])
		time.Sleep(10 * time.Millisecond)
	}
}

// prefillFaults are faulty answers of a prefill backend. It holds the KV cache even so, except where it reports a
// failure, and the dispatcher must release it.
var prefillFaults = map[string]func(c *call){
	fails:  func(c *call) { c.respond(http.StatusInternalServerError, kserve.OutcomeFailed) },
	full:   func(c *call) { c.respond(http.StatusServiceUnavailable, kserve.OutcomeFull) },
	resets: func(c *call) { c.holdKVCache(); c.finish("broke"); c.reset("") },
	malformed: func(c *call) {
		c.holdKVCache()
		c.finish("broke")
		c.writeAndClose(jsonResponse(`{"outcome":["read"]}`))
	},
	truncated: func(c *call) {
		c.holdKVCache()
		c.finish("broke")
		c.writeAndClose(jsonResponse(prefilledBody)[:len(jsonResponse(prefilledBody))-9])
	},
	oversized: func(c *call) {
		c.holdKVCache()
		c.finish("broke")
		c.writeAndClose(jsonResponse(`{"outcome":"read","error":"` + strings.Repeat("x", 200<<10) + `"}`))
	},
	duplicated: func(c *call) {
		c.holdKVCache()
		c.finish(kserve.OutcomePrefilled)
		c.writeAndClose(jsonResponse(prefilledBody) + jsonResponse(prefilledBody))
	},
	slow: func(c *call) {
		c.holdKVCache()
		c.finish(kserve.OutcomePrefilled)
		c.writeSlowly(jsonResponse(prefilledBody), 12)
	},
}

// decodeFaults are faulty answers of a decode backend before the first token. The request has executed, except
// where the backend reports that it is full.
var decodeFaults = map[string]func(c *call){
	fails: func(c *call) {
		c.takeKVCache()
		c.execute()
		c.respond(http.StatusInternalServerError, kserve.OutcomeFailed)
	},
	full:   func(c *call) { c.respond(http.StatusServiceUnavailable, kserve.OutcomeFull) },
	resets: func(c *call) { c.takeKVCache(); c.execute(); c.finish("broke"); c.reset("") },
	malformed: func(c *call) {
		c.takeKVCache()
		c.execute()
		c.finish("broke")
		c.writeAndClose("SSH-2.0-not-a-box\r\n\r\n")
	},
	truncated: func(c *call) { c.takeKVCache(); c.execute(); c.finish("broke"); c.writeAndClose(streamHeader) },
	oversized: func(c *call) {
		c.takeKVCache()
		c.execute()
		c.finish("broke")
		c.writeAndClose("HTTP/1.1 503 Full\r\nContent-Length: 1000000\r\n\r\n{\"outcome\":\"full\",\"error\":\"" +
			strings.Repeat("x", 999_900))
	},
	duplicated: func(c *call) {
		c.takeKVCache()
		c.execute()
		c.finish(kserve.OutcomeCompleted)
		c.writeAndClose(streamHeader +
			"\r\ndata: {\"text_output\":\" a\"}\n\nevent: end\ndata: {\"outcome\":\"answered\"}\n\n" +
			jsonResponse(`{"outcome":"full"}`))
	},
	slow: func(c *call) {
		c.takeKVCache()
		c.execute()
		c.finish(kserve.OutcomeCompleted)
		c.writeSlowly(streamHeader+"Connection: close\r\n\r\n"+
			"data: {\"text_output\":\" a\"}\n\nevent: end\ndata: {\"outcome\":\"answered\"}\n\n", 12)
	},
}

// streamFaults are faults of a stream after its first token.
var streamFaults = map[string]func(c *call){
	fails: func(c *call) { c.finish("failed"); c.writeEvent("error", map[string]string{"error": "no more"}) },
	full: func(c *call) {
		c.finish("full")
		c.writeEvent("end", kserve.AttemptResult{Outcome: kserve.OutcomeFull})
	},
	resets:    func(c *call) { c.finish("broke"); c.reset("") },
	malformed: func(c *call) { c.finish("broke"); c.writeRaw("data: {\"text_output\n\n" + endEvent) },
	truncated: func(c *call) { c.finish("broke"); c.writeRaw("data: {\"text_out"); panic(http.ErrAbortHandler) },
	oversized: func(c *call) {
		c.finish("broke")
		c.writeRaw("data: \"" + strings.Repeat("x", 2<<20) + "\"\n\n" + endEvent)
	},
	hangs: func(c *call) { <-c.r.Context().Done(); c.finish("closed") },
	duplicated: func(c *call) {
		c.finish(kserve.OutcomeCompleted)
		c.writeRaw(endEvent + endEvent + "data: {\"text_output\":\" late\"}\n\n")
	},
	slow: func(c *call) {
		for range 4 {
			time.Sleep(30 * time.Millisecond)
			c.writeEvent("", kserve.Token{Text: " slow"})
		}
		c.finish(kserve.OutcomeCompleted)
		c.writeRaw(endEvent)
	},
}

const endEvent = "event: end\ndata: {\"outcome\":\"answered\"}\n\n"

func (c *call) writeRaw(text string) {
	io.WriteString(c.w, text)
	c.flush()
}

// requestsDuring submits requests of each class while the backends of a kind have a fault.
func requestsDuring(kind string, script func(c *call)) setupFunc {
	return func(s *testCluster) func() {
		s.eachBackend(kind, func(b *testBackend) {
			b.onAttempt = faultFirst(4, script, (*call).serve) // a second attempt may succeed after that
		})
		return func() { s.submit(2, nil) }
	}
}

// faultFirst returns a handler with the fault for the first n calls, and serve for the later ones.
func faultFirst(n int64, fault, serve func(c *call)) func(c *call) {
	var requests atomic.Int64
	return func(c *call) {
		if requests.Add(1) > n {
			serve(c)
			return
		}
		c.countFault()
		fault(c)
	}
}

// A setupFunc configures a cluster before it starts and returns what to run on it.
type setupFunc func(s *testCluster) func()

// afterStreamStart has a decode backend start its stream correctly before the fault.
func afterStreamStart(script func(c *call)) func(c *call) {
	return func(c *call) {
		c.takeKVCache()
		c.startStream()
		script(c)
	}
}

// probeFaults are faulty answers to the identity probe of a new connection, before any attempt is sent over it.
var probeFaults = map[string]func(c *call){
	fails: func(c *call) {
		kserve.WriteJSON(c.w, http.StatusServiceUnavailable, map[string]string{"name": c.backend.name})
	},
	resets:    func(c *call) { c.reset("") },
	hangs:     func(c *call) { <-c.r.Context().Done() },
	malformed: func(c *call) { c.writeAndClose(jsonResponse(`{"name":7}`)) },
	truncated: func(c *call) { c.writeAndClose(jsonResponse(`{"name":"reader-0"}`)[:60]) },
	oversized: func(c *call) { c.writeAndClose(jsonResponse(`{"name":"` + strings.Repeat("x", 100<<10) + `"}`)) },
	duplicated: func(c *call) {
		c.writeAndClose(jsonResponse(`{"name":"`+c.backend.name+`"}`) + jsonResponse(`{"name":"`+c.backend.name+`"}`))
	},
	slow: func(c *call) {
		time.Sleep(40 * time.Millisecond)
		kserve.WriteJSON(c.w, http.StatusOK, map[string]string{"name": c.backend.name})
	},
}

// faultyProbes has the fault at the first connections to every backend.
func faultyProbes(script func(c *call)) setupFunc {
	return func(s *testCluster) func() {
		// By the rule, an attempt that is connecting counts as in flight. Backends do not record it, and connecting to each
		// decode backend may take limits.dial.
		s.config.Rules.KVCacheHoldLimit = setup.Duration(1500 * time.Millisecond)
		for _, b := range s.backends {
			b.onProbe = faultFirst(3, script, func(c *call) {
				kserve.WriteJSON(c.w, http.StatusOK, map[string]string{"name": b.name})
			})
		}
		return func() { s.submit(2, nil) }
	}
}

// releaseFaults are faulty answers to a release. The first release is not carried out, so only a retry frees the KV
// cache.
var releaseFaults = map[string]func(c *call){
	fails: func(c *call) { kserve.WriteJSON(c.w, http.StatusInternalServerError, nil) },
	full: func(c *call) {
		kserve.WriteJSON(c.w, http.StatusServiceUnavailable, kserve.AttemptResult{Outcome: kserve.OutcomeFull})
	},
	resets:     func(c *call) { c.reset("") },
	hangs:      func(c *call) { <-c.r.Context().Done() },
	malformed:  func(c *call) { c.writeAndClose("what?") },
	truncated:  func(c *call) { c.writeAndClose(jsonHeader[:20]) },
	oversized:  func(c *call) { c.writeAndClose("HTTP/1.1 500 No\r\n\r\n" + strings.Repeat("x", 1<<20)) },
	duplicated: func(c *call) { c.serveRelease() }, // carried out and then sent again
	slow:       func(c *call) { time.Sleep(100 * time.Millisecond); c.serveRelease() },
}

// faultyReleases has decode backends that are full, so that every KV cache ends by a release, and faulty answers to
// the first releases.
func faultyReleases(script func(c *call)) setupFunc {
	return func(s *testCluster) func() {
		s.config.Rules.KVCacheHoldLimit = setup.Duration(1500 * time.Millisecond)
		s.eachBackend("writer", func(b *testBackend) {
			b.onAttempt = func(c *call) { c.respond(http.StatusServiceUnavailable, kserve.OutcomeFull) }
		})
		s.eachBackend("reader", func(b *testBackend) {
			b.onRelease = faultFirst(2, script, (*call).serveRelease)
		})
		return func() {
			s.submit(2, nil)
			s.waitFor("all KV caches to be released", func() bool { return s.heldKVCaches() == 0 })
		}
	}
}

// invalidDiscoveryLine sends an invalid line of service discovery between requests. Each connection to service
// discovery begins with the full list.
func invalidDiscoveryLine(line func(s *testCluster) string) setupFunc {
	return func(s *testCluster) func() {
		return func() {
			s.submit(1, nil)
			connsBefore := s.discoveryConns.Load()
			s.updates <- line(s)
			s.faultCount.Add(1)
			s.submit(1, func(w *fakes.Request) { w.Name += "-meanwhile"; w.Session = w.Name })
			s.waitFor("the dispatcher to follow service discovery again", func() bool {
				return s.discoveryConns.Load() > connsBefore || s.readState()["list_age_s"].(float64) < 2
			})
			s.submit(1, func(w *fakes.Request) { w.Name += "-after"; w.Session = w.Name })
			s.expectServed(9)
		}
	}
}

// stopsDuring stops the dispatcher while requests are in flight at backends of a kind that answer as script says.
func stopsDuring(kind string, script func(c *call)) setupFunc {
	return func(s *testCluster) func() {
		s.eachBackend(kind, func(b *testBackend) {
			b.onAttempt = func(c *call) {
				c.countFault()
				script(c)
			}
		})
		return func() {
			done := make(chan bool)
			go func() { s.submit(2, nil); close(done) }()
			s.waitFor("an attempt to be in flight", func() bool { return s.faultCount.Load() > 0 })
			s.stop()
			<-done
		}
	}
}
