package stages

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"sloetrestle/internal/kserve"
	"sloetrestle/internal/setup"
	"sloetrestle/internal/standin"
)

// Bytes that HTTP would not say, or JSON.
const (
	head200  = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	headLive = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	readOK   = `{"outcome":"read","kept_tokens":0}`
)

func sized(body string) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head200, len(body), body)
}

func (c *call) reset(text string) {
	conn := c.raw(text)
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

// slowly writes a text a few bytes at a time.
func (c *call) slowly(text string, pieces int) {
	conn := c.raw("")
	defer conn.Close()
	for i := range pieces {
		io.WriteString(conn, text[len(text)*i/pieces:len(text)*(i+1)/pieces])
		time.Sleep(10 * time.Millisecond)
	}
}

// atReader are faults of a reader's answer. Its state waits all the same, unless it says so: it must be let go.
var atReader = map[string]func(c *call){
	refuses:   func(c *call) { c.told(http.StatusInternalServerError, kserve.OutcomeFailed) },
	full:      func(c *call) { c.told(http.StatusServiceUnavailable, kserve.OutcomeFull) },
	resets:    func(c *call) { c.keep(); c.end("broke"); c.reset("") },
	malformed: func(c *call) { c.keep(); c.end("broke"); c.cut(sized(`{"outcome":["read"]}`)) },
	cutOff:    func(c *call) { c.keep(); c.end("broke"); c.cut(sized(readOK)[:len(sized(readOK))-9]) },
	oversized: func(c *call) {
		c.keep()
		c.end("broke")
		c.cut(sized(`{"outcome":"read","error":"` + strings.Repeat("x", 200<<10) + `"}`))
	},
	doubled: func(c *call) { c.keep(); c.end(kserve.OutcomePrefilled); c.cut(sized(readOK) + sized(readOK)) },
	slow:    func(c *call) { c.keep(); c.end(kserve.OutcomePrefilled); c.slowly(sized(readOK), 12) },
}

// atWriter are faults of a writer's answer before its first token. It has run, unless it says that it is full.
var atWriter = map[string]func(c *call){
	refuses:   func(c *call) { c.take(); c.run(); c.told(http.StatusInternalServerError, kserve.OutcomeFailed) },
	full:      func(c *call) { c.told(http.StatusServiceUnavailable, kserve.OutcomeFull) },
	resets:    func(c *call) { c.take(); c.run(); c.end("broke"); c.reset("") },
	malformed: func(c *call) { c.take(); c.run(); c.end("broke"); c.cut("SSH-2.0-not-a-box\r\n\r\n") },
	cutOff:    func(c *call) { c.take(); c.run(); c.end("broke"); c.cut(headLive) },
	oversized: func(c *call) {
		c.take()
		c.run()
		c.end("broke")
		c.cut("HTTP/1.1 503 Full\r\nContent-Length: 1000000\r\n\r\n{\"outcome\":\"full\",\"error\":\"" + strings.Repeat("x", 999_900))
	},
	doubled: func(c *call) {
		c.take()
		c.run()
		c.end(kserve.OutcomeCompleted)
		c.cut(headLive + "\r\ndata: {\"text_output\":\" a\"}\n\nevent: end\ndata: {\"outcome\":\"answered\"}\n\n" + sized(`{"outcome":"full"}`))
	},
	slow: func(c *call) {
		c.take()
		c.run()
		c.end(kserve.OutcomeCompleted)
		c.slowly(headLive+"Connection: close\r\n\r\ndata: {\"text_output\":\" a\"}\n\nevent: end\ndata: {\"outcome\":\"answered\"}\n\n", 12)
	},
}

// inStream are faults of a stream that has begun.
var inStream = map[string]func(c *call){
	refuses:   func(c *call) { c.end("failed"); c.event("error", map[string]string{"error": "no more"}) },
	full:      func(c *call) { c.end("full"); c.event("end", kserve.AttemptResult{Outcome: kserve.OutcomeFull}) },
	resets:    func(c *call) { c.end("broke"); c.reset("") },
	malformed: func(c *call) { c.end("broke"); c.plain("data: {\"text_output\n\n" + theEnd) },
	cutOff:    func(c *call) { c.end("broke"); c.plain("data: {\"text_out"); panic(http.ErrAbortHandler) },
	oversized: func(c *call) { c.end("broke"); c.plain("data: \"" + strings.Repeat("x", 2<<20) + "\"\n\n" + theEnd) },
	silent:    func(c *call) { <-c.r.Context().Done(); c.end("closed") },
	doubled: func(c *call) {
		c.end(kserve.OutcomeCompleted)
		c.plain(theEnd + theEnd + "data: {\"text_output\":\" late\"}\n\n")
	},
	slow: func(c *call) {
		for range 4 {
			time.Sleep(30 * time.Millisecond)
			c.event("", kserve.Token{Text: " slow"})
		}
		c.end(kserve.OutcomeCompleted)
		c.plain(theEnd)
	},
}

const theEnd = "event: end\ndata: {\"outcome\":\"answered\"}\n\n"

func (c *call) plain(text string) {
	io.WriteString(c.w, text)
	c.flush()
}

// asked is a run of some questions of each grade while a fault acts.
func asked(kind string, script func(c *call)) run {
	return func(s *site) func() {
		s.each(kind, func(b *box) {
			b.script = first(4, script, (*call).well) // then a second trip may go well
		})
		return func() { s.ask(2, nil) }
	}
}

// first has a fault at the first calls, and what is well after them.
func first(n int64, fault, well func(c *call)) func(c *call) {
	var calls atomic.Int64
	return func(c *call) {
		if calls.Add(1) > n {
			well(c)
			return
		}
		c.strike()
		fault(c)
	}
}

// A run sets a site up and returns what is to be done on it.
type run func(s *site) func()

// begun lets a writer begin its stream well before the fault.
func begun(script func(c *call)) func(c *call) {
	return func(c *call) {
		c.take()
		c.begin()
		script(c)
	}
}

// atProof are faults of a connection before anything is sent over it.
var atProof = map[string]func(c *call){
	refuses: func(c *call) {
		kserve.WriteJSON(c.w, http.StatusServiceUnavailable, map[string]string{"name": c.b.name})
	},
	resets:    func(c *call) { c.reset("") },
	silent:    func(c *call) { <-c.r.Context().Done() },
	malformed: func(c *call) { c.cut(sized(`{"name":7}`)) },
	cutOff:    func(c *call) { c.cut(sized(`{"name":"reader-0"}`)[:60]) },
	oversized: func(c *call) { c.cut(sized(`{"name":"` + strings.Repeat("x", 100<<10) + `"}`)) },
	doubled:   func(c *call) { c.cut(sized(`{"name":"`+c.b.name+`"}`) + sized(`{"name":"`+c.b.name+`"}`)) },
	slow: func(c *call) {
		time.Sleep(40 * time.Millisecond)
		kserve.WriteJSON(c.w, http.StatusOK, map[string]string{"name": c.b.name})
	},
}

// proofs has the fault at every box's first connections.
func proofs(script func(c *call)) run {
	return func(s *site) func() {
		// A trip that connects is out, by the rule's words; the far ends don't see it, and each writer may take limits.dial.
		s.d.Rules.KVCacheHoldLimit = setup.Duration(1500 * time.Millisecond)
		for _, b := range s.boxes {
			b.proof = first(3, script, func(c *call) { kserve.WriteJSON(c.w, http.StatusOK, map[string]string{"name": b.name}) })
		}
		return func() { s.ask(2, nil) }
	}
}

// atRelease are faults of a release's answer; the first is not carried out, so that only another try lets the state go.
var atRelease = map[string]func(c *call){
	refuses: func(c *call) { kserve.WriteJSON(c.w, http.StatusInternalServerError, nil) },
	full: func(c *call) {
		kserve.WriteJSON(c.w, http.StatusServiceUnavailable, kserve.AttemptResult{Outcome: kserve.OutcomeFull})
	},
	resets:    func(c *call) { c.reset("") },
	silent:    func(c *call) { <-c.r.Context().Done() },
	malformed: func(c *call) { c.cut("what?") },
	cutOff:    func(c *call) { c.cut(head200[:20]) },
	oversized: func(c *call) { c.cut("HTTP/1.1 500 No\r\n\r\n" + strings.Repeat("x", 1<<20)) },
	doubled:   func(c *call) { c.release() }, // carried out, and asked for once more
	slow:      func(c *call) { time.Sleep(100 * time.Millisecond); c.release() },
}

// releases have writers that are full, so that every state is let go of by a release, whose first answers go wrong.
func releases(script func(c *call)) run {
	return func(s *site) func() {
		s.d.Rules.KVCacheHoldLimit = setup.Duration(1500 * time.Millisecond)
		s.each("writer", func(b *box) { b.script = func(c *call) { c.told(http.StatusServiceUnavailable, kserve.OutcomeFull) } })
		s.each("reader", func(b *box) {
			b.let = first(2, script, (*call).release)
		})
		return func() {
			s.ask(2, nil)
			s.until("no state waits", func() bool { return s.waiting() == 0 })
		}
	}
}

// lists say a line that makes no sense, between questions; each connection to the list begins with the whole of it.
func lists(line func(s *site) string) run {
	return func(s *site) func() {
		return func() {
			s.ask(1, nil)
			seen := s.watch.Load()
			s.push <- line(s)
			s.struck.Add(1)
			s.ask(1, func(w *standin.Request) { w.Name += "-meanwhile"; w.Session = w.Name })
			s.until("the list is followed again", func() bool { return s.watch.Load() > seen || s.state()["list_age_s"].(float64) < 2 })
			s.ask(1, func(w *standin.Request) { w.Name += "-after"; w.Session = w.Name })
			s.satisfied(9)
		}
	}
}

// stops stops the dispatcher while questions are out at boxes that behave so.
func stops(kind string, script func(c *call)) run {
	return func(s *site) func() {
		s.each(kind, func(b *box) {
			b.script = func(c *call) {
				c.strike()
				script(c)
			}
		})
		return func() {
			done := make(chan bool)
			go func() { s.ask(2, nil); close(done) }()
			s.until("a trip is out", func() bool { return s.struck.Load() > 0 })
			s.stop()
			<-done
		}
	}
}
