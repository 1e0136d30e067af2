package dispatch

import (
	"testing"

	"sloetrestle/brain"
	"sloetrestle/internal/kserve"
)

// Only what is proven not to have run may be called so: rule 2 hangs on it.
func TestOutcomeClaimsNoMoreThanTheSocketProved(t *testing.T) {
	told := func(word string) *kserve.AttemptResult { return &kserve.AttemptResult{Outcome: word, CachedTokens: 5} }
	for _, c := range []struct {
		seen  Observation
		stage brain.Stage
		want  brain.Outcome
		note  int
	}{
		{Observation{}, brain.Whole, brain.Unreachable, 0},
		{Observation{Cause: ErrAttemptTimeout}, brain.Whole, brain.Unreachable, 0},
		{Observation{Cause: ErrNotNeeded}, brain.Whole, brain.Cancelled, 0},
		{Observation{Sent: true}, brain.Whole, brain.Broken, 0},
		{Observation{Sent: true, Cause: errStalled}, brain.Whole, brain.Broken, 0},
		{Observation{Sent: true, Cause: ErrAttemptTimeout}, brain.ToWrite, brain.TimedOut, 0},
		{Observation{Sent: true, Cause: ErrNotNeeded}, brain.ToWrite, brain.Cancelled, 0},
		{Observation{Sent: true, Report: told(kserve.OutcomePrefilled)}, brain.ToRead, brain.Read, 5},
		{Observation{Sent: true, Report: told(kserve.OutcomePrefilled)}, brain.Whole, brain.Failed, 0},
		{Observation{Sent: true, Report: told(kserve.OutcomeCompleted)}, brain.ToWrite, brain.Served, 5},
		{Observation{Sent: true, Report: told(kserve.OutcomeCompleted)}, brain.ToRead, brain.Failed, 0},
		{Observation{Sent: true, Report: told(kserve.OutcomeFull)}, brain.ToWrite, brain.Rejected, 0},
		{Observation{Sent: true, Report: told(kserve.OutcomeNoKVCache)}, brain.ToWrite, brain.Rejected, 1},
		{Observation{Sent: true, Report: told(kserve.OutcomeFailed)}, brain.ToWrite, brain.Failed, 0},
		{Observation{Sent: true, Report: told("gibberish")}, brain.ToWrite, brain.Failed, 0},
	} {
		if got, note := c.seen.Outcome(c.stage); got != c.want || note != c.note {
			t.Errorf("%+v at stage %d: outcome %d note %d, not %d note %d", c.seen, c.stage, got, note, c.want, c.note)
		}
	}
}
