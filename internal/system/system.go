// Package system gives a dispatcher access to the operating system: sockets, files and clocks. A System is passed in at
// construction, so that tests can replace Real by one that fails; the package makes no decisions of its own. Begin with
// System.
package system

import (
	"context"
	"net"
	"syscall"
	"time"
)

// System is the set of operating system functions that a dispatcher uses.
type System struct {
	// Listen opens a TCP listener.
	Listen func(address string) (Listener, error)
	// ListenUDP opens a UDP socket.
	ListenUDP func(address string) (*net.UDPConn, error)
	// Dial opens a connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Wall returns the wall clock, which may step. Durations are never measured with it.
	Wall func() time.Time
}

// Listener accepts TCP connections. Its deadline bounds Accept.
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
	// TryRead reads once without waiting. It returns EAGAIN if nothing has arrived.
	TryRead(fd uintptr, into []byte) (int, error)
	SyscallConn() (syscall.RawConn, error)
}

// Real returns the operating system itself.
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
	resolved, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	return net.ListenUDP("udp", resolved)
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

// TCPConn wraps a TCP connection as a Conn.
type TCPConn struct{ *net.TCPConn }

// TryRead reads from the socket once.
func (c TCPConn) TryRead(fd uintptr, into []byte) (int, error) { return syscall.Read(int(fd), into) }
