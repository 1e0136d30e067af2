// Package baseline has plain policies to compare the module with, and nothing else: they are hosted in its place by
// experiments, never by a running dispatcher. They keep the five rules as far as one dispatcher can without thought.
// Begin with New.
package baseline

import (
	"fmt"
	"time"

	"sloetrestle/brain"
)

// Names of the policies.
var Names = []string{"random", "least_streams", "round_robin", "always_apart", "always_in_place", Informed}

// Policy is one plain dispatcher.
type Policy struct {
	View  View // what Informed sees
	name  string
	runtime  brain.Runtime
	rng   *brain.PCG
	settings brain.Settings
	backends []*brain.Backend
	nextBackend  int
	classes []*brain.Class
}

// New makes a policy by its name.
func New(name string, settings brain.Settings, seed uint64, runtime brain.Runtime) (*Policy, error) {
	known := false
	for _, n := range Names {
		known = known || n == name
	}
	if !known {
		return nil, fmt.Errorf("policy %q is none of %v", name, Names)
	}
	classes, err := settings.Classes()
	return &Policy{name: name, runtime: runtime, rng: brain.NewPCG(seed), settings: settings, classes: classes}, err
}

func (p *Policy) UpdateEndpoints(lines []brain.Endpoint, whole bool) {
	if whole {
		for _, h := range p.backends {
			h.State = brain.Removed
		}
	}
	for _, l := range lines {
		known := false
		for _, h := range p.backends {
			known = known || h == l.Backend
		}
		if !known {
			l.Backend.Role = p.settings.RoleOf(l.Backend.Kind)
			p.backends = append(p.backends, l.Backend)
		}
		l.Backend.State, l.Backend.CapacityUnits = l.State, l.CapacityUnits
	}
}

func (p *Policy) Submit(q *brain.Request, class, _ int) {
	q.Class = p.classes[min(class, len(p.classes)-1)]
	q.ReceivedAt, q.Deadline = p.runtime.Now(), p.runtime.Now()+q.Timeout
	q.KVTokens = q.PromptTokens + q.MaxOutputTokens
	p.dispatch(q)
}

// MaySend tells whether a trip that was chosen may still go out.
func (p *Policy) MaySend(t *brain.Attempt) brain.Permission {
	switch {
	case t.Ended:
		return brain.AttemptEnded
	case t.Request.Finished:
		return brain.RequestFinished
	case p.runtime.Now() >= t.Request.Deadline:
		return brain.DeadlinePassed
	case t.Backend.State != brain.Ready:
		return brain.BackendNotReady
	}
	return brain.Allowed
}

// begin takes the first step: apart, in place, or at a mixed host, as the policy has it.
func (p *Policy) dispatch(q *brain.Request) {
	if p.name == Informed {
		p.dispatchInformed(q)
		return
	}
	mixed, decoders, prefillers := p.eligible(q, brain.RoleMixed), p.eligible(q, brain.RoleDecode), p.eligible(q, brain.RolePrefill)
	wholeBackends := append(append([]*brain.Backend(nil), mixed...), decoders...)
	switch {
	case p.name == "always_in_place" && len(wholeBackends) > 0 && p.settings.Bool("familyInfo.localRead"):
		p.send(q, p.pick(wholeBackends), brain.StageWhole)
	case p.name == "always_apart" && len(prefillers) > 0, len(mixed) == 0 && len(prefillers) > 0:
		p.send(q, p.pick(prefillers), brain.StagePrefill)
	case len(mixed) > 0 && (len(prefillers) == 0 || p.rng.Float() < float64(len(mixed))/float64(len(mixed)+len(decoders))):
		p.send(q, p.pick(mixed), brain.StageWhole)
	case len(prefillers) > 0:
		p.send(q, p.pick(prefillers), brain.StagePrefill)
	default:
		p.rejectOrFail(q)
	}
}

// able lists hosts of a role that may take the question now.
func (p *Policy) eligible(q *brain.Request, role brain.Role) []*brain.Backend {
	if p.runtime.Now() >= q.Deadline || len(q.Attempts) >= int(p.settings.Number("policyLimits.maxAttempts", 1)) {
		return nil
	}
	if t := q.MayHaveRun(); t != nil && role != brain.RolePrefill && q.Class.Effect != brain.Idempotent {
		return nil
	}
	return brain.Filter(p.backends, func(h *brain.Backend) bool { return h.Role == role && h.State == brain.Ready && !q.FailedAt(h) })
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
			h := backends[(start+i)%len(backends)]
			if float64(h.Streams)+h.PrefillBacklog/1000 < float64(best.Streams)+best.PrefillBacklog/1000 {
				best = h
			}
		}
		return best
	}
	return backends[int(p.rng.Float()*float64(len(backends)))]
}

func (p *Policy) send(q *brain.Request, h *brain.Backend, stage brain.Stage) {
	t := &brain.Attempt{Request: q, Backend: h, Number: len(q.Attempts), SentAt: p.runtime.Now(), Stage: stage}
	if stage != brain.StageDecode {
		t.PrefillTokens = q.PromptTokens
	}
	t.ApplyLoad(1)
	q.Attempts = append(q.Attempts, t)
	p.runtime.Send(t, q.Deadline-t.SentAt)
}

func (p *Policy) FirstToken(t *brain.Attempt, _ time.Duration) {
	t.FirstTokenAt = p.runtime.Now()
	t.Request.KVHolder = nil
}

func (p *Policy) AttemptDone(t *brain.Attempt, r brain.Result) {
	q := t.Request
	t.Ended, t.Outcome = true, r.Outcome
	t.ApplyLoad(-1)
	q.Finished = q.Finished || r.Finished
	switch {
	case r.Outcome == brain.Prefilled:
		q.KVHolder = t.Backend
	case r.Outcome == brain.Rejected && r.Detail == 1:
		q.KVHolder = nil
	}
	if q.Finished {
		p.releaseKVCache(q)
		return
	}
	if q.KVHolder != nil {
		if eligible := append(p.eligible(q, brain.RoleDecode), p.eligible(q, brain.RoleMixed)...); len(eligible) > 0 {
			p.send(q, p.pickDecode(q, eligible), brain.StageDecode)
			return
		}
	}
	p.releaseKVCache(q)
	p.dispatch(q)
}

func (p *Policy) releaseKVCache(q *brain.Request) {
	if q.KVHolder != nil && q.InFlight() == nil {
		q.KVHolder = nil
		p.runtime.Release(q)
	}
}

func (p *Policy) rejectOrFail(q *brain.Request) {
	q.Finished = true
	if q.Class.Effect != brain.Idempotent && q.MayHaveRun() != nil {
		p.runtime.Fail(q)
		return
	}
	p.runtime.Reject(q, p.settings.Duration("policyLimits.maxRetryAfterUs"))
}

func (p *Policy) ClientDisconnected(q *brain.Request) {
	if q.Finished {
		return
	}
	q.Finished = true
	if t := q.InFlight(); t != nil && t.FirstTokenAt == 0 {
		p.runtime.Cancel(t)
	}
	p.releaseKVCache(q)
}

func (p *Policy) PeerUpdated(brain.PeerUpdate) {}
