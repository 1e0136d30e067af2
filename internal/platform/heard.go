package platform

import (
	"container/list"
	"sync"

	"sloetrestle/brain"
	"sloetrestle/internal/reach"
)

// heardMost is how many backends an order of the last heard looks at: in a fleet of thousands the first ones say enough.
const heardMost = 48

// failureDomain is what may fall silent together: backends of one role, or of one zone.
type failureDomain struct {
	role brain.Role
	zone int
}

// heardBackend is a backend with what it may fail together with.
type heardBackend struct {
	host   *reach.Pool
	domain failureDomain
}

// heardList orders backends by when they were last heard: whoever has just sent anything (a head, an event, a 202, a 204) runs. A
// connection that comes up shows only that some machine answers for it.
type heardList struct {
	mu    sync.Mutex
	order list.List // of heardBackend, the last heard first
	at    map[*reach.Pool]*list.Element
}

// add puts a backend behind the others: nothing was heard of it yet.
func (l *heardList) add(host *reach.Pool, domain failureDomain) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.at == nil {
		l.at = map[*reach.Pool]*list.Element{}
	}
	if l.at[host] == nil {
		l.at[host] = l.order.PushBack(heardBackend{host, domain})
	}
}

// remove drops a backend that is gone.
func (l *heardList) remove(host *reach.Pool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.at[host]; e != nil {
		l.order.Remove(e)
		delete(l.at, host)
	}
}

// heard takes note that a backend has sent something.
func (l *heardList) heard(host *reach.Pool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.at[host]; e != nil {
		l.order.MoveToFront(e)
	}
}

// silent takes note that a backend was asked and sent nothing.
func (l *heardList) silent(host *reach.Pool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.at[host]; e != nil {
		l.order.MoveToBack(e)
	}
}

// lastHeard is the order in which to ask for what any running backend can do: the one heard last, then the last heard of each other
// failure domain, then the next ones of each, as most of one domain may have fallen silent since.
func (l *heardList) lastHeard() []*reach.Pool {
	l.mu.Lock()
	defer l.mu.Unlock()
	var domains []failureDomain
	of := map[failureDomain][]*reach.Pool{}
	for e, looked := l.order.Front(), 0; e != nil && looked < heardMost; e, looked = e.Next(), looked+1 {
		b := e.Value.(heardBackend)
		if of[b.domain] == nil {
			domains = append(domains, b.domain)
		}
		of[b.domain] = append(of[b.domain], b.host)
	}
	var order []*reach.Pool
	for round, more := 0, true; more; round++ {
		more = false
		for _, domain := range domains {
			if hosts := of[domain]; round < len(hosts) {
				order = append(order, hosts[round])
				more = true
			}
		}
	}
	return order
}
