package platform

import (
	"testing"
	"time"
)

// What is read right after a stall may have arrived since the stall began. Before a stall, and some time after it, what
// is read has just arrived.
func TestStallDetector(t *testing.T) {
	const ms = time.Millisecond
	at := func(span time.Duration) time.Time { return time.Unix(1000, 0).Add(span) }
	detector := newStallDetector(at(0))
	for now := stallCheckInterval; now <= 500*ms; now += stallCheckInterval {
		detector.tick(at(now))
	}
	if got := detector.earliestArrival(at(530 * ms)); got != at(530*ms) {
		t.Errorf("without a stall: %v", got)
	}
	if detector.stalledSince(at(0), at(540*ms)) {
		t.Error("a stall is reported where there was none")
	}
	if got := detector.earliestArrival(at(1540 * ms)); got != at(540*ms) { // one second without a tick
		t.Errorf("right after a stall: %v", got)
	}
	if !detector.stalledSince(at(500*ms), at(1541*ms)) || detector.stalledSince(at(1541*ms), at(1542*ms)) {
		t.Error("a stall is not reported, or is reported for a time after it")
	}
	if got := detector.earliestArrival(at(1540*ms + stallSettleTime)); got != at(1540*ms+stallSettleTime) {
		t.Errorf("some time after a stall: %v", got)
	}
}
