// Package system is where a dispatcher meets the operating system: its sockets and its wall clock. The program takes them from a
// System that is handed in at construction, so that a test or a soak can put a failing one in the place of Real. Nothing here
// decides anything. Begin with System.
package system

import (
	"context"
	"net"
	"syscall"
	"time"
)

// System is what a dispatcher takes from the operating system.
type System struct {
	// Listen opens a TCP listener.
	Listen func(address string) (Listener, error)
	// ListenUDP opens a UDP socket.
	ListenUDP func(address string) (*net.UDPConn, error)
	// Dial connects.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Wall is the wall clock, which may step. Spans of time are never taken from it.
	Wall func() time.Time
}

// Listener accepts TCP connections. A deadline bounds Accept.
type Listener interface {
	Accept() (Conn, error)
	SetDeadline(t time.Time) error
	Addr() net.Addr
	Close() error
}

// Conn is an accepted TCP connection.
type Conn interface {
	net.Conn
	CloseWrite() error
	// TryRead reads once without waiting. EAGAIN: nothing has come.
	TryRead(fd uintptr, into []byte) (int, error)
	SyscallConn() (syscall.RawConn, error)
}

// Real is the operating system itself.
func Real() System {
	return System{Listen: listen, ListenUDP: listenUDP, Dial: dial, Wall: time.Now}
}

func listen(address string) (Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return tcpListener{l.(*net.TCPListener)}, nil
}

func listenUDP(address string) (*net.UDPConn, error) {
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp", at)
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, network, address)
}

type tcpListener struct{ *net.TCPListener }

func (l tcpListener) Accept() (Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return TCPConn{c}, nil
}

// TCPConn is a TCP connection as a Conn.
type TCPConn struct{ *net.TCPConn }

// TryRead reads from the socket once.
func (c TCPConn) TryRead(fd uintptr, into []byte) (int, error) { return syscall.Read(int(fd), into) }
