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

// past is what a ledger says when it is opened: what the account and the budgets go on from.
type past struct {
	seen  map[string][]account.RecordedCount // counts, by epochs that are not closed
	open  map[string]bool                    // epochs that are not closed
	sums  map[string]map[int64]sums          // by budget and month
	terms map[string]budget.Terms            // set while running
}

// sums are of one budget and month.
type sums struct {
	lent, debt, grant float64
	own               bool // the emergency part was begun
}

// monthOf is a wall clock's month in UTC.
func monthOf(t time.Time) budget.Month {
	t = t.UTC()
	next := time.Date(t.Year(), t.Month()+1, 1, 0, 0, 0, 0, time.UTC)
	return budget.Month{Number: int64(t.Year()-1970)*12 + int64(t.Month()) - 1, Remaining: next.Sub(t)}
}

// LedgerKey is the key of a file, or the fixed one where none is named.
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

// openBooks opens the ledger, if there is one, and makes this start known in it before anything is sent.
func openBooks(d setup.DispatcherConfig, epoch string, began time.Time, log *slog.Logger) (*ledger.Recorder, *past, error) {
	p := &past{open: map[string]bool{}, sums: map[string]map[int64]sums{}, terms: map[string]budget.Terms{}, seen: map[string][]account.RecordedCount{}}
	if d.Ledger.Folder == "" {
		return nil, p, nil
	}
	key, err := ReadLedgerKey(d.Ledger.KeyFile)
	if err != nil {
		return nil, nil, fmt.Errorf("ledger.key: %w", err)
	}
	closed := map[string]bool{}
	book, err := ledger.Open(d.Ledger.Folder, key, log, func(r ledger.Record) error {
		switch {
		case r.Epoch != nil && r.Epoch.Closed:
			closed[r.Epoch.Name] = true
			delete(p.seen, r.Epoch.Name)
		case r.Epoch != nil:
			p.open[r.Epoch.Name] = true
		case r.Attempt != nil && r.Attempt.Confirmed() && !closed[r.Attempt.Epoch]:
			p.seen[r.Attempt.Epoch] = append(p.seen[r.Attempt.Epoch], account.RecordedCount{Backend: r.Attempt.Backend, Epoch: r.Attempt.Epoch, Number: r.Attempt.Number})
		case r.Budget != nil:
			p.take(r.Budget)
		}
		return nil
	})
	if err != nil {
		return nil, nil, fmt.Errorf("ledger.folder: %w", err)
	}
	for name := range closed {
		delete(p.open, name)
	}
	go book.Run()
	durable := make(chan struct{})
	book.Write(ledger.Record{UnixMilli: began.UnixMilli(), Epoch: &ledger.Epoch{Name: epoch}}, func() { close(durable) })
	select {
	case <-durable:
	case <-time.After(5 * time.Second):
		return nil, nil, fmt.Errorf("ledger.folder: %s: this start could not be written down: %s", d.Ledger.Folder, book.State().DiskError)
	}
	return book, p, nil
}

func (p *past) take(b *ledger.Budget) {
	if b.Kind == "set" {
		var t budget.Terms
		if json.Unmarshal([]byte(b.Terms), &t) == nil {
			p.terms[b.Name] = t
		}
		return
	}
	if p.sums[b.Name] == nil {
		p.sums[b.Name] = map[int64]sums{}
	}
	s := p.sums[b.Name][b.Month]
	switch b.Kind {
	case "lent":
		s.lent = max(s.lent, b.Tokens)
	case "debt":
		s.debt = b.Tokens
	case "own":
		s.own = true
	case "grant":
		s.grant = max(s.grant, b.Tokens)
	}
	p.sums[b.Name][b.Month] = s
}

