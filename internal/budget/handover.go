package budget

import "time"

// handoverRetry is the time between two requests for a former owner's sums.
const handoverRetry = 200 * time.Millisecond

// HandoverRequest asks a dispatcher that may have owned a budget, while the fleet was smaller, for its sums of a month.
type HandoverRequest struct {
	Name  string
	Month int64
}

// HandoverReply tells the sums of a month in the ledger of a dispatcher that does not own the budget any more.
type HandoverReply struct {
	Name    string
	Month   int64
	Lent    float64
	Debt    float64
	Granted float64
	Changed *Terms `cbor:"Changed,omitempty"` // where an operator has changed the terms
}

// Valid reports whether a reply that came over a network is plausible.
func (r HandoverReply) Valid() bool {
	return validTokens(r.Lent, r.Debt, r.Granted) &&
		(r.Changed == nil || r.Changed.Valid() && r.Changed.Name == r.Name)
}

// FormerOwners returns the dispatchers that owned a budget of a fleet of n dispatchers while it was smaller.
func FormerOwners(name string, n int) (former []int) {
	owner := OwnerIndex(name, n)
	for size := n - 1; size > 0; size-- {
		if before := OwnerIndex(name, size); before != owner {
			former, owner = append(former, before), before
		}
	}
	return former
}

// handover is what an owner still has to learn before it may lease: the sums of those that owned the budget before.
type handover struct {
	awaited map[int]bool
	nextAsk time.Duration
	lent    float64 // largest sum that was told: each owner went on from the sum of the one before
}

// AwaitHandover has the owner lease nothing until the former owners have told their sums. Without a reply holders use
// their emergency parts.
func (o *Owner) AwaitHandover(from []int) {
	o.handover.awaited = map[int]bool{}
	for _, dispatcher := range from {
		o.handover.awaited[dispatcher] = true
	}
}

// AwaitsHandover reports whether the owner may not lease yet.
func (o *Owner) AwaitsHandover() bool { return len(o.handover.awaited) > 0 }

// DueHandover returns the former owners that have to be asked now.
func (o *Owner) DueHandover(now time.Duration, month Month) (request HandoverRequest, from []int) {
	o.advanceMonth(month)
	if !o.AwaitsHandover() || now < o.handover.nextAsk {
		return request, nil
	}
	o.handover.nextAsk = now + handoverRetry
	for dispatcher := range o.handover.awaited {
		from = append(from, dispatcher)
	}
	return HandoverRequest{Name: o.Terms.Name, Month: o.month.Number}, from
}

// HandleHandover takes over the sums of a former owner.
func (o *Owner) HandleHandover(now time.Duration, from int, reply HandoverReply) {
	if !o.handover.awaited[from] || reply.Month != o.month.Number {
		return
	}
	delete(o.handover.awaited, from)
	if reply.Lent >= o.handover.lent && reply.Changed != nil {
		o.SetTerms(now, *reply.Changed, nil)
	}
	o.handover.lent = max(o.handover.lent, reply.Lent)
	if reply.Debt > o.debt {
		o.debt = reply.Debt
		o.Write("debt", o.month.Number, o.debt, nil)
	}
	if reply.Granted > o.grant {
		o.Grant(o.month, reply.Granted-o.grant, nil)
	}
	if o.AwaitsHandover() {
		return
	}
	o.spent = max(o.spent, o.handover.lent)
	o.Write("taken", o.month.Number, 0, nil)
}
