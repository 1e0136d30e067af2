package soak

import (
	"sync"
	"time"
)

// record is what the far ends saw, on one monotonic clock. The dispatchers' own word is no part of it.
type record struct {
	began        time.Time
	cacheTimeout time.Duration // for which a state may wait with no attempt out, as the settings have it
	crowded      bool          // idle clients fill the descriptors: new connections may be shut unread

	mu           sync.Mutex
	requests     []*request
	byID         map[string]*request
	attempts     []*attempt
	cacheEvents  []cacheEvent
	stateChanges []stateChange
	processes    []*process
}

func newRecord(v variant) *record {
	return &record{began: time.Now(), cacheTimeout: v.cacheTimeout, crowded: v.idleClients > 0, byID: map[string]*request{}}
}

// now is the time since the run began, never 0.
func (r *record) now() time.Duration { return max(time.Since(r.began), 1) }

// class is a class of requests.
type class struct {
	name          string
	nonIdempotent bool // it may not run twice
	deadline      time.Duration
	dedupWindow   time.Duration // in which backends drop repeats; 0: they do not
}

// request is one request of a client.
type request struct {
	id           string
	class        class
	sentAt       []time.Duration // when its last byte was written; more than one: its connection was closed before an answer
	sendStarts   []time.Duration // when each of these sends began
	dispatchers  []int           // the dispatchers that it was sent to
	timeout      time.Duration   // that its client gave it
	clientClosed time.Duration   // when its client closed, if it did before the answer's end
	status       int
	answerEnd    time.Duration // when its answer had ended
	complete     bool          // in good order
	eventCount   int           // that its answer had
	eventDelay   time.Duration // by which the latest of them was held back on its way
	gaveUp       time.Duration // when nobody would take it any more
	runEnded     bool          // the run ended before it could be sent again
}

// attempt is one request that came to a backend, or the beginning of one.
type attempt struct {
	id             string
	dispatcher     int
	backend        string
	prefill        bool
	firstByte      time.Duration // its first byte
	arrived        time.Duration // its last byte had come to the backend; 0: it never did
	closed         time.Duration // its dispatcher had closed the connection
	answered       time.Duration // the last byte of its answer was written
	neverRan       bool          // the answer says so, and it did not
	statedDeadline time.Duration // the deadline that it states
	finished       bool          // the backend wrote all of its answer
}

// end is when the attempt was not out any more; 0: it still is.
func (a *attempt) end() time.Duration {
	switch {
	case a.closed == 0:
		return a.answered
	case a.answered == 0:
		return a.closed
	}
	return min(a.closed, a.answered)
}

// holdEvent is a change of what is held for a request.
type cacheEvent struct {
	id     string
	at     time.Duration
	stored bool // false: it was taken or released
}

// listing is a state of a backend as discovery had it for one dispatcher.
type stateChange struct {
	backend    string
	dispatcher int
	ready      bool
	at         time.Duration // when discovery had it
	written    time.Duration // when it was written to the dispatcher; 0: it was not
}

// life is one process of a dispatcher.
type process struct {
	dispatcher   int
	started      time.Duration
	ready        time.Duration
	terminatedAt time.Duration // to stop, by SIGTERM
	ended        time.Duration
	killed       bool
	crashed      string
	stopped      []span // while it was stopped by a signal
	moves        []span // a SIGHUP with a new address of discovery
	dialOutages  []span // while its machine let it begin no connection
}

// span is a stretch of time.
type span struct{ from, to time.Duration }

func (s span) overlaps(from, to time.Duration) bool { return s.from <= to && from <= s.to }

// with runs something with the record to itself.
func (r *record) with(do func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	do()
}

// lifeAt is the process of a dispatcher at a time; nil: there was none.
func (r *record) processAt(dispatcher int, at time.Duration) *process {
	for i := len(r.processes) - 1; i >= 0; i-- {
		l := r.processes[i]
		if l.dispatcher == dispatcher && l.started <= at && (l.ended == 0 || at <= l.ended) {
			return l
		}
	}
	return nil
}

// cutOff is for how long the dispatcher's own machine let it begin no connection within a time: nothing that it has to say could go out.
func (r *record) dialOutage(dispatcher int, from, to time.Duration) (sum time.Duration) {
	for _, l := range r.processes {
		if l.dispatcher != dispatcher {
			continue
		}
		for _, s := range l.dialOutages {
			sum += max(min(s.to, to)-max(s.from, from), 0)
		}
	}
	return sum
}

// heldUp is for how long the dispatcher was stopped by signals around a time: whatever it did then it did so much late.
func (r *record) stoppedFor(dispatcher int, from, to time.Duration) (sum time.Duration) {
	for _, l := range r.processes {
		if l.dispatcher != dispatcher {
			continue
		}
		for _, s := range l.stopped {
			if s.overlaps(from, to) {
				sum += s.to - s.from
			}
		}
	}
	return sum
}
