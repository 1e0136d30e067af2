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

	"sloetrestle/internal/system"
	"sloetrestle/internal/testbackends"
	"sloetrestle/scheduler"
)

// newConnPair returns a client's connection and the dispatcher's end of it. The channel is closed with the dispatcher's
// socket.
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
	conn, err = newClientConn(
		system.TCPConn{TCPConn: accepted.(*net.TCPConn)}, ampleMemory(), func(*clientConn) { close(done) })
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

// A request that arrives while its connection is being closed is either left unread, and its client sees a graceful
// close, or read, and then the connection is not closed.
func TestIdleCloseExcludesRead(t *testing.T) {
	client, conn, closed := newConnPair(t)
	if !conn.closeIdle(closedByServer) {
		t.Fatal("a connection on which nothing arrived is not closed")
	}
	io.WriteString(client, "POST / HTTP/1.1\r\n\r\n")
	if n, err := conn.Read(make([]byte, 100)); n != 0 || err != io.EOF {
		t.Errorf("%d bytes are read from a closed connection, %v", n, err)
	}
	if _, err := client.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the client reads: %v, want EOF", err)
	}
	<-closed

	client, conn, _ = newConnPair(t)
	io.WriteString(client, "P")
	if n, err := conn.Read(make([]byte, 100)); n != 1 || err != nil {
		t.Fatalf("%d, %v", n, err)
	}
	if conn.closeIdle(closedByServer) {
		t.Error("a connection is closed after a byte of its request was read")
	}
}

// Bytes of a pipelined request that have been read make a connection busy, though net/http takes it for idle.
func TestConnectionWithPipelinedRequestIsNotIdle(t *testing.T) {
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
		t.Error("the connection is closed although a request has been read from it")
	}
	if n, err = conn.Read(head); err != nil || string(head[:n]) != "POST /next" {
		t.Errorf("the next request is read as %q, %v", head[:n], err)
	}
}

