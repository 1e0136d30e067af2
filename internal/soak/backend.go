package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sloetrestle/internal/fakes"
	"sloetrestle/internal/system"
	"sloetrestle/internal/testbackends"
)

// backend is an emulated engine: it does one phase of a request by the platform's protocol and misbehaves as the
// schedule says.
type backend struct {
	uid       string
	prefill   bool
	cluster   *cluster
	endpoints []string // the address for each dispatcher
	rack      int
	isolateMu sync.Mutex // held while the backend is isolated

	mu        sync.Mutex
	listeners []net.Listener
	closed    bool
	faults    map[Kind]activeFault
	state     string // as discovery lists it
	bootedAt  time.Duration
	bootMs    int64
	accepted  atomic.Uint64 // number of accepted connections
}

// activeFault is a fault with the time at which it ends.
type activeFault struct {
	until time.Duration
	draw  uint64
}

// cluster is the set of all backends and the KV caches that they hold.
type cluster struct {
	record   *record
	backends []*backend

	mu          sync.Mutex
	cached      map[string]bool // requests whose KV cache is held by some backend
	connections sync.WaitGroup
}

const (
	prefillWork  = 15 * time.Millisecond
	decodeWork   = 10 * time.Millisecond
	tokenTime    = 5 * time.Millisecond
	minTokens    = 3
	maxTokens    = 20
	slowFactor   = 12
	releaseDelay = 2 * time.Millisecond // lets earlier events, closes above all, be recorded before a release
	rackSize     = 3
	// arrivalClockStep is the coarsest step in which the operating system reports the age of received bytes.
	arrivalClockStep = 10 * time.Millisecond
	backendSubnet    = 64 // second byte of the backends' addresses; nothing else uses it
)

// address returns the loopback address of the next backend. Each backend has its own address, because thousands of
// listeners on one address would use up the ports that outgoing connections need.
func (c *cluster) address() string {
	number := len(c.backends) + 1
	return fmt.Sprintf("127.%d.%d.%d:0", backendSubnet+number>>16, number>>8&0xff, number&0xff)
}

// addBackend starts a backend with one listener for each dispatcher.
func (c *cluster) addBackend(uid string, prefill bool, dispatchers int) error {
	b := &backend{
		uid: uid, prefill: prefill, rack: len(c.backends) / rackSize, cluster: c,
		faults: map[Kind]activeFault{}, state: "in_service",
	}
	for dispatcher := range dispatchers {
		listener, err := net.Listen("tcp", c.address())
		if err != nil {
			return err
		}
		b.endpoints, b.listeners = append(b.endpoints, listener.Addr().String()), append(b.listeners, listener)
		b.accept(listener, dispatcher)
	}
	c.backends = append(c.backends, b)
	return nil
}

// accept serves the connections of a listener in the background.
func (b *backend) accept(listener net.Listener, dispatcher int) {
	connections := &b.cluster.connections
	connections.Go(func() {
		acceptAll(listener, connections, func(c net.Conn) { b.serve(c.(*net.TCPConn), dispatcher) })
	})
}

// isolate cuts the backend off for a while: established connections fall silent, and new ones are neither accepted
// nor refused.
func (b *backend) isolate(ctx context.Context, length time.Duration, draw uint64) {
	b.isolateMu.Lock()
	defer b.isolateMu.Unlock()
	var filling sync.WaitGroup
	var stuck [][]net.Conn
	for range b.listeners {
		stuck = append(stuck, nil)
	}
	for dispatcher := range b.listeners {
		filling.Go(func() {
			if listener := b.reopen(dispatcher); listener != nil {
				stuck[dispatcher], _ = fakes.FillBacklog(listener)
			}
		})
	}
	filling.Wait()
	b.injectFault(BackendSilent, b.cluster.record.now()+length, draw)
	system.Sleep(ctx, length)
	for dispatcher := range b.listeners {
		for _, c := range stuck[dispatcher] {
			c.Close()
		}
		if listener := b.reopen(dispatcher); listener != nil {
			b.accept(listener, dispatcher)
		}
	}
}

// reopen replaces the listener for a dispatcher by a new one on the same address, without serving it. It returns nil
// if the run is over.
func (b *backend) reopen(dispatcher int) net.Listener {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return nil
	}
	b.listeners[dispatcher].Close()
	for range 50 {
		if listener, err := net.Listen("tcp", b.endpoints[dispatcher]); err == nil {
			b.listeners[dispatcher] = listener
			return listener
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}

// close closes all listeners for good.
func (b *backend) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	for _, listener := range b.listeners {
		listener.Close()
	}
}

// acceptAll serves connections until the listener closes.
func acceptAll(listener net.Listener, connections *sync.WaitGroup, serve func(net.Conn)) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		connections.Go(func() {
			defer c.Close()
			serve(c)
		})
	}
}

