package ledger

import (
	"cmp"
	"slices"
	"time"
)

// Payer says who bears the cost of an attempt.
type Payer string

const (
	// PayerClient bears the attempt that answered its request, the prefill attempt which that one used, and the
	// attempt that was in flight when it cancelled.
	PayerClient Payer = "client"
	// PayerOperator bears attempts that broke, failed or were repeated, and requests without an answer.
	PayerOperator Payer = "house"
)

// Line is one row of a bill, or the sums for one backend (see BackendTotals), in which some fields are not set.
type Line struct {
	Tenant        string `json:"channel"`
	Class         string `json:"grade"`
	Payer         Payer  `json:"cause"`
	Requests      int    `json:"questions"`
	Attempts      int    `json:"trips"`
	PrefillTokens int    `json:"read_tokens"` // prompt tokens computed, without cached ones
	CachedTokens  int    `json:"kept_tokens"` // prompt tokens found in the cache
	OutputTokens  int    `json:"answer_tokens"`
	Unconfirmed   int    `json:"unproven_trips"` // attempts with the tokens that the dispatcher saw
}

// Collector gathers the records of any number of dispatchers, in any order and with duplicates.
type Collector struct {
	attempts map[string]Record
	requests map[string]Record
	Epochs   map[string]bool // known epochs; true for closed ones
}

// NewCollector returns an empty collector.
func NewCollector() *Collector {
	return &Collector{attempts: map[string]Record{}, requests: map[string]Record{}, Epochs: map[string]bool{}}
}

// Add adds a record. Of duplicates the earliest one counts, in whatever order they come. The error is always nil.
func (c *Collector) Add(r Record) error {
	keepEarliest := func(in map[string]Record, key string) {
		if old, ok := in[key]; !ok || r.UnixMilli < old.UnixMilli {
			in[key] = r
		}
	}
	switch {
	case r.Attempt != nil:
		keepEarliest(c.attempts, string(attemptKey(r.Attempt)))
	case r.Request != nil:
		keepEarliest(c.requests, r.Request.Key)
	case r.Epoch != nil:
		c.Epochs[r.Epoch.Name] = c.Epochs[r.Epoch.Name] || r.Epoch.Closed
	}
	return nil
}

// attemptsByRequest groups the attempts by request, in order. An unconfirmed one counts only while no backend has
// reported it.
func (c *Collector) attemptsByRequest() map[string][]Record {
	byRequest := map[string][]Record{}
	for _, r := range c.attempts {
		byRequest[r.Attempt.Key] = append(byRequest[r.Attempt.Key], r)
	}
	for key, attempts := range byRequest {
		slices.SortFunc(attempts, func(a, b Record) int {
			return cmp.Or(cmp.Compare(a.Attempt.Index, b.Attempt.Index), cmp.Compare(b.Attempt.Number, a.Attempt.Number),
				cmp.Compare(a.Attempt.Backend, b.Attempt.Backend))
		})
		byRequest[key] = slices.DeleteFunc(attempts, func(r Record) bool {
			return !r.Attempt.Confirmed() && slices.ContainsFunc(attempts, func(other Record) bool {
				return other.Attempt.Confirmed() && other.Attempt.Index == r.Attempt.Index
			})
		})
	}
	return byRequest
}

// payers returns who bears each attempt of a request. The client bears the attempt that answered it and the prefill
// attempt before that, or, where it cancelled, the last attempt and its prefill. The operator bears all others.
func payers(attempts []Record, request *Request) []Payer {
	out := make([]Payer, len(attempts))
	for i := range out {
		out[i] = PayerOperator
	}
	last := -1
	for i, r := range attempts {
		if r.Attempt.Phase != "read" && (r.Attempt.Outcome == "answered" ||
			request != nil && request.Outcome == "left" && i == len(attempts)-1) {
			last = i
		}
	}
	if last < 0 {
		if request != nil && request.Outcome == "left" && len(attempts) > 0 {
			out[len(attempts)-1] = PayerClient
		}
		return out
	}
	out[last] = PayerClient
	if attempts[last].Attempt.Phase == "write" {
		for i := last - 1; i >= 0; i-- {
			if attempts[i].Attempt.Phase == "read" && attempts[i].Attempt.Outcome == "read" {
				out[i] = PayerClient
				break
			}
		}
	}
	return out
}

