package platform

import (
	"container/list"
	"sync"

	"sloetrestle/internal/connpool"
	"sloetrestle/scheduler"
)

// maxActivityScan is how many backends byRecency looks at. In a fleet of thousands the most recent ones are enough.
const maxActivityScan = 48

// failureDomain groups backends that may fail together: those of one role in one zone.
type failureDomain struct {
	role scheduler.Role
	zone int
}

// activityEntry is a backend and its failure domain.
type activityEntry struct {
	pool   *connpool.Pool
	domain failureDomain
}

// activityList orders backends by when they last sent anything: a response head, an event, a 202 or a 204 shows that
// the backend runs. An established connection doesn't count, as it shows only that some machine answers for the
// backend.
type activityList struct {
	mu       sync.Mutex
	order    list.List // of activityEntry, the most recently active first
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
		l.elements[pool] = l.order.PushBack(activityEntry{pool, domain})
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
		l.order.MoveToFront(element)
	}
}

// recordSilence moves a backend to the back, as it was sent a request and sent nothing.
func (l *activityList) recordSilence(pool *connpool.Pool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if element := l.elements[pool]; element != nil {
		l.order.MoveToBack(element)
	}
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
		entry := e.Value.(activityEntry)
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
