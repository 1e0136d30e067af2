// Package agenda has things to do at given times, for loops that move a clock of their own. Begin with Agenda.
package agenda

import (
	"container/heap"
	"time"
)

// Agenda holds what is to be done, in the order of time, and of one time in that in which it was put down. The zero Agenda is
// empty.
type Queue struct {
	list entries
	n    uint64
}

type entry struct {
	at    time.Duration
	order uint64
	do    func()
}

type entries []*entry

func (e entries) Len() int { return len(e) }
func (e entries) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e entries) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *entries) Push(x any)   { *e = append(*e, x.(*entry)) }
func (e *entries) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*e = old[:len(old)-1]
	return last
}

// At puts something down.
func (a *Queue) Schedule(at time.Duration, do func()) {
	a.n++
	heap.Push(&a.list, &entry{at, a.n, do})
}

// Len is how much there is to do.
func (a *Queue) Len() int { return len(a.list) }

// Clear drops all of it.
func (a *Queue) Clear() { a.list = nil }

// Next is when the next thing is due; false: there is none.
func (a *Queue) NextDue() (time.Duration, bool) {
	if len(a.list) == 0 {
		return 0, false
	}
	return a.list[0].at, true
}

// Take takes the next thing out, if it is due by a time.
func (a *Queue) PopDue(by time.Duration) (at time.Duration, do func(), ok bool) {
	if len(a.list) == 0 || a.list[0].at > by {
		return 0, nil, false
	}
	e := heap.Pop(&a.list).(*entry)
	return e.at, e.do, true
}

// Run does all that is due up to a time, in order; each time is told to at first.
func (a *Queue) RunUntil(until time.Duration, at func(time.Duration)) {
	for {
		when, do, ok := a.PopDue(until)
		if !ok {
			return
		}
		at(when)
		do()
	}
}
