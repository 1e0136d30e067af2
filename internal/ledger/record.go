// Package ledger keeps what each question cost: a journal of records in segments, each record sealed together with the one
// before it, committed in groups; a store that closed segments are folded into; and the bills that are summed from both. What
// it promises is in docs/ledger.md. It decides nothing about questions. Begin with Open, then Book for the running
// dispatcher's side and Bill for readers.
package ledger

import (
	"bytes"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Record is one line of the account; one of its parts is set. Later versions add numbers and never reuse them.
type Record struct {
	UnixMilli int64    `cbor:"1,keyasint"` // milliseconds since 1970 by its dispatcher's clock, never before the record ahead of it
	Epoch     *Epoch   `cbor:"2,keyasint,omitempty" json:",omitempty"`
	Request   *Request `cbor:"3,keyasint,omitempty" json:",omitempty"`
	Attempt   *Attempt `cbor:"4,keyasint,omitempty" json:",omitempty"`
	Budget    *Budget  `cbor:"5,keyasint,omitempty" json:",omitempty"`
}

// Epoch is a start of a dispatcher, durable before its first trip; or its end, when all of its trips are accounted for.
type Epoch struct {
	Name   string `cbor:"1,keyasint"`
	Closed bool   `cbor:"2,keyasint,omitempty" json:",omitempty"`
}

// Question is the end of one, as its dispatcher gave it.
type Request struct {
	Key          string `cbor:"1,keyasint"` // epoch/number, alike in all its trips
	RequestID    string `cbor:"2,keyasint,omitempty" json:",omitempty"`
	Tenant       string `cbor:"3,keyasint,omitempty"`
	Class        string `cbor:"4,keyasint"`
	Outcome      string `cbor:"5,keyasint"` // satisfied, declined, forfeited, or left
	PromptTokens int    `cbor:"6,keyasint"`
	OutputTokens int    `cbor:"7,keyasint,omitempty"` // tokens that went to the client
	Attempts     int    `cbor:"8,keyasint,omitempty"`
	Reason       string `cbor:"9,keyasint,omitempty"`
}

// Trip is what a box counted for one; with Number 0 it is what the dispatcher saw of a trip whose box can't be asked any more.
type Attempt struct {
	Backend       string `cbor:"1,keyasint"`
	Epoch         string `cbor:"2,keyasint"` // of the dispatcher
	Number        uint64 `cbor:"3,keyasint,omitempty"`
	Key           string `cbor:"4,keyasint"`
	Index         int    `cbor:"5,keyasint,omitempty"`
	RequestID     string `cbor:"6,keyasint,omitempty"`
	Phase         string `cbor:"7,keyasint"`
	Tenant        string `cbor:"8,keyasint,omitempty"`
	Class         string `cbor:"9,keyasint"`
	PrefillTokens int    `cbor:"10,keyasint,omitempty"` // prompt tokens read
	CachedTokens  int    `cbor:"11,keyasint,omitempty"` // prompt tokens found kept
	OutputTokens  int    `cbor:"12,keyasint,omitempty"` // answer tokens made
	Outcome       string `cbor:"13,keyasint"`
}

// Proven tells whether a box stated it.
func (t *Attempt) Confirmed() bool { return t.Number > 0 }

// Budget is a change of a budget's state: see internal/budget for what its words mean.
type Budget struct {
	Name   string  `cbor:"1,keyasint"`
	Kind   string  `cbor:"2,keyasint"`
	Month  int64   `cbor:"3,keyasint,omitempty"`
	Tokens float64 `cbor:"4,keyasint,omitempty"`
	Terms  string  `cbor:"5,keyasint,omitempty"`
}

// mostRecord bounds one record's bytes: names are at most 512 bytes each.
const mostRecord = 8 << 10

var decoding = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 64, MaxMapPairs: 64, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// encode writes a record.
func encode(r Record) ([]byte, error) {
	raw, err := cbor.Marshal(r)
	if err == nil && len(raw) > mostRecord {
		err = fmt.Errorf("a record of %d bytes is larger than %d", len(raw), mostRecord)
	}
	return raw, err
}

// decode reads one, and refuses what is none.
func decode(raw []byte) (r Record, err error) {
	if len(raw) > mostRecord {
		return r, fmt.Errorf("a record of %d bytes is larger than %d", len(raw), mostRecord)
	}
	dec := decoding.NewDecoder(bytes.NewReader(raw))
	if err = dec.Decode(&r); err != nil {
		return Record{}, err
	}
	if dec.NumBytesRead() != len(raw) {
		return Record{}, fmt.Errorf("%d bytes follow the record", len(raw)-dec.NumBytesRead())
	}
	parts := 0
	for _, set := range []bool{r.Epoch != nil, r.Request != nil, r.Attempt != nil, r.Budget != nil} {
		if set {
			parts++
		}
	}
	if parts != 1 {
		return Record{}, fmt.Errorf("the record has %d parts instead of one", parts)
	}
	if t := r.Attempt; t != nil && (t.PrefillTokens < 0 || t.CachedTokens < 0 || t.OutputTokens < 0) {
		return Record{}, fmt.Errorf("a trip's tokens are negative")
	}
	return r, nil
}
