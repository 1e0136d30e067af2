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
type Books struct {
	Purses  []*budget.LocalBudget
	Keepers map[string]*budget.Owner // of the budgets that this dispatcher keeps
	Month   func(now time.Duration) budget.Month

	Account *account.Tracker
	Inquire func(b *Backend, q account.Inquiry, heard func(*account.Reply)) // must not wait; heard is posted to the loop
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
func (l *Loop) Keep(b *Books) {
	l.books = b
	var tend func()
	tend = func() {
		for _, p := range b.Purses {
			p.Tick(l.now)
		}
		if b.Account != nil {
			for _, q := range b.Account.DueInquiries() {
				if box := l.backends[q.Backend]; box != nil {
					b.Inquire(box, q, func(r *account.Reply) { b.Account.HandleReply(q, r) })
				} else {
					b.Account.HandleReply(q, nil)
				}
			}
		}
		l.Wake(tending, tend)
	}
	l.Wake(tending, tend)
}

// pay has a request's worst case set aside in every budget that it falls under, one after the other, then lets it in.
func (l *Loop) pay(a *ClientRequest, enter func()) {
	if l.books == nil || len(l.books.Purses) == 0 {
		enter()
		return
	}
	tokens := float64(a.Ask.Tokens + a.Ask.Most)
	month := l.books.Month(l.now)
	var next func(i int)
	next = func(i int) {
		for i < len(l.books.Purses) && !a.under(l.books.Purses[i].Terms.Name) {
			i++
		}
		if i == len(l.books.Purses) {
			enter()
			return
		}
		p := l.books.Purses[i]
		p.Reserve(l.now, month, tokens, func(v budget.Decision) {
			if v.OK {
				a.paid = append(a.paid, paid{p, tokens, v.Emergency})
			}
			switch {
			case a.answered || a.left: // meanwhile
				a.Request.Over = true
				l.forget(a)
			case !v.OK:
				a.Request.Over, a.unpaid = true, true
				l.answer(a, kserve.Final{Final: kserve.Declined, Error: "the budget of " + p.Terms.Name + " is used up", Harmless: true, AfterMs: v.RetryAfter.Milliseconds()})
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
	return name == a.Channel || name == a.Channel+"/"+a.Grade
}

// settle gives back what a request that is over did not use: what it used is its prompt and what was streamed, once a stream
// had begun or its client left while an attempt was out; attempts that failed are the house's.
func (l *Loop) settle(a *ClientRequest) {
	used := 0.0
	if a.stream != nil || a.left && len(a.Request.Attempts) > 0 {
		used = float64(a.Ask.Tokens) + float64(a.streamed())
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
	case a.stream.Count != nil:
		return int64(a.stream.Count.Answer)
	}
	return a.stream.Streamed.Load()
}

// what names an attempt in the account.
func (f *Attempt) what() ledger.Attempt {
	return ledger.Attempt{Backend: f.Backend.Name, Key: f.Key, Index: f.Planned.Number, RequestID: f.Request.Ask.ID, Tenant: f.Request.Channel, Class: f.Request.Grade,
		Phase:  f.Stage(),
		OutputTokens: int(f.Streamed.Load()), Outcome: "unknown"}
}

// tripOf turns what a backend says into a line of the account.
func tripOf(c kserve.Count) ledger.Attempt {
	return ledger.Attempt{Number: c.Number, Key: c.Key, Index: c.Trip, RequestID: c.Mark, Phase: c.Stage, Tenant: c.Channel, Class: c.Grade, PrefillTokens: c.Read, CachedTokens: c.Kept,
		OutputTokens: c.Answer, Outcome: c.End}
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
	if f.Count != nil {
		t := tripOf(*f.Count)
		count = &t
	}
	l.books.Account.AttemptEnded(f.what(), count, r.Outcome == brain.Unreachable)
}

// accountOver writes a request's end down.
func (l *Loop) accountOver(a *ClientRequest, final, why string) {
	if l.books == nil || l.books.Account == nil {
		return
	}
	l.books.Account.RequestEnded(ledger.Request{Key: l.Key(a), RequestID: a.Ask.ID, Tenant: a.Channel, Class: a.Grade, Outcome: final, PromptTokens: a.Ask.Tokens,
		OutputTokens: int(a.streamed()), Attempts: len(a.Request.Attempts), Reason: why})
}

func (l *Loop) accountListed(b *Backend, gone bool) {
	if l.books != nil && l.books.Account != nil {
		l.books.Account.UpdateBackend(b.Name, gone)
	}
}
