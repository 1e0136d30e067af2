package kserve

import (
	"context"
	"io"
	"net/http"
)

// maxNameBytes bounds names and keys in messages, in bytes.
const maxNameBytes = 512

// UsageRecord is the usage that a backend counted for one attempt. Numbers start at 1 for each dispatcher epoch and
// have no gaps.
type UsageRecord struct {
	Number        uint64 `json:"number"`
	RequestKey    string `json:"key"` // dispatcher epoch and request number, see AttemptParams.RequestKey
	Attempt       int    `json:"trip"`
	DedupKey      string `json:"mark,omitempty"`
	Phase         string `json:"stage"`
	Tenant        string `json:"channel,omitempty"`
	Class         string `json:"grade,omitempty"`
	PrefillTokens int    `json:"read_tokens"`   // prompt tokens computed on this backend
	CachedTokens  int    `json:"kept_tokens"`   // prompt tokens found in this backend's prefix cache
	OutputTokens  int    `json:"answer_tokens"` // tokens generated on this backend
	EndReason     string `json:"end"`
}

// UsageQuery requests the usage records of one dispatcher epoch with numbers above After. The backend may discard the
// records up to After.
type UsageQuery struct {
	DispatcherEpoch string `json:"from"`
	After           uint64 `json:"after"`
}

// UsageReport is the response to a UsageQuery.
type UsageReport struct {
	Records          []UsageRecord `json:"counts"`
	More             bool          `json:"more,omitempty"`
	InFlight         int           `json:"open"`   // attempts of that epoch that run on this backend now
	ForgottenThrough uint64        `json:"forgot"` // highest number that the backend was allowed to discard
}

// MaxUsageRecords is the number of records that a backend returns in one UsageReport.
const MaxUsageRecords = 1000

// NewUsageRequest builds the HTTP request for a UsageQuery.
func NewUsageRequest(ctx context.Context, base, model string, query UsageQuery) (*http.Request, error) {
	return post(ctx, base+"/v2/models/"+model+"/counts", query)
}

// ReadUsageQuery decodes a UsageQuery on a backend.
func ReadUsageQuery(body io.Reader) (query UsageQuery, err error) {
	if err = decode(body, &query); err == nil &&
		(query.DispatcherEpoch == "" || len(query.DispatcherEpoch) > maxNameBytes) {
		err = badRequest("from", "must name a dispatcher's start, in at most 512 bytes")
	}
	return query, err
}

// ReadUsageReport decodes a UsageReport on a dispatcher. It returns an error unless numbers increase and every record
// is within bounds.
func ReadUsageReport(body io.Reader) (report UsageReport, err error) {
	if err = decode(body, &report); err != nil {
		return report, err
	}
	last := uint64(0)
	for _, record := range report.Records {
		if record.Number <= last {
			return report, badRequest("counts.number", "is %d after %d", record.Number, last)
		}
		if err := record.check(); err != nil {
			return report, err
		}
		last = record.Number
	}
	return report, nil
}

// check returns an error if a value is out of bounds.
func (r *UsageRecord) check() error {
	if r.Attempt < 0 || min(r.PrefillTokens, r.CachedTokens, r.OutputTokens) < 0 ||
		max(r.PrefillTokens, r.CachedTokens, r.OutputTokens) > maxPrefillRepeats*MaxTokens {
		return badRequest("counts", "usage record %d has an attempt number or a token count out of range", r.Number)
	}
	if len(r.RequestKey) > maxNameBytes || len(r.DedupKey) > maxNameBytes || len(r.Tenant) > maxNameBytes ||
		len(r.Class) > maxNameBytes || len(r.EndReason) > 64 || len(r.Phase) > 64 {
		return badRequest("counts", "usage record %d has a name that is too long", r.Number)
	}
	return nil
}
