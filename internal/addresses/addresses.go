// Package addresses decides, for one box, which of its addresses to connect to, when to begin with the next beside
// it, when to give up and what to look at again. It is free of I/O: what each address did, the time and chance are
// handed in. It knows only of connections; a trip is bound to one connection by whoever sends it. Begin with Book,
// then Race.
package addresses

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"sloetrestle/brain"
)

const (
	// RFC 8305 staggers attempts by 250 ms across the Internet, and by no less than 10 ms. Boxes are a rack or a hall
	// away: five times what proofs take lately, within these bounds, leaves room for two addresses that stall before
	// a third within the dial limit of 250 ms.
	staggerTimes = 5
	staggerLeast = 10 * time.Millisecond
	staggerMost  = 60 * time.Millisecond
	staggerFirst = 40 * time.Millisecond // before any proof was seen

	evidence = 2 * time.Second // a tenth of how long what an address did speaks for or against it
	believe  = 0.5             // a doubtful one keeps its place if its draw is above this
	missed   = 4               // failures since the last success that stay, so that rare tries don't absolve it
	pace     = 0.2             // of the running mean of proof times

	// A doubtful address that nothing goes to is looked at again in the background, longest unseen first. Over 160
	// dispatchers and 79 boxes of 3 addresses that is at most 0.7 a second for each address, were all in doubt.
	recheckPerS  = 1.0
	recheckBurst = 3.0
	recheckAfter = time.Second // no sooner than so long after its last try

	// MostRaces bounds the races for one box at a time: after a rack's restart every held question would else open a
	// connection of its own, and a cold box be pushed over by proofs. Those who wait take what a race leaves.
	MostRaces = 8

	// FreshFor is how long a connection's proof is believed while it is idle. One that has rested longer proves itself
	// anew before a trip is bound to it, which costs a round trip; a busy box's connections hardly ever rest.
	FreshFor = 100 * time.Millisecond

	// Connections that are kept ready: one proven connection at the best two addresses.
	warmAddresses = 2
)

// Families, in the order in which they are tried where nothing else tells them apart: a socket on the same machine
// crosses no network; IPv6 comes before IPv4 as in the policy table of RFC 6724, 2.1.
const (
	Unix = "unix"
	TCP6 = "tcp6"
	TCP4 = "tcp4"
)

// Spec is an address as the list or a file names it.
type Spec struct {
	Network    string `json:"network" toml:"network"`
	Addr       string `json:"at" toml:"at"`                             // host:port, or the path of a socket
	Preference int    `json:"prefer,omitempty" toml:"prefer,omitempty"` // the lower the sooner, before all else
}

func (s Spec) String() string { return s.Network + ":" + s.Addr }

// Check tells what is wrong with a spec.
func (s Spec) Check() error {
	switch s.Network {
	case Unix:
		if !strings.HasPrefix(s.Addr, "/") || len(s.Addr) > 100 {
			return fmt.Errorf("%q is no absolute path of a socket of at most 100 bytes", s.Addr)
		}
		return nil
	case TCP4, TCP6:
		at, err := netip.ParseAddrPort(s.Addr)
		if err != nil {
			return fmt.Errorf("%q is no address with a port: %w", s.Addr, err)
		}
		if at.Addr().Unmap().Is4() != (s.Network == TCP4) || at.Port() == 0 {
			return fmt.Errorf("%q is not of %s, or has no port", s.Addr, s.Network)
		}
		return nil
	}
	return fmt.Errorf("network %q is none of tcp4, tcp6 and unix", s.Network)
}

// precedence is that of RFC 6724, 2.1, for the prefixes that boxes can have.
func (s Spec) precedence() int {
	at, err := netip.ParseAddrPort(s.Addr)
	if s.Network == Unix || err != nil {
		return 60 // above the loopback's 50
	}
	switch ip := at.Addr(); {
	case ip.Is4() || ip.Is4In6():
		return 35
	case ip.IsLoopback():
		return 50
	case ip.IsPrivate(): // fc00::/7
		return 3
	}
	return 40
}

// What an address did.
type Result int

const (
	Proven     Result = iota // it connected, and the far side read and answered with the box's name
	Refused                  // at once
	Silent                   // no connection, or no proof, in time
	Broke                    // it connected and broke before the proof
	OtherOwner               // it answered with another box's name
	Served                   // a trip went well over it
	Lost                     // a trip stalled or broke on it
	NotTried                 // this machine could not begin to connect, which says nothing of the address
)

