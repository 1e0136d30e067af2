package kit3

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Box is a backend of the project's own protocol, which serves a request whole and counts what its attempts cost.
type Box struct {
	Name, Address string
	Starts        int // of its process

	Dedup        bool                // knows a repeat by its mark, and answers it as the first
	Runs         map[string][]string // text of the requests that ran, by mark
	SecondAnswer time.Duration       // after a stream, until a second copy of the answer; 0: none
	SecondEvery  int                 // of so many streams one has a second answer
	Prompt       time.Duration       // that a prompt takes, before anything of the answer is written
	TokenTime    time.Duration
	Tokens       int
	Counts       bool // counts are sent along and told

	c        *Case
	mu       sync.Mutex
	group    *sync.Mutex       // guards what is known of marks
	answers  map[string]string // by mark
	streams  int
	listener net.Listener
	conns    map[net.Conn]bool
	counts   map[string][]map[string]any // by start of a dispatcher
	forgot   map[string]int
	open     map[string]int
}

// NewBox starts a backend on a loopback address.
func (c *Case) NewBox(name string) *Box {
	b := &Box{
		Name: name, c: c, answers: map[string]string{}, Runs: map[string][]string{}, TokenTime: 5 * time.Millisecond,
		Tokens: 6, conns: map[net.Conn]bool{}, counts: map[string][]map[string]any{}, forgot: map[string]int{},
		open: map[string]int{}, Address: "127.0.0.1:0",
	}
	b.group = &b.mu
	b.Up()
	return b
}

// Up starts the backend's process, at its old address if it had one.
func (b *Box) Up() {
	l, err := net.Listen("tcp4", b.Address)
	if err != nil {
		b.c.Exit(NotRun, "%v", err)
	}
	b.mu.Lock()
	b.listener, b.Address = l, l.Addr().String()
	b.Starts++
	b.mu.Unlock()
	b.c.Logf("%s: up", b.Name)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.conns[conn] = true
			b.mu.Unlock()
			go b.serve(conn)
		}
	}()
}

// Down ends the backend's process: its connections are reset. It keeps its counts.
func (b *Box) Down() {
	b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for conn := range b.conns {
		conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
	b.c.Logf("%s: down", b.Name)
}

// Total returns the tokens that the backend has counted.
func (b *Box) Total() (read, answered, attempts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, counts := range b.counts {
		for _, count := range counts {
			read, answered, attempts = read+count["read_tokens"].(int), answered+count["answer_tokens"].(int), attempts+1
		}
	}
	return read, answered, attempts
}

type attempt struct {
	Text       string `json:"text_input"`
	Parameters struct {
		Mark       string `json:"mark"`
		Dispatcher string `json:"dispatcher"`
		Question   uint64 `json:"question"`
		Trip       int    `json:"trip"`
		Stage      string `json:"stage"`
		Channel    string `json:"channel"`
		Grade      string `json:"grade"`
		Prompt     int    `json:"prompt_tokens"`
	} `json:"parameters"`
}

func (b *Box) count(in attempt, answered int, end string) map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := in.Parameters
	count := map[string]any{
		"number": len(b.counts[p.Dispatcher]) + 1, "key": fmt.Sprintf("%s/%d", p.Dispatcher, p.Question), "trip": p.Trip,
		"mark": p.Mark, "stage": p.Stage, "channel": p.Channel, "grade": p.Grade, "read_tokens": p.Prompt, "kept_tokens": 0,
		"answer_tokens": answered, "end": end,
	}
	b.counts[p.Dispatcher] = append(b.counts[p.Dispatcher], count)
	b.c.Logf("%s: count %d of %s: %s, read %d, answered %d, %s", b.Name, len(b.counts[p.Dispatcher]), p.Dispatcher, in.Text, p.Prompt, answered, end)
	return count
}

