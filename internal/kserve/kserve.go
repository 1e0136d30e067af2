// Package kserve has the messages of the KServe v2 inference protocol (REST, with the generate extension and
// its server-sent events) as clients speak them to a dispatcher and dispatchers to boxes. It decodes strictly
// enough to name the field that is wrong, and bounds what it reads. It decides nothing and holds no state:
// begin with Ask, what a client wants, and Errand, what a trip asks of a box.
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

// Fault is a request that can't be taken, with the status that says so.
type RequestError struct {
	Status  int
	Field   string
	Message string
}

func (f *RequestError) Error() string {
	if f.Field == "" {
		return f.Message
	}
	return f.Field + ": " + f.Message
}

func bad(field, format string, args ...any) *RequestError {
	return &RequestError{http.StatusBadRequest, field, fmt.Sprintf(format, args...)}
}

// Params are a request's parameters: strings, numbers and truth values by name.
type Params map[string]any

func (p Params) text(name string) (string, error) {
	switch v := p[name].(type) {
	case nil:
		return "", nil
	case string:
		if len(v) > 512 {
			return "", bad("parameters."+name, "is longer than 512 bytes")
		}
		return v, nil
	case float64:
		return fmt.Sprintf("%.0f", v), nil
	}
	return "", bad("parameters."+name, "must be a string")
}

func (p Params) count(name string, most float64) (int, error) {
	switch v := p[name].(type) {
	case nil:
		return 0, nil
	case float64:
		if v != math.Trunc(v) || v < 0 || v > most {
			return 0, bad("parameters."+name, "must be a whole number from 0 to %.0f, not %v", most, v)
		}
		return int(v), nil
	}
	return 0, bad("parameters."+name, "must be a number")
}

func (p Params) yes(name string) (bool, error) {
	switch v := p[name].(type) {
	case nil:
		return false, nil
	case bool:
		return v, nil
	}
	return false, bad("parameters."+name, "must be true or false")
}

// Tensor is one input or output of an inference.
type Tensor struct {
	Name     string          `json:"name"`
	Shape    []int64         `json:"shape"`
	Datatype string          `json:"datatype"`
	Data     json.RawMessage `json:"data"`
}

// Inference is the body of infer; Output its answer.
type InferRequest struct {
	ID         string   `json:"id,omitempty"`
	Parameters Params   `json:"parameters,omitempty"`
	Inputs     []Tensor `json:"inputs"`
}

// Output is the answer of infer.
type InferResponse struct {
	Model      string   `json:"model_name"`
	Version    string   `json:"model_version,omitempty"`
	ID         string   `json:"id,omitempty"`
	Parameters Params   `json:"parameters,omitempty"`
	Outputs    []Tensor `json:"outputs"`
}

// Prompt is the body of generate and generate_stream.
type GenerateRequest struct {
	ID         string `json:"id,omitempty"`
	Text       string `json:"text_input"`
	Parameters Params `json:"parameters,omitempty"`
}

// Ask is what a client wants. What it left out is zero; Tokens and Shared then come from Text.
type Request struct {
	ID           string
	Text         string
	Session      string
	SharedPrefix string
	Class        string
	Tenant       string
	PromptTokens int // of the prompt
	PrefixTokens int // of them, how many are the shared beginning
	MaxTokens    int // of the answer
	Timeout      time.Duration
	IsRetry      bool
	RetryTicket  string // of an earlier decline: whoever comes when it was told to has a place
}

// MostTokens is the largest prompt or answer that is taken for meant.
const MaxTokens = 10_000_000

// ReadPrompt decodes the body of generate and generate_stream.
func ReadGenerateRequest(body io.Reader) (Request, error) {
	var p GenerateRequest
	if err := decode(body, &p); err != nil {
		return Request{}, err
	}
	return p.Parameters.ask(p.ID, p.Text)
}

