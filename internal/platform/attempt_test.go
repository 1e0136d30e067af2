package platform

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"sloetrestle/brain"
	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/hosts"
	"sloetrestle/internal/kserve"
	"sloetrestle/internal/reach"
	"sloetrestle/internal/system"
)

// hostsDial opens a connection and closes it again.
func hostsDial(at string) (net.Conn, error) {
	c, err := net.Dial("tcp", at)
	if err == nil {
		c.Close()
	}
	return c, err
}

// standing is what the dispatcher takes a backend to be.
func (h *testCluster) backendState(name string) (s brain.BackendState) {
	h.node.loop.Call(context.Background(), func() {
		if known := h.node.loop.SchedulerBackend(name); known != nil {
			s = known.State
		}
	})
	return s
}

// submit hands the loop a request, and in the same turn of the loop what crosses its first attempt: the attempt has been decided on by
// then, and its first byte has not been written.
func (h *testCluster) submit(id string, class int, crossing func(a *dispatch.ClientRequest)) *dispatch.ClientRequest {
	h.t.Helper()
	a := &dispatch.ClientRequest{Params: kserve.Request{ID: id, PromptTokens: 400, MaxTokens: 50}, Payload: &outgoingRequest{id: id, body: []byte("{}"), head: func(wait time.Duration) []byte {
		return fmt.Appendf(nil, "POST /v1/chat/completions HTTP/1.1\r\nX-Request-ID: %s\r\nX-Timeout-Ms: %d\r\nContent-Length: 2\r\n\r\n", id, wait.Milliseconds())
	}}}
	h.node.loop.Call(context.Background(), func() {
		h.node.loop.Submit(a, class, 0, 3*time.Second)
		crossing(a)
	})
	return a
}

// A drain that is learned between the choice of a backend and the first byte keeps the attempt back; the request goes elsewhere.
func TestADrainBetweenChoiceAndSendIsKept(t *testing.T) {
	h := startCluster(t, nil)
	a := h.submit("q1", 0, func(*dispatch.ClientRequest) {
		h.node.loop.SchedulerBackend("r1").State = brain.Draining
	})
	h.await("it is over", func() bool { return len(a.Final()) == 1 })
	if n := len(h.site.Requests("r1", "POST")); n != 0 {
		t.Errorf("%d attempts to a backend that drains", n)
	}
	h.node.loop.Call(context.Background(), func() {
		if b := h.node.loop.Estimates(); b.InSlowStart != 0 || h.node.loop.Counters.Outcomes[brain.NotSent] != 1 {
			t.Errorf("an attempt that was not sent speaks against its backend: %+v, outcomes %v", b, h.node.loop.Counters.Outcomes)
		}
		h.node.loop.SchedulerBackend("r1").State = brain.Ready
	})
	h.awaitIdle()
}

// A client that goes between the choice and the first byte has nothing sent for it, also where attempts are not cancelled.
func TestAClientThatGoesBetweenChoiceAndSendHasNothingSent(t *testing.T) {
	for _, cancelling := range []bool{true, false} {
		t.Run(fmt.Sprintf("cancelling %t", cancelling), func(t *testing.T) {
			h := startCluster(t, func(h *testCluster, p *Config) {
				p.Settings["policyLimits"].(map[string]any)["cancelling"] = cancelling
			})
			h.submit("q1", 0, func(a *dispatch.ClientRequest) { h.node.loop.ClientDisconnected(a) })
			h.awaitIdle()
			if n := len(h.site.Requests("", "POST")); n != 0 {
				t.Errorf("%d attempts for a client that has gone", n)
			}
		})
	}
}

// The time that an attempt tells its backend is what is left when it is sent, not when it was decided on.
func TestAnAttemptTellsWhatIsLeftWhenItIsSent(t *testing.T) {
	h := startCluster(t, nil)
	const stuck = 300 * time.Millisecond
	h.submit("q1", 1, func(*dispatch.ClientRequest) { time.Sleep(stuck) }) // the loop is busy
	h.await("it is out", func() bool { return len(h.site.Requests("r1", "POST")) == 1 })
	told, err := time.ParseDuration(h.site.Requests("r1", "POST")[0].Header.Get("X-Timeout-Ms") + "ms")
	if err != nil || told > 3*time.Second-stuck {
		t.Errorf("told %v, %v", told, err)
	}
	h.await("all is over", func() bool { return h.site.InFlight() == 0 })
}

