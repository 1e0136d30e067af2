package dispatch

import (
	"fmt"
	"time"

	"sloetrestle/brain"
)

// Tally counts what a loop has seen; it is read by the loop's goroutine only.
type Tally struct {
	Taken, Satisfied, Declined, Forfeited, Left, Overdue, Trips, Damped int64
	Outcomes                                                            [brain.NotSent + 1]int64
	Prefills                                                            [brain.StageWhole + 1]Prefills // by stage
	Began, InTime                                                       int64                     // first tokens, and those by the promised time
	Held, First                                                         time.Duration             // of requests that began: before the last way out, and in all
}

// Prefills are the attempts of one stage that ended well: their prompts' tokens, those that their backends found kept, and those that the
// module expected to be.
type Prefills struct{ Trips, Prompt, Kept, Expected int64 }

func (p Prefills) String() string {
	return fmt.Sprintf("{trips:%d prompt:%d kept:%d expected:%d}", p.Trips, p.Prompt, p.Kept, p.Expected)
}

// ended takes note of an attempt's end.
func (y *Tally) ended(t *brain.Attempt, r brain.Result) {
	y.Outcomes[r.Outcome]++
	if r.Outcome != brain.Prefilled && r.Outcome != brain.Served {
		return
	}
	p, prompt := &y.Prefills[t.Stage], t.Request.PromptTokens
	p.Trips, p.Prompt, p.Kept = p.Trips+1, p.Prompt+int64(prompt), p.Kept+int64(r.Detail)
	if t.Stage != brain.StageDecode {
		p.Expected += int64(prompt - t.PrefillTokens)
	}
}

// began takes note of an attempt's first token.
func (y *Tally) began(t *brain.Attempt) {
	q := t.Request
	y.Began++
	if t.FirstTokenAt <= q.TargetAt {
		y.InTime++
	}
	y.Held += q.DispatchedAt - q.ReceivedAt
	y.First += t.FirstTokenAt - q.ReceivedAt
}
