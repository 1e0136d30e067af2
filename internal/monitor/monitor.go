// Package monitor checks the dispatcher's rules at run time. It is notified of each event on the wire, counts
// violations by rule and logs each one with the last events of its request. It changes nothing and relies on nothing
// that the scheduler estimates. Begin with Monitor.
package monitor

import (
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"
)

// Rule is a rule whose violations are counted.
type Rule int

const (
	Lost      Rule = iota // an attempt for a client that has gone, a second response, or a request closed without one
	Duplicate             // two attempts in flight, a second run, or a rejection after an attempt that may have run
	Drain                 // an attempt at a backend that is draining or removed
	CacheWait             // a KV cache that waits too long
	Deadline              // an attempt with a longer timeout than its client's deadline leaves
	ruleCount
)

// String returns the name of the rule in logs and counters.
func (r Rule) String() string {
	return [...]string{"lost", "duplicate", "drain", "held", "deadline"}[r]
}

// Bounds holds the bounds of the rules.
type Bounds struct {
	ClientGoneGrace time.Duration // after a client's close, within which an attempt may still begin
	DrainGrace      time.Duration // after a backend begins to drain or is removed, within which an attempt may still begin
	MaxCacheWait    time.Duration // that a KV cache may wait for an attempt to arrive or for its release; 0: not checked
	TimeoutSlack    time.Duration // by which an attempt's timeout may exceed the time that its client has left
}

// Class says whether a request may run more than once.
type Class int

const (
	Idempotent    Class = iota // may run any number of times
	Deduplicated               // repeats are recognised and dropped within a group of backends and a window of time
	NonIdempotent              // must run at most once
)

// AttemptEnd is what the end of an attempt proves.
type AttemptEnd int

const (
	NeverRan   AttemptEnd = iota // the backend did not run the attempt
	MayHaveRun                   // the backend may have run it, whole or in part
	CacheHeld                    // a prefill that succeeded: the backend holds the request's KV cache
)

const (
	maxEvents      = 2048            // events in the ring
	maxRequests    = 8192            // requests that are tracked
	endedRetention = 5 * time.Second // from a request's end until it is dropped, if no KV cache is held for it
)

// event is an entry of the ring.
type event struct {
	timestamp time.Duration
	id        string
	text      string
}

// request is what the monitor knows of a request. Its times count from the start of the monitor's clock.
type request struct {
	class           Class
	deadline        time.Duration // its client's deadline
	inFlight        int           // attempts in flight
	mayHaveRun      bool          // an attempt with an effect may have run
	answered        bool
	clientGoneAt    time.Duration // when its client disconnected; 0: it is still there
	cacheHeld       bool          // a backend holds its KV cache
	cacheWaitsSince time.Duration // since when the KV cache waits for an arrival or release; 0: it does not
	endedAt         time.Duration // when it ended; 0: it has not
}

// Monitor counts violations. It is safe for concurrent use.
type Monitor struct {
	Bounds Bounds
	Clock  func() time.Duration // the clock: the time since some fixed instant
	Log    *slog.Logger

	mu               sync.Mutex
	requests         map[string]*request      // by id
	unavailableSince map[string]time.Duration // since when a backend has been draining or removed, by name
	ring             [maxEvents]event
	next             int // number of events recorded
	counts           [ruleCount]int64
	lastSweep        time.Duration // when ended requests were last dropped
}

// New returns a monitor that reads its time from the given clock.
func New(bounds Bounds, clock func() time.Duration, log *slog.Logger) *Monitor {
	return &Monitor{
		Bounds: bounds, Clock: clock, Log: log, requests: map[string]*request{}, unavailableSince: map[string]time.Duration{},
	}
}

// Counts returns the number of violations by rule, as text. Rules without violations are left out.
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

// Count returns the number of violations of a rule.
func (m *Monitor) Count(rule Rule) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts[rule]
}

// record adds an event to the ring and returns its time. The caller holds the lock.
func (m *Monitor) record(id, text string) time.Duration {
	now := m.Clock()
	m.ring[m.next%maxEvents] = event{now, id, text}
	m.next++
	if now-m.lastSweep >= endedRetention {
		m.dropEnded(now)
	}
	return now
}

// recordViolation counts a violation and logs it with the request's last events. The caller holds the lock.
func (m *Monitor) recordViolation(rule Rule, id, reason string) {
	m.counts[rule]++
	var events []string
	for i := max(m.next-maxEvents, 0); i < m.next; i++ {
		if e := m.ring[i%maxEvents]; e.id == id {
			events = append(events, fmt.Sprintf("%.3f %s", e.timestamp.Seconds(), e.text))
		}
	}
	m.Log.Error("rule broken", "rule", rule, "id", id, "why", reason, "events", strings.Join(events, "; "))
}

// dropEnded drops requests that have ended. The caller holds the lock.
func (m *Monitor) dropEnded(now time.Duration) {
	m.lastSweep = now
	for id, r := range m.requests {
		if r.endedAt > 0 && now-r.endedAt >= endedRetention && !r.cacheHeld && r.inFlight == 0 {
			delete(m.requests, id)
		}
	}
}

// find returns a tracked request, or nil. The caller holds the lock.
func (m *Monitor) find(id string) *request { return m.requests[id] }

