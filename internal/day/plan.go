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
	return t.Kind == kind && at >= t.Start.D() && at < (t.Start+t.Duration).D()
}

// Plan draws all that clients will ask; arrivals don't wait for answers. The same script has the same plan.
func (d *Scenario) Plan() []standin.Wish {
	rng := d.rng(1)
	var wishes []standin.Wish
	open := map[string][]*session{}
	sum := 0.0
	for _, t := range d.Traffic {
		sum += t.Share
	}
	length := d.Header.Duration.D()
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
			if len(d.Channels) > 0 {
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
		w := standin.Wish{At: at, Name: fmt.Sprintf("q%d", len(wishes)), Grade: tr.Class, Channel: s.channel, Session: s.name, Shared: s.shared,
			Prefix: s.prefix, Retries: d.Clients.Retries, Wait: d.Clients.RetryWait.D(), Doubles: d.Clients.WaitDoubles, Honours: rng.Float64() < d.Clients.FollowAdviceShare}
		g := d.Grades[d.GradeNumber(tr.Class)]
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
				slowly = t.Delay.D()
			}
		}
		s.tokens += max(int(tr.NewTokens*long*math.Exp(0.6*rng.NormFloat64()-0.18)), 8)
		w.Tokens = s.tokens
		w.Most = max(g.Most, 1)
		k := float64(w.Tokens) / 1000
		w.Promised = g.Promised.D() + time.Duration(k*float64(g.PerK))
		w.Expiry = g.Expiry.D() + 2*time.Duration(k*float64(g.PerK))
		w.Patience = d.Clients.PatienceMin + rng.Float64()*(d.Clients.PatienceMax-d.Clients.PatienceMin)
		if givesUp > 0 {
			w.Patience = min(w.Patience, givesUp*float64(w.Promised)/float64(w.Expiry))
		}
		w.Slowly = slowly
		w.Safe = g.Effect == "idempotent" || g.Effect == "deduplicated" && (g.Reach == "" || g.Reach == "all")
		if quit { // some before the first token, some while the answer streams
			w.Leaves = time.Duration((0.2 + 1.2*rng.Float64()) * float64(w.Promised))
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
	for _, c := range d.Channels {
		sum += c.Share
	}
	x *= sum
	for _, c := range d.Channels {
		if x -= c.Share; x < 0 {
			return c.Name
		}
	}
	return d.Channels[len(d.Channels)-1].Name
}
