package connpool

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"time"

	"sloetrestle/internal/addresses"
)

// ParseListen parses an address to listen on: host:port, or with a network before it, as in tcp6:[::1]:8100 or
// unix:/run/d0.sock.
func ParseListen(text string) (addresses.Spec, error) {
	for _, network := range []string{addresses.Unix, addresses.TCP4, addresses.TCP6} {
		if address, ok := strings.CutPrefix(text, network+":"); ok {
			s := addresses.Spec{Network: network, Addr: address}
			if network == addresses.Unix && !strings.HasPrefix(address, "/") {
				return s, fmt.Errorf("%q is not an absolute path", address)
			}
			return s, nil
		}
	}
	if _, _, err := net.SplitHostPort(text); err != nil {
		return addresses.Spec{}, fmt.Errorf(
			"%q is not an address such as 127.0.0.1:8100, tcp6:[::1]:8100 or unix:/run/d0.sock", text)
	}
	return addresses.Spec{Network: "tcp", Addr: text}, nil
}

// Listen listens for clients on an address. It replaces a stale socket file, on which no process listens. It returns an
// error, and leaves the file as it is, if a process listens on the socket or if the file is not a socket.
func Listen(spec addresses.Spec) (net.Listener, error) {
	if spec.Network != addresses.Unix {
		return net.Listen(spec.Network, spec.Addr)
	}
	l, err := net.Listen("unix", spec.Addr)
	if err == nil || !errors.Is(err, syscall.EADDRINUSE) {
		return l, err
	}
	info, statErr := os.Lstat(spec.Addr)
	if statErr != nil {
		return nil, err
	}
	if info.Mode()&os.ModeSocket == 0 {
		return nil, fmt.Errorf("%s exists and is not a socket", spec.Addr)
	}
	if conn, dialErr := net.DialTimeout("unix", spec.Addr, time.Second); dialErr == nil {
		conn.Close()
		return nil, fmt.Errorf("%s: another process listens on this socket", spec.Addr)
	} else if !errors.Is(dialErr, syscall.ECONNREFUSED) {
		return nil, fmt.Errorf("%s may be in use: %w", spec.Addr, dialErr)
	}
	if err := os.Remove(spec.Addr); err != nil {
		return nil, err
	}
	return net.Listen("unix", spec.Addr)
}
