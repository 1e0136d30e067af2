package platform

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// aheadMost is how much of what a client sends behind its open request is read to see whether it has gone.
const aheadMost = 64 << 10

// clientConn is a client's connection. net/http looks for the close of a connection by reading one byte of it, and stops looking once
// it got one: a client that sends a further request at once and then goes would be waited on for as long as its question takes. So what
// comes behind that byte is read ahead, within a bound, and handed over later.
type clientConn struct {
	net.Conn

	mu    sync.Mutex
	ahead []byte
	err   error         // that ended the reading ahead
	ended chan struct{} // closed when it has; nil: nobody reads ahead
	until time.Time     // the deadline for reads
	gone  context.CancelFunc
}

func (c *clientConn) Read(p []byte) (int, error) {
	c.halt()
	c.mu.Lock()
	if len(c.ahead) > 0 {
		n := copy(p, c.ahead)
		if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
			c.ahead = nil
		}
		c.mu.Unlock()
		return n, nil
	}
	if c.err != nil {
		defer c.mu.Unlock()
		return 0, c.err
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	if n == 1 && len(p) == 1 && err == nil {
		c.mu.Lock()
		c.ended = make(chan struct{})
		c.Conn.SetReadDeadline(time.Time{})
		go c.readAhead(c.ended)
		c.mu.Unlock()
	}
	return n, err
}

// readAhead reads until the client has gone, so much has come, or somebody reads.
func (c *clientConn) readAhead(ended chan struct{}) {
	defer close(ended)
	chunk := make([]byte, 4<<10)
	for {
		n, err := c.Conn.Read(chunk)
		c.mu.Lock()
		c.ahead = append(c.ahead, chunk[:n]...)
		full := len(c.ahead) >= aheadMost
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.err = err
			if c.gone != nil {
				c.gone()
			}
		}
		c.mu.Unlock()
		if err != nil || full {
			return
		}
	}
}

// halt ends the reading ahead.
func (c *clientConn) halt() {
	c.mu.Lock()
	ended := c.ended
	c.mu.Unlock()
	if ended == nil {
		return
	}
	c.Conn.SetReadDeadline(time.Unix(1, 0))
	<-ended
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = nil
	c.Conn.SetReadDeadline(c.until)
}

// SetReadDeadline leaves the reading ahead alone, which has none.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = t
	if c.ended != nil {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *clientConn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.Conn.SetWriteDeadline(t))
}

// CloseWrite is what net/http ends a connection with before it closes it, for the last answer not to be lost.
func (c *clientConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// open has a question's context end when the client goes.
func (c *clientConn) open(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone = cancel; c.err != nil {
		cancel()
	}
	return ctx, func() {
		c.mu.Lock()
		c.gone = nil
		c.mu.Unlock()
		cancel()
	}
}

// connKey is under which a request's context has its connection.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}
