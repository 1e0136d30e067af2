package dispatch

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"os"
	"slices"
	"time"

	"sloetrestle/internal/account"
	"sloetrestle/internal/budget"
	"sloetrestle/internal/kserve"
	"sloetrestle/internal/ledger"
	"sloetrestle/internal/setup"
)

// ledgerHistory is what earlier starts left in the ledger: accounting and budgets continue from it.
type ledgerHistory struct {
	recorded   map[string][]account.RecordedCount // numbers of recorded usage counts, by epoch that is not closed
	openEpochs map[string]bool                    // epochs that are not closed
	totals     map[string]map[int64]monthTotals   // by budget and month
	terms      map[string]budget.Terms            // by budget, where an operator changed them at run time
}

// monthTotals are the totals of one budget in one month, in tokens.
type monthTotals struct {
	leased, debt, granted float64
	emergency             bool // this dispatcher began to use its emergency share
	taken                 bool // this dispatcher took the budget over from its former owners
}

// monthOf returns the UTC month of a wall-clock time, numbered from January 1970.
func monthOf(t time.Time) budget.Month {
	t = t.UTC()
	next := time.Date(t.Year(), t.Month()+1, 1, 0, 0, 0, 0, time.UTC)
	return budget.Month{Number: int64(t.Year()-1970)*12 + int64(t.Month()) - 1, Remaining: next.Sub(t)}
}

// ReadLedgerKey reads the ledger's key from a file, or returns a fixed key if no file is named.
func ReadLedgerKey(file string) (ledger.Key, error) {
	if file == "" {
		return ledger.NewKey([]byte("no key")), nil
	}
	raw, err := os.ReadFile(file)
	if err == nil && len(raw) < 16 {
		err = fmt.Errorf("%s: a key has at least 16 bytes", file)
	}
	return ledger.NewKey(raw), err
}

// openLedger opens the ledger if one is configured, reads its history, and records this start in it. It returns only
// once that record is durable: no attempt may be sent under an epoch that the ledger does not know.
func openLedger(
	config setup.DispatcherConfig, epoch string, startedAt time.Time, log *slog.Logger,
) (*ledger.Recorder, *ledgerHistory, error) {
	history := &ledgerHistory{
		openEpochs: map[string]bool{}, totals: map[string]map[int64]monthTotals{},
		terms: map[string]budget.Terms{}, recorded: map[string][]account.RecordedCount{},
	}
	if config.Ledger.Folder == "" {
		return nil, history, nil
	}
	key, err := ReadLedgerKey(config.Ledger.KeyFile)
	if err != nil {
		return nil, nil, fmt.Errorf("ledger.key: %w", err)
	}
	closed := map[string]bool{}
	journal, err := ledger.Open(config.Ledger.Folder, key, log, func(record ledger.Record) error {
		switch {
		case record.Epoch != nil && record.Epoch.Closed:
			closed[record.Epoch.Name] = true
			delete(history.recorded, record.Epoch.Name)
		case record.Epoch != nil:
			history.openEpochs[record.Epoch.Name] = true
		case record.Attempt != nil && record.Attempt.Confirmed() && !closed[record.Attempt.Epoch]:
			history.recorded[record.Attempt.Epoch] = append(history.recorded[record.Attempt.Epoch],
				account.RecordedCount{Backend: record.Attempt.Backend, Epoch: record.Attempt.Epoch, Number: record.Attempt.Number})
		case record.Budget != nil:
			history.addBudget(record.Budget)
		}
		return nil
	})
	if err != nil {
		return nil, nil, fmt.Errorf("ledger.folder: %w", err)
	}
	for name := range closed {
		delete(history.openEpochs, name)
	}
	go journal.Run()
	durable := make(chan struct{})
	journal.Write(ledger.Record{UnixMilli: startedAt.UnixMilli(), Epoch: &ledger.Epoch{Name: epoch}},
		func() { close(durable) })
	select {
	case <-durable:
	case <-time.After(5 * time.Second):
		return nil, nil, fmt.Errorf("ledger.folder: %s: recording this start took longer than 5 s: %s",
			config.Ledger.Folder, journal.State().DiskError)
	}
	return journal, history, nil
}

