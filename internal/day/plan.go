package day

import (
	"fmt"
	"math"
	"time"

	"sloetrestle/internal/fakes"
)

// session is a conversation of one or more turns.
type session struct {
	name, sharedPrefix string
	prefixTokens       int
	tokens             int // of the conversation so far
	tenant             string
	turnsLeft          int
	nextTurn           time.Duration // the earliest time of the next turn
}

// thinkTime is how long a client reads an answer before its next request.
const thinkTime = 2 * time.Second

// active reports whether a fault is of a kind and active at a time.
func (f Fault) active(kind string, t time.Duration) bool {
	return f.Kind == kind && t >= f.Start.Std() && t < (f.Start+f.Duration).Std()
}

// Plan draws all requests that clients will send. Arrivals don't wait for answers. The same script and seed always give
// the same plan.
func (d *Scenario) Plan() []fakes.Request {
	rng := d.rng(1)
	var requests []fakes.Request
	openSessions := map[string][]*session{} // by class
	shares := 0.0
	for _, t := range d.Traffic {
		shares += t.Share
	}
	duration := d.Header.Duration.Std()
	for arrival := time.Duration(0); ; {
		rate, unseenPrefix, burstTenant := d.Header.RequestsPerSecond, "", ""
		unseenPrefixTokens := 0
		for i, fault := range d.Faults {
			if fault.active("burst", arrival) {
				rate *= fault.Factor
				if fault.Tenant != "" && rng.Float64() < 1-1/fault.Factor {
					burstTenant = fault.Tenant
				}
			}
			if fault.active("shared_text", arrival) && rng.Float64() < fault.Share {
				unseenPrefix, unseenPrefixTokens = fmt.Sprintf("unseen-%d", i), fault.Tokens
			}
		}
		arrival += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if arrival >= duration {
			return requests
		}
		// Draw the class, then take a session that continues or begin a new one.
		pick := rng.Float64() * shares
		traffic := d.Traffic[0]
		for _, t := range d.Traffic {
			traffic = t
			if pick -= t.Share; pick < 0 {
				break
			}
		}
		var s *session
		open := openSessions[traffic.Class]
		for i, o := range open {
			if unseenPrefix == "" && burstTenant == "" && o.nextTurn <= arrival {
				s, openSessions[traffic.Class] = o, append(open[:i:i], open[i+1:]...)
				break
			}
		}
		if s == nil {
			s = &session{name: fmt.Sprintf("s%d", len(requests)), turnsLeft: 1}
			for float64(s.turnsLeft) < 12 && rng.Float64() < 1-1/traffic.Turns {
				s.turnsLeft++
			}
			if len(d.Tenants) > 0 {
				s.tenant = d.drawTenant(rng.Float64())
			}
			if burstTenant != "" {
				s.tenant = burstTenant
			}
			switch {
			case unseenPrefix != "":
				s.sharedPrefix, s.prefixTokens = unseenPrefix, unseenPrefixTokens
			case rng.Float64() < traffic.SharedPrefixShare:
				// A few prefixes are common and many are rare.
				n := int(math.Pow(float64(traffic.SharedPrefixes), rng.Float64()))
				s.sharedPrefix, s.prefixTokens = fmt.Sprintf("%s-text-%d", traffic.Class, n), traffic.SharedPrefixTokens
			}
			s.tokens = s.prefixTokens
		}
		promptFactor := 1.0
		request := fakes.Request{SubmitAt: arrival, Name: fmt.Sprintf("q%d", len(requests)), Class: traffic.Class,
			Tenant: s.tenant, Session: s.name, PrefixID: s.sharedPrefix, PrefixTokens: s.prefixTokens,
			Retries:   d.Clients.Retries,
			RetryWait: d.Clients.RetryWait.Std(), ExponentialBackoff: d.Clients.WaitDoubles,
			HonoursRetryAfter: rng.Float64() < d.Clients.FollowAdviceShare}
		class := d.Classes[d.ClassIndex(traffic.Class)]
		leaves, givesUpAfter, readDelay := false, 0.0, time.Duration(0) // givesUpAfter: in latency targets
		for _, fault := range d.Faults {
			switch {
			case fault.active("long_prompts", arrival) && rng.Float64() < fault.Share &&
				(fault.Class == "" || fault.Class == traffic.Class):
				promptFactor = fault.Factor
			case fault.active("leave", arrival) && rng.Float64() < fault.Share:
				leaves = true
			case fault.active("give_up", arrival) && rng.Float64() < fault.Share:
				givesUpAfter = fault.Factor
			case fault.active("slow_clients", arrival) && rng.Float64() < fault.Share:
				readDelay = fault.Delay.Std()
			}
		}
		// New tokens are log-normal with a mean of NewTokens: 0.18 is half the square of 0.6.
		s.tokens += max(int(traffic.NewTokens*promptFactor*math.Exp(0.6*rng.NormFloat64()-0.18)), 8)
		request.PromptTokens = s.tokens
		request.MaxTokens = max(class.DefaultMaxTokens, 1)
		kilotokens := float64(request.PromptTokens) / 1000
		request.LatencyTarget = class.LatencyTarget.Std() + time.Duration(kilotokens*float64(class.TargetPer1000Tokens))
		request.Deadline = class.Deadline.Std() + 2*time.Duration(kilotokens*float64(class.TargetPer1000Tokens))
		request.PatienceShare = d.Clients.PatienceMin + rng.Float64()*(d.Clients.PatienceMax-d.Clients.PatienceMin)
		if givesUpAfter > 0 {
			request.PatienceShare = min(request.PatienceShare,
				givesUpAfter*float64(request.LatencyTarget)/float64(request.Deadline))
		}
		request.ReadDelay = readDelay
		request.Idempotent = class.Effect == "idempotent" ||
			class.Effect == "deduplicated" && (class.DedupScope == "" || class.DedupScope == "all")
		if leaves { // some before the first token, some while the answer streams
			request.LeaveAfter = time.Duration((0.2 + 1.2*rng.Float64()) * float64(request.LatencyTarget))
		}
		requests = append(requests, request)
		if s.turnsLeft--; s.turnsLeft > 0 {
			s.nextTurn = arrival + thinkTime
			openSessions[traffic.Class] = append(openSessions[traffic.Class], s)
		}
	}
}

// drawTenant picks a tenant by its share; x is drawn from 0 to 1.
func (d *Scenario) drawTenant(x float64) string {
	shares := 0.0
	for _, c := range d.Tenants {
		shares += c.Share
	}
	x *= shares
	for _, c := range d.Tenants {
		if x -= c.Share; x < 0 {
			return c.Name
		}
	}
	return d.Tenants[len(d.Tenants)-1].Name
}
