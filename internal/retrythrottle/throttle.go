// Package retrythrottle throttles client retries for one dispatcher, in front of its scheduler. It detects when
// retries pile
// up, limits how many are admitted, and gives each rejected request a time to come back. It does no I/O, with time and
// randomness handed in; it shares no state with other dispatchers, never chooses a backend, and admits every first try.
// Begin with RetryThrottle.
package retrythrottle

import (
	"math"
	"time"

	"sloetrestle/scheduler"
)

const (
	// Counts cover ten buckets, that is ten seconds: outages of a few seconds must show, single requests must not.
	bucketWidth = time.Second

	// Throttling starts when at least a quarter of the tries are retries, by one standard deviation of the share's
	// posterior with a prior of one in ten. It stops when the share is below an eighth by the same measure; the gap
	// keeps it from flapping. To start it also needs rejected or failed requests, as clients may retry for reasons of
	// their own.
	onShare, offShare = 0.25, 0.125
	priorRetries      = 1.0
	lowBookingShare   = 0.3 // a bookingShare below this shows that first tries are being lost, which is evidence too
	priorFirstTries   = 9.0
	deviations        = 1.0

	// While throttling is on, retries without a booked place may use a tenth of the served rate, by tenant, with a
	// burst of two seconds' worth. Retry budgets of other systems are 10 to 20%.
	budgetShare        = 0.1
	budgetBurstSeconds = 2.0
	// A minimum lets some through at an idle dispatcher; at 160 dispatchers it comes to about three a second.
	minBudgetPerSecond = 0.02

	// Retries are booked in slots of future time, up to the longest wait that clients follow. A slot holds the capacity
	// that first tries leave free, and at least a tenth of all capacity: else a backlog could never be worked off.
	slotWidth    = 100 * time.Millisecond
	maxSlots     = 600 // a minute
	minFreeShare = 0.1

	// Retries must not displace first tries, which would only come back as retries. The share of the free capacity that
	// is booked grows by bookingIncrease per second while first tries are served in time, and shrinks to bookingDecrease
	// of itself when a tenth of a second's first tries are lost or late. It settles near a third at 1% of them. It grows
	// slowly, as a booking takes effect only some seconds after it is made: at 0.02 per second the fleet oscillated
	// between too many retries and too few. The budget of retries without a place shrinks alike.
	bookingIncrease, bookingDecrease, minBookingShare = 0.012, 0.7, 0.25

	minWait        = 200 * time.Millisecond // covers a rejected client's round trip and the congestion
	earlyTolerance = 50 * time.Millisecond  // a client with a ticket may come this much early
	lateTolerance  = 2 * time.Second        // or this much late; then its place is lost
	maxUsedTickets = 1 << 16                // tickets that are remembered as used

	// Tickets of other dispatchers are admitted up to this multiple of the rate that this one can serve, with a burst of a
	// second. On average as many tickets come from other dispatchers as go to them, and showing one ticket at every
	// dispatcher gains no more than this.
	peerTicketShare = 1.0

	// Reattempts, that is attempts after one that may have cost work, are limited to a fifth of first attempts while they
	// are many, as retry budgets of other systems are. The burst is ten seconds' worth, since a backend that dies fails
	// all its attempts at once.
	reattemptShare        = 0.2
	reattemptBurstSeconds = 10.0
	minReattemptsPerSec   = 1.0

	// Capacity is the rate lately served; while few requests are rejected or failed it may be more than that.
	rateGrowth = 1.1 // factor for each second with at most maxUnservedShare
	minRate    = 0.5 // requests per second that are assumed to be possible

	maxUnservedShare    = 0.05 // rejected and failed requests, relative to served ones, up to which the rate grows
	rateApproachSeconds = 3.0  // time after which an update sets the rate to the served one; an earlier update, in part
	maxGrowthSeconds    = 5.0  // that one update lets the rate grow for, however long ago the last one was
	maxRateFactor       = 3.0  // the rate grows to at most this multiple of the served rate
)