// addBudget applies one budget record.
func (h *ledgerHistory) addBudget(record *ledger.Budget) {
	if record.Kind == "set" {
		var terms budget.Terms
		if json.Unmarshal([]byte(record.Terms), &terms) == nil {
			h.terms[record.Name] = terms
		}
		return
	}
	if h.totals[record.Name] == nil {
		h.totals[record.Name] = map[int64]monthTotals{}
	}
	totals := h.totals[record.Name][record.Month]
	switch record.Kind {
	case "lent":
		totals.leased = max(totals.leased, record.Tokens)
	case "debt":
		totals.debt = record.Tokens
	case "own":
		totals.emergency = true
	case "taken":
		totals.taken = true
	case "grant":
		totals.granted = max(totals.granted, record.Tokens)
	}
	h.totals[record.Name][record.Month] = totals
}

// monthTotals returns the totals of a budget in a month. Where the month began while this dispatcher was down, what was
// borrowed in the one before is its debt.
func (h *ledgerHistory) monthTotals(terms budget.Terms, month int64) monthTotals {
	totals := h.totals[terms.Name][month]
	before, ok := h.totals[terms.Name][month-1]
	if ok && totals == (monthTotals{}) && terms.Monthly >= 0 {
		totals.debt = min(max(before.leased-terms.Monthly-before.granted, 0), max(terms.Borrow, 0))
	}
	return totals
}

// ownedLately reports whether this dispatcher owned a budget in a month or in the one before.
func (h *ledgerHistory) ownedLately(name string, month int64) bool {
	for _, totals := range []monthTotals{h.totals[name][month], h.totals[name][month-1]} {
		if totals.leased > 0 || totals.taken {
			return true
		}
	}
	return false
}

// handover returns what a dispatcher that does not own a budget any more tells the new owner.
func (h *ledgerHistory) handover(terms budget.Terms, month int64) budget.HandoverReply {
	totals := h.monthTotals(terms, month)
	reply := budget.HandoverReply{
		Name: terms.Name, Month: month, Lent: totals.leased, Debt: totals.debt, Granted: totals.granted,
	}
	if changed, ok := h.terms[terms.Name]; ok {
		reply.Changed = &changed
	}
	return reply
}

// accountingSetup creates a loop's accounting from the ledger's history.
type accountingSetup struct {
	config    setup.DispatcherConfig
	loop      *Loop
	transport *HTTPTransport
	journal   *ledger.Recorder // nil: there is no ledger
	history   *ledgerHistory
	epoch     string
	startedAt time.Time
}

// newAccounting creates a loop's accounting, or returns nil if there is neither a ledger nor a budget. A budget is owned
// by one dispatcher, which leases tokens to all; the others reach it by peer messages.
func (s accountingSetup) newAccounting() *Accounting {
	if s.journal == nil && len(s.config.Budgets) == 0 {
		return nil
	}
	accounting := &Accounting{
		Month:        func(now time.Duration) budget.Month { return monthOf(s.startedAt.Add(now)) },
		OwnedBudgets: map[string]*budget.Owner{},
	}
	if s.journal != nil {
		oldEpochs := slices.Collect(maps.Keys(s.history.openEpochs))
		recorded := slices.Concat(slices.Collect(maps.Values(s.history.recorded))...)
		accounting.Account = account.New(s.epoch, s.startedAt.UnixMilli(), s.write,
			func() time.Duration { return s.loop.now }, recorded, oldEpochs)
		accounting.FetchUsage = s.transport.FetchUsage
	}
	month := accounting.Month(s.loop.clock())
	for _, configured := range s.config.Budgets {
		terms := configured.TokenLimits()
		if changed, ok := s.history.terms[terms.Name]; ok {
			terms = changed
		}
		owner := budget.OwnerIndex(terms.Name, s.config.Instance.FleetSize)
		if owner == s.config.Instance.Index {
			accounting.OwnedBudgets[terms.Name] = s.newOwner(terms, month)
		}
		accounting.Budgets = append(accounting.Budgets, s.newLocalBudget(accounting, terms, owner, month))
	}
	if s.transport.Peers != nil {
		s.transport.Peers.OnBudget = func(from int, message budgetMessage) { s.handleMessage(accounting, from, message) }
		accounting.AskFormerOwner = func(dispatcher int, request budget.HandoverRequest) {
			s.transport.Peers.SendBudget(dispatcher, budgetMessage{HandoverRequest: &request})
		}
	}
	return accounting
}

// write queues a record; done, if any, is called in the loop once it is durable.
func (s accountingSetup) write(r ledger.Record, done func()) {
	if done == nil {
		s.journal.Write(r, nil)
		return
	}
	s.journal.Write(r, func() { s.loop.Post(done) })
}

