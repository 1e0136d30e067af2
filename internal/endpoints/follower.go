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

	"sloetrestle/internal/endpointlist"
	"sloetrestle/internal/system"
)

const (
	heartbeatInterval = 2 * time.Second           // at which discovery sends an empty line
	silenceTimeout    = heartbeatInterval * 5 / 4 // after which a watch that sends nothing counts as broken

	// attemptInterval is how long an attempt may go without a response before another starts beside it: discovery
	// either responds at once or is slow. It is also the time within which a message that has begun must be complete.
	attemptInterval     = 1500 * time.Millisecond
	responseTimeout     = 3 * attemptInterval // for the head of a response, or for one list
	maxParallelAttempts = 3

	initialBackoff = 20 * time.Millisecond // before the next attempt, doubled after each failure up to maxBackoff
	maxBackoff     = 300 * time.Millisecond
	stableWatch    = time.Second // how long a watch that received lists must last for the backoff to begin anew
	logInterval    = time.Second // between two log lines on watches that ended
	maxPushBytes   = 8 << 20
	dialTimeout    = 2 * time.Second
)

// Follower keeps a watch on service discovery.
type Follower struct {
	Log       *slog.Logger
	Monotonic func() time.Duration // a clock that does not step
	WallClock func() time.Time     // against which discovery reports the start times of backends
	// Dial opens connections to discovery. If it is nil, the operating system's dialer is used.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnUpdate receives the changed endpoints in the order of the messages; full tells whether they are the whole
	// list.
	OnUpdate func(lines []endpointlist.Endpoint, full bool)

	tableMu          sync.Mutex // held while a message is applied: two attempts may receive one at the same time
	table            Table
	needFullList     bool // the last message could not be used: the full list is fetched next
	mu               sync.Mutex
	address          string
	addressChangedAt time.Duration
	cancelWatch      context.CancelCauseFunc
	watchFailures    atomic.Int64
	endLoggedAt      time.Duration // when the end of a watch was logged last; used by Run only
	synced           atomic.Bool
}

// Synced tells whether a list from discovery was applied.
func (f *Follower) Synced() bool { return f.synced.Load() }

var (
	errAddressChanged = errors.New("the address of discovery has changed")
	errStaleList      = errors.New("discovery has an older list than the one applied")
)

// SetLastKnown sets the list that an earlier process had. Its revision counts, by which an older list of discovery is
// recognised. Its backends are not passed on: only discovery knows which of them are still in service.
func (f *Follower) SetLastKnown(raw []byte) error {
	f.tableMu.Lock()
	defer f.tableMu.Unlock()
	_, _, err := f.decode(raw)
	return err
}

// decode applies a message to the table and returns what it changes. The caller holds tableMu.
func (f *Follower) decode(raw []byte) (lines []endpointlist.Endpoint, full bool, err error) {
	now := f.Monotonic()
	lines, full, refused, err := f.table.Apply(now, f.table.clock.now(now, f.WallClock), raw)
	if len(refused) > 0 {
		f.Log.Warn("ignored part of the endpoint list", "why", strings.Join(refused, "; "))
	}
	return lines, full, err
}

// apply applies a message and passes its changes on. The caller holds tableMu.
func (f *Follower) apply(raw []byte) error {
	lines, full, err := f.decode(raw)
	if err != nil {
		return err
	}
	if len(lines) > 0 || full {
		endpointlist.SortByName(lines)
		f.OnUpdate(lines, full)
	}
	return nil
}

