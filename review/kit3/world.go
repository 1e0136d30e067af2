// Package kit3 has the stand-ins of the cases: discovery's agent, model hosts and clients of the users' platform,
// written from the platform's pages, and the start of real dispatchers as processes of their own.
package kit3

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Case is one run of a case: its record, and the processes that it started.
type Case struct {
	Root    string // of the repository
	Folder  string // of the case
	Trouble bool   // false with TROUBLE=0
	Temp    string

	mu     sync.Mutex
	record *os.File
	began  time.Time
	procs  []*Process
}

// NewCase opens the record of the case whose folder is named by the first argument.
func NewCase() *Case {
	folder, err := filepath.Abs(os.Args[1])
	if err != nil {
		panic(err)
	}
	c := &Case{Folder: folder, Root: filepath.Dir(filepath.Dir(folder)), Trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	if c.Temp, err = os.MkdirTemp("", "case"); err != nil {
		panic(err)
	}
	if c.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		panic(err)
	}
	c.Logf("trouble: %v", c.Trouble)
	time.AfterFunc(115*time.Second, func() { c.Exit(NotRun, "the case took over 115 s") })
	return c
}

// Logf writes a line with the time since the start to the record.
func (c *Case) Logf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%9.3f  %s\n", time.Since(c.began).Seconds(), fmt.Sprintf(format, args...))
}

// Exit ends all processes, writes the verdict and exits.
func (c *Case) Exit(code int, format string, args ...any) {
	c.mu.Lock()
	procs := c.procs
	c.mu.Unlock()
	for _, p := range procs {
		p.Kill()
	}
	verdict := fmt.Sprintf(format, args...)
	c.Logf("verdict %d: %s", code, verdict)
	fmt.Println(verdict)
	os.RemoveAll(c.Temp)
	os.Exit(code)
}

// Process is a program that the case started.
type Process struct {
	Command *exec.Cmd
	ended   chan struct{}
}

// Start starts a command of the deploy file from the root, with its log in the temporary folder.
func (c *Case) Start(name, command string, env ...string) *Process {
	log, err := os.OpenFile(filepath.Join(c.Temp, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		c.Exit(NotRun, "%v", err)
	}
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir, cmd.Stdout, cmd.Stderr = c.Root, log, log
	cmd.Env = append(os.Environ(), env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		c.Exit(NotRun, "start %s: %v", name, err)
	}
	p := &Process{Command: cmd, ended: make(chan struct{})}
	go func() { cmd.Wait(); close(p.ended) }()
	c.mu.Lock()
	c.procs = append(c.procs, p)
	c.mu.Unlock()
	c.Logf("started %s: %s", name, command)
	return p
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.Command.Process.Kill()
	<-p.ended
}

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) { p.Command.Process.Signal(s) }

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// FreeAddress returns an address of this machine that nothing listens at.
func FreeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Deploy is the command that starts a dispatcher, as the deploy file has it.
func (c *Case) Deploy() string {
	raw, err := os.ReadFile(filepath.Join(c.Root, "deploy", "balancer.toml"))
	if err != nil {
		c.Exit(NotRun, "%v", err)
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, `run = "`); ok {
			command, _, _ := strings.Cut(rest, `"`)
			return command
		}
	}
	c.Exit(NotRun, "the deploy file has no run")
	return ""
}

// Dispatcher starts a dispatcher of the platform and waits until it is ready.
func (c *Case) Dispatcher(name, listen, discovery string, known, settings any) *Process {
	config := map[string]any{
		"name": name, "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": MemoryMB, "sockets": Sockets},
		"settings": settings,
	}
	if known != nil {
		config["known"] = known
	}
	raw, _ := json.Marshal(config)
	file := filepath.Join(c.Temp, name+".json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		c.Exit(NotRun, "%v", err)
	}
	p := c.Start(name, c.Deploy(), "BALANCER_CONFIG="+file, "BALANCER_NAME="+name, "BALANCER_LISTEN="+listen,
		"BALANCER_DISCOVERY="+discovery)
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if resp, err := http.Get("http://" + listen + "/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				c.Logf("%s is ready", name)
				return p
			}
		}
		if p.Ended() {
			break
		}
	}
	c.Exit(NotRun, "%s did not become ready", name)
	return nil
}

