// Package hosts is what the project plays itself of the users' platform, from the platform's own pages: boxes that speak its
// protocol with scripted faults, and the agent of its discovery. It keeps a record of what reached it, and knows nothing of the
// dispatcher. Begin with Site.
package hosts

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"sloetrestle/internal/standin"
)

// Kinds of boxes, and what they are called in the settings.
const (
	PrefillKind = "prompt-side"
	DecodeKind  = "answer-side"
)

// Settings are those of a small deployment, in the form in which the platform hands them over.
const Settings = `{"siblings":1,"slotNo":0,"discovery":"automatic","dcs":["hall-1"],"kinds":["prompt-side","answer-side"],
"familyInfo":{"kindRole":["read","write"],"localRead":false,"resume":true,"tokensByKind":[200000,200000],"pinLimitUs":500000},
"policyLimits":{"cancelling":true,"maxAttempts":4,"connIdleUs":30000000,"dialTimeoutUs":250000,"retryAfter":true,"maxRetryAfterUs":2000000,"maxOpen":1000},
"report":{"fields":["util","queue","x0"],"source":"piggyback"},"rules":{"tipMultiple":2.5,"tipAfterUs":2000000,"coldFrom":0.4,"rampTimeUs":9000000},
"requestClasses":[{"name":"trail-info","effect":"repeatable","aimUs":1500000,"worth":2,"lateWorth":0.1,"giveUpUs":6000000},
{"name":"hut-booking","effect":"once","aimUs":800000,"worth":5,"lateWorth":0.3,"giveUpUs":4000000}],
"tenants":[{"name":"web-app","quotaPerS":1000}],"overShareWorth":0.05,"valueBy":"work"}`

// Exchange is one request whose last byte has come to a box.
type Exchange struct {
	Backend      *Backend
	Method       string
	URI          string
	ID           string
	Header       http.Header
	Body         string
	ClientClosed <-chan struct{} // closed when the dispatcher has closed the connection
	conn         net.Conn
	finished     bool
}

// Site is a set of boxes, their discovery and the record of both.
type Platform struct {
	mu         sync.Mutex
	backends   []*Backend
	requests   []*Exchange
	inFlight   map[string]int // requests by id that are out
	heldBy     map[string]string
	idleSince  map[string]time.Time // by id, since when a state is held with no request out
	Violations []string             // rules that were broken, as the boxes saw it
	HoldLimit  time.Duration        // for which a state may wait with no request out
	agents     []*Agent
	rev        int64
	handlers   sync.WaitGroup
}

func New() *Platform {
	return &Platform{inFlight: map[string]int{}, heldBy: map[string]string{}, idleSince: map[string]time.Time{}, rev: 1, HoldLimit: 850 * time.Millisecond}
}

// Box is one box.
type Backend struct {
	UID     string
	Kind    string
	Address string
	State   string
	// Do answers in place of the box's own way; it tells whether the connection may be used again.
	Handler   func(e *Exchange) bool
	onConnect func(c net.Conn) bool
	platform  *Platform
	listener  net.Listener
	conns     map[net.Conn]bool
}

// Box adds a box that is in service.
func (s *Platform) AddBackend(uid, kind string) *Backend {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	b := &Backend{UID: uid, Kind: kind, Address: l.Addr().String(), State: "in_service", platform: s, listener: l, conns: map[net.Conn]bool{}}
	s.mu.Lock()
	s.backends = append(s.backends, b)
	s.mu.Unlock()
	s.accept(l, b.conns, b.serve)
	return b
}

// accept takes connections until the listener closes; conns has those that are open.
func (s *Platform) accept(l net.Listener, conns map[net.Conn]bool, serve func(net.Conn)) {
	s.handlers.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			conns[c] = true
			s.mu.Unlock()
			s.handlers.Go(func() { serve(c) })
		}
	})
}

// Greet has each connection handed over before a request is read of it; what it returns tells whether requests are to be read.
func (b *Backend) OnConnect(greet func(c net.Conn) bool) {
	b.platform.mu.Lock()
	defer b.platform.mu.Unlock()
	b.onConnect = greet
}

// Kill ends a box's process: its connections are reset, and new ones refused.
func (b *Backend) Kill() {
	b.listener.Close()
	b.platform.mu.Lock()
	defer b.platform.mu.Unlock()
	for c := range b.conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	}
	for id, at := range b.platform.heldBy {
		if at == b.UID {
			delete(b.platform.heldBy, id)
			delete(b.platform.idleSince, id)
		}
	}
}

