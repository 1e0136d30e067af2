package dispatch

import (
	"time"

	"sloetrestle/internal/account"
	"sloetrestle/internal/budget"
	"sloetrestle/internal/kserve"
	"sloetrestle/internal/ledger"
	"sloetrestle/scheduler"
)

// Accounting is a loop's accounting: token budgets, in which a request must find free capacity before the scheduler
// sees it, and the account of what its attempts cost. Either may be missing.
type Accounting struct {
	Budgets      []*budget.LocalBudget    // this dispatcher's part of every budget
	OwnedBudgets map[string]*budget.Owner // by name, the budgets that this dispatcher owns
	Month        func(now time.Duration) budget.Month
	// AskFormerOwner sends a request for the sums of a budget to a dispatcher that may have owned it.
	AskFormerOwner func(dispatcher int, request budget.HandoverRequest)

	Account *account.Tracker
	// FetchUsage fetches usage counts from a backend. It must not block; received is posted to the loop, with nil if the
	// backend could not be reached.
	FetchUsage func(backend *Backend, inquiry account.Inquiry, received func(*account.Reply))
}

// accountingInterval is the time between two runs of the periodic work on budgets and the account.
const accountingInterval = 50 * time.Millisecond

// reservation is a request's worst case, set aside in one budget.
type reservation struct {
	budget *budget.LocalBudget
	budget.Reservation
}

// askFormerOwners asks for the sums that owned budgets wait for.
func (a *Accounting) askFormerOwners(now time.Duration) {
	for _, owner := range a.OwnedBudgets {
		request, from := owner.DueHandover(now, a.Month(now))
		for _, dispatcher := range from {
			a.AskFormerOwner(dispatcher, request)
		}
	}
}

// SetAccounting gives the loop its accounting and starts the periodic work on it.
func (l *Loop) SetAccounting(accounting *Accounting) {
	l.accounting = accounting
	var tick func()
	tick = func() {
		for _, local := range accounting.Budgets {
			local.Tick(l.now)
		}
		accounting.askFormerOwners(l.now)
		if accounting.Account != nil {
			for _, inquiry := range accounting.Account.DueInquiries() {
				if backend := l.backends[inquiry.Backend]; backend != nil {
					accounting.FetchUsage(backend, inquiry, func(reply *account.Reply) {
						accounting.Account.HandleReply(inquiry, reply)
					})
				} else {
					accounting.Account.HandleReply(inquiry, nil)
				}
			}
		}
		l.Schedule(accountingInterval, tick)
	}
	l.Schedule(accountingInterval, tick)
}

// reserveBudgets sets a request's worst case aside in every budget that covers it, one after the other, and then calls
// submit. A reservation may have to wait for a lease; if one is refused, the request is rejected.
func (l *Loop) reserveBudgets(request *ClientRequest, submit func()) {
	if l.accounting == nil || len(l.accounting.Budgets) == 0 {
		submit()
		return
	}
	tokens := float64(request.Params.PromptTokens + request.Params.MaxTokens)
	month := l.accounting.Month(l.now)
	var reserveFrom func(i int)
	reserveFrom = func(i int) {
		for i < len(l.accounting.Budgets) && !request.coveredBy(l.accounting.Budgets[i].Terms.Name) {
			i++
		}
		if i == len(l.accounting.Budgets) {
			submit()
			return
		}
		local := l.accounting.Budgets[i]
		local.Reserve(l.now, month, tokens, func(verdict budget.Decision) {
			if verdict.OK {
				request.reservations = append(request.reservations, reservation{local, verdict.Reservation})
			}
			switch {
			case request.answered || request.disconnected: // while the reservation waited for a lease
				request.Scheduled.Finished = true
				l.forgetIfOver(request)
			case !verdict.OK:
				request.Scheduled.Finished, request.overBudget = true, true
				l.answer(request, kserve.FinalResponse{
					Outcome: kserve.Rejected, Error: "the budget of " + local.Terms.Name + " is used up",
					SafeToRetry: true, RetryAfterMs: verdict.RetryAfter.Milliseconds(),
				})
			default:
				reserveFrom(i + 1)
			}
		})
	}
	reserveFrom(0)
}

