package brain

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Role says which stage of a request a backend can do.
type Role int

const (
	RolePrefill Role = iota
	RoleDecode
	RoleMixed
)

// Effect says how far running a request again does harm.
type Effect int

const (
	Idempotent Effect = iota
	Deduplicated
	NonIdempotent
)

// Reach is the group of backends that drops the repeats of a deduplicated request.
type DedupScope int

const (
	WholeFleet DedupScope = iota
	SameZone
	SameRack
)

// Joins tells whether two backends are of one group.
func (r DedupScope) Covers(a, b *Backend) bool {
	return r == WholeFleet || a.Zone == b.Zone && (r == SameZone || a.Rack == b.Rack)
}

// BackendState is what the list of backends says of one.
type BackendState int

const (
	Draining BackendState = iota
	Ready
	Removed
)

// Outcome is how an attempt ended.
type Outcome int

const (
	Served Outcome = iota
	Prefilled
	Failed
	Rejected
	TimedOut
	Unreachable
	ConnectionLost
	Cancelled
	NotSent
)

// NeverRan tells whether the outcome proves that the attempt had no effect.
func (o Outcome) NeverRan() bool {
	return o == Rejected || o == Unreachable || o == NotSent || o == Prefilled
}

// Class is a service class, as the operators state it.
type Class struct {
	Index               int
	Effect              Effect
	DedupScope          DedupScope
	DedupWindow         time.Duration
	Target              time.Duration // to the first token
	TargetPer1000Tokens time.Duration // added for each 1,000 prompt tokens
	Value               float64
	LateValue           float64     // part of the benefit that is left after the promised time
	PrefillTokens       RunningMean // tokens left to read of this class's requests
	DecodeSeconds       RunningMean // seconds that its answers stream
	Offered             RollingSum  // its requests taken lately
	Admitted            RollingSum  // those of them that were sent on
	Weight              float64     // by which its requests count for more, as few were admitted; 0: not weighed yet
}

// admittedShare is which share of the class's requests was sent on lately. A prior of some requests keeps few of them from saying much.
func (g *Class) admittedShare(now time.Duration) float64 {
	offered := g.Offered.Sum(now)
	return (min(g.Admitted.Sum(now), offered) + admittedPrior) / (offered + admittedPrior)
}

// Tenant is a tenant with its share of the service.
type Tenant struct {
	Quota    float64 // requests a second over all dispatchers
	Received RollingSum
}

// Backend is one server as this dispatcher knows it.
type Backend struct {
	ID               uint32
	Zone             int
	Rack             int
	Kind             int
	Role             Role
	KVCapacity       float64 // tokens
	CapacityUnits    float64
	DistanceFactor   float64 // how much dearer than a backend in the own zone
	Bias             float64 // streams that a dispatcher imagines there, drawn once: each leans to other backends
	RelativeCapacity float64 // Units against the mean of its role
	StartedAt        time.Duration
	StartReported    bool          // Booted is a start that the list told of
	UnreachableAt    time.Duration // when it could last not be reached
	State            BackendState
	Tracked          bool   // it is among the dispatcher's backends
	order            uint64 // its place among them
	candidateMark    uint64 // of the last candidates that it was among

	Streams        int     // own requests that are or will be answered here
	KVTokens       float64 // own tokens held here
	PrefillBacklog float64 // own tokens still to be read here
	TokenLimit     float64 // how many own attempts it is trusted with
	LimitReducedAt time.Duration

	Util, QueueLength   float64        // last load report
	SentWork            RollingSum     // work sent
	RecentLoad          RollingSum     // reads and streams sent over a longer time
	CompletedWork       RollingSum     // work of attempts that ended well
	Outcomes            []OutcomeStats // of requests of any class, then of each class
	CachedPrefixes      map[uint64]CachedPrefix
	HitRatio            RunningMean // reported kept tokens against expected ones
	CacheInsertedTokens float64     // own tokens newly read or fetched here
}

func (h *Backend) Decodes() bool     { return h.Role != RolePrefill }
func (h *Backend) PrefillOnly() bool { return h.Role == RolePrefill }
func (h *Backend) Mixed() bool       { return h.Role == RoleMixed }

// Only lists those of the backends that are wanted.
func Filter(hosts []*Backend, want func(*Backend) bool) []*Backend {
	var found []*Backend
	for _, h := range hosts {
		if want(h) {
			found = append(found, h)
		}
	}
	return found
}

// Compare sets each backend's Size, as stated units compare backends of one role only, and tells how many of
// the ready ones answer.
func CompareCapacities(hosts []*Backend) (answering float64) {
	var units, n [3]float64
	for _, h := range hosts {
		if h.State == Ready {
			units[h.Role], n[h.Role] = units[h.Role]+h.CapacityUnits, n[h.Role]+1
		}
	}
	for _, h := range hosts {
		h.RelativeCapacity = 1.0
		if units[h.Role] > 0 {
			h.RelativeCapacity = h.CapacityUnits * n[h.Role] / units[h.Role]
		}
	}
	return n[RoleDecode] + n[RoleMixed]
}

// Order sorts backends by a hash of their ids with a key.
func SortByHash(hosts []*Backend, key uint64) {
	slices.SortFunc(hosts, func(a, b *Backend) int { return cmp.Compare(Mix(key, uint64(a.ID)), Mix(key, uint64(b.ID))) })
}

// Forget drops what was kept before a time.
func (h *Backend) ForgetPrefixes(before time.Duration) {
	for key, k := range h.CachedPrefixes {
		if k.UsedAt < before {
			delete(h.CachedPrefixes, key)
		}
	}
}

// Least returns the backend with the least cost.
func MinBy(hosts []*Backend, cost func(*Backend) float64) *Backend {
	var found *Backend
	least := math.Inf(1)
	for _, h := range hosts {
		if c := cost(h); c < least {
			found, least = h, c
		}
	}
	return found
}

