package platform

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"sloetrestle/brain"
	"sloetrestle/internal/hosts"
	"sloetrestle/internal/system"
)

// pair is a client's connection and the dispatcher's end of it.
func newConnPair(t *testing.T) (client *net.TCPConn, conn *clientConn, closed <-chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	conn, err = newClientConn(system.TCPConn{TCPConn: accepted.(*net.TCPConn)}, func(*clientConn) { close(done) })
	if err != nil {
		t.Fatal(err)
	}
	dialed.SetDeadline(time.Now().Add(5 * time.Second))
	t.Cleanup(func() {
		dialed.Close()
		conn.abort()
	})
	return dialed.(*net.TCPConn), conn, done
}

// A request that arrives as its connection is closed is either left unread, and its client sees an end in good order, or read, and
// then the connection is not closed.
func TestAnIdleConnectionIsClosedOrReadNotBoth(t *testing.T) {
	client, conn, closed := newConnPair(t)
	if !conn.closeIdle(closedByServer) {
		t.Fatal("a connection on which nothing came is not closed")
	}
	io.WriteString(client, "POST / HTTP/1.1\r\n\r\n")
	if n, err := conn.Read(make([]byte, 100)); n != 0 || err != io.EOF {
		t.Errorf("%d bytes are read of a connection that is closed, %v", n, err)
	}
	if _, err := client.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("its client sees %v", err)
	}
	<-closed

	client, conn, _ = newConnPair(t)
	io.WriteString(client, "P")
	if n, err := conn.Read(make([]byte, 100)); n != 1 || err != nil {
		t.Fatalf("%d, %v", n, err)
	}
	if conn.closeIdle(closedByServer) {
		t.Error("a connection is closed of whose request a byte was read")
	}
}

// Bytes of a further request that have been read make a connection busy, though net/http takes it for idle.
func TestAConnectionWithAPipelinedRequestIsNotIdle(t *testing.T) {
	client, conn, _ := newConnPair(t)
	one := "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"
	io.WriteString(client, one+"POST /next")
	head := make([]byte, 4096)
	n, err := conn.Read(head)
	if err != nil || string(head[:n]) != one[:len(one)-3] {
		t.Fatalf("%q, %v", head[:n], err)
	}
	conn.setBodyLength(3)
	if n, err = conn.Read(head); err != nil || string(head[:n]) != "abc" {
		t.Fatalf("%q, %v", head[:n], err)
	}
	conn.responseDone()
	if conn.closeIdle(closedByServer) {
		t.Error("it is closed over a request that has been read")
	}
	if n, err = conn.Read(head); err != nil || string(head[:n]) != "POST /next" {
		t.Errorf("the next request is read as %q, %v", head[:n], err)
	}
}

// A head is handed on up to its end however it is cut, and whichever line ends it has.
func TestAHeadIsFramedInAnyPieces(t *testing.T) {
	for _, head := range []string{"GET / HTTP/1.1\r\nA: b\r\n\r\n", "GET / HTTP/1.1\nA: b\n\n", "GET / HTTP/1.1\r\nA: b\n\r\n"} {
		for cut := range head {
			_, conn, _ := newConnPair(t)
			conn.pending = []byte(head + "rest")
			got := ""
			for _, size := range []int{cut, len(head) + 4} {
				into := make([]byte, size)
				n, _ := conn.readPending(into)
				got += string(into[:n])
			}
			if got != head || conn.framer.position != afterHead {
				t.Errorf("%q cut at %d: %q", head, cut, got)
			}
			conn.abort()
		}
	}
}

// A client that has sent more behind its open request than is kept is seen to go, and what it sent is not taken for a request.
func TestAClientThatSendsMuchAndGoesIsSeen(t *testing.T) {
	h := startCluster(t, nil)
	there := h.holdPrefills()
	c := h.dial()
	io.WriteString(c, h.request("trail-info"))
	e := <-there
	more := strings.Repeat(h.request("hut-booking"), 4*maxPipelinedBytes/300)
	if _, err := io.WriteString(c, more); err != nil {
		t.Fatal(err)
	}
	c.Close()
	select {
	case <-e.ClientClosed:
	case <-time.After(100 * time.Millisecond):
		t.Error("its attempt goes on")
	}
	h.awaitIdle()
	if n := len(h.site.Requests("", "POST")); n != 1 {
		t.Errorf("%d attempts", n)
	}
}

