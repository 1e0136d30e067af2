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
	GateServes     = ""
	GateRefuses    = "refuse"      // nobody listens
	GateBlackhole  = "blackhole"   // connections are neither made nor refused
	GateStalls     = "stall"       // they are made, and nothing is read
	GateStallsNext = "stall_after" // one request is answered, then nothing is read
	GateSlow       = "slow"        // each read takes a while longer
	GateResets     = "reset"       // connections are reset after so many bytes
	GateFlaps      = "flap"        // it refuses and serves in turn
	GateSwapped    = "swap"        // another box's process listens here
)

// Gate is one address of a box, which may go wrong by itself.
type Gate struct {
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
func (g *Gate) Open(to *door) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.to, g.open = to, true
	if g.changed == nil {
		g.changed, g.conns = make(chan struct{}), map[*gated]bool{}
	}
	return g.fit()
}

// Close ends listening and all connections.
func (g *Gate) Close() {
	g.mu.Lock()
	g.open = false
	g.unlisten()
	g.breakAll()
	g.mu.Unlock()
	g.work.Wait()
}

// breakAll resets the connections; the gate is locked.
func (g *Gate) breakAll() {
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

func (g *Gate) unlisten() {
	if g.listener != nil {
		g.listener.Close()
		g.listener = nil
	}
	for _, c := range g.stuck {
		c.Close()
	}
	g.stuck = nil
}

// Set changes how the address goes wrong. by is the delay of slow and the period of flap, bytes those of reset.
func (g *Gate) Set(mode string, by time.Duration, bytes int) error {
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
	if mode == GateRefuses || mode == GateBlackhole {
		g.breakAll()
	}
	return g.fit()
}

// Swap hands this gate's connections to another box's process, and back.
func (g *Gate) Swap(o *Gate) {
	g.mu.Lock()
	o.mu.Lock()
	g.to, o.to = o.to, g.to
	g.breakAll()
	o.breakAll()
	o.mu.Unlock()
	g.mu.Unlock()
}

// fit makes the listening fit the mode; the gate is locked.
func (g *Gate) fit() error {
	g.unlisten()
	switch g.mode {
	case GateRefuses:
		if g.Spec.Network == addresses.Unix {
			os.Remove(g.Spec.At)
		}
		return nil
	case GateBlackhole:
		if g.Spec.Network != addresses.Unix {
			return g.blackhole()
		}
	}
	if err := g.listen(); err != nil {
		return err
	}
	if g.mode == GateFlaps {
		g.flap()
	}
	return nil
}

func (g *Gate) listen() error {
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

// blackhole listens with room for one waiting connection and fills it: what comes after is neither made nor refused.
func (g *Gate) blackhole() error {
	l, err := listen(g.Spec.Network, g.Spec.At)
	if err != nil {
		return err
	}
	g.listener = l
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	if cerr := raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) }); cerr != nil || err != nil {
		return errors.Join(cerr, err)
	}
	for range 4 {
		c, err := net.DialTimeout(g.Spec.Network, g.Spec.At, 30*time.Millisecond)
		if err != nil {
			return nil
		}
		g.stuck = append(g.stuck, c)
	}
	return fmt.Errorf("%s takes connections though its room is full", g.Spec)
}

// flap alternates while the mode lasts; the gate is locked.
func (g *Gate) flap() {
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
			if g.mode != GateFlaps || !g.open {
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

func (g *Gate) admit(conn net.Conn) {
	c := &gated{Conn: conn, gate: g, ended: make(chan struct{})}
	g.mu.Lock()
	if !g.open || len(g.conns) > 4096 {
		g.mu.Unlock()
		conn.Close()
		return
	}
	g.conns[c] = true
	to := g.to
	g.mu.Unlock()
	select {
	case to.conns <- c:
	case <-to.ended:
		c.Close()
	case <-time.After(2 * time.Second):
		c.Close()
	}
}

// gated is a connection that does as its gate is told.
type gated struct {
	net.Conn
	gate  *Gate
	once  sync.Once
	ended chan struct{}
	wrote bool
	read  int
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
		switch {
		case mode == GateStalls || mode == GateBlackhole || mode == GateStallsNext && c.wrote:
			select {
			case <-changed:
			case <-c.ended:
				return net.ErrClosed
			}
			continue
		case mode == GateSlow:
			return sleepOr(c.ended, by)
		case mode == GateResets && c.read >= most:
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
	n, err := c.Conn.Read(p)
	c.read += n
	if err != nil {
		return n, err
	}
	return n, c.pass()
}

func (c *gated) Write(p []byte) (int, error) {
	c.wrote = true
	return c.Conn.Write(p)
}

// cameBy is the key of a connection's address in its requests' context.
type cameBy struct{}

func addressOf(ctx context.Context) string {
	s, _ := ctx.Value(cameBy{}).(string)
	return s
}
