package platform

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"sloetrestle/internal/system"
)

// failingListener fails to accept a number of times, as accept(2) documents, before the next connection.
type failingListener struct {
	system.Listener
	errno       syscall.Errno
	failures    atomic.Int64  // failures still to come
	acceptDelay time.Duration // delay before a call accepts, as on a busy machine
}

func (l *failingListener) Accept() (system.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", l.errno)}
	}
	time.Sleep(l.acceptDelay)
	return l.Listener.Accept()
}

// newFailingListener returns a listener that fails a number of times, and a function that connects to it.
func newFailingListener(t *testing.T, errno syscall.Errno, times int64) (flaky *failingListener, dial func()) {
	t.Helper()
	listener, err := system.Real().Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	flaky = &failingListener{Listener: listener, errno: errno}
	flaky.failures.Store(times)
	return flaky, func() {
		c, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
	}
}

// startWithFailingListener starts a dispatcher whose listener can fail to accept.
func startWithFailingListener(t *testing.T, errno syscall.Errno) (*testCluster, *failingListener) {
	t.Helper()
	flaky := &failingListener{errno: errno}
	env := startCluster(t, func(env *testCluster, _ *Config) {
		env.system.Listen = func(address string) (system.Listener, error) {
			l, err := system.Real().Listen(address)
			flaky.Listener = l
			return flaky, err
		}
	})
	return env, flaky
}

// transientErrors are the transient errors of accept(2): descriptors or memory run short, a firewall refuses the
// connection, or a network error was pending on it.
var transientErrors = []syscall.Errno{
	syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM,
	syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP,
	syscall.ENETUNREACH, syscall.ETIMEDOUT,
}

// After a transient accept error the next connection is still accepted.
func TestAcceptRetriesTransientErrors(t *testing.T) {
	for _, errno := range transientErrors {
		flaky, dial := newFailingListener(t, errno, 3)
		limited := newLimiter(flaky, 100, ampleMemory(), discardLog)
		dial()
		if _, err := limited.Accept(); err != nil {
			t.Errorf("%v: %v", errno, err)
		}
		limited.Close()
		limited.closeSilent()
	}
}

// A dispatcher goes on serving after transient accept errors.
func TestDispatcherServesAfterTransientAcceptErrors(t *testing.T) {
	env, flaky := startWithFailingListener(t, syscall.ENOBUFS)
	flaky.failures.Store(3)
	env.dial()
	if got := env.send(env.request("hut-booking")); got.status != 200 {
		t.Errorf("response after the accept errors: %+v", got)
	}
}

// At shutdown, neither an accept error nor a stalled dispatcher leaves completed connections to be reset when the
// listener closes.
func TestFinalAcceptLosesNoCompletedConnection(t *testing.T) {
	for _, errno := range transientErrors {
		checkFinalAccept(t, errno.Error(), errno, 2, 0)
	}
	checkFinalAccept(t, "stalled", 0, 0, 10*finalAcceptWait)
}

// checkFinalAccept completes a connection and then stops accepting, with a listener that fails a number of times and a
// dispatcher that stalls for a time.
func checkFinalAccept(t *testing.T, name string, errno syscall.Errno, failures int64, stall time.Duration) {
	t.Helper()
	flaky, dial := newFailingListener(t, errno, failures)
	limited := newLimiter(flaky, 100, ampleMemory(), discardLog)
	dial()
	limited.acceptBacklogOnly()
	time.Sleep(stall)
	if _, err := limited.Accept(); err != nil {
		t.Errorf("%s: the completed connection is lost: %v", name, err)
		return
	}
	if _, err := limited.Accept(); err != http.ErrServerClosed {
		t.Errorf("%s: after the last completed connection: %v, want http.ErrServerClosed", name, err)
	}
	limited.closeSilent()
}