func (r Result) String() string {
	return [...]string{"proven", "refused", "silent", "broke", "another box answers", "served", "a trip was lost", "not tried"}[r]
}

func (r Result) good() bool { return r == Proven || r == Served }

// Address is one address with what is known of it.
type Address struct {
	Spec
	good, bad brain.RollingSum
	missed    float64
	took      brain.RunningMean // seconds to a proof
	LastTry   time.Duration
	tried     bool
	Last      Result
	LastAt    time.Duration
	seen      bool
	trying    int
	Dropped   bool // the list names it no more
}

// chance is the posterior of an address's success, with a prior of two good connections and one bad.
func (a *Address) chance(now time.Duration) (well, badly float64) {
	return 2 + a.good.Sum(now), 1 + a.bad.Sum(now) + min(a.missed, missed)
}

// Doubtful tells whether it is more likely to fail than to serve.
func (a *Address) Suspected(now time.Duration) bool {
	well, badly := a.chance(now)
	return badly > well
}

// Why tells an operator how it stands.
func (a *Address) Summary(now time.Duration) string {
	if !a.seen {
		return "not tried yet"
	}
	well, badly := a.chance(now)
	return fmt.Sprintf("%s %.1f s ago; chance %.2f; proof %.1f ms", a.Last, (now - a.LastAt).Seconds(), well/(well+badly), 1000*a.took.ValueOr(0))
}

// Book is what a dispatcher knows of one box's addresses.
type Tracker struct {
	list   []*Address
	chance *brain.PCG
	proofs brain.RunningMean // seconds, over all of them
}

// NewBook starts a book; seed is that of its draws.
func NewBook(seed uint64) *Tracker { return &Tracker{chance: brain.NewPCG(seed)} }

// Set takes the addresses that are named now. Those that were known before keep what is known of them; those that
// are gone are returned, marked as dropped.
func (b *Tracker) Set(specs []Spec) (dropped []*Address) {
	var next []*Address
	for _, s := range specs {
		same := func(a *Address) bool { return a.Network == s.Network && a.Addr == s.Addr }
		if slices.ContainsFunc(next, same) {
			continue
		}
		i := slices.IndexFunc(b.list, same)
		if i < 0 {
			next = append(next, &Address{Spec: s, good: brain.RollingSum{BucketWidth: evidence}, bad: brain.RollingSum{BucketWidth: evidence}})
			continue
		}
		b.list[i].Preference = s.Preference
		next = append(next, b.list[i])
	}
	for _, a := range b.list {
		if !slices.Contains(next, a) {
			a.Dropped = true
			dropped = append(dropped, a)
		}
	}
	b.list = next
	return dropped
}

// Addresses lists them in the order in which they were named.
func (b *Tracker) Addresses() []*Address { return b.list }

// Did takes note of what an address did; took is the time to a proof.
func (b *Tracker) Did(now time.Duration, a *Address, r Result, took time.Duration) {
	a.Last, a.LastAt, a.seen = r, now, true
	if r.good() {
		a.good.Add(now, 1)
		a.missed = 0
	} else {
		a.bad.Add(now, 1)
		a.missed++
	}
	if r == Proven {
		a.took.Add(took.Seconds(), pace)
		b.proofs.Add(took.Seconds(), pace)
	}
}

// Order is the order in which the addresses are tried now: first those that a draw from their posterior trusts; the
// preference that was stated; sockets, IPv6, IPv4; of one kind the one quicker to prove. As RFC 8305 has it, what
// follows the first of a family is one of another.
func (b *Tracker) Order(now time.Duration) []*Address {
	type drawn struct {
		*Address
		late int
	}
	var all []drawn
	for _, a := range b.list {
		d := drawn{a, 0}
		if well, badly := a.chance(now); badly > 1 && b.chance.Beta(well, badly) <= believe {
			d.late = 1
		}
		all = append(all, d)
	}
	slices.SortStableFunc(all, func(x, y drawn) int {
		return cmp.Or(cmp.Compare(x.late, y.late), cmp.Compare(x.Preference, y.Preference), cmp.Compare(y.precedence(), x.precedence()),
			cmp.Compare(x.took.ValueOr(0), y.took.ValueOr(0)))
	})
	var out []*Address
	for len(all) > 0 {
		i := 0
		if n := len(out); n > 0 {
			// Only among those alike in trust and preference: a family's turn does not overrule either.
			for j, d := range all {
				if d.late != all[0].late || d.Preference != all[0].Preference {
					break
				}
				if d.Network != out[n-1].Network {
					i = j
					break
				}
			}
		}
		out = append(out, all[i].Address)
		all = slices.Delete(all, i, i+1)
	}
	return out
}

