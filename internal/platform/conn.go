package platform

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"sloetrestle/internal/memory"
	"sloetrestle/internal/retrythrottle"
	"sloetrestle/internal/system"
)

const (
	readBufferSize    = 16 << 10 // bytes read from a socket at a time
	headReadSize      = 4 << 10  // the same while a head is read, which is kept until net/http has parsed it
	maxPipelinedBytes = 64 << 10 // bytes buffered of what a client pipelines behind its open request

	// requestReadTimeout bounds the time to receive a whole request, from its first byte or, for a connection's first
	// request, from the connection's start. A client that stops in the middle of a request must get an error or a close
	// within 3 s.
	requestReadTimeout = 2700 * time.Millisecond
)

// minReportedAge is the least age of received data that is relied on: the operating system reports it in steps of some
// milliseconds.
const minReportedAge = 10 * time.Millisecond

// minFirstRequestTimeout is the time that a first request still has if its connection spent most of
// requestReadTimeout waiting to be accepted.
const minFirstRequestTimeout = 500 * time.Millisecond

// firstRequestDeadline returns the time by which the first request of a connection that is accepted now must have been
// received. The connection may have been complete since the given time.
func firstRequestDeadline(now, complete time.Time) time.Time {
	deadline, earliest := complete.Add(requestReadTimeout), now.Add(minFirstRequestTimeout)
	if deadline.Before(earliest) {
		return earliest
	}
	return deadline
}

// immediateThreshold tells what was already waiting from what has just arrived: a request or connection that is
// returned sooner than this may have been waiting before.
const immediateThreshold = 10 * time.Millisecond

// readBuffers holds buffers for one read each.
var readBuffers = sync.Pool{New: func() any { return new([readBufferSize]byte) }}

// connState is what a client's connection is doing.
type connState int

// String returns the name of the state in logs.
func (s connState) String() string {
	return [...]string{"new", "idle", "reading", "answering", "closing"}[s]
}

const (
	connNew       connState = iota // accepted, nothing received yet
	connIdle                       // between two requests, no byte of the next one was read
	connReading                    // part of a request was read
	connAnswering                  // a request was read whole, its response is not finished
	connClosing                    // no further request is read
)

// clientConn is a client's connection. It hands net/http one request at a time and buffers what follows, which gives
// two properties that net/http alone does not have. First, a connection is closed between two requests without a race:
// closing and reading exclude each other, so a request is either left unread or answered. Second, a client that has
// pipelined further requests behind its open one is still noticed when it closes, as its connection is read to the end.
//
// Every close shuts down the write side first, and closes the socket when the client has closed too or after a bounded
// time: closing a socket with unread bytes resets the connection, which can lose the end of the last response.
type clientConn struct {
	system.Conn
	rawConn  syscall.RawConn
	memory   *memory.Holder    // of what is kept of the connection and of what it sends
	onClosed func(*clientConn) // called once the socket is closed
	pacer    retrythrottle.RequestPacer

	mu                 sync.Mutex
	state              connState
	stateSince         time.Time // when the state was entered
	waitingSince       time.Time // since when the connection may have waited to be accepted
	earliestCompletion time.Time // the connection was not complete before this
	lastArrival        time.Time // when the bytes that were last read from the socket arrived
	arrival            time.Time // when the bytes of the current request that were read last arrived, at the latest
	requestDeadline    time.Time // when the current request must have been received
	serverDeadline     time.Time // for reads, as set by net/http
	pending            []byte    // read from the socket, not yet returned by Read
	framer             requestFramer
	pipelinedBytes     int   // reserved for pending, beyond what one read brings
	overrun            bool  // more was pipelined behind the open request than is buffered
	admitted           bool  // the current request is open
	evicted            bool  // the current request is given up for lack of memory
	readErr            error // that ended reading for good
	lingering          bool
	closedIdle         bool // closed between two requests: what still arrives is left unread
	closed             bool
	closeCause         closeCause // of the close
	closedInState      connState  // state in which the connection was closed
	writeErr           error      // of a response that could not be written
}

