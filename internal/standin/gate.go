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

// Endpoint is one address of a box, which may go wrong by itself.
type Endpoint struct {
	Spec addresses.Spec

	mu       sync.Mutex
	mode     string
	by       time.Duration
	bytes    int
	to       *door // whose connections these become
	listener net.Listener
	stuck    []net.Conn
	conns    map[*gated]bool
	changed  chan struct{}
	open     bool
	work     sync.WaitGroup
}

// door is a listener whose connections come from gates.
type door struct {
	conns chan net.Conn
	once  sync.Once
	ended chan struct{}
}

func newDoor() *door { return &door{conns: make(chan net.Conn), ended: make(chan struct{})} }

func (d *door) Accept() (net.Conn, error) {
	select {
	case c := <-d.conns:
		return c, nil
	case <-d.ended:
		return nil, net.ErrClosed
	}
}
func (d *door) Close() error   { d.once.Do(func() { close(d.ended) }); return nil }
func (d *door) Addr() net.Addr { return &net.TCPAddr{} }

// open starts listening; connections go to the door.
func (g *Endpoint) Open(to *door) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.to, g.open = to, true
	if g.changed == nil {
		g.changed, g.conns = make(chan struct{}), map[*gated]bool{}
	}
	return g.fit()
}

// Close ends listening and all connections.
func (g *Endpoint) Close() {
	g.mu.Lock()
	g.open = false
	g.unlisten()
	g.breakAll()
	g.mu.Unlock()
	g.work.Wait()
}

// breakAll resets the connections; the gate is locked.
func (g *Endpoint) breakAll() {
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

func (g *Endpoint) unlisten() {
	if g.listener != nil {
		g.listener.Close()
		g.listener = nil
	}
	for _, c := range g.stuck {
		c.Close()
	}
	g.stuck = nil
}

// SetMode changes how the address goes wrong. by is the delay of slow and the period of flap, bytes those of reset.
func (g *Endpoint) SetMode(mode string, by time.Duration, bytes int) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mode, g.by, g.bytes = mode, by, bytes
	if g.changed != nil {
		close(g.changed)
		g.changed = make(chan struct{})
	}
	if !g.open {
		return nil
	}
	if mode == EndpointRefuses || mode == EndpointBlackhole {
		g.breakAll()
	}
	return g.fit()
}

// Swap hands this gate's connections to another box's process, and back.
func (g *Endpoint) Swap(o *Endpoint) {
	g.mu.Lock()
	o.mu.Lock()
	g.to, o.to = o.to, g.to
	g.breakAll()
	o.breakAll()
	o.mu.Unlock()
	g.mu.Unlock()
}

// fit makes the listening fit the mode; the gate is locked.
func (g *Endpoint) fit() error {
	g.unlisten()
	switch g.mode {
	case EndpointRefuses:
		if g.Spec.Network == addresses.Unix {
			os.Remove(g.Spec.At)
		}
		return nil
	case EndpointBlackhole:
		if g.Spec.Network != addresses.Unix {
			return g.blackhole()
		}
	}
	if err := g.listen(); err != nil {
		return err
	}
	if g.mode == EndpointFlaps {
		g.flap()
	}
	return nil
}

func (g *Endpoint) listen() error {
	if g.Spec.Network == addresses.Unix {
		os.Remove(g.Spec.At)
	}
	l, err := listen(g.Spec.Network, g.Spec.At)
	if err != nil {
		return err
	}
	g.listener = l
	g.work.Add(1)
	go func() {
		defer g.work.Done()
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			g.admit(c)
		}
	}()
	return nil
}

// blackhole listens so that connections are neither made nor refused.
func (g *Endpoint) blackhole() error {
	l, err := listen(g.Spec.Network, g.Spec.At)
	if err != nil {
		return err
	}
	g.listener = l
	g.stuck, err = FillBacklog(l)
	return err
}

// FillBacklog leaves a listener room for one waiting connection and takes it: what comes after is neither made nor refused while those
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
func (g *Endpoint) flap() {
	changed, by := g.changed, max(g.by, 10*time.Millisecond)
	g.work.Add(1)
	go func() {
		defer g.work.Done()
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
				g.unlisten()
				for c := range g.conns {
					c.Conn.Close()
				}
			} else {
				g.listen()
			}
			g.mu.Unlock()
		}
	}()
}

