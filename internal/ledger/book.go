package ledger

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	commitEvery = 20 * time.Millisecond // what a kill can lose of the account; boxes still have it
	mostGroup   = 4096                  // records in one append
	mostWaiting = 1 << 16               // records that wait for a disk; beyond, new ones are lost and counted
	diskAgain   = time.Second           // after a disk failed
)

// ErrTaken says that another process writes this ledger.
var ErrTaken = errors.New("another dispatcher writes this ledger")

// Book is the running dispatcher's side: it commits records in groups, in the order in which they were written down.
type Recorder struct {
	Folder string
	Log    *slog.Logger

	key     Key
	journal *Journal
	lock    *os.File
	mu      sync.Mutex
	waiting []entry
	bell    chan struct{}
	last    int64 // milliseconds: no record is before the one ahead of it
	state   State
	ended   chan struct{}
	closing bool
}

type entry struct {
	record Record
	done   func()
}

// State is what operators see.
type State struct {
	Written   int64  `json:"written"`
	Waiting   int    `json:"waiting"`
	Lost      int64  `json:"lost"`    // records that found no room while the disk failed; trips among them are asked for again
	Commits   int64  `json:"commits"` // groups
	DiskError string `json:"failing,omitempty"`
	Damage    int    `json:"damaged_places"`
	Torn      int    `json:"torn_ends"`
	Segment   uint64 `json:"segment"`
	Backward  int64  `json:"clock_back_ms,omitempty"` // how far the clock was behind the last record at a start
}

// Open locks a folder, reads what it says and gets ready to write. each gets every record.
func Open(folder string, key Key, log *slog.Logger, each func(Record) error) (*Recorder, error) {
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(folder, "lock"), os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, fmt.Errorf("%s: %w", folder, ErrTaken)
	}
	b := &Recorder{Folder: folder, Log: log, key: key, lock: lock, bell: make(chan struct{}, 1), ended: make(chan struct{})}
	upTo, _, err := stored(folder, func(r Record) error { b.last = max(b.last, r.UnixMilli); return each(r) })
	if err == nil {
		b.journal, err = OpenJournal(Folder(folder), key, func(r Record, p Place) error {
			b.last = max(b.last, r.UnixMilli)
			if n, _ := number(p.Segment); n <= upTo {
				return nil // it is in the store, and was to be removed
			}
			return each(r)
		})
	}
	if err != nil {
		lock.Close()
		return nil, err
	}
	for _, d := range b.journal.Damage {
		if d.Torn {
			b.state.Torn++
			log.Info("ledger: the end of an append that was cut off is left out", "at", d.String())
		} else {
			b.state.Damage++
			log.Error("ledger: damaged", "at", d.String())
		}
	}
	b.state.Backward = max(b.last-time.Now().UnixMilli(), 0)
	b.state.Segment = b.journal.Number()
	return b, nil
}

// Run commits until Close is called, and folds closed segments into the store now and then.
func (b *Recorder) Run() error {
	defer close(b.ended)
	for {
		<-b.bell
		time.Sleep(commitEvery)
		for b.commit() {
		}
		b.mu.Lock()
		over := b.closing && len(b.waiting) == 0 || b.closing && b.state.DiskError != ""
		b.mu.Unlock()
		if over {
			b.journal.Close()
			return nil
		}
	}
}

// commit writes one group; true: there is more to write now.
func (b *Recorder) commit() bool {
	b.mu.Lock()
	group := b.waiting[:min(len(b.waiting), mostGroup)]
	b.mu.Unlock()
	if len(group) == 0 {
		return false
	}
	records := make([]Record, len(group))
	for i, e := range group {
		records[i] = e.record
	}
	err := b.journal.Append(records...)
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		if b.state.DiskError == "" {
			b.Log.Error("ledger: the disk fails; questions go on, the account waits", "error", err)
		}
		b.state.DiskError = err.Error()
		time.AfterFunc(diskAgain, b.ring)
		return false
	}
	if b.state.DiskError != "" {
		b.Log.Info("ledger: the disk takes records again", "waiting", len(b.waiting))
	}
	b.state.DiskError = ""
	b.state.Written += int64(len(group))
	b.state.Commits++
	b.waiting = append([]entry(nil), b.waiting[len(group):]...)
	for _, e := range group {
		if e.done != nil {
			e.done()
		}
	}
	if n := b.journal.Number(); n != b.state.Segment {
		b.state.Segment = n
		go func() {
			if _, _, err := Compact(b.Folder, b.key, n, nil); err != nil {
				b.Log.Warn("ledger: segments were not folded in; they stay", "error", err)
			}
		}()
	}
	return len(b.waiting) > 0
}

func (b *Recorder) ring() {
	select {
	case b.bell <- struct{}{}:
	default:
	}
}

// Write takes a record; done is called, from another goroutine, when it is durable.
func (b *Recorder) Write(r Record, done func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) >= mostWaiting || b.closing {
		b.state.Lost++
		return
	}
	b.last = max(b.last, r.UnixMilli)
	r.UnixMilli = b.last
	b.waiting = append(b.waiting, entry{r, done})
	b.ring()
}

// State is a copy.
func (b *Recorder) State() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state
	s.Waiting = len(b.waiting)
	return s
}

// Close writes what waits and ends.
func (b *Recorder) Close() {
	b.mu.Lock()
	b.closing = true
	b.mu.Unlock()
	b.ring()
	<-b.ended
	b.lock.Close()
}