// injectFault activates a kind of fault until the given time.
func (b *backend) injectFault(kind Kind, until time.Duration, draw uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults[kind] = activeFault{until, draw}
}

// faultActive reports whether a kind of fault is active, with its random draw.
func (b *backend) faultActive(kind Kind) (uint64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fault, ok := b.faults[kind]
	return fault.draw, ok && b.cluster.record.now() < fault.until
}

// restart makes the backend appear as a new process in slow start.
func (b *backend) restart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bootedAt, b.bootMs = b.cluster.record.now(), time.Now().UnixMilli()
}

// exchange is one connection of a dispatcher, which carries one request.
type exchange struct {
	*backend
	conn       *net.TCPConn
	attempt    *attempt
	silenced   atomic.Bool   // the connection has fallen silent for good, in both directions
	closed     chan struct{} // closed when the dispatcher has closed the connection
	received   *io.PipeReader
	connNumber uint64 // position among the accepted connections of the backend
}

// serve handles the one request of a connection.
func (b *backend) serve(conn *net.TCPConn, dispatcher int) {
	e := &exchange{
		backend: b, conn: conn, closed: make(chan struct{}), connNumber: b.accepted.Add(1),
		attempt: &attempt{dispatcher: dispatcher, backend: b.uid, prefill: b.prefill},
	}
	received, forwarded := io.Pipe()
	e.received = received
	b.cluster.connections.Go(func() { e.receive(forwarded) })
	defer func() { conn.Close(); received.Close(); <-e.closed }()
	r, err := http.ReadRequest(bufio.NewReader(received))
	if err != nil {
		e.wait(0)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		e.wait(0)
		return
	}
	if r.Method == http.MethodDelete {
		e.releaseKVCache(strings.TrimPrefix(r.URL.Path, "/v1/holds/"))
		return
	}
	timeoutMs, _ := strconv.Atoi(r.Header.Get("X-Timeout-Ms"))
	b.cluster.record.with(func() {
		e.attempt.id, e.attempt.arrived = r.Header.Get("X-Request-Id"), b.cluster.record.now()
		e.attempt.statedDeadline = time.Duration(timeoutMs) * time.Millisecond
	})
	e.answer()
	e.wait(0)
}

// receive forwards what the dispatcher sends until the connection falls silent. Later bytes are dropped, but still
// recorded.
func (e *exchange) receive(forwarded *io.PipeWriter) {
	defer close(e.closed)
	defer forwarded.Close()
	record, buffer := e.cluster.record, make([]byte, 16<<10)
	for {
		n, err := e.conn.Read(buffer)
		age := e.sinceArrival()
		now := record.now()
		if n > 0 {
			record.with(func() {
				if e.attempt.firstByte == 0 && buffer[0] == 'P' {
					e.attempt.firstByte = now - age
					record.attempts = append(record.attempts, e.attempt)
				}
			})
		}
		if draw, resets := e.faultActive(BackendResets); n > 0 && resets && draw%3 == 0 {
			e.reset() // before the last byte of the request
		}
		if n > 0 && !e.isSilent() {
			forwarded.Write(buffer[:n])
		}
		if err != nil {
			record.with(func() { e.attempt.closed = now })
			return
		}
	}
}

// sinceArrival returns how long ago the bytes that were read last reached this machine, as the soak's own process may read
// them late. It is not an overestimate.
func (e *exchange) sinceArrival() (age time.Duration) {
	raw, err := e.conn.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) { age, _ = system.SinceLastReceive(fd) })
	return max(age-arrivalClockStep, 0)
}

// isSilent reports whether the connection has fallen silent.
func (e *exchange) isSilent() bool {
	_, silent := e.faultActive(BackendSilent)
	draw, mute := e.faultActive(BackendMute)
	if silent || mute && (draw%2 == 0 || e.connNumber%2 == 0) {
		e.silenced.Store(true)
	}
	return e.silenced.Load()
}

// reset closes the connection with a TCP reset.
func (e *exchange) reset() {
	e.conn.SetLinger(0)
	e.conn.Close()
}

// wait waits for the given time, or without limit if it is 0. It returns false if the dispatcher closes the
// connection first.
func (e *exchange) wait(length time.Duration) bool {
	if length == 0 {
		<-e.closed
		return false
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-e.closed:
		return false
	}
}

// releaseKVCache drops the KV cache of a request, whichever backend holds it.
func (e *exchange) releaseKVCache(id string) {
	if _, hangs := e.faultActive(BackendHangs); hangs {
		e.wait(0)
		return
	}
	time.Sleep(releaseDelay)
	e.cluster.dropKVCache(id)
	io.WriteString(e.conn, "HTTP/1.1 204 No Content\r\n\r\n")
	e.wait(0)
}

