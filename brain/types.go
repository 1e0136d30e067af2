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
	Reads Role = iota
	Writes
	Both
)

// Effect says how far running a request again does harm.
type Effect int

const (
	Idempotent Effect = iota
	Deduplicated
	Unrepeatable
)

// Reach is the group of backends that drops the repeats of a deduplicated request.
type Reach int

const (
	Everywhere Reach = iota
	SameZone
	SameRack
)

// Joins tells whether two backends are of one group.
func (r Reach) Joins(a, b *Backend) bool {
	return r == Everywhere || a.Zone == b.Zone && (r == SameZone || a.Rack == b.Rack)
}

// BackendState is what the list of backends says of one.
type BackendState int

const (
	Draining BackendState = iota
	Ready
	Gone
)

// Outcome is how an attempt ended.
type Outcome int

const (
	Served Outcome = iota
	Read
	Failed
	Rejected
	TimedOut
	Unreachable
	Broken
	Cancelled
	NotSent
)

// NeverRan tells whether the outcome proves that the attempt had no effect.
func (o Outcome) NeverRan() bool {
	return o == Rejected || o == Unreachable || o == NotSent || o == Read
}

// Class is a service class, as the operators state it.
type Class struct {
	Index      int
	Effect     Effect
	Reach      Reach
	Window     time.Duration
	Target     time.Duration // to the first token
	TargetPerK time.Duration // added for each 1,000 prompt tokens
	Value      float64
	Late       float64 // part of the benefit that is left after the promised time
	Reading    Mean    // tokens left to read of this class's requests
	Writing    Mean    // seconds that its answers stream
	Offered    Ring    // its requests taken lately
	Admitted   Ring    // those of them that were sent on
	Weight     float64 // by which its requests count for more, as few were admitted; 0: not weighed yet
}

// admittedShare is which share of the class's requests was sent on lately. A prior of some requests keeps few of them from saying much.
func (g *Class) admittedShare(now time.Duration) float64 {
	offered := g.Offered.Sum(now)
	return (min(g.Admitted.Sum(now), offered) + admittedPrior) / (offered + admittedPrior)
}

// Tenant is a tenant with its share of the service.
type Tenant struct {
	Quota float64 // requests a second over all dispatchers
	Taken Ring
}

// Backend is one server as this dispatcher knows it.
type Backend struct {
	ID       uint32
	Zone     int
	Rack     int
	Kind     int
	Role     Role
	Memory   float64 // tokens
	Units    float64
	Far      float64 // how much dearer than a backend in the own zone
	Lean     float64 // streams that a dispatcher imagines there, drawn once: each leans to other backends
	Size     float64 // Units against the mean of its role
	Booted   time.Duration
	Restart  bool          // Booted is a start that the list told of
	Unmet    time.Duration // when it could last not be reached
	Standing BackendState
	Held     bool   // it is among the dispatcher's backends
	order    uint64 // its place among them
	mark     uint64 // of the last candidates that it was among

	Streams int     // own requests that are or will be answered here
	Tokens  float64 // own tokens held here
	Unread  float64 // own tokens still to be read here
	Room    float64 // how many own attempts it is trusted with
	Cut     time.Duration

	Util, Queue float64  // last load report
	Sent        Ring     // work sent
	Given       Ring     // reads and streams sent over a longer time
	Carried     Ring     // work of attempts that ended well
	Records     []Record // of requests of any class, then of each class
	Kept        map[uint64]Kept
	Hits        Mean    // reported kept tokens against expected ones
	Taken       float64 // own tokens newly read or fetched here
}

func (h *Backend) Answers() bool   { return h.Role != Reads }
func (h *Backend) ReadsOnly() bool { return h.Role == Reads }
func (h *Backend) Mixed() bool     { return h.Role == Both }

