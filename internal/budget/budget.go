// Package budget limits the tokens that each tenant may use, by token buckets and monthly allowances that span all
// dispatchers of a fleet. One dispatcher owns a budget and leases tokens of it to the others, which reserve from
// their local part and request leases ahead of need. It does no I/O: messages are passed in and out together with the
// time. Begin with LocalBudget, then Owner.
package budget

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"sloetrestle/scheduler"
)

const (
	leaseDemandSpan    = 3 * time.Second        // of demand that a local budget keeps available ahead of need
	leaseValidity      = 12 * time.Second       // how long a lease may be used, counted from its request
	idleDemandSpan     = 10 * time.Second       // of demand; what is available beyond it is returned
	retryTimeout       = 60 * time.Millisecond  // for a reply before the next request; includes a commit to disk
	silenceTimeout     = 400 * time.Millisecond // without a reply, after which the owner counts as unreachable
	minRequestInterval = 50 * time.Millisecond  // between requests of one local budget
	renewalTime        = leaseValidity / 3      // after which a lease is renewed
	exhaustedRetry     = 5 * time.Second        // after the owner had nothing to lease: tokens may have been granted since

	// EmergencyShare is the share of a month's allowance that all dispatchers together may use while they cannot
	// reach the owner; each has an equal part of it. Of a rate limit each has an equal part of the whole: rates
	// protect against floods and are not billed, and an unreachable owner leases none of it.
	EmergencyShare = 0.05

	demandWidth = time.Second // of each of the ten buckets that measure the demand
	maxHolders  = 1 << 16     // epochs of dispatchers that an owner tracks in one month
)

// Terms are the limits of a tenant, or of one class of it. A negative limit means that there is none of that kind.
type Terms struct {
	Name      string  `json:"name"`            // tenant, or tenant/class
	PerSecond float64 `json:"tokens_a_second"` // refill rate of the bucket
	Burst     float64 `json:"burst"`           // size of the bucket in tokens
	Monthly   float64 `json:"monthly"`         // tokens
	Borrow    float64 `json:"borrow"`          // tokens of the next month that may be used ahead
}

// Month is a calendar month and the time until its end.
type Month struct {
	Number    int64
	Remaining time.Duration
}

// LeaseRequest is sent by a local budget to the owner. Its sums only grow within a month, so that lost, late and
// repeated messages do no harm.
type LeaseRequest struct {
	Name          string
	Holder        string // the epoch of the requesting dispatcher
	Month         int64
	Lent          float64 `cbor:"Lent"`     // tokens leased to it this month, as far as it knows
	Returned      float64 `cbor:"Returned"` // tokens of these that it has returned
	EmergencyUsed float64 `cbor:"Own"`      // tokens used beside these while the owner was unreachable
	Wanted        float64 `cbor:"Want"`     // further tokens
	Minimum       float64 `cbor:"Least"`    // a smaller lease is of no use
	Number        uint64
}

// LeaseReply is the owner's answer to a LeaseRequest.
type LeaseReply struct {
	Name       string
	Holder     string
	Month      int64
	Lent       float64       `cbor:"Lent"`  // tokens leased to the holder this month, in total
	RetryAfter time.Duration `cbor:"After"` // where less was leased than wanted: when there may be more
	Number     uint64        // of the request
	Terms      Terms
}

// Owner leases out the tokens of one budget.
type Owner struct {
	Terms Terms
	Write func(what string, month int64, tokens float64, done func()) // makes a sum durable; done is called when it is

	WriteTerms func(t Terms, done func())

	month      Month
	spent      float64 // leased and not returned this month, and used in emergencies
	debt       float64 // borrowed by the previous month
	grant      float64 // added to this month
	durable    float64 // the amount of spent that is durable
	pending    float64 // the amount of spent that is being written
	bucket     float64
	refilledAt time.Duration
	holders    map[string]*holder
	waiting    []func()
}

type holder struct {
	lent, returned, emergencyUsed float64
}