// ReadInference decodes the body of infer: its first BYTES input is the prompt.
func ReadInferRequest(body io.Reader) (Request, error) {
	var in InferRequest
	if err := decode(body, &in); err != nil {
		return Request{}, err
	}
	if len(in.Inputs) == 0 {
		return Request{}, bad("inputs", "is missing or empty")
	}
	t := in.Inputs[0]
	if t.Datatype != "BYTES" {
		return Request{}, bad("inputs.0.datatype", "must be BYTES, not %q", t.Datatype)
	}
	size := int64(1)
	for _, n := range t.Shape {
		if n < 0 {
			return Request{}, bad("inputs.0.shape", "has the negative size %d", n)
		}
		size *= n
	}
	var texts []string
	if err := json.Unmarshal(t.Data, &texts); err != nil || len(texts) != 1 || size != 1 {
		return Request{}, bad("inputs.0.data", "must hold one string, and shape [1]")
	}
	return in.Parameters.ask(in.ID, texts[0])
}

func decode(body io.Reader, into any) error {
	dec := json.NewDecoder(body)
	err := dec.Decode(into)
	if err == nil && dec.More() {
		return bad("", "something stands after the body's JSON, from byte %d", dec.InputOffset())
	}
	var large *http.MaxBytesError
	var kind *json.UnmarshalTypeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &large):
		return &RequestError{http.StatusRequestEntityTooLarge, "", fmt.Sprintf("the body is longer than %d bytes", large.Limit)}
	case errors.As(err, &kind):
		return bad(kind.Field, "must not be a %s", kind.Value)
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return bad("", "the body ends before its JSON does")
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return bad("", "the body is no JSON at byte %d: %v", syntax.Offset, err)
	}
	return &RequestError{http.StatusRequestTimeout, "", "the body did not arrive: " + err.Error()}
}

func (p Params) ask(id, text string) (a Request, err error) {
	a.ID, a.Text = id, text
	if len(id) > 512 {
		return a, bad("id", "is longer than 512 bytes")
	}
	for name, to := range map[string]*string{"session": &a.Session, "shared": &a.SharedPrefix, "grade": &a.Class, "channel": &a.Tenant, "ticket": &a.RetryTicket} {
		if *to, err = p.text(name); err != nil {
			return a, err
		}
	}
	for name, to := range map[string]*int{"prompt_tokens": &a.PromptTokens, "shared_tokens": &a.PrefixTokens, "max_tokens": &a.MaxTokens} {
		if *to, err = p.count(name, MaxTokens); err != nil {
			return a, err
		}
	}
	if a.IsRetry, err = p.yes("again"); err != nil {
		return a, err
	}
	left, err := p.count("timeout", 3.6e9)
	a.Timeout = time.Duration(left) * time.Microsecond
	if err == nil && a.Text == "" && a.PromptTokens == 0 {
		err = bad("text_input", "is empty, and parameters.prompt_tokens is not given")
	}
	return a, err
}

// The three final answers.
const (
	Served   = "satisfied"
	Rejected = "declined"
	Failed   = "forfeited"
)

// Final is a question's final answer in a form that a program can read. Harmless says that asking again does
// no harm; without it nothing is promised.
type FinalResponse struct {
	Outcome      string `json:"final"`
	Error        string `json:"error,omitempty"`
	SafeToRetry  bool   `json:"harmless"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
	Attempts     int    `json:"trips"`
	RetryTicket  string `json:"ticket,omitempty"` // to be sent along when coming back
}

// Status is the HTTP status of a final answer before any token was sent.
func (f FinalResponse) Status() int {
	switch f.Outcome {
	case Served:
		return http.StatusOK
	case Rejected:
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// WriteFinal answers with no token sent: Retry-After is in whole seconds, as HTTP has it, rounded up.
func WriteFinalResponse(w http.ResponseWriter, f FinalResponse) {
	if f.RetryAfterMs > 0 {
		w.Header().Set("Retry-After", fmt.Sprint((f.RetryAfterMs+999)/1000))
	}
	WriteJSON(w, f.Status(), f)
}

// Unsent tells whether a request failed before a connection was made, so that nothing of it was sent.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// WriteJSON answers with one value.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

// WriteFault answers a request that was not taken.
func WriteError(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	var f *RequestError
	if errors.As(err, &f) {
		status = f.Status
	}
	WriteJSON(w, status, map[string]string{"error": err.Error()})
}
