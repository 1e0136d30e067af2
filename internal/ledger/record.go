// Package ledger records what each request cost: a journal of segments with hash-chained records, committed in
// groups; a store into which closed segments are compacted; and bills that are summed from both. It makes no decision
// about requests. Begin with Open and Recorder for the running dispatcher, and with Read and Collector for readers.
package ledger

import (
	"bytes"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Record is one entry of the ledger; exactly one of its parts is set. Later versions add CBOR keys and never reuse
// them.
type Record struct {
	// UnixMilli is the time by the dispatcher's clock in milliseconds since 1970, never before that of the previous
	// record.
	UnixMilli int64    `cbor:"1,keyasint" json:"At"`
	Epoch     *Epoch   `cbor:"2,keyasint,omitempty" json:",omitempty"`
	Request   *Request `cbor:"3,keyasint,omitempty" json:"Question,omitempty"`
	Attempt   *Attempt `cbor:"4,keyasint,omitempty" json:"Trip,omitempty"`
	Budget    *Budget  `cbor:"5,keyasint,omitempty" json:",omitempty"`
}

// Epoch is a start of a dispatcher, durable before its first attempt, or its end once all its attempts are accounted
// for.
type Epoch struct {
	Name   string `cbor:"1,keyasint"`
	Closed bool   `cbor:"2,keyasint,omitempty" json:",omitempty"`
}

// Request is the end of a request as its dispatcher saw it.
type Request struct {
	Key          string `cbor:"1,keyasint"`                                 // epoch/number, the same in all its attempts
	RequestID    string `cbor:"2,keyasint,omitempty" json:"Mark,omitempty"` // as given by the client
	Tenant       string `cbor:"3,keyasint,omitempty" json:"Channel"`
	Class        string `cbor:"4,keyasint" json:"Grade"`
	Outcome      string `cbor:"5,keyasint" json:"Final"` // satisfied, declined, forfeited, or left
	PromptTokens int    `cbor:"6,keyasint" json:"Prompt"`
	OutputTokens int    `cbor:"7,keyasint,omitempty" json:"Answer"` // sent to the client
	Attempts     int    `cbor:"8,keyasint,omitempty" json:"Trips"`
	Reason       string `cbor:"9,keyasint,omitempty" json:"Why"`
}

// Attempt is what a backend counted for an attempt. With Number 0 it is what the dispatcher saw of an attempt whose
// backend can no longer report it.
type Attempt struct {
	Backend       string `cbor:"1,keyasint" json:"Box"`
	Epoch         string `cbor:"2,keyasint"`           // of the dispatcher
	Number        uint64 `cbor:"3,keyasint,omitempty"` // of the backend's count for that epoch, from 1
	Key           string `cbor:"4,keyasint"`           // of the request
	Index         int    `cbor:"5,keyasint,omitempty" json:"Trip"`
	RequestID     string `cbor:"6,keyasint,omitempty" json:"Mark"`
	Phase         string `cbor:"7,keyasint" json:"Stage"` // read (prefill), write (decode), or whole
	Tenant        string `cbor:"8,keyasint,omitempty" json:"Channel"`
	Class         string `cbor:"9,keyasint" json:"Grade"`
	PrefillTokens int    `cbor:"10,keyasint,omitempty" json:"Read"`
	CachedTokens  int    `cbor:"11,keyasint,omitempty" json:"Kept"` // prompt tokens found in the cache
	OutputTokens  int    `cbor:"12,keyasint,omitempty" json:"Answer"`
	Outcome       string `cbor:"13,keyasint" json:"End"`
}

// Confirmed reports whether the backend reported the attempt.
func (a *Attempt) Confirmed() bool { return a.Number > 0 }

// Budget is a change of a budget's state. The budget package defines its kinds.
type Budget struct {
	Name   string  `cbor:"1,keyasint"`
	Kind   string  `cbor:"2,keyasint" json:"What"`
	Month  int64   `cbor:"3,keyasint,omitempty" json:"Period"`
	Tokens float64 `cbor:"4,keyasint,omitempty"`
	Terms  string  `cbor:"5,keyasint,omitempty"`
}

// maxRecordBytes bounds an encoded record. Names have at most 512 bytes each.
const maxRecordBytes = 8 << 10

var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 64, MaxMapPairs: 64,
		DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

func encode(r Record) ([]byte, error) {
	raw, err := cbor.Marshal(r)
	if err == nil && len(raw) > maxRecordBytes {
		err = fmt.Errorf("a record of %d bytes is larger than %d", len(raw), maxRecordBytes)
	}
	return raw, err
}

// decode decodes one record and returns an error for anything else.
func decode(raw []byte) (r Record, err error) {
	if len(raw) > maxRecordBytes {
		return r, fmt.Errorf("a record of %d bytes is larger than %d", len(raw), maxRecordBytes)
	}
	dec := decMode.NewDecoder(bytes.NewReader(raw))
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
	if a := r.Attempt; a != nil && (a.PrefillTokens < 0 || a.CachedTokens < 0 || a.OutputTokens < 0) {
		return Record{}, fmt.Errorf("an attempt's tokens are negative")
	}
	return r, nil
}
