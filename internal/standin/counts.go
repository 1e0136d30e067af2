package standin

import (
	"net/http"
	"sync"

	"sloetrestle/internal/kserve"
	"sloetrestle/internal/record"
)

// counts are what a box has counted, by the starts of dispatchers. They are the box's own, as on its disk: its process may
// die and start anew.
type counts struct {
	mu sync.Mutex
	by map[string]*counted
}

type counted struct {
	last, forgot uint64
	list         []kserve.UsageRecord
	open         int
}

func (c *counts) of(from string) *counted {
	if c.by == nil {
		c.by = map[string]*counted{}
	}
	if c.by[from] == nil {
		c.by[from] = &counted{}
	}
	return c.by[from]
}

// begin takes word of a trip; the function that it returns counts it, once.
func (b *Box) count(e kserve.AttemptParams) func(end string, read, kept, answer int) *kserve.UsageRecord {
	c := &b.counts
	c.mu.Lock()
	defer c.mu.Unlock()
	of := c.of(e.DispatcherEpoch)
	of.open++
	var done *kserve.UsageRecord
	return func(end string, read, kept, answer int) *kserve.UsageRecord {
		c.mu.Lock()
		defer c.mu.Unlock()
		if done != nil {
			return done
		}
		of.open--
		of.last++
		done = &kserve.UsageRecord{Number: of.last, RequestKey: e.RequestKey(), Attempt: e.Attempt, DedupKey: e.DedupKey, Phase: e.Phase, Tenant: e.Tenant, Class: e.Class, PrefillTokens: read, CachedTokens: kept,
			OutputTokens: answer, EndReason: end}
		of.list = append(of.list, *done)
		b.fleet.Book.Put(record.Line{What: record.Counted, Box: b.Name, Key: e.RequestKey(), Trip: e.Attempt, Try: e.DedupKey, Stage: e.Phase, Grade: e.Class, Word: end,
			Tokens: read, Kept: kept, Answer: answer})
		return done
	}
}

// tell answers an inquiry.
func (b *Box) tell(w http.ResponseWriter, r *http.Request) {
	q, err := kserve.ReadUsageQuery(http.MaxBytesReader(w, r.Body, 64<<10))
	if err != nil {
		kserve.WriteError(w, err)
		return
	}
	c := &b.counts
	c.mu.Lock()
	of := c.of(q.DispatcherEpoch)
	for len(of.list) > 0 && of.list[0].Number <= q.After {
		of.forgot = of.list[0].Number
		of.list = of.list[1:]
	}
	out := kserve.UsageReport{InFlight: of.open, ForgottenThrough: of.forgot, Records: append([]kserve.UsageRecord{}, of.list[:min(len(of.list), kserve.MaxUsageRecords)]...)}
	out.More = len(out.Records) < len(of.list)
	c.mu.Unlock()
	kserve.WriteJSON(w, http.StatusOK, out)
}
