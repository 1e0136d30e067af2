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

// link is a way between a dispatcher and a model host in another hall: what is sent on it, the end of sending
// included, arrives after some time.
func (w *world) link(target string, delay time.Duration) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	w.atEnd(func() { listener.Close() })
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", target)
			if err != nil {
				near.Close()
				continue
			}
			go carry(near.(*net.TCPConn), far.(*net.TCPConn), delay)
			go carry(far.(*net.TCPConn), near.(*net.TCPConn), delay)
		}
	}()
	return listener.Addr().String()
}

// carry carries bytes one way, each after the same delay.
func carry(from, to *net.TCPConn, delay time.Duration) {
	type piece struct {
		raw []byte
		at  time.Time
	}
	pieces := make(chan piece, 1024)
	go func() {
		for p := range pieces {
			time.Sleep(time.Until(p.at.Add(delay)))
			if p.raw == nil {
				to.CloseWrite()
				break
			}
			if _, err := to.Write(p.raw); err != nil {
				break
			}
		}
		for range pieces {
		}
		to.CloseWrite()
	}()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			pieces <- piece{append([]byte(nil), buffer[:n]...), time.Now()}
		}
		if err != nil {
			pieces <- piece{nil, time.Now()}
			close(pieces)
			if err != io.EOF {
				from.Close()
			}
			return
		}
	}
}

// leavers: clients leave while their requests wait at writers in another hall.
func leavers(w *world) (verdict, error) {
	f := w.newFleet()
	f.waiting = map[string]int{}
	hosts := f.smallFleet(4, 4, "a")
	list := newRegistry(41)
	list.list(hosts...)
	delay := time.Duration(envInt("DELAY_US", 1000)) * time.Microsecond
	for i, h := range hosts {
		if h.kind != writer {
			continue
		}
		list.targets[i].Endpoint, list.targets[i].Zone = w.link(h.address, delay), "hall-2"
		h.zone = "hall-2"
		h.handle = func(rw http.ResponseWriter, r *http.Request, a *arrival) bool {
			f.mu.Lock()
			_, here := f.held[a.id]
			if here {
				f.waiting[a.id]++
			}
			f.mu.Unlock()
			if !here {
				return false
			}
			defer func() {
				f.mu.Lock()
				f.waiting[a.id]--
				f.mu.Unlock()
			}()
			select {
			case <-time.After(500 * time.Millisecond): // in the queue, for a slot
				return false
			case <-r.Context().Done():
				w.note("%s: %s is dropped from the queue, as its connection was closed", h.uid, a.id)
				return true
			}
		}
	}
	agent := w.newAgent("a", list)
	d := w.newDispatcher("n0", agent.address, list.full(), settings(smallClasses, 1, 0, func(s map[string]any) {
		s["dcs"] = []string{"hall-1", "hall-2"}
	}))
	if err := d.start(); err != nil {
		return verdict{}, err
	}
	if err := d.awaitReady(20 * time.Second); err != nil {
		return verdict{}, err
	}
	c := w.newClients()
	left := 0
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	every(ctx, 50*time.Millisecond, func() {
		leaves := w.trouble && rand.IntN(2) == 0
		c.group.Go(func() {
			if !leaves {
				c.send(d.listen, "trail-info", 6*time.Second)
				return
			}
			id := newID()
			w.note("client: sends %s and leaves after 0.3 s", id)
			r := newRequest(d.listen, id, "trail-info", 6*time.Second, 100)
			conn, err := net.Dial("tcp", d.listen)
			if err != nil {
				return
			}
			r.Write(conn)
			time.Sleep(300 * time.Millisecond)
			conn.Close()
			w.note("client: %s has left", id)
			f.mu.Lock()
			left++
			f.mu.Unlock()
		})
	})
	c.group.Wait()
	time.Sleep(3 * time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	pinned := 0
	for id, uid := range f.held {
		if f.given[id] || f.waiting[id] > 0 {
			continue
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
	text := fmt.Sprintf("%d states are held for over %v after the last outcome; %d clients left; answers by status: %v", pinned,
		heldAllowed, left, c.counts())
	return verdict{pinned > 0, text}, nil
}
