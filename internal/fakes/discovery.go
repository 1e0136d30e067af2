package fakes

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
	"sloetrestle/internal/endpointlist"
	"sloetrestle/internal/record"
)

// Discovery is a fake service discovery. It pushes changes to every dispatcher after a delay. It knows only
// whether the process of a backend runs, not whether its addresses work.
type Discovery struct {
	fleet   *Fleet
	Address string

	mu         sync.Mutex
	changes    []listChange
	extraDelay time.Duration // added to the delay of each change
	dropNext   bool          // the next push of changes to a dispatcher is lost
	ctx        context.Context
	cancel     context.CancelFunc
	server     *http.Server
	serving    sync.WaitGroup
	omitted    map[string][]int // indices of the addresses that are not listed, by backend
}

// listChange is a published change: the new state of one backend.
type listChange struct {
	visibleAt time.Duration
	backend   endpointlist.Endpoint
	startedAt time.Duration // when the process of the backend started
	slowStart bool
}

const (
	watchPollInterval = 10 * time.Millisecond // how often a watch looks for something to push
	heartbeatInterval = time.Second           // an empty push is sent after this long without another
)

// NewDiscovery returns a service discovery at an address; Start starts it.
func (f *Fleet) NewDiscovery(addr string) *Discovery { return &Discovery{fleet: f, Address: addr} }