// A connection that breaks within the request proves that it never ran: also what must not be repeated is sent again.
func TestARequestThatIsCutOffInTheMiddleIsSentAgain(t *testing.T) {
	h := startCluster(t, nil)
	var tries atomic.Int64
	h.prefill.OnConnect(func(c net.Conn) bool {
		if tries.Add(1) > 1 {
			return true
		}
		c.(*net.TCPConn).SetReadBuffer(1 << 10)
		io.ReadFull(c, make([]byte, 100))
		c.(*net.TCPConn).SetLinger(0)
		return false
	})
	big := make([]byte, 250_000)
	for i := range big {
		big[i] = 'x'
	}
	got := h.send(h.request("hut-booking", "Content-Length: 12", "Content-Length: 250000", `{"model":""}`, string(big)))
	if got.status != 200 || !got.complete {
		t.Errorf("%+v", got)
	}
	h.awaitIdle()
}

// A request that is called off while it is being written is not called harmless to repeat; one of which nothing went out is.
func TestARequestCutOffByItsDeadlineIsNotCalledHarmless(t *testing.T) {
	for sent, want := range map[int]brain.Outcome{0: brain.Unreachable, 10: brain.TimedOut} {
		ours, far := net.Pipe()
		ctx, off := context.WithCancelCause(context.Background())
		go func() {
			io.ReadFull(far, make([]byte, sent))
			off(dispatch.ErrAttemptTimeout)
		}()
		_, err := write(ctx, &reach.Conn{Conn: ours}, []byte("POST / HTTP/1.1\r\n\r\n"), []byte("{}"))
		if err == nil {
			t.Fatal("a request that was cut off counts as sent")
		}
		if got := notSentResult(ctx, err); got.Outcome != want {
			t.Errorf("with %d bytes out: %v", sent, got.Outcome)
		}
		far.Close()
	}
}

// Answers in front of the answer are read up to a bound, and an answer that comes before the request's last byte counts.
func TestAnswersThatComeTooEarlyOrWithoutEnd(t *testing.T) {
	t.Run("1xx without end", func(t *testing.T) {
		h := startCluster(t, nil)
		h.first(func(e *hosts.Exchange) bool {
			for e.WriteRaw("HTTP/1.1 103 Early Hints\r\n\r\n") {
				select {
				case <-e.ClientClosed:
					return false
				case <-time.After(time.Millisecond):
				}
			}
			return false
		})
		if got := h.send(h.request("hut-booking")); got.status != 502 {
			t.Errorf("%+v", got)
		}
		h.awaitIdle()
	})
	t.Run("a refusal before the last byte", func(t *testing.T) {
		h := startCluster(t, nil)
		var tries atomic.Int64
		h.prefill.OnConnect(func(c net.Conn) bool {
			if tries.Add(1) > 1 {
				return true
			}
			io.ReadFull(c, make([]byte, 50))
			io.WriteString(c, hosts.Rejection(503, true))
			return false
		})
		if got := h.send(h.request("hut-booking")); got.status != 200 {
			t.Errorf("%+v", got)
		}
		h.awaitIdle()
	})
}

// A read that ends just as its client leaves has its state released, whether attempts are cancelled or not.
func TestAReadThatEndsAsItsClientLeavesIsReleased(t *testing.T) {
	for _, cancelling := range []bool{true, false} {
		t.Run(fmt.Sprintf("cancelling %t", cancelling), func(t *testing.T) {
			h := startCluster(t, func(h *testCluster, p *Config) {
				p.Settings["policyLimits"].(map[string]any)["cancelling"] = cancelling
			})
			c := h.dial()
			h.prefill.Handler = func(e *hosts.Exchange) bool {
				if e.Method != "POST" {
					return e.Serve()
				}
				e.HoldKVCache()
				c.Close()
				h.await("the client is seen to go", func() bool { return h.node.frontend.openRequests.Load() == 0 })
				e.WriteRaw("HTTP/1.1 202 Accepted\r\nContent-Length: 21\r\n\r\n{\"cached_tokens\":100}")
				return true
			}
			io.WriteString(c, h.request("trail-info"))
			h.await("it was read", func() bool { return len(h.site.Requests("r1", "POST")) == 1 })
			h.awaitIdle()
			if n := len(h.site.Requests("w1", "POST")) + len(h.site.Requests("w2", "POST")); n != 0 {
				t.Errorf("%d attempts after the client has gone", n)
			}
		})
	}
}

