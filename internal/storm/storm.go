// Package storm decides, for one dispatcher and in front of its module, what becomes of questions that are asked again:
// whether a storm of them is on, how many are let in, and when each one that is declined should come back. It is free of
// I/O, with time and chance handed in, and shares nothing with other dispatchers. It never decides where a question goes,
// and lets first tries through untouched. Begin with Guard.
package storm

import (
	"math"
	"time"

	"sloetrestle/brain"
)

const (
	// What is seen counts for ten seconds: outages of a few seconds must show, single questions must not.
	sight = time.Second // a bucket, of ten

	// A storm is on when at least a quarter of what arrives is asked again, surely: by one standard deviation of the
	// share's posterior, with a prior of one in ten. It is off when it is surely under an eighth, so that it does not
	// flicker; and it needs declines or losses: clients may ask again for their own reasons.
	onAbove, offBelow = 0.25, 0.125
	priorAgain        = 1.0
	priorFirst        = 9.0
	deviations        = 1.0

	// While a storm is on, unbooked returns may take a tenth of what is served, by channel; a burst of two seconds' worth.
	// Retry budgets elsewhere are given 10 to 20%.
	budgetShare = 0.1
	budgetBurst = 2.0 // seconds of it
	budgetLeast = 0.2 // questions a second, so that a quiet dispatcher lets some through

	// Returns are booked in slots of future time, up to the longest that clients heed. A slot holds what capacity is left
	// beside first tries, and a tenth of all at the least: else a backlog could never be worked off.
	slotWidth  = 100 * time.Millisecond
	mostSlots  = 600 // a minute
	leastRoom  = 0.1
	firstWait  = 200 * time.Millisecond // no sooner: a refused client's way there and back, and a jam's
	keptEarly  = 50 * time.Millisecond  // a booked client may come so much too early
	keptLate   = 2 * time.Second        // or too late, by then its place is gone
	mostBooked = 1 << 16

	// Capacity is what was lately answered; while nothing is declined it may be more than that.
	rise      = 1.1 // for each second without a decline
	leastRate = 0.5 // questions a second that are taken to be possible
)

// Guard is one dispatcher's.
type Guard struct {
	heed  time.Duration // the longest wait that clients follow
	rng   *brain.PCG
	first ring // tries that are a question's first
	again ring
	good  ring // answered
	bad   ring // declined or forfeited
	on    bool

	rate     float64 // what can be answered in a second
	rateAt   time.Duration
	channels []*channel
	slots    map[int64]float64 // booked, by the slot's number
	booked   map[uint64]time.Duration
	order    []uint64 // of bookings, oldest first
	swept    int64

	Counts Counts
}

// Counts show when a limit acted.
type Counts struct {
	First, Again, Booked, Kept, Refused, Budgeted, Storms int64
}

type channel struct {
	tokens float64
	at     time.Duration
	good   ring
}

// ring sums over ten buckets.
type ring struct{ brain.Ring }

func newRing() ring { return ring{brain.Ring{Width: sight}} }

// perS is the rate over the ring's time.
func (r *ring) perS(now time.Duration) float64 {
	span := min(max(now, sight), 10*sight).Seconds()
	return r.Sum(now) / span
}

// New makes a guard. heed is the longest wait that clients follow; channels is how many there are.
func New(heed time.Duration, channels int, seed uint64) *Guard {
	g := &Guard{heed: heed, rng: brain.NewPCG(seed), first: newRing(), again: newRing(), good: newRing(), bad: newRing(), slots: map[int64]float64{},
		booked: map[uint64]time.Duration{}}
	for range max(channels, 1) {
		g.channels = append(g.channels, &channel{good: newRing()})
	}
	return g
}

// On tells whether a storm is on.
func (g *Guard) On(now time.Duration) bool {
	again, first := g.again.Sum(now)+priorAgain, g.first.Sum(now)+priorFirst
	n := again + first
	share := again / n
	spread := deviations * math.Sqrt(share*(1-share)/(n+1))
	switch {
	case !g.on && share-spread > onAbove && g.bad.Sum(now) > 0:
		g.on = true
		g.Counts.Storms++
	case g.on && share+spread < offBelow:
		g.on = false
	}
	return g.on
}

// Again is the share of tries that ask again, lately.
func (g *Guard) Again(now time.Duration) float64 {
	return g.again.Sum(now) / max(g.again.Sum(now)+g.first.Sum(now), 1)
}

