package fleet

import (
	"fmt"
	"time"

	"sloetrestle/internal/budget"
	"sloetrestle/internal/dispatch"
)

// setUpBudgets gives the dispatcher's loop its token budgets, and keepers of the budgets that it owns. Messages between them
// take the network delay. A keeper's sums are durable after commitTime and survive its restart.
func (d *dispatcher) setUpBudgets() {
	sim := d.sim
	if len(sim.scenario.Budgets) == 0 {
		return
	}
	b := &dispatch.Accounting{Month: testMonth, OwnedBudgets: map[string]*budget.Keeper{}}
	of := len(sim.dispatchers)
	if n := sim.scenario.Head.Dispatchers; n > of {
		of = n
	}
	loop := d.loop
	for _, s := range sim.scenario.Budgets {
		t, at := s.TokenLimits(), 0
		if sim.scenario.Head.SplitBudgets { // static equal parts, as a reference for comparison
			part := float64(of)
			t.PerS, t.Burst, t.Monthly, t.Borrow = t.PerS/part, t.Burst/part, t.Monthly/part, t.Borrow/part
			at = d.number
		} else {
			at = budget.Keep(t.Name, of)
		}
		if at == d.number {
			key := fmt.Sprintf("%s %d", t.Name, at)
			b.OwnedBudgets[t.Name] = budget.NewKeeper(t, sim.now, testMonth(sim.now), sim.durableLoans[key], 0, 0, func(what string, _ int64, tokens float64, done func()) {
				sim.after(commitTime, func() {
					if what == "lent" {
						sim.durableLoans[key] = max(sim.durableLoans[key], tokens)
					}
					if done != nil && d.loop == loop && d.running {
						d.runInLoop(done)
					}
				})
			})
		}
		var p *budget.Purse
		p = budget.NewPurse(t, loop.Epoch, of, testMonth(sim.now), func(a budget.Ask) {
			sim.after(networkDelay, func() {
				k := sim.dispatchers[at]
				if !k.running || k.accounting == nil {
					return
				}
				k.runInLoop(func() {
					k.accounting.OwnedBudgets[a.Name].Asked(sim.now, testMonth(sim.now), a, func(l budget.Lend) {
						sim.after(networkDelay, func() {
							if d.loop == loop && d.running {
								d.runInLoop(func() { p.Lent(sim.now, l) })
							}
						})
					})
				})
			})
		})
		b.Budgets = append(b.Budgets, p)
		sim.budgets = append(sim.budgets, p)
	}
	d.accounting = b
	loop.SetAccounting(b)
}

const commitTime = 22 * time.Millisecond // half the group-commit delay and one disk sync

// testMonth returns a month that outlasts every scenario.
func testMonth(now time.Duration) budget.Month {
	return budget.Month{Number: 1, Left: 24*time.Hour - now}
}

// BudgetUse is the use of one budget in a run.
type BudgetUse struct {
	UsedTokens   float64 `json:"used"` // over all dispatchers
	MonthlyShare float64 `json:"share"`
	Rejected     int64   `json:"declined"`
	Admitted     int64   `json:"passed"`
}

func (sim *simulation) budgetUse() map[string]BudgetUse {
	out := map[string]BudgetUse{}
	for _, p := range sim.budgets {
		u := out[p.Terms.Name]
		u.UsedTokens += p.Counts.Used
		u.Rejected += p.Counts.Declined
		u.Admitted += p.Counts.Passed + p.Counts.Emergencies
		out[p.Terms.Name] = u
	}
	for _, s := range sim.scenario.Budgets {
		if t := s.TokenLimits(); t.Monthly > 0 {
			u := out[t.Name]
			u.MonthlyShare = u.UsedTokens / t.Monthly
			out[t.Name] = u
		}
	}
	return out
}
