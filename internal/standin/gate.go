package standin

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

// Ways that one address of a box may go wrong.
const (
	EndpointServes              = ""
	EndpointRefuses             = "refuse"      // nobody listens
	EndpointBlackhole           = "blackhole"   // connections are neither made nor refused
	EndpointStalls              = "stall"       // they are made, and nothing is read
	EndpointStallsAfterResponse = "stall_after" // one request is answered, then nothing is read
	EndpointSlow                = "slow"        // each read takes a while longer
	EndpointResets              = "reset"       // connections are reset after so many bytes
	EndpointFlaps               = "flap"        // it refuses and serves in turn
	EndpointSwapped             = "swap"        // another box's process listens here
)

// Gate is one address of a box, which may go wrong by itself.
type Endpoint struct {
	Spec addresses.Spec

	mu         sync.Mutex
	mode       string
	delay      time.Duration
	resetAfter int
	target     *connListener // whose connections these become
	listener   net.Listener
	fillers    []net.Conn
	conns      map[*faultyConn]bool
	changed    chan struct{}
	open       bool
	handlers   sync.WaitGroup
}

// door is a listener whose connections come from gates.
type connListener struct {
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

func newConnListener() *connListener {
	return &connListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (d *connListener) Accept() (net.Conn, error) {
	select {
	case c := <-d.conns:
		return c, nil
	case <-d.closed:
		return nil, net.ErrClosed
	}
}
func (d *connListener) Close() error   { d.once.Do(func() { close(d.closed) }); return nil }
func (d *connListener) Addr() net.Addr { return &net.TCPAddr{} }

// open starts listening; connections go to the door.
func (g *Endpoint) Open(to *connListener) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.target, g.open = to, true
	if g.changed == nil {
		g.changed, g.conns = make(chan struct{}), map[*faultyConn]bool{}
	}
	return g.applyMode()
}

// Close ends listening and all connections.
func (g *Endpoint) Close() {
	g.mu.Lock()
	g.open = false
	g.closeListener()
	g.resetConns()
	g.mu.Unlock()
	g.handlers.Wait()
}

// breakAll resets the connections; the gate is locked.
func (g *Endpoint) resetConns() {
	for c := range g.conns {
		if t, ok := c.Conn.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Conn.Close()
	}
	clear(g.conns)
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *Endpoint) closeListener() {
	if g.listener != nil {
		g.listener.Close()
		g.listener = nil
	}
	for _, c := range g.fillers {
		c.Close()
	}
	g.fillers = nil
}

// Set changes how the address goes wrong. by is the delay of slow and the period of flap, bytes those of reset.
func (g *Endpoint) SetMode(mode string, by time.Duration, bytes int) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mode, g.delay, g.resetAfter = mode, by, bytes
	if g.changed != nil {
		close(g.changed)
		g.changed = make(chan struct{})
	}
	if !g.open {
		return nil
	}
	if mode == EndpointRefuses || mode == EndpointBlackhole {
		g.resetConns()
	}
	return g.applyMode()
}

// Swap hands this gate's connections to another box's process, and back.
func (g *Endpoint) Swap(o *Endpoint) {
	g.mu.Lock()
	o.mu.Lock()
	g.target, o.target = o.target, g.target
	g.resetConns()
	o.resetConns()
	o.mu.Unlock()
	g.mu.Unlock()
}

// fit makes the listening fit the mode; the gate is locked.
func (g *Endpoint) applyMode() error {
	g.closeListener()
	switch g.mode {
	case EndpointRefuses:
		if g.Spec.Network == addresses.Unix {
			os.Remove(g.Spec.Addr)
		}
		return nil
	case EndpointBlackhole:
		if g.Spec.Network != addresses.Unix {
			return g.startBlackhole()
		}
	}
	if err := g.startListener(); err != nil {
		return err
	}
	if g.mode == EndpointFlaps {
		g.startFlapping()
	}
	return nil
}

func (g *Endpoint) startListener() error {
	if g.Spec.Network == addresses.Unix {
		os.Remove(g.Spec.Addr)
	}
	l, err := listenWithRetry(g.Spec.Network, g.Spec.Addr)
	if err != nil {
		return err
	}
	g.listener = l
	g.handlers.Add(1)
	go func() {
		defer g.handlers.Done()
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			g.handOver(c)
		}
	}()
	return nil
}

// blackhole listens so that connections are neither made nor refused.
func (g *Endpoint) startBlackhole() error {
	l, err := listenWithRetry(g.Spec.Network, g.Spec.Addr)
	if err != nil {
		return err
	}
	g.listener = l
	g.fillers, err = FillBacklog(l)
	return err
}

