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
	door  brain.Runtime
	rng   *brain.PCG
	facts brain.Settings
	hosts []*brain.Backend
	next  int
	grade []*brain.Class
}

// New makes a policy by its name.
func New(name string, facts brain.Settings, seed uint64, door brain.Runtime) (*Policy, error) {
	known := false
	for _, n := range Names {
		known = known || n == name
	}
	if !known {
		return nil, fmt.Errorf("policy %q is none of %v", name, Names)
	}
	grades, err := facts.Classes()
	return &Policy{name: name, door: door, rng: brain.NewPCG(seed), facts: facts, grade: grades}, err
}

func (p *Policy) UpdateEndpoints(lines []brain.Endpoint, whole bool) {
	if whole {
		for _, h := range p.hosts {
			h.State = brain.Removed
		}
	}
	for _, l := range lines {
		known := false
		for _, h := range p.hosts {
			known = known || h == l.Backend
		}
		if !known {
			l.Backend.Role = p.facts.RoleOf(l.Backend.Kind)
			p.hosts = append(p.hosts, l.Backend)
		}
		l.Backend.State, l.Backend.CapacityUnits = l.State, l.CapacityUnits
	}
}

func (p *Policy) Submit(q *brain.Request, grade, _ int) {
	q.Class = p.grade[min(grade, len(p.grade)-1)]
	q.ReceivedAt, q.Deadline = p.door.Now(), p.door.Now()+q.Timeout
	q.KVTokens = q.PromptTokens + q.MaxOutputTokens
	p.begin(q)
}

// MaySend tells whether a trip that was chosen may still go out.
func (p *Policy) MaySend(t *brain.Attempt) brain.Permission {
	switch {
	case t.Ended:
		return brain.AttemptEnded
	case t.Request.Finished:
		return brain.RequestFinished
	case p.door.Now() >= t.Request.Deadline:
		return brain.DeadlinePassed
	case t.Backend.State != brain.Ready:
		return brain.BackendNotReady
	}
	return brain.Allowed
}

// begin takes the first step: apart, in place, or at a mixed host, as the policy has it.
func (p *Policy) begin(q *brain.Request) {
	if p.name == Informed {
		p.beginInformed(q)
		return
	}
	mixed, writers, readers := p.able(q, brain.RoleMixed), p.able(q, brain.RoleDecode), p.able(q, brain.RolePrefill)
	whole := append(append([]*brain.Backend(nil), mixed...), writers...)
	switch {
	case p.name == "always_in_place" && len(whole) > 0 && p.facts.Bool("familyInfo.localRead"):
		p.send(q, p.pick(whole), brain.StageWhole)
	case p.name == "always_apart" && len(readers) > 0, len(mixed) == 0 && len(readers) > 0:
		p.send(q, p.pick(readers), brain.StagePrefill)
	case len(mixed) > 0 && (len(readers) == 0 || p.rng.Float() < float64(len(mixed))/float64(len(mixed)+len(writers))):
		p.send(q, p.pick(mixed), brain.StageWhole)
	case len(readers) > 0:
		p.send(q, p.pick(readers), brain.StagePrefill)
	default:
		p.giveUp(q)
	}
}

// able lists hosts of a role that may take the question now.
func (p *Policy) able(q *brain.Request, role brain.Role) []*brain.Backend {
	if p.door.Now() >= q.Deadline || len(q.Attempts) >= int(p.facts.Number("policyLimits.maxAttempts", 1)) {
		return nil
	}
	if t := q.MayHaveRun(); t != nil && role != brain.RolePrefill && q.Class.Effect != brain.Idempotent {
		return nil
	}
	return brain.Filter(p.hosts, func(h *brain.Backend) bool { return h.Role == role && h.State == brain.Ready && !q.FailedAt(h) })
}

func (p *Policy) pick(hosts []*brain.Backend) *brain.Backend {
	switch p.name {
	case "round_robin":
		p.next++
		return hosts[p.next%len(hosts)]
	case "least_streams":
		start := int(p.rng.Float() * float64(len(hosts)))
		best := hosts[start]
		for i := range hosts {
			h := hosts[(start+i)%len(hosts)]
			if float64(h.Streams)+h.PrefillBacklog/1000 < float64(best.Streams)+best.PrefillBacklog/1000 {
				best = h
			}
		}
		return best
	}
	return hosts[int(p.rng.Float()*float64(len(hosts)))]
}

func (p *Policy) send(q *brain.Request, h *brain.Backend, stage brain.Stage) {
	t := &brain.Attempt{Request: q, Backend: h, Number: len(q.Attempts), SentAt: p.door.Now(), Stage: stage}
	if stage != brain.StageDecode {
		t.PrefillTokens = q.PromptTokens
	}
	t.ApplyLoad(1)
	q.Attempts = append(q.Attempts, t)
	p.door.Send(t, q.Deadline-t.SentAt)
}

func (p *Policy) FirstToken(t *brain.Attempt, _ time.Duration) {
	t.FirstTokenAt = p.door.Now()
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
		p.letGo(q)
		return
	}
	if q.KVHolder != nil {
		if able := append(p.able(q, brain.RoleDecode), p.able(q, brain.RoleMixed)...); len(able) > 0 {
			p.send(q, p.pickDecode(q, able), brain.StageDecode)
			return
		}
	}
	p.letGo(q)
	p.begin(q)
}

func (p *Policy) letGo(q *brain.Request) {
	if q.KVHolder != nil && q.InFlight() == nil {
		q.KVHolder = nil
		p.door.Release(q)
	}
}

func (p *Policy) giveUp(q *brain.Request) {
	q.Finished = true
	if q.Class.Effect != brain.Idempotent && q.MayHaveRun() != nil {
		p.door.Fail(q)
		return
	}
	p.door.Reject(q, p.facts.Duration("policyLimits.maxRetryAfterUs"))
}

func (p *Policy) ClientDisconnected(q *brain.Request) {
	if q.Finished {
		return
	}
	q.Finished = true
	if t := q.InFlight(); t != nil && t.FirstTokenAt == 0 {
		p.door.Cancel(t)
	}
	p.letGo(q)
}

func (p *Policy) PeerUpdated(brain.PeerUpdate) {}
