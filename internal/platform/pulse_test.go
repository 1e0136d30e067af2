package platform

import (
	"testing"
	"time"
)

// What is read right after a stall may have come since it began; before and some time after it, what is read has come just now.
func TestAPulseNoticesAStall(t *testing.T) {
	const ms = time.Millisecond
	at := func(span time.Duration) time.Time { return time.Unix(1000, 0).Add(span) }
	p := newStallDetector(at(0))
	for now := stallCheckInterval; now <= 500*ms; now += stallCheckInterval {
		p.tick(at(now))
	}
	if got := p.earliestArrival(at(530 * ms)); got != at(530*ms) {
		t.Errorf("without a stall: %v", got)
	}
	if p.stalledSince(at(0), at(540*ms)) {
		t.Error("a stall is seen where none was")
	}
	if got := p.earliestArrival(at(1540 * ms)); got != at(540*ms) { // nobody looked for a second
		t.Errorf("right after a stall: %v", got)
	}
	if !p.stalledSince(at(500*ms), at(1541*ms)) || p.stalledSince(at(1541*ms), at(1542*ms)) {
		t.Error("a stall is not seen, or is seen by who began after it")
	}
	if got := p.earliestArrival(at(1540*ms + stallSettleTime)); got != at(1540*ms+stallSettleTime) {
		t.Errorf("some time after a stall: %v", got)
	}
}