// newBooks makes what a loop keeps; nil: there is neither a ledger nor a budget.
func newBooks(d setup.DispatcherConfig, l *Loop, trips *HTTPTransport, book *ledger.Recorder, was *past, epoch string, began time.Time) *Accounting {
	if book == nil && len(d.Budgets) == 0 {
		return nil
	}
	b := &Accounting{Month: func(now time.Duration) budget.Month { return monthOf(began.Add(now)) }, OwnedBudgets: map[string]*budget.Owner{}}
	write := func(r ledger.Record, done func()) {
		if done == nil {
			book.Write(r, nil)
			return
		}
		book.Write(r, func() { l.Post(done) })
	}
	if book != nil {
		old := slices.Collect(maps.Keys(was.open))
		seen := slices.Concat(slices.Collect(maps.Values(was.seen))...)
		b.Account = account.New(epoch, began.UnixMilli(), write, func() time.Duration { return l.now }, seen, old)
		b.FetchUsage = trips.FetchUsage
	}
	now := l.since()
	month := b.Month(now)
	sends := map[string]func(budget.LeaseRequest){}
	for _, of := range d.Budgets {
		t := of.TokenLimits()
		if set, ok := was.terms[t.Name]; ok {
			t = set
		}
		at := budget.OwnerIndex(t.Name, d.Instance.FleetSize)
		if at == d.Instance.Index {
			record := func(what string, month int64, tokens float64, done func()) {
				if book == nil {
					if done != nil {
						l.Schedule(0, done)
					}
					return
				}
				write(ledger.Record{UnixMilli: began.UnixMilli() + l.now.Milliseconds(), Budget: &ledger.Budget{Name: t.Name, Kind: what, Month: month, Tokens: tokens}}, done)
			}
			s := was.sums[t.Name][month.Number]
			if before, ok := was.sums[t.Name][month.Number-1]; ok && was.sums[t.Name][month.Number] == (sums{}) && t.Monthly >= 0 {
				s.debt = min(max(before.lent-t.Monthly-before.grant, 0), max(t.Borrow, 0))
			}
			k := budget.NewOwner(t, now, month, s.lent, s.debt, s.grant, record)
			k.WriteTerms = func(t budget.Terms, done func()) {
				raw, err := json.Marshal(t)
				if err != nil {
					panic(err) // plain fields
				}
				if book == nil {
					l.Schedule(0, done)
					return
				}
				write(ledger.Record{UnixMilli: began.UnixMilli() + l.now.Milliseconds(), Budget: &ledger.Budget{Name: t.Name, Kind: "set", Terms: string(raw)}}, done)
			}
			b.OwnedBudgets[t.Name] = k
		}
		p := budget.NewLocalBudget(t, epoch, d.Instance.FleetSize, month, func(a budget.LeaseRequest) { sends[a.Name](a) })
		if book != nil {
			p.EmergencyMarked = func(month int64) bool { return was.sums[t.Name][month].own }
			p.MarkEmergency = func(month int64, done func()) {
				write(ledger.Record{UnixMilli: began.UnixMilli() + l.now.Milliseconds(), Budget: &ledger.Budget{Name: t.Name, Kind: "own", Month: month}}, done)
			}
		}
		sends[t.Name] = func(a budget.LeaseRequest) {
			if at == d.Instance.Index {
				// Never in the middle of the purse's own step.
				l.Schedule(0, func() {
					b.OwnedBudgets[a.Name].HandleRequest(l.now, b.Month(l.now), a, func(w budget.LeaseReply) { p.HandleReply(l.now, w) })
				})
				return
			}
			trips.Peers.SendBudget(at, budgetWord{Ask: &a})
		}
		b.Budgets = append(b.Budgets, p)
	}
	if trips.Peers != nil {
		trips.Peers.OnBudget = func(from int, w budgetWord) {
			switch {
			case w.Ask != nil && b.OwnedBudgets[w.Ask.Name] != nil && w.Ask.Valid():
				b.OwnedBudgets[w.Ask.Name].HandleRequest(l.now, b.Month(l.now), *w.Ask, func(lend budget.LeaseReply) { trips.Peers.SendBudget(from, budgetWord{Lend: &lend}) })
			case w.Lend != nil && w.Lend.Holder == epoch && w.Lend.Valid():
				if i := slices.IndexFunc(b.Budgets, func(p *budget.LocalBudget) bool { return p.Terms.Name == w.Lend.Name }); i >= 0 {
					b.Budgets[i].HandleReply(l.now, *w.Lend)
					return
				}
				trips.Peers.Dropped.Add(1)
			default:
				trips.Peers.Dropped.Add(1)
			}
		}
	}
	return b
}

