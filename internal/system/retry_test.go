package system

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"
)

// flaky is a listener whose Accept fails so often before it is closed.
type flaky struct {
	net.Listener
	left int
}

func (f *flaky) Accept() (net.Conn, error) {
	if f.left--; f.left >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EPROTO}
	}
	return nil, net.ErrClosed
}

func TestAPersistentListenerFailsOnlyOnceItIsClosed(t *testing.T) {
	failures := 0
	p := RetryingListener{Listener: &flaky{left: 3}, OnError: func(error) { failures++ }}
	if _, err := p.Accept(); !errors.Is(err, net.ErrClosed) || failures != 3 {
		t.Errorf("%v after %d failures", err, failures)
	}
}

func TestOpenWaitsForAnAddressThatIsInUse(t *testing.T) {
	first, err := Real().Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	at := first.Addr().String()
	time.AfterFunc(50*time.Millisecond, func() { first.Close() })
	second, err := OpenWithRetry(func() (Listener, error) { return Real().Listen(at) })
	if err != nil {
		t.Fatal(err)
	}
	second.Close()
	began := time.Now()
	if _, err := OpenWithRetry(func() (Listener, error) { return Real().Listen("nowhere") }); err == nil || time.Since(began) > time.Second {
		t.Errorf("an address that makes no sense: %v after %v", err, time.Since(began))
	}
}
