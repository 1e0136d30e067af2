package timerqueue

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// modelTimer is a timer of the model that the queue is compared with: a list in order of insertion.
type modelTimer struct {
	due    time.Duration
	number int
}

// Guards against a queue that loses, repeats or reorders callbacks when timers in its middle are cancelled, some of
// them twice or after they have left the queue.
func TestCancelledTimersDoNotDisturbTheOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var queue Queue
		var timers []*Timer
		var called []int
		var pending []modelTimer
		clock := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch number := len(timers); {
			case rapid.Bool().Draw(t, "schedule"):
				due := clock + time.Duration(rapid.IntRange(0, 9).Draw(t, "due"))
				timers = append(timers, queue.Schedule(due, func() { called = append(called, number) }))
				pending = append(pending, modelTimer{due, number})
			case number > 0 && rapid.Bool().Draw(t, "cancel"):
				canceled := rapid.IntRange(0, number-1).Draw(t, "number")
				queue.Cancel(timers[canceled])
				pending = slices.DeleteFunc(pending, func(m modelTimer) bool { return m.number == canceled })
			default:
				clock += time.Duration(rapid.IntRange(0, 4).Draw(t, "passed"))
				var want []int
				slices.SortStableFunc(pending, func(a, b modelTimer) int { return cmp.Compare(a.due, b.due) })
				for len(pending) > 0 && pending[0].due <= clock {
					want, pending = append(want, pending[0].number), pending[1:]
				}
				called = nil
				queue.RunUntil(clock, func(time.Duration) {})
				if !slices.Equal(called, want) {
					t.Fatalf("called %v, want %v", called, want)
				}
			}
			if queue.Len() != len(pending) {
				t.Fatalf("%d timers in the queue, want %d", queue.Len(), len(pending))
			}
		}
		queue.Clear()
		for _, timer := range timers {
			queue.Cancel(timer)
		}
	})
}