// Start starts serving. It may be called again after Stop.
func (d *Discovery) Start() error {
	listener, err := listenWithRetry("tcp", d.Address)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ctx, d.cancel = context.WithCancel(context.Background())
	ctx := d.ctx
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/boxes/watch", d.watch)
	d.server = &http.Server{
		Handler: mux, ErrorLog: log.New(io.Discard, "", 0),
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	server := d.server
	d.serving.Add(1)
	go func() { defer d.serving.Done(); server.Serve(listener) }()
	return nil
}

// Stop closes the listener and all watches. Dispatchers receive nothing until Start is called again.
func (d *Discovery) Stop() {
	d.mu.Lock()
	server := d.server
	d.cancel()
	d.mu.Unlock()
	server.Close()
	d.serving.Wait()
}

// SetDelay adds a delay to all changes that are published from now on.
func (d *Discovery) SetDelay(delay time.Duration) {
	d.mu.Lock()
	d.extraDelay = delay
	d.mu.Unlock()
}

// DropNextPush loses the next push of changes, so that the dispatcher that should get it sees a gap in the
// versions.
func (d *Discovery) DropNextPush() {
	d.mu.Lock()
	d.dropNext = true
	d.mu.Unlock()
}

// Publish announces the state of a backend after a delay. Changes become visible in the order of their
// publication.
func (d *Discovery) Publish(b *Backend, state string, delay time.Duration) {
	uptime, slowStart, startNumber := b.Uptime()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.fleet.Record.Elapsed()
	visible := now + delay + d.extraDelay
	if n := len(d.changes); n > 0 {
		visible = max(visible, d.changes[n-1].visibleAt)
	}
	d.changes = append(d.changes, listChange{visible, endpointlist.Endpoint{
		Name: b.Name, Addresses: d.listedAddresses(b), Kind: b.Kind, Zone: b.Zone, Rack: b.Rack, State: state,
		Units: b.Units, Incarnation: startNumber,
	}, now - uptime, slowStart})
}

// OmitAddresses leaves the addresses with the given indices out of what is published of a backend from now on.
func (d *Discovery) OmitAddresses(b *Backend, indices []int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.omitted == nil {
		d.omitted = map[string][]int{}
	}
	d.omitted[b.Name] = indices
}

// listedAddresses returns the addresses of a backend that are not omitted. d.mu must be held.
func (d *Discovery) listedAddresses(b *Backend) []addresses.Spec {
	var listed []addresses.Spec
	for i, address := range b.Addresses {
		if !slices.Contains(d.omitted[b.Name], i) {
			listed = append(listed, address)
		}
	}
	return listed
}

// entry returns the change as it is pushed now. UptimeMs is -1 for a backend that isn't warming up.
func (c listChange) entry(now time.Duration) endpointlist.Endpoint {
	b := c.backend
	b.UptimeMs = -1
	if c.slowStart {
		b.UptimeMs = (now - c.startedAt).Milliseconds()
	}
	return b
}

// countVisible returns the number of changes that are visible at a time. d.mu must be held.
func (d *Discovery) countVisible(now time.Duration) int {
	n := 0
	for n < len(d.changes) && d.changes[n].visibleAt <= now {
		n++
	}
	return n
}

// nextPush returns the next push for a dispatcher: the full list, or the one change after its version. It returns
// nil when there is nothing new.
func (d *Discovery) nextPush(version int, full bool) *endpointlist.Update {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.fleet.Record.Elapsed()
	n := d.countVisible(now)
	if !full && version >= n {
		return nil
	}
	if !full {
		return &endpointlist.Update{
			Version: uint64(version + 1), Base: uint64(version),
			Endpoints: []endpointlist.Endpoint{d.changes[version].entry(now)},
		}
	}
	last := map[string]int{}
	for i := range n {
		last[d.changes[i].backend.Name] = i
	}
	push := &endpointlist.Update{Version: uint64(n), Full: true}
	for i := range n {
		if change := d.changes[i]; last[change.backend.Name] == i && change.backend.State != endpointlist.Removed {
			push.Endpoints = append(push.Endpoints, change.entry(now))
		}
	}
	return push
}

// watch streams the full list and then the changes to a dispatcher, which sends the version it has.
func (d *Discovery) watch(w http.ResponseWriter, r *http.Request) {
	dispatcher := r.URL.Query().Get("dispatcher")
	version, _ := strconv.Atoi(r.URL.Query().Get("have"))
	d.mu.Lock()
	full := version <= 0 || version > len(d.changes)
	d.mu.Unlock()
	encoder, controller := json.NewEncoder(w), http.NewResponseController(w)
	lastSent := time.Now()
	var known map[string]bool
	for {
		push := d.nextPush(version, full)
		if push == nil && time.Since(lastSent) >= heartbeatInterval {
			push = &endpointlist.Update{Version: uint64(version), Base: uint64(version)}
		}
		if push != nil {
			d.mu.Lock()
			lost := d.dropNext && len(push.Endpoints) > 0 && !push.Full
			if lost {
				d.dropNext = false
			}
			d.mu.Unlock()
			version, full, lastSent = int(push.Version), false, time.Now()
			if !lost {
				if encoder.Encode(push) != nil || controller.Flush() != nil {
					return
				}
				known = d.recordNotified(dispatcher, push, known)
			}
			continue
		}
		if sleep(r.Context(), watchPollInterval) != nil {
			return
		}
	}
}

// recordNotified records of which changes a dispatcher has been notified. A backend that a full list omits counts
// as removed.
func (d *Discovery) recordNotified(dispatcher string, push *endpointlist.Update,
	known map[string]bool) map[string]bool {
	if known == nil {
		known = map[string]bool{}
	}
	if push.Full {
		listed := map[string]bool{}
		for _, b := range push.Endpoints {
			listed[b.Name] = true
		}
		for name := range known {
			if !listed[name] {
				d.fleet.Record.Record(record.Event{Kind: record.EndpointNotified, Dispatcher: dispatcher, Backend: name,
					Detail: endpointlist.Removed})
			}
		}
		known = map[string]bool{}
	}
	for _, b := range push.Endpoints {
		known[b.Name] = true
		d.fleet.Record.Record(record.Event{
			Kind: record.EndpointNotified, Dispatcher: dispatcher, Backend: b.Name, Detail: b.State, StartID: b.Incarnation,
		})
	}
	return known
}
