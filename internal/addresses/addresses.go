// Package addresses decides which addresses of a backend to connect to: in which order, when to start the next
// connection attempt alongside (Happy Eyeballs, RFC 8305), when to give up and which addresses to recheck. It does no
// I/O: results, time and the random seed are passed in, and requests are bound to connections elsewhere. Start with
// Tracker, then Race.
package addresses

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"sloetrestle/scheduler"
)

const (
	// RFC 8305 recommends 250 ms between connection attempts across the Internet, and at least 10 ms. Backends are in
	// the same rack or data center: five times the recent verification time, within these bounds, allows two addresses
	// to stall before a third is tried within the dial timeout of 250 ms.
	staggerFactor  = 5
	minStagger     = 10 * time.Millisecond
	maxStagger     = 60 * time.Millisecond
	initialStagger = 40 * time.Millisecond // before the first verified connection

	evidenceBucket = 2 * time.Second // results count for ten buckets of this width
	trustThreshold = 0.5             // a suspected address keeps its place if its random draw is above this
	// Up to this many failures since the last success never expire. Otherwise an address that is rarely tried would be
	// cleared of its suspicion by time alone.
	maxFailuresInARow = 4
	verifyTimeDecay   = 0.2 // weight of a new value in the running mean of verification times

	// A suspected address without traffic is rechecked in the background, the one not tried for the longest time
	// first. 160 dispatchers with 79 backends of 3 addresses together recheck each address at most 0.7 times a second,
	// even if all are suspected.
	rechecksPerSecond  = 1.0
	recheckBurst       = 3.0
	minRecheckInterval = time.Second // since the last attempt at the address

	// MaxRaces bounds the concurrent races for one backend. Without it, after a rack has restarted, every queued
	// request would open a connection of its own, and the verifications would overload a backend that is warming up.
	// Requests that wait take connections that the races leave over.
	MaxRaces = 8

	// VerificationTTL is how long an idle connection counts as verified. After that it is verified again before a
	// request is bound to it, which costs a round trip; connections of a busy backend are rarely idle for so long.
	VerificationTTL = 100 * time.Millisecond

	// One verified connection is kept ready at each of the best addresses, this many at most.
	maxWarmAddresses = 2
)

// Networks of addresses, in the order in which they are tried if nothing else distinguishes them: a socket on the same
// machine crosses no network, and IPv6 comes before IPv4 as in the policy table of RFC 6724, section 2.1.
const (
	Unix = "unix"
	TCP6 = "tcp6"
	TCP4 = "tcp4"
)

// Spec is an address as service discovery or a configuration file gives it.
type Spec struct {
	Network    string `json:"network" toml:"network"`
	Addr       string `json:"at" toml:"at"`                             // host:port, or the path of a socket
	Preference int    `json:"prefer,omitempty" toml:"prefer,omitempty"` // lower values are tried first
}

// String returns the network and the address with a colon between them.
func (s Spec) String() string { return s.Network + ":" + s.Addr }

// Check returns an error if the network is unknown or the address is not valid for it.
func (s Spec) Check() error {
	switch s.Network {
	case Unix:
		if !strings.HasPrefix(s.Addr, "/") || len(s.Addr) > 100 {
			return fmt.Errorf("%q is not an absolute socket path of at most 100 bytes", s.Addr)
		}
		return nil
	case TCP4, TCP6:
		addrPort, err := netip.ParseAddrPort(s.Addr)
		if err != nil {
			return fmt.Errorf("%q is not an IP address with a port: %w", s.Addr, err)
		}
		if addrPort.Addr().Unmap().Is4() != (s.Network == TCP4) || addrPort.Port() == 0 {
			return fmt.Errorf("%q is not an address of network %s, or its port is 0", s.Addr, s.Network)
		}
		return nil
	}
	return fmt.Errorf("network %q is not one of tcp4, tcp6 and unix", s.Network)
}

