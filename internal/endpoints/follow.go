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
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sloetrestle/internal/boxlist"
	"sloetrestle/internal/system"
)

const (
	heartbeatInterval   = 2 * time.Second           // an empty line comes as often
	silenceTimeout      = heartbeatInterval * 5 / 4 // a watch that says nothing for so long is taken for broken
	attemptInterval     = 1500 * time.Millisecond   // after which a further try begins beside one that has no answer: the agent answers at once, or is slow
	responseTimeout     = 3 * attemptInterval       // for an answer's head, or for one list
	maxParallelAttempts = 3                         // at a time
	initialBackoff      = 20 * time.Millisecond     // the first wait for the next try, doubled up to the next value
	maxBackoff          = 300 * time.Millisecond
	maxPushBytes        = 8 << 20
	dialTimeout         = 2 * time.Second
)

// Follower keeps a watch on discovery.
type Follower struct {
	Log       *slog.Logger
	Monotonic func() time.Duration
	WallClock func() time.Time                                                     // by which discovery tells when backends started
	Dial      func(ctx context.Context, network, address string) (net.Conn, error) // nil: the operating system's
	OnUpdate  func(lines []boxlist.Endpoint, whole bool)                           // told in order

	tableMu          sync.Mutex // held while a list is taken: two tries may bring one
	table            Table
	needFullList     bool // what came last could not be used: the whole list is asked for next
	mu               sync.Mutex
	address          string
	addressChangedAt time.Duration // when at last changed
	cancelWatch      context.CancelCauseFunc
	watchFailures    atomic.Int64
	synced           atomic.Bool
}

// Heard tells whether discovery has sent a list that was read.
func (f *Follower) Synced() bool { return f.synced.Load() }

var (
	errAddressChanged = errors.New("discovery has another address")
	errStaleList      = errors.New("discovery has an older list than the own")
)

// Take reads a push that came by another way, such as the one that a dispatcher is started with.
func (f *Follower) Apply(raw []byte) error {
	f.tableMu.Lock()
	defer f.tableMu.Unlock()
	return f.apply(raw)
}

// take does so; the lock is held.
func (f *Follower) apply(raw []byte) error {
	lines, whole, refused, err := f.table.Apply(f.Monotonic(), f.table.clock.now(f.Monotonic(), f.WallClock), raw)
	if err != nil {
		return err
	}
	if len(refused) > 0 {
		f.Log.Warn("part of the list is left out", "why", strings.Join(refused, "; "))
	}
	if len(lines) > 0 || whole {
		boxlist.SortByName(lines)
		f.OnUpdate(lines, whole)
	}
	return nil
}

// takeWatched takes a push of a watch. One that can't be used has the whole list asked for next; so has an older one, until it counts.
func (f *Follower) applyWatched(ctx context.Context, raw []byte) error {
	f.tableMu.Lock()
	defer f.tableMu.Unlock()
	if ctx.Err() != nil {
		return ctx.Err() // another watch goes on in this one's place
	}
	f.needFullList = true
	if err := f.apply(raw); err != nil {
		return err
	}
	if f.table.staleSince != 0 {
		return errStaleList
	}
	f.needFullList = false
	f.table.clock.synced = true
	f.synced.Store(true)
	return nil
}

// Move says where discovery is from now on; the watch on the old address ends.
func (f *Follower) SetAddress(at string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at == f.address {
		return
	}
	f.address, f.addressChangedAt = at, f.Monotonic()
	if f.cancelWatch != nil {
		f.cancelWatch(errAddressChanged)
	}
}

// Lost is how often a watch ended.
func (f *Follower) WatchFailures() int64 { return f.watchFailures.Load() }

// Follow watches until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	wait, known := initialBackoff, ""
	for ctx.Err() == nil {
		one, cut := context.WithCancelCause(ctx)
		f.mu.Lock()
		at, moved := f.address, f.addressChangedAt
		f.cancelWatch = cut
		f.mu.Unlock()
		if at != known && known != "" {
			f.tableMu.Lock()
			f.table.AddressChanged(moved)
			f.tableMu.Unlock()
		}
		got, _ := f.raceWatches(one, at, at == known)
		cut(nil)
		if ctx.Err() != nil {
			return nil
		}
		if got {
			wait, known = initialBackoff, at
		}
		if errors.Is(context.Cause(one), errAddressChanged) {
			f.Log.Info("discovery has moved")
			wait = initialBackoff
			continue
		}
		select {
		case <-ctx.Done():
		case <-one.Done():
		case <-time.After(wait):
		}
		wait = min(2*wait, maxBackoff)
	}
	return nil
}

// try is how one watch ended.
type watchResult struct {
	attempt  int
	received bool // a list was read
	err      error
}

