package kserve

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
)

// Stages of a trip.
const (
	PhasePrefill  = "read"  // read the prompt, keep the state
	PhaseDecode   = "write" // fetch a waiting state and answer
	PhaseCombined = "whole" // read and answer in one place
)

// Errand is what a trip asks of a box: the parameters of its generate or generate_stream.
type AttemptParams struct {
	Phase           string `json:"stage"`
	DispatcherEpoch string `json:"dispatcher"` // its name and start, so that states of a killed one are told apart
	RequestNumber   uint64 `json:"question"`
	Attempt         int    `json:"trip"`
	DedupKey        string `json:"mark,omitempty"` // by which a repeat of a deduplicated question is known
	Class           string `json:"grade"`
	Tenant          string `json:"channel,omitempty"`
	Session         uint64 `json:"session,omitempty"`
	SharedPrefix    uint64 `json:"shared,omitempty"`
	PromptTokens    int    `json:"prompt_tokens"`
	PrefixTokens    int    `json:"shared_tokens,omitempty"`
	MaxTokens       int    `json:"max_tokens"`
	TimeoutUs       int64  `json:"timeout,omitempty"`
	// Where the state waits: the reader's name and its addresses (tcp4:, tcp6: or unix:), the best first.
	PrefillBackend   string   `json:"reader,omitempty"`
	KVCacheAddresses []string `json:"state,omitempty"`
}

// Key names the question at a box: ids are a dispatcher's own.
func (e AttemptParams) RequestKey() string {
	return fmt.Sprintf("%s/%d", e.DispatcherEpoch, e.RequestNumber)
}

// Outcomes that a box states.
const (
	OutcomePrefilled = "read"
	OutcomeCompleted = "answered"
	OutcomeFull      = "full"     // nothing has run: no slot and no place in the queue, or it drains
	OutcomeNoKVCache = "no_state" // nothing has run: no state could be fetched
	OutcomeFailed    = "failed"
)

// Told is what a box says at the end of a trip: the load report's values stand in the order of report.fields.
type AttemptResult struct {
	Outcome      string       `json:"outcome"`
	Error        string       `json:"error,omitempty"`
	CachedTokens int          `json:"kept_tokens"`
	Load         []float64    `json:"load,omitempty"`
	Usage        *UsageRecord `json:"count,omitempty"` // what the trip cost, as far as the box keeps counts
}

// The bounds of a load report.
const (
	mostLoad  = 4 // values
	mostValue = 1e6
)

// Bound leaves out what makes no sense beside the outcome of a trip.
func (t *AttemptResult) Sanitize(e AttemptParams) {
	t.CachedTokens = min(max(t.CachedTokens, 0), e.PromptTokens)
	if len(t.Load) > mostLoad || slices.ContainsFunc(t.Load, func(v float64) bool { return !(v >= 0 && v <= mostValue) }) {
		t.Load = nil
	}
	if c := t.Usage; c != nil && (c.check() != nil || c.RequestKey != e.RequestKey() || c.Attempt != e.Attempt || c.OutputTokens > e.MaxTokens || c.PrefillTokens+c.CachedTokens > mostReads*(e.PromptTokens+e.MaxTokens)) {
		t.Usage = nil
	}
}

// mostReads is how often a box may read a prompt anew within one trip, when its memory runs out, before its count is doubted.
const mostReads = 1000

// Token is one event of a stream: a piece of the answer, or its end.
type Token struct {
	Model string `json:"model_name,omitempty"`
	Text  string `json:"text_output"`
}

type errandBody struct {
	ID         string        `json:"id,omitempty"`
	Text       string        `json:"text_input"`
	Parameters AttemptParams `json:"parameters"`
}

// NewErrand makes the request of a trip to a box at base, such as http://127.0.0.1:8200.
func NewAttemptRequest(ctx context.Context, base, model, text string, e AttemptParams) (*http.Request, error) {
	raw, err := json.Marshal(errandBody{e.DedupKey, text, e})
	if err != nil {
		return nil, err
	}
	way := "/generate_stream"
	if e.Phase == PhasePrefill {
		way = "/generate"
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v2/models/"+model+way, bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	// The transport sends a POST anew by itself only where not a byte of it was written: a trip reaches one box once.
	r.Header.Set("Content-Type", "application/json")
	return r, nil
}

// ReadErrand decodes a trip's request at a box; the size of the body is bounded by its reader.
func ReadAttemptParams(body io.Reader) (AttemptParams, string, error) {
	var b errandBody
	if err := decode(body, &b); err != nil {
		return AttemptParams{}, "", err
	}
	e := b.Parameters
	if e.Phase != PhasePrefill && e.Phase != PhaseDecode && e.Phase != PhaseCombined {
		return e, "", bad("parameters.stage", "must be read, write or whole, not %q", e.Phase)
	}
	if e.DispatcherEpoch == "" {
		return e, "", bad("parameters.dispatcher", "is missing")
	}
	if e.PromptTokens < 0 || e.PrefixTokens < 0 || e.MaxTokens < 0 {
		return e, "", bad("parameters", "has a negative size")
	}
	return e, b.Text, nil
}

// Release is a question whose states and places a box lets go of: those of its trips up to one. A trip that arrives
// only after its release leaves none: on a slow way the one may overtake the other.
type Release struct {
	RequestKey  string `json:"key"`
	LastAttempt int    `json:"trip"`
}

type releaseBody struct {
	Release []Release `json:"release"`
}

// NewRelease makes the request that lets go of states.
func NewReleaseRequest(ctx context.Context, base, model string, release []Release) (*http.Request, error) {
	return post(ctx, base+"/v2/models/"+model+"/release", releaseBody{release})
}

// ReadRelease decodes its body.
func ReadReleases(body io.Reader) ([]Release, error) {
	var r releaseBody
	err := decode(body, &r)
	return r.Release, err
}

type fetchBody struct {
	Key string `json:"key"`
}

// NewFetch makes the request by which a writer takes a state from its reader.
func NewKVFetchRequest(ctx context.Context, base, model, key string) (*http.Request, error) {
	return post(ctx, base+"/v2/models/"+model+"/state", fetchBody{key})
}

// ReadFetch decodes its body.
func ReadKVFetch(body io.Reader) (string, error) {
	var f fetchBody
	err := decode(body, &f)
	return f.Key, err
}

func post(ctx context.Context, to string, v any) (*http.Request, error) {
	raw, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, to, bytes.NewReader(raw))
	if err == nil {
		r.Header.Set("Content-Type", "application/json")
	}
	return r, err
}