// Reopen has connections taken again at the old address.
func (b *Backend) Reopen() {
	l, err := net.Listen("tcp", b.Address)
	if err != nil {
		panic(err)
	}
	b.platform.mu.Lock()
	b.listener = l
	b.platform.mu.Unlock()
	b.platform.accept(l, b.conns, b.serve)
}

// CloseListener has new connections refused; those that stand go on.
func (b *Backend) CloseListener() { b.listener.Close() }

// Rest closes the connections on which nothing is out, as a box does with those that stood idle.
func (b *Backend) CloseIdle() {
	b.platform.mu.Lock()
	defer b.platform.mu.Unlock()
	for c, idle := range b.conns {
		if idle {
			c.Close()
		}
	}
}

func (b *Backend) serve(c net.Conn) {
	s := b.platform
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(b.conns, c)
		s.mu.Unlock()
	}()
	s.mu.Lock()
	greet := b.onConnect
	s.mu.Unlock()
	if greet != nil && !greet(c) {
		return
	}
	from := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(from)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		left := make(chan struct{})
		e := &Exchange{Backend: b, Method: r.Method, URI: r.RequestURI, ID: r.Header.Get("X-Request-Id"), Header: r.Header, Body: string(body), ClientClosed: left, conn: c}
		s.mu.Lock()
		b.conns[c] = false
		s.requests = append(s.requests, e)
		if e.ID != "" {
			s.inFlight[e.ID]++
			s.endIdleHold(e.ID)
		}
		do := b.Handler
		s.mu.Unlock()
		s.checkSingleCopy(e.ID)
		// Whoever waits for the far side to leave reads on; what comes is the next request's first byte.
		watched := make(chan struct{})
		go func() {
			defer close(watched)
			if _, err := from.Peek(1); err != nil {
				close(left)
			}
		}()
		if do == nil {
			do = (*Exchange).Serve
		}
		keep := do(e)
		e.finish()
		s.mu.Lock()
		b.conns[c] = true
		s.mu.Unlock()
		if !keep {
			c.Close()
		}
		<-watched
		if !keep {
			return
		}
	}
}

// Serve is a box's own way: a reader reads and holds, a writer answers, a call releases.
func (e *Exchange) Serve() bool {
	s := e.Backend.platform
	switch {
	case e.Method == http.MethodDelete:
		s.mu.Lock()
		s.removeKVCache(strings.TrimPrefix(e.URI, "/v1/holds/"))
		s.mu.Unlock()
		return e.WriteRaw("HTTP/1.1 204 No Content\r\n\r\n")
	case e.Backend.Kind == PrefillKind:
		e.HoldKVCache()
		return e.WriteRaw("HTTP/1.1 202 Accepted\r\nX-Server-Load: util=0.5,queue=2,x0=0.25\r\nContent-Length: 21\r\n\r\n{\"cached_tokens\":100}")
	}
	return e.WriteRaw(StreamHead) && e.WriteRaw(EncodeChunk(TextEvent("a"))+EncodeChunk(TextEvent("b"))) && e.WriteRaw(EncodeChunk(UsageEvent+DoneEvent)+LastChunk)
}

// end takes note that the request is not out any more.
func (e *Exchange) finish() {
	s := e.Backend.platform
	s.mu.Lock()
	defer s.mu.Unlock()
	if !e.finished && e.ID != "" {
		s.inFlight[e.ID]--
		if s.heldBy[e.ID] != "" && s.inFlight[e.ID] == 0 {
			s.idleSince[e.ID] = time.Now()
		}
	}
	e.finished = true
}

// waited ends a state's wait, and take the state with it; the site is locked.
func (s *Platform) endIdleHold(id string) {
	if since, ok := s.idleSince[id]; ok && time.Since(since) > s.HoldLimit {
		s.Violations = append(s.Violations, fmt.Sprintf("a state for %s waited for %v", id, time.Since(since)))
	}
	delete(s.idleSince, id)
}

func (s *Platform) removeKVCache(id string) {
	s.endIdleHold(id)
	delete(s.heldBy, id)
}