// newClientConn wraps an accepted connection, whose memory it takes from the account.
func newClientConn(
	conn system.Conn, account *memory.Account, onClosed func(*clientConn),
) (*clientConn, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	c := &clientConn{
		Conn: conn, rawConn: raw, onClosed: onClosed, stateSince: now, waitingSince: now, earliestCompletion: now,
		requestDeadline: now.Add(requestReadTimeout),
	}
	c.memory = account.NewHolder(c.giveUpMemory)
	c.memory.Take(memory.Connections, connectionBytes)
	return c, nil
}

// Read returns bytes of the current request. After the end of the request it returns only when the client has closed or
// a deadline passes.
func (c *clientConn) Read(p []byte) (int, error) {
	for {
		if err := c.reserveHead(len(p)); err != nil {
			return 0, err
		}
		n, err := c.readPending(p)
		if n > 0 || err != nil || len(p) == 0 {
			return n, err
		}
		if err := c.readSocket(); err != nil {
			return 0, c.readFailure(err)
		}
	}
}

// readPending copies buffered bytes of the current request to p, and returns how many. It removes them from pending,
// moves the framer on, and updates the state once the request is complete. 0 and nil mean that no bytes can be returned
// now, and the caller must read the socket unless p is empty. This is also the result after the head, until the framing
// of the body is set, and after the end of the request, even if bytes that follow are buffered. The error is readErr,
// or io.EOF if the connection is closing. It takes the lock.
func (c *clientConn) readPending(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.framer.position == afterHead && len(p) > 1 {
		// To notice a closed client, net/http reads one byte at a time. A longer read is for a body, or for a further
		// request, although the body's framing was not set. The end of this request is then not tracked any more, and
		// the connection is closed after it.
		c.framer.position = unframed
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
		c.dropPending()
	}
	return n, nil
}

// checkRequestEnd updates the state once the current request has been read whole. The caller holds the lock.
func (c *clientConn) checkRequestEnd() {
	if c.framer.position == afterBody && c.state != connAnswering {
		c.setState(connAnswering)
	}
}

// setState enters a state. The caller holds the lock.
func (c *clientConn) setState(state connState) {
	now := time.Now()
	if state == connReading && c.state != connNew {
		c.requestDeadline = now.Add(requestReadTimeout)
	}
	c.state, c.stateSince = state, now
	if state == connClosing {
		c.memory.ReleaseAll(memory.Incoming)
	}
	c.updateReadDeadline()
}

// updateReadDeadline sets the read deadline of the socket: the one that net/http has set or, within a request, the
// request's own if it is earlier. The caller holds the lock.
func (c *clientConn) updateReadDeadline() error {
	if c.lingering {
		return nil
	}
	deadline := c.serverDeadline
	if (c.state == connReading || c.state == connNew) && (deadline.IsZero() || c.requestDeadline.Before(deadline)) {
		deadline = c.requestDeadline
	}
	if c.evicted {
		deadline = time.Now()
	}
	return c.Conn.SetReadDeadline(deadline)
}