// NewOwner returns the owner of a budget. spent, debt and grant are the sums of the month in the ledger.
func NewOwner(terms Terms, now time.Duration, month Month, spent, debt, grant float64,
	write func(string, int64, float64, func())) *Owner {
	return &Owner{Terms: terms, Write: write, month: month, spent: spent, debt: debt, grant: grant, durable: spent,
		pending: spent, bucket: max(terms.Burst, 0), refilledAt: now, holders: map[string]*holder{}}
}

// advanceMonth changes to a later month. A clock that steps back does not change to an earlier one.
func (o *Owner) advanceMonth(month Month) {
	if month.Number <= o.month.Number {
		o.month.Remaining = month.Remaining
		return
	}
	o.debt = 0
	if o.Terms.Monthly >= 0 && month.Number == o.month.Number+1 {
		o.debt = min(max(o.spent-o.Terms.Monthly-o.grant, 0), max(o.Terms.Borrow, 0))
	}
	o.month, o.spent, o.grant, o.durable, o.pending = month, 0, 0, 0, 0
	o.holders = map[string]*holder{}
	o.Write("debt", month.Number, o.debt, nil)
}

// available returns the tokens that may still be leased, of the month and of the bucket.
func (o *Owner) available(now time.Duration) (month, bucket float64) {
	month, bucket = math.Inf(1), math.Inf(1)
	if o.Terms.Monthly >= 0 {
		month = o.Terms.Monthly + o.grant + max(o.Terms.Borrow, 0) - o.debt - o.spent
	}
	if o.Terms.PerSecond >= 0 {
		o.bucket = min(o.bucket+o.Terms.PerSecond*(now-o.refilledAt).Seconds(), max(o.Terms.Burst, 0))
		o.refilledAt = now
		bucket = o.bucket
	}
	return max(month, 0), bucket
}

// HandleRequest processes a lease request. answer is called once what it leases is durable.
func (o *Owner) HandleRequest(now time.Duration, month Month, request LeaseRequest, answer func(LeaseReply)) {
	o.advanceMonth(month)
	if request.Month != o.month.Number { // the reply tells the holder which month it is
		answer(LeaseReply{Name: request.Name, Holder: request.Holder, Month: o.month.Number, Number: request.Number,
			Terms: o.Terms})
		return
	}
	entry := o.holders[request.Holder]
	if entry == nil && len(o.holders) >= maxHolders {
		return // the holder gets no reply and uses its part of the emergency share
	}
	if entry == nil {
		// The holder is new, or this owner has restarted: what it was leased is in the durable sum.
		entry = &holder{lent: request.Lent, returned: request.Returned}
		o.holders[request.Holder] = entry
	}
	if returned := min(request.Returned, entry.lent) - entry.returned; returned > 0 {
		entry.returned += returned
		o.spent -= returned
		if o.Terms.PerSecond >= 0 {
			o.bucket = min(o.bucket+returned, max(o.Terms.Burst, 0))
		}
	}
	if used := request.EmergencyUsed - entry.emergencyUsed; used > 0 {
		entry.emergencyUsed += used
		o.spent += used
		o.bucket -= used
	}
	tokens, after := o.lease(now, request)
	entry.lent += tokens
	o.spent += tokens
	o.bucket -= tokens
	reply := LeaseReply{Name: request.Name, Holder: request.Holder, Month: request.Month, Lent: entry.lent,
		RetryAfter: after,
		Number:     request.Number, Terms: o.Terms}
	o.whenDurable(func() { answer(reply) })
}

// lease returns how many tokens to lease: what is wanted, but at most half of what is available, or the minimum where
// that is more, so that the first holder does not get all of a small rest. after is when there may be more.
func (o *Owner) lease(now time.Duration, request LeaseRequest) (tokens float64, after time.Duration) {
	month, bucket := o.available(now)
	available := min(month, bucket)
	fair := max(available/2, request.Minimum)
	tokens = min(request.Wanted, fair)
	// A small rest is not leased ahead of need: it is left for requests that wait for it.
	if request.Wanted <= 0 || tokens > available || tokens < request.Minimum ||
		request.Minimum == 0 && tokens < request.Wanted/4 {
		tokens = 0
	}
	switch need := max(request.Minimum, 1); {
	case month-tokens < need && tokens < need:
		after = o.month.Remaining
	case o.Terms.PerSecond > 0 && bucket-tokens < need && tokens < need:
		after = time.Duration((need - bucket) / o.Terms.PerSecond * float64(time.Second))
	case o.Terms.PerSecond == 0 && bucket < need:
		after = o.month.Remaining
	}
	return tokens, max(after, 0)
}