// RetryThrottle admits or rejects the retries that arrive at one dispatcher.
type RetryThrottle struct {
	maxWait    time.Duration // the longest wait that clients follow
	rng        *scheduler.PCG
	firstTries scheduler.RollingSum // tries that are not retries
	retries    scheduler.RollingSum
	served     scheduler.RollingSum
	unserved   scheduler.RollingSum // rejected or failed
	active     bool

	rate          float64 // requests per second that can be served
	rateUpdatedAt time.Duration
	bookingShare  float64 // share of the free capacity that is booked for retries
	tenants       []*tenant
	booked        map[int64]float64 // places booked, by slot number
	unbooked      map[int64]float64 // retries due in a slot without a place, by slot number
	signer        TicketSigner
	used          map[usedTicket]bool
	usedOrder     []usedTicket // the keys of used in the order of their use
	sweptSlot     int64
	peerTickets   bucket               // admits tickets of other dispatchers
	reattempts    bucket               // admits reattempts
	firstAttempts scheduler.RollingSum // first attempts of their requests

	Counters Counters
}

// Counters count the decisions of a RetryThrottle.
type Counters struct {
	FirstTries  int64 `json:"First"`
	Retries     int64 `json:"Again"`
	Booked      int64 // rejected with a ticket
	Redeemed    int64 `json:"Kept"`     // retries admitted by ticket
	Rejected    int64 `json:"Refused"`  // retries rejected
	FromBudget  int64 `json:"Budgeted"` // retries admitted from the budget
	Activations int64 `json:"Storms"`   // times that throttling was switched on

	Unbooked         int64 `json:"Standby"`   // given a time to come back, without a place
	FromPeers        int64 `json:"Elsewhere"` // of Redeemed, those with a ticket of another dispatcher
	InvalidTickets   int64 `json:"Forged"`    // tickets that were not signed with this key
	Reattempts       int64 `json:"Further"`   // attempts after a failed one
	ReattemptsDenied int64 `json:"Spent"`     // requests without a further attempt, as the budget for these was spent
}

type tenant struct {
	budget bucket
	served scheduler.RollingSum
}

type usedTicket struct {
	issuer uint32
	serial uint64
	due    time.Duration
}

// bucket is a token bucket whose rate may change.
type bucket struct {
	tokens     float64
	refilledAt time.Duration
}

// available refills the bucket up to now and reports whether it has a token.
func (b *bucket) available(now time.Duration, perSecond, burst float64) bool {
	b.tokens = min(b.tokens+perSecond*(now-b.refilledAt).Seconds(), burst)
	b.refilledAt = now
	return b.tokens >= 1
}

// take removes a token and reports whether there was one.
func (b *bucket) take(now time.Duration, perSecond, burst float64) bool {
	if !b.available(now, perSecond, burst) {
		return false
	}
	b.tokens--
	return true
}

// New returns a RetryThrottle for a number of tenants. maxWait is the longest wait that clients follow.
func New(maxWait time.Duration, tenants int, seed uint64, signer TicketSigner) *RetryThrottle {
	throttle := &RetryThrottle{
		maxWait: maxWait, rng: scheduler.NewPCG(seed),
		firstTries: scheduler.RollingSum{BucketWidth: bucketWidth}, retries: scheduler.RollingSum{BucketWidth: bucketWidth},
		served: scheduler.RollingSum{BucketWidth: bucketWidth}, unserved: scheduler.RollingSum{BucketWidth: bucketWidth},
		firstAttempts: scheduler.RollingSum{BucketWidth: bucketWidth},
		booked:        map[int64]float64{}, unbooked: map[int64]float64{}, signer: signer, used: map[usedTicket]bool{},
		bookingShare: 1, reattempts: bucket{tokens: reattemptBurstSeconds * minReattemptsPerSec},
	}
	for range max(tenants, 1) {
		// A random fill keeps the budgets of dispatchers that start together from filling in step.
		throttle.tenants = append(throttle.tenants,
			&tenant{served: scheduler.RollingSum{BucketWidth: bucketWidth}, budget: bucket{tokens: throttle.rng.Float()}})
	}
	return throttle
}

// Active reports whether retries are being throttled.
func (t *RetryThrottle) Active(now time.Duration) bool {
	retries, firstTries := t.retries.Sum(now)+priorRetries, t.firstTries.Sum(now)+priorFirstTries
	n := retries + firstTries
	share := retries / n
	spread := deviations * math.Sqrt(share*(1-share)/(n+1))
	switch {
	case !t.active && t.unserved.Sum(now) > 0 &&
		(share-spread > onShare || t.bookingShare < lowBookingShare && share > onShare):
		t.active = true
		t.Counters.Activations++
	case t.active && share+spread < offShare:
		t.active = false
	}
	return t.active
}

