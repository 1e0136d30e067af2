// Package monitor checks the dispatcher's rules at run time. It is notified of each event on the wire, counts
// violations by rule and logs each one with the last events of its request. It changes nothing and relies on nothing
// that the scheduler believes. Begin with Monitor.
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
	Held                  // a KV cache that waits too long
	Deadline              // an attempt with a longer timeout than its client's deadline leaves
	rules
)

// String returns the name of the rule in logs and counters.
func (r Rule) String() string {
	return [...]string{"lost", "duplicate", "drain", "held", "deadline"}[r]
}

// Bounds holds the bounds of the rules.
type Bounds struct {
	ClientGoneGrace       time.Duration // after a client's close, within which an attempt may still begin
	DrainGrace time.Duration // after a backend begins to drain or is removed, within which an attempt may still begin
	MaxCacheWait       time.Duration // that a KV cache may wait for an attempt to arrive or for its release; 0: not checked
	TimeoutSlack       time.Duration // by which an attempt's timeout may exceed the time that its client has left
}

// Class says whether a request may run more than once.
type Class int

const (
	Idempotent   Class = iota
	Deduplicated       // repeats are recognised and dropped within a group of backends and a window of time
	NonIdempotent
)

// AttemptEnd is what the end of an attempt proves.
type AttemptEnd int

const (
	NeverRan AttemptEnd = iota
	MayHaveRun
	CacheHeld // a prefill that succeeded: the backend holds the request's KV cache
)

const (
	eventsMost   = 2048            // events in the ring
	requestsMost = 8192            // requests that are tracked
	forgetAfter  = 5 * time.Second // from a request's end until it is dropped, if no KV cache is held for it
)

// event is an entry of the ring.
type event struct {
	at   time.Duration
	id   string
	text string
}

// request is what the monitor knows of a request. Its times count from the start of the monitor's clock.
type request struct {
	class    Class
	until    time.Duration // its client's deadline
	out      int           // attempts in flight
	mayRun   bool          // an attempt with an effect may have run
	answered bool
	gone     time.Duration // when its client went; 0: it is still there
	held     bool          // a backend holds its KV cache
	waits    time.Duration // since when the KV cache waits for an attempt to arrive or for its release; 0: it does not
	over     time.Duration // when it ended; 0: it has not
}

// Monitor counts violations. It is safe for concurrent use.
type Monitor struct {
	Terms Bounds
	Since func() time.Duration // the clock: the time since some fixed instant
	Log   *slog.Logger

	mu       sync.Mutex
	requests map[string]*request      // by id
	changed  map[string]time.Duration // since when a backend has been draining or removed, by name
	ring     [eventsMost]event
	next     int // number of events recorded
	counts   [rules]int64
	swept    time.Duration // when ended requests were last dropped
}

