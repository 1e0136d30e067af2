package faultmatrix

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"sloetrestle/internal/kserve"
	"sloetrestle/internal/setup"
)

// A client that requests a unary answer and never reads it must not occupy a slot of the frontend forever.
func TestClientThatReadsNoAnswerIsDisconnected(t *testing.T) {
	s := startCluster(t, func(s *testCluster) {
		s.config.Instance.WriteTimeout = setup.Duration(200 * time.Millisecond)
		s.eachBackend("writer", func(b *testBackend) {
			b.onAttempt = func(c *call) {
				c.takeKVCache()
				c.startStream()
				for range 6 {
					c.writeEvent("", kserve.Token{Text: strings.Repeat("long ", 180_000)})
				}
				c.writeEvent("end", kserve.AttemptResult{Outcome: kserve.OutcomeCompleted})
				c.finish(kserve.OutcomeCompleted)
				c.countFault()
			}
		})
	})
	conn, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.(*net.TCPConn).SetReadBuffer(4096)
	body := `{"text_input":"x","parameters":{"max_tokens":8}}`
	fmt.Fprintf(conn, "POST /v2/models/lodge/generate HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s",
		len(body), body)
	s.waitFor("the backend to send its answer", func() bool { return s.faultCount.Load() > 0 })
	s.waitFor("the request to be closed", func() bool { return s.readState()["open"] == 0.0 })
}

// The write timeout of one answer must not continue into the next request on the same connection.
func TestWriteTimeoutRestartsForEachAnswerOnAConnection(t *testing.T) {
	for _, endpoint := range []string{"generate", "generate_stream"} {
		s := startCluster(t, func(s *testCluster) { s.config.Instance.WriteTimeout = setup.Duration(100 * time.Millisecond) })
		conn, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for i, body := range []string{
			`{"text_input":"x","parameters":{"max_tokens":8}}`,
			`{"text_input":"x","parameters":{"grade":"none"}}`,
		} {
			time.Sleep(time.Duration(i) * 200 * time.Millisecond)
			fmt.Fprintf(conn, "POST /v2/models/lodge/%s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s",
				endpoint, len(body), body)
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatalf("%s, answer %d: %v", endpoint, i, err)
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				t.Fatalf("%s, answer %d: %v", endpoint, i, err)
			}
		}
	}
}
