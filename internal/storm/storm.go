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
	losing            = 0.3 // of the share booked for returns: below it first tries are being lost, which is evidence too
	priorFirst        = 9.0
	deviations        = 1.0

	// While a storm is on, unbooked returns may take a tenth of what is served, by channel; a burst of two seconds' worth.
	// Retry budgets elsewhere are given 10 to 20%.
	budgetShare = 0.1
	budgetBurst = 2.0  // seconds of it
	budgetLeast = 0.02 // questions a second, so that a quiet dispatcher lets some through; times 160 dispatchers that is three

	// Returns are booked in slots of future time, up to the longest that clients heed. A slot holds what capacity is left
	// beside first tries, and a tenth of all at the least: else a backlog could never be worked off.
	slotWidth = 100 * time.Millisecond
	mostSlots = 600 // a minute
	leastRoom = 0.1

	// Returns must not push first tries out, who would only come back as returns: what of the room is booked grows by so
	// much a second while first tries are in time, and shrinks to so much when a tenth of a second's are lost or late. It
	// settles near a third at 1% of them; slowly, as a booking shows some seconds after it was made: at 0.02 a second the
	// fleet swung between too many returns and too few. What pays from the budget shrinks alike.
	shareUp, shareDown, leastShare = 0.012, 0.7, 0.25
	firstWait                      = 200 * time.Millisecond // no sooner: a refused client's way there and back, and a jam's
	keptEarly                      = 50 * time.Millisecond  // a booked client may come so much too early
	keptLate                       = 2 * time.Second        // or too late, by then its place is gone
	mostUsed                       = 1 << 16                // tickets that are remembered as used

	// A ticket of another dispatcher has its place here as well, up to what this one can have answered, with a burst of a
	// second: on average as many come from elsewhere as go there, and one shown everywhere gains no more than that.
	elsewhere = 1.0

	// Trips after one that may have cost work are kept to a fifth of first ones while they are many, as retry budgets are
	// elsewhere; a burst of ten seconds' worth, since a box that dies fails all that it had at once.
	furtherShare = 0.2
	furtherBurst = 10.0
	furtherLeast = 1.0 // a second

	// Capacity is what was lately answered; while nothing is declined it may be more than that.
	rise      = 1.1 // for each second without a decline
	leastRate = 0.5 // questions a second that are taken to be possible
)

// Guard is one dispatcher's.
type RetryThrottle struct {
	heed  time.Duration // the longest wait that clients follow
	rng   *brain.PCG
	first brain.RollingSum // tries that are a question's first
	again brain.RollingSum
	good  brain.RollingSum // answered
	bad   brain.RollingSum // declined or forfeited
	on    bool

	rate     float64 // what can be answered in a second
	rateAt   time.Duration
	share    float64 // of the room for returns that is booked
	channels []*channel
	slots    map[int64]float64 // places booked, by the slot's number
	standby  map[int64]float64 // told to come then, without a place
	seal     TicketSigner
	used     map[usedTicket]bool
	order    []usedTicket // those, in the order of their use
	swept    int64
	abroad   bucket           // for tickets of other dispatchers
	further  bucket           // for trips after one that failed
	trips    brain.RollingSum // first ones of their questions

	Counters Counters
}

// Counts show when a limit acted.
type Counters struct {
	FirstTries, Retries, Booked, Redeemed, Rejected, FromBudget, Activations int64

	Unbooked         int64 // told when to come back, without a place
	FromPeers        int64 // of those kept, with a ticket of another dispatcher
	InvalidTickets   int64 // tickets that no seal of this key made
	Reattempts       int64 // trips after one that failed
	ReattemptsDenied int64 // questions that got no further trip, as the budget for these was spent
}

type channel struct {
	budget bucket
	good   brain.RollingSum
}

type usedTicket struct {
	from   uint32
	number uint64
	due    time.Duration
}

// bucket fills by a rate that may change.
type bucket struct {
	tokens float64
	at     time.Duration
}

// has fills up to now and tells whether there is one.
func (b *bucket) has(now time.Duration, perS, burst float64) bool {
	b.tokens = min(b.tokens+perS*(now-b.at).Seconds(), burst)
	b.at = now
	return b.tokens >= 1
}

// take takes one, if there is one.
func (b *bucket) take(now time.Duration, perS, burst float64) bool {
	if !b.has(now, perS, burst) {
		return false
	}
	b.tokens--
	return true
}

