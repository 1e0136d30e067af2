package dispatch

import (
	"testing"
	"time"

	"sloetrestle/internal/budget"
	"sloetrestle/internal/endpointlist"
	"sloetrestle/internal/kserve"
	"sloetrestle/scheduler"
)

// run advances the clock and runs the timers that come due.
func (f *fakeTransport) run(l *Loop, duration time.Duration) {
	const step = 10 * time.Millisecond
	for end := f.now + duration; f.now < end; {
		f.now += step
		l.RunTimers()
	}
}

// overload submits requests that have an hour for their answers, more than the scheduler sends at once, and returns
// those that it has rejected from its queue after a second. Attempts stay in flight.
func overload(t *testing.T, l *Loop, transport *fakeTransport) (submitted, rejected []*ClientRequest) {
	t.Helper()
	for range 100 {
		submitted = append(submitted, submit(l, time.Hour))
	}
	transport.run(l, time.Second)
	for _, request := range submitted {
		if request.answered && len(request.Scheduled.Attempts) == 0 {
			rejected = append(rejected, request)
		}
	}
	if len(rejected) == 0 || len(transport.attempts) == 0 {
		t.Fatalf("%d requests were rejected from the queue, %d attempts made", len(rejected), len(transport.attempts))
	}
	return submitted, rejected
}

// setState lists backends in another state.
func setState(l *Loop, kind, state string, names ...string) {
	var entries []endpointlist.Endpoint
	for _, name := range names {
		entries = append(entries, listEntry(name, kind, state))
	}
	l.RunTurn(func() { l.UpdateBackends(entries, false) })
}

// Guards against requests that are kept for good once they are rejected from the scheduler's queue, which happens in
// no turn of their own: with each of them memory grew, until the process was killed.
func TestRequestsRejectedFromTheQueueAreForgotten(t *testing.T) {
	l, transport := newTestLoop(t, "idempotent")
	submitted, rejected := overload(t, l, transport)
	if requests, _ := l.Retained(); requests != len(submitted)-len(rejected) {
		t.Errorf("%d of %d requests are kept, and %d of them are rejected", requests, len(submitted), len(rejected))
	}
}

// Guards against the same where a request that was sent before is given up in the turn of an endpoint list.
func TestRequestsGivenUpAtAnEndpointListAreForgotten(t *testing.T) {
	l, transport := newTestLoop(t, "idempotent")
	request := submit(l, time.Hour)
	setState(l, "reader", endpointlist.Draining, "r1", "r2")
	l.RunTurn(func() { l.AttemptEnded(transport.last(), scheduler.Result{Outcome: scheduler.Rejected}) })
	if request.answered {
		t.Fatal("the request does not wait for a prefill backend")
	}
	setState(l, "writer", endpointlist.Draining, "w1", "w2")
	if final := finalAnswer(t, request); final.Outcome != kserve.Rejected {
		t.Errorf("%+v", final)
	}
	if requests, _ := l.Retained(); requests != 0 {
		t.Error("the request is kept after its answer")
	}
}

// Guards against tokens that stay reserved for requests that were rejected from the scheduler's queue: with nothing
// open, the budget rejected every later request.
func TestReservationsOfRequestsRejectedFromTheQueueAreReturned(t *testing.T) {
	l, transport := newTestLoop(t, "idempotent")
	month := budget.Month{Number: 1, Remaining: 24 * time.Hour}
	terms := budget.Terms{Name: "", Monthly: 1e7, PerSecond: -1}
	var local *budget.LocalBudget
	local = budget.NewLocalBudget(terms, "d0", 1, month, func(lease budget.LeaseRequest) {
		l.Schedule(0, func() {
			local.HandleReply(l.now, budget.LeaseReply{
				Month: month.Number, Lent: lease.Lent + lease.Wanted, Number: lease.Number, Terms: terms,
			})
		})
	})
	l.SetAccounting(&Accounting{
		Budgets: []*budget.LocalBudget{local}, Month: func(time.Duration) budget.Month { return month },
	})
	submitted, rejected := overload(t, l, transport)
	params := submitted[0].Params
	open := float64(len(submitted)-len(rejected)) * float64(params.PromptTokens+params.MaxTokens)
	if reserved := local.Status(l.now).Reserved; reserved != open {
		t.Errorf("%.0f tokens are reserved, the requests without an answer need %.0f", reserved, open)
	}
}

// Guards against timers that keep what a request held until its deadline, which its client sets: with an hour for each
// answer, the timers of rejected requests grew until the process was killed for its memory.
func TestTimersOfFinishedRequestsAreCancelled(t *testing.T) {
	l, transport := newTestLoop(t, "idempotent")
	_, periodic := l.Retained()
	submitted, _ := overload(t, l, transport)
	for i := 0; i < len(transport.attempts); i++ { // each end may start another attempt
		attempt := transport.attempts[i]
		if attempt.Scheduled.Stage == scheduler.StagePrefill {
			l.RunTurn(func() { l.AttemptEnded(attempt, scheduler.Result{Outcome: scheduler.Prefilled}) })
			continue
		}
		l.RunTurn(func() { l.AttemptBegan(attempt) })
		l.RunTurn(func() { l.AttemptEnded(attempt, scheduler.Result{Outcome: scheduler.Served}) })
	}
	transport.run(l, 2*time.Second) // for the scheduler's timers
	for _, request := range submitted {
		if !request.answered {
			t.Fatal("a request has no answer")
		}
	}
	if requests, timers := l.Retained(); requests != 0 || timers != periodic {
		t.Errorf("%d requests and %d timers are kept, at rest there are %d timers", requests, timers, periodic)
	}
}
