package platform

import (
	"testing"
	"time"
)

// What is read right after a stall may have arrived since the stall began. Before a stall, and some time after it, what
// is read has just arrived.
func TestStallDetector(t *testing.T) {
	const ms = time.Millisecond
	after := func(span time.Duration) time.Time { return time.Unix(1000, 0).Add(span) }
	detector := newStallDetector(after(0))
	for now := stallCheckInterval; now <= 500*ms; now += stallCheckInterval {
		detector.tick(after(now))
	}
	if got := detector.earliestArrival(after(530 * ms)); got != after(530*ms) {
		t.Errorf("without a stall: %v", got)
	}
	if detector.stalledSince(after(0), after(540*ms)) {
		t.Error("a stall is reported where there was none")
	}
	if got := detector.earliestArrival(after(1540 * ms)); got != after(540*ms) { // one second without a tick
		t.Errorf("right after a stall: %v", got)
	}
	if !detector.stalledSince(after(500*ms), after(1541*ms)) || detector.stalledSince(after(1541*ms), after(1542*ms)) {
		t.Error("a stall is not reported, or is reported for a time after it")
	}
	if got := detector.earliestArrival(after(1540*ms + stallSettleTime)); got != after(1540*ms+stallSettleTime) {
		t.Errorf("some time after a stall: %v", got)
	}
}