// Settings returns the settings of a small deployment: its figures are those of the third brief's site.
func Settings(siblings int) map[string]any {
	class := func(name, effect string, aim, giveUp int, worth float64) map[string]any {
		return map[string]any{"name": name, "effect": effect, "aimUs": aim, "giveUpUs": giveUp, "worth": worth,
			"lateWorth": 0.1, "stream": true, "group": "all", "windowUs": 5000000}
	}
	return map[string]any{
		"siblings": siblings, "slotNo": 0, "discovery": "automatic", "dcs": []string{"hall-1"}, "zone": 0,
		"kinds": []string{"prompt-side", "answer-side"}, "family": "twostage",
		"familyInfo": map[string]any{"kindRole": []string{"read", "write"}, "localRead": true, "resume": true,
			"holdsAllowed": false, "tokensByKind": []int{200000, 200000}, "pinLimitUs": 500000},
		"policyLimits": map[string]any{"cancelling": true, "maxAttempts": 4, "connIdleUs": 30000000,
			"dialTimeoutUs": 250000, "retryAfter": true, "maxRetryAfterUs": 2000000, "maxOpen": 20000, "peers": false,
			"probes": false, "secondCopies": false},
		"report": map[string]any{"fields": []string{"util", "queue", "x0"}, "source": "piggyback"},
		"rules": map[string]any{"tipMultiple": 2.5, "tipAfterUs": 2000000, "coldFrom": 0.4, "rampTimeUs": 9000000,
			"drainGraceUs": 1000000, "answerSlackUs": 8000},
		"requestClasses": []any{class("trail-info", "repeatable", 1500000, 6000000, 2),
			class("trip-plan", "repeatable", 2000000, 8000000, 1), class("hut-booking", "once", 800000, 4000000, 5)},
		"tenants":        []any{map[string]any{"name": "web-app", "quotaPerS": 1000.0, "fraction": 1.0}},
		"overShareWorth": 0.05, "valueBy": "work", "weights": "nominal",
	}
}

// Host is a model host.
type Host struct {
	UID, Kind, State string
	Address          string
	// Handle may answer an attempt in place of the host; it reports whether it did.
	Handle    func(w http.ResponseWriter, r *http.Request, id string) bool
	TokenTime time.Duration
	Tokens    int
	c         *Case
	mu        sync.Mutex
	Got       map[string]time.Time // when an attempt's last byte came, by id
}

// NewHost starts a model host on a loopback address.
func (c *Case) NewHost(uid, kind string) *Host {
	h := &Host{UID: uid, Kind: kind, State: "in_service", c: c, Got: map[string]time.Time{}, Tokens: 10, TokenTime: 20 * time.Millisecond}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.Exit(NotRun, "%v", err)
	}
	h.Address = l.Addr().String()
	go http.Serve(l, h)
	return h
}

// Received returns when an attempt of the request came here.
func (h *Host) Received(id string) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, ok := h.Got[id]
	return at, ok
}

// ServeHTTP serves one request as the protocol page says.
func (h *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	if strings.HasPrefix(r.URL.Path, "/v1/holds/") {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	id := r.Header.Get("X-Request-Id")
	h.mu.Lock()
	h.Got[id] = time.Now()
	h.mu.Unlock()
	h.c.Logf("%s: attempt of %s", h.UID, id)
	if h.Handle != nil && h.Handle(w, r, id) {
		return
	}
	w.Header().Set("X-Server-Load", "util=0.10,queue=0,x0=0.10")
	if h.Kind == "prompt-side" {
		time.Sleep(30 * time.Millisecond)
		w.WriteHeader(http.StatusAccepted)
		io.WriteString(w, `{"cached_tokens":0}`)
		return
	}
	h.Stream(w, id)
}

// Stream writes a whole answer.
func (h *Host) Stream(w http.ResponseWriter, id string) {
	time.Sleep(30 * time.Millisecond)
	w.Header().Set("Content-Type", "text/event-stream")
	flush := func() { w.(http.Flusher).Flush() }
	for i := range h.Tokens {
		reason := "null"
		if i == h.Tokens-1 {
			reason = `"stop"`
		}
		fmt.Fprintf(w, `data: {"choices":[{"index":0,"delta":{"content":"%s-%d "},"finish_reason":%s}]}`+"\n\n", id, i, reason)
		flush()
		time.Sleep(h.TokenTime)
	}
	fmt.Fprintf(w, `data: {"choices":[],"usage":{"prompt_tokens":400,"completion_tokens":%d,"prompt_tokens_details":{"cached_tokens":0}}}`+"\n\n", h.Tokens)
	io.WriteString(w, "data: [DONE]\n\n")
	flush()
}

// Agent is discovery's agent.
type Agent struct {
	Address string
	c       *Case
	mu      sync.Mutex
	rev     int
	hosts   []*Host
	watches map[net.Conn]*sync.Mutex
	silent  bool // while discovery is down
	// Write, if set, writes one object of a watch in place of the agent.
	Write func(conn net.Conn, object string)
}

// NewAgent starts an agent that lists the hosts.
func (c *Case) NewAgent(hosts ...*Host) *Agent {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.Exit(NotRun, "%v", err)
	}
	a := &Agent{Address: l.Addr().String(), c: c, rev: 41, hosts: hosts, watches: map[net.Conn]*sync.Mutex{}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go a.serve(conn)
		}
	}()
	return a
}

func (a *Agent) list(hosts []*Host, all bool) string {
	targets := []any{}
	for _, h := range hosts {
		targets = append(targets, map[string]any{"uid": h.UID, "endpoint": h.Address, "az": "hall-1", "model": h.Kind,
			"pod_group": 1, "state": h.State, "capacity_hint": 1.0, "boot_ms": 0})
	}
	raw, _ := json.Marshal(map[string]any{"rev": a.rev, "all": all, "targets": targets})
	return string(raw)
}

