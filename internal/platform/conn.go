package platform

import (
	"context"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"sloetrestle/internal/system"
)

const (
	readBufferSize    = 16 << 10               // bytes read from a socket at a time
	maxPipelinedBytes = 64 << 10               // bytes kept of what a client sends behind its open request
	lingerTimeout     = 500 * time.Millisecond // from the end of sending to the close, if the client does not close before
	idleLingerTimeout = 100 * time.Millisecond // the same for a connection between two requests, which is not read meanwhile
	maxLingerBytes    = 1 << 20                // bytes read and dropped in that time

	// requestMost is for a whole request, from its first byte, or from the connection's beginning: a client that stops in the middle of
	// one and stays is owed an error or a close within 3 s.
	requestReadTimeout = 2700 * time.Millisecond
)

// receivedLeast is from when on the system's word counts of how long ago bytes came: it is told in steps of some milliseconds.
const minReportedAge = 10 * time.Millisecond

// requestLeast is for a first request whose connection waited to be accepted for most of requestMost.
const minFirstRequestTimeout = 500 * time.Millisecond

// firstUntil is when the first request of a connection has to be whole that is accepted now and may have been complete for a while.
func firstRequestDeadline(now, complete time.Time) time.Time {
	until, least := complete.Add(requestReadTimeout), now.Add(minFirstRequestTimeout)
	if until.Before(least) {
		return least
	}
	return until
}

// atOnce is how soon after its connection a request may come that was there before it.
const immediateThreshold = 10 * time.Millisecond

// chunks are buffers for one read.
var readBuffers = sync.Pool{New: func() any { return new([readBufferSize]byte) }}

// connState is what a client's connection is doing.
type connState int

func (s connState) String() string {
	return [...]string{"new", "idle", "reading", "answering", "closing"}[s]
}

const (
	connNew       connState = iota // accepted, nothing has come
	connIdle                       // between two requests, no byte of the next one was read
	connReading                    // part of a request was read
	connAnswering                  // a request was read whole, its answer is not finished
	connClosing                    // no further request is read
)

// clientConn is a client's connection. It hands net/http one request at a time and keeps what comes behind it, which gives two
// properties that net/http alone does not have. First, a connection is closed between two requests without a race: closing and
// reading exclude each other, so a request is either left unread or answered. Second, a client that has sent further requests
// behind its open one is still seen to go, as its connection is read to its end.
//
// Every close ends sending first, and closes the socket when the client has closed too or a bounded time is over: closing a socket
// with unread bytes resets the connection, and the end of the last answer may be lost with it.
type clientConn struct {
	system.Conn
	rawConn  syscall.RawConn
	onClosed func(*clientConn) // called once the socket is closed

	mu                 sync.Mutex
	state              connState
	stateSince         time.Time // when the state began
	waitingSince       time.Time // since when the connection may have waited to be accepted
	earliestCompletion time.Time // before which it was not complete
	lastRead           time.Time // when bytes last came from the socket
	arrival            time.Time // when the present request had come at the latest; zero: it is coming now
	requestDeadline    time.Time // when the present request has to be whole
	serverDeadline     time.Time // for reads, as net/http wants it
	pending            []byte    // read from the socket, not handed on yet
	framer             requestFramer
	overrun            bool  // more came behind the open request than is kept
	readErr            error // that ended reading for good
	lingering          bool
	closedIdle         bool // it was closed between two requests: what comes now is left unread
	closed             bool
	closeCause         closeCause // of its close
	closedInState      connState  // in which it was closed
	writeErr           error      // of an answer that could not be written
}

// newClientConn wraps an accepted connection.
func newClientConn(conn system.Conn, released func(*clientConn)) (*clientConn, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &clientConn{Conn: conn, rawConn: raw, onClosed: released, stateSince: now, waitingSince: now, earliestCompletion: now, requestDeadline: now.Add(requestReadTimeout)}, nil
}

