package stages

import (
	"context"
	"testing"
	"time"

	"sloetrestle/internal/kserve"
	"sloetrestle/internal/record"
	"sloetrestle/internal/setup"
)

// Boxes know a repeat for a stated time. A trip that is decided within it must be out within it too, however long its connection
// takes: else a deduplicated question runs twice (rule 2).
func TestARepeatLeavesWithinItsWindow(t *testing.T) {
	const window = 500 * time.Millisecond
	s := open(t, func(s *site) {
		s.d.Classes[1].DedupWindow = setup.Duration(window)
		s.d.Classes[1].Deadline, s.d.Classes[1].LatencyTarget = setup.Duration(2*time.Second), setup.Duration(time.Second)
		s.each("writer", func(b *box) {
			b.script = func(c *call) {
				c.strike()
				c.take()
				c.run()
				time.Sleep(400 * time.Millisecond)
				c.end("broke")
				c.reset("")
			}
			b.proof = func(c *call) {
				if b.trips.Load() == 0 && s.struck.Load() > 0 { // the other writer's, slow but in time
					time.Sleep(200 * time.Millisecond)
				}
				kserve.WriteJSON(c.w, 200, map[string]string{"name": b.name})
			}
		})
	})
	w := wish("q", "deduplicated")
	w.Deadline, w.LatencyTarget = 2*time.Second, time.Second
	s.clients.Submit(context.Background(), w)
	first := map[string]int64{}
	for _, l := range s.book.Events() {
		if l.Kind != record.AttemptReceived || l.Class != "deduplicated" || l.Phase == kserve.PhasePrefill {
			continue
		}
		if at, ok := first[l.RequestKey]; !ok {
			first[l.RequestKey] = l.TimeUs
		} else if after := time.Duration(l.TimeUs-at) * time.Microsecond; after > window {
			t.Errorf("trip %d reached %s %v after the first that may have run, its window is %v", l.Attempt, l.Backend, after, window)
		}
	}
	s.rules()
}
