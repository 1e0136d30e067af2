package fakes

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"sloetrestle/internal/addresses"
)

// Modes of an endpoint.
const (
	EndpointServes              = ""
	EndpointRefuses             = "refuse"      // nothing listens; connections are refused
	EndpointBlackhole           = "blackhole"   // connections are neither accepted nor refused
	EndpointStalls              = "stall"       // connections are accepted and never read from
	EndpointStallsAfterResponse = "stall_after" // one request is answered, then nothing more is read
	EndpointSlow                = "slow"        // each read is delayed
	EndpointResets              = "reset"       // connections are reset after a number of bytes has been read
	EndpointFlaps               = "flap"        // refuses and serves in turn
	EndpointSwapped             = "swap"        // another backend's process listens here
)

// Endpoint is one address of a backend. It can be made faulty independently of the backend's other addresses.
type Endpoint struct {
	Spec addresses.Spec

	mu         sync.Mutex
	mode       string
	delay      time.Duration
	resetAfter int
	target     *connListener // receives the accepted connections
	listener   net.Listener
	fillers    []net.Conn // connections that fill the backlog of a blackhole
	conns      map[*faultyConn]bool
	changed    chan struct{} // closed and replaced when the mode changes or connections are reset
	open       bool
	handlers   sync.WaitGroup
}

// connListener is a net.Listener whose connections are handed over by endpoints. It joins all addresses of a
// backend in one server.
type connListener struct {
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

// newConnListener returns a listener without connections.
func newConnListener() *connListener {
	return &connListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *connListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}
func (l *connListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *connListener) Addr() net.Addr { return &net.TCPAddr{} }

// Open starts listening; accepted connections go to target.
func (e *Endpoint) Open(target *connListener) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.target, e.open = target, true
	if e.changed == nil {
		e.changed, e.conns = make(chan struct{}), map[*faultyConn]bool{}
	}
	return e.applyMode()
}

// Close stops listening, resets all connections and waits for their goroutines.
func (e *Endpoint) Close() {
	e.mu.Lock()
	e.open = false
	e.closeListener()
	e.resetConns()
	e.mu.Unlock()
	e.handlers.Wait()
}

// resetConns resets the connections. e.mu must be held.
func (e *Endpoint) resetConns() {
	for c := range e.conns {
		if t, ok := c.Conn.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Conn.Close()
	}
	clear(e.conns)
	close(e.changed)
	e.changed = make(chan struct{})
}

// closeListener stops listening and closes the connections that fill the backlog. e.mu must be held.
func (e *Endpoint) closeListener() {
	if e.listener != nil {
		e.listener.Close()
		e.listener = nil
	}
	for _, c := range e.fillers {
		c.Close()
	}
	e.fillers = nil
}

// SetMode changes the mode. delay is the delay of a read in the slow mode and the period of the flapping mode,
// resetAfter the number of bytes after which the reset mode resets a connection.
func (e *Endpoint) SetMode(mode string, delay time.Duration, resetAfter int) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mode, e.delay, e.resetAfter = mode, delay, resetAfter
	if e.changed != nil {
		close(e.changed)
		e.changed = make(chan struct{})
	}
	if !e.open {
		return nil
	}
	if mode == EndpointRefuses || mode == EndpointBlackhole {
		e.resetConns()
	}
	return e.applyMode()
}

// Swap exchanges the processes behind two endpoints. A second call swaps them back. Open connections are reset.
func (e *Endpoint) Swap(other *Endpoint) {
	e.mu.Lock()
	other.mu.Lock()
	e.target, other.target = other.target, e.target
	e.resetConns()
	other.resetConns()
	other.mu.Unlock()
	e.mu.Unlock()
}

// applyMode makes the listener match the mode. e.mu must be held.
func (e *Endpoint) applyMode() error {
	e.closeListener()
	switch e.mode {
	case EndpointRefuses:
		if e.Spec.Network == addresses.Unix {
			os.Remove(e.Spec.Addr)
		}
		return nil
	case EndpointBlackhole:
		if e.Spec.Network != addresses.Unix {
			return e.startBlackhole()
		}
	}
	if err := e.startListener(); err != nil {
		return err
	}
	if e.mode == EndpointFlaps {
		e.startFlapping()
	}
	return nil
}

