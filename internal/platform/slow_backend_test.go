package platform

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"sloetrestle/internal/testbackends"
)

// readSlowly reads from a connection with a small buffer, a little at a time, until it ends.
func readSlowly(conn net.Conn) {
	conn.(*net.TCPConn).SetReadBuffer(2048)
	for buffer := make([]byte, 512); ; time.Sleep(20 * time.Millisecond) {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
	}
}

// Shows that a request is answered in time although its backends read it slowly.
func TestSlowlyReadRequestIsAnsweredInTime(t *testing.T) {
	const timeout, slack = time.Second, 300 * time.Millisecond
	for name, slow := range map[string]func(c *testCluster) []*testbackends.Backend{
		"prefill": func(c *testCluster) []*testbackends.Backend { return []*testbackends.Backend{c.prefill} },
		"decode":  func(c *testCluster) []*testbackends.Backend { return c.decoders },
		"all": func(c *testCluster) []*testbackends.Backend {
			return append([]*testbackends.Backend{c.prefill}, c.decoders...)
		},
	} {
		for _, class := range []string{"trail-info", "hut-booking"} {
			t.Run(name+" "+class, func(t *testing.T) {
				cluster := startCluster(t, nil)
				for _, backend := range slow(cluster) {
					backend.OnConnect(func(conn net.Conn) bool { readSlowly(conn); return false })
				}
				const size = 250_000
				raw := cluster.request(class, "X-Timeout-Ms: 3000", fmt.Sprintf("X-Timeout-Ms: %d", timeout.Milliseconds()),
					"Content-Length: 12", fmt.Sprintf("Content-Length: %d", size), `{"model":""}`, strings.Repeat("x", size))
				began := time.Now()
				got := cluster.send(raw)
				if took := time.Since(began); took > timeout+slack || got.status < 500 {
					t.Errorf("answered after %v: %+v", took, got)
				}
				cluster.awaitIdle()
			})
		}
	}
}

// writePieces writes a response in pieces of a few bytes, with a pause before each.
func writePieces(e *testbackends.Exchange, raw string, pieces int, pause time.Duration) bool {
	step := max(len(raw)/pieces, 1)
	for len(raw) > 0 {
		time.Sleep(pause)
		n := min(step, len(raw))
		if len(raw)-n < step {
			n = len(raw)
		}
		if !e.WriteRaw(raw[:n]) {
			return false
		}
		raw = raw[n:]
	}
	return true
}

// Guards against an answer that is cut off although its backend goes on writing it: in small pieces from the head on, or
// with many events in a chunk that takes longer than a stall may.
func TestSlowlyWrittenAnswerIsNotCutOff(t *testing.T) {
	const events = 40
	end := testbackends.EncodeChunk(testbackends.UsageEvent+testbackends.DoneEvent) + testbackends.LastChunk
	for name, respond := range map[string]func(e *testbackends.Exchange) bool{
		"the opening in pieces": func(e *testbackends.Exchange) bool {
			opening := testbackends.StreamHead + testbackends.EncodeChunk(testbackends.TextEvent("a"))
			return writePieces(e, opening, 8, 100*time.Millisecond) && e.WriteRaw(end)
		},
		"one chunk of many events": func(e *testbackends.Exchange) bool {
			chunk := testbackends.EncodeChunk(strings.Repeat(testbackends.TextEvent("a"), events))
			pause := (streamStallTimeout + time.Second) / events
			return e.WriteRaw(testbackends.StreamHead+testbackends.EncodeChunk(testbackends.TextEvent("a"))) &&
				writePieces(e, chunk, events, pause) && e.WriteRaw(end)
		},
	} {
		t.Run(name, func(t *testing.T) {
			cluster := startCluster(t, nil)
			cluster.onDecode(func(e *testbackends.Exchange) bool {
				if e.Method != "POST" {
					return e.Serve()
				}
				return respond(e)
			})
			got := cluster.send(cluster.request("trail-info"))
			if got.status != 200 || !got.complete {
				t.Errorf("status %d, complete: %v, %d events", got.status, got.complete, strings.Count(got.body, "data: "))
			}
			if attempts := len(cluster.site.Requests("w1", "POST")) + len(cluster.site.Requests("w2", "POST")); attempts != 1 {
				t.Errorf("%d attempts, want 1", attempts)
			}
			cluster.awaitIdle()
		})
	}
}
