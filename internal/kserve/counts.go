package kserve

import (
	"context"
	"io"
	"net/http"
)

// Count is what a box counted for one trip. Numbers begin with 1 for each start of a dispatcher and have no gaps.
type UsageRecord struct {
	Number        uint64 `json:"number"`
	RequestKey    string `json:"key"` // of the question: dispatcher's start and number
	Attempt       int    `json:"trip"`
	DedupKey      string `json:"mark,omitempty"`
	Phase         string `json:"stage"`
	Tenant        string `json:"channel,omitempty"`
	Class         string `json:"grade,omitempty"`
	PrefillTokens int    `json:"read_tokens"`   // of the prompt, read here
	CachedTokens  int    `json:"kept_tokens"`   // of the prompt, found kept here
	OutputTokens  int    `json:"answer_tokens"` // made here
	EndReason     string `json:"end"`
}

// Inquiry asks a box for the counts of a dispatcher's start with numbers above After; those up to there it may forget.
type UsageQuery struct {
	DispatcherEpoch string `json:"from"`
	After           uint64 `json:"after"`
}

// Counts is the answer.
type UsageReport struct {
	Records          []UsageRecord `json:"counts"`
	More             bool          `json:"more,omitempty"`
	InFlight         int           `json:"open"`   // trips of that start that run here now
	ForgottenThrough uint64        `json:"forgot"` // the highest number that it was told to forget
}

// MostCounts is how many a box tells at once.
const MaxUsageRecords = 1000

// NewInquiry makes the request.
func NewUsageRequest(ctx context.Context, base, model string, q UsageQuery) (*http.Request, error) {
	return post(ctx, base+"/v2/models/"+model+"/counts", q)
}

// ReadInquiry decodes it at a box.
func ReadUsageQuery(body io.Reader) (q UsageQuery, err error) {
	if err = decode(body, &q); err == nil && (q.DispatcherEpoch == "" || len(q.DispatcherEpoch) > 512) {
		err = bad("from", "must name a dispatcher's start, in at most 512 bytes")
	}
	return q, err
}

// ReadCounts decodes the answer at a dispatcher.
func ReadUsageReport(body io.Reader) (c UsageReport, err error) {
	if err = decode(body, &c); err != nil {
		return c, err
	}
	last := uint64(0)
	for _, x := range c.Records {
		if x.Number <= last {
			return c, bad("counts.number", "is %d after %d", x.Number, last)
		}
		if err := x.check(); err != nil {
			return c, err
		}
		last = x.Number
	}
	return c, nil
}

// check bounds what a box states.
func (c *UsageRecord) check() error {
	if c.Attempt < 0 || min(c.PrefillTokens, c.CachedTokens, c.OutputTokens) < 0 || max(c.PrefillTokens, c.CachedTokens, c.OutputTokens) > mostReads*MaxTokens {
		return bad("counts", "number %d has a trip or tokens that make no sense", c.Number)
	}
	if len(c.RequestKey) > 512 || len(c.DedupKey) > 512 || len(c.Tenant) > 512 || len(c.Class) > 512 || len(c.EndReason) > 64 || len(c.Phase) > 64 {
		return bad("counts", "number %d has a name that is too long", c.Number)
	}
	return nil
}
