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
		{Observation{}, brain.StageWhole, brain.Unreachable, 0},
		{Observation{Cause: ErrAttemptTimeout}, brain.StageWhole, brain.Unreachable, 0},
		{Observation{Cause: ErrNotNeeded}, brain.StageWhole, brain.Cancelled, 0},
		{Observation{Sent: true}, brain.StageWhole, brain.ConnectionLost, 0},
		{Observation{Sent: true, Cause: errStalled}, brain.StageWhole, brain.ConnectionLost, 0},
		{Observation{Sent: true, Cause: ErrAttemptTimeout}, brain.StageDecode, brain.TimedOut, 0},
		{Observation{Sent: true, Cause: ErrNotNeeded}, brain.StageDecode, brain.Cancelled, 0},
		{Observation{Sent: true, Report: told(kserve.OutcomePrefilled)}, brain.StagePrefill, brain.Prefilled, 5},
		{Observation{Sent: true, Report: told(kserve.OutcomePrefilled)}, brain.StageWhole, brain.Failed, 0},
		{Observation{Sent: true, Report: told(kserve.OutcomeCompleted)}, brain.StageDecode, brain.Served, 5},
		{Observation{Sent: true, Report: told(kserve.OutcomeCompleted)}, brain.StagePrefill, brain.Failed, 0},
		{Observation{Sent: true, Report: told(kserve.OutcomeFull)}, brain.StageDecode, brain.Rejected, 0},
		{Observation{Sent: true, Report: told(kserve.OutcomeNoKVCache)}, brain.StageDecode, brain.Rejected, 1},
		{Observation{Sent: true, Report: told(kserve.OutcomeFailed)}, brain.StageDecode, brain.Failed, 0},
		{Observation{Sent: true, Report: told("gibberish")}, brain.StageDecode, brain.Failed, 0},
	} {
		if got, note := c.seen.Outcome(c.stage); got != c.want || note != c.note {
			t.Errorf("%+v at stage %d: outcome %d note %d, not %d note %d", c.seen, c.stage, got, note, c.want, c.note)
		}
	}
}
