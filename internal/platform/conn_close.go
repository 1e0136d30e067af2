package platform

import (
	"log/slog"
	"time"
)

// This file closes clients' connections.

const (
	lingerTimeout     = 500 * time.Millisecond // from write shutdown to close, unless the client closes first
	idleLingerTimeout = 100 * time.Millisecond // the same for a connection between requests, which is not read meanwhile
	maxLingerBytes    = 1 << 20                // bytes read and discarded while a connection lingers
)

// closeIdle closes a connection of which no byte of a request has been read, and reports whether it did.
func (c *clientConn) closeIdle(cause closeCause) bool {
	c.mu.Lock()
	idle := unread(c.state)
	if idle {
		c.closeCause, c.closedInState = cause, c.state
		c.setState(connClosing)
		c.closedIdle = true
	}
	c.mu.Unlock()
	if idle {
		c.linger()
	}
	return idle
}

// Close shuts down the write side; the socket is closed soon after.
func (c *clientConn) Close() error {
	c.linger()
	return nil
}

// CloseWrite is how net/http ends a connection whose client may still be sending.
func (c *clientConn) CloseWrite() error {
	c.linger()
	return nil
}

// linger shuts down the write side and has the socket closed when the client has closed too, or after lingerTimeout.
// Only the first call has an effect.
func (c *clientConn) linger() {
	if !c.shutdownWrite() {
		return
	}
	c.mu.Lock()
	readEnded, wasIdle := c.readErr != nil, c.closedIdle
	c.mu.Unlock()
	switch {
	case readEnded:
		c.abort()
	case wasIdle:
		time.AfterFunc(idleLingerTimeout, c.abort)
	default:
		go c.discardInput()
	}
}

// shutdownWrite shuts down the write side, and reports whether this call did it.
func (c *clientConn) shutdownWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lingering {
		return false
	}
	// Between two requests, whoever closes, what still arrives is left unread: a request that was read must be answered.
	c.closedIdle = c.closedIdle || unread(c.state)
	if c.state != connClosing {
		c.closedInState = c.state
	}
	c.lingering = true
	c.setState(connClosing)
	c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	c.Conn.CloseWrite()
	return true
}

// discardInput reads and discards what the client still sends, and closes the socket at its end.
func (c *clientConn) discardInput() {
	defer c.abort()
	chunk := readBuffers.Get().(*[readBufferSize]byte)
	defer readBuffers.Put(chunk)
	for discarded := 0; discarded < maxLingerBytes; {
		read, err := c.Conn.Read(chunk[:])
		if err != nil {
			return
		}
		discarded += read
	}
}

// abort closes the socket at once.
func (c *clientConn) abort() {
	c.mu.Lock()
	first := !c.closed
	c.closed, c.lingering = true, true
	c.mu.Unlock()
	if first {
		c.Conn.Close()
		c.memory.Close()
		c.onClosed(c)
	}
}

// logClose logs why and in which state the connection was closed.
func (c *clientConn) logClose(log *slog.Logger) {
	c.mu.Lock()
	defer c.mu.Unlock()
	log.Debug("connection closed", "client", c.RemoteAddr(), "cause", c.closeCause, "state", c.closedInState,
		"unanswered_bytes", len(c.pending), "write_error", c.writeErr)
}
