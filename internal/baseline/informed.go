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
	Rate    float64 // prompt tokens a second at its present speed
	Backlog float64 // prompt tokens that wait to be read
	Streams float64 // running answers against what it can run at its present speed
	Cached  float64 // tokens of the request's prompt that it keeps
}

// View shows Informed the backends.
type View interface {
	Load(h *brain.Backend, q *brain.Request) Load
	Sent(t *brain.Attempt, tokens float64) // an attempt, with what is to be read for it
}

// prefillTime is how long a backend would take until the request's prompt is read.
func (l Load) prefillTime(q *brain.Request) time.Duration {
	return time.Duration((l.Backlog + q.PromptTokens - l.Cached) / l.Rate * float64(time.Second))
}

// up lists the backends that are seen to work.
func (p *Policy) up(q *brain.Request, hosts []*brain.Backend) []*brain.Backend {
	return brain.Filter(hosts, func(h *brain.Backend) bool { return p.View.Load(h, q).Up })
}

// beginInformed sends a request to the backend that will have read it first, or rejects it.
func (p *Policy) beginInformed(q *brain.Request) {
	best := brain.MinBy(p.up(q, p.able(q, brain.RolePrefill)), func(h *brain.Backend) float64 {
		return p.View.Load(h, q).prefillTime(q).Seconds()
	})
	target := q.ReceivedAt + q.Class.Target + time.Duration(q.PromptTokens/1000*float64(q.Class.TargetPer1000Tokens))
	if best == nil || p.door.Now()+p.View.Load(best, q).prefillTime(q) > min(target, q.Deadline) {
		p.giveUp(q)
		return
	}
	p.send(q, best, brain.StagePrefill)
	p.View.Sent(q.InFlight(), q.PromptTokens-p.View.Load(best, q).Cached)
}

// pickDecode takes the backend that answers: of Informed the one with the fewest running answers.
func (p *Policy) pickDecode(q *brain.Request, able []*brain.Backend) *brain.Backend {
	if p.name != Informed {
		return p.pick(able)
	}
	best := brain.MinBy(p.up(q, able), func(h *brain.Backend) float64 { return p.View.Load(h, q).Streams })
	if best == nil {
		return able[0]
	}
	return best
}
