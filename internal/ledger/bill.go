package ledger

import (
	"cmp"
	"slices"
	"time"
)

// Cause says who bears a trip's cost.
type Cause string

const (
	ByClient Cause = "client" // the answer that it got, the read that this one was made of, and what it left
	ByHouse  Cause = "house"  // trips that broke, failed or were repeated, and questions that got no answer
)

// Line is one row of a bill.
type Line struct {
	Tenant        string `json:"channel"`
	Class         string `json:"grade"`
	Payer         Cause  `json:"cause"`
	Requests      int    `json:"questions"`
	Attempts      int    `json:"trips"`
	PrefillTokens int    `json:"read_tokens"`
	CachedTokens  int    `json:"kept_tokens"`
	OutputTokens  int    `json:"answer_tokens"`
	Unconfirmed   int    `json:"unproven_trips"` // whose boxes could not be asked; their tokens are what the dispatcher saw
}

// Sheet gathers records of any number of dispatchers, in any order, each as often as it may come.
type Collector struct {
	trips     map[string]Record
	questions map[string]Record
	Epochs    map[string]bool // those known; true: closed
}

// NewSheet makes an empty one.
func NewCollector() *Collector {
	return &Collector{trips: map[string]Record{}, questions: map[string]Record{}, Epochs: map[string]bool{}}
}

// Add takes a record in. The earliest of those that are the same counts, whichever comes first.
func (s *Collector) Add(r Record) error {
	keep := func(in map[string]Record, key string) {
		if old, ok := in[key]; !ok || r.UnixMilli < old.UnixMilli {
			in[key] = r
		}
	}
	switch {
	case r.Attempt != nil:
		keep(s.trips, string(tripKey(r.Attempt)))
	case r.Request != nil:
		keep(s.questions, r.Request.Key)
	case r.Epoch != nil:
		s.Epochs[r.Epoch.Name] = s.Epochs[r.Epoch.Name] || r.Epoch.Closed
	}
	return nil
}

// byQuestion groups trips, in their order; an unproven one counts only while no box has stated it.
func (s *Collector) byQuestion() map[string][]Record {
	by := map[string][]Record{}
	for _, r := range s.trips {
		by[r.Attempt.Key] = append(by[r.Attempt.Key], r)
	}
	for key, trips := range by {
		slices.SortFunc(trips, func(a, b Record) int {
			return cmp.Or(cmp.Compare(a.Attempt.Index, b.Attempt.Index), cmp.Compare(b.Attempt.Number, a.Attempt.Number), cmp.Compare(a.Attempt.Backend, b.Attempt.Backend))
		})
		by[key] = slices.DeleteFunc(trips, func(r Record) bool {
			return !r.Attempt.Confirmed() && slices.ContainsFunc(trips, func(o Record) bool { return o.Attempt.Confirmed() && o.Attempt.Index == r.Attempt.Index })
		})
	}
	return by
}

// causes says who bears each of a question's trips: the client the one that answered it and the read behind that, or where it
// left by itself the last trip and its read; the house all others.
func causes(trips []Record, q *Request) []Cause {
	out := make([]Cause, len(trips))
	for i := range out {
		out[i] = ByHouse
	}
	last := -1
	for i, r := range trips {
		if r.Attempt.Phase != "read" && (r.Attempt.Outcome == "answered" || q != nil && q.Outcome == "left" && i == len(trips)-1) {
			last = i
		}
	}
	if last < 0 {
		if q != nil && q.Outcome == "left" && len(trips) > 0 {
			out[len(trips)-1] = ByClient
		}
		return out
	}
	out[last] = ByClient
	if trips[last].Attempt.Phase == "write" {
		for i := last - 1; i >= 0; i-- {
			if trips[i].Attempt.Phase == "read" && trips[i].Attempt.Outcome == "read" {
				out[i] = ByClient
				break
			}
		}
	}
	return out
}

