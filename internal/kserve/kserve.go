// Package kserve has the messages of the KServe v2 inference protocol (REST, with the generate extension and its
// server-sent events) that clients exchange with a dispatcher and dispatchers with backends. It decodes strictly
// enough to name the field that is wrong, and bounds what it reads. It makes no decisions and holds no state. Begin
// with Request, which a client sends, and AttemptParams, which a dispatcher sends to a backend.
package kserve

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"time"
)

// RequestError is an invalid request, with the HTTP status and the field that is wrong.
type RequestError struct {
	Status  int
	Field   string
	Message string
}

// Error returns the message, preceded by the field if there is one.
func (e *RequestError) Error() string {
	if e.Field == "" {
		return e.Message
	}
	return e.Field + ": " + e.Message
}

func badRequest(field, format string, args ...any) *RequestError {
	return &RequestError{http.StatusBadRequest, field, fmt.Sprintf(format, args...)}
}

// Params are the parameters of a request: strings, numbers and booleans by name.
type Params map[string]any

func (p Params) stringValue(name string) (string, error) {
	switch v := p[name].(type) {
	case nil:
		return "", nil
	case string:
		if len(v) > maxNameBytes {
			return "", badRequest("parameters."+name, "is longer than 512 bytes")
		}
		return v, nil
	case float64:
		return fmt.Sprintf("%.0f", v), nil
	}
	return "", badRequest("parameters."+name, "must be a string")
}

func (p Params) intValue(name string, limit float64) (int, error) {
	switch v := p[name].(type) {
	case nil:
		return 0, nil
	case float64:
		if v != math.Trunc(v) || v < 0 || v > limit {
			return 0, badRequest("parameters."+name, "must be a whole number from 0 to %.0f, not %v", limit, v)
		}
		return int(v), nil
	}
	return 0, badRequest("parameters."+name, "must be a number")
}

func (p Params) boolValue(name string) (bool, error) {
	switch v := p[name].(type) {
	case nil:
		return false, nil
	case bool:
		return v, nil
	}
	return false, badRequest("parameters."+name, "must be true or false")
}

// Tensor is one input or output of an inference.
type Tensor struct {
	Name     string          `json:"name"`
	Shape    []int64         `json:"shape"`
	Datatype string          `json:"datatype"`
	Data     json.RawMessage `json:"data"`
}

// InferRequest is the body of an infer request.
type InferRequest struct {
	ID         string   `json:"id,omitempty"`
	Parameters Params   `json:"parameters,omitempty"`
	Inputs     []Tensor `json:"inputs"`
}

// InferResponse is the response to an infer request.
type InferResponse struct {
	Model      string   `json:"model_name"`
	Version    string   `json:"model_version,omitempty"`
	ID         string   `json:"id,omitempty"`
	Parameters Params   `json:"parameters,omitempty"`
	Outputs    []Tensor `json:"outputs"`
}

// GenerateRequest is the body of a generate or generate_stream request.
type GenerateRequest struct {
	ID         string `json:"id,omitempty"`
	Text       string `json:"text_input"`
	Parameters Params `json:"parameters,omitempty"`
}

// Request is a client's request. Values that the client left out are zero; PromptTokens and SharedPrefix are then
// derived from Text.
type Request struct {
	ID           string
	Text         string
	Session      string
	SharedPrefix string // name of the prefix shared with other requests
	Class        string
	Tenant       string
	PromptTokens int
	PrefixTokens int // prompt tokens that belong to the shared prefix
	MaxTokens    int // limit of the output
	Timeout      time.Duration
	IsRetry      bool
	RetryTicket  string // from an earlier rejection: admits a retry that comes at the time it was given
}

// MaxTokens is the largest prompt or output that is accepted, in tokens.
const MaxTokens = 10_000_000

// maxTimeoutUs is the longest timeout that a client may state, in microseconds: one hour.
const maxTimeoutUs = 3.6e9

// ReadGenerateRequest decodes the body of a generate or generate_stream request.
func ReadGenerateRequest(body io.Reader) (Request, error) {
	var in GenerateRequest
	if err := decode(body, &in); err != nil {
		return Request{}, err
	}
	return in.Parameters.request(in.ID, in.Text)
}

