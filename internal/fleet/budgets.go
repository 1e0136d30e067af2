package fleet

import (
	"fmt"
	"time"

	"sloetrestle/internal/budget"
	"sloetrestle/internal/dispatch"
)

// setUpBudgets gives the dispatcher's loop its token budgets, and keepers of the budgets that it owns. Messages
// between them take the network delay. A keeper's sums are durable after commitTime and survive its restart.
func (d *dispatcher) setUpBudgets() {
	sim := d.sim
	if len(sim.scenario.Budgets) == 0 {
		return
	}
	accounting := &dispatch.Accounting{Month: endlessMonth, OwnedBudgets: map[string]*budget.Owner{}}
	dispatcherCount := len(sim.dispatchers)
	if n := sim.scenario.Header.Dispatchers; n > dispatcherCount {
		dispatcherCount = n
	}
	loop := d.loop
	for _, config := range sim.scenario.Budgets {
		limits, owner := config.TokenLimits(), 0
		if sim.scenario.Header.SplitBudgets { // static equal parts, as a reference for comparison
			parts := float64(dispatcherCount)
			limits.PerSecond, limits.Burst, limits.Monthly, limits.Borrow = limits.PerSecond/parts, limits.Burst/parts,
				limits.Monthly/parts, limits.Borrow/parts
			owner = d.number
		} else {
			owner = budget.OwnerIndex(limits.Name, dispatcherCount)
		}
		if owner == d.number {
			key := fmt.Sprintf("%s %d", limits.Name, owner)
			accounting.OwnedBudgets[limits.Name] = budget.NewOwner(limits, loop.Epoch, sim.now, endlessMonth(sim.now),
				sim.durableLoans[key], 0, 0, func(what string, _ int64, tokens float64, done func()) {
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
		var tenantBudget *budget.LocalBudget
		tenantBudget = budget.NewLocalBudget(limits, loop.Epoch, dispatcherCount, endlessMonth(sim.now),
			func(ask budget.LeaseRequest) {
				sim.after(networkDelay, func() {
					keeperDispatcher := sim.dispatchers[owner]
					if !keeperDispatcher.running || keeperDispatcher.accounting == nil {
						return
					}
					keeperDispatcher.runInLoop(func() {
						keeperDispatcher.accounting.OwnedBudgets[ask.Name].HandleRequest(sim.now, endlessMonth(sim.now), ask,
							func(loan budget.LeaseReply) {
								sim.after(networkDelay, func() {
									if d.loop == loop && d.running {
										d.runInLoop(func() { tenantBudget.HandleReply(sim.now, loan) })
									}
								})
							})
					})
				})
			})
		accounting.Budgets = append(accounting.Budgets, tenantBudget)
		sim.budgets = append(sim.budgets, tenantBudget)
	}
	d.accounting = accounting
	loop.SetAccounting(accounting)
}

const commitTime = 22 * time.Millisecond // half the group-commit delay and one disk sync

// endlessMonth returns a month that outlasts every scenario.
func endlessMonth(now time.Duration) budget.Month {
	return budget.Month{Number: 1, Remaining: 24*time.Hour - now}
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
	for _, tenantBudget := range sim.budgets {
		use := out[tenantBudget.Terms.Name]
		use.UsedTokens += tenantBudget.Counts.Used
		use.Rejected += tenantBudget.Counts.Rejected
		use.Admitted += tenantBudget.Counts.Admitted + tenantBudget.Counts.EmergencyAdmitted
		out[tenantBudget.Terms.Name] = use
	}
	for _, config := range sim.scenario.Budgets {
		if limits := config.TokenLimits(); limits.Monthly > 0 {
			use := out[limits.Name]
			use.MonthlyShare = use.UsedTokens / limits.Monthly
			out[limits.Name] = use
		}
	}
	return out
}
