package stages

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

// A client that asks for its answer in one piece and reads none of it must not hold its place for ever.
func TestAClientThatTakesNoAnswerIsLetGo(t *testing.T) {
	s := open(t, func(s *site) {
		s.d.Instance.WriteTimeout = setup.Duration(200 * time.Millisecond)
		s.each("writer", func(b *box) {
			b.script = func(c *call) {
				c.take()
				c.begin()
				for range 6 {
					c.event("", kserve.Token{Text: strings.Repeat("long ", 180_000)})
				}
				c.event("end", kserve.AttemptResult{Outcome: kserve.OutcomeCompleted})
				c.end(kserve.OutcomeCompleted)
				c.strike()
			}
		})
	})
	conn, err := net.Dial("tcp", s.base)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.(*net.TCPConn).SetReadBuffer(4096)
	body := `{"text_input":"x","parameters":{"max_tokens":8}}`
	fmt.Fprintf(conn, "POST /v2/models/lodge/generate HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	s.until("the answer has come", func() bool { return s.struck.Load() > 0 })
	s.until("its place is free", func() bool { return s.state()["open"] == 0.0 })
}

// The time to take one answer must not run on into the next question on the same connection.
func TestTheNextAnswerOnAConnectionHasItsOwnTime(t *testing.T) {
	for _, way := range []string{"generate", "generate_stream"} {
		s := open(t, func(s *site) { s.d.Instance.WriteTimeout = setup.Duration(100 * time.Millisecond) })
		conn, err := net.Dial("tcp", s.base)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		read := bufio.NewReader(conn)
		for i, body := range []string{`{"text_input":"x","parameters":{"max_tokens":8}}`, `{"text_input":"x","parameters":{"grade":"none"}}`} {
			time.Sleep(time.Duration(i) * 200 * time.Millisecond)
			fmt.Fprintf(conn, "POST /v2/models/lodge/%s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", way, len(body), body)
			resp, err := http.ReadResponse(read, nil)
			if err != nil {
				t.Fatalf("%s, answer %d: %v", way, i, err)
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				t.Fatalf("%s, answer %d: %v", way, i, err)
			}
		}
	}
}
