package platform

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	silentFor = 50 * time.Millisecond // a connection on which no request came by then makes room before others
	idleFor   = 2 * time.Second       // one without an open request may be closed by then
	roomWait  = 10 * time.Millisecond // until another look, where none makes room
)

// crowded is the share of the connections that may be open, above which answers end theirs: one that has just had its answer may
// else not be closed for idleFor, and clients that ask once and stay would shut out the others.
const crowded = 0.5

// gate lets clients' connections in. Where as many are open as may be, the oldest that is silent or at rest makes room; where
// there is none, the next waits outside until one is.
type gate struct {
	net.Listener
	most   int
	mu     sync.Mutex
	conns  map[net.Conn]*standing
	Pushed atomic.Int64 // connections that made room
	Waited atomic.Int64 // looks that found none
}

type standing struct {
	state http.ConnState
	since time.Time
}

func (g *gate) Accept() (net.Conn, error) {
	for !g.makeRoom(time.Now()) {
		g.Waited.Add(1)
		time.Sleep(roomWait)
	}
	raw, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &clientConn{Conn: raw}
	g.mu.Lock()
	g.conns[c] = &standing{http.StateNew, time.Now()}
	g.mu.Unlock()
	return c, nil
}

// makeRoom tells whether there is room for a connection.
func (g *gate) makeRoom(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.conns) < g.most {
		return true
	}
	var oldest net.Conn
	var of *standing
	for c, s := range g.conns {
		rests := s.state == http.StateNew && now.Sub(s.since) > silentFor || s.state == http.StateIdle && now.Sub(s.since) > idleFor
		if rests && (of == nil || s.state == of.state && s.since.Before(of.since) || s.state == http.StateNew && of.state != http.StateNew) {
			oldest, of = c, s
		}
	}
	if oldest == nil {
		return false
	}
	g.Pushed.Add(1)
	delete(g.conns, oldest)
	oldest.Close()
	return true
}

// moved is told of each connection's state.
func (g *gate) moved(c net.Conn, state http.ConnState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch s := g.conns[c]; {
	case s == nil:
	case state == http.StateClosed || state == http.StateHijacked:
		delete(g.conns, c)
	default:
		s.state, s.since = state, time.Now()
	}
}

// Crowded tells whether answers should end their connections.
func (g *gate) Crowded() bool { return float64(g.count()) > crowded*float64(g.most) }

func (g *gate) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}
