package dispatch

import (
	"testing"
	"time"

	"sloetrestle/internal/budget"
)

// An operator's slip must not make a budget endless: after that no figure of it can be shown or made durable.
func TestAGrantHasABound(t *testing.T) {
	l, _ := settled(t, "idempotent")
	month := budget.Month{Number: 1, Remaining: time.Hour}
	written := 0.0
	k := budget.NewOwner(budget.Terms{Name: "b", PerSecond: -1, Monthly: 100}, 0, month, 0, 0, 0, func(_ string, _ int64, tokens float64, done func()) {
		written = tokens
		done()
	})
	l.books = &Accounting{OwnedBudgets: map[string]*budget.Owner{"b": k}, Month: func(time.Duration) budget.Month { return month }}
	for grant, fine := range map[float64]bool{5: true, 1e300: false, -1: false} {
		var got error
		l.change(BudgetChange{Name: "b", Grant: grant}, func(err error) { got = err })
		if (got == nil) != fine || written > 1e18 {
			t.Errorf("a grant of %g: %v, written %g", grant, got, written)
		}
	}
}
