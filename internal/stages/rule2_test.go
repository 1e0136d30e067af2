package stages

import (
	"testing"

	"sloetrestle/internal/kserve"
)

// A stream that has begun has run, whatever its end says: "full" or "no state" in place of an end proves nothing, and an
// unrepeatable question must not go out again after it.
func TestAStreamThatClaimsItNeverRanIsNotBelieved(t *testing.T) {
	for _, claim := range []string{kserve.OutcomeFull, kserve.OutcomeNoKVCache} {
		t.Run(claim, func(t *testing.T) {
			s := open(t, func(s *site) {
				s.each("writer", func(b *box) {
					b.script = func(c *call) {
						c.take()
						c.strike()
						c.run()
						c.w.Header().Set("Content-Type", "text/event-stream")
						c.event("end", kserve.AttemptResult{Outcome: claim})
						c.end(claim)
					}
				})
			})
			s.ask(3, nil)
			s.rules()
			if f := s.finals(); f[kserve.Failed] < 3 {
				t.Errorf("finals %v: what may have run was not forfeited", f)
			}
		})
	}
}

// Without a stream there are no tokens: a short answer that says "answered" is none, with whatever status.
func TestAnAnswerWithoutAStreamSatisfiesNobody(t *testing.T) {
	s := open(t, func(s *site) {
		s.each("writer", func(b *box) {
			b.script = func(c *call) {
				c.take()
				c.strike()
				c.run()
				c.told(500, kserve.OutcomeCompleted)
			}
		})
	})
	s.ask(2, nil)
	s.rules()
	if f := s.finals(); f[kserve.Served] > 0 {
		t.Errorf("finals %v: satisfied without a token", f)
	}
}
