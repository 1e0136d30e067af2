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

	"sloetrestle/internal/hosts"
	"sloetrestle/internal/standin"
	"sloetrestle/internal/system"
)

// backend is an emulated engine: it does either phase of a request by the platform's protocol, and goes wrong as the schedule has it.
type backend struct {
	uid       string
	prefill   bool
	cluster   *cluster
	endpoints []string // where each dispatcher reaches it
	rack      int
	isolateMu sync.Mutex // held while it is cut off

	mu        sync.Mutex
	listeners []net.Listener
	closed    bool
	faults    map[Kind]activeFault
	state     string // as discovery has it
	bootedAt  time.Duration
	bootMs    int64
	accepted  atomic.Uint64 // connections that were taken
}

// activeFault is a fault while it lasts.
type activeFault struct {
	until time.Duration
	draw  uint64
}

// farm is all backends, and what they hold.
type cluster struct {
	record   *record
	backends []*backend

	mu          sync.Mutex
	cached      map[string]bool // requests whose state waits somewhere
	connections sync.WaitGroup
}

const (
	prefillWork   = 15 * time.Millisecond
	decodeWork    = 10 * time.Millisecond
	tokenTime     = 5 * time.Millisecond
	minTokens     = 3
	maxTokens     = 20
	slowFactor    = 12
	releaseDelay  = 2 * time.Millisecond // for what came before a release to be noticed, a close above all
	rackSize      = 3
	backendSubnet = 64 // the second byte of backends' addresses, which nothing else uses
)

// address is the loopback address of a backend: each has one of its own, as thousands of listeners would else take the ports that
// connections need.
func (f *cluster) address() string {
	number := len(f.backends) + 1
	return fmt.Sprintf("127.%d.%d.%d:0", backendSubnet+number>>16, number>>8&0xff, number&0xff)
}

// addBackend opens a backend with an address for each dispatcher.
func (f *cluster) addBackend(uid string, prefill bool, dispatchers int) error {
	b := &backend{uid: uid, prefill: prefill, rack: len(f.backends) / rackSize, cluster: f, faults: map[Kind]activeFault{}, state: "in_service"}
	for d := range dispatchers {
		l, err := net.Listen("tcp", f.address())
		if err != nil {
			return err
		}
		b.endpoints, b.listeners = append(b.endpoints, l.Addr().String()), append(b.listeners, l)
		b.accept(l, d)
	}
	f.backends = append(f.backends, b)
	return nil
}

// accept has a listener's connections served.
func (b *backend) accept(l net.Listener, dispatcher int) {
	done := &b.cluster.connections
	done.Go(func() { acceptAll(l, done, func(c net.Conn) { b.serve(c.(*net.TCPConn), dispatcher) }) })
}

// cutOff has the backend be cut off for a while: connections that stand fall silent, and new ones neither come up nor are refused.
func (b *backend) isolate(ctx context.Context, length time.Duration, draw uint64) {
	b.isolateMu.Lock()
	defer b.isolateMu.Unlock()
	var filling sync.WaitGroup
	var stuck [][]net.Conn
	for range b.listeners {
		stuck = append(stuck, nil)
	}
	for d := range b.listeners {
		filling.Go(func() {
			if l := b.reopen(d); l != nil {
				stuck[d], _ = standin.FillBacklog(l)
			}
		})
	}
	filling.Wait()
	b.injectFault(BackendSilent, b.cluster.record.now()+length, draw)
	system.Sleep(ctx, length)
	for d := range b.listeners {
		for _, c := range stuck[d] {
			c.Close()
		}
		if l := b.reopen(d); l != nil {
			b.accept(l, d)
		}
	}
}

// reopen listens anew at a dispatcher's address, and serves nothing yet; nil: the run is over.
func (b *backend) reopen(dispatcher int) net.Listener {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return nil
	}
	b.listeners[dispatcher].Close()
	for range 50 {
		if l, err := net.Listen("tcp", b.endpoints[dispatcher]); err == nil {
			b.listeners[dispatcher] = l
			return l
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}

// close ends listening for good.
func (b *backend) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	for _, l := range b.listeners {
		l.Close()
	}
}