// Vanish has the box's machine say nothing: connections that stand stay, and new ones neither come up nor are refused.
func (b *Backend) Blackhole() {
	b.listener.Close()
	l, err := net.Listen("tcp", b.Address)
	if err != nil {
		panic(err)
	}
	stuck, err := standin.FillBacklog(l)
	if err != nil {
		panic(err)
	}
	b.platform.mu.Lock()
	defer b.platform.mu.Unlock()
	b.listener = l
	for _, c := range stuck {
		b.conns[c] = false // closed with the box
	}
}

// alone takes note of a fault if another copy of a request is out. A box may see a moment late that its connection was closed.
func (s *Platform) checkSingleCopy(id string) {
	if id == "" {
		return
	}
	for end := time.Now().Add(50 * time.Millisecond); ; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		n := s.inFlight[id]
		if n > 1 && time.Now().After(end) {
			s.Violations = append(s.Violations, "a second copy of "+id+" is out")
			n = 1
		}
		s.mu.Unlock()
		if n <= 1 {
			return
		}
	}
}

// Hold takes note that a question's state waits at the box.
func (e *Exchange) HoldKVCache() {
	e.Backend.platform.mu.Lock()
	defer e.Backend.platform.mu.Unlock()
	e.Backend.platform.heldBy[e.ID] = e.Backend.UID
}

// Write writes bytes as they are. With the opening of an answer a writer has taken the state.
func (e *Exchange) WriteRaw(raw string) bool {
	if strings.HasPrefix(raw, StreamHead) && e.Backend.Kind == DecodeKind {
		e.Backend.platform.mu.Lock()
		e.Backend.platform.removeKVCache(e.ID)
		e.Backend.platform.mu.Unlock()
	}
	if strings.HasSuffix(raw, LastChunk) || strings.HasPrefix(raw, "HTTP/1.1 ") && raw[9] > '1' && !strings.HasPrefix(raw, "HTTP/1.1 200") {
		e.finish() // with its last byte the dispatcher may send the next
	}
	_, err := io.WriteString(e.conn, raw)
	return err == nil
}

// Pieces of an answer.
const (
	StreamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	UsageEvent = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":400,\"completion_tokens\":2,\"prompt_tokens_details\":{\"cached_tokens\":40}}}\n\n: X-Server-Load: util=0.6,queue=1,x0=0.5\n\n"
	DoneEvent  = "data: [DONE]\n\n"
	LastChunk  = "0\r\n\r\n"
)

func TextEvent(text string) string {
	return fmt.Sprintf("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", text)
}

func EncodeChunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// Refuse is an answer without a stream.
func Rejection(code int, never bool) string {
	mark := ""
	if never {
		mark = "X-Not-Processed: 1\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d No\r\n%sContent-Length: 0\r\n\r\n", code, mark)
}

// Seen lists what came to a box, or to all with an empty name, under a method.
func (s *Platform) Requests(uid, method string) []*Exchange {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []*Exchange
	for _, e := range s.requests {
		if (uid == "" || e.Backend.UID == uid) && e.Method == method {
			found = append(found, e)
		}
	}
	return found
}

// Held counts states that wait, Out requests that are out.
func (s *Platform) HeldCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.heldBy)
}

func (s *Platform) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, k := range s.inFlight {
		n += k
	}
	return n
}

// Change changes what discovery says of boxes and tells its agents.
func (s *Platform) UpdateDiscovery(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	s.rev++
	for _, a := range s.agents {
		a.push(s.discoveryList(false))
	}
}

// Target is a line of discovery's list.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Kind     string  `json:"model"`
	Rack     int     `json:"pod_group"`
	State    string  `json:"state"`
	Units    float64 `json:"capacity_hint"`
	Boot     int64   `json:"boot_ms"`
}

// list is what discovery says; the site is locked.
func (s *Platform) discoveryList(whole bool) []byte {
	targets := []Target{}
	for i, b := range s.backends {
		targets = append(targets, Target{b.UID, b.Address, "hall-1", b.Kind, i % 2, b.State, 1, 0})
	}
	raw, err := json.Marshal(map[string]any{"rev": s.rev, "all": whole, "targets": targets})
	if err != nil {
		panic(err)
	}
	return raw
}

// List is the whole list.
func (s *Platform) DiscoveryList() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.discoveryList(true)
}

// Agent is discovery at one address.
type Agent struct {
	Address       string
	platform      *Platform
	listener      net.Listener
	watches       map[net.Conn]bool
	conns         map[net.Conn]bool
	requestURIs   []string
	silent        bool // it takes connections and says nothing
	indent        bool
	delay         time.Duration // before it answers
	truncateAfter int           // bytes of its next answers to a watch, after which it says no more; 0: all of them
}

