package retrythrottle

import "time"

const (
	requestsPerConn  = 500.0 // a second, that one connection may send in the long run
	requestConnBurst = 50.0  // requests that it may send at once
)

// RequestPacer bounds how fast the requests of one connection are taken. A client that sends small requests at full speed
// over one connection would otherwise keep the processor, and the answers of the others would wait for it. The zero value
// has a whole burst.
type RequestPacer struct {
	used      float64 // of the burst
	updatedAt time.Duration
}

// Done counts a request that ended now, and returns how long to wait before the connection's next one is read.
func (p *RequestPacer) Done(now time.Duration) time.Duration {
	p.used = max(p.used-requestsPerConn*(now-p.updatedAt).Seconds(), 0) + 1
	p.updatedAt = now
	if excess := p.used - requestConnBurst; excess > 0 {
		return time.Duration(excess / requestsPerConn * float64(time.Second))
	}
	return 0
}