// acceptAll serves connections until the listener closes.
func acceptAll(l net.Listener, done *sync.WaitGroup, serve func(net.Conn)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		done.Go(func() {
			defer c.Close()
			serve(c)
		})
	}
}

// goesWrong has a kind of fault last until a time.
func (b *backend) injectFault(kind Kind, until time.Duration, draw uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults[kind] = activeFault{until, draw}
}

// wrongNow tells whether a kind of fault lasts, and its draw.
func (b *backend) faultActive(kind Kind) (uint64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, ok := b.faults[kind]
	return w.draw, ok && b.cluster.record.now() < w.until
}

// restart has the backend be a new process in slow start.
func (b *backend) restart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bootedAt, b.bootMs = b.cluster.record.now(), time.Now().UnixMilli()
}

// exchange is one connection of a dispatcher.
type exchange struct {
	*backend
	conn       *net.TCPConn
	attempt    *attempt
	silenced   atomic.Bool   // the connection has fallen silent, both ways and for good
	closed     chan struct{} // closed when the dispatcher has closed
	received   *io.PipeReader
	connNumber uint64 // of the connection
}

// serve takes the one request of a connection.
func (b *backend) serve(conn *net.TCPConn, dispatcher int) {
	e := &exchange{backend: b, conn: conn, closed: make(chan struct{}), connNumber: b.accepted.Add(1), attempt: &attempt{dispatcher: dispatcher, backend: b.uid, prefill: b.prefill}}
	in, out := io.Pipe()
	e.received = in
	b.cluster.connections.Go(func() { e.receive(out) })
	defer func() { conn.Close(); in.Close(); <-e.closed }()
	r, err := http.ReadRequest(bufio.NewReader(in))
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
	ms, _ := strconv.Atoi(r.Header.Get("X-Timeout-Ms"))
	b.cluster.record.with(func() {
		e.attempt.id, e.attempt.arrived = r.Header.Get("X-Request-Id"), b.cluster.record.now()
		e.attempt.statedDeadline = time.Duration(ms) * time.Millisecond
	})
	e.answer()
	e.wait(0)
}

// receive hands on what the dispatcher sends, until the connection falls silent: what comes then arrives nowhere, but is still seen.
func (e *exchange) receive(out *io.PipeWriter) {
	defer close(e.closed)
	defer out.Close()
	record, buffer := e.cluster.record, make([]byte, 16<<10)
	for {
		n, err := e.conn.Read(buffer)
		now := record.now()
		if n > 0 {
			record.with(func() {
				if e.attempt.firstByte == 0 && buffer[0] == 'P' {
					e.attempt.firstByte = now
					record.attempts = append(record.attempts, e.attempt)
				}
			})
		}
		if draw, resets := e.faultActive(BackendResets); n > 0 && resets && draw%3 == 0 {
			e.reset() // before the request's last byte
		}
		if n > 0 && !e.isSilent() {
			out.Write(buffer[:n])
		}
		if err != nil {
			record.with(func() { e.attempt.closed = now })
			return
		}
	}
}

// silent tells whether the connection has fallen silent.
func (e *exchange) isSilent() bool {
	_, wrong := e.faultActive(BackendSilent)
	draw, mute := e.faultActive(BackendMute)
	if wrong || mute && (draw%2 == 0 || e.connNumber%2 == 0) {
		e.silenced.Store(true)
	}
	return e.silenced.Load()
}

// reset resets the connection.
func (e *exchange) reset() {
	e.conn.SetLinger(0)
	e.conn.Close()
}

// await waits for so long, 0: for ever; false: the dispatcher has closed before.
func (e *exchange) wait(wait time.Duration) bool {
	if wait == 0 {
		<-e.closed
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-e.closed:
		return false
	}
}

