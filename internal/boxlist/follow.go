package boxlist

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
	silenceTimeout = 5 * time.Second        // without a beat for so long, the connection is taken for dead
	initialBackoff = 200 * time.Millisecond // first wait before the next try, doubled up to the next value
	maxBackoff     = 3 * time.Second
	maxUpdateBytes = 16 << 20 // bytes of one push
)

// Follower keeps a connection to the list and hands on what it says.
type Follower struct {
	Address    string // host:port of the list
	Name       string // of this dispatcher
	CacheDir   string // folder for the last list; empty: none is kept
	HTTPClient *http.Client
	Log        *slog.Logger
	OnUpdate   func(lines []Endpoint, whole bool)

	table        Table
	lastReceived atomic.Pointer[time.Time] // when the list was last heard
	gaps         atomic.Int64
}

// Age is how long ago the list was last heard; false: not at all since the start.
func (f *Follower) Staleness() (time.Duration, bool) {
	at := f.lastReceived.Load()
	if at == nil {
		return 0, false
	}
	return time.Since(*at), true
}

// Gaps counts how often the whole list had to be asked for.
func (f *Follower) Gaps() int64 { return f.gaps.Load() }

// kept is the file of the last list.
type savedList struct {
	SavedUnixMs   int64  `json:"saved_unix_ms"` // for those who read the file
	Boot          string `json:"boot,omitempty"`
	SavedUptimeMs int64  `json:"saved_up_ms,omitempty"` // for how long the machine had been up in that boot
	Update        Update `json:"push"`
}

// away is how long ago the list was kept. The wall clock may have stepped since, so it does not count; where nothing else tells, it is
// nought: a box that is taken for younger than it is gets less, one taken for older may get more than it bears.
func (k savedList) sinceSaved() time.Duration {
	boot, up := system.Uptime()
	if boot == "" || boot != k.Boot {
		return 0
	}
	return max(up-time.Duration(k.SavedUptimeMs)*time.Millisecond, 0)
}

func (f *Follower) cachePath() string { return filepath.Join(f.CacheDir, "boxlist-"+f.Name+".json") }

// Restore reads the last list from disk, and hands it on. A missing file is no error.
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
	var k savedList
	if err := json.Unmarshal(raw, &k); err != nil {
		return fmt.Errorf("%s: the kept list can't be read: %w", f.cachePath(), err)
	}
	k.Update.Full = true
	away := k.sinceSaved().Milliseconds()
	for i := range k.Update.Endpoints {
		if k.Update.Endpoints[i].UptimeMs >= 0 {
			k.Update.Endpoints[i].UptimeMs += away
		}
	}
	lines, refused, err := f.table.Apply(k.Update)
	if err != nil {
		return err
	}
	// Its version is of an earlier process: the list may have begun anew, so the whole list is asked for.
	f.table.Version = 0
	f.OnUpdate(lines, true)
	return refused
}

// save writes the list beside the old one and puts it in its place, so that a kill leaves one or the other.
func (f *Follower) save() error {
	if f.CacheDir == "" {
		return nil
	}
	boot, up := system.Uptime()
	raw, err := json.Marshal(savedList{time.Now().UnixMilli(), boot, up.Milliseconds(), Update{Version: f.table.Version, Full: true, Endpoints: f.table.All()}})
	if err != nil {
		return err
	}
	return system.ReplaceFile(f.cachePath(), raw, 0o644)
}

// Follow stays connected until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	wait := initialBackoff
	for {
		got, err := f.watchOnce(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, ErrGap) {
			f.gaps.Add(1)
			f.table.Version = 0
		}
		f.Log.Warn("box list lost", "list", f.Address, "error", err)
		if got {
			wait = initialBackoff
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
		wait = min(2*wait, maxBackoff)
	}
}

func (f *Follower) watchOnce(ctx context.Context) (got bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	at := fmt.Sprintf("http://%s/v1/boxes/watch?have=%d&dispatcher=%s", f.Address, f.table.Version, url.QueryEscape(f.Name))
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, at, nil)
	if err != nil {
		return false, err
	}
	quiet := time.AfterFunc(silenceTimeout, func() { cancel(fmt.Errorf("nothing heard for %v", silenceTimeout)) })
	defer quiet.Stop()
	resp, err := f.HTTPClient.Do(r)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false, fmt.Errorf("the list answered %s", resp.Status)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 64<<10), maxUpdateBytes)
	for lines.Scan() {
		quiet.Reset(silenceTimeout)
		var p Update
		if err := json.Unmarshal(lines.Bytes(), &p); err != nil {
			return got, fmt.Errorf("a push can't be read: %w", err)
		}
		changed, refused, err := f.table.Apply(p)
		if err != nil {
			return got, err
		}
		got = true
		now := time.Now()
		f.lastReceived.Store(&now)
		if refused != nil {
			f.Log.Warn("lines of the box list refused", "error", refused)
		}
		if len(changed) == 0 && !p.Full {
			continue
		}
		f.OnUpdate(changed, p.Full)
		if err := f.save(); err != nil {
			f.Log.Warn("the box list could not be kept", "error", err)
		}
	}
	if cause := context.Cause(ctx); cause != nil {
		return got, cause
	}
	if err := lines.Err(); err != nil {
		return got, err
	}
	return got, errors.New("the list closed the connection")
}
