package storm

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

func TestACrowdDoesNotShutOthersOut(t *testing.T) {
	d := &ConnLimiter{ConnsPerSecond: 100, Burst: 50, MaxOpen: 1 << 20}
	crowd, few := netip.MustParseAddr("10.1.2.3"), netip.MustParseAddr("10.9.9.9")
	var crowdIn, fewIn, fewAsked int
	for i := range 20000 { // 2,000 a second of one block, 20 a second of another, for ten seconds
		now := time.Duration(i) * 500 * time.Microsecond
		if ok, _ := d.Admit(now, crowd); ok {
			crowdIn++
		}
		if i%100 == 0 {
			fewAsked++
			if ok, after := d.Admit(now, few); ok {
				fewIn++
			} else if after < refused {
				t.Errorf("come back after %v", after)
			}
		}
	}
	if crowdIn+fewIn > 1060 || crowdIn < 700 {
		t.Errorf("%d and %d were taken in ten seconds of 100", crowdIn, fewIn)
	}
	if fewIn < fewAsked*8/10 {
		t.Errorf("%d of %d of the few were taken", fewIn, fewAsked)
	}
}

func TestTheDoorIsBounded(t *testing.T) {
	d := &ConnLimiter{ConnsPerSecond: 1e6, Burst: 1e6, MaxOpen: 10}
	taken := 0
	for i := range 40 {
		if ok, _ := d.Admit(time.Second, netip.MustParseAddr(fmt.Sprintf("10.0.%d.1", i))); ok {
			taken++
		}
	}
	d.Closed(netip.MustParseAddr("10.0.1.9"))
	if ok, _ := d.Admit(time.Second, netip.Addr{}); taken != 10 || !ok {
		t.Errorf("%d open at once of 10, then %v", taken, ok)
	}
	for i := range 20000 {
		d.Admit(time.Duration(i)*time.Millisecond, netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), 1}))
	}
	if len(d.blocks) > mostBlocks+1 {
		t.Errorf("%d blocks are remembered", len(d.blocks))
	}
}

func BenchmarkRefuse(b *testing.B) {
	d := &ConnLimiter{ConnsPerSecond: 1, Burst: 1, MaxOpen: 1}
	for i := 0; b.Loop(); i++ {
		d.Admit(time.Duration(i)*time.Microsecond, netip.AddrFrom4([4]byte{10, byte(i >> 8), byte(i), 1}))
	}
}