// Only lists those of the backends that are wanted.
func Only(hosts []*Backend, want func(*Backend) bool) []*Backend {
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
func Compare(hosts []*Backend) (answering float64) {
	var units, n [3]float64
	for _, h := range hosts {
		if h.Standing == Ready {
			units[h.Role], n[h.Role] = units[h.Role]+h.Units, n[h.Role]+1
		}
	}
	for _, h := range hosts {
		h.Size = 1.0
		if units[h.Role] > 0 {
			h.Size = h.Units * n[h.Role] / units[h.Role]
		}
	}
	return n[Writes] + n[Both]
}

// Order sorts backends by a hash of their ids with a key.
func Order(hosts []*Backend, key uint64) {
	slices.SortFunc(hosts, func(a, b *Backend) int { return cmp.Compare(Mix(key, uint64(a.ID)), Mix(key, uint64(b.ID))) })
}

// Forget drops what was kept before a time.
func (h *Backend) Forget(before time.Duration) {
	for key, k := range h.Kept {
		if k.At < before {
			delete(h.Kept, key)
		}
	}
}

// Least returns the backend with the least cost.
func Least(hosts []*Backend, cost func(*Backend) float64) *Backend {
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
func Average(hosts []*Backend, cost func(*Backend) float64) float64 {
	sum := 0.0
	for _, h := range hosts {
		sum += cost(h)
	}
	return sum / float64(max(len(hosts), 1))
}

// Record is how attempts to a backend went.
type Record struct {
	Good, Bad Ring
	Missed    float64 // bad ones since the last good one
}

// Take counts an attempt; one whose first token came slowly speaks with part of the weight of a failure.
func (r *Record) Take(now time.Duration, v Verdict, part float64) {
	switch v {
	case Well:
		r.Good.Add(now, 1)
		r.Missed = 0
	case Slowly:
		r.Bad.Add(now, part)
	case Badly, Unmet:
		r.Bad.Add(now, 1)
		r.Missed++
	}
}

// PeerUpdate is what one dispatcher tells another of an attempt of its own.
type PeerUpdate struct {
	Host        *Backend
	Grade       int
	Verdict     Verdict
	Loaded      bool // Util and Queue are from this attempt's load report
	Util, Queue float64
	Share       float64 // of its latency target that a first token took, 1 for one that was given up on; 0: not told
}

// Verdict is what an attempt says of its backend.
type Verdict int

const (
	Silent Verdict = iota // nothing
	Well
	Slowly
	Badly
	Unmet // it could not be reached
)

// Kept is what a backend is thought to have kept for one prefix key.
type Kept struct {
	Tokens float64
	At     time.Duration
	Taken  float64 // the backend's Taken then
}

// Request is one try of a client that this dispatcher took.
type Request struct {
	ID          uint64
	Session     uint64
	Shared      uint64
	Prompt      float64
	Prefix      float64 // how much of the prompt is the shared beginning
	Most        float64 // tokens the answer may have
	Memory      float64 // tokens it is taken to need where it is answered
	Class       *Class
	Again       bool // the client says it asked before
	Left        time.Duration
	Taken       time.Duration
	Dispatched  time.Duration // when it last went out from among the held
	Outstanding bool          // it is out without a first token
	Over        bool
	Last        bool    // its calling program allows no further attempt
	Surplus     bool    // beyond its channel's share
	Density     float64 // benefit for its work
	Attempts    []*Attempt
	State       *Backend      // where its read state waits
	Waits       time.Duration // since when it does, with no attempt that is known to have arrived
	Lingers     bool          // one that was released may be there all the same
	Released    bool          // it was released beside the attempt that is out, and may or may not be there
	TargetAt    time.Duration
	Deadline    time.Duration
}

// Out returns the attempt that is out, if any.
func (q *Request) Out() *Attempt {
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
		if t.Backend.Role != Reads && !(t.Ended && t.Outcome.NeverRan()) {
			return t
		}
	}
	return nil
}

// FailedAt tells whether an attempt to the backend ended without what was asked.
func (q *Request) FailedAt(h *Backend) bool {
	return slices.ContainsFunc(q.Attempts, func(t *Attempt) bool {
		return t.Backend == h && t.Ended && t.Outcome != Read
	})
}

// Attempt is one send of a request to a backend. Next takes its result on.
type Attempt struct {
	Request   *Request
	Backend   *Backend
	Number    int
	Sent      time.Duration
	Began     time.Duration
	Left      float64 // tokens expected to be read
	Kept      float64 // tokens expected to be kept
	Stage     Stage
	Connect   time.Duration // for its connection, if less than what any has; 0: no less
	SlowStart bool          // its backend was in slow start when it was chosen: the work counts there
	Ended     bool
	Outcome   Outcome
	Next      func(Result)
}

// Weigh adds to the backend what the attempt takes there, or takes it away again, and tells the change in streams.
func (t *Attempt) Weigh(sign float64) float64 {
	t.Backend.Unread += sign * t.Left
	t.Backend.Tokens += sign * t.Request.Memory
	if t.Stage == ToRead {
		return 0
	}
	t.Backend.Streams += int(sign)
	return sign
}

// Stage is what an attempt asks of its backend.
type Stage int

const (
	ToRead  Stage = iota // read and keep the state
	ToWrite              // fetch a state and answer
	Whole                // read and answer in one place
)

// Result is what came of an attempt.
type Result struct {
	Outcome Outcome
	Took    time.Duration
	Ago     time.Duration // how long ago the attempt ended, where word of that had to wait
	Over    bool
	Note    int
	Load    []float64
}

// Listing is one line of the list of backends.
type Listing struct {
	Host     *Backend
	Standing BackendState
	Units    float64
	Booted   time.Duration
	Restart  bool
}
