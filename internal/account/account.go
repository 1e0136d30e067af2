// Package account tracks which attempts of a dispatcher still lack a count of their cost: which backends to query for
// which counts, when to retry, when an attempt is known to have cost nothing, and when no backend can report it any
// more. Backends number their counts for each epoch of a dispatcher, so that each count is recorded once, however
// often it arrives. It does no I/O; records are passed to Write. Begin with Tracker.
package account

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"sloetrestle/internal/ledger"
)

const (
	inquiryDelay      = 300 * time.Millisecond // from an attempt's end until its backend is queried for a missing count
	inquiryInterval   = time.Second            // between inquiries to one backend
	maxUnacknowledged = 200                    // durable counts that a backend still holds before they are acknowledged
	ackInterval       = 10 * time.Second       // or after this time: 160 dispatchers must not each send one a second
	maxDropped        = 4096                   // removed backends of which the numbers are kept
	retryBackoff      = 500 * time.Millisecond // after a failed inquiry, doubled up to maxRetryBackoff
	maxRetryBackoff   = 10 * time.Second
	confirmEmptyAfter = 2 * time.Second  // between two replies that nothing is left: an attempt may still be on its way
	removedGrace      = 60 * time.Second // after a backend was removed, before it counts as one that cannot be queried
	maxMissing        = 1 << 17          // attempts without a count; beyond, the oldest is recorded as unconfirmed
)

// NumberSet is a set of count numbers, from 1. It is compact where there are few gaps.
type NumberSet struct {
	UpTo   uint64 // all numbers up to here are in the set
	Beyond map[uint64]bool
}

// Add adds a number and reports whether it was new.
func (s *NumberSet) Add(number uint64) bool {
	if number == 0 || number <= s.UpTo || s.Beyond[number] {
		return false
	}
	if s.Beyond == nil {
		s.Beyond = map[uint64]bool{}
	}
	s.Beyond[number] = true
	s.advance()
	return true
}

// advance moves UpTo over the numbers that follow without a gap.
func (s *NumberSet) advance() {
	for s.Beyond[s.UpTo+1] {
		s.UpTo++
		delete(s.Beyond, s.UpTo)
	}
}

// addUpTo adds all numbers up to the given one and returns how many of them were new.
func (s *NumberSet) addUpTo(number uint64) uint64 {
	before := uint64(len(s.Beyond))
	maps.DeleteFunc(s.Beyond, func(beyond uint64, _ bool) bool { return beyond <= number })
	added := number - s.UpTo - (before - uint64(len(s.Beyond)))
	s.UpTo = number
	s.advance()
	return added
}

// backendEpoch is the state of one epoch at one backend.
type backendEpoch struct {
	backend, epoch string
	recorded       NumberSet // passed to Write
	durable        NumberSet // durable in the ledger
	acked          uint64    // acknowledged to the backend
	ackedAt        time.Duration
	missing        map[string]*missingAttempt
	inFlight       bool // an inquiry is outstanding
	nextInquiry    time.Duration
	backoff        time.Duration
	emptySince     time.Duration // when the backend first replied that nothing is left; 0: it has not
	done           bool          // of an earlier epoch: no more counts will come
}

// complete reports whether every attempt is durably accounted for.
func (e *backendEpoch) complete() bool {
	return len(e.missing) == 0 && len(e.recorded.Beyond) == 0 && e.durable.UpTo == e.recorded.UpTo
}

// droppedBackend is what remains of a removed backend, which may come back under its name: the numbers up to which its
// counts of the present epoch are durable and acknowledged.
type droppedBackend struct {
	backend        string
	durable, acked uint64
}

// missingAttempt is an attempt without a count.
type missingAttempt struct {
	attempt ledger.Attempt
	endedAt time.Duration // 0: it is in flight
}

// Inquiry requests the counts of an epoch with numbers above After from a backend, and acknowledges those up to After.
type Inquiry struct {
	Backend, Epoch string
	After          uint64
}

// Reply is a backend's answer to an Inquiry.
type Reply struct {
	Counts        []ledger.Attempt // in the order of their numbers
	More          bool             // there are further counts
	Running       int              // attempts of that epoch that run there now
	ForgottenUpTo uint64           // the highest number that was acknowledged to it
}

// Tracker accounts for the attempts of one dispatcher.
type Tracker struct {
	Epoch          string
	StartUnixMilli int64                       // start in milliseconds since 1970
	Write          func(ledger.Record, func()) // the function is called when the record is durable
	Now            func() time.Duration        // since the start

	entries       map[string]*backendEpoch
	order         []*backendEpoch
	backends      map[string]time.Duration // from service discovery; when they were removed, 0: present
	earlierEpochs []string                 // that are not closed yet
	dropped       []droppedBackend         // at most maxDropped, the oldest first

	finishing bool

	Counts Counts
}