// closedByDispatcher reports whether the dispatcher has closed the connection of the attempt. No KV cache is stored
// then.
func (e *exchange) closedByDispatcher() (closed bool) {
	e.cluster.record.with(func() { closed = e.attempt.closed > 0 })
	return closed
}

// storeKVCache records that a KV cache is held for a request.
func (c *cluster) storeKVCache(id string) {
	c.mu.Lock()
	c.cached[id] = true
	c.mu.Unlock()
	c.record.with(func() {
		c.record.cacheEvents = append(c.record.cacheEvents, cacheEvent{id, c.record.now(), true})
	})
}

// dropKVCache records that the KV cache of a request was taken or released, and reports whether there was one.
func (c *cluster) dropKVCache(id string) (existed bool) {
	c.mu.Lock()
	existed = c.cached[id]
	delete(c.cached, id)
	c.mu.Unlock()
	c.record.with(func() {
		c.record.cacheEvents = append(c.record.cacheEvents, cacheEvent{id, c.record.now(), false})
	})
	return existed
}

// hasKVCache reports whether a KV cache is held for a request.
func (c *cluster) hasKVCache(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cached[id]
}

// write writes raw bytes of an answer. last marks the end of the attempt. On a silent connection the bytes are
// dropped.
func (e *exchange) write(raw string, last bool) bool {
	if e.isSilent() {
		return true
	}
	if last {
		e.cluster.record.with(func() { e.attempt.answered = e.cluster.record.now() })
	}
	_, err := io.WriteString(e.conn, raw)
	return err == nil
}

// answer does the requested work, or misbehaves as the active faults say.
func (e *exchange) answer() {
	if _, full := e.faultActive(BackendFull); full {
		e.cluster.record.with(func() { e.attempt.neverRan = true })
		e.write(testbackends.Rejection(503, true), true)
		return
	}
	if _, fails := e.faultActive(BackendFails); fails {
		e.write(testbackends.Rejection(500, false), true)
		return
	}
	draw, hangs := e.faultActive(BackendHangs)
	if hangs && draw%3 == 0 {
		e.wait(0) // before the work
		return
	}
	if draw, resets := e.faultActive(BackendResets); resets && draw%3 == 1 {
		e.reset() // right after the request
		return
	}
	work := prefillWork
	if !e.prefill {
		work = decodeWork
	}
	if _, slow := e.faultActive(BackendSlow); slow {
		work *= slowFactor
	}
	if !e.wait(work) {
		return
	}
	if e.prefill {
		if e.closedByDispatcher() {
			return
		}
		e.cluster.storeKVCache(e.attempt.id)
		if hangs {
			e.wait(0) // after the work
			return
		}
		e.write("HTTP/1.1 202 Accepted\r\nX-Server-Load: util=0.5,queue=2,x0=0.25\r\n"+
			"Content-Length: 21\r\n\r\n{\"cached_tokens\":100}", true)
		return
	}
	if !e.cluster.hasKVCache(e.attempt.id) {
		e.cluster.record.with(func() { e.attempt.neverRan = true })
		e.write(testbackends.Rejection(410, true), true)
		return
	}
	e.stream(hangs)
}

// eventText returns the text of an event with the time at which it is written, so that the client can measure its
// delay.
func eventText(number int, now time.Duration) string { return fmt.Sprintf("t%d@%d;", number, now) }

// stream writes an answer event by event.
func (e *exchange) stream(hangs bool) {
	e.cluster.dropKVCache(e.attempt.id)
	draw, spoils := e.faultActive(BackendSpoils)
	if spoils && draw%3 == 0 {
		e.write("noise\x00\x01 and no head", true)
		return
	}
	if !e.write(testbackends.StreamHead, false) {
		return
	}
	tokens := minTokens + len(e.attempt.id)*7%(maxTokens-minTokens)
	for i := range tokens {
		if !e.write(testbackends.EncodeChunk(testbackends.TextEvent(eventText(i, e.cluster.record.now()))), false) ||
			!e.wait(tokenTime) {
			return
		}
		if hangs && i == 1 {
			e.wait(0)
			return
		}
		if draw, resets := e.faultActive(BackendResets); resets && draw%3 == 2 {
			e.reset()
			return
		}
		if spoils && draw%3 == 1 {
			e.write("zz\r\nno chunk", true)
			return
		}
	}
	end := testbackends.EncodeChunk(testbackends.UsageEvent+testbackends.DoneEvent) + testbackends.LastChunk
	if spoils {
		end += testbackends.StreamHead + testbackends.EncodeChunk(testbackends.TextEvent("again")) // a second answer
	}
	wrote := e.write(end, true)
	e.cluster.record.with(func() { e.attempt.finished = wrote && !e.silenced.Load() })
}
