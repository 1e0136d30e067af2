package kserve

import (
	"context"
	"io"
	"net/http"
)

// Count is what a box counted for one trip. Numbers begin with 1 for each start of a dispatcher and have no gaps.
type Count struct {
	Number  uint64 `json:"number"`
	Key     string `json:"key"` // of the question: dispatcher's start and number
	Trip    int    `json:"trip"`
	Mark    string `json:"mark,omitempty"`
	Stage   string `json:"stage"`
	Channel string `json:"channel,omitempty"`
	Grade   string `json:"grade,omitempty"`
	Read    int    `json:"read_tokens"`   // of the prompt, read here
	Kept    int    `json:"kept_tokens"`   // of the prompt, found kept here
	Answer  int    `json:"answer_tokens"` // made here
	End     string `json:"end"`
}

// Inquiry asks a box for the counts of a dispatcher's start with numbers above After; those up to there it may forget.
type Inquiry struct {
	From  string `json:"from"`
	After uint64 `json:"after"`
}

// Counts is the answer.
type Counts struct {
	Counts []Count `json:"counts"`
	More   bool    `json:"more,omitempty"`
	Open   int     `json:"open"`   // trips of that start that run here now
	Forgot uint64  `json:"forgot"` // the highest number that it was told to forget
}

// MostCounts is how many a box tells at once.
const MostCounts = 1000

// NewInquiry makes the request.
func NewInquiry(ctx context.Context, base, model string, q Inquiry) (*http.Request, error) {
	return post(ctx, base+"/v2/models/"+model+"/counts", q)
}

// ReadInquiry decodes it at a box.
func ReadInquiry(body io.Reader) (q Inquiry, err error) {
	if err = decode(body, &q); err == nil && (q.From == "" || len(q.From) > 512) {
		err = bad("from", "must name a dispatcher's start, in at most 512 bytes")
	}
	return q, err
}

// ReadCounts decodes the answer at a dispatcher.
func ReadCounts(body io.Reader) (c Counts, err error) {
	if err = decode(body, &c); err != nil {
		return c, err
	}
	last := uint64(0)
	for _, x := range c.Counts {
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
func (c *Count) check() error {
	if c.Trip < 0 || min(c.Read, c.Kept, c.Answer) < 0 || max(c.Read, c.Kept, c.Answer) > mostReads*MostTokens {
		return bad("counts", "number %d has a trip or tokens that make no sense", c.Number)
	}
	if len(c.Key) > 512 || len(c.Mark) > 512 || len(c.Channel) > 512 || len(c.Grade) > 512 || len(c.End) > 64 || len(c.Stage) > 64 {
		return bad("counts", "number %d has a name that is too long", c.Number)
	}
	return nil
}
