package system

import (
	"context"
	"errors"
	"net"
	"time"
)

// Bounds of the wait between two calls that failed for a moment.
const (
	minBackoff = time.Millisecond
	maxBackoff = 100 * time.Millisecond
)

// Retry spaces the repeats of a call that failed for a moment: each wait is twice as long as the one before, up to a bound.
type Backoff struct{ wait time.Duration }

// Wait sleeps before the next call.
func (r *Backoff) Wait() {
	r.wait = min(max(2*r.wait, minBackoff), maxBackoff)
	time.Sleep(r.wait)
}

// Reset takes note that a call went well.
func (r *Backoff) Reset() { r.wait = 0 }

// Persistent is a listener whose Accept fails only once it is closed. accept(2) fails for a moment when descriptors, buffers or memory
// run short, and with whatever error of the network is pending on a new connection; none of that is a reason to stop serving, as a
// server does that is handed the error.
type RetryingListener struct {
	net.Listener
	OnError func(err error) // told of each error that is passed over; may be nil
}

// Accept returns the next connection.
func (p RetryingListener) Accept() (net.Conn, error) {
	var retry Backoff
	for {
		c, err := p.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		if p.OnError != nil {
			p.OnError(err)
		}
		retry.Wait()
	}
}

// startTime bounds the repeats of Open. A process that ends for want of a socket has failed; one that waits may yet start.
const openTimeout = 25 * time.Second

// Open repeats a call that opens a socket until it goes well or startTime is over: a process that has just ended may still hold the
// address, and descriptors may run short for a moment.
func OpenWithRetry[T any](open func() (T, error)) (T, error) {
	var retry Backoff
	for began := time.Now(); ; {
		opened, err := open()
		var never *net.AddrError
		if err == nil || errors.As(err, &never) || time.Since(began) >= openTimeout {
			return opened, err
		}
		retry.Wait()
	}
}

// Sleep waits; false: the context ended before.
func Sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
