package retrythrottle

import (
	"testing"
	"time"
)

// A connection that waits as it is told sends a burst and then the stated rate, however little time its requests take; one
// that is slower never waits, and has its burst again after a rest.
func TestRequestPacerHoldsTheRate(t *testing.T) {
	const requestTime, length = 10 * time.Microsecond, 4 * time.Second
	var pacer RequestPacer
	requests := 0
	for now := time.Duration(0); now < length; requests++ {
		now += requestTime
		now += pacer.Done(now)
	}
	if want := requestConnBurst + requestsPerConn*length.Seconds(); float64(requests) > want+1 || float64(requests) < want-1 {
		t.Errorf("%d requests in %v, want %.0f", requests, length, want)
	}
	now := length + time.Second
	for i := range int(requestConnBurst) {
		if wait := pacer.Done(now); wait != 0 {
			t.Fatalf("request %d after a rest waits for %v", i, wait)
		}
	}
	for i := range 1000 {
		now += time.Second / (requestsPerConn - 1)
		if wait := pacer.Done(now); wait > 2*time.Millisecond {
			t.Fatalf("request %d below the rate waits for %v", i, wait)
		}
	}
}