// One that stays has its open request answered, and the connection is closed in good order before the others are taken.
func TestAConnectionThatOverrunsIsClosedAfterItsAnswer(t *testing.T) {
	h := startCluster(t, nil)
	hold := make(chan struct{})
	h.prefill.Handler = func(e *hosts.Exchange) bool { <-hold; return e.Serve() }
	c := h.dial()
	io.WriteString(c, h.request("trail-info"))
	h.await("it is out", func() bool { return len(h.site.Requests("r1", "POST")) == 1 })
	io.WriteString(c, strings.Repeat(h.request("hut-booking"), 4*maxPipelinedBytes/300))
	close(hold)
	if got := c.readResponse(); got.status != 200 || !got.complete {
		t.Errorf("%+v", got)
	}
	if _, err := c.reader.ReadByte(); err != io.EOF {
		t.Errorf("then %v", err)
	}
	h.awaitIdle()
	if n := len(h.site.Requests("r1", "POST")); n != 1 {
		t.Errorf("%d requests are taken", n)
	}
}

// A close over bytes that the client has sent must not reset the connection: the end of the last answer may be lost with it.
func TestNoCloseResetsAConnection(t *testing.T) {
	for name, change := range map[string]func(h *testCluster){
		"a stream that breaks": func(h *testCluster) {
			h.onDecode(func(e *hosts.Exchange) bool {
				e.WriteRaw(hosts.StreamHead + hosts.EncodeChunk(hosts.TextEvent("a")))
				return false
			})
		},
		"an answer at a stop": func(h *testCluster) { h.node.frontend.stopping.Store(true) },
		"an answer of failure": func(h *testCluster) {
			h.prefill.Handler = func(e *hosts.Exchange) bool { return e.WriteRaw(hosts.Rejection(400, false)) }
			h.node.frontend.stopping.Store(true)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := startCluster(t, nil)
			change(h)
			c := h.dial()
			io.WriteString(c, h.request("trail-info")+h.request("trail-info"))
			if got := c.readResponse(); got.status == 0 {
				t.Error("there is no answer")
			}
			if _, err := io.Copy(io.Discard, c.reader); errors.Is(err, syscall.ECONNRESET) {
				t.Error("the connection is reset")
			}
		})
	}
	t.Run("a request that is refused over its body", func(t *testing.T) {
		h := startCluster(t, nil)
		c := h.dial()
		head, body, _ := strings.Cut(h.request("no-such", "Content-Length: 12", "Content-Length: 200000"), "\r\n\r\n")
		io.WriteString(c, head+"\r\n\r\n")
		if got := c.readResponse(); got.status != 400 {
			t.Errorf("%+v", got)
		}
		io.WriteString(c, body+strings.Repeat("x", 199_988)) // it crosses the answer
		if _, err := io.Copy(io.Discard, c.reader); errors.Is(err, syscall.ECONNRESET) {
			t.Error("the connection is reset")
		}
	})
}

