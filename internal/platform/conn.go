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
	readChunk  = 16 << 10               // bytes read from a socket at a time
	aheadMost  = 64 << 10               // bytes kept of what a client sends behind its open request
	lingerTime = 500 * time.Millisecond // from the end of sending to the close, if the client does not close before
	lingerIdle = 100 * time.Millisecond // the same for a connection between two requests, which is not read meanwhile
	lingerMost = 1 << 20                // bytes read and dropped in that time

	// requestMost is for a whole request, from its first byte, or from the connection's beginning: a client that stops in the middle of
	// one and stays is owed an error or a close within 3 s.
	requestMost = 2700 * time.Millisecond
)

// receivedLeast is from when on the system's word counts of how long ago bytes came: it is told in steps of some milliseconds.
const receivedLeast = 10 * time.Millisecond

// requestLeast is for a first request whose connection waited to be accepted for most of requestMost.
const requestLeast = 500 * time.Millisecond

// firstUntil is when the first request of a connection has to be whole that is accepted now and may have been complete for a while.
func firstUntil(now, complete time.Time) time.Time {
	until, least := complete.Add(requestMost), now.Add(requestLeast)
	if until.Before(least) {
		return least
	}
	return until
}

// atOnce is how soon after its connection a request may come that was there before it.
const atOnce = 10 * time.Millisecond

// chunks are buffers for one read.
var chunks = sync.Pool{New: func() any { return new([readChunk]byte) }}

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
	raw      syscall.RawConn
	released func(*clientConn) // called once the socket is closed

	mu        sync.Mutex
	state     connState
	since     time.Time // when the state began
	waited    time.Time // since when the connection may have waited to be accepted
	earliest  time.Time // before which it was not complete
	lastRead  time.Time // when bytes last came from the socket
	came      time.Time // when the present request had come at the latest; zero: it is coming now
	until     time.Time // when the present request has to be whole
	deadline  time.Time // for reads, as net/http wants it
	pending   []byte    // read from the socket, not handed on yet
	frame     requestFrame
	overrun   bool  // more came behind the open request than is kept
	readErr   error // that ended reading for good
	lingering bool
	wasIdle   bool // it was closed between two requests: what comes now is left unread
	closed    bool
	cause     closeCause // of its close
	closedIn  connState  // in which it was closed
	writeErr  error      // of an answer that could not be written
}

// newClientConn wraps an accepted connection.
func newClientConn(conn system.Conn, released func(*clientConn)) (*clientConn, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &clientConn{Conn: conn, raw: raw, released: released, since: now, waited: now, earliest: now, until: now.Add(requestMost)}, nil
}

// Read hands on bytes of the present request. Once that is whole, it returns only when the client has gone or a deadline passes.
func (c *clientConn) Read(p []byte) (int, error) {
	for {
		n, err := c.take(p)
		if n > 0 || err != nil || len(p) == 0 {
			return n, err
		}
		if err := c.fill(); err != nil {
			return 0, err
		}
	}
}

// take hands on what is pending of the present request. Nothing and no error: more has to be read.
func (c *clientConn) take(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frame.at == afterHead && len(p) > 1 {
		c.frame.at = unframed // net/http looks for a gone client one byte at a time; this is a read of something else
	}
	switch {
	case c.frame.at == afterHead || c.frame.at == afterBody:
		return 0, c.readErr
	case c.state == connClosing:
		return 0, io.EOF
	case len(c.pending) == 0:
		return 0, c.readErr
	}
	n := c.frame.advance(c.pending[:min(len(p), len(c.pending))])
	c.look()
	copy(p, c.pending[:n])
	if c.pending = c.pending[n:]; len(c.pending) == 0 {
		c.pending = nil
	}
	return n, nil
}

// look takes note of whether the present request was read to its end. The lock is held.
func (c *clientConn) look() {
	if c.frame.at == afterBody && c.state != connAnswering {
		c.enter(connAnswering)
	}
}

// enter has a state begin. The lock is held.
func (c *clientConn) enter(state connState) {
	now := time.Now()
	if state == connReading && c.state != connNew {
		c.until = now.Add(requestMost)
	}
	c.state, c.since = state, now
	c.limitRead()
}

// limitRead sets the deadline for reads: the one that net/http wants or, in the middle of a request, that of the request if it is
// earlier. The lock is held.
func (c *clientConn) limitRead() error {
	if c.lingering {
		return nil
	}
	deadline := c.deadline
	if (c.state == connReading || c.state == connNew) && (deadline.IsZero() || c.until.Before(deadline)) {
		deadline = c.until
	}
	return c.Conn.SetReadDeadline(deadline)
}

