// Package budget decides what each channel may still use: token buckets and monthly allowances over all dispatchers of a
// fleet. One dispatcher keeps a budget and lends of it; the others have purses that they fill from there ahead of need.
// It is free of I/O: messages are handed over, and the time with them. What is proven about overshoot is in
// docs/budgets.md. Begin with Purse, then Keeper.
package budget

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"sloetrestle/brain"
)

const (
	leaseSpan = 3 * time.Second        // of demand, that a purse wants to have ahead
	valid     = 12 * time.Second       // after it was asked for, how long a lease may be used
	idleSpan  = 10 * time.Second       // of demand beyond which a purse gives back
	patience  = 60 * time.Millisecond  // for an answer, before the next ask; a commit to a disk is within it
	silence   = 400 * time.Millisecond // without any, after which the keeper can't be heard
	askEvery  = 50 * time.Millisecond  // at most, of one purse
	renew     = valid / 3
	lookAgain = 5 * time.Second // after the keeper said that there is nothing: somebody may have granted more

	// Emergency is the share of a month's allowance that all dispatchers together may use while they can't hear the keeper;
	// each has an equal part of it. Of a rate each has its equal part of the whole: a rate is there against floods, is not
	// billed, and a keeper that is gone lends none of it.
	Emergency = 0.05

	demandWidth = time.Second // buckets of a purse's demand, of ten
	mostHolders = 1 << 16     // starts of dispatchers in one month that a keeper knows
)

// Terms are what a channel, or a grade of it, has paid for. Negative: no limit of that sort.
type Terms struct {
	Name      string  `json:"name"` // channel, or channel/grade
	PerSecond float64 `json:"tokens_a_second"`
	Burst     float64 `json:"burst"`
	Monthly   float64 `json:"monthly"`
	Borrow    float64 `json:"borrow"` // of the next month's, at most
}

// Month is a wall clock's month, and how far away its end is.
type Month struct {
	Number    int64
	Remaining time.Duration
}

// Ask is a purse's message. Sums only grow, so that a lost, late or repeated message does no harm.
type LeaseRequest struct {
	Name     string
	Holder   string // a dispatcher's start
	Month    int64
	Lent     float64 // all that it has been lent this month, as far as it knows
	Returned float64 // of that, all that it has given back
	Own      float64 // all that it used beside it, while it could not hear the keeper
	Wanted   float64 // more
	Least    float64 // a smaller lease is of no use
	Number   uint64
}

// Lend is the keeper's answer.
type LeaseReply struct {
	Name   string
	Holder string
	Month  int64
	Lent   float64       // in all, this month
	After  time.Duration // where less was lent than wanted: when there may be more
	Number uint64        // of the ask
	Terms  Terms
}

// Keeper is the one that lends of a budget.
type Owner struct {
	Terms Terms
	Write func(what string, month int64, tokens float64, done func()) // makes a sum durable; done is called when it is

	WriteTerms func(t Terms, done func())

	month  Month
	spent  float64 // lent and not given back, this month, and what was used in emergencies
	debt   float64 // of last month
	grant  float64 // added to this month
	stated float64 // up to which spent is durable
	asked  float64 // up to which a write is out
	bucket float64
	filled time.Duration
	by     map[string]*holder
	waits  []func()
}

type holder struct {
	lent, returned, own float64
}

// NewKeeper makes one. spent, debt and grant are what a ledger has of the month.
func NewOwner(t Terms, now time.Duration, m Month, spent, debt, grant float64, write func(string, int64, float64, func())) *Owner {
	return &Owner{Terms: t, Write: write, month: m, spent: spent, debt: debt, grant: grant, stated: spent, asked: spent, bucket: max(t.Burst, 0), filled: now,
		by: map[string]*holder{}}
}

// turn goes on to another month; a clock that steps back turns nothing back.
func (k *Owner) turn(m Month) {
	if m.Number <= k.month.Number {
		k.month.Remaining = m.Remaining
		return
	}
	k.debt = 0
	if k.Terms.Monthly >= 0 && m.Number == k.month.Number+1 {
		k.debt = min(max(k.spent-k.Terms.Monthly-k.grant, 0), max(k.Terms.Borrow, 0))
	}
	k.month, k.spent, k.grant, k.stated, k.asked = m, 0, 0, 0, 0
	k.by = map[string]*holder{}
	k.Write("debt", m.Number, k.debt, nil)
}

