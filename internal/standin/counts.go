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
	list         []kserve.Count
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
func (b *Box) count(e kserve.Errand) func(end string, read, kept, answer int) *kserve.Count {
	c := &b.counts
	c.mu.Lock()
	defer c.mu.Unlock()
	of := c.of(e.From)
	of.open++
	var done *kserve.Count
	return func(end string, read, kept, answer int) *kserve.Count {
		c.mu.Lock()
		defer c.mu.Unlock()
		if done != nil {
			return done
		}
		of.open--
		of.last++
		done = &kserve.Count{Number: of.last, Key: e.Key(), Trip: e.Trip, Mark: e.Mark, Stage: e.Stage, Channel: e.Channel, Grade: e.Grade, Read: read, Kept: kept,
			Answer: answer, End: end}
		of.list = append(of.list, *done)
		b.fleet.Book.Record(record.Event{Kind: record.UsageCounted, Backend: b.Name, RequestKey: e.Key(), Attempt: e.Trip, Try: e.Mark, Phase: e.Stage, Class: e.Grade, Detail: end,
			Tokens: read, CachedTokens: kept, AnswerTokens: answer})
		return done
	}
}

// tell answers an inquiry.
func (b *Box) tell(w http.ResponseWriter, r *http.Request) {
	q, err := kserve.ReadInquiry(http.MaxBytesReader(w, r.Body, 64<<10))
	if err != nil {
		kserve.WriteFault(w, err)
		return
	}
	c := &b.counts
	c.mu.Lock()
	of := c.of(q.From)
	for len(of.list) > 0 && of.list[0].Number <= q.After {
		of.forgot = of.list[0].Number
		of.list = of.list[1:]
	}
	out := kserve.Counts{Open: of.open, Forgot: of.forgot, Counts: append([]kserve.Count{}, of.list[:min(len(of.list), kserve.MostCounts)]...)}
	out.More = len(out.Counts) < len(of.list)
	c.mu.Unlock()
	kserve.WriteJSON(w, http.StatusOK, out)
}
