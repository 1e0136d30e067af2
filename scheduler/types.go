package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Role is the phase that a backend serves.
type Role int

const (
	// RolePrefill is for backends that only prefill.
	RolePrefill Role = iota
	// RoleDecode is for backends that decode KV caches of prefill backends, and may prefill short prompts.
	RoleDecode
	// RoleMixed is for backends that do both.
	RoleMixed
)

// Effect says whether running a request twice does harm.
type Effect int

const (
	// Idempotent requests may run any number of times.
	Idempotent Effect = iota
	// Deduplicated requests have repeats that are recognized by key, for a while and within a group of backends.
	Deduplicated
	// NonIdempotent requests may run only once.
	NonIdempotent
)

// DedupScope is the group of backends that recognizes repeats of a deduplicated request.
type DedupScope int

const (
	// WholeFleet means that all backends are one group.
	WholeFleet DedupScope = iota
	// SameZone means that the backends of a zone are a group.
	SameZone
	// SameRack means that the backends of a rack in a zone are a group.
	SameRack
)

// Covers reports whether two backends belong to the same group.
func (s DedupScope) Covers(a, b *Backend) bool {
	return s == WholeFleet || a.Zone == b.Zone && (s == SameZone || a.Rack == b.Rack)
}

// BackendState is the state of a backend according to service discovery.
type BackendState int

const (
	// Draining backends finish their attempts and get no new ones.
	Draining BackendState = iota
	// Ready backends get new attempts.
	Ready
	// Removed backends are no longer in the endpoint list.
	Removed
)

// Outcome is how an attempt ended.
type Outcome int

const (
	Served         Outcome = iota // the answer is complete
	Prefilled                     // prefill is complete, and the backend holds the KV cache
	Failed                        // the backend answered with an error
	Rejected                      // the backend refused the request before running it
	TimedOut                      // no first token within the attempt's timeout
	Unreachable                   // no connection could be made
	ConnectionLost                // the connection was lost after the request was sent
	Cancelled                     // the dispatcher or the client cancelled it
	NotSent                       // nothing was sent
)

// NeverRan reports whether the outcome proves that the attempt had no effect.
func (o Outcome) NeverRan() bool {
	return o == Rejected || o == Unreachable || o == NotSent || o == Prefilled
}

// Class is a priority class of requests with its recent statistics.
type Class struct {
	Index               int
	Effect              Effect
	DedupScope          DedupScope
	DedupWindow         time.Duration // for which repeats are recognized
	Target              time.Duration // time to first token
	TargetPer1000Tokens time.Duration // added for each 1,000 prompt tokens
	Value               float64       // of serving a request within its latency target
	LateValue           float64       // share of the value that remains after the latency target
	PrefillTokens       RunningMean   // mean tokens to prefill, without cached ones
	DecodeSeconds       RunningMean   // mean duration of an answer's stream in seconds
	Offered             RollingSum    // requests received recently
	Admitted            RollingSum    // those of them that were sent to a backend
	Weight              float64       // factor on the value in the queue, rising as fewer are admitted; 0: not set
}

// admittedShare is the share of the class's recent requests that were sent to a backend. The prior keeps a few
// requests from changing it much.
func (c *Class) admittedShare(now time.Duration) float64 {
	offered := c.Offered.Sum(now)
	return (min(c.Admitted.Sum(now), offered) + admittedPrior) / (offered + admittedPrior)
}

// Tenant is a tenant with its quota.
type Tenant struct {
	Quota    float64 // requests per second over all dispatchers
	Received RollingSum
}

// Backend is a backend as this dispatcher knows it. Loads are those of the dispatcher's own requests.
type Backend struct {
	ID               uint32 // identifies the backend in hashes and peer updates
	Zone             int
	Rack             int
	Kind             int
	Role             Role
	KVCapacity       float64       // KV cache size in tokens
	CapacityUnits    float64       // stated capacity, comparable within a role
	DistanceFactor   float64       // cost factor of a backend in another zone, 1 in the dispatcher's own
	Bias             float64       // imaginary streams, drawn once, so that dispatchers prefer different backends
	RelativeCapacity float64       // capacity relative to the mean of its role
	StartedAt        time.Duration // as listed by service discovery
	StartReported    bool          // discovery reported StartedAt as a start or restart
	UnreachableAt    time.Duration // when it was last found unreachable; 0: never
	State            BackendState
	Tracked          bool   // is in the dispatcher's list of backends
	order            uint64 // sort key in that list
	candidateMark    uint64 // the last candidate set that it was in

	Streams        int           // requests in flight that are or will be decoded here
	KVTokens       float64       // KV cache tokens of the requests in flight
	PrefillBacklog float64       // prompt tokens still to be prefilled
	TokenLimit     float64       // adaptive limit on KVTokens
	LimitReducedAt time.Duration // when TokenLimit was last reduced

	Util, QueueLength   float64                 // of the last load report
	SentWork            RollingSum              // work sent, for the slow-start budget
	RecentLoad          RollingSum              // prefills and streams sent over a longer time
	CompletedWork       RollingSum              // work of attempts that succeeded
	Outcomes            []OutcomeStats          // of all requests, then of each class
	CachedPrefixes      map[uint64]CachedPrefix // by prefix or session key
	HitRatio            RunningMean             // reported over expected cached tokens
	CacheInsertedTokens float64                 // prompt tokens that this dispatcher's requests added to its cache
}