// Counts counts the attempts by how their cost became known.
type Counts struct {
	Inline      int64 `json:"Inline"`    // counts that came with the answer
	Inquiries   int64 `json:"Asked"`     // sent to backends
	Found       int64 `json:"Found"`     // counts that came with the reply to an inquiry
	Duplicates  int64 `json:"Twice"`     // counts that were recorded before
	Unconfirmed int64 `json:"Unproven"`  // attempts that no backend reported
	Costless    int64 `json:"Costless"`  // attempts that never reached a backend
	Truncated   int64 `json:"Cut"`       // acknowledged counts that the ledger lacks
	Missing     int   `json:"Missing"`   // attempts without a count
	OpenEpochs  int   `json:"OldEpochs"` // earlier epochs that are not closed
}

// New returns a tracker. recorded are the counts in the ledger and earlierEpochs the epochs that are not closed in it.
func New(epoch string, startUnixMilli int64, write func(ledger.Record, func()), now func() time.Duration,
	recorded []RecordedCount, earlierEpochs []string) *Tracker {
	t := &Tracker{Epoch: epoch, StartUnixMilli: startUnixMilli, Write: write, Now: now,
		entries: map[string]*backendEpoch{}, backends: map[string]time.Duration{}, earlierEpochs: earlierEpochs}
	for _, count := range recorded {
		e := t.entry(count.Backend, count.Epoch)
		e.recorded.Add(count.Number)
		e.durable.Add(count.Number)
	}
	slices.Sort(t.earlierEpochs)
	t.Counts.OpenEpochs = len(t.earlierEpochs)
	return t
}

// RecordedCount identifies a count that is in the ledger.
type RecordedCount struct {
	Backend, Epoch string
	Number         uint64
}

func entryKey(backend, epoch string) string { return backend + "\x00" + epoch }

// entry returns the state of an epoch at a backend and creates a missing one.
func (t *Tracker) entry(backend, epoch string) *backendEpoch {
	key := entryKey(backend, epoch)
	e := t.entries[key]
	if e == nil {
		e = &backendEpoch{backend: backend, epoch: epoch, missing: map[string]*missingAttempt{}}
		if epoch == t.Epoch {
			t.restoreDropped(e)
		}
		t.entries[key] = e
		t.order = append(t.order, e)
	}
	return e
}

// restoreDropped continues with the numbers of a backend that was dropped.
func (t *Tracker) restoreDropped(e *backendEpoch) {
	i := slices.IndexFunc(t.dropped, func(d droppedBackend) bool { return d.backend == e.backend })
	if i < 0 {
		return
	}
	e.recorded.UpTo, e.durable.UpTo, e.acked = t.dropped[i].durable, t.dropped[i].durable, t.dropped[i].acked
	t.dropped = slices.Delete(t.dropped, i, i+1)
}

func (t *Tracker) unixMilli() int64 { return t.StartUnixMilli + t.Now().Milliseconds() }

// UpdateBackend records that service discovery lists a backend or has removed it.
func (t *Tracker) UpdateBackend(backend string, removed bool) {
	if !removed {
		t.backends[backend] = 0
	} else if since, ok := t.backends[backend]; ok && since == 0 {
		t.backends[backend] = max(t.Now(), 1)
	}
}

// AttemptSent records that an attempt was sent.
func (t *Tracker) AttemptSent(attempt ledger.Attempt) {
	attempt.Epoch = t.Epoch
	e := t.entry(attempt.Backend, t.Epoch)
	e.missing[attemptID(&attempt)] = &missingAttempt{attempt: attempt}
	e.emptySince = 0
	if t.Counts.Missing++; t.Counts.Missing > maxMissing {
		t.giveUpOldest()
	}
}

func attemptID(a *ledger.Attempt) string {
	return a.Key + "#" + string(rune('0'+a.Index))
}

// AttemptEnded records the end of an attempt, with the count that the backend sent along, if any. neverSent says that
// nothing was sent to the backend.
func (t *Tracker) AttemptEnded(attempt ledger.Attempt, count *ledger.Attempt, neverSent bool) {
	attempt.Epoch = t.Epoch
	entry := t.entry(attempt.Backend, t.Epoch)
	id := attemptID(&attempt)
	missing := entry.missing[id]
	switch {
	case missing == nil: // an inquiry returned its count before
		return
	case count != nil:
		if t.recordCount(entry, *count) {
			t.Counts.Inline++
		}
	case neverSent:
		t.Counts.Costless++
		t.removeMissing(entry, id)
	default:
		missing.endedAt = max(t.Now(), 1)
		missing.attempt.OutputTokens, missing.attempt.Outcome = attempt.OutputTokens, attempt.Outcome
		entry.nextInquiry = min(entry.nextInquiry, missing.endedAt+inquiryDelay)
	}
}

