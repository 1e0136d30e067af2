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
type List struct {
	fleet   *Fleet
	Address string

	mu      sync.Mutex
	changes []change
	stale   time.Duration // by which it is later than usual
	skip    bool          // the next push to each dispatcher is lost
	life    context.Context
	stop    context.CancelFunc
	server  *http.Server
	served  sync.WaitGroup
	dropped map[string][]int
}

type change struct {
	visible time.Duration
	box     boxlist.Box
	started time.Duration
	cold    bool
}

const (
	listStep = 10 * time.Millisecond // how often a connection is looked after
	listBeat = time.Second
)

// NewList makes the list; Open starts it.
func (f *Fleet) NewList(addr string) *List { return &List{fleet: f, Address: addr} }

// Open starts serving, also again after Shut.
func (l *List) Open() error {
	listener, err := listen("tcp", l.Address)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.life, l.stop = context.WithCancel(context.Background())
	life := l.life
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/boxes/watch", l.watch)
	l.server = &http.Server{Handler: mux, ErrorLog: log.New(io.Discard, "", 0), BaseContext: func(net.Listener) context.Context { return life }}
	server := l.server
	l.served.Add(1)
	go func() { defer l.served.Done(); server.Serve(listener) }()
	return nil
}

// Shut ends it: dispatchers hear nothing until it opens again.
func (l *List) Shut() {
	l.mu.Lock()
	server := l.server
	l.stop()
	l.mu.Unlock()
	server.Close()
	l.served.Wait()
}

// Stale makes all that it says later; Skip loses the next push.
func (l *List) Stale(by time.Duration) {
	l.mu.Lock()
	l.stale = by
	l.mu.Unlock()
}

func (l *List) Skip() {
	l.mu.Lock()
	l.skip = true
	l.mu.Unlock()
}

// Publish says of a box what will be visible after a while; changes become visible in their order.
func (l *List) Publish(b *Box, standing string, after time.Duration) {
	up, cold, start := b.UpFor()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.fleet.Book.Elapsed()
	visible := now + after + l.stale
	if n := len(l.changes); n > 0 {
		visible = max(visible, l.changes[n-1].visible)
	}
	l.changes = append(l.changes, change{visible, boxlist.Box{
		Name: b.Name, Addresses: l.named(b), Kind: b.Kind, Zone: b.Zone, Rack: b.Rack, Standing: standing, Units: b.Units, Start: start,
	}, now - up, cold})
}

// Drop leaves addresses of a box out of what the list says from now on.
func (l *List) Drop(b *Box, which []int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dropped == nil {
		l.dropped = map[string][]int{}
	}
	l.dropped[b.Name] = which
}

func (l *List) named(b *Box) []addresses.Spec {
	var at []addresses.Spec
	for i, a := range b.Addresses {
		if !slices.Contains(l.dropped[b.Name], i) {
			at = append(at, a)
		}
	}
	return at
}

// line is a change as it is said now.
func (c change) line(now time.Duration) boxlist.Box {
	b := c.box
	b.UpMs = -1
	if c.cold {
		b.UpMs = (now - c.started).Milliseconds()
	}
	return b
}

// visible counts the changes that may be known now.
func (l *List) visible(now time.Duration) int {
	n := 0
	for n < len(l.changes) && l.changes[n].visible <= now {
		n++
	}
	return n
}

// next makes the push that brings a dispatcher from version have to what is visible; nil: there is nothing new.
func (l *List) next(have int, whole bool) *boxlist.Push {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.fleet.Book.Elapsed()
	n := l.visible(now)
	if !whole && have >= n {
		return nil
	}
	if !whole {
		return &boxlist.Push{Version: uint64(have + 1), Base: uint64(have), Boxes: []boxlist.Box{l.changes[have].line(now)}}
	}
	last := map[string]int{}
	for i := range n {
		last[l.changes[i].box.Name] = i
	}
	p := &boxlist.Push{Version: uint64(n), Whole: true}
	for i := range n {
		if c := l.changes[i]; last[c.box.Name] == i && c.box.Standing != boxlist.Gone {
			p.Boxes = append(p.Boxes, c.line(now))
		}
	}
	return p
}

func (l *List) watch(w http.ResponseWriter, r *http.Request) {
	who := r.URL.Query().Get("dispatcher")
	have, _ := strconv.Atoi(r.URL.Query().Get("have"))
	l.mu.Lock()
	whole := have <= 0 || have > len(l.changes)
	l.mu.Unlock()
	out, ctl := json.NewEncoder(w), http.NewResponseController(w)
	beat := time.Now()
	var known map[string]bool
	for {
		p := l.next(have, whole)
		if p == nil && time.Since(beat) >= listBeat {
			p = &boxlist.Push{Version: uint64(have), Base: uint64(have)}
		}
		if p != nil {
			l.mu.Lock()
			lost := l.skip && len(p.Boxes) > 0 && !p.Whole
			if lost {
				l.skip = false
			}
			l.mu.Unlock()
			have, whole, beat = int(p.Version), false, time.Now()
			if !lost {
				if out.Encode(p) != nil || ctl.Flush() != nil {
					return
				}
				known = l.told(who, p, known)
			}
			continue
		}
		if sleep(r.Context(), listStep) != nil {
			return
		}
	}
}

// told takes down what a dispatcher was told; a box that a whole list leaves out is gone.
func (l *List) told(who string, p *boxlist.Push, known map[string]bool) map[string]bool {
	if known == nil {
		known = map[string]bool{}
	}
	if p.Whole {
		in := map[string]bool{}
		for _, b := range p.Boxes {
			in[b.Name] = true
		}
		for name := range known {
			if !in[name] {
				l.fleet.Book.Record(record.Event{Kind: record.EndpointNotified, Dispatcher: who, Backend: name, Detail: boxlist.Gone})
			}
		}
		known = map[string]bool{}
	}
	for _, b := range p.Boxes {
		known[b.Name] = true
		l.fleet.Book.Record(record.Event{Kind: record.EndpointNotified, Dispatcher: who, Backend: b.Name, Detail: b.Standing, StartID: b.Start})
	}
	return known
}