// Decodes reports whether the backend decodes.
func (b *Backend) Decodes() bool { return b.Role != RolePrefill }

// PrefillOnly reports whether the backend only prefills.
func (b *Backend) PrefillOnly() bool { return b.Role == RolePrefill }

// Mixed reports whether the backend both prefills and decodes.
func (b *Backend) Mixed() bool { return b.Role == RoleMixed }

// Filter returns the backends that match.
func Filter(backends []*Backend, matches func(*Backend) bool) []*Backend {
	var matched []*Backend
	for _, backend := range backends {
		if matches(backend) {
			matched = append(matched, backend)
		}
	}
	return matched
}

// CompareCapacities sets RelativeCapacity of each backend and returns how many ready ones decode. Stated
// capacity units compare backends of one role only.
func CompareCapacities(backends []*Backend) (decoding float64) {
	var units, counts [3]float64
	for _, backend := range backends {
		if backend.State == Ready {
			units[backend.Role], counts[backend.Role] = units[backend.Role]+backend.CapacityUnits, counts[backend.Role]+1
		}
	}
	for _, backend := range backends {
		backend.RelativeCapacity = 1.0
		if units[backend.Role] > 0 {
			backend.RelativeCapacity = backend.CapacityUnits * counts[backend.Role] / units[backend.Role]
		}
	}
	return counts[RoleDecode] + counts[RoleMixed]
}

// SortByHash sorts backends by rendezvous hash of their ids with a key.
func SortByHash(backends []*Backend, key uint64) {
	slices.SortFunc(backends, func(a, b *Backend) int {
		return cmp.Compare(Mix(key, uint64(a.ID)),
			Mix(key, uint64(b.ID)))
	})
}

// ForgetPrefixes drops prefixes that were last used before a time.
func (b *Backend) ForgetPrefixes(before time.Duration) {
	for key, prefix := range b.CachedPrefixes {
		if prefix.UsedAt < before {
			delete(b.CachedPrefixes, key)
		}
	}
}

// MinBy returns the backend with the lowest cost, nil if there is none of finite cost.
func MinBy(backends []*Backend, cost func(*Backend) float64) *Backend {
	var best *Backend
	lowest := math.Inf(1)
	for _, backend := range backends {
		if c := cost(backend); c < lowest {
			best, lowest = backend, c
		}
	}
	return best
}

// MeanOf returns the mean cost of the backends.
func MeanOf(backends []*Backend, cost func(*Backend) float64) float64 {
	sum := 0.0
	for _, backend := range backends {
		sum += cost(backend)
	}
	return sum / float64(max(len(backends), 1))
}

// OutcomeStats counts recent outcomes of attempts at a backend.
type OutcomeStats struct {
	Successes, Failures RollingSum
	ConsecutiveFailures float64 // since the last success
}

// Observe counts the outcome of an attempt. A slow one counts as a failure of weight slowWeight.
func (r *OutcomeStats) Observe(now time.Duration, verdict Verdict, slowWeight float64) {
	switch verdict {
	case VerdictGood:
		r.Successes.Add(now, 1)
		r.ConsecutiveFailures = 0
	case VerdictSlow:
		r.Failures.Add(now, slowWeight)
	case VerdictBad, VerdictUnreachable:
		r.Failures.Add(now, 1)
		r.ConsecutiveFailures++
	}
}

// PeerUpdate is what a dispatcher tells another about one of its attempts.
type PeerUpdate struct {
	Backend           *Backend
	ClassIndex        int
	Verdict           Verdict
	HasLoad           bool // Util and QueueLength come from this attempt's load report
	Util, QueueLength float64
	TargetShare       float64 // share of the latency target that the first token took; 1: given up on, 0: not reported
}

// Verdict is what an attempt says about its backend.
type Verdict int

const (
	VerdictNone        Verdict = iota // says nothing
	VerdictGood                       // success
	VerdictSlow                       // success with a slow first token
	VerdictBad                        // failure
	VerdictUnreachable                // no connection
)