// left is what may be lent yet: of the month, and of the bucket.
func (k *Owner) left(now time.Duration) (month, bucket float64) {
	month, bucket = math.Inf(1), math.Inf(1)
	if k.Terms.Monthly >= 0 {
		month = k.Terms.Monthly + k.grant + max(k.Terms.Borrow, 0) - k.debt - k.spent
	}
	if k.Terms.PerSecond >= 0 {
		k.bucket = min(k.bucket+k.Terms.PerSecond*(now-k.filled).Seconds(), max(k.Terms.Burst, 0))
		k.filled = now
		bucket = k.bucket
	}
	return max(month, 0), bucket
}

// Asked takes a message; answer is called when what it lends is durable.
func (k *Owner) HandleRequest(now time.Duration, m Month, a LeaseRequest, answer func(LeaseReply)) {
	k.turn(m)
	if a.Month != k.month.Number { // of another month: it is told which one it is
		answer(LeaseReply{Name: a.Name, Holder: a.Holder, Month: k.month.Number, Number: a.Number, Terms: k.Terms})
		return
	}
	h := k.by[a.Holder]
	if h == nil && len(k.by) >= mostHolders {
		return // as if it had not been heard: that holder has its emergency part
	}
	if h == nil {
		// New here, or this keeper has restarted: what it was lent is in the sum that was made durable.
		h = &holder{lent: a.Lent, returned: a.Returned}
		k.by[a.Holder] = h
	}
	if back := min(a.Returned, h.lent) - h.returned; back > 0 {
		h.returned += back
		k.spent -= back
		if k.Terms.PerSecond >= 0 {
			k.bucket = min(k.bucket+back, max(k.Terms.Burst, 0))
		}
	}
	if more := a.Own - h.own; more > 0 {
		h.own += more
		k.spent += more
		k.bucket -= more
	}
	lend, after := k.lend(now, a)
	h.lent += lend
	k.spent += lend
	k.bucket -= lend
	out := LeaseReply{Name: a.Name, Holder: a.Holder, Month: a.Month, Lent: h.lent, After: after, Number: a.Number, Terms: k.Terms}
	k.settled(func() { answer(out) })
}

// lend decides how much: what is wanted, but while little is left a part only, so that the first to ask doesn't have it all.
func (k *Owner) lend(now time.Duration, a LeaseRequest) (tokens float64, after time.Duration) {
	month, bucket := k.left(now)
	most := min(month, bucket)
	fair := max(most/2, a.Least)
	tokens = min(a.Wanted, fair)
	// Ahead of need nothing is lent of the last little: it is for questions that are there.
	if a.Wanted <= 0 || tokens > most || tokens < a.Least || a.Least == 0 && tokens < a.Wanted/4 {
		tokens = 0
	}
	switch need := max(a.Least, 1); {
	case month-tokens < need && tokens < need:
		after = k.month.Remaining
	case k.Terms.PerSecond > 0 && bucket-tokens < need && tokens < need:
		after = time.Duration((need - bucket) / k.Terms.PerSecond * float64(time.Second))
	case k.Terms.PerSecond == 0 && bucket < need:
		after = k.month.Remaining
	}
	return tokens, max(after, 0)
}

// settled calls do once all that is lent is durable. Sums are made durable ahead, a twentieth of the month's at a time and
// at least what is lent, so that few leases wait for a disk; after a restart that much may be taken for lent that was not.
func (k *Owner) settled(do func()) {
	if k.Terms.Monthly < 0 || k.spent <= k.stated {
		do()
		return
	}
	k.waits = append(k.waits, do)
	if k.spent <= k.asked {
		return
	}
	ahead := min(k.spent+k.Terms.Monthly/200, max(k.Terms.Monthly+k.grant+max(k.Terms.Borrow, 0)-k.debt, k.spent))
	k.asked = ahead
	month := k.month.Number
	k.Write("lent", month, ahead, func() {
		if k.month.Number == month {
			k.stated = max(k.stated, ahead)
		}
		waits := k.waits
		k.waits = nil
		for _, do := range waits {
			k.settled(do)
		}
	})
}

