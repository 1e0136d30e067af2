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
	commitInterval   = 20 * time.Millisecond // what a crash can lose of the ledger; backends still have those counts
	maxGroupRecords  = 4096                  // records in one append
	maxQueuedRecords = 1 << 16               // records that wait for the disk; further ones are dropped and counted
	diskRetryDelay   = time.Second           // after a failed append
)

// ErrLocked is returned by Open when another process writes the ledger.
var ErrLocked = errors.New("another dispatcher writes this ledger")

// Writer is the running dispatcher's side of a ledger. It commits records in groups, in the order of the calls to
// Write.
type Writer struct {
	Dir string
	Log *slog.Logger

	key       Key
	journal   *Journal
	lock      *os.File
	mu        sync.Mutex
	queue     []queuedRecord
	wake      chan struct{}
	lastMilli int64 // time of the last record; no record is earlier than the previous one
	state     State
	stopped   chan struct{}
	closing   bool
}

type queuedRecord struct {
	record    Record
	onDurable func()
}

// State is the state of a Writer that operators see.
type State struct {
	Written       int64  `json:"written"`
	Queued        int    `json:"waiting"`
	Dropped       int64  `json:"lost"`    // queue full; backends are queried again for attempts among them
	Commits       int64  `json:"commits"` // groups
	DiskError     string `json:"failing,omitempty"`
	DamagedPlaces int    `json:"damaged_places"`
	TornEnds      int    `json:"torn_ends"`
	Segment       uint64 `json:"segment"`
	ClockBackMs   int64  `json:"clock_back_ms,omitempty"` // how far the clock was behind the last record at the start
}

// Open locks a folder, passes every record in it to each and prepares to append.
func Open(folder string, key Key, log *slog.Logger, each func(Record) error) (*Writer, error) {
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(folder, "lock"), os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, fmt.Errorf("%s: %w", folder, ErrLocked)
	}
	w := &Writer{Dir: folder, Log: log, key: key, lock: lock, wake: make(chan struct{}, 1), stopped: make(chan struct{})}
	upTo, _, err := readStore(folder, func(r Record) error {
		w.lastMilli = max(w.lastMilli, r.UnixMilli)
		return each(r)
	})
	if err == nil {
		w.journal, err = OpenJournal(Folder(folder), key, func(r Record, p Position) error {
			w.lastMilli = max(w.lastMilli, r.UnixMilli)
			if n, _ := parseSegmentName(p.Segment); n <= upTo {
				return nil // already in the store; a crash prevented the segment's removal
			}
			return each(r)
		})
	}
	if err != nil {
		lock.Close()
		return nil, err
	}
	for _, d := range w.journal.Damage {
		if d.Torn {
			w.state.TornEnds++
			log.Info("ledger: dropped the end of an append that was interrupted", "at", d.String())
		} else {
			w.state.DamagedPlaces++
			log.Error("ledger: damaged", "at", d.String())
		}
	}
	w.state.ClockBackMs = max(w.lastMilli-time.Now().UnixMilli(), 0)
	w.state.Segment = w.journal.SegmentNumber()
	return w, nil
}

// Run commits records until Close is called, and compacts closed segments into the store.
func (w *Writer) Run() error {
	defer close(w.stopped)
	for {
		<-w.wake
		time.Sleep(commitInterval)
		for w.commit() {
		}
		w.mu.Lock()
		over := w.closing && len(w.queue) == 0 || w.closing && w.state.DiskError != ""
		w.mu.Unlock()
		if over {
			w.journal.Close()
			return nil
		}
	}
}

// commit appends one group and reports whether more records are ready to be written.
func (w *Writer) commit() bool {
	w.mu.Lock()
	group := w.queue[:min(len(w.queue), maxGroupRecords)]
	w.mu.Unlock()
	if len(group) == 0 {
		return false
	}
	records := make([]Record, len(group))
	for i, queued := range group {
		records[i] = queued.record
	}
	err := w.journal.Append(records...)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		if w.state.DiskError == "" {
			w.Log.Error("ledger: append failed; requests continue and records are queued", "error", err)
		}
		w.state.DiskError = err.Error()
		time.AfterFunc(diskRetryDelay, w.signal)
		return false
	}
	if w.state.DiskError != "" {
		w.Log.Info("ledger: append succeeds again", "waiting", len(w.queue))
	}
	w.state.DiskError = ""
	w.state.Written += int64(len(group))
	w.state.Commits++
	w.queue = append([]queuedRecord(nil), w.queue[len(group):]...)
	for _, queued := range group {
		if queued.onDurable != nil {
			queued.onDurable()
		}
	}
	if n := w.journal.SegmentNumber(); n != w.state.Segment {
		w.state.Segment = n
		go func() {
			if _, _, err := Compact(w.Dir, w.key, n, nil); err != nil {
				w.Log.Warn("ledger: compaction failed; the segments stay", "error", err)
			}
		}()
	}
	return len(w.queue) > 0
}

func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Write queues a record. onDurable is called from another goroutine when the record is durable; it may be nil.
func (w *Writer) Write(r Record, onDurable func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) >= maxQueuedRecords || w.closing {
		w.state.Dropped++
		return
	}
	w.lastMilli = max(w.lastMilli, r.UnixMilli)
	r.UnixMilli = w.lastMilli
	w.queue = append(w.queue, queuedRecord{r, onDurable})
	w.signal()
}

// State returns a copy of the writer's state.
func (w *Writer) State() State {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.state
	s.Queued = len(w.queue)
	return s
}

// Close writes the queued records and stops Run. It unlocks the folder.
func (w *Writer) Close() {
	w.mu.Lock()
	w.closing = true
	w.mu.Unlock()
	w.signal()
	<-w.stopped
	w.lock.Close()
}
