package connpool

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"sloetrestle/internal/addresses"
)

// Conn is one use of a verified connection.
type Conn struct {
	net.Conn
	Address   *addresses.Address
	pool      *Pool
	reader    *responseReader
	idleSince time.Duration
	written   int64 // bytes of the current request
	noReuse   bool  // it is closed after the current request
}

// responseReader reads a connection. It limits the bytes that it reads for the head of a response.
type responseReader struct {
	*bufio.Reader
	limited io.LimitedReader
	source  idleReader
}

func newResponseReader(conn net.Conn) *responseReader {
	r := &responseReader{source: idleReader{conn: conn}}
	r.limited = io.LimitedReader{R: &r.source, N: math.MaxInt64}
	r.Reader = bufio.NewReader(&r.limited)
	return r
}

// idleReader reads a connection, and bounds the time between two reads that bring something.
type idleReader struct {
	conn    net.Conn
	timeout time.Duration // 0: the connection's own deadline holds
}

// Read reads from the connection.
func (r *idleReader) Read(into []byte) (int, error) {
	if r.timeout > 0 {
		r.conn.SetReadDeadline(time.Now().Add(r.timeout))
	}
	return r.conn.Read(into)
}

// readHead reads the head of the response to a request.
func (r *responseReader) readHead(request *http.Request) (*http.Response, error) {
	r.limited.N = maxHeadBytes
	resp, err := http.ReadResponse(r.Reader, request)
	if err != nil && r.limited.N == 0 {
		err = errHeadTooLong
	}
	r.limited.N = math.MaxInt64
	return resp, err
}

// alive tells whether the far side of an idle connection has neither closed it nor sent anything.
func (c *Conn) alive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sysConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		n, _, e := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = n < 0 && (e == syscall.EAGAIN || e == syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && quiet
}

// verify requests the far side's name over a connection and compares it with the backend's.
func verify(conn net.Conn, reader *responseReader, name string) addresses.Result {
	if _, err := fmt.Fprintf(conn, "GET /v2 HTTP/1.1\r\nHost: %s\r\n\r\n", name); err != nil {
		return addresses.Disconnected
	}
	resp, err := reader.readHead(nil)
	if err != nil {
		return addresses.Disconnected
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxVerifyBytes+1))
	resp.Body.Close()
	if err != nil || len(raw) > maxVerifyBytes || resp.Close {
		return addresses.Disconnected
	}
	var metadata struct {
		Name string `json:"name"`
	}
	if json.Unmarshal(raw, &metadata) != nil || resp.StatusCode != http.StatusOK || metadata.Name != name {
		return addresses.WrongBackend
	}
	return addresses.Verified
}

// reverify verifies a connection that was idle again. A failure counts against the address, whose other idle
// connections are closed too.
func (c *Conn) reverify(ctx context.Context, timeout time.Duration) bool {
	startedAt := c.pool.manager.Now()
	stop := context.AfterFunc(ctx, func() { c.Conn.Close() })
	c.Conn.SetDeadline(time.Now().Add(timeout))
	result := verify(c.Conn, c.reader, c.pool.Name)
	c.Conn.SetDeadline(time.Time{})
	if !stop() {
		c.discard()
		return false
	}
	p := c.pool
	p.mu.Lock()
	now := p.manager.Now()
	if result == addresses.Disconnected && now-startedAt >= timeout {
		result = addresses.TimedOut
	}
	p.tracker.Record(now, c.Address, result, now-startedAt)
	if result != addresses.Verified {
		p.closeIdle(func(other *Conn) bool { return other.Address == c.Address })
	}
	p.mu.Unlock()
	if result != addresses.Verified {
		c.discard()
	}
	return result == addresses.Verified
}

// Write writes to the connection and counts the bytes.
func (c *Conn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.written += int64(n)
	return n, err
}

// NoReuse has the connection closed after the current request: more of its response may come later.
func (c *Conn) NoReuse() { c.noReuse = true }

// Sent tells whether a byte of the request was sent. From then on the request is bound to this connection.
func (c *Conn) Sent() bool { return c.written > 0 }