// Average is the mean cost of the backends.
func MeanOf(hosts []*Backend, cost func(*Backend) float64) float64 {
	sum := 0.0
	for _, h := range hosts {
		sum += cost(h)
	}
	return sum / float64(max(len(hosts), 1))
}

// Record is how attempts to a backend went.
type OutcomeStats struct {
	Successes, Failures RollingSum
	ConsecutiveFailures float64 // bad ones since the last good one
}

// Take counts an attempt; one whose first token came slowly speaks with part of the weight of a failure.
func (r *OutcomeStats) Observe(now time.Duration, v Verdict, part float64) {
	switch v {
	case VerdictGood:
		r.Successes.Add(now, 1)
		r.ConsecutiveFailures = 0
	case VerdictSlow:
		r.Failures.Add(now, part)
	case VerdictBad, VerdictUnreachable:
		r.Failures.Add(now, 1)
		r.ConsecutiveFailures++
	}
}

// PeerUpdate is what one dispatcher tells another of an attempt of its own.
type PeerUpdate struct {
	Backend           *Backend
	ClassIndex        int
	Verdict           Verdict
	HasLoad           bool // Util and Queue are from this attempt's load report
	Util, QueueLength float64
	TargetShare       float64 // of its latency target that a first token took, 1 for one that was given up on; 0: not told
}

// Verdict is what an attempt says of its backend.
type Verdict int

const (
	VerdictNone Verdict = iota // nothing
	VerdictGood
	VerdictSlow
	VerdictBad
	VerdictUnreachable // it could not be reached
)

// Kept is what a backend is thought to have kept for one prefix key.
type CachedPrefix struct {
	Tokens         float64
	UsedAt         time.Duration
	InsertedTokens float64 // the backend's Taken then
}

// Request is one try of a client that this dispatcher took.
type Request struct {
	ID                 uint64
	SessionKey         uint64
	PrefixKey          uint64
	PromptTokens       float64
	PrefixTokens       float64 // how much of the prompt is the shared beginning
	MaxOutputTokens    float64 // tokens the answer may have
	KVTokens           float64 // tokens it is taken to need where it is answered
	Class              *Class
	ClientRetry        bool // the client says it asked before
	Timeout            time.Duration
	ReceivedAt         time.Duration
	DispatchedAt       time.Duration // when it last went out from among the held
	Outstanding        bool          // it is out without a first token
	Finished           bool
	NoMoreAttempts     bool    // its calling program allows no further attempt
	OverQuota          bool    // beyond its channel's share
	ValueDensity       float64 // benefit for its work
	Attempts           []*Attempt
	KVHolder           *Backend      // where its read state waits
	KVWaitingSince     time.Duration // since when it does, with no attempt that is known to have arrived
	ReleaseUnconfirmed bool          // one that was released may be there all the same
	Released           bool          // it was released beside the attempt that is out, and may or may not be there
	TargetAt           time.Duration
	Deadline           time.Duration
}

// Out returns the attempt that is out, if any.
func (q *Request) InFlight() *Attempt {
	if n := len(q.Attempts); n > 0 && !q.Attempts[n-1].Ended {
		return q.Attempts[n-1]
	}
	return nil
}

// MayHaveRun returns the first attempt that is not proven to have had no effect.
func (q *Request) MayHaveRun() *Attempt { return q.MayHaveRunBefore(len(q.Attempts)) }

// MayHaveRunBefore returns the first such attempt of those before the one with that number.
func (q *Request) MayHaveRunBefore(number int) *Attempt {
	for _, t := range q.Attempts[:number] {
		if t.Backend.Role != RolePrefill && !(t.Ended && t.Outcome.NeverRan()) {
			return t
		}
	}
	return nil
}

// FailedAt tells whether an attempt to the backend ended without what was asked.
func (q *Request) FailedAt(h *Backend) bool {
	return slices.ContainsFunc(q.Attempts, func(t *Attempt) bool {
		return t.Backend == h && t.Ended && t.Outcome != Prefilled
	})
}

// Attempt is one send of a request to a backend. Next takes its result on.
type Attempt struct {
	Request        *Request
	Backend        *Backend
	Number         int
	SentAt         time.Duration
	FirstTokenAt   time.Duration
	PrefillTokens  float64 // tokens expected to be read
	CachedTokens   float64 // tokens expected to be kept
	Stage          Stage
	ConnectTimeout time.Duration // for its connection, if less than what any has; 0: no less
	SlowStart      bool          // its backend was in slow start when it was chosen: the work counts there
	Ended          bool
	Outcome        Outcome
	OnResult       func(Result)
}

// Weigh adds to the backend what the attempt takes there, or takes it away again, and tells the change in streams.
func (t *Attempt) ApplyLoad(sign float64) float64 {
	t.Backend.PrefillBacklog += sign * t.PrefillTokens
	t.Backend.KVTokens += sign * t.Request.KVTokens
	if t.Stage == StagePrefill {
		return 0
	}
	t.Backend.Streams += int(sign)
	return sign
}

// Stage is what an attempt asks of its backend.
type Stage int

const (
	StagePrefill Stage = iota // read and keep the state
	StageDecode               // fetch a state and answer
	StageWhole                // read and answer in one place
)

// Result is what came of an attempt.
type Result struct {
	Outcome    Outcome
	Duration   time.Duration
	Delay      time.Duration // how long ago the attempt ended, where word of that had to wait
	Finished   bool
	Detail     int
	LoadReport []float64
}

// Listing is one line of the list of backends.
type Endpoint struct {
	Backend       *Backend
	State         BackendState
	CapacityUnits float64
	StartedAt     time.Duration
	StartReported bool
}
