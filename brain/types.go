package brain

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Role says which stage of a question a host can do.
type Role int

const (
	Reads Role = iota
	Writes
	Both
)

// Effect says how far running a question again does harm.
type Effect int

const (
	Idempotent Effect = iota
	Deduplicated
	Unrepeatable
)

// Reach is the group of hosts that drops the repeats of a deduplicated question.
type Reach int

const (
	Everywhere Reach = iota
	SameZone
	SameRack
)

// Joins tells whether two hosts are of one group.
func (r Reach) Joins(a, b *Host) bool {
	return r == Everywhere || a.Zone == b.Zone && (r == SameZone || a.Rack == b.Rack)
}

// Standing is what the list of hosts says of one.
type Standing int

const (
	Draining Standing = iota
	Ready
	Gone
)

// Outcome is how a trip ended.
type Outcome int

const (
	Answered Outcome = iota
	Read
	Failed
	Full
	TimedOut
	Unreached
	Broken
	Cancelled
	Moot
)

// NeverRan tells whether the outcome proves that the trip had no effect.
func (o Outcome) NeverRan() bool { return o == Full || o == Unreached || o == Moot || o == Read }

// Grade is a service grade, as the operators state it.
type Grade struct {
	Index     int
	Effect    Effect
	Reach     Reach
	Window    time.Duration
	Promise   time.Duration // to the first token
	PromisePK time.Duration // added for each 1,000 prompt tokens
	Benefit   float64
	Late      float64 // part of the benefit that is left after the promised time
	Reading   Mean    // tokens left to read of this grade's questions
	Writing   Mean    // seconds that its answers stream
	Offered   Ring    // its requests taken lately
	Admitted  Ring    // those of them that were sent on
	Weight    float64 // by which its requests count for more, as few were admitted; 0: not weighed yet
}

// admittedShare is which share of the class's requests was sent on lately. A prior of some requests keeps few of them from saying much.
func (g *Grade) admittedShare(now time.Duration) float64 {
	offered := g.Offered.Sum(now)
	return (min(g.Admitted.Sum(now), offered) + admittedPrior) / (offered + admittedPrior)
}

// Channel is a tenant with its share of the service.
type Channel struct {
	Quota float64 // questions a second over all dispatchers
	Taken Ring
}

// Host is one server as this dispatcher knows it.
type Host struct {
	ID       uint32
	Zone     int
	Rack     int
	Kind     int
	Role     Role
	Memory   float64 // tokens
	Units    float64
	Far      float64 // how much dearer than a host in the own zone
	Lean     float64 // streams that a dispatcher imagines there, drawn once: each leans to other hosts
	Size     float64 // Units against the mean of its role
	Booted   time.Duration
	Restart  bool          // Booted is a start that the list told of
	Unmet    time.Duration // when it could last not be reached
	Standing Standing
	Held     bool   // it is among the dispatcher's hosts
	order    uint64 // its place among them
	mark     uint64 // of the last candidates that it was among

	Streams int     // own questions that are or will be answered here
	Tokens  float64 // own tokens held here
	Unread  float64 // own tokens still to be read here
	Room    float64 // how many own trips it is trusted with
	Cut     time.Duration

	Util, Queue float64  // last load report
	Sent        Ring     // work sent
	Given       Ring     // reads and streams sent over a longer time
	Carried     Ring     // work of trips that ended well
	Records     []Record // of questions of any grade, then of each grade
	Kept        map[uint64]Kept
	Hits        Mean    // reported kept tokens against expected ones
	Taken       float64 // own tokens newly read or fetched here
}

func (h *Host) Answers() bool   { return h.Role != Reads }
func (h *Host) ReadsOnly() bool { return h.Role == Reads }
func (h *Host) Mixed() bool     { return h.Role == Both }

// Only lists those of the hosts that are wanted.
func Only(hosts []*Host, want func(*Host) bool) []*Host {
	var found []*Host
	for _, h := range hosts {
		if want(h) {
			found = append(found, h)
		}
	}
	return found
}