// applyWatched applies a message of a watch. After one that cannot be used the full list is fetched next, and so it
// is after a list that is older than the applied one, until that list is accepted.
func (f *Follower) applyWatched(ctx context.Context, raw []byte) error {
	f.tableMu.Lock()
	defer f.tableMu.Unlock()
	if ctx.Err() != nil {
		return ctx.Err() // another watch has replaced this one
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
	if !f.synced.Swap(true) {
		f.Log.Info("discovery has sent its first list", "revision", f.table.Revision, "after", f.Monotonic())
	}
	return nil
}

// SetAddress sets the address of discovery (host:port). If it differs from the current one, the present watch ends.
func (f *Follower) SetAddress(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if address == f.address {
		return
	}
	f.address, f.addressChangedAt = address, f.Monotonic()
	if f.cancelWatch != nil {
		f.cancelWatch(errAddressChanged)
	}
}

// WatchFailures returns how often a watch has ended.
func (f *Follower) WatchFailures() int64 { return f.watchFailures.Load() }

// Run watches discovery until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	backoff, followed := initialBackoff, "" // followed is the address from which lists were received last
	for ctx.Err() == nil {
		began := f.Monotonic()
		watchCtx, cancel := context.WithCancelCause(ctx) // cancelled by SetAddress, also during the wait
		f.mu.Lock()
		address, changedAt := f.address, f.addressChangedAt
		f.cancelWatch = cancel
		f.mu.Unlock()
		if address != followed && followed != "" {
			f.tableMu.Lock()
			f.table.AddressChanged(changedAt)
			f.tableMu.Unlock()
		}
		received, _ := f.raceWatches(watchCtx, address, address == followed)
		if received {
			followed = address
		}
		if received && f.Monotonic()-began >= stableWatch {
			backoff = initialBackoff
		}
		system.Sleep(watchCtx, backoff)
		backoff = min(2*backoff, maxBackoff)
		if errors.Is(context.Cause(watchCtx), errAddressChanged) {
			f.Log.Info("the address of discovery has changed")
			backoff = initialBackoff
		}
		cancel(nil)
	}
	return nil
}

// logEnd logs that a watch has ended, at most once each logInterval: while discovery is down, watches end all the time.
func (f *Follower) logEnd(address string, err error) {
	failures := f.watchFailures.Add(1)
	now := f.Monotonic()
	if failures > 1 && now-f.endLoggedAt < logInterval {
		return
	}
	f.endLoggedAt = now
	f.Log.Warn("watch on discovery ended", "discovery", address, "error", err, "ended", failures)
}

// watchResult tells how an attempt at a watch ended.
type watchResult struct {
	attempt  int
	received bool // a list was applied
	err      error
}

// raceWatches keeps the watch of the first attempt that gets a response. While none has, another attempt starts
// beside the others at each attemptInterval: discovery may be back after an outage, while a slow one may still
// respond to the earlier attempts.
func (f *Follower) raceWatches(ctx context.Context, address string, followed bool) (received bool, err error) {
	responded, ended := make(chan int, 2*maxParallelAttempts), make(chan watchResult, 2*maxParallelAttempts)
	var cancels []context.CancelFunc
	var pending []int // attempts that run without a response, the oldest first
	start := func() {
		attempt := len(cancels)
		pending = append(pending, attempt)
		attemptCtx, cancel := context.WithCancel(ctx)
		cancels = append(cancels, cancel)
		go func() {
			received, err := f.watch(attemptCtx, address, followed, func() { responded <- attempt })
			ended <- watchResult{attempt, received, err}
		}()
	}
	start()
	ticker := time.NewTicker(attemptInterval)
	defer ticker.Stop()
	winner := -1 // the attempt that got the first response
	for running := 1; running > 0; {
		select {
		case attempt := <-responded:
			if winner >= 0 {
				continue
			}
			winner = attempt
			for i, cancel := range cancels {
				if i != attempt {
					cancel()
				}
			}
		case result := <-ended:
			running--
			cancels[result.attempt]()
			pending = slices.DeleteFunc(pending, func(attempt int) bool { return attempt == result.attempt })
			received = received || result.received
			if err == nil || result.attempt == winner || winner < 0 {
				err = result.err
			}
			if winner < 0 || result.attempt == winner {
				f.logEnd(address, result.err)
			}
		case <-ticker.C:
			if winner >= 0 {
				continue
			}
			if len(pending) >= maxParallelAttempts {
				// The oldest attempt makes way for a new one: discovery may just be back.
				cancels[pending[0]]()
				pending = pending[1:]
			}
			start()
			running++
		}
	}
	return received, err
}

