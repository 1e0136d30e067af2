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
	uid     string
	prefill bool
	farm    *farm
	at      []string // where each dispatcher reaches it
	rack    int
	cut     sync.Mutex // held while it is cut off

	mu      sync.Mutex
	listens []net.Listener
	closed  bool
	wrong   map[Kind]activeFault
	state   string // as discovery has it
	booted  time.Duration
	bootMs  int64
	taken   atomic.Uint64 // connections that were taken
}

// activeFault is a fault while it lasts.
type activeFault struct {
	until time.Duration
	draw  uint64
}

// farm is all backends, and what they hold.
type farm struct {
	record   *record
	backends []*backend

	mu   sync.Mutex
	held map[string]bool // requests whose state waits somewhere
	done sync.WaitGroup
}

const (
	prefillWork = 15 * time.Millisecond
	decodeWork  = 10 * time.Millisecond
	tokenTime   = 5 * time.Millisecond
	tokensLeast = 3
	tokensMost  = 20
	slowFactor  = 12
	noticeTime  = 2 * time.Millisecond // for what came before a release to be noticed, a close above all
	rackSize    = 3
	backendNet  = 64 // the second byte of backends' addresses, which nothing else uses
)

// address is the loopback address of a backend: each has one of its own, as thousands of listeners would else take the ports that
// connections need.
func (f *farm) address() string {
	number := len(f.backends) + 1
	return fmt.Sprintf("127.%d.%d.%d:0", backendNet+number>>16, number>>8&0xff, number&0xff)
}

// addBackend opens a backend with an address for each dispatcher.
func (f *farm) addBackend(uid string, prefill bool, dispatchers int) error {
	b := &backend{uid: uid, prefill: prefill, rack: len(f.backends) / rackSize, farm: f, wrong: map[Kind]activeFault{}, state: "in_service"}
	for d := range dispatchers {
		l, err := net.Listen("tcp", f.address())
		if err != nil {
			return err
		}
		b.at, b.listens = append(b.at, l.Addr().String()), append(b.listens, l)
		b.accept(l, d)
	}
	f.backends = append(f.backends, b)
	return nil
}

// accept has a listener's connections served.
func (b *backend) accept(l net.Listener, dispatcher int) {
	done := &b.farm.done
	done.Go(func() { acceptAll(l, done, func(c net.Conn) { b.serve(c.(*net.TCPConn), dispatcher) }) })
}

