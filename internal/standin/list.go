package standin

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"sloetrestle/internal/addresses"
	"sloetrestle/internal/boxlist"
	"sloetrestle/internal/record"
)

// List is the stand-in box list: it pushes changes to every dispatcher, late, and knows only of processes.
type Discovery struct {
	fleet   *Fleet
	Address string

	mu         sync.Mutex
	changes    []listChange
	extraDelay time.Duration // by which it is later than usual
	dropNext   bool          // the next push to each dispatcher is lost
	ctx        context.Context
	cancel     context.CancelFunc
	server     *http.Server
	serving    sync.WaitGroup
	omitted    map[string][]int
}

type listChange struct {
	visibleAt time.Duration
	backend   boxlist.Endpoint
	startedAt time.Duration
	slowStart bool
}

const (
	watchPollInterval = 10 * time.Millisecond // how often a connection is looked after
	heartbeatInterval = time.Second
)

// NewList makes the list; Open starts it.
func (f *Fleet) NewDiscovery(addr string) *Discovery { return &Discovery{fleet: f, Address: addr} }

// Open starts serving, also again after Shut.
func (l *Discovery) Start() error {
	listener, err := listenWithRetry("tcp", l.Address)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ctx, l.cancel = context.WithCancel(context.Background())
	life := l.ctx
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/boxes/watch", l.watch)
	l.server = &http.Server{Handler: mux, ErrorLog: log.New(io.Discard, "", 0), BaseContext: func(net.Listener) context.Context { return life }}
	server := l.server
	l.serving.Add(1)
	go func() { defer l.serving.Done(); server.Serve(listener) }()
	return nil
}

// Shut ends it: dispatchers hear nothing until it opens again.
func (l *Discovery) Stop() {
	l.mu.Lock()
	server := l.server
	l.cancel()
	l.mu.Unlock()
	server.Close()
	l.serving.Wait()
}

// Stale makes all that it says later; Skip loses the next push.
func (l *Discovery) SetDelay(by time.Duration) {
	l.mu.Lock()
	l.extraDelay = by
	l.mu.Unlock()
}

func (l *Discovery) DropNextPush() {
	l.mu.Lock()
	l.dropNext = true
	l.mu.Unlock()
}

// Publish says of a box what will be visible after a while; changes become visible in their order.
func (l *Discovery) Publish(b *Backend, standing string, after time.Duration) {
	up, cold, start := b.Uptime()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.fleet.Record.Elapsed()
	visible := now + after + l.extraDelay
	if n := len(l.changes); n > 0 {
		visible = max(visible, l.changes[n-1].visibleAt)
	}
	l.changes = append(l.changes, listChange{visible, boxlist.Endpoint{
		Name: b.Name, Addresses: l.listedAddresses(b), Kind: b.Kind, Zone: b.Zone, Rack: b.Rack, State: standing, Units: b.Units, Incarnation: start,
	}, now - up, cold})
}

// Drop leaves addresses of a box out of what the list says from now on.
func (l *Discovery) OmitAddresses(b *Backend, which []int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.omitted == nil {
		l.omitted = map[string][]int{}
	}
	l.omitted[b.Name] = which
}

func (l *Discovery) listedAddresses(b *Backend) []addresses.Spec {
	var at []addresses.Spec
	for i, a := range b.Addresses {
		if !slices.Contains(l.omitted[b.Name], i) {
			at = append(at, a)
		}
	}
	return at
}

// line is a change as it is said now.
func (c listChange) entry(now time.Duration) boxlist.Endpoint {
	b := c.backend
	b.UptimeMs = -1
	if c.slowStart {
		b.UptimeMs = (now - c.startedAt).Milliseconds()
	}
	return b
}

// visible counts the changes that may be known now.
func (l *Discovery) countVisible(now time.Duration) int {
	n := 0
	for n < len(l.changes) && l.changes[n].visibleAt <= now {
		n++
	}
	return n
}

// next makes the push that brings a dispatcher from version have to what is visible; nil: there is nothing new.
func (l *Discovery) nextPush(have int, whole bool) *boxlist.Update {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.fleet.Record.Elapsed()
	n := l.countVisible(now)
	if !whole && have >= n {
		return nil
	}
	if !whole {
		return &boxlist.Update{Version: uint64(have + 1), Base: uint64(have), Endpoints: []boxlist.Endpoint{l.changes[have].entry(now)}}
	}
	last := map[string]int{}
	for i := range n {
		last[l.changes[i].backend.Name] = i
	}
	p := &boxlist.Update{Version: uint64(n), Full: true}
	for i := range n {
		if c := l.changes[i]; last[c.backend.Name] == i && c.backend.State != boxlist.Removed {
			p.Endpoints = append(p.Endpoints, c.entry(now))
		}
	}
	return p
}

func (l *Discovery) watch(w http.ResponseWriter, r *http.Request) {
	who := r.URL.Query().Get("dispatcher")
	have, _ := strconv.Atoi(r.URL.Query().Get("have"))
	l.mu.Lock()
	whole := have <= 0 || have > len(l.changes)
	l.mu.Unlock()
	out, ctl := json.NewEncoder(w), http.NewResponseController(w)
	beat := time.Now()
	var known map[string]bool
	for {
		p := l.nextPush(have, whole)
		if p == nil && time.Since(beat) >= heartbeatInterval {
			p = &boxlist.Update{Version: uint64(have), Base: uint64(have)}
		}
		if p != nil {
			l.mu.Lock()
			lost := l.dropNext && len(p.Endpoints) > 0 && !p.Full
			if lost {
				l.dropNext = false
			}
			l.mu.Unlock()
			have, whole, beat = int(p.Version), false, time.Now()
			if !lost {
				if out.Encode(p) != nil || ctl.Flush() != nil {
					return
				}
				known = l.recordNotified(who, p, known)
			}
			continue
		}
		if sleep(r.Context(), watchPollInterval) != nil {
			return
		}
	}
}

// told takes down what a dispatcher was told; a box that a whole list leaves out is gone.
func (l *Discovery) recordNotified(who string, p *boxlist.Update, known map[string]bool) map[string]bool {
	if known == nil {
		known = map[string]bool{}
	}
	if p.Full {
		in := map[string]bool{}
		for _, b := range p.Endpoints {
			in[b.Name] = true
		}
		for name := range known {
			if !in[name] {
				l.fleet.Record.Record(record.Event{Kind: record.EndpointNotified, Dispatcher: who, Backend: name, Detail: boxlist.Removed})
			}
		}
		known = map[string]bool{}
	}
	for _, b := range p.Endpoints {
		known[b.Name] = true
		l.fleet.Record.Record(record.Event{Kind: record.EndpointNotified, Dispatcher: who, Backend: b.Name, Detail: b.State, StartID: b.Incarnation})
	}
	return known
}