// coveredBy tells whether a request counts against the budget of that name: its tenant's, or its class's there.
func (c *ClientRequest) coveredBy(name string) bool {
	return name == c.Tenant || name == c.Tenant+"/"+c.Class
}

// settleBudgets returns to the budgets what a finished request reserved and did not use. It used its prompt and the
// tokens streamed if a stream had begun, or if its client left after an attempt was sent. Attempts that failed are not
// charged to the tenant.
func (l *Loop) settleBudgets(request *ClientRequest) {
	used := 0.0
	if request.streaming != nil || request.disconnected && len(request.Scheduled.Attempts) > 0 {
		used = float64(request.Params.PromptTokens) + float64(request.streamedTokens())
	}
	for _, r := range request.reservations {
		r.budget.Settle(r.Reservation, used)
	}
	request.reservations = nil
}

// streamedTokens returns the tokens of the answer that have arrived: as the backend counted them, if it has said so.
func (c *ClientRequest) streamedTokens() int64 {
	switch {
	case c.streaming == nil:
		return 0
	case c.streaming.Usage != nil:
		return int64(c.streaming.Usage.OutputTokens)
	}
	return c.streaming.StreamedTokens.Load()
}

// usageRecord returns the attempt's record for the account, before its backend's count is known.
func (a *Attempt) usageRecord() ledger.Attempt {
	return ledger.Attempt{
		Backend: a.Backend.Name, Key: a.RequestKey, Index: a.Scheduled.Number, RequestID: a.Request.Params.ID,
		Tenant: a.Request.Tenant, Class: a.Request.Class, Phase: a.Stage(),
		OutputTokens: int(a.StreamedTokens.Load()), Outcome: "unknown",
	}
}

// countedRecord converts a backend's usage count to a record for the account.
func countedRecord(count kserve.UsageRecord) ledger.Attempt {
	return ledger.Attempt{
		Number: count.Number, Key: count.RequestKey, Index: count.Attempt, RequestID: count.DedupKey, Phase: count.Phase,
		Tenant: count.Tenant, Class: count.Class, PrefillTokens: count.PrefillTokens, CachedTokens: count.CachedTokens,
		OutputTokens: count.OutputTokens, Outcome: count.EndReason,
	}
}

// accountSent tells the account that an attempt is sent.
func (l *Loop) accountSent(attempt *Attempt) {
	if l.accounting != nil && l.accounting.Account != nil {
		l.accounting.Account.AttemptSent(attempt.usageRecord())
	}
}

// accountEnded tells the account that an attempt has ended, with the backend's count if it came with the answer.
func (l *Loop) accountEnded(attempt *Attempt, result scheduler.Result) {
	if l.accounting == nil || l.accounting.Account == nil {
		return
	}
	var count *ledger.Attempt
	if attempt.Usage != nil {
		counted := countedRecord(*attempt.Usage)
		count = &counted
	}
	l.accounting.Account.AttemptEnded(attempt.usageRecord(), count, result.Outcome == scheduler.Unreachable)
}

// accountRequest records a request's end.
func (l *Loop) accountRequest(request *ClientRequest, final, reason string) {
	if l.accounting == nil || l.accounting.Account == nil {
		return
	}
	l.accounting.Account.RequestEnded(ledger.Request{
		Key: l.RequestKey(request), RequestID: request.Params.ID, Tenant: request.Tenant, Class: request.Class,
		Outcome: final, PromptTokens: request.Params.PromptTokens, OutputTokens: int(request.streamedTokens()),
		Attempts: len(request.Scheduled.Attempts), Reason: reason,
	})
}

// accountListed tells the account whether service discovery lists a backend or has removed it.
func (l *Loop) accountListed(backend *Backend, removed bool) {
	if l.accounting != nil && l.accounting.Account != nil {
		l.accounting.Account.UpdateBackend(backend.Name, removed)
	}
}