// Connections that the system has completed are accepted before the listener closes.
func TestCompletedConnectionsAreAcceptedAtAStop(t *testing.T) {
	listener, err := system.Real().Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := newLimiter(listener, 100, discardLog)
	const waiting = 20
	for range waiting { // nobody accepts yet
		c, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	l.acceptBacklogOnly()
	for range waiting {
		if _, err := l.Accept(); err != nil {
			t.Fatalf("a completed connection is not accepted: %v", err)
		}
	}
	if _, err := l.Accept(); err != http.ErrServerClosed {
		t.Errorf("then %v", err)
	}
	l.closeSilent()
}

// A connection that became busy after it was looked at is not closed for room; the next one is.
func TestRoomIsNotMadeByABusyConnection(t *testing.T) {
	l := newLimiter(nil, 1, discardLog)
	client, busy, _ := newConnPair(t)
	l.conns[busy] = true
	busy.stateSince = time.Now().Add(-time.Hour)
	io.WriteString(client, "P")
	busy.Read(make([]byte, 10))
	if l.ensureCapacity(time.Now()) {
		t.Error("a connection whose request is being read made room")
	}
	_, silent, _ := newConnPair(t)
	l.conns[silent] = true
	silent.stateSince = time.Now().Add(-time.Hour)
	l.maxConns = 2
	if !l.ensureCapacity(time.Now()) {
		t.Error("a silent connection made no room")
	}
	if state, _ := busy.status(time.Now()); state != connReading {
		t.Errorf("the busy one is in state %d", state)
	}
}

// Descriptors run full of clients that say nothing while discovery is down: the dispatcher stays ready, follows discovery as soon as it
// is back, and serves.
func TestFullDescriptorsLeaveRoomForDiscovery(t *testing.T) {
	h := startCluster(t, func(h *testCluster, p *Config) { p.Limits.Sockets = 64 })
	h.agent.SetSilent(true)
	h.agent.CloseConns()
	for range 150 {
		c, err := net.Dial("tcp", h.address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
	}
	h.site.UpdateDiscovery(func() { h.decoders[0].State = "terminating" })
	h.agent.SetSilent(false)
	h.await("the drain is known", func() bool { return h.backendState("w1") == brain.Draining && h.agent.WatchCount() == 1 })
	c := h.dial()
	io.WriteString(c, "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("not ready: %v", err)
	}
	if got := h.send(h.request("hut-booking")); got.status != 200 {
		t.Errorf("%+v", got)
	}
	if n := len(h.site.Requests("w1", "POST")); n != 0 {
		t.Errorf("%d attempts to a backend that drains", n)
	}
}

// countedConn counts the bytes that are read of a connection.
type countedConn struct {
	system.Conn
	bytesRead atomic.Int64
}

func (c *countedConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.bytesRead.Add(int64(max(n, 0)))
	return n, err
}

// A connection between two requests that net/http closes, as nothing came for long, is not read any more: a request that crosses that
// must stay unread, for its client to send it elsewhere.
func TestARequestThatCrossesTheEndOfARestIsNotRead(t *testing.T) {
	client, conn, closed := newConnPair(t)
	counted := &countedConn{Conn: conn.Conn}
	conn.Conn = counted
	conn.Close() // as net/http does when a read's deadline has passed
	io.WriteString(client, "POST / HTTP/1.1\r\n\r\n")
	if _, err := client.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("its client sees %v", err)
	}
	<-closed
	if n := counted.bytesRead.Load(); n != 0 {
		t.Errorf("%d bytes were read and dropped", n)
	}
}

// A client that stops in the middle of a request and stays gets an error or a close within 3 s of its connection, however it divides
// that time, and on a connection that was used before within 3 s of the request's first byte.
func TestAClientThatStopsInARequestIsLetGo(t *testing.T) {
	h := startCluster(t, nil)
	const inHead, wholeHead = 40, -1 // where a request is cut
	for name, c := range map[string]struct {
		used    bool
		cuts    []int
		chunked bool
	}{
		"before its head's end":                     {cuts: []int{inHead}},
		"late in its head and then in its body":     {cuts: []int{inHead, wholeHead}},
		"after a byte of a further request":         {used: true, cuts: []int{1}},
		"late in a further head, and then its body": {used: true, cuts: []int{1, wholeHead}},
		"in the body of a further request":          {used: true, cuts: []int{wholeHead}},
		"in the middle of a chunk":                  {cuts: []int{wholeHead}, chunked: true},
	} {
		raw := h.request("trail-info")
		if c.chunked {
			raw = h.chunkedRequest("trail-info", "c\r\n{\"mo")
		}
		var pieces []string
		from := 0
		for _, cut := range c.cuts {
			if cut == wholeHead {
				cut = strings.Index(raw, "\r\n\r\n") + len("\r\n\r\n{")
			}
			pieces, from = append(pieces, raw[from:cut]), cut
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			k := h.dial()
			if c.used {
				io.WriteString(k, "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
				if got := k.readResponse(); got.status != 200 {
					t.Fatalf("%+v", got)
				}
			}
			began := time.Now()
			for i, piece := range pieces {
				if i > 0 {
					time.Sleep(1500 * time.Millisecond)
				}
				io.WriteString(k, piece)
			}
			if got := k.readResponse(); got.status/100 == 2 {
				t.Errorf("%+v", got)
			}
			if took := time.Since(began); took > 3*time.Second {
				t.Errorf("its end came after %v", took)
			}
		})
	}
}

// What an attempt tells its backend is at most what its client has left: a request that waited behind another one has less.
func TestARequestThatWaitedBehindAnotherHasLessTime(t *testing.T) {
	h := startCluster(t, nil)
	const answer = 600 * time.Millisecond
	h.onDecode(func(e *hosts.Exchange) bool {
		if e.ID == "q1" {
			time.Sleep(answer)
		}
		return e.Serve()
	})
	c := h.dial()
	io.WriteString(c, h.request("hut-booking")+h.request("hut-booking"))
	for range 2 {
		if got := c.readResponse(); got.status != 200 {
			t.Fatalf("%+v", got)
		}
	}
	for _, e := range h.site.Requests("", "POST") {
		left, _ := strconv.Atoi(e.Header.Get("X-Timeout-Ms"))
		if e.ID == "q2" && time.Duration(left)*time.Millisecond > 3*time.Second-answer+100*time.Millisecond {
			t.Errorf("%s is told %d ms", e.Backend.UID, left)
		}
	}
}