// RetryShare returns the recent share of tries that are retries.
func (t *RetryThrottle) RetryShare(now time.Duration) float64 {
	return t.retries.Sum(now) / max(t.retries.Sum(now)+t.firstTries.Sum(now), 1)
}

// Admit records a try and reports whether it goes to the scheduler. One that does not is to be rejected at once, with
// the wait and the ticket that are returned. ticket is what an earlier rejection gave the client, or "".
func (t *RetryThrottle) Admit(
	now time.Duration, isRetry bool, tenantIndex int, ticket string,
) (admit bool, after time.Duration, next string) {
	if !isRetry && ticket == "" {
		t.firstTries.Add(now, 1)
		t.Counters.FirstTries++
		return true, 0, ""
	}
	t.retries.Add(now, 1)
	t.Counters.Retries++
	if ticket != "" && t.redeem(now, ticket) {
		t.Counters.Redeemed++
		return true, 0, ""
	}
	if !t.Active(now) {
		return true, 0, ""
	}
	tenant := t.tenant(tenantIndex)
	perSecond := max(t.bookingShare*budgetShare*tenant.served.PerSecond(now), minBudgetPerSecond)
	if tenant.budget.take(now, perSecond, max(budgetBurstSeconds*perSecond, 1)) {
		t.Counters.FromBudget++
		return true, 0, ""
	}
	t.Counters.Rejected++
	after, next = t.BookRetry(now)
	return false, after, next
}

// redeem reports whether a client came at the time that its ticket states. A ticket admits once at this dispatcher. One
// of another dispatcher is admitted only within the rate that this one can serve, as its issuer can't tell this one
// that it was used there.
func (t *RetryThrottle) redeem(now time.Duration, text string) bool {
	ticket, ok := t.signer.Verify(text)
	if !ok {
		t.Counters.InvalidTickets++
		return false
	}
	key := usedTicket{ticket.Issuer, ticket.Serial, ticket.Due}
	if now < ticket.Due-earlyTolerance || now > ticket.Due+lateTolerance || t.used[key] {
		return false
	}
	t.sweep(int64(now / slotWidth))
	if len(t.usedOrder) >= maxUsedTickets {
		return false
	}
	if ticket.Issuer != t.signer.Issuer {
		rate := peerTicketShare * t.ServiceRate(now)
		if !t.peerTickets.take(now, rate, max(rate, 1)) {
			return false
		}
		t.Counters.FromPeers++
	}
	t.used[key] = true
	t.usedOrder = append(t.usedOrder, key)
	return true
}

// AttemptSent records an attempt: a request's first one, or a reattempt.
func (t *RetryThrottle) AttemptSent(now time.Duration, reattempt bool) {
	if !reattempt {
		t.firstAttempts.Add(now, 1)
		return
	}
	t.Counters.Reattempts++
	t.reattempts.tokens-- // may go below zero: AllowReattempt admits without taking a token
}

// AllowReattempt reports, after an attempt failed that may have cost work, whether its request may have a further one.
// Without this limit all requests that an outage breaks are sent to the remaining backends again, up to the attempt
// limit of each.
func (t *RetryThrottle) AllowReattempt(now time.Duration) bool {
	perSecond := reattemptShare*t.firstAttempts.PerSecond(now) + minReattemptsPerSec
	if !t.reattempts.available(now, perSecond, reattemptBurstSeconds*perSecond) {
		t.Counters.ReattemptsDenied++
		return false
	}
	return true
}

func (t *RetryThrottle) tenant(index int) *tenant {
	return t.tenants[min(max(index, 0), len(t.tenants)-1)]
}

// RequestDone records the end of a request: whether it was served, whether it was a first try, and whether it was
// served within its latency target.
func (t *RetryThrottle) RequestDone(now time.Duration, served, firstTry, inTime bool, tenantIndex int) {
	if perSecond := max(t.firstTries.PerSecond(now), 0.1); firstTry && inTime {
		t.bookingShare = min(t.bookingShare+bookingIncrease/perSecond, 1)
	} else if firstTry {
		t.bookingShare = max(t.bookingShare*math.Pow(bookingDecrease, 1/max(0.1*perSecond, 1)), minBookingShare)
	}
	if served {
		t.served.Add(now, 1)
		t.tenant(tenantIndex).served.Add(now, 1)
	} else {
		t.unserved.Add(now, 1)
	}
}

