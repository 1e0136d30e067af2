// Package budget limits the tokens that each tenant may use, by token buckets and monthly allowances that span all
// dispatchers of a fleet. One dispatcher owns a budget and leases tokens of it to the others, which reserve from
// their local part and request leases ahead of need. It does no I/O: messages are passed in and out together with the
// time. Begin with LocalBudget, then Owner.
package budget

import (
	"math"
	"time"
)

const (
	leaseDemandSpan    = 3 * time.Second        // of demand that a local budget keeps available ahead of need
	leaseValidity      = 12 * time.Second       // how long a lease may be used, counted from its request
	idleDemandSpan     = 10 * time.Second       // of demand; what is available beyond it is returned
	retryTimeout       = 60 * time.Millisecond  // for a reply before the next request; includes a commit to disk
	silenceTimeout     = 400 * time.Millisecond // without a reply, after which the owner counts as unreachable
	minRequestInterval = 50 * time.Millisecond  // between requests of one local budget
	renewalTime        = leaseValidity / 3      // after which a lease is renewed
	exhaustedRetry     = 5 * time.Second        // after the owner had nothing to lease: tokens may have been granted since

	// EmergencyShare is the share of a month's allowance that all dispatchers together may use while they cannot
	// reach the owner; each has an equal part of it. Of a rate limit each has an equal part of the whole: rates
	// protect against floods and are not billed, and an unreachable owner leases none of it.
	EmergencyShare = 0.05

	demandWidth = time.Second // of each of the ten buckets that measure the demand
	maxHolders  = 1 << 16     // epochs of dispatchers that an owner tracks in one month
)

// Terms are the limits of a tenant, or of one class of it. A negative limit means that there is none of that kind.
type Terms struct {
	Name      string  `json:"name"`            // tenant, or tenant/class
	PerSecond float64 `json:"tokens_a_second"` // refill rate of the bucket
	Burst     float64 `json:"burst"`           // size of the bucket in tokens
	Monthly   float64 `json:"monthly"`         // tokens
	Borrow    float64 `json:"borrow"`          // tokens of the next month that may be used ahead
}

// Month is a calendar month and the time until its end.
type Month struct {
	Number    int64
	Remaining time.Duration
}

// Valid reports whether the numbers of terms that came over a network are plausible.
func (t Terms) Valid() bool {
	return !math.IsNaN(t.PerSecond+t.Monthly) && !math.IsInf(t.PerSecond+t.Monthly, 0) &&
		t.Burst >= 0 && t.Burst < math.MaxInt64 && t.Borrow >= 0 && t.Borrow < math.MaxInt64
}
