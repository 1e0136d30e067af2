package scheduler

import (
	"fmt"
	"math"
	"testing"
)

// The text of a Summary in logs keeps the names that readers of logs match, and the format of a printed struct.
func TestSummaryPrintsTheNamesThatLogsHave(t *testing.T) {
	type logged struct {
		Window                  float64
		Unbegun, Held           int
		Average, Ahead, Streams float64
		Room, Tokens, Unread    float64
		Roomy, Cold, Doubted    int
	}
	for _, tc := range []struct {
		summary Summary
		logged  logged
	}{
		{Summary{}, logged{}},
		{
			Summary{Window: 1.5, Outstanding: 2, Queued: 3, MeanPrefillTokens: 1e21, TimeToFirstToken: 0.25, Streams: 7,
				TokenLimit: math.Inf(1), KVTokens: 123456789, PrefillBacklog: -4e-9, WithCapacity: 5, InSlowStart: 6, Suspected: 8},
			logged{Window: 1.5, Unbegun: 2, Held: 3, Average: 1e21, Ahead: 0.25, Streams: 7,
				Room: math.Inf(1), Tokens: 123456789, Unread: -4e-9, Roomy: 5, Cold: 6, Doubted: 8},
		},
	} {
		for _, format := range []string{"%+v", "%v"} {
			if got, want := fmt.Sprintf(format, tc.summary), fmt.Sprintf("%+v", tc.logged); got != want {
				t.Errorf("%s: %s, wanted %s", format, got, want)
			}
		}
	}
}
