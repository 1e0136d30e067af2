package platform

import (
	"container/list"
	"sync"
	"time"

	"sloetrestle/internal/connpool"
	"sloetrestle/scheduler"
)

// maxActivityScan is how many backends byRecency looks at. In a fleet of thousands the most recent ones are enough.
const maxActivityScan = 48

// Bounds of the wait between two release calls to a backend that does not answer, from all releases together. The wait
// doubles with each call.
const (
	minSilentWait = 20 * time.Millisecond
	maxSilentWait = 200 * time.Millisecond
)

// failureDomain groups backends that may fail together: those of one role in one zone.
type failureDomain struct {
	role scheduler.Role
	zone int
}

// activityEntry is a backend with its failure domain.
type activityEntry struct {
	pool       *connpool.Pool
	domain     failureDomain
	silentWait time.Duration // before the next release call, if the last one had no answer; else 0
	nextCall   time.Time     // the earliest time of it
}

// activityList orders backends by when they last sent anything: a response head, an event, a 202 or a 204 shows that
// the backend runs. An established connection doesn't count, as it shows only that some machine answers for the
// backend.
type activityList struct {
	mu       sync.Mutex
	order    list.List // of *activityEntry, the most recently active first
	elements map[*connpool.Pool]*list.Element
}

// add appends a backend that has not sent anything yet.
func (l *activityList) add(pool *connpool.Pool, domain failureDomain) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.elements == nil {
		l.elements = map[*connpool.Pool]*list.Element{}
	}
	if l.elements[pool] == nil {
		l.elements[pool] = l.order.PushBack(&activityEntry{pool: pool, domain: domain})
	}
}

// remove drops a backend that was removed from service discovery.
func (l *activityList) remove(pool *connpool.Pool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if element := l.elements[pool]; element != nil {
		l.order.Remove(element)
		delete(l.elements, pool)
	}
}

// recordActivity moves a backend to the front, as it has just sent something.
func (l *activityList) recordActivity(pool *connpool.Pool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if element := l.elements[pool]; element != nil {
		element.Value.(*activityEntry).silentWait = 0
		l.order.MoveToFront(element)
	}
}

// recordSilence moves a backend to the back, as it was sent a request and sent nothing.
func (l *activityList) recordSilence(pool *connpool.Pool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.moveToBack(pool)
}

// moveToBack moves a backend to the back and returns its entry, or nil if there is none. The caller holds the lock.
func (l *activityList) moveToBack(pool *connpool.Pool) *activityEntry {
	element := l.elements[pool]
	if element == nil {
		return nil
	}
	l.order.MoveToBack(element)
	return element.Value.(*activityEntry)
}

// recordUnanswered moves a backend to the back, as it did not answer a release call, and delays the next call.
func (l *activityList) recordUnanswered(pool *connpool.Pool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if entry := l.moveToBack(pool); entry != nil && entry.silentWait == 0 {
		entry.silentWait, entry.nextCall = minSilentWait, now.Add(minSilentWait)
	}
}

// callDelay returns how long a release call to a backend has to wait. A backend that did not answer is called by one
// release at a time; the call of which the delay is 0 counts as begun.
func (l *activityList) callDelay(pool *connpool.Pool, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	element := l.elements[pool]
	if element == nil {
		return 0
	}
	entry := element.Value.(*activityEntry)
	switch {
	case entry.silentWait == 0:
		return 0
	case now.Before(entry.nextCall):
		return entry.nextCall.Sub(now)
	}
	entry.silentWait = min(2*entry.silentWait, maxSilentWait)
	entry.nextCall = now.Add(entry.silentWait)
	return 0
}

// byRecency returns backends in the order in which to try a call that any running backend can serve: the most
// recently active one, then the most recently active one of each other failure domain, then the second of each, and
// so on, as most backends of one domain may have failed since.
func (l *activityList) byRecency() []*connpool.Pool {
	l.mu.Lock()
	defer l.mu.Unlock()
	var domains []failureDomain
	byDomain := map[failureDomain][]*connpool.Pool{}
	for e, scanned := l.order.Front(), 0; e != nil && scanned < maxActivityScan; e, scanned = e.Next(), scanned+1 {
		entry := e.Value.(*activityEntry)
		if byDomain[entry.domain] == nil {
			domains = append(domains, entry.domain)
		}
		byDomain[entry.domain] = append(byDomain[entry.domain], entry.pool)
	}
	var order []*connpool.Pool
	for round, more := 0, true; more; round++ {
		more = false
		for _, domain := range domains {
			if pools := byDomain[domain]; round < len(pools) {
				order = append(order, pools[round])
				more = true
			}
		}
	}
	return order
}