// whenDurable calls do once all that is leased is durable. The sum is written ahead by 1/200 of the monthly
// allowance, and covers at least what is leased, so that few leases wait for a disk. After a restart up to that much
// may count as leased that was not.
func (o *Owner) whenDurable(do func()) {
	if o.Terms.Monthly < 0 || o.spent <= o.durable {
		do()
		return
	}
	o.waiting = append(o.waiting, do)
	if o.spent <= o.pending {
		return
	}
	ahead := min(o.spent+o.Terms.Monthly/200,
		max(o.Terms.Monthly+o.grant+max(o.Terms.Borrow, 0)-o.debt, o.spent))
	o.pending = ahead
	month := o.month.Number
	o.Write("lent", month, ahead, func() {
		if o.month.Number == month {
			o.durable = max(o.durable, ahead)
		}
		waiting := o.waiting
		o.waiting = nil
		for _, do := range waiting {
			o.whenDurable(do)
		}
	})
}

// Grant adds tokens to the present month. done is called when that is durable.
func (o *Owner) Grant(month Month, tokens float64, done func()) {
	o.advanceMonth(month)
	o.grant += tokens
	o.Write("grant", o.month.Number, o.grant, done)
}

// SetTerms changes the terms of the running budget; what was used stays used. done is called when that is durable.
func (o *Owner) SetTerms(now time.Duration, terms Terms, done func()) {
	o.available(now)
	o.Terms = terms
	o.bucket = min(o.bucket, max(terms.Burst, 0))
	o.WriteTerms(terms, done)
}

// Valid reports whether the numbers of terms that came over a network are plausible.
func (t Terms) Valid() bool {
	return !math.IsNaN(t.PerSecond+t.Monthly) && !math.IsInf(t.PerSecond+t.Monthly, 0) &&
		t.Burst >= 0 && t.Burst < math.MaxInt64 && t.Borrow >= 0 && t.Borrow < math.MaxInt64
}

// Valid reports whether a request that came over a network is plausible.
func (r LeaseRequest) Valid() bool {
	for _, tokens := range []float64{r.Lent, r.Returned, r.EmergencyUsed, r.Wanted, r.Minimum} {
		if !(tokens >= 0 && tokens < math.MaxInt64) {
			return false
		}
	}
	return r.Returned <= r.Lent && r.Holder != ""
}

// Valid reports whether a reply that came over a network is plausible. Months are counted from January 1970.
func (r LeaseReply) Valid() bool {
	return r.Terms.Valid() && r.Terms.Name == r.Name && r.Lent >= 0 && r.Lent < math.MaxInt64 &&
		r.RetryAfter >= 0 && r.RetryAfter <= 366*24*time.Hour && r.Month >= 0 && r.Month < 12*1000
}

// OwnerStatus is the state of an owned budget that operators see, in tokens.
type OwnerStatus struct {
	Name      string  `json:"name"`
	Month     int64   `json:"month"` // months since January 1970
	Monthly   float64 `json:"monthly"`
	Granted   float64 `json:"granted"`
	Borrow    float64 `json:"borrow"`
	Debt      float64 `json:"debt"`
	Lent      float64 `json:"lent"` // leased and not returned: used, or available at the holders
	Remaining float64 `json:"left"`
	PerSecond float64 `json:"tokens_a_second"`
	Bucket    float64 `json:"bucket"`
	Holders   int     `json:"holders"`
}

