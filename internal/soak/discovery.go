package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"sloetrestle/internal/hosts"
)

// discovery tells each dispatcher of the backends, through an agent of its own.
type discovery struct {
	record  *record
	cluster *cluster
	done    sync.WaitGroup

	mu       sync.Mutex
	revision int64
	agents   []*agent
}

// agent is one dispatcher's discovery, at either of two addresses.
type agent struct {
	*discovery
	dispatcher int
	listeners  [2]net.Listener

	// The discovery's lock guards these.
	current     int // the address that is followed
	silentUntil time.Duration
	slowUntil   time.Duration
	outages     []span // while it could not be reached, or answered late
	watches     map[net.Conn]int
	conns       map[net.Conn]int
}

const (
	heartbeatInterval = 2 * time.Second
	slowAnswerDelay   = 2 * time.Second
	oldAddressGrace   = 1500 * time.Millisecond // after a move, connections to the old address
)

// addAgent opens a dispatcher's discovery.
func (d *discovery) addAgent(dispatcher int) error {
	a := &agent{discovery: d, dispatcher: dispatcher, watches: map[net.Conn]int{}, conns: map[net.Conn]int{}}
	for i := range a.listeners {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		a.listeners[i] = l
		d.done.Go(func() { acceptAll(l, &d.done, func(c net.Conn) { a.serve(c, i) }) })
	}
	d.agents = append(d.agents, a)
	return nil
}

// address is where the agent is followed now.
func (a *agent) address() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.listeners[a.current].Addr().String()
}

// wholeMost is up to how many backends a change is told by the whole list.
const maxFullList = 50

// list is all that discovery has; the lock is held.
func (a *agent) fullList() []byte { return a.entries(a.cluster.backends, true) }

// entries is what discovery has of some backends; the lock is held.
func (a *agent) entries(backends []*backend, all bool) []byte {
	targets := []hosts.Target{}
	for _, b := range backends {
		b.mu.Lock()
		kind := hosts.DecodeKind
		if b.prefill {
			kind = hosts.PrefillKind
		}
		targets = append(targets, hosts.Target{
			UID: b.uid, Endpoint: b.endpoints[a.dispatcher], Zone: "hall-1", Kind: kind, Rack: b.rack, State: b.state, Units: 1, Boot: b.bootMs,
		})
		b.mu.Unlock()
	}
	raw, err := json.Marshal(map[string]any{"rev": a.revision, "all": all, "targets": targets})
	if err != nil {
		panic(err) // plain fields
	}
	return raw
}

// serve answers what a dispatcher asks.
func (a *agent) serve(c net.Conn, address int) {
	a.mu.Lock()
	a.conns[c] = address
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		delete(a.conns, c)
		delete(a.watches, c)
		a.mu.Unlock()
	}()
	for from := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(from)
		if err != nil {
			return
		}
		if a.isSlow() {
			time.Sleep(slowAnswerDelay)
		}
		if !a.answer(c, address, r.URL.Query().Get("stream") != "") {
			return
		}
	}
}

func (a *agent) isSlow() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.record.now() < a.slowUntil
}

// answer answers with the list, whole or as a watch's first push. While it is silent it answers nothing, and never will on this
// connection.
func (a *agent) answer(c net.Conn, address int, watch bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if address != a.current {
		return false
	}
	if a.record.now() < a.silentUntil {
		return true
	}
	raw := string(a.fullList())
	if !watch {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(raw), raw)
		return true
	}
	io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+hosts.EncodeChunk(raw+"\n"))
	a.watches[c] = address
	return true
}

// beat has watches hear that nothing changed.
func (d *discovery) heartbeat() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range d.agents {
		a.push(hosts.EncodeChunk("\n"))
	}
}

// push writes to the watches, and tells whether there was one to hear it; the lock is held.
func (a *agent) push(raw string) (heard bool) {
	if a.record.now() < a.silentUntil {
		return false
	}
	for c := range a.watches {
		if _, err := io.WriteString(c, raw); err == nil {
			heard = true
		}
	}
	return heard
}

// change changes what discovery says of a backend, and tells the watches.
func (d *discovery) change(b *backend, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b.mu.Lock()
	b.state = state
	b.mu.Unlock()
	d.revision++
	told, whole := d.cluster.backends, true
	if len(told) > maxFullList {
		told, whole = []*backend{b}, false
	}
	for _, a := range d.agents {
		now, written := d.record.now(), time.Duration(0)
		if a.push(hosts.EncodeChunk(string(a.entries(told, whole)) + "\n")) {
			written = now
		}
		d.record.with(func() {
			d.record.stateChanges = append(d.record.stateChanges, stateChange{b.uid, a.dispatcher, state == "in_service", now, written})
		})
	}
}

// silence has the agent say nothing until a time; its watches are dead from then on.
func (a *agent) silenceUntil(until time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silentUntil = max(a.silentUntil, until)
	clear(a.watches)
	a.outages = append(a.outages, span{a.record.now(), until})
}

// slowDown has the agent answer late until a time.
func (a *agent) slowDownUntil(until time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slowUntil = max(a.slowUntil, until)
	a.outages = append(a.outages, span{a.record.now(), until})
}

// reset cuts the agent's connections.
func (a *agent) reset() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		c.Close()
	}
}

// move has the other address be the one; the old one closes its connections after a while.
func (a *agent) move() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.current
	a.current = 1 - old
	time.AfterFunc(oldAddressGrace, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		for c, address := range a.conns {
			if address != a.current {
				c.Close()
			}
		}
	})
	return a.listeners[a.current].Addr().String()
}

// close ends it.
func (d *discovery) close() {
	for _, a := range d.agents {
		for _, l := range a.listeners {
			l.Close()
		}
		a.reset()
	}
	d.done.Wait()
}