// The time that a connection waits while accept fails counts against its request's deadline: the timeout stated to the
// backend is at most what the client has left.
func TestAcceptDelayCountsAgainstDeadline(t *testing.T) {
	env, flaky := startWithFailingListener(t, syscall.ENFILE)
	flaky.failures.Store(10) // about 0.7 s with the waits between retries
	env.dial()               // ends the pending call of accept
	var waiting []*testClient
	start := time.Now()
	for range 3 {
		conn := env.dial()
		io.WriteString(conn, env.request("hut-booking"))
		waiting = append(waiting, conn)
	}
	for _, conn := range waiting {
		if got := conn.readResponse(); got.status != 200 {
			t.Fatalf("%+v", got)
		}
	}
	waited := time.Since(start)
	for _, exchange := range env.site.Requests("", "POST") {
		if left, _ := strconv.Atoi(exchange.Header.Get("X-Timeout-Ms")); time.Duration(left)*time.Millisecond >
			3*time.Second-waited+300*time.Millisecond {
			t.Errorf("%s gets a timeout of %d ms for %s, which waited for about %v", exchange.Backend.UID, left, exchange.ID,
				waited)
		}
	}
	if waited < 400*time.Millisecond {
		t.Errorf("the connections waited for only %v, too short to show anything", waited)
	}
}

// A busy process reads a request some time after it has accepted its connection. The time that the connection had
// waited before, while accept failed or for free capacity, must not be lost by that.
func TestRequestAgeIncludesAcceptDelayWhenReadLate(t *testing.T) {
	const clients, readDelay, tolerance = 4, 40 * time.Millisecond, 60 * time.Millisecond
	for name, test := range map[string]struct {
		maxConns    int
		errors      int64
		acceptDelay time.Duration
	}{
		"accept fails":        {100, 8, 0},
		"no free capacity":    {2, 0, 0},
		"the machine is busy": {100, 8, 30 * time.Millisecond},
	} {
		listener, _ := newFailingListener(t, syscall.ENOBUFS, test.errors)
		listener.acceptDelay = test.acceptDelay
		limited := newLimiter(listener, test.maxConns, ampleMemory(), slog.New(slog.DiscardHandler))
		var sent []time.Time
		for range clients {
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			io.WriteString(conn, "GET /ready HTTP/1.1\r\n\r\n")
			sent = append(sent, time.Now())
		}
		for i := range clients {
			accepted, err := limited.Accept()
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(readDelay)
			accepted.Read(make([]byte, 1000))
			if arrival := accepted.(*clientConn).requestArrival(time.Now()); arrival.Sub(sent[i]) > tolerance {
				t.Errorf("%s: request %d is recorded as arriving %v after it was sent", name, i, arrival.Sub(sent[i]))
			}
			time.AfterFunc(2*readDelay, func() { accepted.Close() })
		}
		listener.Close()
	}
}

// A client that stops in the middle of a request, or sends nothing, must be answered or disconnected within 3 s of
// connecting, also if accept failed for part of that time.
func TestIncompleteRequestTimesOutDespiteAcceptErrors(t *testing.T) {
	const limit, failed = 3 * time.Second, 600 * time.Millisecond
	env, flaky := startWithFailingListener(t, syscall.ENOBUFS)
	for name, raw := range map[string]string{
		"half a request": "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Le",
		"half a body":    strings.TrimSuffix(env.request("hut-booking"), "}"),
		"nothing":        "",
	} {
		t.Run(name, func(t *testing.T) {
			flaky.failures.Store(1e6)
			time.AfterFunc(failed, func() { flaky.failures.Store(0) })
			env.dial() // accepted by the call that is already pending
			time.Sleep(20 * time.Millisecond)
			start := time.Now()
			conn, err := net.Dial("tcp", env.address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			io.WriteString(conn, raw)
			conn.SetReadDeadline(time.Now().Add(2 * limit))
			io.Copy(io.Discard, conn)
			if took := time.Since(start); took > limit || took < time.Second {
				t.Errorf("the connection ended after %v", took)
			}
		})
	}
}
