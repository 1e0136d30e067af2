package dispatch

import (
	"testing"

	"sloetrestle/internal/kserve"
	"sloetrestle/scheduler"
)

// An outcome that wrongly proves that an attempt did not run would let a non-idempotent request run twice (rule 2).
func TestOutcomeClaimsNoMoreThanTheConnectionProved(t *testing.T) {
	report := func(outcome string) *kserve.AttemptResult {
		return &kserve.AttemptResult{Outcome: outcome, CachedTokens: 5}
	}
	for _, c := range []struct {
		observed Observation
		stage    scheduler.Stage
		want     scheduler.Outcome
		note     int
	}{
		{Observation{}, scheduler.StageWhole, scheduler.Unreachable, 0},
		{Observation{Cause: ErrAttemptTimeout}, scheduler.StageWhole, scheduler.Unreachable, 0},
		{Observation{Cause: ErrNotNeeded}, scheduler.StageWhole, scheduler.Cancelled, 0},
		{Observation{Sent: true}, scheduler.StageWhole, scheduler.ConnectionLost, 0},
		{Observation{Sent: true, Cause: errStalled}, scheduler.StageWhole, scheduler.ConnectionLost, 0},
		{Observation{Sent: true, Cause: ErrAttemptTimeout}, scheduler.StageDecode, scheduler.TimedOut, 0},
		{Observation{Sent: true, Cause: ErrNotNeeded}, scheduler.StageDecode, scheduler.Cancelled, 0},
		{Observation{Sent: true, Report: report(kserve.OutcomePrefilled)}, scheduler.StagePrefill, scheduler.Prefilled, 5},
		{Observation{Sent: true, Report: report(kserve.OutcomePrefilled)}, scheduler.StageWhole, scheduler.Failed, 0},
		{Observation{Sent: true, Report: report(kserve.OutcomeCompleted)}, scheduler.StageDecode, scheduler.Served, 5},
		{Observation{Sent: true, Report: report(kserve.OutcomeCompleted)}, scheduler.StagePrefill, scheduler.Failed, 0},
		{Observation{Sent: true, Report: report(kserve.OutcomeFull)}, scheduler.StageDecode, scheduler.Rejected, 0},
		{Observation{Sent: true, Report: report(kserve.OutcomeNoKVCache)}, scheduler.StageDecode, scheduler.Rejected, 1},
		{Observation{Sent: true, Report: report(kserve.OutcomeFailed)}, scheduler.StageDecode, scheduler.Failed, 0},
		{Observation{Sent: true, Report: report("gibberish")}, scheduler.StageDecode, scheduler.Failed, 0},
	} {
		if got, note := c.observed.Outcome(c.stage); got != c.want || note != c.note {
			t.Errorf("%+v at stage %d: outcome %d with note %d, want %d with %d",
				c.observed, c.stage, got, note, c.want, c.note)
		}
	}
}