// Status returns the state of the budget.
func (o *Owner) Status(now time.Duration, m Month) OwnerStatus {
	o.advanceMonth(m)
	month, bucket := o.available(now)
	orUnlimited := func(tokens float64) float64 {
		if math.IsInf(tokens, 1) {
			return -1
		}
		return tokens
	}
	return OwnerStatus{o.Terms.Name, o.month.Number, o.Terms.Monthly, o.grant, o.Terms.Borrow, o.debt, o.spent,
		orUnlimited(month), o.Terms.PerSecond, orUnlimited(bucket), len(o.holders)}
}

// OwnerIndex returns which of n dispatchers owns a budget. All dispatchers compute the same index without a message.
func OwnerIndex(name string, n int) int {
	best, highest := 0, uint64(0)
	for i := range n {
		if hash := xxhash.Sum64String(fmt.Sprintf("%s %d", name, i)); hash > highest {
			best, highest = i, hash
		}
	}
	return best
}

// LocalBudget is one dispatcher's part of a budget.
type LocalBudget struct {
	Terms       Terms
	Holder      string
	Dispatchers int                // in the fleet; each has an equal part in an emergency
	Send        func(LeaseRequest) // to the owner

	// MarkEmergency makes durable that the emergency part of a month was started, and calls done when it is.
	// EmergencyMarked reports after a restart that it was: all of the part then counts as used. A nil MarkEmergency
	// means that no state outlasts a restart.
	MarkEmergency   func(month int64, done func())
	EmergencyMarked func(month int64) bool

	month                        int64
	emergencyMarked, markPending bool

	lent, returned  float64
	used, reserved  float64 // of the leased tokens
	emergencyUsed   float64 // beside the leased tokens
	leaseDeadline   time.Duration
	lastReply       time.Duration
	lastSent        time.Duration
	everSent        bool
	ownerSilent     bool // the owner is unreachable
	lastNumber      uint64
	answeredNumber  uint64
	waiting         []*waiter
	emergencyBucket float64 // of a rate limit, while the owner is unreachable
	refilledAt      time.Duration
	demand          scheduler.RollingSum // tokens
	largestRequest  float64
	retryAt         time.Duration // when there may be more, by the owner's last reply
	Counts          Counts
}

// Counts counts the decisions of a local budget.
type Counts struct {
	Admitted          int64   `json:"Passed"`
	Rejected          int64   `json:"Declined"`
	Waited            int64   `json:"Waited"`
	EmergencyAdmitted int64   `json:"Emergencies"`
	LeaseRequests     int64   `json:"Asks"`
	Used              float64 `json:"Used"` // tokens
}

// waiter is a request that waits for a lease, at most until the owner's reply or silenceTimeout.
type waiter struct {
	tokens       float64
	decide       func(Decision)
	firstRequest uint64 // the first lease request that includes it; 0: none yet
}

// Decision is the result of a reservation.
type Decision struct {
	OK         bool
	RetryAfter time.Duration
	Emergency  bool // the tokens come from the dispatcher's emergency part
}

// NewLocalBudget returns an empty local budget.
func NewLocalBudget(terms Terms, holder string, dispatchers int, month Month, send func(LeaseRequest)) *LocalBudget {
	return &LocalBudget{Terms: terms, Holder: holder, Dispatchers: max(dispatchers, 1), Send: send, month: month.Number,
		largestRequest: 1, demand: scheduler.RollingSum{BucketWidth: demandWidth}}
}

// advanceMonth changes to a later month. Leases of the previous one end.
func (b *LocalBudget) advanceMonth(month int64) {
	if month <= b.month {
		return
	}
	b.month, b.emergencyMarked, b.markPending = month, false, false
	b.lent, b.returned, b.used, b.emergencyUsed = 0, 0, 0, 0
	b.lent += b.reserved // outstanding reservations continue and need no new lease
	b.leaseDeadline = 0
}

func (b *LocalBudget) available(now time.Duration) float64 {
	if now >= b.leaseDeadline {
		return 0
	}
	return b.lent - b.returned - b.used - b.reserved
}

func (b *LocalBudget) recordDemand(now time.Duration, tokens float64) {
	b.demand.Add(now, tokens)
	b.largestRequest = max(b.largestRequest*0.99, tokens)
}