func (g *Endpoint) admit(conn net.Conn) {
	c := &gated{Conn: conn, gate: g, ended: make(chan struct{}), pieces: make(chan piece, 16)}
	g.mu.Lock()
	if !g.open || len(g.conns) > 4096 {
		g.mu.Unlock()
		conn.Close()
		return
	}
	g.conns[c] = true
	to := g.to
	g.mu.Unlock()
	g.work.Add(1)
	go func() { defer g.work.Done(); c.pump() }()
	select {
	case to.conns <- c:
	case <-to.ended:
		c.Close()
	case <-time.After(2 * time.Second):
		c.Close()
	}
}

// gated is a connection that does as its gate is told. What comes is taken off the socket at once and its time noted,
// however late the box's process gets to read it: a trip has reached the box's machine by then.
type gated struct {
	net.Conn
	gate   *Endpoint
	once   sync.Once
	ended  chan struct{}
	pieces chan piece
	rest   []byte
	passed bool // what rest holds has had its gate's delay
	late   deadline
	err    error

	mu      sync.Mutex
	wrote   bool
	read    int
	arrived time.Time // of what was read last
	gone    time.Time // when the other side closed
}

type piece struct {
	data []byte
	at   time.Time
}

// pump reads ahead, by a bounded amount.
func (c *gated) pump() {
	defer close(c.pieces)
	for {
		buf := make([]byte, 8192)
		n, err := c.Conn.Read(buf)
		if n > 0 {
			select {
			case c.pieces <- piece{buf[:n], time.Now()}:
			case <-c.ended:
				return
			}
		}
		if err != nil {
			c.mu.Lock()
			c.gone, c.err = time.Now(), err
			c.mu.Unlock()
			return
		}
	}
}

// times tells when what was read last had arrived, and when the other side closed, if it has.
func (c *gated) times() (arrived, gone time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.arrived, c.gone
}

func (c *gated) Close() error {
	c.once.Do(func() {
		close(c.ended)
		c.gate.mu.Lock()
		delete(c.gate.conns, c)
		c.gate.mu.Unlock()
	})
	return c.Conn.Close()
}

// pass waits as long as the gate lets nothing be read.
func (c *gated) pass() error {
	for {
		c.gate.mu.Lock()
		mode, by, changed, most := c.gate.mode, c.gate.by, c.gate.changed, c.gate.bytes
		c.gate.mu.Unlock()
		c.mu.Lock()
		wrote, read := c.wrote, c.read
		c.mu.Unlock()
		switch {
		case mode == EndpointStalls || mode == EndpointBlackhole || mode == EndpointStallsAfterResponse && wrote:
			select {
			case <-changed:
			case <-c.late.done():
				return os.ErrDeadlineExceeded
			case <-c.ended:
				return net.ErrClosed
			}
			continue
		case mode == EndpointSlow:
			return sleepOr(c.ended, by)
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

func sleepOr(ended <-chan struct{}, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ended:
		return net.ErrClosed
	}
}

func (c *gated) Read(p []byte) (int, error) {
	for len(c.rest) == 0 {
		select {
		case next, more := <-c.pieces:
			if !more {
				c.mu.Lock()
				defer c.mu.Unlock()
				if c.err == nil {
					return 0, net.ErrClosed
				}
				return 0, c.err
			}
			c.rest, c.passed = next.data, false
			c.mu.Lock()
			c.read += len(next.data)
			c.arrived = next.at
			c.mu.Unlock()
		case <-c.late.done():
			return 0, os.ErrDeadlineExceeded
		}
	}
	if !c.passed {
		if err := c.pass(); err != nil {
			return 0, err
		}
		c.passed = true
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// deadline is a moment after which reads end; the server uses one in the past to call its own reading off.
type deadline struct {
	mu    sync.Mutex
	past  chan struct{}
	timer *time.Timer
}

func (d *deadline) done() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.past == nil {
		d.past = make(chan struct{})
	}
	return d.past
}

func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	over := false
	if d.past != nil {
		select {
		case <-d.past:
			over = true
		default:
		}
	}
	if d.past == nil || over {
		d.past = make(chan struct{})
	}
	past := d.past
	switch wait := time.Until(t); {
	case t.IsZero():
	case wait <= 0:
		close(past)
	default:
		d.timer = time.AfterFunc(wait, func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			if d.past == past {
				select {
				case <-past:
				default:
					close(past)
				}
			}
		})
	}
}

func (c *gated) SetReadDeadline(t time.Time) error { c.late.set(t); return nil }

func (c *gated) SetDeadline(t time.Time) error {
	c.late.set(t)
	return c.Conn.SetWriteDeadline(t)
}

func (c *gated) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.wrote = true
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// cameBy is the key of its connection in a request's context.
type cameBy struct{}

func connOf(ctx context.Context) *gated {
	c, _ := ctx.Value(cameBy{}).(*gated)
	return c
}
