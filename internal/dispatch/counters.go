package dispatch

import (
	"fmt"
	"time"

	"sloetrestle/scheduler"
)

// Counters counts what a loop has handled since its start. Only the loop's goroutine reads it.
type Counters struct {
	Accepted, Served, Rejected, Failed, Disconnected, Overdue, Attempts, Throttled int64

	Outcomes            [scheduler.NotSent + 1]int64
	Prefills            [scheduler.StageWhole + 1]PrefillCounters // by stage
	FirstTokens, OnTime int64                                     // first tokens, and those by the latency target

	// QueueTime and FirstTokenTime are sums over the requests with a first token: from acceptance until the last
	// attempt was sent, and until the first token.
	QueueTime, FirstTokenTime time.Duration
}

// PrefillCounters counts the attempts of one stage that ended well, and in tokens their prompts, what their backends
// reported as cached, and what the scheduler had expected to be cached.
type PrefillCounters struct{ Attempts, PromptTokens, CachedTokens, ExpectedTokens int64 }

// String returns the counts under the names that the log of the counters uses.
func (p PrefillCounters) String() string {
	return fmt.Sprintf("{trips:%d prompt:%d kept:%d expected:%d}",
		p.Attempts, p.PromptTokens, p.CachedTokens, p.ExpectedTokens)
}

// ended counts the end of an attempt.
func (c *Counters) ended(attempt *scheduler.Attempt, result scheduler.Result) {
	c.Outcomes[result.Outcome]++
	if result.Outcome != scheduler.Prefilled && result.Outcome != scheduler.Served {
		return
	}
	prefills, prompt := &c.Prefills[attempt.Stage], attempt.Request.PromptTokens
	prefills.Attempts, prefills.PromptTokens, prefills.CachedTokens =
		prefills.Attempts+1, prefills.PromptTokens+int64(prompt), prefills.CachedTokens+int64(result.Detail)
	if attempt.Stage != scheduler.StageDecode {
		prefills.ExpectedTokens += int64(prompt - attempt.PrefillTokens)
	}
}

// began counts the first token of an attempt.
func (c *Counters) began(attempt *scheduler.Attempt) {
	request := attempt.Request
	c.FirstTokens++
	if attempt.FirstTokenAt <= request.TargetAt {
		c.OnTime++
	}
	c.QueueTime += request.DispatchedAt - request.ReceivedAt
	c.FirstTokenTime += attempt.FirstTokenAt - request.ReceivedAt
}