// cutOff has the backend be cut off for a while: connections that stand fall silent, and new ones neither come up nor are refused.
func (b *backend) cutOff(ctx context.Context, length time.Duration, draw uint64) {
	b.cut.Lock()
	defer b.cut.Unlock()
	var filling sync.WaitGroup
	var stuck [][]net.Conn
	for range b.listens {
		stuck = append(stuck, nil)
	}
	for d := range b.listens {
		filling.Go(func() {
			if l := b.reopen(d); l != nil {
				stuck[d], _ = standin.FillBacklog(l)
			}
		})
	}
	filling.Wait()
	b.goesWrong(BackendSilent, b.farm.record.now()+length, draw)
	system.Sleep(ctx, length)
	for d := range b.listens {
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
	b.listens[dispatcher].Close()
	for range 50 {
		if l, err := net.Listen("tcp", b.at[dispatcher]); err == nil {
			b.listens[dispatcher] = l
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
	for _, l := range b.listens {
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
func (b *backend) goesWrong(kind Kind, until time.Duration, draw uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.wrong[kind] = activeFault{until, draw}
}

// wrongNow tells whether a kind of fault lasts, and its draw.
func (b *backend) wrongNow(kind Kind) (uint64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, ok := b.wrong[kind]
	return w.draw, ok && b.farm.record.now() < w.until
}

// restart has the backend be a new process in slow start.
func (b *backend) restart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.booted, b.bootMs = b.farm.record.now(), time.Now().UnixMilli()
}

// exchange is one connection of a dispatcher.
type exchange struct {
	*backend
	conn    *net.TCPConn
	attempt *attempt
	dead    atomic.Bool   // the connection has fallen silent, both ways and for good
	gone    chan struct{} // closed when the dispatcher has closed
	in      *io.PipeReader
	number  uint64 // of the connection
}

// serve takes the one request of a connection.
func (b *backend) serve(conn *net.TCPConn, dispatcher int) {
	e := &exchange{backend: b, conn: conn, gone: make(chan struct{}), number: b.taken.Add(1), attempt: &attempt{dispatcher: dispatcher, backend: b.uid, prefill: b.prefill}}
	in, out := io.Pipe()
	e.in = in
	b.farm.done.Go(func() { e.receive(out) })
	defer func() { conn.Close(); in.Close(); <-e.gone }()
	r, err := http.ReadRequest(bufio.NewReader(in))
	if err != nil {
		e.await(0)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		e.await(0)
		return
	}
	if r.Method == http.MethodDelete {
		e.release(strings.TrimPrefix(r.URL.Path, "/v1/holds/"))
		return
	}
	ms, _ := strconv.Atoi(r.Header.Get("X-Timeout-Ms"))
	b.farm.record.with(func() {
		e.attempt.id, e.attempt.arrived = r.Header.Get("X-Request-Id"), b.farm.record.now()
		e.attempt.told = time.Duration(ms) * time.Millisecond
	})
	e.answer()
	e.await(0)
}

// receive hands on what the dispatcher sends, until the connection falls silent: what comes then arrives nowhere, but is still seen.
func (e *exchange) receive(out *io.PipeWriter) {
	defer close(e.gone)
	defer out.Close()
	record, buffer := e.farm.record, make([]byte, 16<<10)
	for {
		n, err := e.conn.Read(buffer)
		now := record.now()
		if n > 0 {
			record.with(func() {
				if e.attempt.first == 0 && buffer[0] == 'P' {
					e.attempt.first = now
					record.attempts = append(record.attempts, e.attempt)
				}
			})
		}
		if draw, resets := e.wrongNow(BackendResets); n > 0 && resets && draw%3 == 0 {
			e.reset() // before the request's last byte
		}
		if n > 0 && !e.silent() {
			out.Write(buffer[:n])
		}
		if err != nil {
			record.with(func() { e.attempt.closed = now })
			return
		}
	}
}

// silent tells whether the connection has fallen silent.
func (e *exchange) silent() bool {
	_, wrong := e.wrongNow(BackendSilent)
	draw, mute := e.wrongNow(BackendMute)
	if wrong || mute && (draw%2 == 0 || e.number%2 == 0) {
		e.dead.Store(true)
	}
	return e.dead.Load()
}

// reset resets the connection.
func (e *exchange) reset() {
	e.conn.SetLinger(0)
	e.conn.Close()
}

// await waits for so long, 0: for ever; false: the dispatcher has closed before.
func (e *exchange) await(wait time.Duration) bool {
	if wait == 0 {
		<-e.gone
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-e.gone:
		return false
	}
}

// release lets go of what is held for a request, at whatever backend.
func (e *exchange) release(id string) {
	if _, hangs := e.wrongNow(BackendHangs); hangs {
		e.await(0)
		return
	}
	time.Sleep(noticeTime)
	e.farm.drop(id)
	io.WriteString(e.conn, "HTTP/1.1 204 No Content\r\n\r\n")
	e.await(0)
}

// abandoned tells whether the dispatcher has closed the attempt's connection: its state is not kept then.
func (e *exchange) abandoned() (gone bool) {
	e.farm.record.with(func() { gone = e.attempt.closed > 0 })
	return gone
}

// hold and drop take note of what waits for a request.
func (f *farm) hold(id string) {
	f.mu.Lock()
	f.held[id] = true
	f.mu.Unlock()
	f.record.with(func() { f.record.holds = append(f.record.holds, holdEvent{id, f.record.now(), true}) })
}

func (f *farm) drop(id string) (was bool) {
	f.mu.Lock()
	was = f.held[id]
	delete(f.held, id)
	f.mu.Unlock()
	f.record.with(func() { f.record.holds = append(f.record.holds, holdEvent{id, f.record.now(), false}) })
	return was
}

func (f *farm) holds(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.held[id]
}

// say writes an answer as it is; last: the attempt is over with it.
func (e *exchange) say(raw string, last bool) bool {
	if e.silent() {
		return true // it goes nowhere
	}
	if last {
		e.farm.record.with(func() { e.attempt.answered = e.farm.record.now() })
	}
	_, err := io.WriteString(e.conn, raw)
	return err == nil
}

// answer does the work that was asked for, or goes wrong.
func (e *exchange) answer() {
	if _, full := e.wrongNow(BackendFull); full {
		e.farm.record.with(func() { e.attempt.neverRan = true })
		e.say(hosts.Rejection(503, true), true)
		return
	}
	if _, fails := e.wrongNow(BackendFails); fails {
		e.say(hosts.Rejection(500, false), true)
		return
	}
	draw, hangs := e.wrongNow(BackendHangs)
	if hangs && draw%3 == 0 {
		e.await(0) // before its work
		return
	}
	if draw, resets := e.wrongNow(BackendResets); resets && draw%3 == 1 {
		e.reset() // right behind the request
		return
	}
	work := prefillWork
	if !e.prefill {
		work = decodeWork
	}
	if _, slow := e.wrongNow(BackendSlow); slow {
		work *= slowFactor
	}
	if !e.await(work) {
		return
	}
	if e.prefill {
		if e.abandoned() {
			return
		}
		e.farm.hold(e.attempt.id)
		if hangs {
			e.await(0) // behind its work
			return
		}
		e.say("HTTP/1.1 202 Accepted\r\nX-Server-Load: util=0.5,queue=2,x0=0.25\r\nContent-Length: 21\r\n\r\n{\"cached_tokens\":100}", true)
		return
	}
	if !e.farm.holds(e.attempt.id) {
		e.farm.record.with(func() { e.attempt.neverRan = true })
		e.say(hosts.Rejection(410, true), true)
		return
	}
	e.stream(hangs)
}

// eventText is the text of an event, with the time at which it is written: its client tells by that whether it was held back.
func eventText(number int, now time.Duration) string { return fmt.Sprintf("t%d@%d;", number, now) }

// stream writes an answer, event by event.
func (e *exchange) stream(hangs bool) {
	e.farm.drop(e.attempt.id)
	draw, spoils := e.wrongNow(BackendSpoils)
	if spoils && draw%3 == 0 {
		e.say("noise\x00\x01 and no head", true)
		return
	}
	if !e.say(hosts.StreamHead, false) {
		return
	}
	tokens := tokensLeast + len(e.attempt.id)*7%(tokensMost-tokensLeast)
	for i := range tokens {
		if !e.say(hosts.EncodeChunk(hosts.TextEvent(eventText(i, e.farm.record.now()))), false) || !e.await(tokenTime) {
			return
		}
		if hangs && i == 1 {
			e.await(0)
			return
		}
		if draw, resets := e.wrongNow(BackendResets); resets && draw%3 == 2 {
			e.reset()
			return
		}
		if spoils && draw%3 == 1 {
			e.say("zz\r\nno chunk", true)
			return
		}
	}
	end := hosts.EncodeChunk(hosts.UsageEvent+hosts.DoneEvent) + hosts.LastChunk
	if spoils {
		end += hosts.StreamHead + hosts.EncodeChunk(hosts.TextEvent("again")) // a second answer right behind
	}
	wrote := e.say(end, true)
	e.farm.record.with(func() { e.attempt.finished = wrote && !e.dead.Load() })
}