func (t *Tracker) removeMissing(e *backendEpoch, id string) {
	if e.missing[id] != nil {
		delete(e.missing, id)
		t.Counts.Missing--
	}
}

// recordCount writes a count to the ledger and reports whether it was new.
func (t *Tracker) recordCount(e *backendEpoch, count ledger.Attempt) bool {
	count.Backend, count.Epoch = e.backend, e.epoch
	t.removeMissing(e, attemptID(&count))
	if !e.recorded.Add(count.Number) {
		t.Counts.Duplicates++
		return false
	}
	number := count.Number
	t.Write(ledger.Record{UnixMilli: t.unixMilli(), Attempt: &count}, func() { e.durable.Add(number) })
	return true
}

// recordUnconfirmed writes what the dispatcher saw of an attempt that no backend will report.
func (t *Tracker) recordUnconfirmed(e *backendEpoch, id string) {
	m := e.missing[id]
	t.removeMissing(e, id)
	t.Counts.Unconfirmed++
	m.attempt.Number = 0
	t.Write(ledger.Record{UnixMilli: t.unixMilli(), Attempt: &m.attempt}, nil)
}

func (t *Tracker) giveUpOldest() {
	var oldest *backendEpoch
	oldestID, endedAt := "", time.Duration(0)
	for _, e := range t.order {
		for id, m := range e.missing {
			if m.endedAt > 0 && (oldestID == "" || m.endedAt < endedAt || m.endedAt == endedAt && id < oldestID) {
				oldest, oldestID, endedAt = e, id, m.endedAt
			}
		}
	}
	if oldest != nil {
		t.recordUnconfirmed(oldest, oldestID)
	}
}

// DueInquiries returns the inquiries to send now. Each must be answered by a call of HandleReply.
func (t *Tracker) DueInquiries() []Inquiry {
	now := t.Now()
	for _, epoch := range t.earlierEpochs {
		for backend := range t.backends {
			t.entry(backend, epoch)
		}
	}
	var out []Inquiry
	for _, entry := range t.order {
		removedAt := t.backends[entry.backend]
		if _, listed := t.backends[entry.backend]; !listed {
			removedAt = 1 // the ledger has it, but service discovery never listed it
		}
		if entry.inFlight || now < entry.nextInquiry || entry.done {
			continue
		}
		if removedAt > 0 && now-removedAt > removedGrace {
			t.giveUp(entry)
			continue
		}
		if t.needsInquiry(entry, now) {
			entry.inFlight = true
			t.Counts.Inquiries++
			out = append(out, Inquiry{entry.backend, entry.epoch, entry.durable.UpTo})
		}
	}
	t.dropRemoved(now)
	t.closeEpochs()
	slices.SortFunc(out, func(a, b Inquiry) int {
		return cmp.Or(cmp.Compare(a.Backend, b.Backend), cmp.Compare(a.Epoch, b.Epoch))
	})
	return out
}

// dropRemoved forgets removed backends that cannot be queried any more and lack no count.
func (t *Tracker) dropRemoved(now time.Duration) {
	t.order = slices.DeleteFunc(t.order, func(e *backendEpoch) bool {
		removedAt, listed := t.backends[e.backend]
		if !listed || removedAt == 0 || now-removedAt <= removedGrace || e.epoch != t.Epoch || e.inFlight || !e.complete() {
			return false
		}
		delete(t.entries, entryKey(e.backend, e.epoch))
		t.dropped = append(t.dropped, droppedBackend{e.backend, e.durable.UpTo, e.acked})
		return true
	})
	t.dropped = slices.Delete(t.dropped, 0, max(len(t.dropped)-maxDropped, 0))
	for backend, removedAt := range t.backends {
		if removedAt > 0 && now-removedAt > removedGrace &&
			!slices.ContainsFunc(t.order, func(e *backendEpoch) bool { return e.backend == backend }) {
			delete(t.backends, backend)
		}
	}
}

// needsInquiry reports whether a backend has counts to report or to be acknowledged.
func (t *Tracker) needsInquiry(entry *backendEpoch, now time.Duration) bool {
	if entry.epoch != t.Epoch {
		return true
	}
	for _, m := range entry.missing {
		if m.endedAt > 0 && now-m.endedAt >= inquiryDelay {
			return true
		}
	}
	// Numbers that are missing in between, or that are to be acknowledged.
	unacknowledged := entry.durable.UpTo - min(entry.acked, entry.durable.UpTo)
	return len(entry.recorded.Beyond) > 0 || unacknowledged > 0 &&
		(t.finishing || unacknowledged >= maxUnacknowledged || now-entry.ackedAt >= ackInterval)
}

