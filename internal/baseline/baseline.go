// Package baseline has simple scheduling policies as references for the scheduler. Experiments run them in its
// place; a running dispatcher never does. They keep the checker's five rules as far as one dispatcher can without
// coordination. Begin with New.
package baseline

import (
	"fmt"
	"time"

	"sloetrestle/scheduler"
)

// Names lists the names of the policies.
var Names = []string{"random", "least_streams", "round_robin", "always_apart", "always_in_place", Informed}

// Policy is a scheduler that follows one simple policy.
type Policy struct {
	View        View // required by Informed
	name        string
	runtime     scheduler.Runtime
	rng         *scheduler.PCG
	settings    scheduler.Settings
	backends    []*scheduler.Backend
	nextBackend int
	classes     []*scheduler.Class
}

// New returns the policy of the given name.
func New(name string, settings scheduler.Settings, seed uint64, runtime scheduler.Runtime) (*Policy, error) {
	known := false
	for _, n := range Names {
		known = known || n == name
	}
	if !known {
		return nil, fmt.Errorf("unknown policy %q: must be one of %v", name, Names)
	}
	classes, err := settings.Classes()
	return &Policy{name: name, runtime: runtime, rng: scheduler.NewPCG(seed), settings: settings, classes: classes}, err
}

// UpdateEndpoints applies endpoint updates, or with full the complete list.
func (p *Policy) UpdateEndpoints(endpoints []scheduler.Endpoint, full bool) {
	if full {
		for _, backend := range p.backends {
			backend.State = scheduler.Removed
		}
	}
	for _, endpoint := range endpoints {
		known := false
		for _, backend := range p.backends {
			known = known || backend == endpoint.Backend
		}
		if !known {
			endpoint.Backend.Role = p.settings.RoleOf(endpoint.Backend.Kind)
			p.backends = append(p.backends, endpoint.Backend)
		}
		endpoint.Backend.State, endpoint.Backend.CapacityUnits = endpoint.State, endpoint.CapacityUnits
	}
}

// Submit schedules a new request.
func (p *Policy) Submit(request *scheduler.Request, class, _ int) {
	request.Class = p.classes[min(class, len(p.classes)-1)]
	request.ReceivedAt, request.Deadline = p.runtime.Now(), p.runtime.Now()+request.Timeout
	request.KVTokens = request.PromptTokens + request.MaxOutputTokens
	p.dispatch(request)
}

// MaySend tells whether a scheduled attempt may still be sent.
func (p *Policy) MaySend(attempt *scheduler.Attempt) scheduler.Permission {
	switch {
	case attempt.Ended:
		return scheduler.AttemptEnded
	case attempt.Request.Finished:
		return scheduler.RequestFinished
	case p.runtime.Now() >= attempt.Request.Deadline:
		return scheduler.DeadlinePassed
	case attempt.Backend.State != scheduler.Ready:
		return scheduler.BackendNotReady
	}
	return scheduler.Allowed
}

// dispatch sends a request's first attempt according to the policy: separate prefill and decode, a decode backend
// that does both, or a mixed backend.
func (p *Policy) dispatch(request *scheduler.Request) {
	if p.name == Informed {
		p.dispatchInformed(request)
		return
	}
	mixed, decoders, prefillers := p.eligible(request, scheduler.RoleMixed), p.eligible(request, scheduler.RoleDecode),
		p.eligible(request, scheduler.RolePrefill)
	wholeBackends := append(append([]*scheduler.Backend(nil), mixed...), decoders...)
	switch {
	case p.name == "always_in_place" && len(wholeBackends) > 0 && p.settings.Bool("familyInfo.localRead"):
		p.send(request, p.pick(wholeBackends), scheduler.StageWhole)
	case p.name == "always_apart" && len(prefillers) > 0, len(mixed) == 0 && len(prefillers) > 0:
		p.send(request, p.pick(prefillers), scheduler.StagePrefill)
	case len(mixed) > 0 && (len(prefillers) == 0 || p.rng.Float() < float64(len(mixed))/float64(len(mixed)+len(decoders))):
		p.send(request, p.pick(mixed), scheduler.StageWhole)
	case len(prefillers) > 0:
		p.send(request, p.pick(prefillers), scheduler.StagePrefill)
	default:
		p.rejectOrFail(request)
	}
}