// fill reads from the socket once, waiting for bytes. Reading and closing exclude each other: nothing is read of a connection that
// is being closed.
func (c *clientConn) fill() error {
	err := c.raw.Read(func(fd uintptr) (done bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.state == connClosing && c.frame.at == inHead {
			return true
		}
		chunk := chunks.Get().(*[readChunk]byte)
		defer chunks.Put(chunk)
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
			c.keep(fd, chunk[:n])
		}
		return true
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == connClosing && c.frame.at == inHead {
		return io.EOF
	}
	return err
}

// keep takes what was read from the socket. The lock is held.
func (c *clientConn) keep(fd uintptr, bytes []byte) {
	c.lastRead = time.Now()
	switch c.state {
	case connNew:
		c.came = c.firstCame(fd)
		c.enter(connReading)
	case connIdle:
		c.came = time.Time{}
		c.enter(connReading)
	}
	if (c.frame.at == afterHead || c.frame.at == afterBody) && len(c.pending)+len(bytes) > aheadMost {
		c.overrun, c.pending = true, nil
	}
	if !c.overrun {
		c.pending = append(c.pending, bytes...)
	}
}

// firstCame is when the first bytes of the connection came that are read now; zero: they are coming now. They may have waited for as long
// as the connection did to be accepted, and then for their turn. The lock is held.
func (c *clientConn) firstCame(fd uintptr) time.Time {
	if ago, told := system.SinceLastReceive(fd); told && ago >= receivedLeast {
		if came := c.lastRead.Add(-ago); came.After(c.earliest) {
			return came
		}
		return c.earliest
	}
	if c.lastRead.Sub(c.since) < atOnce {
		return c.waited
	}
	return time.Time{}
}

// begin says how the present request's body is framed: by its length, or in chunks.
func (c *clientConn) begin(bodyLength int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frame.begin(bodyLength)
	c.look()
}

// ambiguous tells whether the present request states the end of its body in two ways: what one takes for its body may hide a second
// request for another.
func (c *clientConn) ambiguous() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.frame.lengths && c.frame.encoded
}

// reusable tells whether a further request can be read after the present one.
func (c *clientConn) reusable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.overrun && c.frame.at != unframed
}

// answered takes note that the present request's answer is finished.
func (c *clientConn) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.overrun || c.frame.at == unframed:
		c.enter(connClosing)
	case len(c.pending) > 0:
		c.came = c.lastRead // it waited behind the one that was answered
		c.enter(connReading)
	default:
		c.enter(connIdle)
	}
	c.frame.next()
}

// requestCame is when the present request had come, if it was not just now: behind another one, or before the connection was accepted.
func (c *clientConn) requestCame(now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.came.IsZero() || c.came.After(now) {
		return now
	}
	return c.came
}

// status is what the connection does, and for how long.
func (c *clientConn) status(now time.Time) (connState, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state, now.Sub(c.since)
}

// closeIdle closes a connection of which no byte of a request has been read, and tells whether it was one.
func (c *clientConn) closeIdle(cause closeCause) bool {
	c.mu.Lock()
	idle := unread(c.state)
	if idle {
		c.cause, c.closedIn = cause, c.state
		c.enter(connClosing)
		c.wasIdle = true
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
	c.deadline = t
	return c.limitRead()
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
	if !c.endSending() {
		return
	}
	c.mu.Lock()
	gone, wasIdle := c.readErr != nil, c.wasIdle
	c.mu.Unlock()
	switch {
	case gone:
		c.abort()
	case wasIdle:
		time.AfterFunc(lingerIdle, c.abort)
	default:
		go c.drain()
	}
}

// endSending sends the end of the connection, and tells whether it had not been sent before.
func (c *clientConn) endSending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lingering {
		return false
	}
	// Between two requests what still comes is left unread, whoever closes: a request that was read has to be answered.
	c.wasIdle = c.wasIdle || unread(c.state)
	if c.state != connClosing {
		c.closedIn = c.state
	}
	c.lingering = true
	c.enter(connClosing)
	c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	c.Conn.CloseWrite()
	return true
}

// drain reads and drops what the client still sends, and closes the socket at its end.
func (c *clientConn) drain() {
	defer c.abort()
	chunk := chunks.Get().(*[readChunk]byte)
	defer chunks.Put(chunk)
	for dropped := 0; dropped < lingerMost; {
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
		c.released(c)
	}
}

// logClose logs why and how the connection was closed.
func (c *clientConn) logClose(log *slog.Logger) {
	c.mu.Lock()
	defer c.mu.Unlock()
	log.Debug("connection closed", "client", c.RemoteAddr(), "cause", c.cause, "state", c.closedIn, "unanswered_bytes", len(c.pending), "write_error", c.writeErr)
}

// connKey is under which a request's context has its connection.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOf is the connection of a request.
func connOf(ctx context.Context) *clientConn {
	c, _ := ctx.Value(connKey{}).(*clientConn)
	return c
}
