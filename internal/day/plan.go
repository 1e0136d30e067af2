package day

import (
	"fmt"
	"math"
	"time"

	"sloetrestle/internal/standin"
)

// session is a conversation that may go on.
type session struct {
	name, shared string
	prefix       int
	tokens       int
	channel      string
	turns        int
	ready        time.Duration
}

// think is how long a client reads an answer before its next question.
const think = 2 * time.Second

// on tells whether a trouble of a kind is on at a time.
func (t Fault) on(kind string, at time.Duration) bool {
	return t.Kind == kind && at >= t.Start.Std() && at < (t.Start+t.Duration).Std()
}

// Plan draws all that clients will ask; arrivals don't wait for answers. The same script has the same plan.
func (d *Scenario) Plan() []standin.Request {
	rng := d.rng(1)
	var wishes []standin.Request
	open := map[string][]*session{}
	sum := 0.0
	for _, t := range d.Traffic {
		sum += t.Share
	}
	length := d.Header.Duration.Std()
	for at := time.Duration(0); ; {
		rate, begins, burst := d.Header.RequestsPerSecond, "", ""
		beginTokens := 0
		for i, t := range d.Faults {
			if t.on("burst", at) {
				rate *= t.Factor
				if t.Tenant != "" && rng.Float64() < 1-1/t.Factor {
					burst = t.Tenant
				}
			}
			if t.on("shared_text", at) && rng.Float64() < t.Share {
				begins, beginTokens = fmt.Sprintf("unseen-%d", i), t.Tokens
			}
		}
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= length {
			return wishes
		}
		// Which grade, then a session that goes on or a new one.
		pick := rng.Float64() * sum
		tr := d.Traffic[0]
		for _, t := range d.Traffic {
			tr = t
			if pick -= t.Share; pick < 0 {
				break
			}
		}
		var s *session
		waiting := open[tr.Class]
		for i, o := range waiting {
			if begins == "" && burst == "" && o.ready <= at {
				s, open[tr.Class] = o, append(waiting[:i:i], waiting[i+1:]...)
				break
			}
		}
		if s == nil {
			s = &session{name: fmt.Sprintf("s%d", len(wishes)), turns: 1}
			for float64(s.turns) < 12 && rng.Float64() < 1-1/tr.Turns {
				s.turns++
			}
			if len(d.Tenants) > 0 {
				s.channel = d.drawChannel(rng.Float64())
			}
			if burst != "" {
				s.channel = burst
			}
			switch {
			case begins != "":
				s.shared, s.prefix = begins, beginTokens
			case rng.Float64() < tr.SharedPrefixShare:
				// Few beginnings are common and many rare.
				n := int(math.Pow(float64(tr.SharedPrefixes), rng.Float64()))
				s.shared, s.prefix = fmt.Sprintf("%s-text-%d", tr.Class, n), tr.SharedPrefixTokens
			}
			s.tokens = s.prefix
		}
		long := 1.0
		w := standin.Request{SubmitAt: at, Name: fmt.Sprintf("q%d", len(wishes)), Class: tr.Class, Tenant: s.channel, Session: s.name, PrefixID: s.shared,
			PrefixTokens: s.prefix, Retries: d.Clients.Retries, RetryWait: d.Clients.RetryWait.Std(), ExponentialBackoff: d.Clients.WaitDoubles, HonoursRetryAfter: rng.Float64() < d.Clients.FollowAdviceShare}
		g := d.Classes[d.ClassIndex(tr.Class)]
		quit, givesUp, slowly := false, 0.0, time.Duration(0)
		for _, t := range d.Faults {
			switch {
			case t.on("long_prompts", at) && rng.Float64() < t.Share && (t.Class == "" || t.Class == tr.Class):
				long = t.Factor
			case t.on("leave", at) && rng.Float64() < t.Share:
				quit = true
			case t.on("give_up", at) && rng.Float64() < t.Share:
				givesUp = t.Factor
			case t.on("slow_clients", at) && rng.Float64() < t.Share:
				slowly = t.Delay.Std()
			}
		}
		s.tokens += max(int(tr.NewTokens*long*math.Exp(0.6*rng.NormFloat64()-0.18)), 8)
		w.PromptTokens = s.tokens
		w.MaxTokens = max(g.DefaultMaxTokens, 1)
		k := float64(w.PromptTokens) / 1000
		w.LatencyTarget = g.LatencyTarget.Std() + time.Duration(k*float64(g.TargetPer1000Tokens))
		w.Deadline = g.Deadline.Std() + 2*time.Duration(k*float64(g.TargetPer1000Tokens))
		w.PatienceShare = d.Clients.PatienceMin + rng.Float64()*(d.Clients.PatienceMax-d.Clients.PatienceMin)
		if givesUp > 0 {
			w.PatienceShare = min(w.PatienceShare, givesUp*float64(w.LatencyTarget)/float64(w.Deadline))
		}
		w.ReadDelay = slowly
		w.Idempotent = g.Effect == "idempotent" || g.Effect == "deduplicated" && (g.DedupScope == "" || g.DedupScope == "all")
		if quit { // some before the first token, some while the answer streams
			w.LeaveAfter = time.Duration((0.2 + 1.2*rng.Float64()) * float64(w.LatencyTarget))
		}
		wishes = append(wishes, w)
		if s.turns--; s.turns > 0 {
			s.ready = at + think
			open[tr.Class] = append(open[tr.Class], s)
		}
	}
}

// drawChannel picks a channel by its share.
func (d *Scenario) drawChannel(x float64) string {
	sum := 0.0
	for _, c := range d.Tenants {
		sum += c.Share
	}
	x *= sum
	for _, c := range d.Tenants {
		if x -= c.Share; x < 0 {
			return c.Name
		}
	}
	return d.Tenants[len(d.Tenants)-1].Name
}
