package dispatch

import (
	"testing"

	"sloetrestle/brain"
	"sloetrestle/internal/kserve"
)

// An outcome that wrongly proves that an attempt did not run would let a non-idempotent request run twice (rule 2).
func TestOutcomeClaimsNoMoreThanTheConnectionProved(t *testing.T) {
	report := func(outcome string) *kserve.AttemptResult {
		return &kserve.AttemptResult{Outcome: outcome, CachedTokens: 5}
	}
	for _, c := range []struct {
		observed Observation
		stage    brain.Stage
		want     brain.Outcome
		note     int
	}{
		{Observation{}, brain.StageWhole, brain.Unreachable, 0},
		{Observation{Cause: ErrAttemptTimeout}, brain.StageWhole, brain.Unreachable, 0},
		{Observation{Cause: ErrNotNeeded}, brain.StageWhole, brain.Cancelled, 0},
		{Observation{Sent: true}, brain.StageWhole, brain.ConnectionLost, 0},
		{Observation{Sent: true, Cause: errStalled}, brain.StageWhole, brain.ConnectionLost, 0},
		{Observation{Sent: true, Cause: ErrAttemptTimeout}, brain.StageDecode, brain.TimedOut, 0},
		{Observation{Sent: true, Cause: ErrNotNeeded}, brain.StageDecode, brain.Cancelled, 0},
		{Observation{Sent: true, Report: report(kserve.OutcomePrefilled)}, brain.StagePrefill, brain.Prefilled, 5},
		{Observation{Sent: true, Report: report(kserve.OutcomePrefilled)}, brain.StageWhole, brain.Failed, 0},
		{Observation{Sent: true, Report: report(kserve.OutcomeCompleted)}, brain.StageDecode, brain.Served, 5},
		{Observation{Sent: true, Report: report(kserve.OutcomeCompleted)}, brain.StagePrefill, brain.Failed, 0},
		{Observation{Sent: true, Report: report(kserve.OutcomeFull)}, brain.StageDecode, brain.Rejected, 0},
		{Observation{Sent: true, Report: report(kserve.OutcomeNoKVCache)}, brain.StageDecode, brain.Rejected, 1},
		{Observation{Sent: true, Report: report(kserve.OutcomeFailed)}, brain.StageDecode, brain.Failed, 0},
		{Observation{Sent: true, Report: report("gibberish")}, brain.StageDecode, brain.Failed, 0},
	} {
		if got, note := c.observed.Outcome(c.stage); got != c.want || note != c.note {
			t.Errorf("%+v at stage %d: outcome %d with note %d, want %d with %d",
				c.observed, c.stage, got, note, c.want, c.note)
		}
	}
}
