// Package monitor checks the rules at run time: it is told of each event as it happens on the wire (an attempt's first and last byte and
// its end, answers, clients that go, what discovery tells, states that are held and released), counts violations by rule and logs each
// with the last events of its request. It never changes what is done, and takes nothing from what the program believes. Begin with
// Monitor.
package monitor

import (
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"
)

// Rule is one that an event can break.
type Rule int

const (
	Lost      Rule = iota // an attempt for a client that has gone, an answer too many, or a request closed without one
	Duplicate             // two attempts out, a second run, or a rejection after one that may have run
	Drain                 // an attempt to a backend that drains or is gone
	CacheWait             // a state that waits too long
	Deadline              // an attempt is told more time than its client has left
	ruleCount
)

// String is how logs and counters name it.
func (r Rule) String() string {
	return [...]string{"lost", "duplicate", "drain", "held", "deadline"}[r]
}

// Terms are the bounds of the rules.
type Bounds struct {
	ClientGoneGrace time.Duration // from a client's close, in which an attempt may still begin
	DrainGrace      time.Duration // from a change of a backend, in which an attempt may still begin
	MaxCacheWait    time.Duration // for which a state may wait with no attempt out; 0: not checked
	TimeoutSlack    time.Duration // by which a told deadline may be over what the client has left
}

// Class is what a request's class says of running it again.
type Class int

const (
	Idempotent   Class = iota
	Deduplicated       // repeats are dropped within a group and a window, which the module knows
	NonIdempotent
)

// End is what an attempt's end proves.
type AttemptEnd int

const (
	NeverRan AttemptEnd = iota
	MayHaveRun
	CacheHeld // a prefill that ended well: its state waits
)

const (
	maxEvents      = 2048            // in the ring
	maxRequests    = 8192            // that are remembered
	endedRetention = 5 * time.Second // from a request's end, if nothing is held for it
)

// event is one line of the ring.
type event struct {
	timestamp time.Duration
	id        string
	text      string
}

// request is what is known of one.
type request struct {
	class           Class
	deadline        time.Duration // when its client's time is up
	inFlight        int           // attempts that are out
	mayHaveRun      bool          // an attempt that has an effect may have run
	answered        bool
	clientGoneAt    time.Duration // since when its client has gone; 0: it has not
	cacheHeld       bool
	cacheWaitsSince time.Duration // since when a state waits with no attempt out
	endedAt         time.Duration // since when it is
}

// Monitor counts violations.
type Monitor struct {
	Bounds Bounds
	Clock  func() time.Duration
	Log    *slog.Logger

	mu               sync.Mutex
	requests         map[string]*request
	unavailableSince map[string]time.Duration // since when a backend drains or is gone
	ring             [maxEvents]event
	next             int
	counts           [ruleCount]int64
	lastSweep        time.Duration
}

// New makes a monitor.
func New(terms Bounds, since func() time.Duration, log *slog.Logger) *Monitor {
	return &Monitor{Bounds: terms, Clock: since, Log: log, requests: map[string]*request{}, unavailableSince: map[string]time.Duration{}}
}

// Counts is how often each rule was broken, as text.
func (m *Monitor) Counts() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var parts []string
	for rule, n := range m.counts {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%v:%d", Rule(rule), n))
		}
	}
	return strings.Join(parts, " ")
}

// Count is how often a rule was broken.
func (m *Monitor) Count(rule Rule) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts[rule]
}

// note puts an event into the ring. The lock is held.
func (m *Monitor) record(id, text string) time.Duration {
	now := m.Clock()
	m.ring[m.next%maxEvents] = event{now, id, text}
	m.next++
	if now-m.lastSweep >= endedRetention {
		m.dropEnded(now)
	}
	return now
}

// broke counts a violation and logs it with the request's last events. The lock is held.
func (m *Monitor) recordViolation(rule Rule, id, why string) {
	m.counts[rule]++
	var events []string
	for i := max(m.next-maxEvents, 0); i < m.next; i++ {
		if e := m.ring[i%maxEvents]; e.id == id {
			events = append(events, fmt.Sprintf("%.3f %s", e.timestamp.Seconds(), e.text))
		}
	}
	m.Log.Error("rule broken", "rule", rule, "id", id, "why", why, "events", strings.Join(events, "; "))
}

// forget drops requests that are over. The lock is held.
func (m *Monitor) dropEnded(now time.Duration) {
	m.lastSweep = now
	for id, r := range m.requests {
		if r.endedAt > 0 && now-r.endedAt >= endedRetention && !r.cacheHeld && r.inFlight == 0 {
			delete(m.requests, id)
		}
	}
}

// known is a request that was taken. The lock is held.
func (m *Monitor) find(id string) *request { return m.requests[id] }

// Taken is told of a request and of the time that its client has left.
func (m *Monitor) RequestAccepted(id string, class Class, left time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.record(id, fmt.Sprintf("taken with %v left", left))
	if len(m.requests) < maxRequests {
		m.requests[id] = &request{class: class, deadline: now + left}
	}
}

// ClientGone is told that a request's client has closed.
func (m *Monitor) ClientGone(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.record(id, "client gone")
	if r := m.find(id); r != nil && r.clientGoneAt == 0 {
		r.clientGoneAt = now
		m.markEnded(r, now)
	}
}

