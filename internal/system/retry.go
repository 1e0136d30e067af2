package system

import (
	"context"
	"errors"
	"net"
	"time"
)

// Bounds of the wait between two calls that failed with a transient error.
const (
	minBackoff = time.Millisecond
	maxBackoff = 100 * time.Millisecond
)

// Backoff spaces the retries of a call that fails with transient errors: each wait is twice as long as the one before,
// up to a bound. Its zero value is ready to use.
type Backoff struct{ wait time.Duration }

// Wait sleeps before the next call.
func (b *Backoff) Wait() {
	b.wait = min(max(2*b.wait, minBackoff), maxBackoff)
	time.Sleep(b.wait)
}

// Reset records that a call succeeded.
func (b *Backoff) Reset() { b.wait = 0 }

// RetryingListener is a listener whose Accept fails only once it is closed. accept(2) fails for a moment when
// descriptors, buffers or memory run short, and reports any network error that is pending on a new connection. None of
// that is a reason to stop serving, as a server does when Accept returns an error.
type RetryingListener struct {
	net.Listener
	OnError func(err error) // called with each error that is retried; may be nil
}

// Accept returns the next connection, or an error once the listener is closed.
func (l RetryingListener) Accept() (net.Conn, error) {
	var backoff Backoff
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		if l.OnError != nil {
			l.OnError(err)
		}
		backoff.Wait()
	}
}

// openTimeout bounds the retries of OpenWithRetry. A process that exits for want of a socket has failed; one that waits
// may still start.
const openTimeout = 25 * time.Second

// OpenWithRetry calls a function that opens a socket until it succeeds or openTimeout has passed: a process that has
// just ended may still hold the address, and descriptors may run short for a moment. An invalid address is not retried.
func OpenWithRetry[T any](open func() (T, error)) (T, error) {
	var backoff Backoff
	for start := time.Now(); ; {
		opened, err := open()
		var addressError *net.AddrError
		if err == nil || errors.As(err, &addressError) || time.Since(start) >= openTimeout {
			return opened, err
		}
		backoff.Wait()
	}
}

// Sleep waits, and returns false if the context ends first.
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