// race keeps a watch: the first that is answered of those that are tried. While none is, a further try begins beside the others every
// so often, for discovery that has come back, while those that were begun may still be answered by one that is slow.
func (f *Follower) raceWatches(ctx context.Context, at string, known bool) (got bool, err error) {
	answered, ended := make(chan int, 2*maxParallelAttempts), make(chan watchResult, 2*maxParallelAttempts)
	var ends []context.CancelFunc
	var unanswered []int // numbers of those that run, the oldest first
	begin := func() {
		number := len(ends)
		unanswered = append(unanswered, number)
		one, end := context.WithCancel(ctx)
		ends = append(ends, end)
		go func() {
			got, err := f.watch(one, at, known, func() { answered <- number })
			ended <- watchResult{number, got, err}
		}()
	}
	begin()
	next := time.NewTicker(attemptInterval)
	defer next.Stop()
	first := -1 // the number of the one that was answered
	for running := 1; running > 0; {
		select {
		case number := <-answered:
			if first >= 0 {
				continue
			}
			first = number
			for i, end := range ends {
				if i != number {
					end()
				}
			}
		case t := <-ended:
			running--
			ends[t.attempt]()
			unanswered = slices.DeleteFunc(unanswered, func(number int) bool { return number == t.attempt })
			got = got || t.received
			if err == nil || t.attempt == first || first < 0 {
				err = t.err
			}
			if first < 0 || t.attempt == first {
				f.watchFailures.Add(1)
				f.Log.Warn("watch lost", "discovery", at, "error", t.err)
			}
		case <-next.C:
			if first >= 0 {
				continue
			}
			if len(unanswered) >= maxParallelAttempts {
				ends[unanswered[0]]() // never at the cost of a further one: discovery may just have come back
				unanswered = unanswered[1:]
			}
			begin()
			running++
		}
	}
	return got, err
}

// watch keeps one watch, and tells when it is answered. Where the address is new to this dispatcher, or nothing is known, the whole
// list is asked for first.
func (f *Follower) watch(ctx context.Context, at string, known bool, answered func()) (got bool, err error) {
	tell := sync.OnceFunc(answered)
	dial := f.Dial
	if dial == nil {
		dial = system.Real().Dial
	}
	dialing, dialed := context.WithTimeout(ctx, dialTimeout)
	conn, err := dial(dialing, "tcp", at)
	dialed()
	if err != nil {
		return false, err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	from := bufio.NewReader(conn)
	ask := func(target string) (*http.Response, error) {
		conn.SetDeadline(time.Now().Add(responseTimeout))
		if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target, at); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(from, nil)
		if err == nil && resp.StatusCode != http.StatusOK {
			err = fmt.Errorf("discovery answers %s", resp.Status)
		}
		return resp, err
	}
	if f.mustFetchFullList(known) {
		resp, err := ask("/v1/endpoints")
		if err != nil {
			return false, err
		}
		raw, err := io.ReadAll(io.LimitReader(resp.Body, maxPushBytes))
		if err != nil {
			return false, err
		}
		if err := f.applyWatched(ctx, raw); err != nil {
			return false, err
		}
		got = true
		tell()
		if resp.Close {
			return got, errors.New("discovery closes after the list")
		}
	}
	resp, err := ask(fmt.Sprintf("/v1/endpoints?stream=1&index=%d", f.revision()))
	if err != nil {
		return got, err
	}
	tell()
	pushes := &pushReader{conn: conn, body: resp.Body, remaining: maxPushBytes, onHeartbeat: f.noteUnchanged}
	for decoder := json.NewDecoder(pushes); ; {
		var raw json.RawMessage
		if err := decoder.Decode(&raw); err != nil {
			var torn *json.SyntaxError
			f.noteDecodeError(errors.As(err, &torn))
			return got, err
		}
		if err := f.applyWatched(ctx, raw); err != nil {
			return got && !errors.Is(err, errStaleList), err
		}
		got = true
		rest, _ := io.ReadAll(decoder.Buffered())
		pushes.remaining, pushes.pushStart = maxPushBytes, time.Time{}
		pushes.observe(rest)
	}
}

// wantsWhole tells whether the whole list has to be asked for at an address that was followed before, or was not.
func (f *Follower) mustFetchFullList(followed bool) bool {
	f.tableMu.Lock()
	defer f.tableMu.Unlock()
	return !followed || !f.table.synced || f.needFullList
}

func (f *Follower) revision() int64 {
	f.tableMu.Lock()
	defer f.tableMu.Unlock()
	return f.table.Revision
}

// alive takes note that nothing had changed until now.
func (f *Follower) noteUnchanged() {
	f.tableMu.Lock()
	defer f.tableMu.Unlock()
	f.table.clock.lastConfirmed = f.Monotonic()
}

// tear takes note of a watch's end: behind a push that made no sense, the whole list has to be asked for.
func (f *Follower) noteDecodeError(torn bool) {
	f.tableMu.Lock()
	defer f.tableMu.Unlock()
	f.needFullList = f.needFullList || torn
}

// pushes is what a watch brings. Each byte shows that the watch lives, but not that it does what it is for: a push that has begun
// has to end in its time, however it drips, and within a bound on its size.
type pushReader struct {
	conn        net.Conn
	body        io.Reader
	remaining   int       // bytes that the present push may still have
	pushStart   time.Time // when it did; zero: nothing but empty lines came
	onHeartbeat func()    // called when an empty line has come: nothing changed until now
}

func (p *pushReader) Read(into []byte) (int, error) {
	if p.remaining <= 0 {
		return 0, fmt.Errorf("a push has over %d bytes", maxPushBytes)
	}
	until := time.Now().Add(silenceTimeout)
	if !p.pushStart.IsZero() {
		until = p.pushStart.Add(attemptInterval)
	}
	p.conn.SetReadDeadline(until)
	n, err := p.body.Read(into[:min(len(into), p.remaining)])
	p.observe(into[:n])
	return n, err
}

// look takes note of what came for a push.
func (p *pushReader) observe(raw []byte) {
	if p.pushStart.IsZero() && len(bytes.TrimSpace(raw)) > 0 {
		p.pushStart = time.Now()
	}
	if !p.pushStart.IsZero() {
		p.remaining -= len(raw)
	} else if len(raw) > 0 {
		p.onHeartbeat()
	}
}
