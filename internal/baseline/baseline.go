// Package baseline has simple scheduling policies as references for the scheduler. Experiments run them in its
// place; a running dispatcher never does. They keep the checker's five rules as far as one dispatcher can without
// coordination. Begin with New.
package baseline

import (
	"fmt"
	"time"

	"sloetrestle/brain"
)

// Names lists the names of the policies.
var Names = []string{"random", "least_streams", "round_robin", "always_apart", "always_in_place", Informed}

// Policy is a scheduler that follows one simple policy.
type Policy struct {
	View        View // required by Informed
	name        string
	runtime     brain.Runtime
	rng         *brain.PCG
	settings    brain.Settings
	backends    []*brain.Backend
	nextBackend int
	classes     []*brain.Class
}

// New returns the policy of the given name.
func New(name string, settings brain.Settings, seed uint64, runtime brain.Runtime) (*Policy, error) {
	known := false
	for _, n := range Names {
		known = known || n == name
	}
	if !known {
		return nil, fmt.Errorf("unknown policy %q: must be one of %v", name, Names)
	}
	classes, err := settings.Classes()
	return &Policy{name: name, runtime: runtime, rng: brain.NewPCG(seed), settings: settings, classes: classes}, err
}

// UpdateEndpoints applies endpoint updates, or with full the complete list.
func (p *Policy) UpdateEndpoints(endpoints []brain.Endpoint, full bool) {
	if full {
		for _, backend := range p.backends {
			backend.State = brain.Removed
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
func (p *Policy) Submit(request *brain.Request, class, _ int) {
	request.Class = p.classes[min(class, len(p.classes)-1)]
	request.ReceivedAt, request.Deadline = p.runtime.Now(), p.runtime.Now()+request.Timeout
	request.KVTokens = request.PromptTokens + request.MaxOutputTokens
	p.dispatch(request)
}

// MaySend tells whether a scheduled attempt may still be sent.
func (p *Policy) MaySend(attempt *brain.Attempt) brain.Permission {
	switch {
	case attempt.Ended:
		return brain.AttemptEnded
	case attempt.Request.Finished:
		return brain.RequestFinished
	case p.runtime.Now() >= attempt.Request.Deadline:
		return brain.DeadlinePassed
	case attempt.Backend.State != brain.Ready:
		return brain.BackendNotReady
	}
	return brain.Allowed
}

// dispatch sends a request's first attempt according to the policy: separate prefill and decode, a decode backend
// that does both, or a mixed backend.
func (p *Policy) dispatch(request *brain.Request) {
	if p.name == Informed {
		p.dispatchInformed(request)
		return
	}
	mixed, decoders, prefillers := p.eligible(request, brain.RoleMixed), p.eligible(request, brain.RoleDecode),
		p.eligible(request, brain.RolePrefill)
	wholeBackends := append(append([]*brain.Backend(nil), mixed...), decoders...)
	switch {
	case p.name == "always_in_place" && len(wholeBackends) > 0 && p.settings.Bool("familyInfo.localRead"):
		p.send(request, p.pick(wholeBackends), brain.StageWhole)
	case p.name == "always_apart" && len(prefillers) > 0, len(mixed) == 0 && len(prefillers) > 0:
		p.send(request, p.pick(prefillers), brain.StagePrefill)
	case len(mixed) > 0 && (len(prefillers) == 0 || p.rng.Float() < float64(len(mixed))/float64(len(mixed)+len(decoders))):
		p.send(request, p.pick(mixed), brain.StageWhole)
	case len(prefillers) > 0:
		p.send(request, p.pick(prefillers), brain.StagePrefill)
	default:
		p.rejectOrFail(request)
	}
}

// eligible lists the backends of a role that may be sent the request now.
func (p *Policy) eligible(request *brain.Request, role brain.Role) []*brain.Backend {
	if p.runtime.Now() >= request.Deadline ||
		len(request.Attempts) >= int(p.settings.Number("policyLimits.maxAttempts", 1)) {
		return nil
	}
	if attempt := request.MayHaveRun(); attempt != nil && role != brain.RolePrefill &&
		request.Class.Effect != brain.Idempotent {
		return nil
	}
	return brain.Filter(p.backends, func(backend *brain.Backend) bool {
		return backend.Role == role && backend.State == brain.Ready && !request.FailedAt(backend)
	})
}

func (p *Policy) pick(backends []*brain.Backend) *brain.Backend {
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

func (p *Policy) send(request *brain.Request, backend *brain.Backend, stage brain.Stage) {
	attempt := &brain.Attempt{Request: request, Backend: backend, Number: len(request.Attempts), SentAt: p.runtime.Now(),
		Stage: stage}
	if stage != brain.StageDecode {
		attempt.PrefillTokens = request.PromptTokens
	}
	attempt.ApplyLoad(1)
	request.Attempts = append(request.Attempts, attempt)
	p.runtime.Send(attempt, request.Deadline-attempt.SentAt)
}

// FirstToken notes that an attempt has streamed its first token; its KV cache then needs no release any more.
func (p *Policy) FirstToken(attempt *brain.Attempt, _ time.Duration) {
	attempt.FirstTokenAt = p.runtime.Now()
	attempt.Request.KVHolder = nil
}

// AttemptDone takes an attempt's result and schedules the request's next attempt, if it needs one.
func (p *Policy) AttemptDone(attempt *brain.Attempt, result brain.Result) {
	request := attempt.Request
	attempt.Ended, attempt.Outcome = true, result.Outcome
	attempt.ApplyLoad(-1)
	request.Finished = request.Finished || result.Finished
	switch {
	case result.Outcome == brain.Prefilled:
		request.KVHolder = attempt.Backend
	case result.Outcome == brain.Rejected && result.Detail == 1:
		request.KVHolder = nil
	}
	if request.Finished {
		p.releaseKVCache(request)
		return
	}
	if request.KVHolder != nil {
		if eligible := append(p.eligible(request, brain.RoleDecode),
			p.eligible(request, brain.RoleMixed)...); len(eligible) > 0 {
			p.send(request, p.pickDecode(request, eligible), brain.StageDecode)
			return
		}
	}
	p.releaseKVCache(request)
	p.dispatch(request)
}

func (p *Policy) releaseKVCache(request *brain.Request) {
	if request.KVHolder != nil && request.InFlight() == nil {
		request.KVHolder = nil
		p.runtime.Release(request)
	}
}

func (p *Policy) rejectOrFail(request *brain.Request) {
	request.Finished = true
	if request.Class.Effect != brain.Idempotent && request.MayHaveRun() != nil {
		p.runtime.Fail(request)
		return
	}
	p.runtime.Reject(request, p.settings.Duration("policyLimits.maxRetryAfterUs"))
}

// ClientDisconnected ends the request of a client that has disconnected.
func (p *Policy) ClientDisconnected(request *brain.Request) {
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
func (p *Policy) PeerUpdated(brain.PeerUpdate) {}