// Reserve sets a request's worst case aside. decide is called at once where the tokens are available or cannot be
// leased, otherwise when the owner has replied or counts as unreachable.
func (b *LocalBudget) Reserve(now time.Duration, month Month, tokens float64, decide func(Decision)) {
	b.advanceMonth(month.Number)
	b.recordDemand(now, tokens)
	if b.available(now) >= tokens {
		b.admit(now, tokens, decide)
		b.Tick(now)
		return
	}
	if b.ownerSilent {
		b.admitFromEmergency(now, tokens, decide)
		b.Tick(now)
		return
	}
	if now < b.retryAt && now < b.lastReply+exhaustedRetry { // by the owner's reply there is nothing to lease yet
		b.Counts.Rejected++
		decide(Decision{RetryAfter: b.retryAt - now})
		return
	}
	b.Counts.Waited++
	b.waiting = append(b.waiting, &waiter{tokens: tokens, decide: decide})
	b.requestLease(now)
}

func (b *LocalBudget) admit(now time.Duration, tokens float64, decide func(Decision)) {
	b.reserved += tokens
	b.Counts.Admitted++
	decide(Decision{OK: true})
}

// admitFromEmergency reserves from this dispatcher's part of the emergency share.
func (b *LocalBudget) admitFromEmergency(now time.Duration, tokens float64, decide func(Decision)) {
	ok := true
	if b.Terms.Monthly >= 0 && b.MarkEmergency != nil && !b.emergencyMarked {
		ok = false
		if !b.markPending && !b.EmergencyMarked(b.month) {
			b.markPending = true
			month := b.month
			b.MarkEmergency(month, func() { b.emergencyMarked = b.emergencyMarked || b.month == month })
		}
	} else if b.Terms.Monthly >= 0 {
		ok = b.emergencyUsed+tokens <= EmergencyShare*b.Terms.Monthly/float64(b.Dispatchers)
	}
	if b.Terms.PerSecond >= 0 {
		rate := b.Terms.PerSecond / float64(b.Dispatchers)
		b.emergencyBucket = min(b.emergencyBucket+rate*(now-b.refilledAt).Seconds(), max(10*rate, b.largestRequest))
		b.refilledAt = now
		ok = ok && b.emergencyBucket >= tokens
	}
	if !ok {
		b.Counts.Rejected++
		decide(Decision{RetryAfter: silenceTimeout})
		return
	}
	b.emergencyBucket -= tokens
	b.emergencyUsed += tokens
	b.Counts.EmergencyAdmitted++
	decide(Decision{OK: true, Emergency: true})
}

// Settle returns the unused part of a reservation. An admitted request may end whatever is available by then: it
// cannot use more than its worst case.
func (b *LocalBudget) Settle(reserved, used float64, emergency bool) {
	used = min(used, reserved)
	b.Counts.Used += used
	if emergency {
		b.emergencyUsed -= reserved - used
		return
	}
	b.reserved -= reserved
	b.used += used
}

// shortfall returns how many more tokens are wanted, and the smallest lease that is of use.
func (b *LocalBudget) shortfall(now time.Duration) (tokens, minimum float64) {
	queued := 0.0
	for _, w := range b.waiting {
		queued += w.tokens
		if minimum == 0 {
			minimum = max(w.tokens-b.available(now), 1)
		}
	}
	target := queued + b.demand.PerSecond(now)*leaseDemandSpan.Seconds()
	if target > 0 {
		target += b.largestRequest
	}
	tokens = max(target-b.available(now), 0)
	return tokens, minimum
}