// finished takes note that nobody waits for a request any more. The lock is held.
func (m *Monitor) markEnded(r *request, now time.Duration) {
	if r.endedAt == 0 {
		r.endedAt = max(now, 1)
	}
}

// Changed is told what discovery says of a backend: whether it may be sent requests.
func (m *Monitor) BackendChanged(backend string, ready bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, known := m.unavailableSince[backend]
	switch {
	case ready && known:
		delete(m.unavailableSince, backend)
	case !ready && !known:
		m.unavailableSince[backend] = m.record("", backend+" drains or is gone")
	}
}

// AttemptBegins is told right before an attempt's first byte. effect: it is not at a prefill backend; told is the deadline that it states.
func (m *Monitor) AttemptBegins(id, backend string, number int, effect bool, told time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.record(id, fmt.Sprintf("attempt %d begins at %s, told %v", number, backend, told))
	if since, drains := m.unavailableSince[backend]; drains && now-since > m.Bounds.DrainGrace {
		m.recordViolation(Drain, id, fmt.Sprintf("%s drains or is gone since %v", backend, now-since))
	}
	r := m.find(id)
	if r == nil {
		return
	}
	if r.clientGoneAt > 0 && now-r.clientGoneAt > m.Bounds.ClientGoneGrace {
		m.recordViolation(Lost, id, fmt.Sprintf("its client has gone since %v", now-r.clientGoneAt))
	}
	if r.answered {
		m.recordViolation(Lost, id, "it has its answer")
	}
	if r.inFlight > 0 {
		m.recordViolation(Duplicate, id, "another attempt is out")
	}
	if effect && r.mayHaveRun && r.class == NonIdempotent {
		m.recordViolation(Duplicate, id, "an earlier attempt may have run")
	}
	if left := r.deadline - now; told > left+m.Bounds.TimeoutSlack {
		m.recordViolation(Deadline, id, fmt.Sprintf("its client has %v left", left))
	}
	r.inFlight++
}

// AttemptSent is told that an attempt's last byte was written. Whether it has arrived is another matter: the state that it is to take
// goes on waiting.
func (m *Monitor) AttemptSent(id string, number int, effect bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.record(id, fmt.Sprintf("attempt %d sent", number))
	if r := m.find(id); r != nil {
		r.mayHaveRun = r.mayHaveRun || effect
	}
}

// AttemptArrived is told that a backend has begun to answer an attempt: the state that it takes does not wait any more.
func (m *Monitor) AttemptArrived(id string, number int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.record(id, fmt.Sprintf("attempt %d has arrived", number))
	if r := m.find(id); r != nil {
		m.checkCacheWait(id, r, now)
		r.cacheWaitsSince = 0
	}
}

// AttemptEnds is told of the end of an attempt that had begun, and what it proves.
func (m *Monitor) AttemptEnds(id string, number int, effect bool, end AttemptEnd, how string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.record(id, fmt.Sprintf("attempt %d ends, %s", number, how))
	r := m.find(id)
	if r == nil {
		return
	}
	r.inFlight = max(r.inFlight-1, 0)
	if effect {
		r.mayHaveRun = end == MayHaveRun
	}
	if end == CacheHeld {
		r.cacheHeld = true
	}
	if r.cacheHeld && r.inFlight == 0 && r.cacheWaitsSince == 0 {
		r.cacheWaitsSince = max(now, 1)
	}
}

// checkHeld looks whether a state has waited too long. The lock is held.
func (m *Monitor) checkCacheWait(id string, r *request, now time.Duration) {
	if r.cacheHeld && r.cacheWaitsSince > 0 && m.Bounds.MaxCacheWait > 0 && now-r.cacheWaitsSince > m.Bounds.MaxCacheWait {
		m.recordViolation(CacheWait, id, fmt.Sprintf("a state waited for %v", now-r.cacheWaitsSince))
	}
}

// Released is told that a backend has released, or another has taken, what was held for a request.
func (m *Monitor) CacheReleased(id, how string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.record(id, how)
	if r := m.find(id); r != nil {
		m.checkCacheWait(id, r, now)
		r.cacheHeld, r.cacheWaitsSince = false, 0
	}
}

// Answered is told of the final answer that was written. rejection: it promises that trying again is harmless.
func (m *Monitor) Answered(id string, status int, rejection bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	text := fmt.Sprintf("answered %d", status)
	if err != nil {
		text += ", not written: " + err.Error()
	}
	now := m.record(id, text)
	r := m.find(id)
	if r == nil {
		return
	}
	if r.answered {
		m.recordViolation(Lost, id, "it has an answer already")
	}
	if rejection && r.class == NonIdempotent && (r.mayHaveRun || r.inFlight > 0) {
		m.recordViolation(Duplicate, id, "it was rejected after an attempt that may have run")
	}
	r.answered = true
	m.markEnded(r, now)
}

// Closed is told that a request's handler has ended. A client that is still there has to have had its answer.
func (m *Monitor) RequestClosed(id, why string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.record(id, "closed: "+why)
	if r := m.find(id); r != nil {
		if !r.answered && r.clientGoneAt == 0 {
			m.recordViolation(Lost, id, "its connection is closed without an answer")
		}
		m.markEnded(r, now)
	}
}