// Fill leaves a listener room for one waiting connection and takes it: what comes after is neither made nor refused while those
// connections stand.
func FillBacklog(l net.Listener) (stuck []net.Conn, err error) {
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		return nil, err
	}
	if cerr := raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) }); cerr != nil || err != nil {
		return nil, errors.Join(cerr, err)
	}
	for range 4 {
		c, err := net.DialTimeout(l.Addr().Network(), l.Addr().String(), 30*time.Millisecond)
		if err != nil {
			return stuck, nil
		}
		stuck = append(stuck, c)
	}
	return stuck, fmt.Errorf("%s takes connections though its room is full", l.Addr())
}

// flap alternates while the mode lasts; the gate is locked.
func (g *Endpoint) startFlapping() {
	changed, by := g.changed, max(g.delay, 10*time.Millisecond)
	g.handlers.Add(1)
	go func() {
		defer g.handlers.Done()
		for on := true; ; on = !on {
			select {
			case <-changed:
				return
			case <-time.After(by):
			}
			g.mu.Lock()
			if g.mode != EndpointFlaps || !g.open {
				g.mu.Unlock()
				return
			}
			if on {
				g.closeListener()
				for c := range g.conns {
					c.Conn.Close()
				}
			} else {
				g.startListener()
			}
			g.mu.Unlock()
		}
	}()
}

func (g *Endpoint) handOver(conn net.Conn) {
	c := &faultyConn{Conn: conn, endpoint: g, closed: make(chan struct{}), chunks: make(chan chunk, 16)}
	g.mu.Lock()
	if !g.open || len(g.conns) > 4096 {
		g.mu.Unlock()
		conn.Close()
		return
	}
	g.conns[c] = true
	to := g.target
	g.mu.Unlock()
	g.handlers.Add(1)
	go func() { defer g.handlers.Done(); c.readAhead() }()
	select {
	case to.conns <- c:
	case <-to.closed:
		c.Close()
	case <-time.After(2 * time.Second):
		c.Close()
	}
}

// gated is a connection that does as its gate is told. What comes is taken off the socket at once and its time noted,
// however late the box's process gets to read it: a trip has reached the box's machine by then.
type faultyConn struct {
	net.Conn
	endpoint     *Endpoint
	once         sync.Once
	closed       chan struct{}
	chunks       chan chunk
	unread       []byte
	modeApplied  bool // what rest holds has had its gate's delay
	readDeadline readDeadline
	readErr      error

	mu           sync.Mutex
	wrote        bool
	bytesRead    int
	lastArrival  time.Time // of what was read last
	peerClosedAt time.Time // when the other side closed
}

type chunk struct {
	data      []byte
	arrivedAt time.Time
}

// pump reads ahead, by a bounded amount.
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

// times tells when what was read last had arrived, and when the other side closed, if it has.
func (c *faultyConn) timestamps() (arrived, gone time.Time) {
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

// pass waits as long as the gate lets nothing be read.
func (c *faultyConn) waitForMode() error {
	for {
		c.endpoint.mu.Lock()
		mode, by, changed, most := c.endpoint.mode, c.endpoint.delay, c.endpoint.changed, c.endpoint.resetAfter
		c.endpoint.mu.Unlock()
		c.mu.Lock()
		wrote, read := c.wrote, c.bytesRead
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
			return sleepUnlessClosed(c.closed, by)
		case mode == EndpointResets && read >= most:
			if t, ok := c.Conn.(*net.TCPConn); ok {
				t.SetLinger(0)
			}
			c.Close()
			return net.ErrClosed
		}
		return nil
	}
}

func sleepUnlessClosed(ended <-chan struct{}, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ended:
		return net.ErrClosed
	}
}

func (c *faultyConn) Read(p []byte) (int, error) {
	for len(c.unread) == 0 {
		select {
		case next, more := <-c.chunks:
			if !more {
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

// deadline is a moment after which reads end; the server uses one in the past to call its own reading off.
type readDeadline struct {
	mu      sync.Mutex
	expired chan struct{}
	timer   *time.Timer
}

func (d *readDeadline) done() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.expired == nil {
		d.expired = make(chan struct{})
	}
	return d.expired
}

func (d *readDeadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	over := false
	if d.expired != nil {
		select {
		case <-d.expired:
			over = true
		default:
		}
	}
	if d.expired == nil || over {
		d.expired = make(chan struct{})
	}
	past := d.expired
	switch wait := time.Until(t); {
	case t.IsZero():
	case wait <= 0:
		close(past)
	default:
		d.timer = time.AfterFunc(wait, func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			if d.expired == past {
				select {
				case <-past:
				default:
					close(past)
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

// cameBy is the key of its connection in a request's context.
type connKey struct{}

func connFromContext(ctx context.Context) *faultyConn {
	c, _ := ctx.Value(connKey{}).(*faultyConn)
	return c
}