// New makes a guard. heed is the longest wait that clients follow; channels is how many there are.
func New(heed time.Duration, channels int, seed uint64, seal TicketSigner) *RetryThrottle {
	g := &RetryThrottle{heed: heed, rng: brain.NewPCG(seed), first: brain.RollingSum{BucketWidth: sight}, again: brain.RollingSum{BucketWidth: sight}, good: brain.RollingSum{BucketWidth: sight}, bad: brain.RollingSum{BucketWidth: sight}, trips: brain.RollingSum{BucketWidth: sight},
		slots: map[int64]float64{}, standby: map[int64]float64{}, seal: seal, used: map[usedTicket]bool{}, share: 1, further: bucket{tokens: furtherBurst * furtherLeast}}
	for range max(channels, 1) {
		// Many dispatchers start together: their budgets must not fill in step.
		g.channels = append(g.channels, &channel{good: brain.RollingSum{BucketWidth: sight}, budget: bucket{tokens: g.rng.Float()}})
	}
	return g
}

// On tells whether a storm is on.
func (g *RetryThrottle) Active(now time.Duration) bool {
	again, first := g.again.Sum(now)+priorAgain, g.first.Sum(now)+priorFirst
	n := again + first
	share := again / n
	spread := deviations * math.Sqrt(share*(1-share)/(n+1))
	switch {
	case !g.on && g.bad.Sum(now) > 0 && (share-spread > onAbove || g.share < losing && share > onAbove):
		g.on = true
		g.Counters.Activations++
	case g.on && share+spread < offBelow:
		g.on = false
	}
	return g.on
}

// Again is the share of tries that ask again, lately.
func (g *RetryThrottle) RetryShare(now time.Duration) float64 {
	return g.again.Sum(now) / max(g.again.Sum(now)+g.first.Sum(now), 1)
}

// Arrive takes word of a try and tells whether it goes to the module. One that does not is declined at once, and is to
// come back after the wait that is returned. ticket is what an earlier decline gave the client; "": nothing.
func (g *RetryThrottle) Admit(now time.Duration, again bool, chanNumber int, ticket string) (admit bool, after time.Duration, next string) {
	if !again && ticket == "" {
		g.first.Add(now, 1)
		g.Counters.FirstTries++
		return true, 0, ""
	}
	g.again.Add(now, 1)
	g.Counters.Retries++
	if ticket != "" && g.keeps(now, ticket) {
		g.Counters.Redeemed++
		return true, 0, ""
	}
	if !g.Active(now) {
		return true, 0, ""
	}
	c := g.channel(chanNumber)
	allowed := max(g.share*budgetShare*c.good.PerSecond(now), budgetLeast)
	if c.budget.take(now, allowed, max(budgetBurst*allowed, 1)) {
		g.Counters.FromBudget++
		return true, 0, ""
	}
	g.Counters.Rejected++
	after, next = g.BookRetry(now)
	return false, after, next
}

// keeps tells whether a client came when its ticket says. A ticket admits once here; one of another dispatcher only within
// what this one can have answered, as its giver can't tell this one that it was used there.
func (g *RetryThrottle) keeps(now time.Duration, text string) bool {
	t, ok := g.seal.Verify(text)
	if !ok {
		g.Counters.InvalidTickets++
		return false
	}
	u := usedTicket{t.Issuer, t.Serial, t.Due}
	if now < t.Due-keptEarly || now > t.Due+keptLate || g.used[u] {
		return false
	}
	g.sweep(int64(now / slotWidth))
	if len(g.order) >= mostUsed {
		return false
	}
	if t.Issuer != g.seal.Issuer {
		rate := elsewhere * g.ServiceRate(now)
		if !g.abroad.take(now, rate, max(rate, 1)) {
			return false
		}
		g.Counters.FromPeers++
	}
	g.used[u] = true
	g.order = append(g.order, u)
	return true
}

// Sent takes word of a trip: a question's first, or a further one after one that failed.
func (g *RetryThrottle) AttemptSent(now time.Duration, further bool) {
	if !further {
		g.trips.Add(now, 1)
		return
	}
	g.Counters.Reattempts++
	g.further.tokens-- // below nought for what was let go on before
}

