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

// failingListener fails to accept so many times, as accept(2) documents, before the next connection.
type failingListener struct {
	system.Listener
	errno       syscall.Errno
	failures    atomic.Int64
	acceptDelay time.Duration // for which a call does not get the processor
}

func (l *failingListener) Accept() (system.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", l.errno)}
	}
	time.Sleep(l.acceptDelay)
	return l.Listener.Accept()
}

// failing is a listener that fails so often, and how to connect to it.
func newFailingListener(t *testing.T, errno syscall.Errno, times int64) (l *failingListener, dial func()) {
	t.Helper()
	sound, err := system.Real().Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l = &failingListener{Listener: sound, errno: errno}
	l.failures.Store(times)
	return l, func() {
		c, err := net.Dial("tcp", sound.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
	}
}

// enterFailing starts a dispatcher whose accept can fail.
func startWithFailingListener(t *testing.T, errno syscall.Errno) (*testCluster, *failingListener) {
	t.Helper()
	flaky := &failingListener{errno: errno}
	h := startCluster(t, func(h *testCluster, _ *Config) {
		h.system.Listen = func(address string) (system.Listener, error) {
			l, err := system.Real().Listen(address)
			flaky.Listener = l
			return flaky, err
		}
	})
	return h, flaky
}

// momentaryErrors are what accept(2) may fail with for a moment: descriptors or memory run short, a firewall says no, or an error of
// the network that was pending on the new connection.
var transientErrors = []syscall.Errno{
	syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN,
	syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ETIMEDOUT,
}

// An error of accept that passes ends nothing: the next connection is accepted.
func TestAMomentaryErrorOfAcceptEndsNothing(t *testing.T) {
	for _, errno := range transientErrors {
		flaky, dial := newFailingListener(t, errno, 3)
		l := newLimiter(flaky, 100, discardLog)
		dial()
		if _, err := l.Accept(); err != nil {
			t.Errorf("%v: %v", errno, err)
		}
		l.Close()
		l.closeSilent()
	}
}

// The same of the whole dispatcher, which is serving then.
func TestADispatcherOutlivesAMomentWithoutMemory(t *testing.T) {
	h, flaky := startWithFailingListener(t, syscall.ENOBUFS)
	flaky.failures.Store(3)
	h.dial()
	if got := h.send(h.request("hut-booking")); got.status != 200 {
		t.Errorf("after the error: %+v", got)
	}
}

// At a stop, neither an error of accept nor a dispatcher that is held up leaves completed connections to be reset with the listener.
func TestTheLastAcceptLosesNoConnection(t *testing.T) {
	for _, errno := range transientErrors {
		checkFinalAccept(t, errno.Error(), errno, 2, 0)
	}
	checkFinalAccept(t, "held up", 0, 0, 10*finalAcceptWait)
}

// checkLastAccept has a connection completed and accepting end, with a listener that fails so often and a dispatcher held up for so long.
func checkFinalAccept(t *testing.T, name string, errno syscall.Errno, failures int64, heldUp time.Duration) {
	t.Helper()
	flaky, dial := newFailingListener(t, errno, failures)
	l := newLimiter(flaky, 100, discardLog)
	dial()
	l.acceptBacklogOnly()
	time.Sleep(heldUp)
	if _, err := l.Accept(); err != nil {
		t.Errorf("%s: the completed connection is lost: %v", name, err)
		return
	}
	if _, err := l.Accept(); err != http.ErrServerClosed {
		t.Errorf("%s: then %v", name, err)
	}
	l.closeSilent()
}

// A request whose connection waited while accept failed is as old as that: what its backend is told is at most what its client has left.
func TestARequestThatWaitedForAcceptHasLessTime(t *testing.T) {
	h, flaky := startWithFailingListener(t, syscall.ENFILE)
	flaky.failures.Store(10) // some 0.7 s with the waits between
	h.dial()                 // ends the accept that waits
	var waiting []*testClient
	began := time.Now()
	for range 3 {
		c := h.dial()
		io.WriteString(c, h.request("hut-booking"))
		waiting = append(waiting, c)
	}
	for _, c := range waiting {
		if got := c.readResponse(); got.status != 200 {
			t.Fatalf("%+v", got)
		}
	}
	waited := time.Since(began)
	for _, e := range h.site.Requests("", "POST") {
		if left, _ := strconv.Atoi(e.Header.Get("X-Timeout-Ms")); time.Duration(left)*time.Millisecond > 3*time.Second-waited+300*time.Millisecond {
			t.Errorf("%s is told %d ms for %s, which waited for some %v", e.Backend.UID, left, e.ID, waited)
		}
	}
	if waited < 400*time.Millisecond {
		t.Errorf("they waited for %v: this shows nothing", waited)
	}
}

// A busy process reads a request some time after it has accepted its connection. How long it had waited before is not forgotten by that,
// neither behind errors of accept nor behind others that had no room.
func TestARequestThatWaitedIsAsOldAsItIsHoweverLateItIsRead(t *testing.T) {
	const clients, busy, observed = 4, 40 * time.Millisecond, 60 * time.Millisecond
	for name, c := range map[string]struct {
		most   int
		errors int64
		busy   time.Duration
	}{
		"accept fails":        {100, 8, 0},
		"there's no room":     {2, 0, 0},
		"the machine is busy": {100, 8, 30 * time.Millisecond},
	} {
		listener, _ := newFailingListener(t, syscall.ENOBUFS, c.errors)
		listener.acceptDelay = c.busy
		l := newLimiter(listener, c.most, slog.New(slog.DiscardHandler))
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
			accepted, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(busy)
			accepted.Read(make([]byte, 1000))
			if came := accepted.(*clientConn).requestArrival(time.Now()); came.Sub(sent[i]) > observed {
				t.Errorf("%s: request %d is taken to have come %v after it was sent", name, i, came.Sub(sent[i]))
			}
			time.AfterFunc(2*busy, func() { accepted.Close() })
		}
		listener.Close()
	}
}

// A client that stops in the middle of a request, or says nothing, is owed its end within 3 s of connecting, also where accept failed for
// a part of them.
func TestAClientThatWaitedForAcceptHasItsEndInTime(t *testing.T) {
	const owed, failed = 3 * time.Second, 600 * time.Millisecond
	h, flaky := startWithFailingListener(t, syscall.ENOBUFS)
	for name, raw := range map[string]string{"half a request": "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Le", "half a body": strings.TrimSuffix(h.request("hut-booking"), "}"), "nothing": ""} {
		t.Run(name, func(t *testing.T) {
			flaky.failures.Store(1e6)
			time.AfterFunc(failed, func() { flaky.failures.Store(0) })
			h.dial() // the call of accept that waits already takes it
			time.Sleep(20 * time.Millisecond)
			began := time.Now()
			c, err := net.Dial("tcp", h.address)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			io.WriteString(c, raw)
			c.SetReadDeadline(time.Now().Add(2 * owed))
			io.Copy(io.Discard, c)
			if took := time.Since(began); took > owed || took < time.Second {
				t.Errorf("its end came after %v", took)
			}
		})
	}
}