// List returns the whole list.
func (a *Agent) List() json.RawMessage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return json.RawMessage(a.list(a.hosts, true))
}

func (a *Agent) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		a.mu.Lock()
		silent := a.silent
		a.mu.Unlock()
		if silent {
			a.c.Logf("agent: GET %s, silent", r.URL.RequestURI())
			continue
		}
		if r.URL.Query().Get("stream") == "" {
			body := a.List()
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			continue
		}
		a.c.Logf("agent: watch %s", r.URL.RequestURI())
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
		a.mu.Lock()
		first := a.list(nil, false)
		if r.URL.Query().Get("index") != fmt.Sprint(a.rev) {
			first = a.list(a.hosts, true)
		}
		writing := &sync.Mutex{} // held while a message is written: empty lines come between messages
		a.watches[conn] = writing
		writing.Lock()
		a.mu.Unlock()
		a.write(conn, first)
		writing.Unlock()
		go io.Copy(io.Discard, reader)
		for {
			time.Sleep(2 * time.Second)
			a.mu.Lock()
			silent := a.silent
			a.mu.Unlock()
			if silent {
				continue
			}
			writing.Lock()
			_, err := io.WriteString(conn, "1\r\n\n\r\n")
			writing.Unlock()
			if err != nil {
				a.mu.Lock()
				delete(a.watches, conn)
				a.mu.Unlock()
				return
			}
		}
	}
}

func (a *Agent) write(conn net.Conn, object string) {
	if a.Write != nil {
		a.Write(conn, object)
		return
	}
	fmt.Fprintf(conn, "%x\r\n%s\n\r\n", len(object)+1, object)
}

// Change changes hosts and pushes them to all watches.
func (a *Agent) Change(state string, hosts ...*Host) {
	a.mu.Lock()
	a.rev++
	for _, h := range hosts {
		h.State = state
	}
	object := a.list(hosts, false)
	for conn, writing := range a.watches {
		go func() {
			writing.Lock()
			defer writing.Unlock()
			a.write(conn, object)
		}()
	}
	a.mu.Unlock()
}

// Client is a client with one connection that it keeps.
type Client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// Dial opens a client's connection.
func (c *Case) Dial(address string) *Client {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		c.Exit(NotRun, "%v", err)
	}
	return NewClient(conn)
}

// NewClient returns a client with an open connection.
func NewClient(conn net.Conn) *Client { return &Client{conn, bufio.NewReader(conn)} }

// Send sends bytes.
func (cl *Client) Send(text string) error {
	_, err := io.WriteString(cl.conn, text)
	return err
}

// Close closes the client's connection.
func (cl *Client) Close() { cl.conn.Close() }

// Answer is what a client got.
type Answer struct {
	Status int   // 0: no answer
	Whole  bool  // the body came to its end
	Err    error // that ended it
	Body   string
	Closes bool // the dispatcher said that it closes the connection
}

// Head returns the head of a request.
func Head(id, class string, timeout time.Duration, bodyLength int) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: %s\r\n"+
		"X-Priority-Class: %s\r\nX-Tenant-Id: web-app\r\nX-Route-Key: k%s\r\nX-Timeout-Ms: %d\r\n"+
		"X-Attrs: prompt_len=400,max_out=100\r\nContent-Length: %d\r\n\r\n", id, class, id, timeout.Milliseconds(), bodyLength)
}

// Body is the body of a request.
const Body = `{"model":"chat","stream":true,"max_tokens":100,"messages":[{"role":"user","content":"is the hut free"}]}`

// Ask sends a request and waits for the answer, until its time and some more is over.
func (cl *Client) Ask(id, class string, timeout time.Duration) Answer {
	if _, err := io.WriteString(cl.conn, Head(id, class, timeout, len(Body))+Body); err != nil {
		return Answer{Err: err}
	}
	return cl.Read(timeout + 550*time.Millisecond)
}

// Read reads an answer, of which the first byte has to come within the limit.
func (cl *Client) Read(limit time.Duration) Answer {
	cl.conn.SetReadDeadline(time.Now().Add(limit))
	defer cl.conn.SetReadDeadline(time.Time{})
	if _, err := cl.reader.Peek(1); err != nil {
		return Answer{Err: err}
	}
	cl.conn.SetReadDeadline(time.Now().Add(30 * time.Second))
	resp, err := http.ReadResponse(cl.reader, nil)
	if err != nil {
		return Answer{Err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Whole: err == nil, Err: err, Body: string(body), Closes: resp.Close}
}

// SetSilent makes the agent send nothing, as while discovery is down. What is asked for meanwhile gets no answer; the
// connections stay open.
func (a *Agent) SetSilent(silent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = silent
	a.c.Logf("agent: silent %v", silent)
}

// Limits of a dispatcher.
var MemoryMB, Sockets = 192, 1024
