package kit2

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// arrival is a request that came to a model host.
type arrival struct {
	at       time.Duration
	host     string
	id       string
	method   string
	timeout  string
	read     bool // it came to a reader
	neverRan bool // the host turned it away
	ended    time.Duration
}

// fleet is a set of model hosts with what they hold and what came to them.
type fleet struct {
	world *world

	mu       sync.Mutex
	hosts    []*host
	held     map[string]string        // reader that holds a read state, by request id
	heldFrom map[string]time.Duration // since when
	given    map[string]bool          // requests of which a first token was written
	waiting  map[string]int           // attempts at writers that wait for the state, by request id
	arrivals []*arrival
}

func (w *world) newFleet() *fleet {
	return &fleet{world: w, held: map[string]string{}, heldFrom: map[string]time.Duration{},
		given: map[string]bool{}}
}

// host is a model host.
type host struct {
	fleet     *fleet
	uid, kind string
	zone      string
	rack      int
	address   string
	readTime  time.Duration // of a prompt
	firstTime time.Duration // to the first token
	tokens    int
	tokenTime time.Duration
	draining  bool // it turns away what is new; guarded by the fleet's lock
	// handle replaces the host's own work. It reports whether it has dealt with the request.
	handle func(w http.ResponseWriter, r *http.Request, a *arrival) bool
}

const (
	reader = "prompt-side"
	writer = "answer-side"
)

// addHost starts a model host.
func (f *fleet) addHost(uid, kind string, rack int) *host {
	h := &host{
		fleet: f, uid: uid, kind: kind, zone: "hall-1", rack: rack, readTime: 60 * time.Millisecond,
		firstTime: 60 * time.Millisecond, tokens: 10, tokenTime: 20 * time.Millisecond,
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	h.address = listener.Addr().String()
	server := &http.Server{Handler: h}
	go server.Serve(listener)
	f.world.atEnd(func() { server.Close() })
	f.mu.Lock()
	f.hosts = append(f.hosts, h)
	f.mu.Unlock()
	return h
}

// drain has the host turn away what is new.
func (f *fleet) drain(uid string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.hosts {
		if h.uid == uid {
			h.draining = true
		}
	}
}

// letGo releases what is held for a request.
func (f *fleet) letGo(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.letGoLocked(id)
}

func (f *fleet) letGoLocked(id string) {
	delete(f.held, id)
	delete(f.heldFrom, id)
}

// release lets go of what is held for a request and no attempt waits for.
func (f *fleet) release(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.waiting[id] == 0 {
		f.letGoLocked(id)
	}
}

// hold keeps a read state at a reader.
func (f *fleet) hold(id, uid string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held[id], f.heldFrom[id] = uid, f.world.now()
}

func (h *host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f := h.fleet
	at := f.world.now()
	if id, ok := strings.CutPrefix(r.URL.Path, "/v1/holds/"); ok {
		f.world.note("%s: %s %s", h.uid, r.Method, id)
		if r.Method == http.MethodDelete {
			f.release(id)
			w.WriteHeader(http.StatusNoContent)
		} else {
			w.WriteHeader(http.StatusNotFound)
		}
		return
	}
	a := &arrival{
		at: at, host: h.uid, id: r.Header.Get("X-Request-ID"), method: r.Method, timeout: r.Header.Get("X-Timeout-Ms"),
		read: h.kind == reader,
	}
	f.mu.Lock()
	f.arrivals = append(f.arrivals, a)
	draining := h.draining
	f.mu.Unlock()
	f.world.note("%s: %s %s, timeout %s ms", h.uid, r.Method, a.id, a.timeout)
	if _, err := io.Copy(io.Discard, r.Body); err != nil || a.id == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	defer func() {
		f.mu.Lock()
		if a.ended == 0 {
			a.ended = f.world.now()
		}
		f.mu.Unlock()
	}()
	if draining {
		h.turnAway(w, a, http.StatusServiceUnavailable)
		return
	}
	if h.handle != nil && h.handle(w, r, a) {
		return
	}
	h.serve(w, r, a)
}

// turnAway answers that the request has not run.
func (h *host) turnAway(w http.ResponseWriter, a *arrival, status int) {
	h.fleet.mu.Lock()
	a.neverRan = true
	h.fleet.mu.Unlock()
	w.Header().Set("X-Not-Processed", "1")
	w.WriteHeader(status)
}

// serve reads a prompt or writes an answer.
func (h *host) serve(w http.ResponseWriter, r *http.Request, a *arrival) {
	w.Header().Set("X-Server-Load", "util=0.30,queue=0,x0=0.20")
	if h.kind == reader {
		select {
		case <-time.After(h.readTime):
		case <-r.Context().Done():
			return
		}
		h.fleet.hold(a.id, h.uid)
		w.WriteHeader(http.StatusAccepted)
		io.WriteString(w, `{"cached_tokens":0}`)
		return
	}
	h.fleet.mu.Lock()
	_, here := h.fleet.held[a.id]
	h.fleet.mu.Unlock()
	if !here {
		h.turnAway(w, a, http.StatusGone)
		return
	}
	select {
	case <-time.After(h.firstTime):
	case <-r.Context().Done():
		return
	}
	h.fleet.letGo(a.id)
	h.fleet.mu.Lock()
	h.fleet.given[a.id] = true
	h.fleet.mu.Unlock()
	h.stream(w, r)
}

// stream writes an answer.
func (h *host) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := w.(http.Flusher)
	for i := range h.tokens {
		finish := "null"
		if i == h.tokens-1 {
			finish = `"stop"`
		}
		fmt.Fprintf(w, `data: {"choices":[{"index":0,"delta":{"content":"t%d "},"finish_reason":%s}]}`+"\n\n", i, finish)
		flusher.Flush()
		select {
		case <-time.After(h.tokenTime):
		case <-r.Context().Done():
			return
		}
	}
	io.WriteString(w, `data: {"choices":[],"usage":{"prompt_tokens":1000,"completion_tokens":10,`+
		`"prompt_tokens_details":{"cached_tokens":0}}}`+"\n\ndata: [DONE]\n\n")
}

// sends returns the requests that came to a model host, in order of time.
func (f *fleet) sends(uid string) []*arrival {
	f.mu.Lock()
	defer f.mu.Unlock()
	var found []*arrival
	for _, a := range f.arrivals {
		if a.host == uid {
			found = append(found, a)
		}
	}
	return found
}