// giveUp records the missing attempts of a backend that cannot be queried any more.
func (t *Tracker) giveUp(e *backendEpoch) {
	for _, id := range sortedIDs(e.missing) {
		if e.missing[id].endedAt > 0 {
			t.recordUnconfirmed(e, id)
		}
	}
	e.done = e.epoch != t.Epoch
	e.nextInquiry = t.Now() + inquiryInterval
}

func sortedIDs(missing map[string]*missingAttempt) []string {
	var out []string
	for id := range missing {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// HandleReply processes the reply to an inquiry; nil means that the inquiry failed.
func (t *Tracker) HandleReply(inquiry Inquiry, reply *Reply) {
	entry := t.entry(inquiry.Backend, inquiry.Epoch)
	now := t.Now()
	entry.inFlight = false
	// Of the present epoch a backend forgets what was acknowledged to it and no more: any other reply is invalid.
	if reply == nil || entry.epoch == t.Epoch && reply.ForgottenUpTo > max(inquiry.After, entry.acked) {
		entry.backoff = min(max(2*entry.backoff, retryBackoff), maxRetryBackoff)
		entry.nextInquiry = now + entry.backoff
		entry.emptySince = 0
		return
	}
	entry.backoff, entry.nextInquiry = 0, now+inquiryInterval
	entry.acked, entry.ackedAt = max(entry.acked, inquiry.After), now
	for _, count := range reply.Counts {
		if t.recordCount(entry, count) {
			t.Counts.Found++
		}
	}
	// More was acknowledged to the backend than this ledger holds: the end of the ledger was cut off.
	if reply.ForgottenUpTo > inquiry.After && reply.ForgottenUpTo > entry.recorded.UpTo {
		t.Counts.Truncated += int64(min(entry.recorded.addUpTo(reply.ForgottenUpTo), math.MaxInt64/2))
		entry.durable.addUpTo(reply.ForgottenUpTo)
	}
	switch {
	case reply.More:
		entry.nextInquiry = now
	case reply.Running > 0 || len(reply.Counts) > 0:
		entry.emptySince = 0
	case entry.emptySince == 0:
		entry.emptySince = max(now, 1)
	case now-entry.emptySince >= confirmEmptyAfter:
		// The backend has nothing left: a missing attempt that ended before its first such reply never reached it.
		for _, id := range sortedIDs(entry.missing) {
			if m := entry.missing[id]; m.endedAt > 0 && m.endedAt < entry.emptySince {
				t.Counts.Costless++
				t.removeMissing(entry, id)
			}
		}
		if entry.epoch != t.Epoch {
			entry.done = true
		} else {
			entry.emptySince = 0
		}
	}
}

// closeEpochs closes each earlier epoch for which every backend has reported or cannot be queried.
func (t *Tracker) closeEpochs() {
	if len(t.backends) == 0 {
		return
	}
	t.earlierEpochs = slices.DeleteFunc(t.earlierEpochs, func(epoch string) bool {
		for _, e := range t.order {
			if e.epoch == epoch && !e.done {
				return false
			}
		}
		t.Write(ledger.Record{UnixMilli: t.unixMilli(), Epoch: &ledger.Epoch{Name: epoch, Closed: true}}, nil)
		return true
	})
	t.Counts.OpenEpochs = len(t.earlierEpochs)
}

// RequestEnded records the end of a request.
func (t *Tracker) RequestEnded(request ledger.Request) {
	t.Write(ledger.Record{UnixMilli: t.unixMilli(), Request: &request}, nil)
}

// Finish has durable counts acknowledged at once, because the dispatcher shuts down.
func (t *Tracker) Finish() { t.finishing = true }

// Complete reports whether every attempt of this epoch is durably accounted for and, after Finish, acknowledged.
func (t *Tracker) Complete() bool {
	for _, e := range t.order {
		if e.epoch == t.Epoch && (!e.complete() || t.finishing && e.acked < e.durable.UpTo) {
			return false
		}
	}
	return true
}

// Close closes this epoch if it is complete. Otherwise the next start continues with it.
func (t *Tracker) Close() {
	if t.Complete() {
		t.Write(ledger.Record{UnixMilli: t.unixMilli(), Epoch: &ledger.Epoch{Name: t.Epoch, Closed: true}}, nil)
	}
}
