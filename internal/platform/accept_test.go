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
	errno syscall.Errno
	left  atomic.Int64
	busy  time.Duration // for which a call does not get the processor
}

func (l *failingListener) Accept() (system.Conn, error) {
	if l.left.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", l.errno)}
	}
	time.Sleep(l.busy)
	return l.Listener.Accept()
}

// failing is a listener that fails so often, and how to connect to it.
func failing(t *testing.T, errno syscall.Errno, times int64) (l *failingListener, dial func()) {
	t.Helper()
	sound, err := system.Real().Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l = &failingListener{Listener: sound, errno: errno}
	l.left.Store(times)
	return l, func() {
		c, err := net.Dial("tcp", sound.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
	}
}

// enterFailing starts a dispatcher whose accept can fail.
func enterFailing(t *testing.T, errno syscall.Errno) (*house, *failingListener) {
	t.Helper()
	flaky := &failingListener{errno: errno}
	h := enter(t, func(h *house, _ *Place) {
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
var momentaryErrors = []syscall.Errno{
	syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN,
	syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ETIMEDOUT,
}

// An error of accept that passes ends nothing: the next connection is accepted.
func TestAMomentaryErrorOfAcceptEndsNothing(t *testing.T) {
	for _, errno := range momentaryErrors {
		flaky, dial := failing(t, errno, 3)
		l := newLimiter(flaky, 100, quiet)
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
	h, flaky := enterFailing(t, syscall.ENOBUFS)
	flaky.left.Store(3)
	h.client()
	if got := h.says(h.ask("hut-booking")); got.status != 200 {
		t.Errorf("after the error: %+v", got)
	}
}

// At a stop, neither an error of accept nor a dispatcher that is held up leaves completed connections to be reset with the listener.
func TestTheLastAcceptLosesNoConnection(t *testing.T) {
	for _, errno := range momentaryErrors {
		checkLastAccept(t, errno.Error(), errno, 2, 0)
	}
	checkLastAccept(t, "held up", 0, 0, 10*drainTime)
}

// checkLastAccept has a connection completed and accepting end, with a listener that fails so often and a dispatcher held up for so long.
func checkLastAccept(t *testing.T, name string, errno syscall.Errno, failures int64, heldUp time.Duration) {
	t.Helper()
	flaky, dial := failing(t, errno, failures)
	l := newLimiter(flaky, 100, quiet)
	dial()
	l.acceptLast()
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
	h, flaky := enterFailing(t, syscall.ENFILE)
	flaky.left.Store(10) // some 0.7 s with the waits between
	h.client()           // ends the accept that waits
	var waiting []*client
	began := time.Now()
	for range 3 {
		c := h.client()
		io.WriteString(c, h.ask("hut-booking"))
		waiting = append(waiting, c)
	}
	for _, c := range waiting {
		if got := c.said(); got.status != 200 {
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
		listener, _ := failing(t, syscall.ENOBUFS, c.errors)
		listener.busy = c.busy
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
			if came := accepted.(*clientConn).requestCame(time.Now()); came.Sub(sent[i]) > observed {
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
	h, flaky := enterFailing(t, syscall.ENOBUFS)
	for name, raw := range map[string]string{"half a request": "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Le", "half a body": strings.TrimSuffix(h.ask("hut-booking"), "}"), "nothing": ""} {
		t.Run(name, func(t *testing.T) {
			flaky.left.Store(1e6)
			time.AfterFunc(failed, func() { flaky.left.Store(0) })
			h.client() // the call of accept that waits already takes it
			time.Sleep(20 * time.Millisecond)
			began := time.Now()
			c, err := net.Dial("tcp", h.at)
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