// ReadInferRequest decodes the body of an infer request. Its first input, of datatype BYTES, is the prompt.
func ReadInferRequest(body io.Reader) (Request, error) {
	var in InferRequest
	if err := decode(body, &in); err != nil {
		return Request{}, err
	}
	if len(in.Inputs) == 0 {
		return Request{}, badRequest("inputs", "is missing or empty")
	}
	input := in.Inputs[0]
	if input.Datatype != "BYTES" {
		return Request{}, badRequest("inputs.0.datatype", "must be BYTES, not %q", input.Datatype)
	}
	size := int64(1)
	for _, n := range input.Shape {
		if n < 0 {
			return Request{}, badRequest("inputs.0.shape", "has the negative size %d", n)
		}
		size *= n
	}
	var texts []string
	if err := json.Unmarshal(input.Data, &texts); err != nil || len(texts) != 1 || size != 1 {
		return Request{}, badRequest("inputs.0.data", "must hold one string, and shape [1]")
	}
	return in.Parameters.request(in.ID, texts[0])
}

func decode(body io.Reader, into any) error {
	dec := json.NewDecoder(body)
	err := dec.Decode(into)
	if err == nil && dec.More() {
		return badRequest("", "something stands after the body's JSON, from byte %d", dec.InputOffset())
	}
	var tooLarge *http.MaxBytesError
	var wrongType *json.UnmarshalTypeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		return &RequestError{
			http.StatusRequestEntityTooLarge, "", fmt.Sprintf("the body is longer than %d bytes", tooLarge.Limit),
		}
	case errors.As(err, &wrongType):
		return badRequest(wrongType.Field, "must not be a %s", wrongType.Value)
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return badRequest("", "the body ends before its JSON does")
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return badRequest("", "the body is no JSON at byte %d: %v", syntax.Offset, err)
	}
	return &RequestError{http.StatusRequestTimeout, "", "the body did not arrive: " + err.Error()}
}

func (p Params) request(id, text string) (request Request, err error) {
	request.ID, request.Text = id, text
	if len(id) > maxNameBytes {
		return request, badRequest("id", "is longer than 512 bytes")
	}
	for name, to := range map[string]*string{
		"session": &request.Session, "shared": &request.SharedPrefix, "grade": &request.Class,
		"channel": &request.Tenant, "ticket": &request.RetryTicket,
	} {
		if *to, err = p.stringValue(name); err != nil {
			return request, err
		}
	}
	for name, to := range map[string]*int{
		"prompt_tokens": &request.PromptTokens, "shared_tokens": &request.PrefixTokens, "max_tokens": &request.MaxTokens,
	} {
		if *to, err = p.intValue(name, MaxTokens); err != nil {
			return request, err
		}
	}
	if request.IsRetry, err = p.boolValue("again"); err != nil {
		return request, err
	}
	timeoutUs, err := p.intValue("timeout", maxTimeoutUs)
	request.Timeout = time.Duration(timeoutUs) * time.Microsecond
	if err == nil && request.Text == "" && request.PromptTokens == 0 {
		err = badRequest("text_input", "is empty, and parameters.prompt_tokens is not given")
	}
	return request, err
}

// Outcomes of a final response.
const (
	Served   = "satisfied"
	Rejected = "declined" // not served; invites a retry
	Failed   = "forfeited"
)

// FinalResponse is the final response to a request in machine-readable form.
type FinalResponse struct {
	Outcome      string `json:"final"`
	Error        string `json:"error,omitempty"`
	SafeToRetry  bool   `json:"harmless"` // a retry does no harm; if false, it may
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
	Attempts     int    `json:"trips"`
	RetryTicket  string `json:"ticket,omitempty"` // to be sent with the retry
}

// Status returns the HTTP status of a final response that is sent before any token.
func (r FinalResponse) Status() int {
	switch r.Outcome {
	case Served:
		return http.StatusOK
	case Rejected:
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// WriteFinalResponse writes a final response before any token was sent. HTTP has Retry-After in whole seconds, so it is
// rounded up.
func WriteFinalResponse(w http.ResponseWriter, final FinalResponse) {
	if final.RetryAfterMs > 0 {
		w.Header().Set("Retry-After", fmt.Sprint((final.RetryAfterMs+999)/1000))
	}
	WriteJSON(w, final.Status(), final)
}

// IsDialError reports whether a request failed before its connection was established, so that no byte of it was sent.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// WriteJSON writes a response with the JSON of v as its body.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

// WriteError writes the response to a request that was not accepted. The status is that of a RequestError, else 500.
func WriteError(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	var requestErr *RequestError
	if errors.As(err, &requestErr) {
		status = requestErr.Status
	}
	WriteJSON(w, status, map[string]string{"error": err.Error()})
}
