package reach

import (
	"fmt"
	"net/netip"
	"strings"

	"go4.org/netipx"

	"sloetrestle/internal/addresses"
)

// Allowed is where boxes may be.
type AllowList struct {
	set     *netipx.IPSet
	folders []string
	all     bool
}

// NewAllowed reads ranges of addresses (10.0.0.0/8, 10.0.0.1-10.0.0.9, one address), and folders of sockets (unix:/run/boxes/).
// None at all allow anything.
func NewAllowList(ranges []string) (*AllowList, error) {
	a := &AllowList{all: len(ranges) == 0}
	var set netipx.IPSetBuilder
	for _, r := range ranges {
		if folder, ok := strings.CutPrefix(r, "unix:"); ok {
			if !strings.HasPrefix(folder, "/") || !strings.HasSuffix(folder, "/") {
				return nil, fmt.Errorf("%q is no folder such as unix:/run/boxes/", r)
			}
			a.folders = append(a.folders, folder)
			continue
		}
		if p, err := netip.ParsePrefix(r); err == nil {
			set.AddPrefix(p.Masked())
		} else if ip, err := netip.ParseAddr(r); err == nil {
			set.Add(ip)
		} else if span, err := netipx.ParseIPRange(r); err == nil {
			set.AddRange(span)
		} else {
			return nil, fmt.Errorf("%q is no range of addresses", r)
		}
	}
	var err error
	a.set, err = set.IPSet()
	return a, err
}

// Has tells whether a box may be at an address.
func (a *AllowList) Contains(s addresses.Spec) bool {
	if a.all {
		return true
	}
	if s.Network == addresses.Unix {
		for _, f := range a.folders {
			if strings.HasPrefix(s.Addr, f) && !strings.Contains(s.Addr, "/../") {
				return true
			}
		}
		return false
	}
	at, err := netip.ParseAddrPort(s.Addr)
	return err == nil && a.set.Contains(at.Addr().Unmap())
}