// writeBudget queues a record on a budget. Without a ledger nothing outlasts a restart, and done is called at once.
func (s accountingSetup) writeBudget(record ledger.Budget, done func()) {
	if s.journal == nil {
		if done != nil {
			s.loop.Schedule(0, done)
		}
		return
	}
	s.write(ledger.Record{UnixMilli: s.startedAt.UnixMilli() + s.loop.now.Milliseconds(), Budget: &record}, done)
}

// newOwner returns the owner of a budget, which goes on from the ledger. One that has not owned the budget lately waits
// for the sums of those that did while the fleet was smaller.
func (s accountingSetup) newOwner(terms budget.Terms, month budget.Month) *budget.Owner {
	totals := s.history.monthTotals(terms, month.Number)
	owner := budget.NewOwner(terms, s.epoch, s.loop.clock(), month, totals.leased, totals.debt, totals.granted,
		func(kind string, month int64, tokens float64, done func()) {
			s.writeBudget(ledger.Budget{Name: terms.Name, Kind: kind, Month: month, Tokens: tokens}, done)
		})
	owner.WriteTerms = func(terms budget.Terms, done func()) {
		raw, err := json.Marshal(terms)
		if err != nil {
			panic(err) // the fields are strings and checked numbers
		}
		s.writeBudget(ledger.Budget{Name: terms.Name, Kind: "set", Terms: string(raw)}, done)
	}
	if s.journal != nil && terms.Monthly >= 0 && !s.history.ownedLately(terms.Name, month.Number) {
		owner.AwaitHandover(budget.FormerOwners(terms.Name, s.config.Instance.FleetSize))
	}
	return owner
}

// newLocalBudget returns this dispatcher's part of a budget, which reaches the owner with the given number.
func (s accountingSetup) newLocalBudget(
	accounting *Accounting, terms budget.Terms, owner int, month budget.Month,
) *budget.LocalBudget {
	var local *budget.LocalBudget
	local = budget.NewLocalBudget(terms, s.epoch, s.config.Instance.FleetSize, month, func(request budget.LeaseRequest) {
		if owner != s.config.Instance.Index {
			s.transport.Peers.SendBudget(owner, budgetMessage{Request: &request})
			return
		}
		// By a timer, as the local budget is in the middle of a step and must not be called again.
		s.loop.Schedule(0, func() {
			accounting.OwnedBudgets[request.Name].HandleRequest(s.loop.now, accounting.Month(s.loop.now), request,
				func(lease budget.LeaseReply) { local.HandleReply(s.loop.now, lease) })
		})
	})
	if s.journal != nil {
		local.EmergencyMarked = func(month int64) bool { return s.history.totals[terms.Name][month].emergency }
		local.MarkEmergency = func(month int64, done func()) {
			s.writeBudget(ledger.Budget{Name: terms.Name, Kind: "own", Month: month}, done)
		}
	}
	return local
}

// handleMessage handles a message about a budget from another dispatcher. One that is invalid, or that this dispatcher
// can't answer, is counted and dropped.
func (s accountingSetup) handleMessage(accounting *Accounting, from int, message budgetMessage) {
	now, peers := s.loop.now, s.transport.Peers
	switch {
	case message.Request != nil && accounting.OwnedBudgets[message.Request.Name] != nil && message.Request.Valid():
		accounting.OwnedBudgets[message.Request.Name].HandleRequest(now, accounting.Month(now), *message.Request,
			func(lease budget.LeaseReply) { peers.SendBudget(from, budgetMessage{Lease: &lease}) })
		return
	case message.Lease != nil && message.Lease.Holder == s.epoch && message.Lease.Valid():
		for _, local := range accounting.Budgets {
			if local.Terms.Name == message.Lease.Name {
				local.HandleReply(now, *message.Lease)
				return
			}
		}
	case message.HandoverRequest != nil && accounting.OwnedBudgets[message.HandoverRequest.Name] == nil:
		for _, local := range accounting.Budgets {
			if local.Terms.Name == message.HandoverRequest.Name {
				reply := s.history.handover(local.Terms, message.HandoverRequest.Month)
				peers.SendBudget(from, budgetMessage{HandoverReply: &reply})
				return
			}
		}
	case message.HandoverReply != nil && accounting.OwnedBudgets[message.HandoverReply.Name] != nil &&
		message.HandoverReply.Valid():
		accounting.OwnedBudgets[message.HandoverReply.Name].HandleHandover(now, from, *message.HandoverReply)
		return
	}
	peers.Dropped.Add(1)
}

