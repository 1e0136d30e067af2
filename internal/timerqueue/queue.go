// Package timerqueue is a queue of timers for event loops that advance a clock of their own. It starts no goroutines
// and never reads the system's clock; its callers say what time it is. Start with Queue.
package timerqueue

import (
	"container/heap"
	"time"
)

// Queue holds callbacks ordered by the time at which they are due; callbacks due at the same time keep the order in
// which they were added. The zero value is an empty queue. It is not safe for concurrent use.
type Queue struct {
	timers       timerHeap
	lastSequence uint64
}

// Timer is a callback in a queue.
type Timer struct {
	due      time.Duration
	sequence uint64 // order of insertion, which breaks ties
	callback func() // nil once the timer has left the queue
	index    int    // in the heap
}

// timerHeap implements heap.Interface, earliest timer first.
type timerHeap []*Timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].due < h[j].due || h[i].due == h[j].due && h[i].sequence < h[j].sequence
}
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *timerHeap) Push(x any) {
	added := x.(*Timer)
	added.index = len(*h)
	*h = append(*h, added)
}
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// Schedule adds a callback that is due at the given time. It returns the callback's timer, for Cancel.
func (q *Queue) Schedule(due time.Duration, callback func()) *Timer {
	q.lastSequence++
	added := &Timer{due: due, sequence: q.lastSequence, callback: callback}
	heap.Push(&q.timers, added)
	return added
}

// Cancel removes a timer of this queue, with all that its callback refers to. A nil timer, and one that has left the
// queue, are ignored.
func (q *Queue) Cancel(timer *Timer) {
	if timer == nil || timer.callback == nil {
		return
	}
	heap.Remove(&q.timers, timer.index)
	timer.callback = nil
}

// Len returns the number of timers in the queue.
func (q *Queue) Len() int { return len(q.timers) }

// Clear removes all timers.
func (q *Queue) Clear() {
	for _, timer := range q.timers {
		timer.callback = nil
	}
	q.timers = nil
}

// NextDue returns the time at which the earliest timer is due, and false if the queue is empty.
func (q *Queue) NextDue() (time.Duration, bool) {
	if len(q.timers) == 0 {
		return 0, false
	}
	return q.timers[0].due, true
}

// PopDue removes and returns the earliest timer if it is due by the given time.
func (q *Queue) PopDue(by time.Duration) (due time.Duration, callback func(), ok bool) {
	if len(q.timers) == 0 || q.timers[0].due > by {
		return 0, nil, false
	}
	earliest := heap.Pop(&q.timers).(*Timer)
	callback, earliest.callback = earliest.callback, nil
	return earliest.due, callback, true
}

// RunUntil calls every callback that is due by the given time, in order, including those that callbacks add. Before
// each call it passes the time at which the callback was due to setClock.
func (q *Queue) RunUntil(until time.Duration, setClock func(time.Duration)) {
	for {
		due, callback, ok := q.PopDue(until)
		if !ok {
			return
		}
		setClock(due)
		callback()
	}
}