// Releases do not queue behind calls to backends that are cut off, however few descriptors there are.
func TestReleasesDoNotWaitForBackendsThatAreCutOff(t *testing.T) {
	h := startCluster(t, func(h *testCluster, p *Config) { p.Limits.Sockets = 64 })
	const requests = 8 // more than there are descriptors for calls at a time
	there := make(chan bool, requests)
	h.prefill.Handler = func(e *hosts.Exchange) bool {
		e.HoldKVCache()
		there <- true
		<-e.ClientClosed
		return false
	}
	var clients []*testClient
	for range requests {
		c := h.dial()
		io.WriteString(c, h.request("trail-info"))
		clients = append(clients, c)
	}
	for range requests {
		select {
		case <-there:
		case <-time.After(5 * time.Second):
			t.Fatal("not all are read")
		}
	}
	h.prefill.Blackhole()
	h.decoders[0].Blackhole()
	for _, c := range clients {
		c.Close()
	}
	h.await("all attempts are over", func() bool { return h.site.InFlight() == 0 })
	began := time.Now()
	h.await("all states are released", func() bool { return h.site.HeldCount() == 0 })
	if took := time.Since(began); took > h.site.HoldLimit {
		t.Errorf("the last state is released after %v", took)
	}
	h.awaitIdle()
}

// The id of a request that is open, or whose client has left, is refused without inviting a retry, also while the dispatcher stops: the
// request that it belongs to may have run.
func TestAKnownIDIsRefusedWithoutInvitingARetry(t *testing.T) {
	h := startCluster(t, nil)
	there, hold := make(chan bool, 1), make(chan struct{})
	h.onDecode(func(e *hosts.Exchange) bool {
		if e.Method != "POST" {
			return e.Serve()
		}
		there <- true
		select {
		case <-hold:
		case <-e.ClientClosed:
		}
		return e.Serve()
	})
	raw := h.request("hut-booking")
	c := h.dial()
	io.WriteString(c, raw)
	<-there
	c.Close()
	h.await("its client is seen to go", func() bool { return h.node.frontend.openRequests.Load() == 0 })
	if got := h.send(raw); got.status != 409 || got.after != "" {
		t.Errorf("after its client has left: %+v", got)
	}
	raw = h.request("hut-booking")
	c = h.dial()
	io.WriteString(c, raw)
	<-there
	h.node.frontend.rejectAll.Store(true)
	if got := h.send(raw); got.status != 409 || got.after != "" {
		t.Errorf("while it stops: %+v", got)
	}
	h.node.frontend.maxOpen = 0
	if got := h.send(raw); got.status != 409 || got.after != "" {
		t.Errorf("while too many are open: %+v", got)
	}
	close(hold)
	if got := c.readResponse(); got.status != 200 {
		t.Errorf("the open one: %+v", got)
	}
	h.awaitIdle()
	if n := len(h.site.Requests("r1", "POST")); n != 2 {
		t.Errorf("%d requests were taken", n)
	}
}

// Ids are remembered for their span, and not without bound.
func TestIDsAreForgotten(t *testing.T) {
	r := newIDRegistry(time.Hour)
	for i := range 3 * idsMost {
		id := fmt.Sprint(i)
		if !r.claim(id) || r.claim(id) {
			t.Fatalf("%s is not claimed once", id)
		}
		r.release(id, true)
		if !r.known(id) {
			t.Fatalf("%s is forgotten at once", id)
		}
	}
	if n := len(r.recent) + len(r.earlier); n > 2*idsMost+1 || r.known("0") {
		t.Errorf("%d are remembered", n)
	}
	r.claim("x")
	r.release("x", false)
	if r.known("x") {
		t.Error("one that was not taken is remembered")
	}
	r.span = 0
	for _, id := range []string{"y", "z", "a"} {
		r.claim(id)
		r.release(id, true)
	}
	if r.known("y") || !r.known("z") {
		t.Error("the span does not count")
	}
}