// Grant adds tokens to this month's; Set changes the terms. Both are durable when done is called.
func (k *Owner) Grant(m Month, tokens float64, done func()) {
	k.turn(m)
	k.grant += tokens
	k.Write("grant", k.month.Number, k.grant, done)
}

// Set changes the terms while it runs; what was used stays used.
func (k *Owner) SetTerms(now time.Duration, t Terms, done func()) {
	k.left(now)
	k.Terms = t
	k.bucket = min(k.bucket, max(t.Burst, 0))
	k.WriteTerms(t, done)
}

// Sound tells whether terms, and an ask, make sense: they come from outside.
func (t Terms) Valid() bool {
	return !math.IsNaN(t.PerSecond+t.Monthly) && !math.IsInf(t.PerSecond+t.Monthly, 0) && t.Burst >= 0 && t.Burst < math.MaxInt64 && t.Borrow >= 0 && t.Borrow < math.MaxInt64
}

func (a LeaseRequest) Valid() bool {
	for _, v := range []float64{a.Lent, a.Returned, a.Own, a.Wanted, a.Least} {
		if !(v >= 0 && v < math.MaxInt64) {
			return false
		}
	}
	return a.Returned <= a.Lent && a.Holder != ""
}

// Sound tells the same of an answer. A month is counted from 1970.
func (l LeaseReply) Valid() bool {
	return l.Terms.Valid() && l.Terms.Name == l.Name && l.Lent >= 0 && l.Lent < math.MaxInt64 && l.After >= 0 && l.After <= 366*24*time.Hour &&
		l.Month >= 0 && l.Month < 12*1000
}

// Show is what operators see.
type OwnerStatus struct {
	Name      string  `json:"name"`
	Month     int64   `json:"month"` // since January 1970
	Monthly   float64 `json:"monthly"`
	Granted   float64 `json:"granted"`
	Borrow    float64 `json:"borrow"`
	Debt      float64 `json:"debt"`
	Lent      float64 `json:"lent"` // and not given back: used, or in purses
	Remaining float64 `json:"left"`
	PerSecond float64 `json:"tokens_a_second"`
	Bucket    float64 `json:"bucket"`
	Holders   int     `json:"holders"`
}

// Show tells how it stands.
func (k *Owner) Status(now time.Duration, m Month) OwnerStatus {
	k.turn(m)
	month, bucket := k.left(now)
	unlimited := func(v float64) float64 {
		if math.IsInf(v, 1) {
			return -1
		}
		return v
	}
	return OwnerStatus{k.Terms.Name, k.month.Number, k.Terms.Monthly, k.grant, k.Terms.Borrow, k.debt, k.spent, unlimited(month), k.Terms.PerSecond, unlimited(bucket), len(k.by)}
}

// Keep tells which of n dispatchers keeps a budget: alike at all of them, with no message.
func OwnerIndex(name string, n int) int {
	best, most := 0, uint64(0)
	for i := range n {
		if h := xxhash.Sum64String(fmt.Sprintf("%s %d", name, i)); h > most {
			best, most = i, h
		}
	}
	return best
}

// Purse is one dispatcher's part of a budget.
type LocalBudget struct {
	Terms  Terms
	Holder string
	Of     int                // dispatchers, for its part in an emergency
	Send   func(LeaseRequest) // to the keeper

	// Mark makes durable that the emergency part of a month was begun; done is called when it is. After a restart, Taken says
	// of a month that it was: all of the part then counts as used. nil: nothing outlasts a restart.
	MarkEmergency   func(month int64, done func())
	EmergencyMarked func(month int64) bool

	month           int64
	marked, marking bool

	lent, returned float64
	used, reserved float64 // of what was lent
	own            float64 // used beside, in emergencies
	until          time.Duration
	heard          time.Duration
	sent           time.Duration
	sentAny        bool
	silent         bool // the keeper can't be heard
	number         uint64
	answered       uint64
	waiting        []*want
	emergency      float64 // bucket of a rate, while the keeper is silent
	filled         time.Duration
	demand         brain.RollingSum // tokens
	largest        float64
	after          time.Duration // when there may be more, as the keeper last said
	Counts         Counts
}