// A request head is returned up to its end however the reads divide it, with either kind of line end.
func TestHeadIsFramedAcrossReads(t *testing.T) {
	for _, head := range []string{
		"GET / HTTP/1.1\r\nA: b\r\n\r\n", "GET / HTTP/1.1\nA: b\n\n", "GET / HTTP/1.1\r\nA: b\n\r\n",
	} {
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

// A client that has pipelined more than is buffered behind its open request is still noticed when it closes, and what
// it pipelined is not served.
func TestClientCloseIsDetectedBehindPipelinedData(t *testing.T) {
	env := startCluster(t, nil)
	prefills := env.holdPrefills()
	conn := env.dial()
	io.WriteString(conn, env.request("trail-info"))
	exchange := <-prefills
	more := strings.Repeat(env.request("hut-booking"), 4*maxPipelinedBytes/300)
	if _, err := io.WriteString(conn, more); err != nil {
		t.Fatal(err)
	}
	conn.Close()
	select {
	case <-exchange.ClientClosed:
	case <-time.After(100 * time.Millisecond):
		t.Error("the attempt goes on after its client has closed")
	}
	env.awaitIdle()
	if n := len(env.site.Requests("", "POST")); n != 1 {
		t.Errorf("%d attempts, want 1", n)
	}
}

// If a client pipelines more than is buffered and stays, its open request is answered, and the connection is closed
// gracefully without serving the others.
func TestPipelineOverrunClosesAfterResponse(t *testing.T) {
	env := startCluster(t, nil)
	hold := make(chan struct{})
	env.prefill.Handler = func(e *testbackends.Exchange) bool { <-hold; return e.Serve() }
	conn := env.dial()
	io.WriteString(conn, env.request("trail-info"))
	env.await("the attempt is in flight", func() bool { return len(env.site.Requests("r1", "POST")) == 1 })
	io.WriteString(conn, strings.Repeat(env.request("hut-booking"), 4*maxPipelinedBytes/300))
	close(hold)
	if got := conn.readResponse(); got.status != 200 || !got.complete {
		t.Errorf("%+v", got)
	}
	if _, err := conn.reader.ReadByte(); err != io.EOF {
		t.Errorf("after the response: %v, want EOF", err)
	}
	env.awaitIdle()
	if n := len(env.site.Requests("r1", "POST")); n != 1 {
		t.Errorf("%d requests are served, want 1", n)
	}
}

// A close with unread bytes from the client must not reset the connection, as that can lose the end of the last
// response.
func TestCloseDoesNotResetConnection(t *testing.T) {
	for name, change := range map[string]func(env *testCluster){
		"a broken stream": func(env *testCluster) {
			env.onDecode(func(e *testbackends.Exchange) bool {
				e.WriteRaw(testbackends.StreamHead + testbackends.EncodeChunk(testbackends.TextEvent("a")))
				return false
			})
		},
		"a response at shutdown": func(env *testCluster) { env.node.frontend.stopping.Store(true) },
		"an error response": func(env *testCluster) {
			env.prefill.Handler = func(e *testbackends.Exchange) bool { return e.WriteRaw(testbackends.Rejection(400, false)) }
			env.node.frontend.stopping.Store(true)
		},
	} {
		t.Run(name, func(t *testing.T) {
			env := startCluster(t, nil)
			change(env)
			conn := env.dial()
			io.WriteString(conn, env.request("trail-info")+env.request("trail-info"))
			if got := conn.readResponse(); got.status == 0 {
				t.Error("there is no response")
			}
			if _, err := io.Copy(io.Discard, conn.reader); errors.Is(err, syscall.ECONNRESET) {
				t.Error("the connection is reset")
			}
		})
	}
	t.Run("a request that is refused over its body", func(t *testing.T) {
		env := startCluster(t, nil)
		conn := env.dial()
		head, body, _ := strings.Cut(env.request("no-such", "Content-Length: 12", "Content-Length: 200000"), "\r\n\r\n")
		io.WriteString(conn, head+"\r\n\r\n")
		if got := conn.readResponse(); got.status != 400 {
			t.Errorf("%+v", got)
		}
		io.WriteString(conn, body+strings.Repeat("x", 199_988)) // it crosses the response
		if _, err := io.Copy(io.Discard, conn.reader); errors.Is(err, syscall.ECONNRESET) {
			t.Error("the connection is reset")
		}
	})
}

// At shutdown, connections that the operating system has completed are accepted before the listener closes.
func TestShutdownAcceptsCompletedConnections(t *testing.T) {
	listener, err := system.Real().Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limited := newLimiter(listener, 100, ampleMemory(), discardLog)
	const waiting = 20
	for range waiting { // nothing accepts them yet
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	limited.acceptBacklogOnly()
	for range waiting {
		if _, err := limited.Accept(); err != nil {
			t.Fatalf("a completed connection is not accepted: %v", err)
		}
	}
	if _, err := limited.Accept(); err != http.ErrServerClosed {
		t.Errorf("after the last completed connection: %v, want http.ErrServerClosed", err)
	}
	limited.closeSilent()
}

// A connection that becomes busy after it was looked at is not closed for another one; the next candidate is.
func TestBusyConnectionIsNotEvicted(t *testing.T) {
	limited := newLimiter(nil, 1, ampleMemory(), discardLog)
	client, busy, _ := newConnPair(t)
	limited.conns[busy] = true
	busy.stateSince = time.Now().Add(-time.Hour)
	io.WriteString(client, "P")
	busy.Read(make([]byte, 10))
	if limited.ensureCapacity(time.Now()) {
		t.Error("a connection whose request is being read was closed for another")
	}
	_, silent, _ := newConnPair(t)
	limited.conns[silent] = true
	silent.stateSince = time.Now().Add(-time.Hour)
	limited.maxConns = 2
	if !limited.ensureCapacity(time.Now()) {
		t.Error("a silent connection was not closed for another")
	}
	if state, _ := busy.status(time.Now()); state != connReading {
		t.Errorf("the busy connection is in state %d", state)
	}
}

// Clients that send nothing use up the descriptors while discovery is down. The dispatcher must stay ready, follow
// discovery as soon as it is back, and serve.
func TestDiscoverySurvivesExhaustedDescriptors(t *testing.T) {
	env := startCluster(t, func(env *testCluster, config *Config) { config.Limits.Sockets = 64 })
	env.agent.SetSilent(true)
	env.agent.CloseConns()
	for range 150 {
		conn, err := net.Dial("tcp", env.address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		io.WriteString(conn, "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
	}
	env.site.UpdateDiscovery(func() { env.decoders[0].State = "terminating" })
	env.agent.SetSilent(false)
	env.await("the drain is observed", func() bool {
		return env.backendState("w1") == scheduler.Draining && env.agent.WatchCount() == 1
	})
	conn := env.dial()
	io.WriteString(conn, "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("not ready: %v", err)
	}
	if got := env.send(env.request("hut-booking")); got.status != 200 {
		t.Errorf("%+v", got)
	}
	if n := len(env.site.Requests("w1", "POST")); n != 0 {
		t.Errorf("%d attempts at a draining backend", n)
	}
}

// countedConn counts the bytes that are read from a connection.
type countedConn struct {
	system.Conn
	bytesRead atomic.Int64
}

func (c *countedConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.bytesRead.Add(int64(max(n, 0)))
	return n, err
}

// A connection that net/http closes between two requests, because nothing arrived for long, is not read any more: a
// request that crosses the close must stay unread, so that its client can send it elsewhere.
func TestRequestCrossingIdleCloseIsNotRead(t *testing.T) {
	client, conn, closed := newConnPair(t)
	counted := &countedConn{Conn: conn.Conn}
	conn.Conn = counted
	conn.Close() // as net/http does when a read deadline has passed
	io.WriteString(client, "POST / HTTP/1.1\r\n\r\n")
	if _, err := client.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the client reads: %v, want EOF", err)
	}
	<-closed
	if n := counted.bytesRead.Load(); n != 0 {
		t.Errorf("%d bytes were read and discarded", n)
	}
}

// A client that stops in the middle of a request and stays must get an error or a close within 3 s of connecting,
// however it divides that time, or, on a connection that was used before, within 3 s of the request's first byte.
func TestStalledRequestTimesOut(t *testing.T) {
	env := startCluster(t, nil)
	const inHead, wholeHead = 40, -1 // where a request is cut
	for name, test := range map[string]struct {
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
		raw := env.request("trail-info")
		if test.chunked {
			raw = env.chunkedRequest("trail-info", "c\r\n{\"mo")
		}
		var pieces []string
		from := 0
		for _, cut := range test.cuts {
			if cut == wholeHead {
				cut = strings.Index(raw, "\r\n\r\n") + len("\r\n\r\n{")
			}
			pieces, from = append(pieces, raw[from:cut]), cut
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn := env.dial()
			if test.used {
				io.WriteString(conn, "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n")
				if got := conn.readResponse(); got.status != 200 {
					t.Fatalf("%+v", got)
				}
			}
			start := time.Now()
			for i, piece := range pieces {
				if i > 0 {
					time.Sleep(1500 * time.Millisecond)
				}
				io.WriteString(conn, piece)
			}
			if got := conn.readResponse(); got.status/100 == 2 {
				t.Errorf("%+v", got)
			}
			if took := time.Since(start); took > 3*time.Second {
				t.Errorf("the connection ended after %v", took)
			}
		})
	}
}

// Guards against a told timeout that the client hasn't left any more: a busy process reads a request on an open connection
// long after it arrived.
func TestRequestReadLateOnOpenConnectionCountsFromItsArrival(t *testing.T) {
	const readDelay, tolerance = 100 * time.Millisecond, 30 * time.Millisecond
	client, conn, _ := newConnPair(t)
	raw := "POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n"
	for number := range 3 {
		io.WriteString(client, raw)
		sent := time.Now()
		time.Sleep(readDelay)
		conn.Read(make([]byte, 1000))
		if late := conn.requestArrival(time.Now()).Sub(sent); late > tolerance {
			t.Errorf("request %d is recorded as arriving %v after it was sent", number, late)
		}
		conn.setBodyLength(0)
		conn.responseDone()
	}
}

// Guards against a client that writes slowly having less time than it stated: a request's time counts from its last byte.
func TestSlowlyWrittenRequestCountsFromItsLastByte(t *testing.T) {
	const pause, tolerance = 60 * time.Millisecond, 30 * time.Millisecond
	client, conn, _ := newConnPair(t)
	for number := range 2 {
		var sent time.Time
		for _, part := range []string{"POST / HTTP/1.1\r\n", "Content-Length: 4\r\n\r\n", "body"} {
			io.WriteString(client, part)
			sent = time.Now()
			conn.Read(make([]byte, 1000))
			time.Sleep(pause)
			if strings.HasSuffix(part, "\r\n\r\n") {
				conn.setBodyLength(4)
			}
		}
		if early := sent.Sub(conn.requestArrival(time.Now())); early > tolerance {
			t.Errorf("request %d is recorded as arriving %v before its last byte", number, early)
		}
		conn.responseDone()
	}
}

// The timeout stated to a backend is at most what the client has left: a request that waited behind a pipelined one has
// less.
func TestPipelinedRequestDeadlineIncludesQueueing(t *testing.T) {
	env := startCluster(t, nil)
	const delay = 600 * time.Millisecond
	env.onDecode(func(exchange *testbackends.Exchange) bool {
		if exchange.ID == "q1" {
			time.Sleep(delay)
		}
		return exchange.Serve()
	})
	conn := env.dial()
	io.WriteString(conn, env.request("hut-booking")+env.request("hut-booking"))
	for range 2 {
		if got := conn.readResponse(); got.status != 200 {
			t.Fatalf("%+v", got)
		}
	}
	for _, exchange := range env.site.Requests("", "POST") {
		left, _ := strconv.Atoi(exchange.Header.Get("X-Timeout-Ms"))
		if exchange.ID == "q2" && time.Duration(left)*time.Millisecond > 3*time.Second-delay+100*time.Millisecond {
			t.Errorf("%s gets a timeout of %d ms", exchange.Backend.UID, left)
		}
	}
}