// Agent opens another one.
func (s *Platform) AddAgent() *Agent {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	a := &Agent{Address: l.Addr().String(), platform: s, listener: l, watches: map[net.Conn]bool{}, conns: map[net.Conn]bool{}}
	s.mu.Lock()
	s.agents = append(s.agents, a)
	s.mu.Unlock()
	s.accept(l, a.conns, a.serve)
	return a
}

func (a *Agent) serve(c net.Conn) {
	s := a.platform
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(a.watches, c)
		delete(a.conns, c)
		s.mu.Unlock()
	}()
	from := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(from)
		if err != nil {
			return
		}
		s.mu.Lock()
		slow := a.delay
		s.mu.Unlock()
		if slow > 0 && !waitWhileOpen(c, from, slow) {
			return
		}
		s.mu.Lock()
		a.requestURIs = append(a.requestURIs, r.RequestURI)
		switch {
		case a.silent:
		case r.URL.Query().Get("stream") == "":
			raw := a.format(s.discoveryList(true))
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(raw), raw)
		default:
			raw := string(a.format(s.discoveryList(true))) + "\n"
			whole := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + EncodeChunk(raw)
			if a.truncateAfter > 0 {
				io.WriteString(c, whole[:min(a.truncateAfter, len(whole))])
				break
			}
			a.watches[c] = true
			io.WriteString(c, whole)
		}
		s.mu.Unlock()
	}
}

// waitWhileOpen waits for so long; false: the far side has closed before.
func waitWhileOpen(c net.Conn, from *bufio.Reader, wait time.Duration) bool {
	c.SetReadDeadline(time.Now().Add(wait))
	defer c.SetReadDeadline(time.Time{})
	_, err := from.Peek(1)
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// tell writes a change to the watches; the site is locked.
func (a *Agent) push(raw []byte) {
	if a.silent {
		return
	}
	for c := range a.watches {
		io.WriteString(c, EncodeChunk(string(a.format(raw))+"\n"))
	}
}

// form is how the agent writes a list.
func (a *Agent) format(raw []byte) []byte {
	if !a.indent {
		return raw
	}
	var b bytes.Buffer
	json.Indent(&b, raw, "", "  ")
	return b.Bytes()
}

// SetIndent has it write lists over many lines; SetStop has it stop in the middle of its next answers to a watch.
func (a *Agent) SetIndent(indent bool) {
	a.platform.mu.Lock()
	defer a.platform.mu.Unlock()
	a.indent = indent
}

func (a *Agent) SetTruncateAfter(after int) {
	a.platform.mu.Lock()
	defer a.platform.mu.Unlock()
	a.truncateAfter = after
}

// SetSlow has it answer so much later.
func (a *Agent) SetDelay(by time.Duration) {
	a.platform.mu.Lock()
	defer a.platform.mu.Unlock()
	a.delay = by
}

// Say writes bytes to the watches as they are.
func (a *Agent) WriteRaw(raw string) {
	a.platform.mu.Lock()
	defer a.platform.mu.Unlock()
	for c := range a.watches {
		io.WriteString(c, raw)
	}
}

// Cut ends the watches; the agent goes on listening.
func (a *Agent) CloseConns() {
	a.platform.mu.Lock()
	defer a.platform.mu.Unlock()
	for c := range a.conns {
		c.Close()
	}
}

// SetMute has it say nothing, or speak again; Targets lists what it was asked for.
func (a *Agent) SetSilent(mute bool) {
	a.platform.mu.Lock()
	defer a.platform.mu.Unlock()
	a.silent = mute
}

func (a *Agent) RequestURIs() []string {
	a.platform.mu.Lock()
	defer a.platform.mu.Unlock()
	return slices.Clone(a.requestURIs)
}

// Watched tells how many watches there are.
func (a *Agent) WatchCount() int {
	a.platform.mu.Lock()
	defer a.platform.mu.Unlock()
	return len(a.watches)
}

// Close ends all of it.
func (s *Platform) Close() {
	s.mu.Lock()
	boxes, agents := slices.Clone(s.backends), slices.Clone(s.agents)
	s.mu.Unlock()
	for _, b := range boxes {
		b.Kill()
	}
	for _, a := range agents {
		a.listener.Close()
		a.CloseConns()
	}
	done := make(chan struct{})
	go func() { s.handlers.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		panic("a scripted box does not end")
	}
}