// ServiceRate updates and returns the estimate of how many requests per second this dispatcher and its backends could
// serve. While rejected or failed requests are more than maxUnservedShare of the served ones, the estimate approaches
// the served rate. Otherwise it grows from the higher of the two by the factor rateGrowth per second since the last
// call, for maxGrowthSeconds at most, up to maxRateFactor times the served rate. It is at least minRate. The first call
// starts from the served rate and counts the time since the start of the clock as that since the last call.
func (t *RetryThrottle) ServiceRate(now time.Duration) float64 {
	served := max(t.served.PerSecond(now), minRate)
	if t.rateUpdatedAt == 0 {
		t.rate = served
	}
	elapsed := (now - t.rateUpdatedAt).Seconds()
	t.rateUpdatedAt = now
	if t.unserved.PerSecond(now) > maxUnservedShare*served {
		// Approach the served rate over some seconds.
		t.rate += (served - t.rate) * min(elapsed/rateApproachSeconds, 1)
	} else {
		t.rate = max(t.rate, served) * math.Pow(rateGrowth, min(elapsed, maxGrowthSeconds))
		t.rate = min(t.rate, maxRateFactor*served)
	}
	return max(t.rate, minRate)
}

// BookRetry returns the time after which a rejected client should come back. If there is free capacity by then, the
// client gets a place and a ticket for it. Otherwise the ticket is empty and the retry is admitted from the budget.
func (t *RetryThrottle) BookRetry(now time.Duration) (after time.Duration, ticket string) {
	if t.maxWait <= 0 {
		return 0, ""
	}
	rate := t.ServiceRate(now)
	perSlot := t.bookingShare * max(rate-t.firstTries.PerSecond(now), minFreeShare*rate) * slotWidth.Seconds()
	first, last := int64((now+minWait)/slotWidth), int64((now+t.maxWait)/slotWidth)
	last = min(max(last, first), first+maxSlots)
	t.sweep(int64(now / slotWidth))
	pick, leastFill, sum, hasPlace := last, math.Inf(1), 0.0, false
	for slot := first; slot <= last; slot++ {
		// Take the first slot by which there is a free place. The sum over slots counts, so that with less than one
		// place per slot every few slots get one.
		if sum += t.booked[slot]; sum+1 <= perSlot*float64(slot-first+1) {
			pick, hasPlace = slot, true
			break
		}
		// If the backlog is longer than clients wait, retries without a place are spread over the slots, with more of
		// them late.
		if fill := (t.unbooked[slot] + 1) / (1 + 3*float64(slot-first)/float64(last-first+1)); fill < leastFill {
			pick, leastFill = slot, fill
		}
	}
	due := time.Duration(pick)*slotWidth + time.Duration(t.rng.Float()*float64(slotWidth))
	after = min(max(due-now, minWait/2), t.maxWait)
	if !hasPlace {
		t.Counters.Unbooked++
		t.unbooked[pick]++
		return after, ""
	}
	t.booked[pick]++
	t.Counters.Booked++
	// The serial mixes in a random number, so that a dispatcher that restarts under its old name repeats none.
	return after, t.signer.Sign(now+after, scheduler.Mix(uint64(t.Counters.Booked), uint64(t.rng.Float()*(1<<52))))
}

// sweep forgets slots before the given one, and used tickets that are too old to be redeemed again.
func (t *RetryThrottle) sweep(slotNow int64) {
	if slotNow == t.sweptSlot {
		return
	}
	t.sweptSlot = slotNow
	for slot := range t.booked {
		if slot < slotNow {
			delete(t.booked, slot)
		}
	}
	for slot := range t.unbooked {
		if slot < slotNow {
			delete(t.unbooked, slot)
		}
	}
	oldest := time.Duration(slotNow)*slotWidth - lateTolerance
	for len(t.usedOrder) > 0 && t.usedOrder[0].due < oldest {
		delete(t.used, t.usedOrder[0])
		t.usedOrder = t.usedOrder[1:]
	}
}

// BookedRetries returns how many retries are booked from now on.
func (t *RetryThrottle) BookedRetries(now time.Duration) int {
	sum := 0.0
	for slot, places := range t.booked {
		if slot >= int64(now/slotWidth) {
			sum += places
		}
	}
	return int(sum)
}