func (b *Box) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var write sync.Mutex
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		raw, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		reply := func(status int, v any) {
			body, _ := json.Marshal(v)
			write.Lock()
			defer write.Unlock()
			fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(body), body)
		}
		switch {
		case r.Method == http.MethodGet && r.URL.Path == "/v2":
			reply(200, map[string]any{"name": b.Name})
		case strings.HasSuffix(r.URL.Path, "/release"):
			reply(200, map[string]any{})
		case strings.HasSuffix(r.URL.Path, "/counts"):
			var ask struct {
				From  string `json:"from"`
				After int    `json:"after"`
			}
			json.Unmarshal(raw, &ask)
			b.mu.Lock()
			b.forgot[ask.From] = max(b.forgot[ask.From], ask.After)
			counts := b.counts[ask.From]
			answer := map[string]any{"counts": counts[min(ask.After, len(counts)):], "open": b.open[ask.From], "forgot": b.forgot[ask.From]}
			b.mu.Unlock()
			b.c.Logf("%s: asked for the counts of %s after %d", b.Name, ask.From, ask.After)
			reply(200, answer)
		case strings.HasSuffix(r.URL.Path, "/generate_stream"):
			var in attempt
			json.Unmarshal(raw, &in)
			if !b.stream(conn, &write, in) {
				return
			}
		default:
			reply(404, map[string]any{"error": "not known"})
		}
	}
}

// stream answers an attempt, and reports whether the connection may be used again.
func (b *Box) stream(conn net.Conn, write *sync.Mutex, in attempt) bool {
	text, mark := in.Text, in.Parameters.Mark
	b.group.Lock()
	if first, known := b.answers[mark]; known && b.Dedup {
		b.c.Logf("%s: %q has the mark %q of an earlier one: not run again, answered as that one", b.Name, in.Text, mark)
		text = first
	} else {
		b.answers[mark] = in.Text
		b.Runs[mark] = append(b.Runs[mark], in.Text)
		b.c.Logf("%s: runs %q, mark %q", b.Name, in.Text, mark)
	}
	b.group.Unlock()
	b.mu.Lock()
	b.streams++
	b.open[in.Parameters.Dispatcher]++
	second := b.SecondEvery > 0 && b.streams%b.SecondEvery == 0
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.open[in.Parameters.Dispatcher]--
		b.mu.Unlock()
	}()
	time.Sleep(b.Prompt)
	write.Lock()
	defer write.Unlock()
	var whole bytes.Buffer
	var failed error
	send := func(s string) {
		whole.WriteString(s)
		if _, err := io.WriteString(conn, s); err != nil {
			failed = err
		}
	}
	chunk := func(s string) { send(fmt.Sprintf("%x\r\n%s\r\n", len(s), s)) }
	send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for n := range b.Tokens {
		token, _ := json.Marshal(map[string]any{"model_name": "lodge", "text_output": "<" + text + ">"})
		chunk(fmt.Sprintf("data: %s\n\n", token))
		if failed != nil {
			b.count(in, n, "broke")
			return false
		}
		time.Sleep(b.TokenTime)
	}
	end := map[string]any{"outcome": "answered", "kept_tokens": 0, "load": []float64{0.1, 0, 0.1}}
	if count := b.count(in, b.Tokens, "answered"); b.Counts {
		end["count"] = count
	}
	last, _ := json.Marshal(end)
	chunk("event: end\ndata: " + string(last) + "\n\n")
	send("0\r\n\r\n")
	if second {
		time.AfterFunc(b.SecondAnswer, func() {
			write.Lock()
			defer write.Unlock()
			b.c.Logf("%s: a second answer to %q, %v late", b.Name, in.Text, b.SecondAnswer)
			conn.Write(whole.Bytes())
		})
	}
	return failed == nil
}

// ShareMarks makes backends one group that knows the marks of each other.
func ShareMarks(boxes ...*Box) {
	for _, b := range boxes {
		b.answers, b.group = boxes[0].answers, &boxes[0].mu
	}
}

// Ran reports whether a request with that text ran at one of the backends.
func Ran(text string, boxes ...*Box) bool {
	for _, b := range boxes {
		b.group.Lock()
		for _, texts := range b.Runs {
			for _, ran := range texts {
				if ran == text {
					b.group.Unlock()
					return true
				}
			}
		}
		b.group.Unlock()
	}
	return false
}
