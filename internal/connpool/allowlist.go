package connpool

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
	list := &AllowList{all: len(ranges) == 0}
	var set netipx.IPSetBuilder
	for _, r := range ranges {
		if dir, ok := strings.CutPrefix(r, "unix:"); ok {
			if !strings.HasPrefix(dir, "/") || !strings.HasSuffix(dir, "/") {
				return nil, fmt.Errorf("%q is not a directory such as unix:/run/backends/", r)
			}
			list.socketDirs = append(list.socketDirs, dir)
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
	list.set, err = set.IPSet()
	return list, err
}

// Contains tells whether a backend may have an address.
func (a *AllowList) Contains(spec addresses.Spec) bool {
	if a.all {
		return true
	}
	if spec.Network == addresses.Unix {
		for _, dir := range a.socketDirs {
			if strings.HasPrefix(spec.Addr, dir) && !strings.Contains(spec.Addr, "/../") {
				return true
			}
		}
		return false
	}
	addrPort, err := netip.ParseAddrPort(spec.Addr)
	return err == nil && a.set.Contains(addrPort.Addr().Unmap())
}