// closeAccount waits until the usage of every attempt is known, at most for the timeout, and closes this start's
// account if it is complete.
func (l *Loop) closeAccount(ctx context.Context, timeout time.Duration) {
	if l.accounting == nil || l.accounting.Account == nil {
		return
	}
	l.Call(ctx, l.accounting.Account.Finish)
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		complete := false
		if !l.Call(ctx, func() { complete = l.accounting.Account.Complete() }) || complete {
			break
		}
	}
	l.Call(ctx, func() { l.accounting.Account.Close() })
}

// BudgetState is what GET /budget reports to operators.
type BudgetState struct {
	Owned   []budget.OwnerStatus `json:"kept"` // budgets that this dispatcher owns
	Budgets []budget.LocalStatus `json:"purses"`
}

// maxGrantTokens bounds one grant.
const maxGrantTokens = 1e15

// BudgetChange is the body of POST /budget, by which an operator changes a budget at the dispatcher that owns it.
// Exactly one of Grant and Set is given.
type BudgetChange struct {
	Name  string        `json:"name"`
	Grant float64       `json:"grant,omitempty"` // tokens to add to this month's allowance
	Set   *budget.Terms `json:"set,omitempty"`
}

// OperatorHandler returns the handler for the operators' addresses: the clients' routes, and GET and POST /budget.
func (s *Server) OperatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", s.Handler())
	mux.HandleFunc("GET /budget", func(w http.ResponseWriter, r *http.Request) {
		var out BudgetState
		s.Loop.Call(r.Context(), func() { out = s.Loop.budgetState() })
		kserve.WriteJSON(w, http.StatusOK, out)
	})
	mux.HandleFunc("POST /budget", func(w http.ResponseWriter, r *http.Request) {
		var change BudgetChange
		dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, 64<<10))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&change); err != nil {
			kserve.WriteError(w, &kserve.RequestError{Status: http.StatusBadRequest, Message: err.Error()})
			return
		}
		done := make(chan error, 1)
		s.Loop.Post(func() { s.Loop.changeBudget(change, func(err error) { done <- err }) })
		select {
		case err := <-done:
			if err != nil {
				kserve.WriteError(w, err)
				return
			}
			w.WriteHeader(http.StatusNoContent)
		case <-time.After(5 * time.Second):
			kserve.WriteError(w, &kserve.RequestError{
				Status: http.StatusServiceUnavailable, Message: "the change is not durable: the ledger's disk fails",
			})
		}
	})
	return mux
}

func (l *Loop) budgetState() (out BudgetState) {
	if l.accounting == nil {
		return out
	}
	for _, local := range l.accounting.Budgets {
		out.Budgets = append(out.Budgets, local.Status(l.now))
		if owner := l.accounting.OwnedBudgets[local.Terms.Name]; owner != nil {
			out.Owned = append(out.Owned, owner.Status(l.now, l.accounting.Month(l.now)))
		}
	}
	return out
}

// changeBudget applies an operator's change. It calls done with nil once the change is durable, or with the reason
// why it is rejected.
func (l *Loop) changeBudget(change BudgetChange, done func(error)) {
	reject := func(field, text string) {
		done(&kserve.RequestError{Status: http.StatusBadRequest, Field: field, Message: text})
	}
	if l.accounting == nil || l.accounting.OwnedBudgets[change.Name] == nil {
		done(&kserve.RequestError{
			Status: http.StatusNotFound, Field: "name",
			Message: fmt.Sprintf("%q is no budget that this dispatcher keeps", change.Name),
		})
		return
	}
	owner := l.accounting.OwnedBudgets[change.Name]
	switch {
	case change.Set != nil && change.Grant != 0:
		reject("set", "grant or set, one at a time")
	case change.Set != nil:
		terms := *change.Set
		terms.Name = change.Name
		if !terms.Valid() {
			reject("set", "has a figure that makes no sense")
			return
		}
		owner.SetTerms(l.now, terms, func() { done(nil) })
	case change.Grant > 0 && change.Grant <= maxGrantTokens:
		owner.Grant(l.accounting.Month(l.now), change.Grant, func() { done(nil) })
	default:
		reject("grant", fmt.Sprintf("must be above 0, and at most %g tokens", float64(maxGrantTokens)))
	}
}
