package system

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"
)

// flaky is a listener whose Accept fails a number of times before it is closed.
type flaky struct {
	net.Listener
	failures int // still to come
}

func (f *flaky) Accept() (net.Conn, error) {
	if f.failures--; f.failures >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EPROTO}
	}
	return nil, net.ErrClosed
}

func TestRetryingListenerFailsOnlyWhenClosed(t *testing.T) {
	failures := 0
	listener := RetryingListener{Listener: &flaky{failures: 3}, OnError: func(error) { failures++ }}
	if _, err := listener.Accept(); !errors.Is(err, net.ErrClosed) || failures != 3 {
		t.Errorf("%v after %d failures", err, failures)
	}
}

func TestOpenWithRetryWaitsForAddressInUse(t *testing.T) {
	first, err := Real().Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := first.Addr().String()
	time.AfterFunc(50*time.Millisecond, func() { first.Close() })
	second, err := OpenWithRetry(func() (Listener, error) { return Real().Listen(address) })
	if err != nil {
		t.Fatal(err)
	}
	second.Close()
	start := time.Now()
	if _, err := OpenWithRetry(func() (Listener, error) {
		return Real().Listen("nowhere")
	}); err == nil || time.Since(start) > time.Second {
		t.Errorf("an invalid address: %v after %v", err, time.Since(start))
	}
}
