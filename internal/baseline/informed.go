package baseline

import (
	"time"

	"sloetrestle/scheduler"
)

// Informed names the reference policy with information that no real dispatcher has: each sees the true state of
// every backend, though with a delay, and without delay what the others send. A request goes to the backend that is
// expected to finish its prefill first. A request that can't meet its latency target is rejected.
const Informed = "informed"

// Load is the true state of one backend when it was last observed.
type Load struct {
	Up                     bool
	PrefillTokensPerSecond float64 // at its present speed
	BacklogTokens          float64 // prompt tokens still to prefill
	StreamLoad             float64 // running streams as a share of what it can run at its present speed
	CachedTokens           float64 // tokens of the request's prompt in its prefix cache
}

// View gives the Informed policy the states of the backends.
type View interface {
	Load(backend *scheduler.Backend, request *scheduler.Request) Load
	AttemptSent(attempt *scheduler.Attempt, tokens float64) // reports an attempt and its uncached prompt tokens
}

// prefillTime returns how long the backend takes until the request's prompt is prefilled.
func (l Load) prefillTime(request *scheduler.Request) time.Duration {
	return time.Duration((l.BacklogTokens + request.PromptTokens - l.CachedTokens) / l.PrefillTokensPerSecond *
		float64(time.Second))
}

// observedUp lists the backends that were up when last observed.
func (p *Policy) observedUp(request *scheduler.Request, backends []*scheduler.Backend) []*scheduler.Backend {
	return scheduler.Filter(backends, func(backend *scheduler.Backend) bool { return p.View.Load(backend, request).Up })
}

// dispatchInformed sends a request to the backend expected to finish its prefill first, or rejects it.
func (p *Policy) dispatchInformed(request *scheduler.Request) {
	best := scheduler.MinBy(p.observedUp(request, p.eligible(request, scheduler.RolePrefill)),
		func(backend *scheduler.Backend) float64 {
			return p.View.Load(backend, request).prefillTime(request).Seconds()
		})
	target := request.ReceivedAt + request.Class.Target +
		time.Duration(request.PromptTokens/1000*float64(request.Class.TargetPer1000Tokens))
	if best == nil || p.runtime.Now()+p.View.Load(best, request).prefillTime(request) > min(target, request.Deadline) {
		p.rejectOrFail(request)
		return
	}
	p.send(request, best, scheduler.StagePrefill)
	p.View.AttemptSent(request.InFlight(), request.PromptTokens-p.View.Load(best, request).CachedTokens)
}

// pickDecode picks the decode backend: for Informed, the one with the least stream load.
func (p *Policy) pickDecode(request *scheduler.Request, eligible []*scheduler.Backend) *scheduler.Backend {
	if p.name != Informed {
		return p.pick(eligible)
	}
	best := scheduler.MinBy(p.observedUp(request, eligible),
		func(backend *scheduler.Backend) float64 { return p.View.Load(backend, request).StreamLoad })
	if best == nil {
		return eligible[0]
	}
	return best
}
