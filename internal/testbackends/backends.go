// Package testbackends provides test backends of the users' platform, written from the platform's own documentation:
// backends that speak its protocol with scripted faults, and the agent of its service discovery. They record what
// reached them and know nothing of the dispatcher. Start with Platform.
package testbackends

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"sloetrestle/internal/fakes"
)

// Kinds of backends, as the settings name them.
const (
	PrefillKind = "prompt-side"
	DecodeKind  = "answer-side"
)

// Settings are the settings of a small deployment, in the form in which the platform provides them.
const Settings = `{"siblings":1,"slotNo":0,"discovery":"automatic","dcs":["hall-1"],` +
	`"kinds":["prompt-side","answer-side"],
"familyInfo":{"kindRole":["read","write"],"localRead":false,"resume":true,` +
	`"tokensByKind":[200000,200000],"pinLimitUs":500000},
"policyLimits":{"cancelling":true,"maxAttempts":4,"connIdleUs":30000000,"dialTimeoutUs":250000,` +
	`"retryAfter":true,"maxRetryAfterUs":2000000,"maxOpen":1000},
"report":{"fields":["util","queue","x0"],"source":"piggyback"},` +
	`"rules":{"tipMultiple":2.5,"tipAfterUs":2000000,"coldFrom":0.4,"rampTimeUs":9000000},
"requestClasses":[{"name":"trail-info","effect":"repeatable","aimUs":1500000,"worth":2,` +
	`"lateWorth":0.1,"giveUpUs":6000000},
{"name":"hut-booking","effect":"once","aimUs":800000,"worth":5,"lateWorth":0.3,"giveUpUs":4000000}],
"tenants":[{"name":"web-app","quotaPerS":1000}],"overShareWorth":0.05,"valueBy":"work"}`

// Platform is a set of backends, their service discovery and the record of both.
type Platform struct {
	mu         sync.Mutex
	backends   []*Backend
	requests   []*Exchange
	inFlight   map[string]int       // copies of a request in flight, by request id
	heldBy     map[string]string    // uid of the backend that holds the KV cache, by request id
	idleSince  map[string]time.Time // by request id: since when a KV cache is held with no copy in flight
	Violations []string             // rules that were broken, as the backends saw it
	HoldLimit  time.Duration        // how long a KV cache may be held with no copy of the request in flight
	agents     []*Agent
	rev        int64
	handlers   sync.WaitGroup
}

// New returns a platform without backends.
func New() *Platform {
	return &Platform{
		inFlight: map[string]int{}, heldBy: map[string]string{}, idleSince: map[string]time.Time{},
		rev: 1, HoldLimit: 850 * time.Millisecond,
	}
}

// Backend is one test backend.
type Backend struct {
	UID     string
	Kind    string
	Address string
	State   string
	// Handler replaces the backend's default response. It reports whether the connection may be used again.
	Handler   func(e *Exchange) bool
	onConnect func(c net.Conn) bool
	platform  *Platform
	listener  net.Listener
	conns     map[net.Conn]bool // open connections; true while no request is in progress
}

// AddBackend adds a backend that is in service, on a loopback address.
func (p *Platform) AddBackend(uid, kind string) *Backend {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	backend := &Backend{
		UID: uid, Kind: kind, Address: listener.Addr().String(), State: "in_service",
		platform: p, listener: listener, conns: map[net.Conn]bool{},
	}
	p.mu.Lock()
	p.backends = append(p.backends, backend)
	p.mu.Unlock()
	p.accept(listener, backend.conns, backend.serve)
	return backend
}

// accept serves connections until the listener closes. conns holds the open ones, marked idle until serve says
// otherwise.
func (p *Platform) accept(listener net.Listener, conns map[net.Conn]bool, serve func(net.Conn)) {
	p.handlers.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			conns[conn] = true
			p.mu.Unlock()
			p.handlers.Go(func() { serve(conn) })
		}
	})
}

// OnConnect sets a function that gets each connection before a request is read from it. It reports whether
// requests are to be read.
func (b *Backend) OnConnect(onConnect func(c net.Conn) bool) {
	b.platform.mu.Lock()
	defer b.platform.mu.Unlock()
	b.onConnect = onConnect
}

// Kill ends the backend's process: its connections are reset, new ones are refused, and the KV caches it held are
// lost.
func (b *Backend) Kill() {
	b.listener.Close()
	b.platform.mu.Lock()
	defer b.platform.mu.Unlock()
	for conn := range b.conns {
		if t, ok := conn.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		conn.Close()
	}
	for id, uid := range b.platform.heldBy {
		if uid == b.UID {
			delete(b.platform.heldBy, id)
			delete(b.platform.idleSince, id)
		}
	}
}

// Reopen listens again at the old address.
func (b *Backend) Reopen() {
	listener, err := net.Listen("tcp", b.Address)
	if err != nil {
		panic(err)
	}
	b.platform.mu.Lock()
	b.listener = listener
	b.platform.mu.Unlock()
	b.platform.accept(listener, b.conns, b.serve)
}

