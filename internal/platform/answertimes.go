package platform

import (
	"sync"
	"time"
)

// answerTimesPeriod is how long answers are remembered at least; they are forgotten after twice that.
const answerTimesPeriod = 30 * time.Second

// answerTimes remembers the longest time that a recent answer took, from its request to its last event, by class. It is
// safe for concurrent use.
type answerTimes struct {
	mu      sync.Mutex
	classes map[int]classAnswerTimes
}

// classAnswerTimes are the longest answer times of one class in two periods.
type classAnswerTimes struct {
	current, previous time.Duration // 0: there was no answer
	began             time.Time     // when the current period began
}

// record adds the time that an answer took which ended now.
func (a *answerTimes) record(class int, took time.Duration, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	times := a.classes[class].at(now)
	times.current = max(times.current, took)
	if a.classes == nil {
		a.classes = map[int]classAnswerTimes{}
	}
	a.classes[class] = times
}

// longest returns the longest time that a recent answer of a class took; 0: there was none.
func (a *answerTimes) longest(class int, now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	times := a.classes[class].at(now)
	return max(times.current, times.previous)
}

// at returns the answer times with the periods moved on to the given time.
func (t classAnswerTimes) at(now time.Time) classAnswerTimes {
	switch age := now.Sub(t.began); {
	case age >= 2*answerTimesPeriod:
		return classAnswerTimes{began: now}
	case age >= answerTimesPeriod:
		return classAnswerTimes{previous: t.current, began: now}
	}
	return t
}
