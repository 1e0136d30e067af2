package standin

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
	unacknowledged          []kserve.Count
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
	attempt kserve.Errand,
) func(outcome string, prefilled, cached, generated int) *kserve.Count {
	counts := &b.usage
	counts.mu.Lock()
	defer counts.mu.Unlock()
	usage := counts.forDispatcher(attempt.From)
	usage.open++
	var counted *kserve.Count
	return func(outcome string, prefilled, cached, generated int) *kserve.Count {
		counts.mu.Lock()
		defer counts.mu.Unlock()
		if counted != nil {
			return counted
		}
		usage.open--
		usage.lastNumber++
		counted = &kserve.Count{
			Number: usage.lastNumber, Key: attempt.Key(), Trip: attempt.Trip, Mark: attempt.Mark, Stage: attempt.Stage,
			Channel: attempt.Channel, Grade: attempt.Grade, Read: prefilled, Kept: cached, Answer: generated, End: outcome,
		}
		usage.unacknowledged = append(usage.unacknowledged, *counted)
		b.fleet.Record.Put(record.Line{
			What: record.Counted, Box: b.Name, Key: attempt.Key(), Trip: attempt.Trip, Try: attempt.Mark,
			Stage: attempt.Stage, Grade: attempt.Grade, Word: outcome, Tokens: prefilled, Kept: cached, Answer: generated,
		})
		return counted
	}
}

// handleCounts answers a dispatcher's inquiry with the entries that follow the last one it has. Entries up to that
// one are dropped.
func (b *Backend) handleCounts(w http.ResponseWriter, r *http.Request) {
	inquiry, err := kserve.ReadInquiry(http.MaxBytesReader(w, r.Body, 64<<10))
	if err != nil {
		kserve.WriteFault(w, err)
		return
	}
	counts := &b.usage
	counts.mu.Lock()
	usage := counts.forDispatcher(inquiry.From)
	for len(usage.unacknowledged) > 0 && usage.unacknowledged[0].Number <= inquiry.After {
		usage.lastDropped = usage.unacknowledged[0].Number
		usage.unacknowledged = usage.unacknowledged[1:]
	}
	response := kserve.Counts{
		Open: usage.open, Forgot: usage.lastDropped,
		Counts: append([]kserve.Count{}, usage.unacknowledged[:min(len(usage.unacknowledged), kserve.MostCounts)]...),
	}
	response.More = len(response.Counts) < len(usage.unacknowledged)
	counts.mu.Unlock()
	kserve.WriteJSON(w, http.StatusOK, response)
}