// precedence returns the precedence of RFC 6724, section 2.1, for the prefixes that backends can have.
func (s Spec) precedence() int {
	addrPort, err := netip.ParseAddrPort(s.Addr)
	if s.Network == Unix || err != nil {
		return 60 // before the loopback with its 50
	}
	switch ip := addrPort.Addr(); {
	case ip.Is4() || ip.Is4In6():
		return 35
	case ip.IsLoopback():
		return 50
	case ip.IsPrivate(): // fc00::/7
		return 3
	}
	return 40
}

// Result is how a connection attempt, or a request over a connection, ended. A connection is verified when the far
// side has read a request and responded with the name of the backend.
type Result int

const (
	Verified      Result = iota // connected and verified
	Refused                     // refused at once
	TimedOut                    // no connection, or no verification, in time
	Disconnected                // connected, but broken before it was verified
	WrongBackend                // the far side responded with another backend's name
	Served                      // a request was served over a connection
	RequestFailed               // a request stalled or broke on a connection
	LocalError                  // this machine could not start to connect, which says nothing of the address
)

// String returns the text that operators see for a result.
func (r Result) String() string {
	return [...]string{
		"proven", "refused", "silent", "broke", "another box answers", "served", "a trip was lost", "not tried",
	}[r]
}

func (r Result) success() bool { return r == Verified || r == Served }

// Address is one address of a backend with its recent history.
type Address struct {
	Spec
	successes, failures scheduler.RollingSum
	failuresInARow      float64
	verifyTime          scheduler.RunningMean // seconds from the start of an attempt until the connection was verified
	LastAttempt         time.Duration
	attempted           bool // a connection attempt was started at least once
	LastResult          Result
	LastResultTime      time.Duration
	hasResult           bool
	attemptsInFlight    int  // started, with no result recorded yet
	Removed             bool // the endpoint list no longer has it
}

// posterior returns the parameters of the Beta distribution of the address's chance of success. They are the counts of
// recent successes and failures, with a prior of two successes and one failure.
func (a *Address) posterior(now time.Duration) (success, failure float64) {
	return 2 + a.successes.Sum(now), 1 + a.failures.Sum(now) + min(a.failuresInARow, maxFailuresInARow)
}

// Suspected tells whether the address is more likely to fail than to serve.
func (a *Address) Suspected(now time.Duration) bool {
	success, failure := a.posterior(now)
	return failure > success
}

// Summary describes the state of the address for operators.
func (a *Address) Summary(now time.Duration) string {
	if !a.hasResult {
		return "not tried yet"
	}
	success, failure := a.posterior(now)
	return fmt.Sprintf("%s %.1f s ago; chance %.2f; proof %.1f ms",
		a.LastResult, (now - a.LastResultTime).Seconds(), success/(success+failure), 1000*a.verifyTime.ValueOr(0))
}

// Tracker holds the addresses of one backend with their history, and orders them.
type Tracker struct {
	addresses  []*Address // in the order of the endpoint list
	rng        *scheduler.PCG
	verifyTime scheduler.RunningMean // seconds, over all addresses
}

// NewTracker returns a Tracker without addresses; the seed is that of the random draws in Order.
func NewTracker(seed uint64) *Tracker { return &Tracker{rng: scheduler.NewPCG(seed)} }

// Set replaces the addresses. Addresses that stay keep their history; those that are no longer named are marked as
// removed and returned. A duplicate of an address is ignored.
func (t *Tracker) Set(specs []Spec) (removed []*Address) {
	var next []*Address
	for _, spec := range specs {
		same := func(addr *Address) bool { return addr.Network == spec.Network && addr.Addr == spec.Addr }
		if slices.ContainsFunc(next, same) {
			continue
		}
		i := slices.IndexFunc(t.addresses, same)
		if i < 0 {
			next = append(next, &Address{
				Spec: spec, successes: scheduler.RollingSum{BucketWidth: evidenceBucket},
				failures: scheduler.RollingSum{BucketWidth: evidenceBucket},
			})
			continue
		}
		t.addresses[i].Preference = spec.Preference
		next = append(next, t.addresses[i])
	}
	for _, addr := range t.addresses {
		if !slices.Contains(next, addr) {
			addr.Removed = true
			removed = append(removed, addr)
		}
	}
	t.addresses = next
	return removed
}

