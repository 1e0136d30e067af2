package fakes

import (
	"net/http"
	"sync"

	"sloetrestle/internal/kserve"
	"sloetrestle/internal/record"
)

// usageCounts holds the attempts that a backend has counted, by the start of the dispatcher that sent them. They
// outlive the backend's process, as if they were on disk, so that a dispatcher can still collect them after a
// restart.
type usageCounts struct {
	mu           sync.Mutex
	byDispatcher map[string]*dispatcherUsage
}

// dispatcherUsage is what a backend has counted for one start of a dispatcher.
type dispatcherUsage struct {
	lastNumber, lastDropped uint64
	unacknowledged          []kserve.UsageRecord
	open                    int // attempts that have begun and not ended
}

// forDispatcher returns the counts for a start of a dispatcher, creating them when needed.
func (c *usageCounts) forDispatcher(from string) *dispatcherUsage {
	if c.byDispatcher == nil {
		c.byDispatcher = map[string]*dispatcherUsage{}
	}
	if c.byDispatcher[from] == nil {
		c.byDispatcher[from] = &dispatcherUsage{}
	}
	return c.byDispatcher[from]
}

// countAttempt notes that an attempt has begun and returns a function that counts its usage. Only the first call
// of that function counts; later calls return the same entry.
func (b *Backend) countAttempt(
	attempt kserve.AttemptParams,
) func(outcome string, prefilled, cached, generated int) *kserve.UsageRecord {
	counts := &b.usage
	counts.mu.Lock()
	defer counts.mu.Unlock()
	usage := counts.forDispatcher(attempt.DispatcherEpoch)
	usage.open++
	var counted *kserve.UsageRecord
	return func(outcome string, prefilled, cached, generated int) *kserve.UsageRecord {
		counts.mu.Lock()
		defer counts.mu.Unlock()
		if counted != nil {
			return counted
		}
		usage.open--
		usage.lastNumber++
		counted = &kserve.UsageRecord{
			Number: usage.lastNumber, RequestKey: attempt.RequestKey(), Attempt: attempt.Attempt, DedupKey: attempt.DedupKey,
			Phase:  attempt.Phase,
			Tenant: attempt.Tenant, Class: attempt.Class, PrefillTokens: prefilled, CachedTokens: cached,
			OutputTokens: generated, EndReason: outcome,
		}
		usage.unacknowledged = append(usage.unacknowledged, *counted)
		b.fleet.Record.Record(record.Event{
			Kind: record.UsageCounted, Backend: b.Name, RequestKey: attempt.RequestKey(), Attempt: attempt.Attempt,
			Try:   attempt.DedupKey,
			Phase: attempt.Phase, Class: attempt.Class, Detail: outcome, Tokens: prefilled, CachedTokens: cached,
			AnswerTokens: generated,
		})
		return counted
	}
}

// handleCounts answers a dispatcher's inquiry with the entries that follow the last one it has. Entries up to that
// one are dropped.
func (b *Backend) handleCounts(w http.ResponseWriter, r *http.Request) {
	inquiry, err := kserve.ReadUsageQuery(http.MaxBytesReader(w, r.Body, 64<<10))
	if err != nil {
		kserve.WriteError(w, err)
		return
	}
	counts := &b.usage
	counts.mu.Lock()
	usage := counts.forDispatcher(inquiry.DispatcherEpoch)
	for len(usage.unacknowledged) > 0 && usage.unacknowledged[0].Number <= inquiry.After {
		usage.lastDropped = usage.unacknowledged[0].Number
		usage.unacknowledged = usage.unacknowledged[1:]
	}
	response := kserve.UsageReport{
		InFlight: usage.open, ForgottenThrough: usage.lastDropped,
		Records: append([]kserve.UsageRecord{}, usage.unacknowledged[:min(len(usage.unacknowledged),
			kserve.MaxUsageRecords)]...),
	}
	response.More = len(response.Records) < len(usage.unacknowledged)
	counts.mu.Unlock()
	kserve.WriteJSON(w, http.StatusOK, response)
}