// Bill sums what a channel's questions cost between two times; an empty channel stands for all. A question belongs to the time
// of its first record. The same records give the same bill, in whatever order they came and from however many dispatchers.
func (s *Collector) Bill(channel string, from, to time.Time) []Line {
	type row struct{ channel, grade, cause string }
	rows := map[row]*Line{}
	within := func(at int64) bool { return at >= from.UnixMilli() && at < to.UnixMilli() }
	of := func(channel, grade string, c Cause) *Line {
		k := row{channel, grade, string(c)}
		if rows[k] == nil {
			rows[k] = &Line{Tenant: channel, Class: grade, Payer: c}
		}
		return rows[k]
	}
	by := s.byQuestion()
	for key, trips := range by {
		at := trips[0].UnixMilli
		for _, r := range trips {
			at = min(at, r.UnixMilli)
		}
		var q *Request
		if r, ok := s.questions[key]; ok {
			q, at = r.Request, min(at, r.UnixMilli)
		}
		if first := trips[0].Attempt; channel != "" && first.Tenant != channel || !within(at) {
			continue
		}
		counted := false
		for i, c := range causes(trips, q) {
			t := trips[i].Attempt
			l := of(t.Tenant, t.Class, c)
			l.Attempts++
			l.PrefillTokens, l.CachedTokens, l.OutputTokens = l.PrefillTokens+t.PrefillTokens, l.CachedTokens+t.CachedTokens, l.OutputTokens+t.OutputTokens
			if !t.Confirmed() {
				l.Unconfirmed++
			}
			if c == ByClient && !counted {
				counted = true
				l.Requests++
			}
		}
		if !counted {
			of(trips[0].Attempt.Tenant, trips[0].Attempt.Class, ByHouse).Requests++
		}
	}
	for key, r := range s.questions { // those without a trip: declined, mostly
		q := r.Request
		if len(by[key]) == 0 && (channel == "" || q.Tenant == channel) && within(r.UnixMilli) {
			of(q.Tenant, q.Class, ByHouse).Requests++
		}
	}
	var out []Line
	for _, l := range rows {
		out = append(out, *l)
	}
	slices.SortFunc(out, func(a, b Line) int {
		return cmp.Or(cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Payer, b.Payer))
	})
	return out
}

// Proof is one trip of a disputed question.
type Proof struct {
	At    time.Time `json:"at"`
	Payer Cause     `json:"cause"`
	Attempt
}

// Dispute lists every trip of the questions that a mark or key names, with who bears it.
func (s *Collector) Dispute(id string) (questions []Record, proofs []Proof) {
	keys := map[string]bool{}
	for key, r := range s.questions {
		if key == id || r.Request.RequestID == id {
			keys[key] = true
			questions = append(questions, r)
		}
	}
	by := s.byQuestion()
	for key, trips := range by {
		if key == id || trips[0].Attempt.RequestID == id {
			keys[key] = true
		}
	}
	slices.SortFunc(questions, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.UnixMilli, b.UnixMilli), cmp.Compare(a.Request.Key, b.Request.Key))
	})
	for key := range keys {
		var q *Request
		if r, ok := s.questions[key]; ok {
			q = r.Request
		}
		for i, c := range causes(by[key], q) {
			r := by[key][i]
			proofs = append(proofs, Proof{time.UnixMilli(r.UnixMilli).UTC(), c, *r.Attempt})
		}
	}
	slices.SortFunc(proofs, func(a, b Proof) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Key, b.Key), cmp.Compare(a.Attempt.Index, b.Attempt.Index))
	})
	return questions, proofs
}

// Counts are the sums over all proven trips of a box: what the box's own counts have to come to.
func (s *Collector) BackendTotals() map[string]Line {
	out := map[string]Line{}
	for _, r := range s.trips {
		if t := r.Attempt; t.Confirmed() {
			l := out[t.Backend]
			l.Attempts, l.PrefillTokens, l.CachedTokens, l.OutputTokens = l.Attempts+1, l.PrefillTokens+t.PrefillTokens, l.CachedTokens+t.CachedTokens, l.OutputTokens+t.OutputTokens
			out[t.Backend] = l
		}
	}
	return out
}
