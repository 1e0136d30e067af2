package dispatch

import (
	"net"
	"net/http"
	"sync"
	"time"

	"sloetrestle/internal/retrythrottle"
)

// pacedConns bounds how fast each client connection may send requests. The zero value is ready to use.
type pacedConns struct {
	mu     sync.Mutex
	pacers map[net.Conn]*retrythrottle.RequestPacer
}

// stateChanged is called by net/http with a connection's state, on the goroutine that serves the connection. Between two
// requests it waits for the connection's pace.
func (p *pacedConns) stateChanged(conn net.Conn, state http.ConnState, now time.Duration) {
	switch state {
	case http.StateIdle:
		if wait := p.pacer(conn).Done(now); wait > 0 {
			time.Sleep(wait)
		}
	case http.StateClosed, http.StateHijacked:
		p.mu.Lock()
		delete(p.pacers, conn)
		p.mu.Unlock()
	}
}

// pacer returns the pacer of a connection.
func (p *pacedConns) pacer(conn net.Conn) *retrythrottle.RequestPacer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pacers == nil {
		p.pacers = map[net.Conn]*retrythrottle.RequestPacer{}
	}
	pacer := p.pacers[conn]
	if pacer == nil {
		pacer = &retrythrottle.RequestPacer{}
		p.pacers[conn] = pacer
	}
	return pacer
}
