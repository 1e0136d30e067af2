package endpointlist

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"sloetrestle/internal/system"
)

const (
	silenceTimeout = 5 * time.Second        // after which a connection without a heartbeat counts as dead
	initialBackoff = 200 * time.Millisecond // before the next attempt, doubled after each failure up to maxBackoff
	maxBackoff     = 3 * time.Second
	maxUpdateBytes = 16 << 20 // of one update
)

// Follower keeps a connection to service discovery and passes its updates on.
type Follower struct {
	Address    string // host:port of service discovery
	Name       string // of this dispatcher
	CacheDir   string // where the last list is saved; empty: it is not saved
	HTTPClient *http.Client
	Log        *slog.Logger
	// OnUpdate receives the changed endpoints in the order of the updates; full tells whether they are the whole
	// list.
	OnUpdate func(lines []Endpoint, full bool)

	table        Table
	saver        *saver                    // nil: the list is not saved
	lastReceived atomic.Pointer[time.Time] // when the last update or heartbeat was received
	gaps         atomic.Int64
}

// Staleness returns how long ago the last update or heartbeat was received, and false if there was none since the
// start.
func (f *Follower) Staleness() (time.Duration, bool) {
	last := f.lastReceived.Load()
	if last == nil {
		return 0, false
	}
	return time.Since(*last), true
}

// Gaps returns how often the full list had to be fetched because changes were missed.
func (f *Follower) Gaps() int64 { return f.gaps.Load() }

// savedList is the file that holds the last list.
type savedList struct {
	SavedUnixMs   int64  `json:"saved_unix_ms"` // for people who read the file
	Boot          string `json:"boot,omitempty"`
	SavedUptimeMs int64  `json:"saved_up_ms,omitempty"` // the machine's uptime in that boot
	Update        Update `json:"push"`
}

// sinceSaved returns how long ago the list was saved. The wall clock is not used, as it may have stepped since. After
// a reboot the time is unknown and counts as 0: a backend that is taken for younger than it is gets less load, one
// that is taken for older may get more than it can bear.
func (s savedList) sinceSaved() time.Duration {
	boot, up := system.Uptime()
	if boot == "" || boot != s.Boot {
		return 0
	}
	return max(up-time.Duration(s.SavedUptimeMs)*time.Millisecond, 0)
}

func (f *Follower) cachePath() string { return filepath.Join(f.CacheDir, "boxlist-"+f.Name+".json") }

// Restore reads the last list from disk and passes it on. A missing file is no error; invalid lines are left out and
// returned as one.
func (f *Follower) Restore() error {
	if f.CacheDir == "" {
		return nil
	}
	raw, err := os.ReadFile(f.cachePath())
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	var saved savedList
	if err := json.Unmarshal(raw, &saved); err != nil {
		return fmt.Errorf("decode saved endpoint list %s: %w", f.cachePath(), err)
	}
	saved.Update.Full = true
	elapsedMs := saved.sinceSaved().Milliseconds()
	for i := range saved.Update.Endpoints {
		if saved.Update.Endpoints[i].UptimeMs >= 0 {
			saved.Update.Endpoints[i].UptimeMs += elapsedMs
		}
	}
	lines, refused, err := f.table.Apply(saved.Update)
	if err != nil {
		return err
	}
	// Service discovery may have restarted its versions since the list was saved, so the full list is fetched.
	f.table.Version = 0
	f.OnUpdate(lines, true)
	return refused
}

// save has the list saved, if there is a folder for it.
func (f *Follower) save() error {
	if f.saver == nil {
		return nil
	}
	boot, up := system.Uptime()
	raw, err := json.Marshal(savedList{time.Now().UnixMilli(), boot, up.Milliseconds(),
		Update{Version: f.table.Version, Full: true, Endpoints: f.table.All()}})
	if err != nil {
		return err
	}
	f.saver.save(raw)
	return nil
}

// Run keeps the connection until the context ends, and reconnects with backoff.
func (f *Follower) Run(ctx context.Context) error {
	if f.CacheDir != "" {
		f.saver = startSaver(f.cachePath(), f.Log)
		defer f.saver.stop()
	}
	backoff := initialBackoff
	for {
		received, err := f.watchOnce(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, ErrGap) {
			f.gaps.Add(1)
			f.table.Version = 0
		}
		f.Log.Warn("watch on the endpoint list ended", "list", f.Address, "error", err)
		if received {
			backoff = initialBackoff
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// watchOnce applies the updates of one connection until it ends; received tells whether there was any.
func (f *Follower) watchOnce(ctx context.Context) (received bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchURL := fmt.Sprintf("http://%s/v1/boxes/watch?have=%d&dispatcher=%s",
		f.Address, f.table.Version, url.QueryEscape(f.Name))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, watchURL, nil)
	if err != nil {
		return false, err
	}
	silence := time.AfterFunc(silenceTimeout, func() {
		cancel(fmt.Errorf("no update or heartbeat received for %v", silenceTimeout))
	})
	defer silence.Stop()
	resp, err := f.HTTPClient.Do(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false, fmt.Errorf("service discovery responded to GET %s with %s", watchURL, resp.Status)
	}
	scanner := bufio.NewScanner(resp.Body)
	scanner.Buffer(make([]byte, 0, 64<<10), maxUpdateBytes)
	for scanner.Scan() {
		silence.Reset(silenceTimeout)
		var update Update
		if err := json.Unmarshal(scanner.Bytes(), &update); err != nil {
			return received, fmt.Errorf("decode update of the endpoint list: %w", err)
		}
		changed, refused, err := f.table.Apply(update)
		if err != nil {
			return received, err
		}
		received = true
		now := time.Now()
		f.lastReceived.Store(&now)
		if refused != nil {
			f.Log.Warn("ignored lines of the endpoint list", "error", refused)
		}
		if len(changed) == 0 && !update.Full {
			continue
		}
		f.OnUpdate(changed, update.Full)
		if err := f.save(); err != nil {
			f.Log.Warn("failed to save the endpoint list", "error", err)
		}
	}
	if cause := context.Cause(ctx); cause != nil {
		return received, cause
	}
	if err := scanner.Err(); err != nil {
		return received, err
	}
	return received, errors.New("service discovery closed the connection")
}