// Read hands on bytes of the present request. Once that is whole, it returns only when the client has gone or a deadline passes.
func (c *clientConn) Read(p []byte) (int, error) {
	for {
		n, err := c.readPending(p)
		if n > 0 || err != nil || len(p) == 0 {
			return n, err
		}
		if err := c.readSocket(); err != nil {
			return 0, err
		}
	}
}

// take hands on what is pending of the present request. Nothing and no error: more has to be read.
func (c *clientConn) readPending(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.framer.position == afterHead && len(p) > 1 {
		c.framer.position = unframed // net/http looks for a gone client one byte at a time; this is a read of something else
	}
	switch {
	case c.framer.position == afterHead || c.framer.position == afterBody:
		return 0, c.readErr
	case c.state == connClosing:
		return 0, io.EOF
	case len(c.pending) == 0:
		return 0, c.readErr
	}
	n := c.framer.advance(c.pending[:min(len(p), len(c.pending))])
	c.checkRequestEnd()
	copy(p, c.pending[:n])
	if c.pending = c.pending[n:]; len(c.pending) == 0 {
		c.pending = nil
	}
	return n, nil
}

// look takes note of whether the present request was read to its end. The lock is held.
func (c *clientConn) checkRequestEnd() {
	if c.framer.position == afterBody && c.state != connAnswering {
		c.setState(connAnswering)
	}
}

// enter has a state begin. The lock is held.
func (c *clientConn) setState(state connState) {
	now := time.Now()
	if state == connReading && c.state != connNew {
		c.requestDeadline = now.Add(requestReadTimeout)
	}
	c.state, c.stateSince = state, now
	c.updateReadDeadline()
}

// limitRead sets the deadline for reads: the one that net/http wants or, in the middle of a request, that of the request if it is
// earlier. The lock is held.
func (c *clientConn) updateReadDeadline() error {
	if c.lingering {
		return nil
	}
	deadline := c.serverDeadline
	if (c.state == connReading || c.state == connNew) && (deadline.IsZero() || c.requestDeadline.Before(deadline)) {
		deadline = c.requestDeadline
	}
	return c.Conn.SetReadDeadline(deadline)
}

// fill reads from the socket once, waiting for bytes. Reading and closing exclude each other: nothing is read of a connection that
// is being closed.
func (c *clientConn) readSocket() error {
	err := c.rawConn.Read(func(fd uintptr) (done bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.state == connClosing && c.framer.position == inHead {
			return true
		}
		chunk := readBuffers.Get().(*[readBufferSize]byte)
		defer readBuffers.Put(chunk)
		n, err := c.TryRead(fd, chunk[:])
		switch {
		case err == syscall.EAGAIN:
			return false
		case err == syscall.EINTR:
			return true
		case err != nil:
			c.readErr = os.NewSyscallError("read", err)
		case n == 0:
			c.readErr = io.EOF
		default:
			c.bufferBytes(fd, chunk[:n])
		}
		return true
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == connClosing && c.framer.position == inHead {
		return io.EOF
	}
	return err
}

// keep takes what was read from the socket. The lock is held.
func (c *clientConn) bufferBytes(fd uintptr, bytes []byte) {
	c.lastRead = time.Now()
	switch c.state {
	case connNew:
		c.arrival = c.firstArrival(fd)
		c.setState(connReading)
	case connIdle:
		c.arrival = time.Time{}
		c.setState(connReading)
	}
	if (c.framer.position == afterHead || c.framer.position == afterBody) && len(c.pending)+len(bytes) > maxPipelinedBytes {
		c.overrun, c.pending = true, nil
	}
	if !c.overrun {
		c.pending = append(c.pending, bytes...)
	}
}

// firstCame is when the first bytes of the connection came that are read now; zero: they are coming now. They may have waited for as long
// as the connection did to be accepted, and then for their turn. The lock is held.
func (c *clientConn) firstArrival(fd uintptr) time.Time {
	if ago, told := system.SinceLastReceive(fd); told && ago >= minReportedAge {
		if came := c.lastRead.Add(-ago); came.After(c.earliestCompletion) {
			return came
		}
		return c.earliestCompletion
	}
	if c.lastRead.Sub(c.stateSince) < immediateThreshold {
		return c.waitingSince
	}
	return time.Time{}
}

// begin says how the present request's body is framed: by its length, or in chunks.
func (c *clientConn) setBodyLength(bodyLength int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.framer.beginBody(bodyLength)
	c.checkRequestEnd()
}

// ambiguous tells whether the present request states the end of its body in two ways: what one takes for its body may hide a second
// request for another.
func (c *clientConn) ambiguous() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framer.hasContentLength && c.framer.hasTransferEncoding
}

// reusable tells whether a further request can be read after the present one.
func (c *clientConn) reusable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.overrun && c.framer.position != unframed
}

