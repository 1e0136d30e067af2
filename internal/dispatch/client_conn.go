package dispatch

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"sloetrestle/internal/retrythrottle"
)

const (
	maxPipelinedBytes = 64 << 10 // that are kept of what a client sends behind its open request
	watchReadSize     = 4 << 10  // bytes that are read at a time behind an open request

	lingerTimeout  = 500 * time.Millisecond // for which a connection is read while it is being closed
	maxLingerBytes = 1 << 20                // bytes that are read and discarded then
)

// watchBuffers holds buffers for one read each.
var watchBuffers = sync.Pool{New: func() any { return new([watchReadSize]byte) }}

// clientListener is a listener whose connections are clients' connections of an HTTP server.
type clientListener struct{ net.Listener }

// Accept returns the next connection.
func (l clientListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn}, nil
}

// clientConn is a client's connection. While a request is open, net/http reads one byte to notice that its client closes,
// and no further once the client has pipelined another request. A clientConn reads on to the end of the connection, and
// keeps what is pipelined; once the client has closed, none of that is returned. Its requests are paced.
//
// net/http has one read at a time in progress, and calls stateChanged with none; so the fields need no lock.
type clientConn struct {
	net.Conn
	pipelined []byte // read behind the open request, not yet returned
	overrun   bool   // more was pipelined than is kept: nothing further is returned
	readErr   error  // that ended the connection
	pacer     retrythrottle.RequestPacer
}

// Read returns what the client sends. A read of one byte, which net/http makes while a request is open, returns only at
// the end of the connection or at the deadline.
func (c *clientConn) Read(into []byte) (int, error) {
	switch {
	case len(into) == 1:
		return 0, c.watch()
	case len(c.pipelined) > 0:
		n := copy(into, c.pipelined)
		if c.pipelined = c.pipelined[n:]; len(c.pipelined) == 0 {
			c.pipelined = nil
		}
		return n, nil
	case c.readErr != nil:
		return 0, c.readErr
	case c.overrun:
		return 0, io.EOF
	}
	return c.Conn.Read(into)
}

// watch reads until the connection ends or the deadline passes.
func (c *clientConn) watch() error {
	chunk := watchBuffers.Get().(*[watchReadSize]byte)
	defer watchBuffers.Put(chunk)
	for c.readErr == nil {
		n, err := c.Conn.Read(chunk[:])
		c.keep(chunk[:n])
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if err != nil {
			c.readErr, c.pipelined = err, nil
		}
	}
	return c.readErr
}

// keep keeps what was pipelined.
func (c *clientConn) keep(received []byte) {
	if c.overrun || len(c.pipelined)+len(received) > maxPipelinedBytes {
		c.overrun, c.pipelined = true, nil
		return
	}
	c.pipelined = append(c.pipelined, received...)
}

// CloseWrite ends sending, so that a client that is still sending gets what was sent to it.
func (c *clientConn) CloseWrite() error { return closeWrite(c.Conn) }

// closeWrite ends sending on a connection, if it can be ended alone.
func closeWrite(conn net.Conn) error {
	if conn, ok := conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// Close closes the connection. If its client has pipelined too much, what it still sends is read for some time: closing a
// socket with unread bytes resets the connection, which can lose the end of the last response.
func (c *clientConn) Close() error {
	if !c.overrun {
		return c.Conn.Close()
	}
	c.CloseWrite()
	c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	go func() {
		io.CopyN(io.Discard, c.Conn, maxLingerBytes)
		c.Conn.Close()
	}()
	return nil
}

// stateChanged is called by net/http with the connection's state, on the goroutine that serves it. Between two requests
// it waits for the connection's pace.
func (c *clientConn) stateChanged(state http.ConnState, now time.Duration) {
	if state != http.StateIdle {
		return
	}
	if wait := c.pacer.Done(now); wait > 0 {
		time.Sleep(wait)
	}
}