// Arrive takes word of a try and tells whether it goes to the module. One that does not is declined at once, and is to
// come back after the wait that is returned. ticket is what an earlier decline gave the client, 0: nothing.
func (g *Guard) Arrive(now time.Duration, again bool, chanNumber int, ticket uint64) (admit bool, after time.Duration, next uint64) {
	if !again && ticket == 0 {
		g.first.Add(now, 1)
		g.Counts.First++
		return true, 0, 0
	}
	g.again.Add(now, 1)
	g.Counts.Again++
	if due, ok := g.booked[ticket]; ok && ticket != 0 {
		delete(g.booked, ticket)
		if now >= due-keptEarly && now <= due+keptLate {
			g.Counts.Kept++
			return true, 0, 0
		}
	}
	if !g.On(now) {
		return true, 0, 0
	}
	c := g.channel(chanNumber)
	allowed := max(budgetShare*c.good.perS(now), budgetLeast)
	c.tokens = min(c.tokens+allowed*(now-c.at).Seconds(), budgetBurst*allowed)
	c.at = now
	if c.tokens >= 1 {
		c.tokens--
		g.Counts.Budgeted++
		return true, 0, 0
	}
	g.Counts.Refused++
	after, next = g.Book(now)
	return false, after, next
}

func (g *Guard) channel(n int) *channel { return g.channels[min(max(n, 0), len(g.channels)-1)] }

// Answered takes word of a question's end: whether it was answered.
func (g *Guard) Answered(now time.Duration, well bool, chanNumber int) {
	if well {
		g.good.Add(now, 1)
		g.channel(chanNumber).good.Add(now, 1)
	} else {
		g.bad.Add(now, 1)
	}
}

// Rate is how many questions a second this dispatcher can have answered, as far as it knows: while some are declined, what
// is answered; else rising from there.
func (g *Guard) Rate(now time.Duration) float64 {
	seen := max(g.good.perS(now), leastRate)
	if g.rateAt == 0 {
		g.rate = seen
	}
	span := (now - g.rateAt).Seconds()
	g.rateAt = now
	if g.bad.perS(now) > 0.05*seen {
		// Toward what is answered, over some seconds.
		g.rate += (seen - g.rate) * min(span/3, 1)
	} else {
		g.rate = max(g.rate, seen) * math.Pow(rise, min(span, 5))
		g.rate = min(g.rate, 3*seen)
	}
	return max(g.rate, leastRate)
}

// Book finds a time to come back for a client that is declined, and holds a place for it then.
func (g *Guard) Book(now time.Duration) (after time.Duration, ticket uint64) {
	if g.heed <= 0 {
		return 0, 0
	}
	rate := g.Rate(now)
	room := max(rate-g.first.perS(now), leastRoom*rate) * slotWidth.Seconds()
	from, to := int64((now+firstWait)/slotWidth), int64((now+g.heed)/slotWidth)
	to = min(max(to, from), from+mostSlots)
	g.sweep(int64(now / slotWidth))
	pick, least, sum := to, math.Inf(1), 0.0
	for s := from; s <= to; s++ {
		// The first slot by which there is room for one more: less than one a slot goes into every few of them.
		if sum += g.slots[s]; sum+1 <= room*float64(s-from+1) {
			pick = s
			break
		}
		// Full slots are filled evenly, and late ones sooner: the backlog is longer than clients heed.
		if fill := (g.slots[s] + 1) / (1 + 3*float64(s-from)/float64(to-from+1)); fill < least {
			pick, least = s, fill
		}
	}
	g.slots[pick]++
	at := time.Duration(pick)*slotWidth + time.Duration(g.rng.Float()*float64(slotWidth))
	after = min(max(at-now, firstWait/2), g.heed)
	ticket = brain.Mix(uint64(pick)<<20|uint64(g.Counts.Booked&0xfffff), uint64(g.rng.Float()*(1<<52))) | 1
	g.Counts.Booked++
	g.booked[ticket] = now + after
	g.order = append(g.order, ticket)
	for len(g.order) > mostBooked {
		delete(g.booked, g.order[0])
		g.order = g.order[1:]
	}
	return after, ticket
}

// sweep forgets slots and bookings that are past.
func (g *Guard) sweep(now int64) {
	if now == g.swept {
		return
	}
	g.swept = now
	for s := range g.slots {
		if s < now {
			delete(g.slots, s)
		}
	}
	past := time.Duration(now)*slotWidth - keptLate
	for len(g.order) > 0 {
		due, ok := g.booked[g.order[0]]
		if ok && due >= past {
			break
		}
		delete(g.booked, g.order[0])
		g.order = g.order[1:]
	}
}

// Promised is how many returns are booked from now on.
func (g *Guard) Promised(now time.Duration) int {
	n := 0.0
	for s, k := range g.slots {
		if s >= int64(now/slotWidth) {
			n += k
		}
	}
	return int(n)
}