// MayTryAgain tells, when a trip failed that may have cost work, whether its question may have a further one. Without a
// limit all that an outage breaks is asked of the boxes that are left, a trip for each that the terms allow.
func (g *RetryThrottle) AllowReattempt(now time.Duration) bool {
	perS := furtherShare*g.trips.PerSecond(now) + furtherLeast
	if !g.further.has(now, perS, furtherBurst*perS) {
		g.Counters.ReattemptsDenied++
		return false
	}
	return true
}

func (g *RetryThrottle) channel(n int) *channel { return g.channels[min(max(n, 0), len(g.channels)-1)] }

// Answered takes word of a question's end: whether it was answered, and for a first try whether in its promised time.
func (g *RetryThrottle) RequestDone(now time.Duration, well, first, inTime bool, chanNumber int) {
	if perS := max(g.first.PerSecond(now), 0.1); first && inTime {
		g.share = min(g.share+shareUp/perS, 1)
	} else if first {
		g.share = max(g.share*math.Pow(shareDown, 1/max(0.1*perS, 1)), leastShare)
	}
	if well {
		g.good.Add(now, 1)
		g.channel(chanNumber).good.Add(now, 1)
	} else {
		g.bad.Add(now, 1)
	}
}

// Rate is how many questions a second this dispatcher can have answered, as far as it knows: while some are declined, what
// is answered; else rising from there.
func (g *RetryThrottle) ServiceRate(now time.Duration) float64 {
	seen := max(g.good.PerSecond(now), leastRate)
	if g.rateAt == 0 {
		g.rate = seen
	}
	span := (now - g.rateAt).Seconds()
	g.rateAt = now
	if g.bad.PerSecond(now) > 0.05*seen {
		// Toward what is answered, over some seconds.
		g.rate += (seen - g.rate) * min(span/3, 1)
	} else {
		g.rate = max(g.rate, seen) * math.Pow(rise, min(span, 5))
		g.rate = min(g.rate, 3*seen)
	}
	return max(g.rate, leastRate)
}

// Book finds a time to come back for a client that is declined. Where there is room for it by then it has a place and a
// ticket for it; else it is told a time all the same, and pays from the budget like others.
func (g *RetryThrottle) BookRetry(now time.Duration) (after time.Duration, ticket string) {
	if g.heed <= 0 {
		return 0, ""
	}
	rate := g.ServiceRate(now)
	room := g.share * max(rate-g.first.PerSecond(now), leastRoom*rate) * slotWidth.Seconds()
	from, to := int64((now+firstWait)/slotWidth), int64((now+g.heed)/slotWidth)
	to = min(max(to, from), from+mostSlots)
	g.sweep(int64(now / slotWidth))
	pick, least, sum, place := to, math.Inf(1), 0.0, false
	for s := from; s <= to; s++ {
		// The first slot by which there is room for one more: less than one a slot goes into every few of them.
		if sum += g.slots[s]; sum+1 <= room*float64(s-from+1) {
			pick, place = s, true
			break
		}
		// The backlog is longer than clients heed: who has no place is spread evenly, more of them late.
		if fill := (g.standby[s] + 1) / (1 + 3*float64(s-from)/float64(to-from+1)); fill < least {
			pick, least = s, fill
		}
	}
	at := time.Duration(pick)*slotWidth + time.Duration(g.rng.Float()*float64(slotWidth))
	after = min(max(at-now, firstWait/2), g.heed)
	if !place {
		g.Counters.Unbooked++
		g.standby[pick]++
		return after, ""
	}
	g.slots[pick]++
	g.Counters.Booked++
	// The number goes on from a drawn one: a dispatcher that has restarted under its old name repeats none.
	return after, g.seal.Sign(now+after, brain.Mix(uint64(g.Counters.Booked), uint64(g.rng.Float()*(1<<52))))
}

// sweep forgets slots that are past, and used tickets that nobody could use again.
func (g *RetryThrottle) sweep(now int64) {
	if now == g.swept {
		return
	}
	g.swept = now
	for s := range g.slots {
		if s < now {
			delete(g.slots, s)
		}
	}
	for s := range g.standby {
		if s < now {
			delete(g.standby, s)
		}
	}
	past := time.Duration(now)*slotWidth - keptLate
	for len(g.order) > 0 && g.order[0].due < past {
		delete(g.used, g.order[0])
		g.order = g.order[1:]
	}
}

// Promised is how many returns are booked from now on.
func (g *RetryThrottle) BookedRetries(now time.Duration) int {
	n := 0.0
	for s, k := range g.slots {
		if s >= int64(now/slotWidth) {
			n += k
		}
	}
	return int(n)
}
