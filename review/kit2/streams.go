package kit2

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// pause is how long a writer writes nothing in the middle of an answer that it has put back into its queue. Clients
// may be left waiting for 5 s.
const (
	pause      = 4600 * time.Millisecond
	clientWait = 5 * time.Second
)

// pausedStream: a writer's memory runs out, and its newest answer goes back into its queue and is read anew.
func pausedStream(w *world) (verdict, error) {
	f := w.newFleet()
	hosts := f.smallFleet(3, 3, "a")
	list := newRegistry(41)
	list.list(hosts...)
	cut := map[string]bool{} // answers that the dispatcher cut while their writer went on; guarded by the fleet's lock
	paused := 0
	for _, h := range hosts {
		if h.kind != writer {
			continue
		}
		h.handle = func(rw http.ResponseWriter, r *http.Request, a *arrival) bool {
			f.mu.Lock()
			_, here := f.held[a.id]
			back := w.trouble && here && len(a.id) > 0 && a.id[0] < '4' // a quarter of the answers
			f.mu.Unlock()
			if !back {
				return false
			}
			f.letGo(a.id)
			rw.Header().Set("Content-Type", "text/event-stream")
			flusher := rw.(http.Flusher)
			event := func(i int, finish string) {
				fmt.Fprintf(rw, `data: {"choices":[{"index":0,"delta":{"content":"t%d "},"finish_reason":%s}]}`+"\n\n", i, finish)
				flusher.Flush()
			}
			for i := range 3 {
				event(i, "null")
				time.Sleep(20 * time.Millisecond)
			}
			f.mu.Lock()
			paused++
			f.mu.Unlock()
			last := w.now()
			w.note("%s: %s goes back into the queue", h.uid, a.id)
			select {
			case <-time.After(pause):
			case <-r.Context().Done():
				f.mu.Lock()
				cut[a.id] = w.now()-last < clientWait
				f.mu.Unlock()
				w.note("%s: %s was cut off %.3f s after its last event", h.uid, a.id, (w.now() - last).Seconds())
				return true
			}
			for i := range 3 {
				event(3+i, "null")
				time.Sleep(20 * time.Millisecond)
			}
			event(6, `"stop"`)
			io.WriteString(rw, "data: [DONE]\n\n")
			w.note("%s: %s is whole", h.uid, a.id)
			return true
		}
	}
	agent := w.newAgent("a", list)
	d := w.newDispatcher("n0", agent.address, list.full(), settings(smallClasses, 1, 0, func(s map[string]any) {
		s["familyInfo"].(map[string]any)["resume"] = false
	}))
	if err := d.start(); err != nil {
		return verdict{}, err
	}
	if err := d.awaitReady(20 * time.Second); err != nil {
		return verdict{}, err
	}
	c := w.newClients()
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	c.stream(ctx, 4, d.listen, "trail-info", 6*time.Second)
	c.group.Wait()
	lost := 0
	for _, q := range c.requests {
		if q.status == http.StatusOK && !q.whole && cut[q.id] {
			lost++
			w.note("lost: %s got %d bytes and no last chunk after %.3f s", q.id, len(q.body), (q.endedAt - q.sentAt).Seconds())
		}
	}
	text := fmt.Sprintf("%d of %d paused answers were cut off within %v of their last event; answers by status: %v", lost,
		paused, clientWait, c.counts())
	return verdict{lost > 0, text}, nil
}

// The bound of the rule on what is held: the settings' limit and what the pages add to it.
const heldAllowed = 500*time.Millisecond + 300*time.Millisecond + socketSlack

// brokenBefore is how long before the end of a read its connection is reset.
const brokenBefore = 20 * time.Millisecond

// resetReads: connections are reset under reads that have begun, which end well just then.
func resetReads(w *world) (verdict, error) {
	f := w.newFleet()
	hosts := f.smallFleet(4, 4, "a")
	list := newRegistry(41)
	list.list(hosts...)
	resets := 0
	for _, h := range hosts {
		if h.kind != reader {
			continue
		}
		h.readTime = 300 * time.Millisecond
		h.handle = func(rw http.ResponseWriter, r *http.Request, a *arrival) bool {
			if !w.trouble || rand.IntN(2) == 0 {
				return false
			}
			time.Sleep(h.readTime - brokenBefore)
			conn, _, err := rw.(http.Hijacker).Hijack()
			if err != nil {
				return true
			}
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
			f.mu.Lock()
			resets++
			a.ended = w.now()
			f.mu.Unlock()
			w.note("%s: the connection of %s is reset, its read goes on", h.uid, a.id)
			time.Sleep(brokenBefore)
			f.hold(a.id, h.uid)
			w.note("%s: has read %s, its state waits", h.uid, a.id)
			return true
		}
	}
	agent := w.newAgent("a", list)
	d := w.newDispatcher("n0", agent.address, list.full(), settings(smallClasses, 1, 0, nil))
	if err := d.start(); err != nil {
		return verdict{}, err
	}
	if err := d.awaitReady(20 * time.Second); err != nil {
		return verdict{}, err
	}
	c := w.newClients()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c.stream(ctx, 15, d.listen, "trail-info", 6*time.Second)
	c.group.Wait()
	// No attempt is out any more. What is still held well after the bound is pinned.
	time.Sleep(3 * time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	pinned := 0
	for id, uid := range f.held {
		if f.given[id] {
			continue // it went by itself with the first token
		}
		last := time.Duration(0)
		for _, a := range f.arrivals {
			if a.id == id {
				last = max(last, a.ended)
			}
		}
		if w.now()-max(last, f.heldFrom[id]) > heldAllowed {
			pinned++
			w.note("pinned: %s holds the state of %s since %.3f s; the last attempt ended at %.3f s", uid, id,
				f.heldFrom[id].Seconds(), last.Seconds())
		}
	}
	text := fmt.Sprintf("%d states are held for over %v after the last outcome; %d resets; answers by status: %v", pinned,
		heldAllowed, resets, c.counts())
	return verdict{pinned > 0, text}, nil
}
