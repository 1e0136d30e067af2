package endpoints

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sloetrestle/internal/endpointlist"
	"sloetrestle/internal/system"
)

const (
	initialBackoff = 20 * time.Millisecond // before the next attempt, doubled after each failure up to maxBackoff
	maxBackoff     = 300 * time.Millisecond
	stableWatch    = time.Second // how long a watch that received lists must last for the backoff to begin anew
	logInterval    = time.Second // between two log lines on watches that ended
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
	overdueMessages  atomic.Int64  // in a row, that were not complete in time
	endLoggedAt      time.Duration // when the end of a watch was logged last; used by Run only
	synced           atomic.Bool
}

// Synced tells whether a list from discovery was applied.
func (f *Follower) Synced() bool { return f.synced.Load() }

var (
	errAddressChanged = errors.New("the address of discovery has changed")
	errStaleList      = errors.New("discovery has an older list than the one applied")
)

// SetLastKnown sets the list that an earlier process had. None of its backends are passed on.
func (f *Follower) SetLastKnown(raw []byte) error {
	f.tableMu.Lock()
	defer f.tableMu.Unlock()
	return f.table.SetLastKnown(raw)
}

// apply applies a message and passes its changes on. The caller holds tableMu.
func (f *Follower) apply(raw []byte) error {
	now := f.Monotonic()
	lines, full, refused, err := f.table.Apply(now, f.table.clock.now(now, f.WallClock), raw)
	if err != nil {
		return err
	}
	if len(refused) > 0 {
		f.Log.Warn("ignored part of the endpoint list", "why", strings.Join(refused, "; "))
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

// mustFetchFullList tells whether the full list has to be fetched before a watch; followed tells whether lists were
// last received from the same address.
func (f *Follower) mustFetchFullList(followed bool) bool {
	f.tableMu.Lock()
	defer f.tableMu.Unlock()
	return !followed || f.needFullList
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
