package budget

import (
	"time"

	"sloetrestle/scheduler"
)

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

	session         session
	lent, returned  float64 // of the month
	used, reserved  float64 // of the leased tokens
	emergencyUsed   float64 // beside the leased tokens
	emergencyKnown  float64 // of these, those that are durable at the owner
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

// session is the holder's side of what is exchanged with one start of the owner: the month's sums at its beginning.
type session struct {
	number          uint64 // of its first request
	owner           string // epoch
	returnedBefore  float64
	emergencyBefore float64 // durable at the owner
}

// Reservation is what was set aside for a request.
type Reservation struct {
	Tokens    float64
	Month     int64
	Emergency bool // the tokens come from the dispatcher's emergency part
}

// Decision is the result of a reservation.
type Decision struct {
	OK          bool
	RetryAfter  time.Duration
	Reservation Reservation
}

// NewLocalBudget returns an empty local budget.
func NewLocalBudget(terms Terms, holder string, dispatchers int, month Month, send func(LeaseRequest)) *LocalBudget {
	return &LocalBudget{Terms: terms, Holder: holder, Dispatchers: max(dispatchers, 1), Send: send, month: month.Number,
		largestRequest: 1, demand: scheduler.RollingSum{BucketWidth: demandWidth},
		session: session{number: 1, owner: firstContact}}
}

// advanceMonth changes to a later month. Leases of the previous one end; requests that are open count there.
func (b *LocalBudget) advanceMonth(month int64) {
	if month <= b.month {
		return
	}
	b.month, b.emergencyMarked, b.markPending = month, false, false
	b.lent, b.returned, b.used, b.reserved, b.emergencyUsed, b.emergencyKnown = 0, 0, 0, 0, 0, 0
	b.session.returnedBefore, b.session.emergencyBefore = 0, 0
	b.leaseDeadline = 0
}

// beginSession begins a session with a start of the owner that was not known before.
func (b *LocalBudget) beginSession(owner string) {
	b.session = session{
		number: b.lastNumber + 1, owner: owner, returnedBefore: b.returned, emergencyBefore: b.emergencyKnown,
	}
	if owner == "" { // of an older version, which knows the month's sums only
		b.session.returnedBefore, b.session.emergencyBefore = 0, 0
	}
	for _, w := range b.waiting {
		w.firstRequest = 0
	}
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
	decide(Decision{OK: true, Reservation: Reservation{Tokens: tokens, Month: b.month}})
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
	decide(Decision{OK: true, Reservation: Reservation{Tokens: tokens, Month: b.month, Emergency: true}})
}

// Settle returns the unused part of a reservation. An admitted request may end whatever is available by then: it
// cannot use more than its worst case. A reservation of an earlier month counts there, and leaves nothing for this one.
func (b *LocalBudget) Settle(reservation Reservation, used float64) {
	used = min(used, reservation.Tokens)
	b.Counts.Used += used
	switch {
	case reservation.Month != b.month:
	case reservation.Emergency:
		b.emergencyUsed -= reservation.Tokens - used
	default:
		b.reserved -= reservation.Tokens
		b.used += used
	}
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
	b.sendRequest(now)
}

// sendRequest sends a request with the sums of the session.
func (b *LocalBudget) sendRequest(now time.Duration) {
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
	b.Send(LeaseRequest{
		Name: b.Terms.Name, Holder: b.Holder, Month: b.month, Number: b.lastNumber,
		Owner: b.session.owner, Session: b.session.number,
		Lent: b.lent - b.session.returnedBefore, Returned: b.returned - b.session.returnedBefore,
		EmergencyUsed: max(b.emergencyUsed-b.session.emergencyBefore, 0), Wanted: more, Minimum: minimum,
	})
}

// HandleReply processes the owner's reply.
func (b *LocalBudget) HandleReply(now time.Duration, reply LeaseReply) {
	if reply.Session != b.session.number && reply.Owner != "" {
		return // to a request of an earlier session, maybe by an earlier start of the owner
	}
	b.advanceMonth(reply.Month)
	b.lastReply, b.ownerSilent = now, false
	b.answeredNumber = max(b.answeredNumber, reply.Number)
	b.Terms = reply.Terms
	if reply.Owner != b.session.owner {
		b.beginSession(reply.Owner)
		b.sendRequest(now)
		return
	}
	b.acceptLease(now, reply)
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

// acceptLease takes over the sums of a reply that belongs to the session.
func (b *LocalBudget) acceptLease(now time.Duration, reply LeaseReply) {
	lent := b.session.returnedBefore + reply.Lent
	if reply.Month != b.month || lent < b.lent {
		return
	}
	b.lent = lent
	b.emergencyKnown = max(b.emergencyKnown, b.session.emergencyBefore+reply.EmergencyUsed)
	b.leaseDeadline = max(b.leaseDeadline, b.lastSent+leaseValidity) // from the request: the reply's delay counts
	if reply.Number < b.lastNumber {
		b.leaseDeadline = max(b.leaseDeadline, now+renewalTime)
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
