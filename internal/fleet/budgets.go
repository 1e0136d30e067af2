package fleet

import (
	"fmt"
	"time"

	"sloetrestle/internal/budget"
	"sloetrestle/internal/dispatch"
)

// budgets gives a dispatcher's loop its purses, and keepers of the budgets that it keeps. Messages take a hop; a keeper's sums
// are durable after a disk's time, and outlast its restart.
func (d *dispatcher) budgets() {
	w := d.w
	if len(w.day.Budgets) == 0 {
		return
	}
	b := &dispatch.Accounting{Month: month, OwnedBudgets: map[string]*budget.Owner{}}
	of := len(w.dispatchers)
	if n := w.day.Header.Dispatchers; n > of {
		of = n
	}
	loop := d.loop
	for _, s := range w.day.Budgets {
		t, at := s.TokenLimits(), 0
		if w.day.Header.SplitBudgets { // the plain way, to compare with: an equal part for each
			part := float64(of)
			t.PerSecond, t.Burst, t.Monthly, t.Borrow = t.PerSecond/part, t.Burst/part, t.Monthly/part, t.Borrow/part
			at = d.number
		} else {
			at = budget.OwnerIndex(t.Name, of)
		}
		if at == d.number {
			key := fmt.Sprintf("%s %d", t.Name, at)
			b.OwnedBudgets[t.Name] = budget.NewOwner(t, w.now, month(w.now), w.lent[key], 0, 0, func(what string, _ int64, tokens float64, done func()) {
				w.after(commitTime, func() {
					if what == "lent" {
						w.lent[key] = max(w.lent[key], tokens)
					}
					if done != nil && d.loop == loop && d.up {
						d.do(done)
					}
				})
			})
		}
		var p *budget.LocalBudget
		p = budget.NewLocalBudget(t, loop.Epoch, of, month(w.now), func(a budget.LeaseRequest) {
			w.after(hop, func() {
				k := w.dispatchers[at]
				if !k.up || k.books == nil {
					return
				}
				k.do(func() {
					k.books.OwnedBudgets[a.Name].HandleRequest(w.now, month(w.now), a, func(l budget.LeaseReply) {
						w.after(hop, func() {
							if d.loop == loop && d.up {
								d.do(func() { p.HandleReply(w.now, l) })
							}
						})
					})
				})
			})
		})
		b.Budgets = append(b.Budgets, p)
		w.purses = append(w.purses, p)
	}
	d.books = b
	loop.SetAccounting(b)
}

const commitTime = 22 * time.Millisecond // half a group's wait, and a disk's sync

// month is one that outlasts every day.
func month(now time.Duration) budget.Month {
	return budget.Month{Number: 1, Remaining: 24*time.Hour - now}
}

// BudgetUse is what came of a budget.
type BudgetUse struct {
	Used     float64 `json:"used"` // tokens, over all dispatchers
	Share    float64 `json:"share"`
	Declined int64   `json:"declined"`
	Passed   int64   `json:"passed"`
}

func (w *world) used() map[string]BudgetUse {
	out := map[string]BudgetUse{}
	for _, p := range w.purses {
		u := out[p.Terms.Name]
		u.Used += p.Counts.Used
		u.Declined += p.Counts.Rejected
		u.Passed += p.Counts.Admitted + p.Counts.EmergencyAdmitted
		out[p.Terms.Name] = u
	}
	for _, s := range w.day.Budgets {
		if t := s.TokenLimits(); t.Monthly > 0 {
			u := out[t.Name]
			u.Share = u.Used / t.Monthly
			out[t.Name] = u
		}
	}
	return out
}
