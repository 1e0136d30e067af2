package endpoints

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sloetrestle/internal/boxlist"
)

const (
	beat     = 2 * time.Second         // an empty line comes as often
	silence  = beat * 5 / 4            // a watch that says nothing for so long is taken for broken
	answer   = 1500 * time.Millisecond // for an answer's head, or for one list: the agent answers at once, or not
	again    = 20 * time.Millisecond   // the first wait for the next try, doubled up to the next value
	againMax = 300 * time.Millisecond
	pushMost = 8 << 20
	dialTime = 500 * time.Millisecond
)

// Follower keeps a watch on discovery.
type Follower struct {
	Log    *slog.Logger
	Since  func() time.Duration
	Wall   func() time.Time                      // by which discovery tells when backends started
	Listed func(lines []boxlist.Box, whole bool) // told in order

	table Table
	whole bool // what came last could not be used: the whole list is asked for next
	mu    sync.Mutex
	at    string
	moved time.Duration // when at last changed
	cut   context.CancelCauseFunc
	lost  atomic.Int64
	heard atomic.Bool
}

// Heard tells whether discovery has sent a list that was read.
func (f *Follower) Heard() bool { return f.heard.Load() }

var (
	errMoved = errors.New("discovery has another address")
	errOlder = errors.New("discovery has an older list than the own")
)

// Take reads a push that came by another way, such as the one that a dispatcher is started with.
func (f *Follower) Take(raw []byte) error {
	lines, whole, refused, err := f.table.Take(f.Since(), f.table.clock.now(f.Since(), f.Wall), raw)
	if err != nil {
		return err
	}
	if len(refused) > 0 {
		f.Log.Warn("part of the list is left out", "why", strings.Join(refused, "; "))
	}
	if len(lines) > 0 || whole {
		boxlist.SortByName(lines)
		f.Listed(lines, whole)
	}
	return nil
}

// Move says where discovery is from now on; the watch on the old address ends.
func (f *Follower) Move(at string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at == f.at {
		return
	}
	f.at, f.moved = at, f.Since()
	if f.cut != nil {
		f.cut(errMoved)
	}
}

// Lost is how often a watch ended.
func (f *Follower) Lost() int64 { return f.lost.Load() }

// Follow watches until the context ends.
func (f *Follower) Follow(ctx context.Context) error {
	wait, known := again, ""
	for ctx.Err() == nil {
		one, cut := context.WithCancelCause(ctx)
		f.mu.Lock()
		at, moved := f.at, f.moved
		f.cut = cut
		f.mu.Unlock()
		if at != known && known != "" {
			f.table.Moved(moved)
		}
		got, err := f.watch(one, at, at == known)
		cut(nil)
		if ctx.Err() != nil {
			return nil
		}
		if got {
			wait, known = again, at
		}
		f.lost.Add(1)
		if errors.Is(context.Cause(one), errMoved) {
			f.Log.Info("discovery has moved")
			wait = again
			continue
		}
		f.Log.Warn("watch lost", "discovery", at, "error", err)
		select {
		case <-ctx.Done():
		case <-one.Done():
		case <-time.After(wait):
		}
		wait = min(2*wait, againMax)
	}
	return nil
}

// watch keeps one watch. Where the address is new to this dispatcher, or nothing is known, the whole list is asked for first.
func (f *Follower) watch(ctx context.Context, at string, known bool) (got bool, err error) {
	conn, err := (&net.Dialer{Timeout: dialTime}).DialContext(ctx, "tcp", at)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	from := bufio.NewReader(conn)
	ask := func(target string) (*http.Response, error) {
		conn.SetDeadline(time.Now().Add(answer))
		if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target, at); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(from, nil)
		if err == nil && resp.StatusCode != http.StatusOK {
			err = fmt.Errorf("discovery answers %s", resp.Status)
		}
		return resp, err
	}
	if !known || !f.table.heard || f.whole {
		f.whole = true
		resp, err := ask("/v1/endpoints")
		if err != nil {
			return false, err
		}
		raw, err := io.ReadAll(io.LimitReader(resp.Body, pushMost))
		if err != nil {
			return false, err
		}
		if err := f.Take(raw); err != nil {
			return false, err
		}
		if f.table.older != 0 {
			return false, errOlder
		}
		f.whole, got = false, true
		f.heard.Store(true)
		f.table.clock.settled = true
		if resp.Close {
			return got, errors.New("discovery closes after the list")
		}
	}
	resp, err := ask(fmt.Sprintf("/v1/endpoints?stream=1&index=%d", f.table.Rev))
	if err != nil {
		return got, err
	}
	pushes := &pushes{conn: conn, from: resp.Body, left: pushMost, alive: func() { f.table.clock.checked = f.Since() }}
	for decoder := json.NewDecoder(pushes); ; {
		var raw json.RawMessage
		if err := decoder.Decode(&raw); err != nil {
			var torn *json.SyntaxError
			f.whole = errors.As(err, &torn)
			return got, err
		}
		if err := f.Take(raw); err != nil {
			f.whole = true
			return got, err
		}
		if f.table.older != 0 {
			f.whole = true
			return false, errOlder
		}
		got = true
		rest, _ := io.ReadAll(decoder.Buffered())
		pushes.left, pushes.begun = pushMost, time.Time{}
		pushes.look(rest)
	}
}

// pushes is what a watch brings. Each byte shows that the watch lives, but not that it does what it is for: a push that has begun
// has to end in its time, however it drips, and within a bound on its size.
type pushes struct {
	conn  net.Conn
	from  io.Reader
	left  int       // bytes that the present push may still have
	begun time.Time // when it did; zero: nothing but empty lines came
	alive func()    // called when an empty line has come: nothing changed until now
}

func (p *pushes) Read(into []byte) (int, error) {
	if p.left <= 0 {
		return 0, fmt.Errorf("a push has over %d bytes", pushMost)
	}
	until := time.Now().Add(silence)
	if !p.begun.IsZero() {
		until = p.begun.Add(answer)
	}
	p.conn.SetReadDeadline(until)
	n, err := p.from.Read(into[:min(len(into), p.left)])
	p.look(into[:n])
	return n, err
}

// look takes note of what came for a push.
func (p *pushes) look(raw []byte) {
	if p.begun.IsZero() && len(bytes.TrimSpace(raw)) > 0 {
		p.begun = time.Now()
	}
	if !p.begun.IsZero() {
		p.left -= len(raw)
	} else if len(raw) > 0 {
		p.alive()
	}
}
