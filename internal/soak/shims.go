package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sloetrestle/internal/system"
)

// Order is what a soak tells the shims of a dispatcher's process: the system that fails is the program's own, but for these.
type Order struct {
	WallStep   time.Duration `json:"wall_step,omitempty"` // the wall clock steps by so much
	Accept     syscall.Errno `json:"accept,omitempty"`    // accept fails so
	Dial       syscall.Errno `json:"dial,omitempty"`      // socket or connect fails so
	ShortReads bool          `json:"short_reads,omitempty"`
	For        time.Duration `json:"for,omitempty"`
}

// shims are what stands between a dispatcher and the operating system.
type shims struct {
	wall atomic.Int64 // by how much the wall clock is off

	mu     sync.Mutex
	accept failure
	dial   failure
	short  failure
}

// failure lasts for a while.
type failure struct {
	errno syscall.Errno
	until time.Time
}

func (f failure) lasts() bool { return time.Now().Before(f.until) }

// Shims is a system that does what a soak orders over a connection.
func Shims(control string) (system.System, error) {
	conn, err := net.Dial("tcp", control)
	if err != nil {
		return system.System{}, err
	}
	s := &shims{}
	go s.follow(conn)
	real := system.Real()
	return system.System{
		Wall:      func() time.Time { return time.Now().Add(time.Duration(s.wall.Load())) },
		ListenUDP: real.ListenUDP,
		Listen: func(address string) (system.Listener, error) {
			l, err := real.Listen(address)
			if err != nil {
				return nil, err
			}
			return &shimListener{l, s}, nil
		},
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			if errno, fails := s.active(&s.dial); fails {
				return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", errno)}
			}
			c, err := real.Dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &shortDialed{c.(*net.TCPConn), s}, nil
		},
	}, nil
}

// follow carries out orders until the soak has gone.
func (s *shims) follow(conn net.Conn) {
	for lines := bufio.NewScanner(conn); lines.Scan(); {
		var o Order
		if json.Unmarshal(lines.Bytes(), &o) != nil {
			continue
		}
		s.wall.Add(int64(o.WallStep))
		until := time.Now().Add(o.For)
		s.mu.Lock()
		if o.Accept != 0 {
			s.accept = failure{o.Accept, until}
		}
		if o.Dial != 0 {
			s.dial = failure{o.Dial, until}
		}
		if o.ShortReads {
			s.short = failure{0, until}
		}
		s.mu.Unlock()
	}
}

func (s *shims) active(f *failure) (syscall.Errno, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return f.errno, f.lasts()
}

// cut is how much of a read or write is let through.
func (s *shims) limitLength(into []byte) []byte {
	if _, short := s.active(&s.short); short {
		return into[:min(len(into), maxShortIO)]
	}
	return into
}

// shortMost is how many bytes a short read or write takes.
const maxShortIO = 7

type shimListener struct {
	system.Listener
	shims *shims
}

func (l *shimListener) Accept() (system.Conn, error) {
	if errno, fails := l.shims.active(&l.shims.accept); fails {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
	}
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &shortAccepted{c, l.shims}, nil
}

// shortAccepted is an accepted connection with short reads, and writes in pieces.
type shortAccepted struct {
	system.Conn
	shims *shims
}

func (c *shortAccepted) Read(into []byte) (int, error) { return c.Conn.Read(c.shims.limitLength(into)) }

func (c *shortAccepted) TryRead(fd uintptr, into []byte) (int, error) {
	return c.Conn.TryRead(fd, c.shims.limitLength(into))
}

func (c *shortAccepted) Write(from []byte) (int, error) { return inPieces(c.Conn, c.shims, from) }

// shortDialed is the same for one that the dispatcher made.
type shortDialed struct {
	*net.TCPConn
	shims *shims
}

func (c *shortDialed) Read(into []byte) (int, error) {
	return c.TCPConn.Read(c.shims.limitLength(into))
}

func (c *shortDialed) Write(from []byte) (int, error) { return inPieces(c.TCPConn, c.shims, from) }

// inPieces writes all bytes, a few at a time while writes are short.
func inPieces(c net.Conn, s *shims, from []byte) (n int, err error) {
	for n < len(from) && err == nil {
		wrote := 0
		wrote, err = c.Write(s.limitLength(from[n:]))
		n += wrote
	}
	return n, err
}