// CachedPrefix is a prefix that a backend is expected to have cached.
type CachedPrefix struct {
	Tokens         float64
	UsedAt         time.Duration
	InsertedTokens float64 // the backend's CacheInsertedTokens at that time
}

// Request is a request that this dispatcher received.
type Request struct {
	ID                 uint64
	SessionKey         uint64 // key of its session; 0: none
	PrefixKey          uint64 // key of its shared prefix; 0: none
	PromptTokens       float64
	PrefixTokens       float64 // tokens of the prompt's shared prefix
	MaxOutputTokens    float64
	KVTokens           float64 // KV cache tokens that it is expected to need for decode
	Class              *Class
	ClientRetry        bool          // the client says that it is a retry
	Timeout            time.Duration // from receipt to Deadline
	ReceivedAt         time.Duration
	DispatchedAt       time.Duration // when it last left the queue
	Outstanding        bool          // was sent and has no first token
	Finished           bool          // has its final answer, or its client has disconnected
	NoMoreAttempts     bool          // no further attempt is allowed
	OverQuota          bool          // beyond its tenant's quota
	ValueDensity       float64       // value for its work, the queue's order
	Attempts           []*Attempt
	KVHolder           *Backend      // prefill backend that holds its KV cache for decode
	KVWaitingSince     time.Duration // since when it waits, with no attempt known to have arrived
	ReleaseUnconfirmed bool          // a released KV cache may still be there
	Released           bool          // released while an attempt was in flight: the KV cache may or may not be there
	TargetAt           time.Duration
	Deadline           time.Duration
}

// InFlight returns the attempt in flight, if any.
func (r *Request) InFlight() *Attempt {
	if n := len(r.Attempts); n > 0 && !r.Attempts[n-1].Ended {
		return r.Attempts[n-1]
	}
	return nil
}

// MayHaveRun returns the first attempt that is not proven to have had no effect, if any.
func (r *Request) MayHaveRun() *Attempt { return r.MayHaveRunBefore(len(r.Attempts)) }

// MayHaveRunBefore is MayHaveRun among the attempts before the one with the given number.
func (r *Request) MayHaveRunBefore(number int) *Attempt {
	for _, attempt := range r.Attempts[:number] {
		if attempt.Backend.Role != RolePrefill && !(attempt.Ended && attempt.Outcome.NeverRan()) {
			return attempt
		}
	}
	return nil
}

// FailedAt reports whether an attempt at the backend ended without success.
func (r *Request) FailedAt(backend *Backend) bool {
	return slices.ContainsFunc(r.Attempts, func(attempt *Attempt) bool {
		return attempt.Backend == backend && attempt.Ended && attempt.Outcome != Prefilled
	})
}

// Attempt is one send of a request to a backend.
type Attempt struct {
	Request        *Request
	Backend        *Backend
	Number         int // its index among the request's attempts
	SentAt         time.Duration
	FirstTokenAt   time.Duration // when the first token came; 0: not yet
	PrefillTokens  float64       // expected tokens to prefill
	CachedTokens   float64       // expected cached tokens, before correction by the backend's hit ratio
	Stage          Stage
	ConnectTimeout time.Duration // connection timeout, if shorter than the usual one; 0: the usual one
	SlowStart      bool          // the backend was in slow start when chosen: the work counts towards its budget
	Ended          bool
	Outcome        Outcome
	OnResult       func(Result) // continues the request with the attempt's result
}

// ApplyLoad adds the attempt's load to its backend (sign 1) or removes it (sign -1), and returns the change in
// streams.
func (a *Attempt) ApplyLoad(sign float64) float64 {
	a.Backend.PrefillBacklog += sign * a.PrefillTokens
	a.Backend.KVTokens += sign * a.Request.KVTokens
	if a.Stage == StagePrefill {
		return 0
	}
	a.Backend.Streams += int(sign)
	return sign
}

// Stage is what an attempt requests of its backend.
type Stage int

const (
	StagePrefill Stage = iota // prefill and hold the KV cache
	StageDecode               // fetch the KV cache and decode
	StageWhole                // prefill and decode at one backend
)

// Result is the result of an attempt.
type Result struct {
	Outcome    Outcome
	Duration   time.Duration // from send to end
	Delay      time.Duration // how long ago the attempt ended, if the result was delivered late
	Finished   bool          // the client has its final answer
	Detail     int           // cached tokens; for a rejected decode, 1: the prefill backend holds no KV cache
	LoadReport []float64     // load report in the order of the settings' report fields
}

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	Backend       *Backend
	State         BackendState
	CapacityUnits float64
	StartedAt     time.Duration
	StartReported bool
}