// localFailures has connecting to backends fail on this machine, with the error that is set.
func localFailures(h *testCluster) *atomic.Pointer[syscall.Errno] {
	failing := new(atomic.Pointer[syscall.Errno])
	h.system.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		if errno := failing.Load(); errno != nil && address != h.agent.Address {
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", *errno)}
		}
		return system.Real().Dial(ctx, network, address)
	}
	return failing
}

// What this machine lacks for a moment is no word from a backend: nothing is held against the fleet, a short moment is waited out, and
// what a longer one keeps from being sent is rejected with the promise that it did not run.
func TestALocalFailureIsNotHeldAgainstBackends(t *testing.T) {
	var failing *atomic.Pointer[syscall.Errno]
	h := startCluster(t, func(h *testCluster, _ *Config) { failing = localFailures(h) })
	for _, errno := range []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EAGAIN,
	} {
		failing.Store(&errno)
		time.AfterFunc(100*time.Millisecond, func() { failing.Store(nil) })
		if got := h.send(h.request("hut-booking")); got.status != 200 {
			t.Errorf("%v for 100 ms: %+v", errno, got)
		}
		failing.Store(&errno)
		if got := h.send(h.request("hut-booking")); got.status != 503 {
			t.Errorf("%v for longer: %+v", errno, got)
		}
		failing.Store(nil)
		h.node.loop.Call(context.Background(), func() {
			if b := h.node.loop.Estimates(); b.InSlowStart != 0 || b.Suspected != 0 {
				t.Errorf("%v: %d backends are taken for restarting, %d for failing", errno, b.InSlowStart, b.Suspected)
			}
		})
		if got := h.send(h.request("hut-booking")); got.status != 200 {
			t.Errorf("after %v: %+v", errno, got)
		}
	}
	h.awaitIdle()
}

// A state that waits is released in its time also where no descriptor for a decode attempt comes free, or the backend takes the
// connection but not the request.
func TestAStateIsLetGoWhereNothingCanBeSent(t *testing.T) {
	t.Run("no descriptor", func(t *testing.T) {
		h := startCluster(t, nil)
		done, hogged := make(chan struct{}), make(chan struct{})
		h.prefill.Handler = func(e *hosts.Exchange) bool {
			if e.Method == "POST" { // while it reads, others take all descriptors, and wait for the last
				go func() {
					defer close(hogged)
					for taken := 0; ; taken++ {
						select {
						case h.node.transport.attemptSlots <- struct{}{}:
						case <-done:
							for range taken {
								<-h.node.transport.attemptSlots
							}
							return
						}
					}
				}()
				time.Sleep(20 * time.Millisecond)
			}
			return e.Serve()
		}
		if got := h.send(h.request("hut-booking")); got.status != 503 {
			t.Errorf("%+v", got)
		}
		close(done)
		<-hogged
		h.awaitIdle()
	})
	t.Run("the request is not taken", func(t *testing.T) {
		h := startCluster(t, nil)
		for _, w := range h.decoders {
			w.OnConnect(func(c net.Conn) bool {
				c.(*net.TCPConn).SetReadBuffer(1 << 10)
				raw, err := c.(*net.TCPConn).SyscallConn()
				if err != nil {
					t.Error(err)
				}
				// Calls that release are read; of a request nothing is, so that it never goes out whole.
				var first [1]byte
				raw.Read(func(fd uintptr) bool {
					_, _, err := syscall.Recvfrom(int(fd), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
					return err != syscall.EAGAIN
				})
				if first[0] == 'D' {
					return true
				}
				time.Sleep(3 * time.Second)
				return false
			})
		}
		body := `{"model":"` + strings.Repeat("a", 250<<10) + `"}`
		if got := h.send(h.request("hut-booking", "Content-Length: 12", fmt.Sprintf("Content-Length: %d", len(body)), `{"model":""}`, body)); got.status == 200 {
			t.Errorf("%+v", got)
		}
		h.await("the state is released", func() bool { return h.site.HeldCount() == 0 })
	})
}
