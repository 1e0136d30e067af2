package faultmatrix

import (
	"context"
	"testing"
	"time"

	"sloetrestle/internal/kserve"
	"sloetrestle/internal/record"
	"sloetrestle/internal/setup"
)

// Backends recognise a repeat for a stated time. An attempt that is decided within that time must also be sent
// within it, however long connecting takes, or a deduplicated request executes twice (rule 2).
func TestRetryIsSentWithinItsDedupWindow(t *testing.T) {
	const dedupWindow = 500 * time.Millisecond
	s := startCluster(t, func(s *testCluster) {
		s.config.Classes[1].DedupWindow = setup.Duration(dedupWindow)
		s.config.Classes[1].Deadline, s.config.Classes[1].LatencyTarget =
			setup.Duration(2*time.Second), setup.Duration(time.Second)
		s.eachBackend("writer", func(b *testBackend) {
			b.onAttempt = func(c *call) {
				c.countFault()
				c.takeKVCache()
				c.execute()
				time.Sleep(400 * time.Millisecond)
				c.finish("broke")
				c.reset("")
			}
			b.onProbe = func(c *call) {
				// The other decode backend connects slowly, but in time.
				if b.attempts.Load() == 0 && s.faultCount.Load() > 0 {
					time.Sleep(200 * time.Millisecond)
				}
				kserve.WriteJSON(c.w, 200, map[string]string{"name": b.name})
			}
		})
	})
	request := newRequest("q", "deduplicated")
	request.Deadline, request.LatencyTarget = 2*time.Second, time.Second
	s.clients.Submit(context.Background(), request)
	firstSent := map[string]int64{}
	for _, line := range s.recording.Events() {
		if line.Kind != record.AttemptReceived || line.Class != "deduplicated" || line.Phase == kserve.PhasePrefill {
			continue
		}
		if sentAt, ok := firstSent[line.RequestKey]; !ok {
			firstSent[line.RequestKey] = line.TimeUs
		} else if delay := time.Duration(line.TimeUs-sentAt) * time.Microsecond; delay > dedupWindow {
			t.Errorf("attempt %d reached %s %v after the first that may have executed, want at most %v",
				line.Attempt, line.Backend, delay, dedupWindow)
		}
	}
	s.checkRules()
}