// release lets go of what is held for a request, at whatever backend.
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

// abandoned tells whether the dispatcher has closed the attempt's connection: its state is not kept then.
func (e *exchange) closedByDispatcher() (gone bool) {
	e.cluster.record.with(func() { gone = e.attempt.closed > 0 })
	return gone
}

// hold and drop take note of what waits for a request.
func (f *cluster) storeKVCache(id string) {
	f.mu.Lock()
	f.cached[id] = true
	f.mu.Unlock()
	f.record.with(func() { f.record.cacheEvents = append(f.record.cacheEvents, cacheEvent{id, f.record.now(), true}) })
}

func (f *cluster) dropKVCache(id string) (was bool) {
	f.mu.Lock()
	was = f.cached[id]
	delete(f.cached, id)
	f.mu.Unlock()
	f.record.with(func() { f.record.cacheEvents = append(f.record.cacheEvents, cacheEvent{id, f.record.now(), false}) })
	return was
}

func (f *cluster) hasKVCache(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cached[id]
}

// say writes an answer as it is; last: the attempt is over with it.
func (e *exchange) write(raw string, last bool) bool {
	if e.isSilent() {
		return true // it goes nowhere
	}
	if last {
		e.cluster.record.with(func() { e.attempt.answered = e.cluster.record.now() })
	}
	_, err := io.WriteString(e.conn, raw)
	return err == nil
}

// answer does the work that was asked for, or goes wrong.
func (e *exchange) answer() {
	if _, full := e.faultActive(BackendFull); full {
		e.cluster.record.with(func() { e.attempt.neverRan = true })
		e.write(hosts.Rejection(503, true), true)
		return
	}
	if _, fails := e.faultActive(BackendFails); fails {
		e.write(hosts.Rejection(500, false), true)
		return
	}
	draw, hangs := e.faultActive(BackendHangs)
	if hangs && draw%3 == 0 {
		e.wait(0) // before its work
		return
	}
	if draw, resets := e.faultActive(BackendResets); resets && draw%3 == 1 {
		e.reset() // right behind the request
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
			e.wait(0) // behind its work
			return
		}
		e.write("HTTP/1.1 202 Accepted\r\nX-Server-Load: util=0.5,queue=2,x0=0.25\r\nContent-Length: 21\r\n\r\n{\"cached_tokens\":100}", true)
		return
	}
	if !e.cluster.hasKVCache(e.attempt.id) {
		e.cluster.record.with(func() { e.attempt.neverRan = true })
		e.write(hosts.Rejection(410, true), true)
		return
	}
	e.stream(hangs)
}

// eventText is the text of an event, with the time at which it is written: its client tells by that whether it was held back.
func eventText(number int, now time.Duration) string { return fmt.Sprintf("t%d@%d;", number, now) }

// stream writes an answer, event by event.
func (e *exchange) stream(hangs bool) {
	e.cluster.dropKVCache(e.attempt.id)
	draw, spoils := e.faultActive(BackendSpoils)
	if spoils && draw%3 == 0 {
		e.write("noise\x00\x01 and no head", true)
		return
	}
	if !e.write(hosts.StreamHead, false) {
		return
	}
	tokens := minTokens + len(e.attempt.id)*7%(maxTokens-minTokens)
	for i := range tokens {
		if !e.write(hosts.EncodeChunk(hosts.TextEvent(eventText(i, e.cluster.record.now()))), false) || !e.wait(tokenTime) {
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
	end := hosts.EncodeChunk(hosts.UsageEvent+hosts.DoneEvent) + hosts.LastChunk
	if spoils {
		end += hosts.StreamHead + hosts.EncodeChunk(hosts.TextEvent("again")) // a second answer right behind
	}
	wrote := e.write(end, true)
	e.cluster.record.with(func() { e.attempt.finished = wrote && !e.silenced.Load() })
}
