package dispatch

import (
	"fmt"
	"time"

	"sloetrestle/brain"
)

// Tally counts what a loop has seen; it is read by the loop's goroutine only.
type Counters struct {
	Accepted, Served, Rejected, Failed, Disconnected, Overdue, Attempts, Throttled int64
	Outcomes                                                                       [brain.NotSent + 1]int64
	Prefills                                                                       [brain.StageWhole + 1]PrefillCounters // by stage
	FirstTokens, OnTime                                                            int64                                 // first tokens, and those by the promised time
	QueueTime, FirstTokenTime                                                      time.Duration                         // of requests that began: before the last way out, and in all
}

// Prefills are the attempts of one stage that ended well: their prompts' tokens, those that their backends found kept, and those that the
// module expected to be.
type PrefillCounters struct{ Attempts, PromptTokens, CachedTokens, ExpectedTokens int64 }

func (p PrefillCounters) String() string {
	return fmt.Sprintf("{trips:%d prompt:%d kept:%d expected:%d}", p.Attempts, p.PromptTokens, p.CachedTokens, p.ExpectedTokens)
}

// ended takes note of an attempt's end.
func (y *Counters) ended(t *brain.Attempt, r brain.Result) {
	y.Outcomes[r.Outcome]++
	if r.Outcome != brain.Prefilled && r.Outcome != brain.Served {
		return
	}
	p, prompt := &y.Prefills[t.Stage], t.Request.PromptTokens
	p.Attempts, p.PromptTokens, p.CachedTokens = p.Attempts+1, p.PromptTokens+int64(prompt), p.CachedTokens+int64(r.Detail)
	if t.Stage != brain.StageDecode {
		p.ExpectedTokens += int64(prompt - t.PrefillTokens)
	}
}

// began takes note of an attempt's first token.
func (y *Counters) began(t *brain.Attempt) {
	q := t.Request
	y.FirstTokens++
	if t.FirstTokenAt <= q.TargetAt {
		y.OnTime++
	}
	y.QueueTime += q.DispatchedAt - q.ReceivedAt
	y.FirstTokenTime += t.FirstTokenAt - q.ReceivedAt
}