// New returns a monitor that reads its time from the given clock.
func New(terms Bounds, clock func() time.Duration, log *slog.Logger) *Monitor {
	return &Monitor{
		Terms: terms, Since: clock, Log: log, requests: map[string]*request{}, changed: map[string]time.Duration{},
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
func (m *Monitor) note(id, text string) time.Duration {
	now := m.Since()
	m.ring[m.next%eventsMost] = event{now, id, text}
	m.next++
	if now-m.swept >= forgetAfter {
		m.forget(now)
	}
	return now
}

// recordViolation counts a violation and logs it with the request's last events. The caller holds the lock.
func (m *Monitor) broke(rule Rule, id, reason string) {
	m.counts[rule]++
	var events []string
	for i := max(m.next-eventsMost, 0); i < m.next; i++ {
		if e := m.ring[i%eventsMost]; e.id == id {
			events = append(events, fmt.Sprintf("%.3f %s", e.at.Seconds(), e.text))
		}
	}
	m.Log.Error("rule broken", "rule", rule, "id", id, "why", reason, "events", strings.Join(events, "; "))
}

// dropEnded drops requests that have ended. The caller holds the lock.
func (m *Monitor) forget(now time.Duration) {
	m.swept = now
	for id, r := range m.requests {
		if r.over > 0 && now-r.over >= forgetAfter && !r.held && r.out == 0 {
			delete(m.requests, id)
		}
	}
}

// find returns a tracked request, or nil. The caller holds the lock.
func (m *Monitor) known(id string) *request { return m.requests[id] }

// RequestAccepted records a request and the time that its client has left.
func (m *Monitor) RequestAccepted(id string, class Class, left time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.note(id, fmt.Sprintf("accepted with %v left", left))
	if len(m.requests) < requestsMost {
		m.requests[id] = &request{class: class, until: now + left}
	}
}

// ClientGone records that a request's client has closed.
func (m *Monitor) ClientGone(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.note(id, "client gone")
	if r := m.known(id); r != nil && r.gone == 0 {
		r.gone = now
		m.finished(r, now)
	}
}

// markEnded records that nobody waits for a request any more. The caller holds the lock.
func (m *Monitor) finished(r *request, now time.Duration) {
	if r.over == 0 {
		r.over = max(now, 1)
	}
}

// BackendChanged records what discovery reports of a backend: whether it may be sent requests.
func (m *Monitor) BackendChanged(backend string, ready bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, unavailable := m.changed[backend]
	switch {
	case ready && unavailable:
		delete(m.changed, backend)
	case !ready && !unavailable:
		m.changed[backend] = m.note("", backend+" is draining or removed")
	}
}

// AttemptBegins records an attempt; it is called right before the attempt's first byte is written. An attempt has an
// effect unless it is at a prefill backend; timeout is the one that it states to its backend.
func (m *Monitor) AttemptBegins(id, backend string, number int, effect bool, timeout time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.note(id, fmt.Sprintf("attempt %d begins at %s, timeout %v", number, backend, timeout))
	if unavailableSince, unavailable := m.changed[backend]; unavailable && now-unavailableSince > m.Terms.DrainGrace {
		m.broke(Drain, id, fmt.Sprintf("%s has been draining or removed for %v, allowed %v", backend, now-unavailableSince,
			m.Terms.DrainGrace))
	}
	r := m.known(id)
	if r == nil {
		return
	}
	if r.gone > 0 && now-r.gone > m.Terms.ClientGoneGrace {
		m.broke(Lost, id, fmt.Sprintf("its client has been gone for %v, allowed %v", now-r.gone, m.Terms.ClientGoneGrace))
	}
	if r.answered {
		m.broke(Lost, id, "an attempt begins after the response")
	}
	if r.out > 0 {
		m.broke(Duplicate, id, "another attempt is in flight")
	}
	if effect && r.mayRun && r.class == NonIdempotent {
		m.broke(Duplicate, id, "an earlier attempt may have run")
	}
	if left := r.until - now; timeout > left+m.Terms.TimeoutSlack {
		m.broke(Deadline, id, fmt.Sprintf("the timeout is %v, its client has %v left, allowed excess %v", timeout, left,
			m.Terms.TimeoutSlack))
	}
	r.out++
}

// AttemptSent records that an attempt's last byte was written. The request may not have arrived yet, so the KV cache
// that it is to take keeps waiting.
func (m *Monitor) AttemptSent(id string, number int, effect bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.note(id, fmt.Sprintf("attempt %d sent", number))
	if r := m.known(id); r != nil {
		r.mayRun = r.mayRun || effect
	}
}

// AttemptArrived records that a backend has begun to answer an attempt: the KV cache that it takes no longer waits.
func (m *Monitor) AttemptArrived(id string, number int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.note(id, fmt.Sprintf("attempt %d has arrived", number))
	if r := m.known(id); r != nil {
		m.checkHeld(id, r, now)
		r.waits = 0
	}
}

// AttemptEnds records the end of an attempt that had begun, and what the end proves.
func (m *Monitor) AttemptEnds(id string, number int, effect bool, end AttemptEnd, reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.note(id, fmt.Sprintf("attempt %d ends, %s", number, reason))
	r := m.known(id)
	if r == nil {
		return
	}
	r.out = max(r.out-1, 0)
	if effect {
		r.mayRun = end == MayHaveRun
	}
	if end == CacheHeld {
		r.held = true
	}
	if r.held && r.out == 0 && r.waits == 0 {
		r.waits = max(now, 1)
	}
}

// checkHeld checks how long a KV cache has waited. The caller holds the lock.
func (m *Monitor) checkHeld(id string, r *request, now time.Duration) {
	if r.held && r.waits > 0 && m.Terms.MaxCacheWait > 0 && now-r.waits > m.Terms.MaxCacheWait {
		m.broke(Held, id, fmt.Sprintf("a KV cache has waited for %v, allowed %v", now-r.waits, m.Terms.MaxCacheWait))
	}
}

// CacheReleased records that a request's KV cache has been released or taken by another backend.
func (m *Monitor) CacheReleased(id, event string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.note(id, event)
	if r := m.known(id); r != nil {
		m.checkHeld(id, r, now)
		r.held, r.waits = false, 0
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
	now := m.note(id, text)
	r := m.known(id)
	if r == nil {
		return
	}
	if r.answered {
		m.broke(Lost, id, "it has been answered already")
	}
	if rejection && r.class == NonIdempotent && (r.mayRun || r.out > 0) {
		m.broke(Duplicate, id, "rejected after an attempt that may have run")
	}
	r.answered = true
	m.finished(r, now)
}

// RequestClosed records that a request's handler has ended. A client that is still there must have had its response.
func (m *Monitor) RequestClosed(id, reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.note(id, "closed: "+reason)
	if r := m.known(id); r != nil {
		if !r.answered && r.gone == 0 {
			m.broke(Lost, id, "closed without a response")
		}
		m.finished(r, now)
	}
}