// Stagger is how long one attempt is given before the next begins beside it, and an idle connection to prove itself.
func (b *Tracker) Stagger() time.Duration {
	s := time.Duration(staggerTimes * b.proofs.ValueOr(staggerFirst.Seconds()/staggerTimes) * float64(time.Second))
	return min(max(s, staggerLeast), staggerMost)
}

// Race is the search for one connection.
type Race struct {
	book  *Tracker
	left  []*Address
	out   []*Address
	until time.Duration
	next  time.Duration // when the next may begin
	won   *Address
}

// Race starts a search that ends at until.
func (b *Tracker) Race(now, until time.Duration) *Race {
	return &Race{book: b, left: b.Order(now), until: until, next: now}
}

// Next returns the address to begin with now, if any, and until when nothing else is to be done. Over means that
// nothing is left to wait for: the box can't be reached.
func (r *Race) Next(now time.Duration) (begin *Address, wait time.Duration, over bool) {
	r.left = slices.DeleteFunc(r.left, func(a *Address) bool { return a.Dropped })
	switch {
	case r.won != nil || now >= r.until:
		return nil, 0, true
	case len(r.left) > 0 && now >= r.next:
		a := r.left[0]
		r.left = r.left[1:]
		r.out = append(r.out, a)
		r.next = now + r.book.Stagger()
		a.LastTry, a.tried = now, true
		a.trying++
		return a, 0, false
	case len(r.left) == 0 && len(r.out) == 0:
		return nil, 0, true
	case len(r.left) > 0:
		return nil, min(r.next, r.until) - now, false
	}
	return nil, r.until - now, false
}

// Did takes the end of an attempt of this race. True: this connection is the one; whatever else connects is not.
func (r *Race) Did(now time.Duration, a *Address, res Result, took time.Duration) bool {
	i := slices.Index(r.out, a)
	if i < 0 {
		return false
	}
	r.out = slices.Delete(r.out, i, i+1)
	a.trying--
	if res == NotTried {
		return false
	}
	r.book.Did(now, a, res, took)
	if res != Proven || a.Dropped {
		r.next = now // the next need not wait for one that has failed
		return false
	}
	if r.won != nil || now >= r.until {
		return false
	}
	r.won = a
	return true
}

// End ends the race. What was still out and had its stagger for itself speaks against its address; what had begun
// a moment ago says nothing.
func (r *Race) End(now time.Duration) {
	for _, a := range r.out {
		a.trying--
		if now-a.LastTry >= r.book.Stagger() {
			r.book.Did(now, a, Silent, 0)
		}
	}
	r.out = nil
}

// Warm lists the addresses at which a proven connection should be kept ready: the best two that are not in doubt.
func (b *Tracker) Warm(now time.Duration) []*Address {
	var warm []*Address
	for _, a := range b.Order(now) {
		if len(warm) < warmAddresses && !a.Suspected(now) {
			warm = append(warm, a)
		}
	}
	return warm
}

// Budget bounds the background tries of one dispatcher over all of its boxes.
type Budget struct {
	have  float64
	at    time.Duration
	begun bool
}

// Recheck picks one doubtful address of all the books to look at again, longest unseen first; none: nothing is due or
// the budget is spent. The books come in an order of the caller's that does not change.
func (g *Budget) Recheck(now time.Duration, books []*Tracker) (*Tracker, *Address) {
	if !g.begun {
		g.have, g.begun = recheckBurst, true
	} else {
		g.have = min(recheckBurst, g.have+recheckPerS*(now-g.at).Seconds())
	}
	g.at = now
	if g.have < 1 {
		return nil, nil
	}
	var of *Tracker
	var pick *Address
	for _, b := range books {
		for _, a := range b.list {
			due := a.tried && a.Suspected(now) && a.trying == 0 && now-a.LastTry >= recheckAfter
			if due && (pick == nil || a.LastTry < pick.LastTry) {
				of, pick = b, a
			}
		}
	}
	if pick != nil {
		g.have--
		pick.LastTry = now
		pick.trying++
	}
	return of, pick
}

// Rechecked takes the end of a background try.
func (b *Tracker) Rechecked(now time.Duration, a *Address, res Result, took time.Duration) {
	a.trying--
	if res != NotTried {
		b.Did(now, a, res, took)
	}
}
