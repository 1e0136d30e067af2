package retrythrottle

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

// One block of addresses that opens far more connections than the rate allows must not use up the share of others.
func TestABusyBlockLeavesOthersTheirShare(t *testing.T) {
	limiter := &ConnLimiter{ConnsPerSecond: 100, Burst: 50, MaxOpen: 1 << 20}
	busy, quiet := netip.MustParseAddr("10.1.2.3"), netip.MustParseAddr("10.9.9.9")
	var busyAccepted, quietAccepted, quietTries int
	for i := range 20000 { // 2,000 a second from one block, 20 a second from another, for ten seconds
		now := time.Duration(i) * 500 * time.Microsecond
		if ok, _ := limiter.Admit(now, busy); ok {
			busyAccepted++
		}
		if i%100 == 0 {
			quietTries++
			if ok, after := limiter.Admit(now, quiet); ok {
				quietAccepted++
			} else if after < minRefusalWait {
				t.Errorf("a refused connection is to wait only %v", after)
			}
		}
	}
	if busyAccepted+quietAccepted > 1060 || busyAccepted < 700 {
		t.Errorf("accepted %d and %d connections in ten seconds at 100 a second", busyAccepted, quietAccepted)
	}
	if quietAccepted < quietTries*8/10 {
		t.Errorf("accepted %d of %d connections of the quiet block", quietAccepted, quietTries)
	}
}

func TestOpenConnectionsAndBlocksAreBounded(t *testing.T) {
	limiter := &ConnLimiter{ConnsPerSecond: 1e6, Burst: 1e6, MaxOpen: 10}
	accepted := 0
	for i := range 40 {
		if ok, _ := limiter.Admit(time.Second, netip.MustParseAddr(fmt.Sprintf("10.0.%d.1", i))); ok {
			accepted++
		}
	}
	limiter.Closed(netip.MustParseAddr("10.0.1.9"))
	if ok, _ := limiter.Admit(time.Second, netip.Addr{}); accepted != 10 || !ok {
		t.Errorf("%d connections open at once, want 10; after one closed, another is accepted: %v", accepted, ok)
	}
	for i := range 20000 {
		limiter.Admit(time.Duration(i)*time.Millisecond, netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), 1}))
	}
	if len(limiter.blocks) > maxBlocks+1 {
		t.Errorf("%d blocks are remembered", len(limiter.blocks))
	}
}

func BenchmarkRefuse(b *testing.B) {
	limiter := &ConnLimiter{ConnsPerSecond: 1, Burst: 1, MaxOpen: 1}
	for i := 0; b.Loop(); i++ {
		limiter.Admit(time.Duration(i)*time.Microsecond, netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), 1}))
	}
}
