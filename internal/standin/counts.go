package standin

import (
	"net/http"
	"sync"

	"sloetrestle/internal/kserve"
	"sloetrestle/internal/record"
)

// counts are what a box has counted, by the starts of dispatchers. They are the box's own, as on its disk: its process may
// die and start anew.
type usageCounts struct {
	mu           sync.Mutex
	byDispatcher map[string]*dispatcherUsage
}

type dispatcherUsage struct {
	lastNumber, lastDropped uint64
	unacknowledged          []kserve.UsageRecord
	open                    int
}

func (c *usageCounts) forDispatcher(from string) *dispatcherUsage {
	if c.byDispatcher == nil {
		c.byDispatcher = map[string]*dispatcherUsage{}
	}
	if c.byDispatcher[from] == nil {
		c.byDispatcher[from] = &dispatcherUsage{}
	}
	return c.byDispatcher[from]
}

// begin takes word of a trip; the function that it returns counts it, once.
func (b *Backend) countAttempt(e kserve.AttemptParams) func(end string, read, kept, answer int) *kserve.UsageRecord {
	c := &b.usage
	c.mu.Lock()
	defer c.mu.Unlock()
	of := c.forDispatcher(e.DispatcherEpoch)
	of.open++
	var done *kserve.UsageRecord
	return func(end string, read, kept, answer int) *kserve.UsageRecord {
		c.mu.Lock()
		defer c.mu.Unlock()
		if done != nil {
			return done
		}
		of.open--
		of.lastNumber++
		done = &kserve.UsageRecord{Number: of.lastNumber, RequestKey: e.RequestKey(), Attempt: e.Attempt, DedupKey: e.DedupKey, Phase: e.Phase, Tenant: e.Tenant, Class: e.Class, PrefillTokens: read, CachedTokens: kept,
			OutputTokens: answer, EndReason: end}
		of.unacknowledged = append(of.unacknowledged, *done)
		b.fleet.Record.Record(record.Event{Kind: record.UsageCounted, Backend: b.Name, RequestKey: e.RequestKey(), Attempt: e.Attempt, Try: e.DedupKey, Phase: e.Phase, Class: e.Class, Detail: end,
			Tokens: read, CachedTokens: kept, AnswerTokens: answer})
		return done
	}
}

// tell answers an inquiry.
func (b *Backend) handleCounts(w http.ResponseWriter, r *http.Request) {
	q, err := kserve.ReadUsageQuery(http.MaxBytesReader(w, r.Body, 64<<10))
	if err != nil {
		kserve.WriteError(w, err)
		return
	}
	c := &b.usage
	c.mu.Lock()
	of := c.forDispatcher(q.DispatcherEpoch)
	for len(of.unacknowledged) > 0 && of.unacknowledged[0].Number <= q.After {
		of.lastDropped = of.unacknowledged[0].Number
		of.unacknowledged = of.unacknowledged[1:]
	}
	out := kserve.UsageReport{InFlight: of.open, ForgottenThrough: of.lastDropped, Records: append([]kserve.UsageRecord{}, of.unacknowledged[:min(len(of.unacknowledged), kserve.MaxUsageRecords)]...)}
	out.More = len(out.Records) < len(of.unacknowledged)
	c.mu.Unlock()
	kserve.WriteJSON(w, http.StatusOK, out)
}
