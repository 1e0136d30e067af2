package reach

import (
	"fmt"
	"net/netip"
	"strings"

	"go4.org/netipx"

	"sloetrestle/internal/addresses"
)

// AllowList is the set of addresses that backends may have.
type AllowList struct {
	set        *netipx.IPSet
	socketDirs []string
	all        bool
}

// NewAllowList parses IP ranges (10.0.0.0/8, 10.0.0.1-10.0.0.9, a single address) and directories of sockets
// (unix:/run/backends/). An empty list allows every address.
func NewAllowList(ranges []string) (*AllowList, error) {
	a := &AllowList{all: len(ranges) == 0}
	var set netipx.IPSetBuilder
	for _, r := range ranges {
		if dir, ok := strings.CutPrefix(r, "unix:"); ok {
			if !strings.HasPrefix(dir, "/") || !strings.HasSuffix(dir, "/") {
				return nil, fmt.Errorf("%q is not a directory such as unix:/run/backends/", r)
			}
			a.socketDirs = append(a.socketDirs, dir)
			continue
		}
		if prefix, err := netip.ParsePrefix(r); err == nil {
			set.AddPrefix(prefix.Masked())
		} else if ip, err := netip.ParseAddr(r); err == nil {
			set.Add(ip)
		} else if span, err := netipx.ParseIPRange(r); err == nil {
			set.AddRange(span)
		} else {
			return nil, fmt.Errorf("%q is not a range of IP addresses", r)
		}
	}
	var err error
	a.set, err = set.IPSet()
	return a, err
}

// Contains tells whether a backend may have an address.
func (a *AllowList) Contains(s addresses.Spec) bool {
	if a.all {
		return true
	}
	if s.Network == addresses.Unix {
		for _, dir := range a.socketDirs {
			if strings.HasPrefix(s.Addr, dir) && !strings.Contains(s.Addr, "/../") {
				return true
			}
		}
		return false
	}
	addrPort, err := netip.ParseAddrPort(s.Addr)
	return err == nil && a.set.Contains(addrPort.Addr().Unmap())
}
