package judge

import (
	"maps"
	"slices"

	"sloetrestle/internal/record"
)

// Cost is what trips cost a box.
type Usage struct {
	Attempts      int `json:"trips"`
	PrefillTokens int `json:"read_tokens"`
	CachedTokens  int `json:"kept_tokens"`
	AnswerTokens  int `json:"answer_tokens"`
}

func (c *Usage) add(o Usage) {
	c.Attempts, c.PrefillTokens, c.CachedTokens, c.AnswerTokens = c.Attempts+o.Attempts, c.PrefillTokens+o.PrefillTokens, c.CachedTokens+o.CachedTokens, c.AnswerTokens+o.AnswerTokens
}

// Counted sums what the boxes counted, by box.
func UsageByBackend(lines []record.Event) map[string]Usage {
	out := map[string]Usage{}
	for _, l := range lines {
		if l.Kind == record.UsageCounted {
			c := out[l.Backend]
			c.add(Usage{1, l.Tokens, l.CachedTokens, l.AnswerTokens})
			out[l.Backend] = c
		}
	}
	return out
}

// Accounts judges that ledgers say of each box just what it counted itself.
func CheckUsage(lines []record.Event, ledgers map[string]Usage) (r Rule, sum Usage) {
	r.Name = "the ledgers' totals are the boxes' counts"
	boxes := UsageByBackend(lines)
	names := maps.Clone(ledgers)
	maps.Copy(names, boxes)
	for _, box := range slices.Sorted(maps.Keys(names)) {
		sum.add(boxes[box])
		r.Checked += boxes[box].Attempts
		if boxes[box] != ledgers[box] {
			r.offence("%s counted %+v, the ledgers have %+v", box, boxes[box], ledgers[box])
		}
	}
	r.Passed = r.ViolationCount == 0
	return r, sum
}