// startListener listens and hands accepted connections over. e.mu must be held.
func (e *Endpoint) startListener() error {
	if e.Spec.Network == addresses.Unix {
		os.Remove(e.Spec.Addr)
	}
	listener, err := listenWithRetry(e.Spec.Network, e.Spec.Addr)
	if err != nil {
		return err
	}
	e.listener = listener
	e.handlers.Add(1)
	go func() {
		defer e.handlers.Done()
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			e.handOver(conn)
		}
	}()
	return nil
}

// startBlackhole listens such that connections are neither accepted nor refused. e.mu must be held.
func (e *Endpoint) startBlackhole() error {
	listener, err := listenWithRetry(e.Spec.Network, e.Spec.Addr)
	if err != nil {
		return err
	}
	e.listener = listener
	e.fillers, err = FillBacklog(listener)
	return err
}

// FillBacklog shrinks a listener's backlog to one pending connection and fills it. While the returned connections
// stay open, further ones are neither accepted nor refused.
func FillBacklog(listener net.Listener) (fillers []net.Conn, err error) {
	rawConn, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return nil, err
	}
	if controlErr := rawConn.Control(func(fd uintptr) {
		err = syscall.Listen(int(fd), 0)
	}); controlErr != nil || err != nil {
		return nil, errors.Join(controlErr, err)
	}
	for range 4 {
		conn, err := net.DialTimeout(listener.Addr().Network(), listener.Addr().String(), 30*time.Millisecond)
		if err != nil {
			return fillers, nil
		}
		fillers = append(fillers, conn)
	}
	return fillers, fmt.Errorf("%s accepts connections although its backlog is full", listener.Addr())
}

// startFlapping alternates between refusing and serving while the mode lasts. e.mu must be held.
func (e *Endpoint) startFlapping() {
	changed, period := e.changed, max(e.delay, 10*time.Millisecond)
	e.handlers.Add(1)
	go func() {
		defer e.handlers.Done()
		for listening := true; ; listening = !listening {
			select {
			case <-changed:
				return
			case <-time.After(period):
			}
			e.mu.Lock()
			if e.mode != EndpointFlaps || !e.open {
				e.mu.Unlock()
				return
			}
			if listening {
				e.closeListener()
				for conn := range e.conns {
					conn.Conn.Close()
				}
			} else {
				e.startListener()
			}
			e.mu.Unlock()
		}
	}()
}

// handOver wraps an accepted connection and passes it to the process behind the endpoint.
func (e *Endpoint) handOver(conn net.Conn) {
	wrapped := &faultyConn{Conn: conn, endpoint: e, closed: make(chan struct{}), chunks: make(chan chunk, 16)}
	e.mu.Lock()
	if !e.open || len(e.conns) > 4096 {
		e.mu.Unlock()
		conn.Close()
		return
	}
	e.conns[wrapped] = true
	target := e.target
	e.mu.Unlock()
	e.handlers.Add(1)
	go func() { defer e.handlers.Done(); wrapped.readAhead() }()
	select {
	case target.conns <- wrapped:
	case <-target.closed:
		wrapped.Close()
	case <-time.After(2 * time.Second):
		wrapped.Close()
	}
}

// faultyConn is a connection that follows the mode of its endpoint. A goroutine reads ahead from the socket and
// notes the time of arrival, however late the backend's process reads the bytes: an attempt has reached the
// backend's machine by then.
type faultyConn struct {
	net.Conn
	endpoint     *Endpoint
	once         sync.Once
	closed       chan struct{}
	chunks       chan chunk
	unread       []byte
	modeApplied  bool // whether the endpoint's mode has been applied to unread
	readDeadline readDeadline
	readErr      error

	mu           sync.Mutex
	wrote        bool
	bytesRead    int
	lastArrival  time.Time // arrival of the bytes read last
	peerClosedAt time.Time // when the peer closed the connection
}

// chunk is a piece of input with the time of its arrival.
type chunk struct {
	data      []byte
	arrivedAt time.Time
}

// readAhead reads from the socket into chunks, which bounds how far it gets ahead.
func (c *faultyConn) readAhead() {
	defer close(c.chunks)
	for {
		buf := make([]byte, 8192)
		n, err := c.Conn.Read(buf)
		if n > 0 {
			select {
			case c.chunks <- chunk{buf[:n], time.Now()}:
			case <-c.closed:
				return
			}
		}
		if err != nil {
			c.mu.Lock()
			c.peerClosedAt, c.readErr = time.Now(), err
			c.mu.Unlock()
			return
		}
	}
}

