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

// Phases that an attempt runs on a backend.
const (
	PhasePrefill  = "read"  // process the prompt and hold its KV cache until decode
	PhaseDecode   = "write" // fetch a held KV cache and generate the output
	PhaseCombined = "whole" // prefill and decode on one backend
)

// AttemptParams are the parameters of a generate or generate_stream request that a dispatcher sends to a backend.
type AttemptParams struct {
	Phase           string `json:"stage"`
	DispatcherEpoch string `json:"dispatcher"` // name and start: tells the KV caches of a killed dispatcher apart
	RequestNumber   uint64 `json:"question"`   // unique within the dispatcher epoch
	Attempt         int    `json:"trip"`
	DedupKey        string `json:"mark,omitempty"` // by which a repeat of a deduplicated request is recognised
	Class           string `json:"grade"`
	Tenant          string `json:"channel,omitempty"`
	Session         uint64 `json:"session,omitempty"`
	SharedPrefix    uint64 `json:"shared,omitempty"` // identifies the prefix shared with other requests
	PromptTokens    int    `json:"prompt_tokens"`
	PrefixTokens    int    `json:"shared_tokens,omitempty"` // prompt tokens that belong to the shared prefix
	MaxTokens       int    `json:"max_tokens"`
	TimeoutUs       int64  `json:"timeout,omitempty"`
	// The backend that holds the KV cache: its name and its addresses (tcp4:, tcp6: or unix:), the preferred one first.
	PrefillBackend   string   `json:"reader,omitempty"`
	KVCacheAddresses []string `json:"state,omitempty"`
}

// RequestKey identifies the request on a backend. Request numbers alone are unique only within a dispatcher epoch.
func (p AttemptParams) RequestKey() string {
	return fmt.Sprintf("%s/%d", p.DispatcherEpoch, p.RequestNumber)
}

// Outcomes that a backend reports.
const (
	OutcomePrefilled = "read"
	OutcomeCompleted = "answered"
	OutcomeFull      = "full"     // nothing has run: no slot and no place in the queue, or the backend is draining
	OutcomeNoKVCache = "no_state" // nothing has run: the KV cache could not be fetched
	OutcomeFailed    = "failed"
)

// AttemptResult is what a backend reports at the end of an attempt. The values of the load report are in the order of
// the setting report.fields.
type AttemptResult struct {
	Outcome      string       `json:"outcome"`
	Error        string       `json:"error,omitempty"`
	CachedTokens int          `json:"kept_tokens"`
	Load         []float64    `json:"load,omitempty"`
	Usage        *UsageRecord `json:"count,omitempty"` // nil if the backend keeps no usage records
}

// The bounds of a load report.
const (
	maxLoadValues = 4 // number of values
	maxLoadValue  = 1e6
)

// Sanitize clamps or drops the values beside the outcome that are out of bounds or belong to another attempt.
func (r *AttemptResult) Sanitize(params AttemptParams) {
	r.CachedTokens = min(max(r.CachedTokens, 0), params.PromptTokens)
	if len(r.Load) > maxLoadValues ||
		slices.ContainsFunc(r.Load, func(v float64) bool { return !(v >= 0 && v <= maxLoadValue) }) {
		r.Load = nil
	}
	if usage := r.Usage; usage != nil && (usage.check() != nil || usage.RequestKey != params.RequestKey() ||
		usage.Attempt != params.Attempt || usage.OutputTokens > params.MaxTokens ||
		usage.PrefillTokens+usage.CachedTokens > maxPrefillRepeats*(params.PromptTokens+params.MaxTokens)) {
		r.Usage = nil
	}
}

// maxPrefillRepeats is how often a backend may prefill a prompt again within one attempt, as it does when it runs out
// of memory, before its usage record is taken for invalid.
const maxPrefillRepeats = 1000

// Token is one event of a stream: a piece of the output.
type Token struct {
	Model string `json:"model_name,omitempty"`
	Text  string `json:"text_output"`
}

// AttemptHeader is the header that names an attempt, in the request and in the head of its response. It shows to which
// request of a connection a response belongs.
const AttemptHeader = "X-Attempt"

// Name identifies the attempt among all attempts of all dispatchers.
func (p AttemptParams) Name() string { return fmt.Sprintf("%s/%d", p.RequestKey(), p.Attempt) }

type attemptBody struct {
	ID         string        `json:"id,omitempty"`
	Text       string        `json:"text_input"`
	Parameters AttemptParams `json:"parameters"`
}

// NewAttemptRequest builds the HTTP request of an attempt to a backend at base, such as http://127.0.0.1:8200.
func NewAttemptRequest(ctx context.Context, base, model, text string, params AttemptParams) (*http.Request, error) {
	raw, err := json.Marshal(attemptBody{params.DedupKey, text, params})
	if err != nil {
		return nil, err
	}
	endpoint := "/generate_stream"
	if params.Phase == PhasePrefill {
		endpoint = "/generate"
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v2/models/"+model+endpoint, bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	// The transport resends a POST by itself only if no byte of it was written, so an attempt reaches one backend once.
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(AttemptHeader, params.Name())
	return r, nil
}

// ReadAttemptParams decodes the request of an attempt on a backend, and returns its parameters and prompt text. The
// caller bounds the size of body.
func ReadAttemptParams(body io.Reader) (AttemptParams, string, error) {
	var request attemptBody
	if err := decode(body, &request); err != nil {
		return AttemptParams{}, "", err
	}
	params := request.Parameters
	if params.Phase != PhasePrefill && params.Phase != PhaseDecode && params.Phase != PhaseCombined {
		return params, "", badRequest("parameters.stage", "must be read, write or whole, not %q", params.Phase)
	}
	if params.DispatcherEpoch == "" {
		return params, "", badRequest("parameters.dispatcher", "is missing")
	}
	if params.PromptTokens < 0 || params.PrefixTokens < 0 || params.MaxTokens < 0 {
		return params, "", badRequest("parameters", "has a negative size")
	}
	return params, request.Text, nil
}

// Release names a request whose KV caches and slots a backend releases, for its attempts up to LastAttempt. An attempt
// that arrives after its release holds nothing: on a slow connection the release may overtake the attempt.
type Release struct {
	RequestKey  string `json:"key"`
	LastAttempt int    `json:"trip"`
}

type releaseBody struct {
	Release []Release `json:"release"`
}

// NewReleaseRequest builds the HTTP request that releases KV caches.
func NewReleaseRequest(ctx context.Context, base, model string, releases []Release) (*http.Request, error) {
	return post(ctx, base+"/v2/models/"+model+"/release", releaseBody{releases})
}

// ReadReleases decodes the body of a release request.
func ReadReleases(body io.Reader) ([]Release, error) {
	var request releaseBody
	err := decode(body, &request)
	return request.Release, err
}

type kvFetchBody struct {
	Key string `json:"key"`
}

// NewKVFetchRequest builds the HTTP request by which a decode backend fetches the KV cache of the request with that key
// from its prefill backend.
func NewKVFetchRequest(ctx context.Context, base, model, key string) (*http.Request, error) {
	return post(ctx, base+"/v2/models/"+model+"/state", kvFetchBody{key})
}

// ReadKVFetch decodes the body of a KV fetch request and returns the request key.
func ReadKVFetch(body io.Reader) (string, error) {
	var request kvFetchBody
	err := decode(body, &request)
	return request.Key, err
}

func post(ctx context.Context, url string, v any) (*http.Request, error) {
	raw, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err == nil {
		r.Header.Set("Content-Type", "application/json")
	}
	return r, err
}
