package dispatch

import (
	"testing"

	"sloetrestle/brain"
	"sloetrestle/internal/kserve"
)

// Only what is proven not to have run may be called so: rule 2 hangs on it.
func TestOutcomeClaimsNoMoreThanTheSocketProved(t *testing.T) {
	told := func(word string) *kserve.Told { return &kserve.Told{Outcome: word, Kept: 5} }
	for _, c := range []struct {
		seen  Seen
		stage brain.Stage
		want  brain.Outcome
		note  int
	}{
		{Seen{}, brain.StageWhole, brain.Unreachable, 0},
		{Seen{Cause: ErrLate}, brain.StageWhole, brain.Unreachable, 0},
		{Seen{Cause: ErrLeft}, brain.StageWhole, brain.Cancelled, 0},
		{Seen{Connected: true}, brain.StageWhole, brain.ConnectionLost, 0},
		{Seen{Connected: true, Cause: errStalled}, brain.StageWhole, brain.ConnectionLost, 0},
		{Seen{Connected: true, Cause: ErrLate}, brain.StageDecode, brain.TimedOut, 0},
		{Seen{Connected: true, Cause: ErrLeft}, brain.StageDecode, brain.Cancelled, 0},
		{Seen{Connected: true, Told: told(kserve.OutcomeRead)}, brain.StagePrefill, brain.Prefilled, 5},
		{Seen{Connected: true, Told: told(kserve.OutcomeRead)}, brain.StageWhole, brain.Failed, 0},
		{Seen{Connected: true, Told: told(kserve.OutcomeAnswered)}, brain.StageDecode, brain.Served, 5},
		{Seen{Connected: true, Told: told(kserve.OutcomeAnswered)}, brain.StagePrefill, brain.Failed, 0},
		{Seen{Connected: true, Told: told(kserve.OutcomeFull)}, brain.StageDecode, brain.Rejected, 0},
		{Seen{Connected: true, Told: told(kserve.OutcomeNoState)}, brain.StageDecode, brain.Rejected, 1},
		{Seen{Connected: true, Told: told(kserve.OutcomeFailed)}, brain.StageDecode, brain.Failed, 0},
		{Seen{Connected: true, Told: told("gibberish")}, brain.StageDecode, brain.Failed, 0},
	} {
		if got, note := c.seen.Outcome(c.stage); got != c.want || note != c.note {
			t.Errorf("%+v at stage %d: outcome %d note %d, not %d note %d", c.seen, c.stage, got, note, c.want, c.note)
		}
	}
}