// timestamps returns the arrival of the bytes read last and the time at which the peer closed the connection (zero
// if it hasn't).
func (c *faultyConn) timestamps() (arrived, closed time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastArrival, c.peerClosedAt
}

func (c *faultyConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.endpoint.mu.Lock()
		delete(c.endpoint.conns, c)
		c.endpoint.mu.Unlock()
	})
	return c.Conn.Close()
}

// waitForMode blocks while the mode of the endpoint lets nothing be read.
func (c *faultyConn) waitForMode() error {
	for {
		c.endpoint.mu.Lock()
		mode, delay, changed, resetAfter := c.endpoint.mode, c.endpoint.delay, c.endpoint.changed, c.endpoint.resetAfter
		c.endpoint.mu.Unlock()
		c.mu.Lock()
		wrote, bytesRead := c.wrote, c.bytesRead
		c.mu.Unlock()
		switch {
		case mode == EndpointStalls || mode == EndpointBlackhole || mode == EndpointStallsAfterResponse && wrote:
			select {
			case <-changed:
			case <-c.readDeadline.done():
				return os.ErrDeadlineExceeded
			case <-c.closed:
				return net.ErrClosed
			}
			continue
		case mode == EndpointSlow:
			return sleepUnlessClosed(c.closed, delay)
		case mode == EndpointResets && bytesRead >= resetAfter:
			if t, ok := c.Conn.(*net.TCPConn); ok {
				t.SetLinger(0)
			}
			c.Close()
			return net.ErrClosed
		}
		return nil
	}
}

// sleepUnlessClosed waits for a duration; it fails when the connection is closed before.
func sleepUnlessClosed(closed <-chan struct{}, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-closed:
		return net.ErrClosed
	}
}

func (c *faultyConn) Read(p []byte) (int, error) {
	for len(c.unread) == 0 {
		select {
		case next, ok := <-c.chunks:
			if !ok {
				c.mu.Lock()
				defer c.mu.Unlock()
				if c.readErr == nil {
					return 0, net.ErrClosed
				}
				return 0, c.readErr
			}
			c.unread, c.modeApplied = next.data, false
			c.mu.Lock()
			c.bytesRead += len(next.data)
			c.lastArrival = next.arrivedAt
			c.mu.Unlock()
		case <-c.readDeadline.done():
			return 0, os.ErrDeadlineExceeded
		}
	}
	if !c.modeApplied {
		if err := c.waitForMode(); err != nil {
			return 0, err
		}
		c.modeApplied = true
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// readDeadline is the time after which reads fail. net/http sets one in the past to abort its own background read.
type readDeadline struct {
	mu      sync.Mutex
	expired chan struct{}
	timer   *time.Timer
}

// done returns a channel that is closed when the deadline passes.
func (d *readDeadline) done() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.expired == nil {
		d.expired = make(chan struct{})
	}
	return d.expired
}

// set changes the deadline; zero means none.
func (d *readDeadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	passed := false
	if d.expired != nil {
		select {
		case <-d.expired:
			passed = true
		default:
		}
	}
	if d.expired == nil || passed {
		d.expired = make(chan struct{})
	}
	expired := d.expired
	switch wait := time.Until(t); {
	case t.IsZero():
	case wait <= 0:
		close(expired)
	default:
		d.timer = time.AfterFunc(wait, func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			if d.expired == expired {
				select {
				case <-expired:
				default:
					close(expired)
				}
			}
		})
	}
}

func (c *faultyConn) SetReadDeadline(t time.Time) error { c.readDeadline.set(t); return nil }

func (c *faultyConn) SetDeadline(t time.Time) error {
	c.readDeadline.set(t)
	return c.Conn.SetWriteDeadline(t)
}

func (c *faultyConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.wrote = true
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// connKey is the context key of a request's connection.
type connKey struct{}

// connFromContext returns the connection on which a request came, or nil.
func connFromContext(ctx context.Context) *faultyConn {
	c, _ := ctx.Value(connKey{}).(*faultyConn)
	return c
}
