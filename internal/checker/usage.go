package checker

import (
	"fmt"
	"maps"
	"slices"

	"sloetrestle/internal/record"
)

// Usage is the attempts and tokens that a backend counted.
type Usage struct {
	Attempts      int `json:"trips"`
	PrefillTokens int `json:"read_tokens"`
	CachedTokens  int `json:"kept_tokens"`
	AnswerTokens  int `json:"answer_tokens"`
}

// String formats usage under the names that verdicts print.
func (u Usage) String() string {
	return fmt.Sprintf("{Trips:%d Read:%d Kept:%d Answer:%d}", u.Attempts, u.PrefillTokens, u.CachedTokens, u.AnswerTokens)
}

func (u *Usage) add(o Usage) {
	u.Attempts, u.PrefillTokens, u.CachedTokens, u.AnswerTokens =
		u.Attempts+o.Attempts, u.PrefillTokens+o.PrefillTokens, u.CachedTokens+o.CachedTokens, u.AnswerTokens+o.AnswerTokens
}

// UsageByBackend sums what the backends counted.
func UsageByBackend(events []record.Event) map[string]Usage {
	usage := map[string]Usage{}
	for _, event := range events {
		if event.Kind == record.UsageCounted {
			u := usage[event.Backend]
			u.add(Usage{1, event.Tokens, event.CachedTokens, event.AnswerTokens})
			usage[event.Backend] = u
		}
	}
	return usage
}

// CheckUsage checks that the ledgers' totals for each backend equal what the backend counted itself.
func CheckUsage(events []record.Event, ledgers map[string]Usage) (r Rule, sum Usage) {
	r.Name = "the ledgers' totals are the boxes' counts"
	counted := UsageByBackend(events)
	names := maps.Clone(ledgers)
	maps.Copy(names, counted)
	for _, backend := range slices.Sorted(maps.Keys(names)) {
		sum.add(counted[backend])
		r.Checked += counted[backend].Attempts
		if counted[backend] != ledgers[backend] {
			r.addViolation("%s counted %+v, the ledgers have %+v", backend, counted[backend], ledgers[backend])
		}
	}
	r.Passed = r.ViolationCount == 0
	return r, sum
}