// Bill sums the cost of a tenant's requests from one time up to another; an empty tenant stands for all. A request
// belongs to the time of its first record. The same records give the same bill, in whatever order and from however
// many dispatchers they come.
func (c *Collector) Bill(tenant string, from, to time.Time) []Line {
	type row struct{ tenant, class, payer string }
	rows := map[row]*Line{}
	within := func(unixMilli int64) bool { return unixMilli >= from.UnixMilli() && unixMilli < to.UnixMilli() }
	lineOf := func(tenant, class string, payer Payer) *Line {
		key := row{tenant, class, string(payer)}
		if rows[key] == nil {
			rows[key] = &Line{Tenant: tenant, Class: class, Payer: payer}
		}
		return rows[key]
	}
	byRequest := c.attemptsByRequest()
	for key, attempts := range byRequest {
		first := attempts[0].UnixMilli
		for _, r := range attempts {
			first = min(first, r.UnixMilli)
		}
		var request *Request
		if r, ok := c.requests[key]; ok {
			request, first = r.Request, min(first, r.UnixMilli)
		}
		if attempt := attempts[0].Attempt; tenant != "" && attempt.Tenant != tenant || !within(first) {
			continue
		}
		counted := false
		for i, payer := range payers(attempts, request) {
			attempt := attempts[i].Attempt
			line := lineOf(attempt.Tenant, attempt.Class, payer)
			line.Attempts++
			line.PrefillTokens, line.CachedTokens, line.OutputTokens = line.PrefillTokens+attempt.PrefillTokens,
				line.CachedTokens+attempt.CachedTokens, line.OutputTokens+attempt.OutputTokens
			if !attempt.Confirmed() {
				line.Unconfirmed++
			}
			if payer == PayerClient && !counted {
				counted = true
				line.Requests++
			}
		}
		if !counted {
			lineOf(attempts[0].Attempt.Tenant, attempts[0].Attempt.Class, PayerOperator).Requests++
		}
	}
	for key, r := range c.requests { // requests without an attempt, most of which were rejected
		request := r.Request
		if len(byRequest[key]) == 0 && (tenant == "" || request.Tenant == tenant) && within(r.UnixMilli) {
			lineOf(request.Tenant, request.Class, PayerOperator).Requests++
		}
	}
	var out []Line
	for _, line := range rows {
		out = append(out, *line)
	}
	slices.SortFunc(out, func(a, b Line) int {
		return cmp.Or(cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Payer, b.Payer))
	})
	return out
}

// DisputedAttempt is one attempt of a disputed request.
type DisputedAttempt struct {
	Time  time.Time `json:"at"`
	Payer Payer     `json:"cause"`
	Attempt
}

// Dispute returns the requests with a request ID or key, and every attempt of them with its payer.
func (c *Collector) Dispute(id string) (requests []Record, attempts []DisputedAttempt) {
	keys := map[string]bool{}
	for key, r := range c.requests {
		if key == id || r.Request.RequestID == id {
			keys[key] = true
			requests = append(requests, r)
		}
	}
	byRequest := c.attemptsByRequest()
	for key, records := range byRequest {
		if key == id || records[0].Attempt.RequestID == id {
			keys[key] = true
		}
	}
	slices.SortFunc(requests, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.UnixMilli, b.UnixMilli), cmp.Compare(a.Request.Key, b.Request.Key))
	})
	for key := range keys {
		var request *Request
		if r, ok := c.requests[key]; ok {
			request = r.Request
		}
		for i, payer := range payers(byRequest[key], request) {
			r := byRequest[key][i]
			attempts = append(attempts, DisputedAttempt{time.UnixMilli(r.UnixMilli).UTC(), payer, *r.Attempt})
		}
	}
	slices.SortFunc(attempts, func(a, b DisputedAttempt) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Key, b.Key), cmp.Compare(a.Attempt.Index, b.Attempt.Index))
	})
	return requests, attempts
}

// BackendTotals returns, by backend name, how many attempts are confirmed, that is, reported by the backend itself, and
// the sums of their tokens. Only Attempts, PrefillTokens, CachedTokens and OutputTokens of a Line are set. The sums
// must equal the totals that the backend itself has counted.
func (c *Collector) BackendTotals() map[string]Line {
	totals := map[string]Line{}
	for _, r := range c.attempts {
		if a := r.Attempt; a.Confirmed() {
			sum := totals[a.Backend]
			sum.Attempts, sum.PrefillTokens, sum.CachedTokens, sum.OutputTokens =
				sum.Attempts+1, sum.PrefillTokens+a.PrefillTokens, sum.CachedTokens+a.CachedTokens,
				sum.OutputTokens+a.OutputTokens
			totals[a.Backend] = sum
		}
	}
	return totals
}
