package dispatch

import (
	"time"

	"sloetrestle/brain"
	"sloetrestle/internal/account"
	"sloetrestle/internal/budget"
	"sloetrestle/internal/kserve"
	"sloetrestle/internal/ledger"
)

// Books are what a loop has of costs, in front of the module and beside it: budgets, which a request has to have room in
// before the module sees it, and the account of what its attempts cost. Either may be missing.
type Accounting struct {
	Budgets      []*budget.LocalBudget
	OwnedBudgets map[string]*budget.Owner // of the budgets that this dispatcher keeps
	Month        func(now time.Duration) budget.Month

	Account    *account.Tracker
	FetchUsage func(b *Backend, q account.Inquiry, heard func(*account.Reply)) // must not wait; heard is posted to the loop
}

// tending is how often purses and the account are looked after.
const tending = 50 * time.Millisecond

// paid is one reservation of a request.
type paid struct {
	purse  *budget.LocalBudget
	tokens float64
	own    bool
}

// Keep gives the loop its books.
func (l *Loop) SetAccounting(b *Accounting) {
	l.books = b
	var tend func()
	tend = func() {
		for _, p := range b.Budgets {
			p.Tick(l.now)
		}
		if b.Account != nil {
			for _, q := range b.Account.DueInquiries() {
				if box := l.backends[q.Backend]; box != nil {
					b.FetchUsage(box, q, func(r *account.Reply) { b.Account.HandleReply(q, r) })
				} else {
					b.Account.HandleReply(q, nil)
				}
			}
		}
		l.Schedule(tending, tend)
	}
	l.Schedule(tending, tend)
}

// pay has a request's worst case set aside in every budget that it falls under, one after the other, then lets it in.
func (l *Loop) pay(a *ClientRequest, enter func()) {
	if l.books == nil || len(l.books.Budgets) == 0 {
		enter()
		return
	}
	tokens := float64(a.Params.PromptTokens + a.Params.MaxTokens)
	month := l.books.Month(l.now)
	var next func(i int)
	next = func(i int) {
		for i < len(l.books.Budgets) && !a.under(l.books.Budgets[i].Terms.Name) {
			i++
		}
		if i == len(l.books.Budgets) {
			enter()
			return
		}
		p := l.books.Budgets[i]
		p.Reserve(l.now, month, tokens, func(v budget.Decision) {
			if v.OK {
				a.paid = append(a.paid, paid{p, tokens, v.Emergency})
			}
			switch {
			case a.answered || a.left: // meanwhile
				a.Scheduled.Finished = true
				l.forget(a)
			case !v.OK:
				a.Scheduled.Finished, a.unpaid = true, true
				l.answer(a, kserve.FinalResponse{Outcome: kserve.Rejected, Error: "the budget of " + p.Terms.Name + " is used up", SafeToRetry: true, RetryAfterMs: v.RetryAfter.Milliseconds()})
				l.forget(a)
			default:
				next(i + 1)
			}
		})
	}
	next(0)
}

// under tells whether a request falls under a budget.
func (a *ClientRequest) under(name string) bool {
	return name == a.Tenant || name == a.Tenant+"/"+a.Class
}

// settle gives back what a request that is over did not use: what it used is its prompt and what was streamed, once a stream
// had begun or its client left while an attempt was out; attempts that failed are the house's.
func (l *Loop) settle(a *ClientRequest) {
	used := 0.0
	if a.stream != nil || a.left && len(a.Scheduled.Attempts) > 0 {
		used = float64(a.Params.PromptTokens) + float64(a.streamed())
	}
	for _, r := range a.paid {
		r.purse.Settle(r.tokens, used, r.own)
	}
	a.paid = nil
}

// streamed is how many tokens of an answer have come.
func (a *ClientRequest) streamed() int64 {
	switch {
	case a.stream == nil:
		return 0
	case a.stream.Usage != nil:
		return int64(a.stream.Usage.OutputTokens)
	}
	return a.stream.StreamedTokens.Load()
}

// what names an attempt in the account.
func (f *Attempt) what() ledger.Attempt {
	return ledger.Attempt{Backend: f.Backend.Name, Key: f.RequestKey, Index: f.Scheduled.Number, RequestID: f.Request.Params.ID, Tenant: f.Request.Tenant, Class: f.Request.Class,
		Phase:        f.Stage(),
		OutputTokens: int(f.StreamedTokens.Load()), Outcome: "unknown"}
}

// tripOf turns what a backend says into a line of the account.
func tripOf(c kserve.UsageRecord) ledger.Attempt {
	return ledger.Attempt{Number: c.Number, Key: c.RequestKey, Index: c.Attempt, RequestID: c.DedupKey, Phase: c.Phase, Tenant: c.Tenant, Class: c.Class, PrefillTokens: c.PrefillTokens, CachedTokens: c.CachedTokens,
		OutputTokens: c.OutputTokens, Outcome: c.EndReason}
}

// accountSent and accountEnded tell the account of an attempt.
func (l *Loop) accountSent(f *Attempt) {
	if l.books != nil && l.books.Account != nil {
		l.books.Account.AttemptSent(f.what())
	}
}

func (l *Loop) accountEnded(f *Attempt, r brain.Result) {
	if l.books == nil || l.books.Account == nil {
		return
	}
	var count *ledger.Attempt
	if f.Usage != nil {
		t := tripOf(*f.Usage)
		count = &t
	}
	l.books.Account.AttemptEnded(f.what(), count, r.Outcome == brain.Unreachable)
}

// accountOver writes a request's end down.
func (l *Loop) accountOver(a *ClientRequest, final, why string) {
	if l.books == nil || l.books.Account == nil {
		return
	}
	l.books.Account.RequestEnded(ledger.Request{Key: l.RequestKey(a), RequestID: a.Params.ID, Tenant: a.Tenant, Class: a.Class, Outcome: final, PromptTokens: a.Params.PromptTokens,
		OutputTokens: int(a.streamed()), Attempts: len(a.Scheduled.Attempts), Reason: why})
}

func (l *Loop) accountListed(b *Backend, gone bool) {
	if l.books != nil && l.books.Account != nil {
		l.books.Account.UpdateBackend(b.Name, gone)
	}
}