// Counts show when a limit acted.
type Counts struct {
	Admitted, Rejected, Waited, EmergencyAdmitted, Asks int64
	Used                                                float64
}

// want is a question that waits for a lease, for the length of a message's way at most.
type want struct {
	tokens float64
	then   func(Decision)
	asked  uint64 // the first ask that it is part of; 0: none yet
}

// Verdict is what becomes of a question's reservation.
type Decision struct {
	OK         bool
	RetryAfter time.Duration // when to come back
	Emergency  bool          // it is paid from the purse's emergency part
}

// NewPurse makes one, with nothing in it.
func NewLocalBudget(t Terms, holder string, of int, m Month, send func(LeaseRequest)) *LocalBudget {
	return &LocalBudget{Terms: t, Holder: holder, Of: max(of, 1), Send: send, month: m.Number, largest: 1, demand: brain.RollingSum{BucketWidth: demandWidth}}
}

// turn goes on to another month: what was lent of the last one is gone.
func (p *LocalBudget) turn(m int64) {
	if m <= p.month {
		return
	}
	p.month, p.marked, p.marking = m, false, false
	p.lent, p.returned, p.used, p.own = 0, 0, 0, 0
	p.lent += p.reserved // what is out goes on, and is not asked of anybody anew
	p.until = 0
}

func (p *LocalBudget) free(now time.Duration) float64 {
	if now >= p.until {
		return 0
	}
	return p.lent - p.returned - p.used - p.reserved
}

func (p *LocalBudget) note(now time.Duration, tokens float64) {
	p.demand.Add(now, tokens)
	p.largest = max(p.largest*0.99, tokens)
}

// Reserve sets a question's worst case aside. then is called at once where the purse has it or nobody will lend it, else when
// the keeper has answered or can't be heard.
func (p *LocalBudget) Reserve(now time.Duration, m Month, tokens float64, then func(Decision)) {
	p.turn(m.Number)
	p.note(now, tokens)
	if p.free(now) >= tokens {
		p.pay(now, tokens, then)
		p.Tick(now)
		return
	}
	if p.silent {
		p.ownPart(now, tokens, then)
		p.Tick(now)
		return
	}
	if now < p.after && now < p.heard+lookAgain { // the keeper has said that there is none before
		p.Counts.Rejected++
		then(Decision{RetryAfter: p.after - now})
		return
	}
	p.Counts.Waited++
	p.waiting = append(p.waiting, &want{tokens: tokens, then: then})
	p.ask(now)
}

func (p *LocalBudget) pay(now time.Duration, tokens float64, then func(Decision)) {
	p.reserved += tokens
	p.Counts.Admitted++
	then(Decision{OK: true})
}

// ownPart pays from this dispatcher's part of the emergency share.
func (p *LocalBudget) ownPart(now time.Duration, tokens float64, then func(Decision)) {
	ok := true
	if p.Terms.Monthly >= 0 && p.MarkEmergency != nil && !p.marked {
		ok = false
		if !p.marking && !p.EmergencyMarked(p.month) {
			p.marking = true
			month := p.month
			p.MarkEmergency(month, func() { p.marked = p.marked || p.month == month })
		}
	} else if p.Terms.Monthly >= 0 {
		ok = p.own+tokens <= Emergency*p.Terms.Monthly/float64(p.Of)
	}
	if p.Terms.PerSecond >= 0 {
		part := p.Terms.PerSecond / float64(p.Of)
		p.emergency = min(p.emergency+part*(now-p.filled).Seconds(), max(10*part, p.largest))
		p.filled = now
		ok = ok && p.emergency >= tokens
	}
	if !ok {
		p.Counts.Rejected++
		then(Decision{RetryAfter: silence})
		return
	}
	p.emergency -= tokens
	p.own += tokens
	p.Counts.EmergencyAdmitted++
	then(Decision{OK: true, Emergency: true})
}

// Settle gives back what of a reservation was not used. A question that was let in ends, whatever the purse has by then: it can
// not use more than its worst case.
func (p *LocalBudget) Settle(reserved, used float64, own bool) {
	used = min(used, reserved)
	p.Counts.Used += used
	if own {
		p.own -= reserved - used
		return
	}
	p.reserved -= reserved
	p.used += used
}