// RequestAccepted records a request and the time that its client has left.
func (m *Monitor) RequestAccepted(id string, class Class, left time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.record(id, fmt.Sprintf("accepted with %v left", left))
	if len(m.requests) < maxRequests {
		m.requests[id] = &request{class: class, deadline: now + left}
	}
}

// ClientGone records that a request's client has closed.
func (m *Monitor) ClientGone(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.record(id, "client gone")
	if r := m.find(id); r != nil && r.clientGoneAt == 0 {
		r.clientGoneAt = now
		m.markEnded(r, now)
	}
}

// markEnded records that nobody waits for a request any more. The caller holds the lock.
func (m *Monitor) markEnded(r *request, now time.Duration) {
	if r.endedAt == 0 {
		r.endedAt = max(now, 1)
	}
}

// BackendChanged records what discovery reports of a backend: whether it may be sent requests.
func (m *Monitor) BackendChanged(backend string, ready bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, unavailable := m.unavailableSince[backend]
	switch {
	case ready && unavailable:
		delete(m.unavailableSince, backend)
	case !ready && !unavailable:
		m.unavailableSince[backend] = m.record("", backend+" is draining or removed")
	}
}

// AttemptBegins records an attempt; it is called right before the attempt's first byte is written. An attempt has an
// effect unless it is at a prefill backend; timeout is the one that it states to its backend.
func (m *Monitor) AttemptBegins(id, backend string, number int, effect bool, timeout time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.record(id, fmt.Sprintf("attempt %d begins at %s, timeout %v", number, backend, timeout))
	if since, unavailable := m.unavailableSince[backend]; unavailable && now-since > m.Bounds.DrainGrace {
		m.recordViolation(Drain, id, fmt.Sprintf("%s has been draining or removed for %v, allowed %v", backend,
			now-since, m.Bounds.DrainGrace))
	}
	r := m.find(id)
	if r == nil {
		return
	}
	if r.clientGoneAt > 0 && now-r.clientGoneAt > m.Bounds.ClientGoneGrace {
		m.recordViolation(Lost, id, fmt.Sprintf("its client has been gone for %v, allowed %v", now-r.clientGoneAt,
			m.Bounds.ClientGoneGrace))
	}
	if r.answered {
		m.recordViolation(Lost, id, "an attempt begins after the response")
	}
	if r.inFlight > 0 {
		m.recordViolation(Duplicate, id, "another attempt is in flight")
	}
	if effect && r.mayHaveRun && r.class == NonIdempotent {
		m.recordViolation(Duplicate, id, "an earlier attempt may have run")
	}
	if left := r.deadline - now; timeout > left+m.Bounds.TimeoutSlack {
		m.recordViolation(Deadline, id, fmt.Sprintf("the timeout is %v, its client has %v left, allowed excess %v",
			timeout, left, m.Bounds.TimeoutSlack))
	}
	r.inFlight++
}

// AttemptSent records that an attempt's last byte was written. The request may not have arrived yet, so the KV cache
// that it is to take keeps waiting.
func (m *Monitor) AttemptSent(id string, number int, effect bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.record(id, fmt.Sprintf("attempt %d sent", number))
	if r := m.find(id); r != nil {
		r.mayHaveRun = r.mayHaveRun || effect
	}
}

// AttemptArrived records that a backend has begun to answer an attempt: the KV cache that it takes no longer waits.
func (m *Monitor) AttemptArrived(id string, number int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.record(id, fmt.Sprintf("attempt %d has arrived", number))
	if r := m.find(id); r != nil {
		m.checkCacheWait(id, r, now)
		r.cacheWaitsSince = 0
	}
}

// AttemptEnds records the end of an attempt that had begun, and what the end proves.
func (m *Monitor) AttemptEnds(id string, number int, effect bool, end AttemptEnd, reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.record(id, fmt.Sprintf("attempt %d ends, %s", number, reason))
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

// checkCacheWait checks how long a KV cache has waited. The caller holds the lock.
func (m *Monitor) checkCacheWait(id string, r *request, now time.Duration) {
	if r.cacheHeld && r.cacheWaitsSince > 0 && m.Bounds.MaxCacheWait > 0 && now-r.cacheWaitsSince > m.Bounds.MaxCacheWait {
		m.recordViolation(CacheWait, id, fmt.Sprintf("a KV cache has waited for %v, allowed %v", now-r.cacheWaitsSince,
			m.Bounds.MaxCacheWait))
	}
}

// CacheReleased records that a request's KV cache has been released or taken by another backend.
func (m *Monitor) CacheReleased(id, event string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.record(id, event)
	if r := m.find(id); r != nil {
		m.checkCacheWait(id, r, now)
		r.cacheHeld, r.cacheWaitsSince = false, 0
	}
}

// Answered records the final response to a request. A rejection tells the client that a retry is harmless.
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
		m.recordViolation(Lost, id, "it has been answered already")
	}
	if rejection && r.class == NonIdempotent && (r.mayHaveRun || r.inFlight > 0) {
		m.recordViolation(Duplicate, id, "rejected after an attempt that may have run")
	}
	r.answered = true
	m.markEnded(r, now)
}

// RequestClosed records that a request's handler has ended. A client that is still there must have had its response.
func (m *Monitor) RequestClosed(id, reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.record(id, "closed: "+reason)
	if r := m.find(id); r != nil {
		if !r.answered && r.clientGoneAt == 0 {
			m.recordViolation(Lost, id, "closed without a response")
		}
		m.markEnded(r, now)
	}
}
