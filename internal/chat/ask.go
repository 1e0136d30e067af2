// Package chat is the platform's protocol as codecs: what a client's request says, what a box's answer says, and the
// calls by which states are let go. It opens no socket and looks at no clock, and takes the bodies of questions for opaque. Begin
// with Read for clients, Stream for boxes.
package chat

import (
	"fmt"
	"maps"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Bounds of what is taken from outside.
const (
	MaxHeadBytes  = 16 << 10  // bytes of a head
	MaxBodyBytes  = 256 << 10 // bytes of a body
	maxIDBytes    = 128       // bytes of a name in a head
	maxTimeout    = time.Hour // that a client waits
	maxTokens     = 10_000_000
	bytesPerToken = 4 // bytes of text to a token
)

// Path is where questions are asked; Ready is where the front looks whether a dispatcher can serve.
const (
	CompletionsPath = "/v1/chat/completions"
	ReadyPath       = "/ready"
)

// Ask is what a request's head says of a question.
type Request struct {
	ID           string
	Class        string
	Tenant       string
	Session      string
	PrefixID     string // the beginning that the prompt shares with other sessions
	PromptTokens int    // of the prompt
	PrefixTokens int    // of the shared beginning
	MaxTokens    int    // of the answer
	Timeout      time.Duration
	Retried      bool // the client asked before
	Resumed      bool // it asks for the rest of a stream that broke
}

// Refusal is why a request is no question.
type RequestError struct {
	Status int
	Reason string
}

func (r *RequestError) Error() string { return r.Reason }

func badRequest(why string) *RequestError { return &RequestError{http.StatusBadRequest, why} }

// Read takes a request's head for a question.
func ParseRequest(r *http.Request) (Request, *RequestError) {
	var a Request
	switch {
	case r.ContentLength < 0 && !slices.Equal(r.TransferEncoding, []string{"chunked"}):
		return a, &RequestError{http.StatusLengthRequired, "length"}
	case r.URL.Path != CompletionsPath:
		return a, &RequestError{http.StatusNotFound, "path"}
	case r.Method != http.MethodPost:
		return a, &RequestError{http.StatusMethodNotAllowed, "method"}
	case r.ContentLength > MaxBodyBytes:
		return a, &RequestError{http.StatusRequestEntityTooLarge, "body"}
	}
	for _, f := range []struct {
		name string
		into *string
	}{
		{"X-Request-Id", &a.ID}, {"X-Priority-Class", &a.Class}, {"X-Tenant-Id", &a.Tenant}, {"X-Route-Key", &a.Session},
	} {
		v := r.Header[f.name]
		if len(v) > 1 || len(v) == 1 && len(v[0]) > maxIDBytes {
			return a, badRequest(f.name)
		}
		if len(v) == 1 {
			*f.into = v[0]
		}
	}
	if !validID(a.ID) {
		return a, badRequest("id")
	}
	ms, err := strconv.ParseInt(r.Header.Get("X-Timeout-Ms"), 10, 64)
	if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() || len(r.Header["X-Timeout-Ms"]) > 1 {
		return a, badRequest("timeout")
	}
	a.Timeout = time.Duration(ms) * time.Millisecond
	a.Retried, a.Resumed = r.Header.Get("X-Retried") == "1", r.Header.Get("X-Retried") == "again"
	a.PromptTokens = estimateTokens(max(r.ContentLength, 0))
	return a, a.parseAttrs(r.Header.Get("X-Attrs"))
}

// tokensOf is how many tokens so many bytes of text are about.
func estimateTokens(bytes int64) int { return int(bytes+bytesPerToken-1) / bytesPerToken }

// Sized takes the length of a body that came in chunks, where the head did not say how many tokens it has.
func (a *Request) SetBodyBytes(bytes int) {
	if a.PromptTokens == 0 {
		a.PromptTokens = estimateTokens(int64(bytes))
	}
}

// plain tells whether an id can stand in a path.
func validID(id string) bool {
	for _, c := range []byte(id) {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_' || c == '.') {
			return false
		}
	}
	return id != "" && id != "." && id != ".."
}

// lengths reads the list of attributes; those it does not know are left alone.
func (a *Request) parseAttrs(attrs string) *RequestError {
	for attrs != "" {
		var part string
		part, attrs, _ = strings.Cut(attrs, ",")
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		into := map[string]*int{"prompt_len": &a.PromptTokens, "prefix_len": &a.PrefixTokens, "max_out": &a.MaxTokens}[name]
		switch {
		case name == "prefix":
			if a.PrefixID = value; len(value) > maxIDBytes {
				return badRequest("attrs")
			}
		case into != nil:
			n, err := strconv.ParseFloat(value, 64)
			if err != nil || !(n >= 0 && n <= maxTokens) {
				return badRequest("attrs")
			}
			*into = int(math.Round(n))
		}
	}
	a.PrefixTokens = min(a.PrefixTokens, a.PromptTokens)
	return nil
}

// ownHeaders are those of a request to a backend that are not the client's: what belongs to one connection only, and what is stated
// anew for each attempt.
var perAttemptHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Host": true,
	"Content-Length": true, "X-Request-Id": true, "X-Timeout-Ms": true,
}

// Errand is the head of a request to a box: a question goes on with its method, target, id, body and all other headers unchanged, as
// a client may state more than this program knows of, such as the key by which a box knows a repeat. length is that of
// the body, which may have come in chunks; wait is how long the trip is waited for.
func AttemptHead(r *http.Request, service string, a Request, length int, wait time.Duration) []byte {
	head := make([]byte, 0, 512)
	head = fmt.Appendf(head, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-ID: %s\r\nX-Timeout-Ms: %d\r\nContent-Length: %d\r\n", r.RequestURI, service, a.ID,
		max(wait.Milliseconds(), 1), length)
	named := connectionHeaders(r.Header)
	for _, name := range slices.Sorted(maps.Keys(r.Header)) {
		if perAttemptHeaders[name] || named[name] {
			continue
		}
		for _, value := range r.Header[name] {
			head = fmt.Appendf(head, "%s: %s\r\n", name, value)
		}
	}
	return append(head, "\r\n"...)
}

// connectionHeaders are the headers that a client names as belonging to its connection.
func connectionHeaders(header http.Header) map[string]bool {
	named := map[string]bool{}
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

// LetGo is the call that has any box release all that is held for a question.
func ReleaseRequest(service, id string) []byte {
	return fmt.Appendf(nil, "DELETE /v1/holds/%s HTTP/1.1\r\nHost: %s\r\n\r\n", id, service)
}
