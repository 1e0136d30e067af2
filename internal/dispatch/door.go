package dispatch

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"sloetrestle/internal/storm"
)

// guarded is a listener whose connections a storm.Door lets in. What it refuses gets a decline in the form of any other,
// and is closed: the door writes one short answer without reading, and goes on.
type guarded struct {
	net.Listener
	mu    *sync.Mutex
	door  *storm.ConnLimiter
	since func() time.Duration
}

// refuseTime is how long a refused client may take over its short answer.
const refuseTime = 20 * time.Millisecond

func (g *guarded) Accept() (net.Conn, error) {
	for {
		c, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		from := addrOf(c)
		g.mu.Lock()
		ok, after := g.door.Admit(g.since(), from)
		g.mu.Unlock()
		if ok {
			return &counted{Conn: c, gone: sync.OnceFunc(func() {
				g.mu.Lock()
				g.door.Closed(from)
				g.mu.Unlock()
			})}, nil
		}
		ms := after.Milliseconds()
		body := fmt.Sprintf(`{"final":"declined","error":"too many connections just now","harmless":true,"retry_after_ms":%d,"trips":0}`+"\n", ms)
		c.SetWriteDeadline(time.Now().Add(refuseTime))
		fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nRetry-After: %d\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
			(ms+999)/1000, len(body), body)
		if t, ok := c.(*net.TCPConn); ok {
			t.CloseWrite() // a close with the request unread would take the answer back
		}
		time.AfterFunc(refuseTime, func() { c.Close() })
	}
}

func addrOf(c net.Conn) netip.Addr {
	at, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return at.Addr()
}

// counted tells the door when it has closed.
type counted struct {
	net.Conn
	gone func()
}

func (c *counted) Close() error {
	c.gone()
	return c.Conn.Close()
}
