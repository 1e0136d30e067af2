package stages

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sloetrestle/internal/kserve"
	"sloetrestle/internal/setup"
	"sloetrestle/internal/standin"
)

// asksBadly has clients whose bodies end or rest too early beside good ones.
func asksBadly(body string, length int, closes bool) run {
	return func(s *site) func() {
		s.d.Instance.BodyTimeout = setup.Duration(100 * time.Millisecond)
		return func() {
			for range 4 {
				conn, err := net.Dial("tcp", s.base)
				if err != nil {
					s.t.Fatal(err)
				}
				fmt.Fprintf(conn, "POST /v2/models/lodge/generate_stream HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", length, body)
				if closes {
					conn.Close()
				} else {
					defer conn.Close()
					resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
					if err != nil || resp.StatusCode != http.StatusRequestTimeout {
						s.t.Errorf("a body that does not come is answered %v, %v", resp, err)
					}
				}
				s.struck.Add(1)
			}
			s.ask(2, nil)
			s.until("no place is held", func() bool { return s.state()["open"] == 0.0 })
			s.satisfied(6)
		}
	}
}

// fewConnections has one connection to each box for all questions.
func fewConnections(s *site) func() {
	s.d.Limits.MaxConnsPerBackend = 1
	s.each("reader", func(b *box) {
		b.script = func(c *call) { c.strike(); time.Sleep(20 * time.Millisecond); c.well() }
	})
	return func() {
		s.ask(6, nil)
		s.each("reader", func(b *box) {
			if n := b.conns.Load(); n > 3 {
				s.t.Errorf("%d connections to %s", n, b.name)
			}
		})
	}
}

func leavesWhileConnecting(s *site) func() {
	for _, b := range s.boxes {
		b.proof = func(c *call) { c.strike(); <-c.r.Context().Done() }
	}
	return func() { s.ask(2, func(w *standin.Request) { w.LeaveAfter = 60 * time.Millisecond }) }
}

func noTimeToConnect(s *site) func() {
	for _, b := range s.boxes {
		b.proof = func(c *call) { c.strike(); <-c.r.Context().Done() }
	}
	return func() { s.ask(2, func(w *standin.Request) { w.PatienceShare = 0.3 }) }
}

// leavesBeforeItsRead has clients leave while their prompts are read by a reader that keeps the state all the same.
func leavesBeforeItsRead(s *site) func() {
	s.each("reader", func(b *box) {
		b.script = func(c *call) {
			c.strike()
			c.keep()
			<-c.r.Context().Done()
			c.end("closed")
		}
	})
	return func() {
		s.ask(2, func(w *standin.Request) { w.LeaveAfter = 100 * time.Millisecond })
		s.until("no state waits", func() bool { return s.waiting() == 0 })
	}
}

func leavesWhileStopping(s *site) func() {
	do := stops("writer", func(c *call) { <-c.r.Context().Done() })(s)
	return func() {
		gone := make(chan bool)
		go func() {
			s.ask(1, func(w *standin.Request) { w.Name += "-leaves"; w.Session, w.LeaveAfter = w.Name, 150*time.Millisecond })
			close(gone)
		}()
		do()
		<-gone
	}
}

// startsWith has a dispatcher start with a kept list that says so; the list itself tells it of boxes.
func startsWith(kept string) run {
	return func(s *site) func() {
		s.d.Instance.EndpointCacheFolder = s.t.TempDir()
		if err := os.WriteFile(filepath.Join(s.d.Instance.EndpointCacheFolder, "boxlist-d.json"), []byte(kept), 0o644); err != nil {
			s.t.Fatal(err)
		}
		s.struck.Add(1)
		return func() {
			s.ask(2, nil)
			s.satisfied(6)
		}
	}
}

// startsWithoutAList has a list that is away, and a kept one.
func startsWithoutAList(s *site) func() {
	s.d.Instance.EndpointCacheFolder = s.t.TempDir()
	s.whole()
	if err := os.WriteFile(filepath.Join(s.d.Instance.EndpointCacheFolder, "boxlist-d.json"), []byte(`{"saved_unix_ms":1,"push":`+s.last+`}`), 0o644); err != nil {
		s.t.Fatal(err)
	}
	s.noList = true
	s.struck.Add(1)
	return func() {
		s.ask(2, nil)
		s.satisfied(6)
	}
}