// answered takes note that the present request's answer is finished.
func (c *clientConn) responseDone() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.overrun || c.framer.position == unframed:
		c.setState(connClosing)
	case len(c.pending) > 0:
		c.arrival = c.lastRead // it waited behind the one that was answered
		c.setState(connReading)
	default:
		c.setState(connIdle)
	}
	c.framer.reset()
}

// requestCame is when the present request had come, if it was not just now: behind another one, or before the connection was accepted.
func (c *clientConn) requestArrival(now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.arrival.IsZero() || c.arrival.After(now) {
		return now
	}
	return c.arrival
}

// status is what the connection does, and for how long.
func (c *clientConn) status(now time.Time) (connState, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state, now.Sub(c.stateSince)
}

// closeIdle closes a connection of which no byte of a request has been read, and tells whether it was one.
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

// Write writes part of an answer, and keeps the error: whoever wrote it can't act on it, but a client without its answer has to be
// told apart from one that left.
func (c *clientConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.mu.Lock()
		c.writeErr = err
		c.mu.Unlock()
	}
	return n, err
}

// Close ends sending; the socket is closed soon after.
func (c *clientConn) Close() error {
	c.linger()
	return nil
}

// CloseWrite is what net/http ends a connection with whose client may still be sending.
func (c *clientConn) CloseWrite() error {
	c.linger()
	return nil
}

// SetReadDeadline has no effect on a connection that is being closed, which has a deadline of its own.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serverDeadline = t
	return c.updateReadDeadline()
}

// SetDeadline sets both deadlines.
func (c *clientConn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.Conn.SetWriteDeadline(t)
}

// linger ends sending and has the socket closed when the client has closed too, or in lingerTime. Only the first call does anything.
func (c *clientConn) linger() {
	if !c.shutdownWrite() {
		return
	}
	c.mu.Lock()
	gone, wasIdle := c.readErr != nil, c.closedIdle
	c.mu.Unlock()
	switch {
	case gone:
		c.abort()
	case wasIdle:
		time.AfterFunc(idleLingerTimeout, c.abort)
	default:
		go c.discardInput()
	}
}

// endSending sends the end of the connection, and tells whether it had not been sent before.
func (c *clientConn) shutdownWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lingering {
		return false
	}
	// Between two requests what still comes is left unread, whoever closes: a request that was read has to be answered.
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

// drain reads and drops what the client still sends, and closes the socket at its end.
func (c *clientConn) discardInput() {
	defer c.abort()
	chunk := readBuffers.Get().(*[readBufferSize]byte)
	defer readBuffers.Put(chunk)
	for dropped := 0; dropped < maxLingerBytes; {
		n, err := c.Conn.Read(chunk[:])
		if err != nil {
			return
		}
		dropped += n
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
		c.onClosed(c)
	}
}

// logClose logs why and how the connection was closed.
func (c *clientConn) logClose(log *slog.Logger) {
	c.mu.Lock()
	defer c.mu.Unlock()
	log.Debug("connection closed", "client", c.RemoteAddr(), "cause", c.closeCause, "state", c.closedInState, "unanswered_bytes", len(c.pending), "write_error", c.writeErr)
}

// connKey is under which a request's context has its connection.
type connContextKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, c)
}

// connOf is the connection of a request.
func connFromContext(ctx context.Context) *clientConn {
	c, _ := ctx.Value(connContextKey{}).(*clientConn)
	return c
}