// readSocket reads from the socket once, waiting for bytes. Reading and closing exclude each other: nothing is read
// from a connection that is being closed.
func (c *clientConn) readSocket() error {
	err := c.rawConn.Read(func(fd uintptr) (done bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.state == connClosing && c.framer.position == inHead {
			return true
		}
		chunk := readBuffers.Get().(*[readBufferSize]byte)
		defer readBuffers.Put(chunk)
		n, err := c.TryRead(fd, chunk[:c.readSize()])
		switch {
		case err == syscall.EAGAIN:
			return false
		case err == syscall.EINTR:
			return true
		case err != nil:
			c.endReading(os.NewSyscallError("read", err))
		case n == 0:
			c.endReading(io.EOF)
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

// endReading records that nothing more is read, as the client has closed or the connection broke. A request that is
// pipelined behind the open one is not begun any more. The caller holds the lock.
func (c *clientConn) endReading(err error) {
	c.readErr = err
	if c.framer.position == afterHead || c.framer.position == afterBody {
		c.dropPipelined()
	}
}

// bufferBytes buffers what was read from the socket. The caller holds the lock.
func (c *clientConn) bufferBytes(fd uintptr, received []byte) {
	now := time.Now()
	c.lastArrival = arrivalTime(fd, now)
	switch c.state {
	case connNew:
		c.arrival = c.firstArrival(now)
		c.setState(connReading)
	case connIdle:
		c.arrival = c.lastArrival
		c.setState(connReading)
	case connReading:
		c.arrival = c.lastArrival // a request's time counts from its last byte
	}
	switch {
	case c.overrun:
	case c.framer.position == afterHead || c.framer.position == afterBody:
		c.bufferPipelined(received)
	default:
		c.pending = append(c.pending, received...)
	}
}

// readSize returns how many bytes to read from the socket at once. The caller holds the lock.
func (c *clientConn) readSize() int {
	if c.framer.position == inHead {
		return headReadSize
	}
	return readBufferSize
}

// arrivalTime returns when bytes that were read at the given time arrived. A busy process reads them late.
func arrivalTime(fd uintptr, read time.Time) time.Time {
	if age, known := system.SinceLastReceive(fd); known && age >= minReportedAge {
		return read.Add(-age)
	}
	return read
}

// firstArrival returns when the connection's first bytes, which were read at the given time, arrived. They may have
// waited as long as the connection waited to be accepted, and then until they were read. The caller holds the lock.
func (c *clientConn) firstArrival(read time.Time) time.Time {
	switch {
	case c.lastArrival.Before(c.earliestCompletion):
		return c.earliestCompletion
	case c.lastArrival.Before(read):
		return c.lastArrival
	case read.Sub(c.stateSince) < immediateThreshold:
		return c.waitingSince
	}
	return read
}

// setBodyLength sets how the body of the current request is framed: by its length in bytes, or in chunks.
func (c *clientConn) setBodyLength(bodyLength int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.framer.beginBody(bodyLength)
	c.checkRequestEnd()
}

// ambiguous reports whether the current request states the end of its body in two ways. What one server takes for the
// body may then hide a second request from another (request smuggling).
func (c *clientConn) ambiguous() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framer.hasContentLength && c.framer.hasTransferEncoding
}

// reusable reports whether a further request can be read after the current one.
func (c *clientConn) reusable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.overrun && c.framer.position != unframed
}

// responseDone records that the response to the current request is finished.
func (c *clientConn) responseDone() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.admitted = false
	c.memory.ReleaseAll(memory.Incoming)
	switch {
	case c.overrun || c.framer.position == unframed:
		c.setState(connClosing)
	case len(c.pending) > 0:
		c.arrival = c.lastArrival // it waited behind the request that was just answered
		c.setState(connReading)
	default:
		c.setState(connIdle)
	}
	c.framer.reset()
}

// requestArrival returns when the bytes of the current request that were read last arrived, and now at the latest. They
// may have waited behind another request, for their connection to be accepted, or to be read.
func (c *clientConn) requestArrival(now time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.arrival.After(now) {
		return now
	}
	return c.arrival
}

// status returns the state of the connection and how long it has been in it.
func (c *clientConn) status(now time.Time) (connState, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state, now.Sub(c.stateSince)
}

// Write writes part of a response and records the error. The handler cannot act on it, but the log has to distinguish a
// client whose response was not delivered from one that left.
func (c *clientConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	if err != nil {
		c.mu.Lock()
		c.writeErr = err
		c.mu.Unlock()
	}
	return n, err
}

// SetReadDeadline has no effect on a connection that is being closed, which has a deadline of its own.
func (c *clientConn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serverDeadline = deadline
	return c.updateReadDeadline()
}

// SetDeadline sets the read and the write deadline.
func (c *clientConn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.Conn.SetWriteDeadline(t)
}

// connContextKey is the context key of a request's connection.
type connContextKey struct{}

// withConn returns a context that holds a request's connection.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, c)
}

// connFromContext returns the connection of a request, or nil if the context has none.
func connFromContext(ctx context.Context) *clientConn {
	c, _ := ctx.Value(connContextKey{}).(*clientConn)
	return c
}
