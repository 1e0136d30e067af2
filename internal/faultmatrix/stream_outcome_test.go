package faultmatrix

import (
	"testing"

	"sloetrestle/internal/kserve"
)

// A stream that has begun has executed, whatever its end event claims: "full" or "no KV cache" in the place of an
// end proves nothing, and a non-idempotent request must not be sent again after it.
func TestRejectionInsideAStreamIsNotRetried(t *testing.T) {
	for _, claim := range []string{kserve.OutcomeFull, kserve.OutcomeNoKVCache} {
		t.Run(claim, func(t *testing.T) {
			s := startCluster(t, func(s *testCluster) {
				s.eachBackend("writer", func(b *testBackend) {
					b.onAttempt = func(c *call) {
						c.takeKVCache()
						c.countFault()
						c.execute()
						c.w.Header().Set("Content-Type", "text/event-stream")
						c.writeEvent("end", kserve.AttemptResult{Outcome: claim})
						c.finish(claim)
					}
				})
			})
			s.submit(3, nil)
			s.checkRules()
			if f := s.finals(); f[kserve.Failed] < 3 {
				t.Errorf("final answers %v: want at least 3 failed, as the requests may have executed", f)
			}
		})
	}
}

// Without a stream there are no tokens, so an answer without a stream that claims completion is not served,
// whatever its status.
func TestAnswerWithoutAStreamIsNotServed(t *testing.T) {
	s := startCluster(t, func(s *testCluster) {
		s.eachBackend("writer", func(b *testBackend) {
			b.onAttempt = func(c *call) {
				c.takeKVCache()
				c.countFault()
				c.execute()
				c.respond(500, kserve.OutcomeCompleted)
			}
		})
	})
	s.submit(2, nil)
	s.checkRules()
	if f := s.finals(); f[kserve.Served] > 0 {
		t.Errorf("final answers %v: served without a token", f)
	}
}
