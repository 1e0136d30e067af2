package fleet

import (
	"fmt"
	"time"

	"sloetrestle/internal/budget"
	"sloetrestle/internal/dispatch"
)

// budgets gives a dispatcher's loop its purses, and keepers of the budgets that it keeps. Messages take a hop; a keeper's sums
// are durable after a disk's time, and outlast its restart.
func (d *dispatcher) setUpBudgets() {
	w := d.w
	if len(w.scenario.Budgets) == 0 {
		return
	}
	b := &dispatch.Accounting{Month: testMonth, OwnedBudgets: map[string]*budget.Keeper{}}
	of := len(w.dispatchers)
	if n := w.scenario.Head.Dispatchers; n > of {
		of = n
	}
	loop := d.loop
	for _, s := range w.scenario.Budgets {
		t, at := s.TokenLimits(), 0
		if w.scenario.Head.SplitBudgets { // the plain way, to compare with: an equal part for each
			part := float64(of)
			t.PerS, t.Burst, t.Monthly, t.Borrow = t.PerS/part, t.Burst/part, t.Monthly/part, t.Borrow/part
			at = d.number
		} else {
			at = budget.Keep(t.Name, of)
		}
		if at == d.number {
			key := fmt.Sprintf("%s %d", t.Name, at)
			b.OwnedBudgets[t.Name] = budget.NewKeeper(t, w.now, testMonth(w.now), w.durableLoans[key], 0, 0, func(what string, _ int64, tokens float64, done func()) {
				w.after(commitTime, func() {
					if what == "lent" {
						w.durableLoans[key] = max(w.durableLoans[key], tokens)
					}
					if done != nil && d.loop == loop && d.running {
						d.runInLoop(done)
					}
				})
			})
		}
		var p *budget.Purse
		p = budget.NewPurse(t, loop.Epoch, of, testMonth(w.now), func(a budget.Ask) {
			w.after(networkDelay, func() {
				k := w.dispatchers[at]
				if !k.running || k.accounting == nil {
					return
				}
				k.runInLoop(func() {
					k.accounting.OwnedBudgets[a.Name].Asked(w.now, testMonth(w.now), a, func(l budget.Lend) {
						w.after(networkDelay, func() {
							if d.loop == loop && d.running {
								d.runInLoop(func() { p.Lent(w.now, l) })
							}
						})
					})
				})
			})
		})
		b.Budgets = append(b.Budgets, p)
		w.budgets = append(w.budgets, p)
	}
	d.accounting = b
	loop.SetAccounting(b)
}

const commitTime = 22 * time.Millisecond // half a group's wait, and a disk's sync

// month is one that outlasts every day.
func testMonth(now time.Duration) budget.Month { return budget.Month{Number: 1, Left: 24*time.Hour - now} }

// BudgetUse is what came of a budget.
type BudgetUse struct {
	UsedTokens     float64 `json:"used"` // tokens, over all dispatchers
	MonthlyShare    float64 `json:"share"`
	Rejected int64   `json:"declined"`
	Admitted   int64   `json:"passed"`
}

func (w *simulation) budgetUse() map[string]BudgetUse {
	out := map[string]BudgetUse{}
	for _, p := range w.budgets {
		u := out[p.Terms.Name]
		u.UsedTokens += p.Counts.Used
		u.Rejected += p.Counts.Declined
		u.Admitted += p.Counts.Passed + p.Counts.Emergencies
		out[p.Terms.Name] = u
	}
	for _, s := range w.scenario.Budgets {
		if t := s.TokenLimits(); t.Monthly > 0 {
			u := out[t.Name]
			u.MonthlyShare = u.UsedTokens / t.Monthly
			out[t.Name] = u
		}
	}
	return out
}