// settleAccount waits until the cost of every attempt is known, or for so long, and closes the account of this start if it is whole.
func (l *Loop) settleAccount(ctx context.Context, most time.Duration) {
	if l.books == nil || l.books.Account == nil {
		return
	}
	l.Call(ctx, l.books.Account.Finish)
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		whole := false
		if !l.Call(ctx, func() { whole = l.books.Account.Complete() }) || whole {
			break
		}
	}
	l.Call(ctx, func() { l.books.Account.Close() })
}

// BudgetState is what operators see of budgets at one dispatcher.
type BudgetState struct {
	Owned   []budget.OwnerStatus `json:"kept"` // here
	Budgets []budget.LocalStatus `json:"purses"`
}

// mostGrant bounds one grant.
const mostGrant = 1e15

// BudgetChange is what operators ask of a budget's keeper.
type BudgetChange struct {
	Name  string        `json:"name"`
	Grant float64       `json:"grant,omitempty"` // tokens, for this month
	Set   *budget.Terms `json:"set,omitempty"`
}

// Operators is the handler of the operators' addresses: all that clients have, and changes.
func (s *Server) OperatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", s.Handler())
	mux.HandleFunc("GET /budget", func(w http.ResponseWriter, r *http.Request) {
		var out BudgetState
		s.Loop.Call(r.Context(), func() { out = s.Loop.budgets() })
		kserve.WriteJSON(w, http.StatusOK, out)
	})
	mux.HandleFunc("POST /budget", func(w http.ResponseWriter, r *http.Request) {
		var c BudgetChange
		dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, 64<<10))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&c); err != nil {
			kserve.WriteError(w, &kserve.RequestError{Status: http.StatusBadRequest, Message: err.Error()})
			return
		}
		done := make(chan error, 1)
		s.Loop.Post(func() { s.Loop.change(c, func(err error) { done <- err }) })
		select {
		case err := <-done:
			if err != nil {
				kserve.WriteError(w, err)
				return
			}
			w.WriteHeader(http.StatusNoContent)
		case <-time.After(5 * time.Second):
			kserve.WriteError(w, &kserve.RequestError{Status: http.StatusServiceUnavailable, Message: "the change is not durable: the ledger's disk fails"})
		}
	})
	return mux
}

func (l *Loop) budgets() (out BudgetState) {
	if l.books == nil {
		return out
	}
	for _, p := range l.books.Budgets {
		out.Budgets = append(out.Budgets, p.Status(l.now))
		if k := l.books.OwnedBudgets[p.Terms.Name]; k != nil {
			out.Owned = append(out.Owned, k.Status(l.now, l.books.Month(l.now)))
		}
	}
	return out
}

// change carries an operator's change out; done is told when it is durable.
func (l *Loop) change(c BudgetChange, done func(error)) {
	bad := func(field, text string) {
		done(&kserve.RequestError{Status: http.StatusBadRequest, Field: field, Message: text})
	}
	if l.books == nil || l.books.OwnedBudgets[c.Name] == nil {
		done(&kserve.RequestError{Status: http.StatusNotFound, Field: "name", Message: fmt.Sprintf("%q is no budget that this dispatcher keeps", c.Name)})
		return
	}
	k := l.books.OwnedBudgets[c.Name]
	switch {
	case c.Set != nil && c.Grant != 0:
		bad("set", "grant or set, one at a time")
	case c.Set != nil:
		t := *c.Set
		t.Name = c.Name
		if !t.Valid() {
			bad("set", "has a figure that makes no sense")
			return
		}
		k.SetTerms(l.now, t, func() { done(nil) })
	case c.Grant > 0 && c.Grant <= mostGrant:
		k.Grant(l.books.Month(l.now), c.Grant, func() { done(nil) })
	default:
		bad("grant", fmt.Sprintf("must be above 0, and at most %g tokens", float64(mostGrant)))
	}
}