// Addresses returns the addresses in the order in which the endpoint list names them.
func (t *Tracker) Addresses() []*Address { return t.addresses }

// Record adds a result to the history of an address; took is the time until a connection was verified.
func (t *Tracker) Record(now time.Duration, addr *Address, result Result, took time.Duration) {
	addr.LastResult, addr.LastResultTime, addr.hasResult = result, now, true
	if result.success() {
		addr.successes.Add(now, 1)
		addr.failuresInARow = 0
	} else {
		addr.failures.Add(now, 1)
		addr.failuresInARow++
	}
	if result == Verified {
		addr.verifyTime.Add(took.Seconds(), verifyTimeDecay)
		t.verifyTime.Add(took.Seconds(), verifyTimeDecay)
	}
}

// Order returns the addresses in the order in which to try them now. A suspected address moves behind the others if a
// draw from its posterior is low. Then come, in this order, the stated preference, the precedence of the network and
// the verification time. As in RFC 8305, the first address of a family is followed by one of another family.
func (t *Tracker) Order(now time.Duration) []*Address {
	type candidate struct {
		*Address
		distrusted int
	}
	var candidates []candidate
	for _, a := range t.addresses {
		c := candidate{a, 0}
		if success, failure := a.posterior(now); failure > 1 && t.rng.Beta(success, failure) <= trustThreshold {
			c.distrusted = 1
		}
		candidates = append(candidates, c)
	}
	slices.SortStableFunc(candidates, func(x, y candidate) int {
		return cmp.Or(
			cmp.Compare(x.distrusted, y.distrusted), cmp.Compare(x.Preference, y.Preference),
			cmp.Compare(y.precedence(), x.precedence()), cmp.Compare(x.verifyTime.ValueOr(0), y.verifyTime.ValueOr(0)))
	})
	var ordered []*Address
	for len(candidates) > 0 {
		i := 0
		if n := len(ordered); n > 0 {
			// Families alternate only among addresses of equal trust and preference.
			for j, c := range candidates {
				if c.distrusted != candidates[0].distrusted || c.Preference != candidates[0].Preference {
					break
				}
				if c.Network != ordered[n-1].Network {
					i = j
					break
				}
			}
		}
		ordered = append(ordered, candidates[i].Address)
		candidates = slices.Delete(candidates, i, i+1)
	}
	return ordered
}

// Stagger returns how long a connection attempt is given before the next one starts alongside, and how long an idle
// connection may take to be verified again.
func (t *Tracker) Stagger() time.Duration {
	stagger := time.Duration(
		staggerFactor * t.verifyTime.ValueOr(initialStagger.Seconds()/staggerFactor) * float64(time.Second))
	return min(max(stagger, minStagger), maxStagger)
}

// Race is the search for one connection to a backend: staggered connection attempts, of which the first verified one
// wins.
type Race struct {
	tracker   *Tracker
	pending   []*Address
	inFlight  []*Address
	deadline  time.Duration
	nextStart time.Duration // when the next attempt may start
	winner    *Address
}

// Race starts a search that ends at the deadline.
func (t *Tracker) Race(now, deadline time.Duration) *Race {
	return &Race{tracker: t, pending: t.Order(now), deadline: deadline, nextStart: now}
}

