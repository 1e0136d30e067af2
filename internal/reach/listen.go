package reach

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

// ParseListen reads where to listen: host:port, or a network before it, as in tcp6:[::1]:8100 or unix:/run/d0.sock.
func ParseListen(text string) (addresses.Spec, error) {
	for _, network := range []string{addresses.Unix, addresses.TCP4, addresses.TCP6} {
		if at, ok := strings.CutPrefix(text, network+":"); ok {
			s := addresses.Spec{Network: network, Addr: at}
			if network == addresses.Unix && !strings.HasPrefix(at, "/") {
				return s, fmt.Errorf("%q is no absolute path", at)
			}
			return s, nil
		}
	}
	if _, _, err := net.SplitHostPort(text); err != nil {
		return addresses.Spec{}, fmt.Errorf("%q is no address such as 127.0.0.1:8100, tcp6:[::1]:8100 or unix:/run/d0.sock", text)
	}
	return addresses.Spec{Network: "tcp", Addr: text}, nil
}

// Listen opens an address for clients. A socket file that nobody listens at any more is replaced; one at which
// somebody does, or a file that is no socket, is left alone.
func Listen(s addresses.Spec) (net.Listener, error) {
	if s.Network != addresses.Unix {
		return net.Listen(s.Network, s.Addr)
	}
	l, err := net.Listen("unix", s.Addr)
	if err == nil || !errors.Is(err, syscall.EADDRINUSE) {
		return l, err
	}
	info, stat := os.Lstat(s.Addr)
	if stat != nil {
		return nil, err
	}
	if info.Mode()&os.ModeSocket == 0 {
		return nil, fmt.Errorf("%s is no socket, and is left alone", s.Addr)
	}
	if c, dial := net.DialTimeout("unix", s.Addr, time.Second); dial == nil {
		c.Close()
		return nil, fmt.Errorf("%s: somebody listens there", s.Addr)
	} else if !errors.Is(dial, syscall.ECONNREFUSED) {
		return nil, fmt.Errorf("%s may be in use: %w", s.Addr, dial)
	}
	if err := os.Remove(s.Addr); err != nil {
		return nil, err
	}
	return net.Listen("unix", s.Addr)
}
