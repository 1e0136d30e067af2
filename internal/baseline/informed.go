package baseline

import (
	"time"

	"sloetrestle/brain"
)

// Informed names the reference that the module is measured against: its dispatchers see the true state of every backend,
// though some time late, and at once what each other send, as no real ones can. A request goes to the backend that will
// have read it first; one that can't reach its latency target is rejected.
const Informed = "informed"

// Load is the true state of one backend, as it was when it was last looked at.
type Load struct {
	Up      bool
	PrefillTokensPerSecond    float64 // prompt tokens a second at its present speed
	BacklogTokens float64 // prompt tokens that wait to be read
	StreamLoad float64 // running answers against what it can run at its present speed
	CachedTokens  float64 // tokens of the request's prompt that it keeps
}

// View shows Informed the backends.
type View interface {
	Load(h *brain.Backend, q *brain.Request) Load
	AttemptSent(t *brain.Attempt, tokens float64) // an attempt, with what is to be read for it
}

// prefillTime is how long a backend would take until the request's prompt is read.
func (l Load) prefillTime(q *brain.Request) time.Duration {
	return time.Duration((l.BacklogTokens + q.PromptTokens - l.CachedTokens) / l.PrefillTokensPerSecond * float64(time.Second))
}

// up lists the backends that are seen to work.
func (p *Policy) observedUp(q *brain.Request, backends []*brain.Backend) []*brain.Backend {
	return brain.Filter(backends, func(h *brain.Backend) bool { return p.View.Load(h, q).Up })
}

// beginInformed sends a request to the backend that will have read it first, or rejects it.
func (p *Policy) dispatchInformed(q *brain.Request) {
	best := brain.MinBy(p.observedUp(q, p.eligible(q, brain.RolePrefill)), func(h *brain.Backend) float64 {
		return p.View.Load(h, q).prefillTime(q).Seconds()
	})
	target := q.ReceivedAt + q.Class.Target + time.Duration(q.PromptTokens/1000*float64(q.Class.TargetPer1000Tokens))
	if best == nil || p.runtime.Now()+p.View.Load(best, q).prefillTime(q) > min(target, q.Deadline) {
		p.rejectOrFail(q)
		return
	}
	p.send(q, best, brain.StagePrefill)
	p.View.AttemptSent(q.InFlight(), q.PromptTokens-p.View.Load(best, q).CachedTokens)
}

// pickDecode takes the backend that answers: of Informed the one with the fewest running answers.
func (p *Policy) pickDecode(q *brain.Request, eligible []*brain.Backend) *brain.Backend {
	if p.name != Informed {
		return p.pick(eligible)
	}
	best := brain.MinBy(p.observedUp(q, eligible), func(h *brain.Backend) float64 { return p.View.Load(h, q).StreamLoad })
	if best == nil {
		return eligible[0]
	}
	return best
}