// CloseListener makes the backend refuse new connections; open ones stay.
func (b *Backend) CloseListener() { b.listener.Close() }

// CloseIdle closes the connections without a request in progress, as a backend does when its idle timeout passes.
func (b *Backend) CloseIdle() {
	b.platform.mu.Lock()
	defer b.platform.mu.Unlock()
	for c, idle := range b.conns {
		if idle {
			c.Close()
		}
	}
}

func (b *Backend) serve(conn net.Conn) {
	platform := b.platform
	defer func() {
		conn.Close()
		platform.mu.Lock()
		delete(b.conns, conn)
		platform.mu.Unlock()
	}()
	platform.mu.Lock()
	onConnect := b.onConnect
	platform.mu.Unlock()
	if onConnect != nil && !onConnect(conn) {
		return
	}
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		clientClosed := make(chan struct{})
		exchange := &Exchange{
			Backend: b, Method: request.Method, URI: request.RequestURI, ID: request.Header.Get("X-Request-Id"),
			Header: request.Header, Body: string(body), Received: time.Now(), ClientClosed: clientClosed, conn: conn,
		}
		platform.mu.Lock()
		b.conns[conn] = false
		platform.requests = append(platform.requests, exchange)
		if exchange.ID != "" {
			platform.inFlight[exchange.ID]++
			platform.endIdleHold(exchange.ID)
		}
		handler := b.Handler
		platform.mu.Unlock()
		platform.checkSingleCopy(exchange.ID)
		// Watch for the dispatcher closing the connection: a byte that arrives instead belongs to the next
		// request.
		watched := make(chan struct{})
		go func() {
			defer close(watched)
			if _, err := reader.Peek(1); err != nil {
				close(clientClosed)
			}
		}()
		if handler == nil {
			handler = (*Exchange).Serve
		}
		keep := handler(exchange)
		exchange.finish()
		platform.mu.Lock()
		b.conns[conn] = true
		platform.mu.Unlock()
		if !keep {
			conn.Close()
		}
		<-watched
		if !keep {
			return
		}
	}
}

// endIdleHold ends the time during which a KV cache was held with no copy of its request in flight, and records a
// violation if that was longer than HoldLimit. p.mu must be held.
func (p *Platform) endIdleHold(id string) {
	if since, ok := p.idleSince[id]; ok && time.Since(since) > p.HoldLimit {
		p.Violations = append(p.Violations,
			fmt.Sprintf("the KV cache of %s was held for %v without a request in flight", id, time.Since(since)))
	}
	delete(p.idleSince, id)
}

// removeKVCache notes that a request's KV cache is no longer held. p.mu must be held.
func (p *Platform) removeKVCache(id string) {
	p.endIdleHold(id)
	delete(p.heldBy, id)
}

// Blackhole makes the backend's machine unresponsive: open connections stay, and new ones are neither accepted nor
// refused.
func (b *Backend) Blackhole() {
	b.listener.Close()
	listener, err := net.Listen("tcp", b.Address)
	if err != nil {
		panic(err)
	}
	fillers, err := fakes.FillBacklog(listener)
	if err != nil {
		panic(err)
	}
	b.platform.mu.Lock()
	defer b.platform.mu.Unlock()
	b.listener = listener
	for _, c := range fillers {
		b.conns[c] = false // closed by Kill
	}
}

// checkSingleCopy records a violation if another copy of the request is in flight. It waits briefly first, because
// a backend may notice late that the dispatcher closed the connection of the other copy.
func (p *Platform) checkSingleCopy(id string) {
	if id == "" {
		return
	}
	for end := time.Now().Add(50 * time.Millisecond); ; time.Sleep(time.Millisecond) {
		p.mu.Lock()
		copies := p.inFlight[id]
		if copies > 1 && time.Now().After(end) {
			p.Violations = append(p.Violations, "a second copy of "+id+" is in flight")
			copies = 1
		}
		p.mu.Unlock()
		if copies <= 1 {
			return
		}
	}
}

// Requests lists the requests with a method that a backend received; an empty uid stands for all backends.
func (p *Platform) Requests(uid, method string) []*Exchange {
	p.mu.Lock()
	defer p.mu.Unlock()
	var found []*Exchange
	for _, e := range p.requests {
		if (uid == "" || e.Backend.UID == uid) && e.Method == method {
			found = append(found, e)
		}
	}
	return found
}

// HeldCount returns the number of KV caches held.
func (p *Platform) HeldCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.heldBy)
}

// InFlight returns the number of requests in flight.
func (p *Platform) InFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	total := 0
	for _, count := range p.inFlight {
		total += count
	}
	return total
}

// Close ends all backends and agents. It panics if their goroutines don't end within 10 seconds.
func (p *Platform) Close() {
	p.mu.Lock()
	backends, agents := slices.Clone(p.backends), slices.Clone(p.agents)
	p.mu.Unlock()
	for _, b := range backends {
		b.Kill()
	}
	for _, a := range agents {
		a.listener.Close()
		a.CloseConns()
	}
	done := make(chan struct{})
	go func() { p.handlers.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		panic("test backend did not stop within 10s")
	}
}