// eligible lists the backends of a role that may be sent the request now.
func (p *Policy) eligible(request *scheduler.Request, role scheduler.Role) []*scheduler.Backend {
	if p.runtime.Now() >= request.Deadline ||
		len(request.Attempts) >= int(p.settings.Number("policyLimits.maxAttempts", 1)) {
		return nil
	}
	if attempt := request.MayHaveRun(); attempt != nil && role != scheduler.RolePrefill &&
		request.Class.Effect != scheduler.Idempotent {
		return nil
	}
	return scheduler.Filter(p.backends, func(backend *scheduler.Backend) bool {
		return backend.Role == role && backend.State == scheduler.Ready && !request.FailedAt(backend)
	})
}

func (p *Policy) pick(backends []*scheduler.Backend) *scheduler.Backend {
	switch p.name {
	case "round_robin":
		p.nextBackend++
		return backends[p.nextBackend%len(backends)]
	case "least_streams":
		start := int(p.rng.Float() * float64(len(backends)))
		best := backends[start]
		for i := range backends {
			backend := backends[(start+i)%len(backends)]
			if float64(backend.Streams)+backend.PrefillBacklog/1000 < float64(best.Streams)+best.PrefillBacklog/1000 {
				best = backend
			}
		}
		return best
	}
	return backends[int(p.rng.Float()*float64(len(backends)))]
}

func (p *Policy) send(request *scheduler.Request, backend *scheduler.Backend, stage scheduler.Stage) {
	attempt := &scheduler.Attempt{Request: request, Backend: backend, Number: len(request.Attempts),
		SentAt: p.runtime.Now(),
		Stage:  stage}
	if stage != scheduler.StageDecode {
		attempt.PrefillTokens = request.PromptTokens
	}
	attempt.ApplyLoad(1)
	request.Attempts = append(request.Attempts, attempt)
	p.runtime.Send(attempt, request.Deadline-attempt.SentAt)
}

// FirstToken notes that an attempt has streamed its first token; its KV cache then needs no release any more.
func (p *Policy) FirstToken(attempt *scheduler.Attempt, _ time.Duration) {
	attempt.FirstTokenAt = p.runtime.Now()
	attempt.Request.KVHolder = nil
}

// AttemptDone takes an attempt's result and schedules the request's next attempt, if it needs one.
func (p *Policy) AttemptDone(attempt *scheduler.Attempt, result scheduler.Result) {
	request := attempt.Request
	attempt.Ended, attempt.Outcome = true, result.Outcome
	attempt.ApplyLoad(-1)
	request.Finished = request.Finished || result.Finished
	switch {
	case result.Outcome == scheduler.Prefilled:
		request.KVHolder = attempt.Backend
	case result.Outcome == scheduler.Rejected && result.Detail == 1:
		request.KVHolder = nil
	}
	if request.Finished {
		p.releaseKVCache(request)
		return
	}
	if request.KVHolder != nil {
		if eligible := append(p.eligible(request, scheduler.RoleDecode),
			p.eligible(request, scheduler.RoleMixed)...); len(eligible) > 0 {
			p.send(request, p.pickDecode(request, eligible), scheduler.StageDecode)
			return
		}
	}
	p.releaseKVCache(request)
	p.dispatch(request)
}

func (p *Policy) releaseKVCache(request *scheduler.Request) {
	if request.KVHolder != nil && request.InFlight() == nil {
		request.KVHolder = nil
		p.runtime.Release(request)
	}
}

func (p *Policy) rejectOrFail(request *scheduler.Request) {
	request.Finished = true
	if request.Class.Effect != scheduler.Idempotent && request.MayHaveRun() != nil {
		p.runtime.Fail(request)
		return
	}
	p.runtime.Reject(request, p.settings.Duration("policyLimits.maxRetryAfterUs"))
}

// ClientDisconnected ends the request of a client that has disconnected.
func (p *Policy) ClientDisconnected(request *scheduler.Request) {
	if request.Finished {
		return
	}
	request.Finished = true
	if attempt := request.InFlight(); attempt != nil && attempt.FirstTokenAt == 0 {
		p.runtime.Cancel(attempt)
	}
	p.releaseKVCache(request)
}

// PeerUpdated does nothing: the policies take no account of peer updates.
func (p *Policy) PeerUpdated(scheduler.PeerUpdate) {}
