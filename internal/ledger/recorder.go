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

// Recorder is the running dispatcher's side of a ledger. It commits records in groups, in the order of the calls to
// Write.
type Recorder struct {
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
	closed    chan struct{} // closed by Close
	stopped   chan struct{} // closed when Run has ended
	closing   bool
}

type queuedRecord struct {
	record    Record
	onDurable func()
}

// State is the state of a Recorder that operators see.
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

// Open locks a folder, passes every record in it to visit and prepares to append.
func Open(folder string, key Key, log *slog.Logger, visit func(Record) error) (*Recorder, error) {
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
	r := &Recorder{Dir: folder, Log: log, key: key, lock: lock, wake: make(chan struct{}, 1),
		closed: make(chan struct{}), stopped: make(chan struct{})}
	upTo, _, err := readStore(folder, func(record Record) error {
		r.lastMilli = max(r.lastMilli, record.UnixMilli)
		return visit(record)
	})
	if err == nil {
		r.journal, err = OpenJournal(Folder(folder), key, func(record Record, p Position) error {
			r.lastMilli = max(r.lastMilli, record.UnixMilli)
			if n, _ := parseSegmentName(p.Segment); n <= upTo {
				return nil // already in the store; a crash prevented the segment's removal
			}
			return visit(record)
		})
	}
	if err != nil {
		lock.Close()
		return nil, err
	}
	for _, d := range r.journal.Damage {
		if d.Torn {
			r.state.TornEnds++
			log.Info("ledger: dropped the end of an append that was interrupted", "at", d.String())
		} else {
			r.state.DamagedPlaces++
			log.Error("ledger: damaged", "at", d.String())
		}
	}
	r.state.ClockBackMs = max(r.lastMilli-time.Now().UnixMilli(), 0)
	r.state.Segment = r.journal.SegmentNumber()
	return r, nil
}

// Run commits records until Close is called, and compacts closed segments into the store.
func (r *Recorder) Run() error {
	defer close(r.stopped)
	for {
		<-r.wake
		time.Sleep(commitInterval)
		for r.commit() {
		}
		r.mu.Lock()
		failed := r.state.DiskError != ""
		over := r.closing && (failed || len(r.queue) == 0)
		r.mu.Unlock()
		if over {
			r.journal.Close()
			return nil
		}
		if failed {
			r.waitForDisk()
		}
	}
}

// waitForDisk waits before the next append after one that failed, or until Close is called. Further records do not end
// the wait.
func (r *Recorder) waitForDisk() {
	select {
	case <-time.After(diskRetryDelay):
	case <-r.closed:
	}
	r.signal()
}

// commit appends one group and reports whether more records are ready to be written.
func (r *Recorder) commit() bool {
	r.mu.Lock()
	group := r.queue[:min(len(r.queue), maxGroupRecords)]
	r.mu.Unlock()
	if len(group) == 0 {
		return false
	}
	records := make([]Record, len(group))
	for i, queued := range group {
		records[i] = queued.record
	}
	err := r.journal.Append(records...)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		if r.state.DiskError == "" {
			r.Log.Error("ledger: append failed; requests continue and records are queued", "error", err)
		}
		r.state.DiskError = err.Error()
		return false
	}
	if r.state.DiskError != "" {
		r.Log.Info("ledger: append succeeds again", "waiting", len(r.queue))
	}
	r.state.DiskError = ""
	r.state.Written += int64(len(group))
	r.state.Commits++
	r.queue = append([]queuedRecord(nil), r.queue[len(group):]...)
	for _, queued := range group {
		if queued.onDurable != nil {
			queued.onDurable()
		}
	}
	if n := r.journal.SegmentNumber(); n != r.state.Segment {
		r.state.Segment = n
		go func() {
			if _, _, err := Compact(r.Dir, r.key, n, nil); err != nil {
				r.Log.Warn("ledger: compaction failed; the segments stay", "error", err)
			}
		}()
	}
	return len(r.queue) > 0
}

func (r *Recorder) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Write queues a record. onDurable is called from another goroutine when the record is durable; it may be nil.
func (r *Recorder) Write(record Record, onDurable func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.queue) >= maxQueuedRecords || r.closing {
		r.state.Dropped++
		return
	}
	r.lastMilli = max(r.lastMilli, record.UnixMilli)
	record.UnixMilli = r.lastMilli
	r.queue = append(r.queue, queuedRecord{record, onDurable})
	r.signal()
}

// State returns a copy of the recorder's state.
func (r *Recorder) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state
	s.Queued = len(r.queue)
	return s
}

// Close writes the queued records and stops Run. It unlocks the folder.
func (r *Recorder) Close() {
	r.mu.Lock()
	r.closing = true
	r.mu.Unlock()
	close(r.closed)
	r.signal()
	<-r.stopped
	r.lock.Close()
}