// words sends datagrams to a dispatcher whose sibling is away.
func words(raw []byte) run {
	return func(s *site) func() {
		at := func() string {
			c, err := net.ListenPacket("udp", "127.0.0.1:0")
			if err != nil {
				s.t.Fatal(err)
			}
			defer c.Close()
			return c.LocalAddr().String()
		}
		s.d.Instance.PeerListen = at()
		s.d.Instance.FleetSize, s.d.Instance.PeerAddrs, s.d.Limits.PeerUpdates = 2, []string{s.d.Instance.PeerListen, at()}, true
		return func() {
			if raw != nil {
				c, err := net.Dial("udp", s.d.Instance.PeerListen)
				if err != nil {
					s.t.Fatal(err)
				}
				defer c.Close()
				for range 20 {
					c.Write(raw)
				}
				s.until("they were dropped", func() bool { return s.state()["messages_dropped"].(float64) >= 1 })
			}
			s.struck.Add(1)
			s.ask(2, nil)
			s.satisfied(6)
		}
	}
}

// tickets shows the dispatcher a ticket that it never gave.
func tickets(text string) run {
	return func(s *site) func() {
		return func() {
			for range 5 {
				body := fmt.Sprintf(`{"text_input":"x","parameters":{"again":true,"ticket":%q,"max_tokens":8}}`, text)
				resp, err := http.Post("http://"+s.base+"/v2/models/lodge/generate", "application/json", strings.NewReader(body))
				if err != nil {
					s.t.Fatal(err)
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
			if n := s.state()["storm"].(map[string]any)["counts"].(map[string]any)["Forged"]; n != 5.0 {
				s.t.Errorf("%v tickets were told from true ones", n)
			}
			s.struck.Add(1)
			s.ask(1, nil)
		}
	}
}

// An answer that is to come in one piece has a bound.
func TestAnAnswerTooLongToGatherIsForfeited(t *testing.T) {
	s := open(t, func(s *site) {
		s.d.Classes[0].DefaultMaxTokens = 64
		s.each("writer", func(b *box) {
			b.script = func(c *call) {
				c.take()
				c.begin()
				for range 60 {
					c.event("", kserve.Token{Text: strings.Repeat("long ", 180_000)})
				}
				c.end("broke")
				c.strike()
			}
		})
	})
	resp, err := http.Post("http://"+s.base+"/v2/models/lodge/generate", "application/json", strings.NewReader(`{"text_input":"x","parameters":{"max_tokens":64}}`))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusBadGateway || !strings.Contains(string(raw), "too long") {
		t.Errorf("%s: %.200s", resp.Status, raw)
	}
	s.until("its place is free", func() bool { return s.state()["open"] == 0.0 })
}

// What a client may say, and how it is refused: by the field, with nothing taken.
func TestBodiesThatMakeNoSenseAreRefusedByName(t *testing.T) {
	s := open(t, func(s *site) { s.d.Instance.MaxBodyBytes = 64 << 10 })
	deep := func(n int) string {
		return `{"text_input":"x","parameters":{"x":` + strings.Repeat("[", n) + strings.Repeat("]", n) + `}}`
	}
	for _, c := range []struct {
		way, body string
		status    int
		says      string
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
		{"generate", `{"text_input":"x","parameters":{"session":` + `"` + strings.Repeat("s", 600) + `"}}`, 400, "parameters.session"},
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
		{"infer", `{"inputs":[{"name":"t","shape":[3,6148914691236517205,3,5],"datatype":"BYTES","data":["x"]}]}`, 400, "inputs.0"},
		{"infer", `{"inputs":[{"name":"t","shape":[4294967296,4294967296,0],"datatype":"BYTES","data":["x"]}]}`, 400, "inputs.0"},
		{"infer", `{"inputs":[{"name":"t","shape":[1],"datatype":"BYTES","data":["x","y"]}]}`, 400, "inputs.0.data"},
	} {
		resp, err := http.Post("http://"+s.base+"/v2/models/lodge/"+c.way, "application/json", strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		raw, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode != c.status || !strings.Contains(string(raw), c.says) {
			t.Errorf("%.80s: %d %.200s", c.body, resp.StatusCode, raw)
		}
	}
	if out := s.state(); out["taken"] != 0.0 || out["open"] != 0.0 {
		t.Errorf("taken %v, open %v", out["taken"], out["open"])
	}
}
