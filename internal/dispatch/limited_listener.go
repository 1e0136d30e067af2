package dispatch

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"sloetrestle/internal/retrythrottle"
)

// limitedListener is a listener behind a connection limiter. A connection that the limiter refuses gets a rejection in
// the form of any other and is closed. The listener writes that one short answer without reading the request, so that
// a refused client costs it little.
type limitedListener struct {
	net.Listener
	mu      *sync.Mutex // guards limiter, which several listeners share
	limiter *retrythrottle.ConnLimiter
	clock   func() time.Duration
}

// rejectTimeout is how long a refused client may take to receive its answer.
const rejectTimeout = 20 * time.Millisecond

// Accept returns the next connection that the limiter admits.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		client := remoteIP(conn)
		l.mu.Lock()
		ok, after := l.limiter.Admit(l.clock(), client)
		l.mu.Unlock()
		if ok {
			return &limitedConn{Conn: conn, onClose: sync.OnceFunc(func() {
				l.mu.Lock()
				l.limiter.Closed(client)
				l.mu.Unlock()
			})}, nil
		}
		afterMs := after.Milliseconds()
		body := fmt.Sprintf(`{"final":"declined","error":"too many connections just now","harmless":true,`+
			`"retry_after_ms":%d,"trips":0}`+"\n", afterMs)
		conn.SetWriteDeadline(time.Now().Add(rejectTimeout))
		fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n"+
			"Retry-After: %d\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
			(afterMs+999)/1000, len(body), body)
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.CloseWrite() // a full close with the request unread would reset the connection and lose the answer
		}
		time.AfterFunc(rejectTimeout, func() { conn.Close() })
	}
}

// remoteIP returns the IP address of a connection's client, or the zero value if it has none.
func remoteIP(conn net.Conn) netip.Addr {
	remote, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return remote.Addr()
}

// limitedConn tells the limiter when it is closed.
type limitedConn struct {
	net.Conn
	onClose func()
}

// CloseWrite ends sending.
func (c *limitedConn) CloseWrite() error { return closeWrite(c.Conn) }

// Close closes the connection and frees its place at the limiter.
func (c *limitedConn) Close() error {
	c.onClose()
	return c.Conn.Close()
}
