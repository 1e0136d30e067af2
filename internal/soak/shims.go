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

// Order is a message from a soak to the shims of a dispatcher process. Apart from these faults the process uses the
// real operating system.
type Order struct {
	WallStep   time.Duration `json:"wall_step,omitempty"` // step of the wall clock
	Accept     syscall.Errno `json:"accept,omitempty"`    // error of accept
	Dial       syscall.Errno `json:"dial,omitempty"`      // error of socket or connect
	ShortReads bool          `json:"short_reads,omitempty"`
	For        time.Duration `json:"for,omitempty"` // how long the errors or short reads last
}

// shims hold the faults that are injected between a dispatcher and the operating system.
type shims struct {
	wall atomic.Int64 // offset of the wall clock in nanoseconds

	mu     sync.Mutex
	accept failure
	dial   failure
	short  failure
}

// failure is an injected error with the time at which it ends.
type failure struct {
	errno syscall.Errno
	until time.Time
}

func (f failure) lasts() bool { return time.Now().Before(f.until) }

// Shims returns a system that injects the faults ordered over a connection to the control address.
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

// follow executes orders until the connection ends.
func (s *shims) follow(conn net.Conn) {
	for lines := bufio.NewScanner(conn); lines.Scan(); {
		var order Order
		if json.Unmarshal(lines.Bytes(), &order) != nil {
			continue
		}
		s.wall.Add(int64(order.WallStep))
		until := time.Now().Add(order.For)
		s.mu.Lock()
		if order.Accept != 0 {
			s.accept = failure{order.Accept, until}
		}
		if order.Dial != 0 {
			s.dial = failure{order.Dial, until}
		}
		if order.ShortReads {
			s.short = failure{0, until}
		}
		s.mu.Unlock()
	}
}

// active returns the error of a failure and whether it lasts.
func (s *shims) active(f *failure) (syscall.Errno, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return f.errno, f.lasts()
}

// limitLength returns the part of a buffer that a read or write may use now.
func (s *shims) limitLength(into []byte) []byte {
	if _, short := s.active(&s.short); short {
		return into[:min(len(into), maxShortIO)]
	}
	return into
}

// maxShortIO is the number of bytes of a short read or write.
const maxShortIO = 7

// shimListener is a listener whose Accept fails on order and whose connections can have short reads.
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

// shortDialed is the same for a connection that the dispatcher dialed.
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