// want is how much more the purse would have, and the least that is of use.
func (p *LocalBudget) want(now time.Duration) (tokens, least float64) {
	queue := 0.0
	for _, w := range p.waiting {
		queue += w.tokens
		if least == 0 {
			least = max(w.tokens-p.free(now), 1)
		}
	}
	target := queue + p.demand.PerSecond(now)*leaseSpan.Seconds()
	if target > 0 {
		target += p.largest
	}
	tokens = max(target-p.free(now), 0)
	return tokens, least
}

// Tend is called now and then: it asks ahead of need, again where nobody answered, and gives back what is idle.
func (p *LocalBudget) Tick(now time.Duration) {
	more, least := p.want(now)
	short := more > 0 && (least > 0 || p.free(now) < p.demand.PerSecond(now)*leaseSpan.Seconds()/2)
	unheard := p.sentAny && p.answered < p.number
	if unheard && now-p.heard > silence && !p.silent {
		p.silent = true
		p.filled = now
	}
	if p.silent || unheard && now-p.sent > silence {
		waiting := p.waiting
		p.waiting = nil
		for _, w := range waiting {
			p.ownPart(now, w.tokens, w.then)
		}
	}
	idle := p.free(now) - p.demand.PerSecond(now)*idleSpan.Seconds() - p.largest
	if idle > 0 && !unheard && p.free(now) > 0 {
		p.returned += idle
		p.ask(now)
		return
	}
	if short && (now >= p.after || least > 0) || p.silent || unheard && now-p.sent >= patience || p.lent > p.returned+p.used && p.until-now < valid-renew {
		p.ask(now)
	}
}

func (p *LocalBudget) ask(now time.Duration) {
	if p.sentAny && now-p.sent < askEvery && p.answered < p.number {
		return // one is on its way
	}
	more, least := p.want(now)
	if p.answered == p.number && !p.silent {
		p.heard = now // it is not silent for having been asked nothing
	}
	p.number++
	for _, w := range p.waiting {
		if w.asked == 0 {
			w.asked = p.number
		}
	}
	p.sent, p.sentAny = now, true
	p.Counts.Asks++
	p.Send(LeaseRequest{Name: p.Terms.Name, Holder: p.Holder, Month: p.month, Lent: p.lent, Returned: p.returned, Own: p.own, Wanted: more, Least: least, Number: p.number})
}

// Lent takes the keeper's answer.
func (p *LocalBudget) HandleReply(now time.Duration, l LeaseReply) {
	p.turn(l.Month)
	p.heard, p.silent = now, false
	p.answered = max(p.answered, l.Number)
	p.Terms = l.Terms
	if l.Month == p.month && l.Lent >= p.lent {
		p.lent = l.Lent
		p.until = max(p.until, p.sent+valid) // from when it was asked for: the way back counts against it
		if l.Number < p.number {
			p.until = max(p.until, now+renew)
		}
	}
	if p.after = 0; l.After > 0 {
		p.after = now + l.After
	}
	for len(p.waiting) > 0 && p.free(now) >= p.waiting[0].tokens {
		w := p.waiting[0]
		p.waiting = p.waiting[1:]
		p.pay(now, w.tokens, w.then)
	}
	waiting := p.waiting
	p.waiting = nil
	var refused []*want
	for _, w := range waiting {
		if w.asked == 0 || w.asked > l.Number {
			p.waiting = append(p.waiting, w)
		} else {
			refused = append(refused, w)
		}
	}
	if len(p.waiting) > 0 {
		p.ask(now)
	}
	for _, w := range refused {
		p.Counts.Rejected++
		w.then(Decision{RetryAfter: max(p.after-now, 0)})
	}
}

// ShowPurse is what operators see of a purse.
type LocalStatus struct {
	Name          string  `json:"name"`
	Free          float64 `json:"free"`
	Reserved      float64 `json:"reserved"`
	EmergencyUsed float64 `json:"own_in_emergency"`
	OwnerSilent   bool    `json:"keeper_silent"`
	Counts
}

func (p *LocalBudget) Status(now time.Duration) LocalStatus {
	return LocalStatus{p.Terms.Name, p.free(now), p.reserved, p.own, p.silent, p.Counts}
}
