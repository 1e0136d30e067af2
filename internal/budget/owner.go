package budget

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Owner leases out the tokens of one budget.
type Owner struct {
	Terms Terms
	Epoch string                                                      // of this start of the owner's dispatcher
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
	handover   handover
}

// holder holds the sums of a local budget's session with this start of the owner.
type holder struct {
	lastNumber                    uint64 // of the requests handled
	lent, returned, emergencyUsed float64
}

// NewOwner returns the owner of a budget. epoch names this start of its dispatcher. spent, debt and grant are the sums of
// the month in the ledger. The bucket of a rate limit is empty at first: a start before may have leased all of it.
func NewOwner(terms Terms, epoch string, now time.Duration, month Month, spent, debt, grant float64,
	write func(string, int64, float64, func())) *Owner {
	return &Owner{Terms: terms, Epoch: epoch, Write: write, month: month, spent: spent, debt: debt, grant: grant,
		durable: spent, pending: spent, refilledAt: now, holders: map[string]*holder{}}
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
	if o.AwaitsHandover() {
		return
	}
	reply := LeaseReply{Name: request.Name, Holder: request.Holder, Month: o.month.Number, Number: request.Number,
		Terms: o.Terms, Owner: o.Epoch, Session: request.Session}
	if request.Month != o.month.Number || !o.knows(request) {
		answer(reply) // the holder learns the month and the owner's epoch from it
		return
	}
	entry := o.holder(request)
	if entry == nil || request.Number <= entry.lastNumber {
		return // without a reply the holder uses its part of the emergency share; a repeated request has its reply
	}
	entry.lastNumber = request.Number
	o.settle(entry, request)
	tokens, after := o.lease(now, request)
	entry.lent += tokens
	o.spent += tokens
	o.bucket -= tokens
	reply.Lent, reply.RetryAfter, reply.EmergencyUsed = entry.lent, after, entry.emergencyUsed
	o.whenDurable(func() { answer(reply) })
}

// knows reports whether a request belongs to a session with this start of the owner. One that was meant for an earlier
// start tells sums that the durable sum may hold already. Holders of older versions have no sessions.
func (o *Owner) knows(request LeaseRequest) bool {
	return request.Owner == o.Epoch || !request.hasSession()
}

// holder returns the sums of the request's session, which is the only one of its holder with this start of the owner, or
// nil if there are too many holders. What the holder brings to a session is in the durable sum.
func (o *Owner) holder(request LeaseRequest) *holder {
	entry := o.holders[request.Holder]
	if entry == nil && len(o.holders) < maxHolders {
		entry = &holder{lent: request.Lent}
		o.holders[request.Holder] = entry
	}
	return entry
}

// settle counts what a holder has returned and used in emergencies since its request before.
func (o *Owner) settle(entry *holder, request LeaseRequest) {
	if !request.hasSession() {
		// Whether an earlier start of the owner counted what an older version returned is not known.
		entry.returned = max(entry.returned, request.Returned)
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
	Awaited   int     `json:"former_owners_awaited"` // that have to tell their sums before anything is leased
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
		orUnlimited(month), o.Terms.PerSecond, orUnlimited(bucket), len(o.holders),
		len(o.handover.awaited)}
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
