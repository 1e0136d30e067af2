package standin

import (
	"net/http"
	"sync"

	"sloetrestle/internal/kserve"
	"sloetrestle/internal/record"
)

// usageCounts are what a box has counted, by the starts of dispatchers. They are the box's own, as on its disk: its process may
// die and start anew.
type usageCounts struct {
	mu           sync.Mutex
	byDispatcher map[string]*dispatcherUsage
}

type dispatcherUsage struct {
	lastNumber, lastDropped uint64
	unacknowledged          []kserve.Count
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
func (b *Backend) countAttempt(e kserve.Errand) func(end string, read, kept, answer int) *kserve.Count {
	c := &b.usage
	c.mu.Lock()
	defer c.mu.Unlock()
	of := c.forDispatcher(e.From)
	of.open++
	var done *kserve.Count
	return func(end string, read, kept, answer int) *kserve.Count {
		c.mu.Lock()
		defer c.mu.Unlock()
		if done != nil {
			return done
		}
		of.open--
		of.lastNumber++
		done = &kserve.Count{Number: of.lastNumber, Key: e.Key(), Trip: e.Trip, Mark: e.Mark, Stage: e.Stage, Channel: e.Channel, Grade: e.Grade, Read: read, Kept: kept,
			Answer: answer, End: end}
		of.unacknowledged = append(of.unacknowledged, *done)
		b.fleet.Record.Put(record.Line{What: record.Counted, Box: b.Name, Key: e.Key(), Trip: e.Trip, Try: e.Mark, Stage: e.Stage, Grade: e.Grade, Word: end,
			Tokens: read, Kept: kept, Answer: answer})
		return done
	}
}

// handleCounts answers an inquiry.
func (b *Backend) handleCounts(w http.ResponseWriter, r *http.Request) {
	q, err := kserve.ReadInquiry(http.MaxBytesReader(w, r.Body, 64<<10))
	if err != nil {
		kserve.WriteFault(w, err)
		return
	}
	c := &b.usage
	c.mu.Lock()
	of := c.forDispatcher(q.From)
	for len(of.unacknowledged) > 0 && of.unacknowledged[0].Number <= q.After {
		of.lastDropped = of.unacknowledged[0].Number
		of.unacknowledged = of.unacknowledged[1:]
	}
	out := kserve.Counts{Open: of.open, Forgot: of.lastDropped, Counts: append([]kserve.Count{}, of.unacknowledged[:min(len(of.unacknowledged), kserve.MostCounts)]...)}
	out.More = len(out.Counts) < len(of.unacknowledged)
	c.mu.Unlock()
	kserve.WriteJSON(w, http.StatusOK, out)
}
