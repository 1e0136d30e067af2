package kit2

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// target is an entry of discovery's list.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	PodGroup int     `json:"pod_group"`
	State    string  `json:"state"`
	Hint     float64 `json:"capacity_hint"`
	BootMs   int64   `json:"boot_ms"`
}

// message is what discovery writes.
type message struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []target `json:"targets"`
}

// registry is the list of model hosts with its changes.
type registry struct {
	mu      sync.Mutex
	rev     int64
	targets []target
	changes []message // one for each version after the first
	first   int64     // the version that the changes begin behind
	changed chan struct{}
}

func newRegistry(rev int64) *registry {
	return &registry{rev: rev, first: rev, changed: make(chan struct{})}
}

// list adds model hosts to the first version.
func (g *registry) list(hosts ...*host) {
	for _, h := range hosts {
		g.targets = append(g.targets, target{h.uid, h.address, h.zone, h.kind, h.rack, "in_service", 1, 0})
	}
}

// change makes one new version in which the named model hosts have a new state, and others are added.
func (g *registry) change(state string, uids []string, added ...*host) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rev++
	delta := message{Rev: g.rev}
	for i := range g.targets {
		for _, uid := range uids {
			if g.targets[i].UID == uid {
				g.targets[i].State = state
				delta.Targets = append(delta.Targets, g.targets[i])
			}
		}
	}
	for _, h := range added {
		t := target{h.uid, h.address, h.zone, h.kind, h.rack, "in_service", 1, time.Now().UnixMilli()}
		g.targets = append(g.targets, t)
		delta.Targets = append(delta.Targets, t)
	}
	g.changes = append(g.changes, delta)
	close(g.changed)
	g.changed = make(chan struct{})
}

// full returns the whole list.
func (g *registry) full() message {
	g.mu.Lock()
	defer g.mu.Unlock()
	return message{g.rev, true, append([]target{}, g.targets...)}
}

// after returns what changed after a version in one message, or the whole list if that is not known, and what is
// closed at the next change. Nothing has changed if the message has no entries.
func (g *registry) after(rev int64) (message, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if rev < g.first || rev > g.rev {
		return message{g.rev, true, append([]target{}, g.targets...)}, g.changed
	}
	merged := message{Rev: g.rev, Targets: []target{}}
	seen := map[string]int{}
	for _, change := range g.changes {
		if change.Rev <= rev {
			continue
		}
		for _, t := range change.Targets {
			if i, ok := seen[t.UID]; ok {
				merged.Targets[i] = t
				continue
			}
			seen[t.UID] = len(merged.Targets)
			merged.Targets = append(merged.Targets, t)
		}
	}
	return merged, g.changed
}

// agent is discovery at one address.
type agent struct {
	world    *world
	name     string
	address  string
	registry *registry
	listener net.Listener

	mu    sync.Mutex
	delay time.Duration // before each answer
	pace  int           // bytes a second at which it writes; 0: at once
	conns map[net.Conn]bool
	first time.Duration // when the first request came; 0: none has
}

// newAgent starts discovery at an address of its own.
func (w *world) newAgent(name string, registry *registry) *agent {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	a := &agent{
		world: w, name: name, address: listener.Addr().String(), registry: registry, listener: listener,
		conns: map[net.Conn]bool{},
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			a.mu.Lock()
			a.conns[conn] = true
			a.mu.Unlock()
			go a.serve(conn)
		}
	}()
	w.atEnd(func() {
		listener.Close()
		a.closeConns()
	})
	return a
}

func (a *agent) closeConns() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for conn := range a.conns {
		conn.Close()
	}
}

// slow makes the agent slow from now on.
func (a *agent) slow(delay time.Duration, pace int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.delay, a.pace = delay, pace
}

func (a *agent) speed() (delay time.Duration, pace int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.delay, a.pace
}

// serve answers the requests of one connection.
func (a *agent) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		a.mu.Lock()
		delete(a.conns, conn)
		a.mu.Unlock()
	}()
	requests := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		a.world.note("discovery %s: GET %s", a.name, r.RequestURI)
		a.mu.Lock()
		if a.first == 0 {
			a.first = a.world.now()
		}
		a.mu.Unlock()
		delay, _ := a.speed()
		time.Sleep(delay)
		if r.URL.Query().Get("stream") != "" {
			index, _ := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64)
			a.watch(conn, requests, index)
			return
		}
		raw, _ := json.Marshal(a.registry.full())
		if !a.write(conn, fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(raw), raw)) {
			return
		}
		a.world.note("discovery %s: wrote the whole list", a.name)
	}
}

// watch writes the changes after a version, one line for each object, and an empty line every 2 s.
func (a *agent) watch(conn net.Conn, requests *bufio.Reader, rev int64) {
	closed := make(chan struct{})
	go func() {
		requests.ReadByte()
		close(closed)
	}()
	if !a.write(conn, []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")) {
		return
	}
	for {
		change, next := a.registry.after(rev)
		line := []byte("\n")
		if len(change.Targets) > 0 {
			raw, _ := json.Marshal(change)
			line = append(raw, '\n')
			a.world.note("discovery %s: begins to write version %d, %d bytes", a.name, change.Rev, len(line))
		}
		began := a.world.now()
		if !a.writeLine(conn, line) {
			a.world.note("discovery %s: the watch was ended %.3f s after that", a.name, (a.world.now() - began).Seconds())
			return
		}
		if len(change.Targets) > 0 {
			a.world.note("discovery %s: wrote version %d in %.3f s", a.name, change.Rev, (a.world.now() - began).Seconds())
			rev = change.Rev
		}
		select {
		case <-closed:
			return
		case <-next:
		case <-time.After(2 * time.Second):
		}
	}
}

// writeLine writes a line, in chunks as they leave.
func (a *agent) writeLine(conn net.Conn, line []byte) bool {
	for len(line) > 0 {
		_, pace := a.speed()
		n := len(line)
		if pace > 0 {
			n = min(n, max(pace/10, 1))
		}
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", n, line[:n]); err != nil {
			return false
		}
		if line = line[n:]; pace > 0 && len(line) > 0 {
			time.Sleep(100 * time.Millisecond)
		}
	}
	return true
}

// write writes bytes at the agent's pace.
func (a *agent) write(conn net.Conn, raw []byte) bool {
	for len(raw) > 0 {
		_, pace := a.speed()
		n := len(raw)
		if pace > 0 {
			n = min(n, max(pace/10, 1))
		}
		if _, err := conn.Write(raw[:n]); err != nil {
			return false
		}
		if raw = raw[n:]; pace > 0 && len(raw) > 0 {
			time.Sleep(100 * time.Millisecond)
		}
	}
	return true
}