// Do sends a request over the connection and returns the response, whose body must be closed; then the connection is
// put back into the pool or closed. On an error the connection is closed. ErrNotSent means that the request may be
// sent over another connection.
func (c *Conn) Do(ctx context.Context, r *http.Request) (*http.Response, error) {
	stop := context.AfterFunc(ctx, func() { c.Conn.Close() })
	fail := func(err error) (*http.Response, error) {
		stop()
		c.discard()
		if !c.Sent() {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, err
	}
	out := bufio.NewWriter(c)
	if err := r.Write(out); err != nil {
		return fail(err)
	}
	if err := out.Flush(); err != nil {
		return fail(err)
	}
	resp, err := c.reader.readHead(r)
	if err != nil {
		return fail(err)
	}
	resp.Body = &responseBody{ReadCloser: resp.Body, conn: c, stop: stop, last: resp.Close}
	return resp, nil
}

// responseBody puts the connection back into the pool when the response was read to its end.
type responseBody struct {
	io.ReadCloser
	conn   *Conn
	stop   func() bool
	last   bool // the far side closes the connection after this response
	ended  bool
	closed bool
}

// Read reads from the body and notes its end.
func (b *responseBody) Read(buf []byte) (int, error) {
	n, err := b.ReadCloser.Read(buf)
	b.ended = b.ended || err == io.EOF
	return n, err
}

// Close reads what little may follow the last event of a response. If more follows, the connection is closed.
func (b *responseBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if !b.ended && !b.last {
		b.conn.SetReadDeadline(time.Now().Add(maxDrainTime))
		io.CopyN(io.Discard, b, maxDrainBytes)
		b.conn.SetReadDeadline(time.Time{})
	}
	if !b.stop() || !b.ended || b.last || b.conn.noReuse {
		b.conn.discard()
		return nil
	}
	p := b.conn.pool
	p.mu.Lock()
	p.putIdle(b.conn, false)
	p.mu.Unlock()
	return nil
}

// WriteRequest sends the bytes of a request and tells whether all of them were sent. Until then the request cannot
// have run.
func (c *Conn) WriteRequest(parts ...[]byte) (complete bool, err error) {
	total := int64(0)
	for _, part := range parts {
		total += int64(len(part))
	}
	buffers := net.Buffers(parts)
	n, err := buffers.WriteTo(c.Conn)
	c.written += n
	return n == total, err
}

// ReadResponse reads the head of a response; what follows it is read from Reader.
func (c *Conn) ReadResponse(request *http.Request) (*http.Response, error) {
	return c.reader.readHead(request)
}

// SetIdleTimeout bounds how long a read may wait for the far side to send something; 0: the read deadline holds. It must
// not be called while a read is in progress.
func (c *Conn) SetIdleTimeout(timeout time.Duration) { c.reader.source.timeout = timeout }

// Reader returns the buffered reader of the connection.
func (c *Conn) Reader() *bufio.Reader { return c.reader.Reader }

// Discard closes the connection and frees its place in the pool. It must be called at most once.
func (c *Conn) Discard() { c.discard() }

func (c *Conn) discard() {
	c.Conn.Close()
	p := c.pool
	p.mu.Lock()
	p.open--
	p.notify()
	p.mu.Unlock()
}

// ReportServed records that a request over the connection was served.
func (c *Conn) ReportServed() { c.record(addresses.Served) }

// ReportFailed records that a request over the connection failed. The idle connections to the address are closed, so
// that the next request to it goes over a newly verified one.
func (c *Conn) ReportFailed() { c.record(addresses.RequestFailed) }

func (c *Conn) record(result addresses.Result) {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.Record(p.manager.Now(), c.Address, result, 0)
	if result == addresses.RequestFailed {
		p.closeIdle(func(other *Conn) bool { return other.Address == c.Address })
	}
}

// URL returns the base URL for requests to a backend. It has the backend's name for a host: requests are not sent by
// name, but over a connection of the backend's pool.
func URL(name string) string { return "http://" + strings.ReplaceAll(name, " ", "-") }