// Next returns as start the address to try now, if there is one, and otherwise how long to wait before the next call.
// Over means that the race is won, out of time, or has nothing left to wait for.
func (r *Race) Next(now time.Duration) (start *Address, wait time.Duration, over bool) {
	r.pending = slices.DeleteFunc(r.pending, func(addr *Address) bool { return addr.Removed })
	switch {
	case r.winner != nil || now >= r.deadline:
		return nil, 0, true
	case len(r.pending) > 0 && now >= r.nextStart:
		addr := r.pending[0]
		r.pending = r.pending[1:]
		r.inFlight = append(r.inFlight, addr)
		r.nextStart = now + r.tracker.Stagger()
		addr.LastAttempt, addr.attempted = now, true
		addr.attemptsInFlight++
		return addr, 0, false
	case len(r.pending) == 0 && len(r.inFlight) == 0:
		return nil, 0, true
	case len(r.pending) > 0:
		return nil, min(r.nextStart, r.deadline) - now, false
	}
	return nil, r.deadline - now, false
}

// Record adds the result of an attempt of this race. It returns true if this connection wins; at most one does.
func (r *Race) Record(now time.Duration, addr *Address, result Result, took time.Duration) bool {
	i := slices.Index(r.inFlight, addr)
	if i < 0 {
		return false
	}
	r.inFlight = slices.Delete(r.inFlight, i, i+1)
	addr.attemptsInFlight--
	if result == LocalError {
		return false
	}
	r.tracker.Record(now, addr, result, took)
	if result != Verified || addr.Removed {
		r.nextStart = now // no need to wait for an attempt that has failed
		return false
	}
	if r.winner != nil || now >= r.deadline {
		return false
	}
	r.winner = addr
	return true
}

// End ends the race. An attempt still in flight counts as timed out if it has had its stagger time; one that has only
// just started says nothing of its address.
func (r *Race) End(now time.Duration) {
	for _, a := range r.inFlight {
		a.attemptsInFlight--
		if now-a.LastAttempt >= r.tracker.Stagger() {
			r.tracker.Record(now, a, TimedOut, 0)
		}
	}
	r.inFlight = nil
}

// WarmAddresses returns the addresses at which a verified connection should be kept ready: the best ones that are not
// suspected.
func (t *Tracker) WarmAddresses(now time.Duration) []*Address {
	var warm []*Address
	for _, a := range t.Order(now) {
		if len(warm) < maxWarmAddresses && !a.Suspected(now) {
			warm = append(warm, a)
		}
	}
	return warm
}

// RecheckBudget is the token bucket that bounds the background rechecks of one dispatcher over all backends.
type RecheckBudget struct {
	tokens     float64
	refilledAt time.Duration
	started    bool
}

// Next refills the budget and picks an address to recheck, with its tracker. An address is due if it was tried before,
// is suspected, has no attempt in flight, and began its last attempt at least minRecheckInterval ago. Of these, over
// all trackers, Next picks the one whose last attempt is oldest. It spends a token, sets LastAttempt to now and counts
// an attempt in flight, until the caller passes the result to RecordRecheck. It returns nil, nil if no address is due
// or less than one token is there. Of equally old ones the first wins, so trackers must come in a stable order.
func (b *RecheckBudget) Next(now time.Duration, trackers []*Tracker) (*Tracker, *Address) {
	if !b.started {
		b.tokens, b.started = recheckBurst, true
	} else {
		b.tokens = min(recheckBurst, b.tokens+rechecksPerSecond*(now-b.refilledAt).Seconds())
	}
	b.refilledAt = now
	if b.tokens < 1 {
		return nil, nil
	}
	var owner *Tracker
	var pick *Address
	for _, t := range trackers {
		for _, addr := range t.addresses {
			due := addr.attempted && addr.Suspected(now) && addr.attemptsInFlight == 0 &&
				now-addr.LastAttempt >= minRecheckInterval
			if due && (pick == nil || addr.LastAttempt < pick.LastAttempt) {
				owner, pick = t, addr
			}
		}
	}
	if pick != nil {
		b.tokens--
		pick.LastAttempt = now
		pick.attemptsInFlight++
	}
	return owner, pick
}

// RecordRecheck adds the result of a recheck that Next began, which is then no longer in flight.
func (t *Tracker) RecordRecheck(now time.Duration, a *Address, result Result, took time.Duration) {
	a.attemptsInFlight--
	if result != LocalError {
		t.Record(now, a, result, took)
	}
}