// Tick must be called periodically: it requests leases ahead of need, repeats unanswered requests and returns idle
// tokens.
func (b *LocalBudget) Tick(now time.Duration) {
	more, minimum := b.shortfall(now)
	short := more > 0 && (minimum > 0 || b.available(now) < b.demand.PerSecond(now)*leaseDemandSpan.Seconds()/2)
	unanswered := b.everSent && b.answeredNumber < b.lastNumber
	if unanswered && now-b.lastReply > silenceTimeout && !b.ownerSilent {
		b.ownerSilent = true
		b.refilledAt = now
	}
	if b.ownerSilent || unanswered && now-b.lastSent > silenceTimeout {
		waiting := b.waiting
		b.waiting = nil
		for _, w := range waiting {
			b.admitFromEmergency(now, w.tokens, w.decide)
		}
	}
	idle := b.available(now) - b.demand.PerSecond(now)*idleDemandSpan.Seconds() - b.largestRequest
	if idle > 0 && !unanswered && b.available(now) > 0 {
		b.returned += idle
		b.requestLease(now)
		return
	}
	if short && (now >= b.retryAt || minimum > 0) || b.ownerSilent || unanswered && now-b.lastSent >= retryTimeout ||
		b.lent > b.returned+b.used && b.leaseDeadline-now < leaseValidity-renewalTime {
		b.requestLease(now)
	}
}

func (b *LocalBudget) requestLease(now time.Duration) {
	if b.everSent && now-b.lastSent < minRequestInterval && b.answeredNumber < b.lastNumber {
		return // one is outstanding
	}
	more, minimum := b.shortfall(now)
	if b.answeredNumber == b.lastNumber && !b.ownerSilent {
		b.lastReply = now // time without an outstanding request does not count as silence
	}
	b.lastNumber++
	for _, w := range b.waiting {
		if w.firstRequest == 0 {
			w.firstRequest = b.lastNumber
		}
	}
	b.lastSent, b.everSent = now, true
	b.Counts.LeaseRequests++
	b.Send(LeaseRequest{Name: b.Terms.Name, Holder: b.Holder, Month: b.month, Lent: b.lent, Returned: b.returned,
		EmergencyUsed: b.emergencyUsed, Wanted: more, Minimum: minimum, Number: b.lastNumber})
}

// HandleReply processes the owner's reply.
func (b *LocalBudget) HandleReply(now time.Duration, reply LeaseReply) {
	b.advanceMonth(reply.Month)
	b.lastReply, b.ownerSilent = now, false
	b.answeredNumber = max(b.answeredNumber, reply.Number)
	b.Terms = reply.Terms
	if reply.Month == b.month && reply.Lent >= b.lent {
		b.lent = reply.Lent
		b.leaseDeadline = max(b.leaseDeadline, b.lastSent+leaseValidity) // from the request: the reply's delay counts
		if reply.Number < b.lastNumber {
			b.leaseDeadline = max(b.leaseDeadline, now+renewalTime)
		}
	}
	if b.retryAt = 0; reply.RetryAfter > 0 {
		b.retryAt = now + reply.RetryAfter
	}
	for len(b.waiting) > 0 && b.available(now) >= b.waiting[0].tokens {
		w := b.waiting[0]
		b.waiting = b.waiting[1:]
		b.admit(now, w.tokens, w.decide)
	}
	waiting := b.waiting
	b.waiting = nil
	var rejected []*waiter
	for _, w := range waiting {
		if w.firstRequest == 0 || w.firstRequest > reply.Number {
			b.waiting = append(b.waiting, w)
		} else {
			rejected = append(rejected, w)
		}
	}
	if len(b.waiting) > 0 {
		b.requestLease(now)
	}
	for _, w := range rejected {
		b.Counts.Rejected++
		w.decide(Decision{RetryAfter: max(b.retryAt-now, 0)})
	}
}

// LocalStatus is the state of a local budget that operators see, in tokens.
type LocalStatus struct {
	Name          string  `json:"name"`
	Free          float64 `json:"free"`
	Reserved      float64 `json:"reserved"`
	EmergencyUsed float64 `json:"own_in_emergency"`
	OwnerSilent   bool    `json:"keeper_silent"`
	Counts
}

// Status returns the state of the local budget.
func (b *LocalBudget) Status(now time.Duration) LocalStatus {
	return LocalStatus{b.Terms.Name, b.available(now), b.reserved, b.emergencyUsed, b.ownerSilent, b.Counts}
}
