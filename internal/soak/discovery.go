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

	"sloetrestle/internal/testbackends"
)

// discovery emulates service discovery: each dispatcher has an agent of its own that lists the backends and pushes
// changes.
type discovery struct {
	record  *record
	cluster *cluster
	done    sync.WaitGroup

	mu       sync.Mutex
	revision int64
	agents   []*agent
}

// agent is the discovery endpoint of one dispatcher. It has two addresses, of which one is current.
type agent struct {
	*discovery
	dispatcher int
	listeners  [2]net.Listener

	// Guarded by discovery.mu.
	current     int // index of the current address
	silentUntil time.Duration
	slowUntil   time.Duration
	outages     []span // times in which the agent was unreachable or slow
	watches     map[net.Conn]int
	conns       map[net.Conn]int
}

const (
	heartbeatInterval = 2 * time.Second
	slowAnswerDelay   = 2 * time.Second
	oldAddressGrace   = 1500 * time.Millisecond // after a move, for connections to the old address
)

// addAgent starts the discovery agent of a dispatcher.
func (d *discovery) addAgent(dispatcher int) error {
	a := &agent{discovery: d, dispatcher: dispatcher, watches: map[net.Conn]int{}, conns: map[net.Conn]int{}}
	for i := range a.listeners {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		a.listeners[i] = listener
		d.done.Go(func() { acceptAll(listener, &d.done, func(c net.Conn) { a.serve(c, i) }) })
	}
	d.agents = append(d.agents, a)
	return nil
}

// address returns the current address of the agent.
func (a *agent) address() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.listeners[a.current].Addr().String()
}

// maxFullList is the number of backends up to which a change is pushed as the full list.
const maxFullList = 50

// fullList returns the list of all backends. discovery.mu must be held.
func (a *agent) fullList() []byte { return a.entries(a.cluster.backends, true) }

// entries returns the list for some backends; all marks it as the full list. discovery.mu must be held.
func (a *agent) entries(backends []*backend, all bool) []byte {
	targets := []testbackends.Target{}
	for _, b := range backends {
		b.mu.Lock()
		kind := testbackends.DecodeKind
		if b.prefill {
			kind = testbackends.PrefillKind
		}
		targets = append(targets, testbackends.Target{
			UID: b.uid, Endpoint: b.endpoints[a.dispatcher], Zone: "hall-1", Kind: kind, Rack: b.rack, State: b.state, Units: 1,
			Boot: b.bootMs,
		})
		b.mu.Unlock()
	}
	raw, err := json.Marshal(map[string]any{"rev": a.revision, "all": all, "targets": targets})
	if err != nil {
		panic(err) // cannot fail: only strings, numbers and booleans
	}
	return raw
}

// serve answers the requests on a connection of a dispatcher.
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
	for reader := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(reader)
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

// answer sends the full list, as a plain answer or as the first push of a watch. It returns false to close the
// connection. A request that comes while the agent is silent is never answered.
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
	io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+testbackends.EncodeChunk(raw+"\n"))
	a.watches[c] = address
	return true
}

// heartbeat sends an empty line to all watches.
func (d *discovery) heartbeat() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range d.agents {
		a.push(testbackends.EncodeChunk("\n"))
	}
}

// push writes to the watches and reports whether a write succeeded. discovery.mu must be held.
func (a *agent) push(raw string) (written bool) {
	if a.record.now() < a.silentUntil {
		return false
	}
	for c := range a.watches {
		if _, err := io.WriteString(c, raw); err == nil {
			written = true
		}
	}
	return written
}

// change sets the listed state of a backend and pushes it to the watches.
func (d *discovery) change(b *backend, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b.mu.Lock()
	b.state = state
	b.mu.Unlock()
	d.revision++
	changed, all := d.cluster.backends, true
	if len(changed) > maxFullList {
		changed, all = []*backend{b}, false
	}
	for _, a := range d.agents {
		now, written := d.record.now(), time.Duration(0)
		if a.push(testbackends.EncodeChunk(string(a.entries(changed, all)) + "\n")) {
			written = now
		}
		d.record.with(func() {
			d.record.stateChanges = append(d.record.stateChanges,
				stateChange{b.uid, a.dispatcher, state == "in_service", now, written})
		})
	}
}

// silenceUntil makes the agent send nothing until the given time. Its present watches stay dead after that.
func (a *agent) silenceUntil(until time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silentUntil = max(a.silentUntil, until)
	clear(a.watches)
	a.outages = append(a.outages, span{a.record.now(), until})
}

// slowDownUntil makes the agent answer late until the given time.
func (a *agent) slowDownUntil(until time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slowUntil = max(a.slowUntil, until)
	a.outages = append(a.outages, span{a.record.now(), until})
}

// reset closes all connections of the agent.
func (a *agent) reset() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for c := range a.conns {
		c.Close()
	}
}

// move makes the other address the current one and returns it. Connections to the old address are closed after
// oldAddressGrace.
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

// close closes all listeners and connections and waits for their goroutines.
func (d *discovery) close() {
	for _, a := range d.agents {
		for _, listener := range a.listeners {
			listener.Close()
		}
		a.reset()
	}
	d.done.Wait()
}