// Compare sets each host's Size, as stated units compare hosts of one role only, and tells how many of
// the ready ones answer.
func Compare(hosts []*Host) (answering float64) {
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

// Order sorts hosts by a hash of their ids with a key.
func Order(hosts []*Host, key uint64) {
	slices.SortFunc(hosts, func(a, b *Host) int { return cmp.Compare(Mix(key, uint64(a.ID)), Mix(key, uint64(b.ID))) })
}

// Forget drops what was kept before a time.
func (h *Host) Forget(before time.Duration) {
	for key, k := range h.Kept {
		if k.At < before {
			delete(h.Kept, key)
		}
	}
}

// Least returns the host with the least cost.
func Least(hosts []*Host, cost func(*Host) float64) *Host {
	var found *Host
	least := math.Inf(1)
	for _, h := range hosts {
		if c := cost(h); c < least {
			found, least = h, c
		}
	}
	return found
}

// Average is the mean cost of the hosts.
func Average(hosts []*Host, cost func(*Host) float64) float64 {
	sum := 0.0
	for _, h := range hosts {
		sum += cost(h)
	}
	return sum / float64(max(len(hosts), 1))
}

// Record is how trips to a host went.
type Record struct {
	Good, Bad Ring
	Missed    float64 // bad ones since the last good one
}

// Take counts a trip; one whose first token came slowly speaks with part of the weight of a failure.
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

// News is what one dispatcher tells another of a trip of its own.
type News struct {
	Host        *Host
	Grade       int
	Verdict     Verdict
	Loaded      bool // Util and Queue are from this trip's load report
	Util, Queue float64
	Share       float64 // of its latency target that a first token took, 1 for one that was given up on; 0: not told
}

// Verdict is what a trip says of its host.
type Verdict int

const (
	Silent Verdict = iota // nothing
	Well
	Slowly
	Badly
	Unmet // it could not be reached
)

// Kept is what a host is thought to have kept for one prefix key.
type Kept struct {
	Tokens float64
	At     time.Duration
	Taken  float64 // the host's Taken then
}

// Question is one try of a client that this dispatcher took.
type Question struct {
	ID          uint64
	Session     uint64
	Shared      uint64
	Prompt      float64
	Prefix      float64 // how much of the prompt is the shared beginning
	Most        float64 // tokens the answer may have
	Memory      float64 // tokens it is taken to need where it is answered
	Grade       *Grade
	Again       bool // the client says it asked before
	Left        time.Duration
	Taken       time.Duration
	Dispatched  time.Duration // when it last went out from among the held
	Outstanding bool          // it is out without a first token
	Over        bool
	Last        bool    // its host program allows no further trip
	Surplus     bool    // beyond its channel's share
	Density     float64 // benefit for its work
	Trips       []*Trip
	State       *Host         // where its read state waits
	Waits       time.Duration // since when it does, with no attempt that is known to have arrived
	Released    bool          // it was released beside the attempt that is out, and may or may not be there
	Promised    time.Duration
	Expiry      time.Duration
}

// Out returns the trip that is out, if any.
func (q *Question) Out() *Trip {
	if n := len(q.Trips); n > 0 && !q.Trips[n-1].Ended {
		return q.Trips[n-1]
	}
	return nil
}

// MayHaveRun returns the first trip that is not proven to have had no effect.
func (q *Question) MayHaveRun() *Trip { return q.MayHaveRunBefore(len(q.Trips)) }

// MayHaveRunBefore returns the first such trip of those before the one with that number.
func (q *Question) MayHaveRunBefore(number int) *Trip {
	for _, t := range q.Trips[:number] {
		if t.Host.Role != Reads && !(t.Ended && t.Outcome.NeverRan()) {
			return t
		}
	}
	return nil
}

// FailedAt tells whether a trip to the host ended without what was asked.
func (q *Question) FailedAt(h *Host) bool {
	return slices.ContainsFunc(q.Trips, func(t *Trip) bool {
		return t.Host == h && t.Ended && t.Outcome != Read
	})
}

// Trip is one send of a question to a host. Next takes its result on.
type Trip struct {
	Question  *Question
	Host      *Host
	Number    int
	Sent      time.Duration
	Began     time.Duration
	Left      float64 // tokens expected to be read
	Kept      float64 // tokens expected to be kept
	Stage     Stage
	Connect   time.Duration // for its connection, if less than what any has; 0: no less
	SlowStart bool          // its host was in slow start when it was chosen: the work counts there
	Ended     bool
	Outcome   Outcome
	Next      func(Result)
}

// Weigh adds to the host what the trip takes there, or takes it away again, and tells the change in streams.
func (t *Trip) Weigh(sign float64) float64 {
	t.Host.Unread += sign * t.Left
	t.Host.Tokens += sign * t.Question.Memory
	if t.Stage == ToRead {
		return 0
	}
	t.Host.Streams += int(sign)
	return sign
}

// Stage is what a trip asks of its host.
type Stage int

const (
	ToRead  Stage = iota // read and keep the state
	ToWrite              // fetch a state and answer
	Whole                // read and answer in one place
)

// Result is what came of a trip.
type Result struct {
	Outcome Outcome
	Took    time.Duration
	Ago     time.Duration // how long ago the attempt ended, where word of that had to wait
	Over    bool
	Note    int
	Load    []float64
}

// Listing is one line of the list of hosts.
type Listing struct {
	Host     *Host
	Standing Standing
	Units    float64
	Booted   time.Duration
	Restart  bool
}