// watch keeps one watch and calls responded at its first response. If the address was not followed before, or no
// usable list is known, the full list is fetched first.
func (f *Follower) watch(
	ctx context.Context, address string, followed bool, responded func(),
) (received bool, err error) {
	notifyResponded := sync.OnceFunc(responded)
	dial := f.Dial
	if dial == nil {
		dial = system.Real().Dial
	}
	dialCtx, cancelDial := context.WithTimeout(ctx, dialTimeout)
	conn, err := dial(dialCtx, "tcp", address)
	cancelDial()
	if err != nil {
		return false, err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	reader := bufio.NewReader(conn)
	get := func(target string) (*http.Response, error) {
		conn.SetDeadline(time.Now().Add(responseTimeout))
		if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target, address); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(reader, nil)
		if err == nil && resp.StatusCode != http.StatusOK {
			err = fmt.Errorf("discovery responded to GET %s with %s", target, resp.Status)
		}
		return resp, err
	}
	if f.mustFetchFullList(followed) {
		resp, err := get("/v1/endpoints")
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
		received = true
		notifyResponded()
		if resp.Close {
			return received, errors.New("discovery closed the connection after the full list")
		}
	}
	resp, err := get(fmt.Sprintf("/v1/endpoints?stream=1&index=%d", f.revision()))
	if err != nil {
		return received, err
	}
	notifyResponded()
	pushes := &pushReader{conn: conn, body: resp.Body, remaining: maxPushBytes, onHeartbeat: f.noteUnchanged}
	for decoder := json.NewDecoder(pushes); ; {
		var raw json.RawMessage
		if err := decoder.Decode(&raw); err != nil {
			var syntaxErr *json.SyntaxError
			f.noteDecodeError(errors.As(err, &syntaxErr))
			return received, err
		}
		if err := f.applyWatched(ctx, raw); err != nil {
			return received && !errors.Is(err, errStaleList), err
		}
		received = true
		buffered, _ := io.ReadAll(decoder.Buffered())
		pushes.remaining, pushes.pushStart = maxPushBytes, time.Time{}
		pushes.observe(buffered)
	}
}

// mustFetchFullList tells whether the full list has to be fetched before a watch; followed tells whether lists were
// last received from the same address.
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

// noteUnchanged notes that the list is confirmed as of now.
func (f *Follower) noteUnchanged() {
	f.tableMu.Lock()
	defer f.tableMu.Unlock()
	f.table.clock.lastConfirmed = f.Monotonic()
}

// noteDecodeError notes how a watch ended: after a message with a syntax error the full list has to be fetched.
func (f *Follower) noteDecodeError(syntaxError bool) {
	f.tableMu.Lock()
	defer f.tableMu.Unlock()
	f.needFullList = f.needFullList || syntaxError
}

// pushReader reads the body of a watch. Every byte shows that the connection is alive, but not that discovery makes
// progress: a message that has begun must be complete within attemptInterval, however slowly its bytes arrive, and
// within maxPushBytes.
type pushReader struct {
	conn        net.Conn
	body        io.Reader
	remaining   int       // bytes that the current message may still have
	pushStart   time.Time // when the current message began; zero: only empty lines were received since the last one
	onHeartbeat func()    // called when an empty line is received: the list has not changed
}

func (p *pushReader) Read(into []byte) (int, error) {
	if p.remaining <= 0 {
		return 0, fmt.Errorf("discovery message exceeds the limit of %d bytes", maxPushBytes)
	}
	deadline := time.Now().Add(silenceTimeout)
	if !p.pushStart.IsZero() {
		deadline = p.pushStart.Add(attemptInterval)
	}
	p.conn.SetReadDeadline(deadline)
	n, err := p.body.Read(into[:min(len(into), p.remaining)])
	p.observe(into[:n])
	return n, err
}

// observe accounts for received bytes.
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
