package soak

import (
	"sync"
	"time"
)

// record is what clients, backends and discovery observed, on one monotonic clock. The dispatchers' own reports are
// no part of it.
type record struct {
	began        time.Time
	cacheTimeout time.Duration // for which a KV cache may be held without an attempt in flight, by the settings
	crowded      bool          // idle clients use up the descriptors: new connections may be closed unread

	mu           sync.Mutex
	requests     []*request
	byID         map[string]*request
	attempts     []*attempt
	cacheEvents  []cacheEvent
	stateChanges []stateChange
	processes    []*process
}

func newRecord(v variant) *record {
	return &record{
		began: time.Now(), cacheTimeout: v.cacheTimeout, crowded: v.idleClients > 0, byID: map[string]*request{},
	}
}

// now returns the time since the run began. It is never 0.
func (r *record) now() time.Duration { return max(time.Since(r.began), 1) }

// class is a priority class of requests.
type class struct {
	name          string
	nonIdempotent bool // a request must not run twice
	deadline      time.Duration
	dedupWindow   time.Duration // in which backends drop repeats; 0: they do not
}

// request is one request of a client.
type request struct {
	id           string
	class        class
	sentAt       []time.Duration // when the last byte was written; several if a connection was closed before an answer
	sendStarts   []time.Duration // when each of these sends began
	dispatchers  []int           // the dispatchers that it was sent to
	timeout      time.Duration   // that the client stated
	clientClosed time.Duration   // when the client closed the connection, if before the end of the answer
	status       int
	answerEnd    time.Duration // when the answer had ended
	complete     bool          // the answer was read to its end without an error
	eventCount   int           // number of events in the answer
	eventDelay   time.Duration // largest delay of an event on its way
	gaveUp       time.Duration // when the client stopped trying to send it
	runEnded     bool          // the run ended before it could be sent again
}

// attempt is one request that reached a backend, whole or in part.
type attempt struct {
	id             string
	dispatcher     int
	backend        string
	prefill        bool
	firstByte      time.Duration // when the first byte reached the backend
	arrived        time.Duration // when the last byte reached the backend; 0: it never did
	closed         time.Duration // when the dispatcher had closed the connection
	answered       time.Duration // when the last byte of the answer was written
	neverRan       bool          // the request did not run, and the answer says so
	statedDeadline time.Duration // the time left that the dispatcher stated
	finished       bool          // the backend wrote all of its answer
}

// end returns when the attempt was no longer in flight, or 0 if it still is.
func (a *attempt) end() time.Duration {
	switch {
	case a.closed == 0:
		return a.answered
	case a.answered == 0:
		return a.closed
	}
	return min(a.closed, a.answered)
}

// cacheEvent is a change of whether a KV cache is held for a request.
type cacheEvent struct {
	id     string
	at     time.Duration
	stored bool // false: it was taken by a decode attempt or released
}

// stateChange is a change of a backend's state in the discovery list of one dispatcher.
type stateChange struct {
	backend    string
	dispatcher int
	ready      bool
	at         time.Duration // when the list changed
	written    time.Duration // when it was written to the dispatcher; 0: it was not
}

// process is one process of a dispatcher.
type process struct {
	dispatcher   int
	started      time.Duration
	ready        time.Duration
	terminatedAt time.Duration // when it was sent SIGTERM
	ended        time.Duration
	killed       bool
	crashed      string // how it exited by itself; empty: it did not
	stopped      []span // from SIGSTOP to SIGCONT
	moves        []span // changes of the discovery address, each with a SIGHUP
	dialOutages  []span // while the shims let it make no connection
	usageSamples int    // of its memory and descriptors
	exceeded     excess
}

// span is a period of time.
type span struct{ from, to time.Duration }

func (s span) overlaps(from, to time.Duration) bool { return s.from <= to && from <= s.to }

// with calls a function with the record locked.
func (r *record) with(do func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	do()
}

// processAt returns the process of a dispatcher at a time, or nil if there was none.
func (r *record) processAt(dispatcher int, at time.Duration) *process {
	for i := len(r.processes) - 1; i >= 0; i-- {
		candidate := r.processes[i]
		if candidate.dispatcher == dispatcher && candidate.started <= at && (candidate.ended == 0 || at <= candidate.ended) {
			return candidate
		}
	}
	return nil
}

// dialOutage returns for how long, within a period, the dispatcher's machine let it make no connection. It could
// send no message in that time.
func (r *record) dialOutage(dispatcher int, from, to time.Duration) (sum time.Duration) {
	for _, p := range r.processes {
		if p.dispatcher != dispatcher {
			continue
		}
		for _, s := range p.dialOutages {
			sum += max(min(s.to, to)-max(s.from, from), 0)
		}
	}
	return sum
}

// stoppedFor returns the total length of the SIGSTOP periods that overlap a period. Whatever the dispatcher did in
// that period may be late by as much.
func (r *record) stoppedFor(dispatcher int, from, to time.Duration) (sum time.Duration) {
	for _, p := range r.processes {
		if p.dispatcher != dispatcher {
			continue
		}
		for _, s := range p.stopped {
			if s.overlaps(from, to) {
				sum += s.to - s.from
			}
		}
	}
	return sum
}
