// Package chat implements the platform's protocol: it decodes the head of a client's request and the response of a
// backend, and encodes requests to backends. It opens no socket, reads no clock and treats the bodies of requests as
// opaque. Begin with ParseRequest for clients and with Stream for backends.
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

// Bounds of what is accepted from clients.
const (
	// MaxHeadBytes bounds the head of a request.
	MaxHeadBytes = 16 << 10
	// MaxBodyBytes bounds the body of a request.
	MaxBodyBytes  = 256 << 10
	maxIDBytes    = 128 // of an identifier in a header
	maxTimeout    = time.Hour
	maxTokens     = 10_000_000
	bytesPerToken = 4 // for estimates from the length of a text
)

// CompletionsPath is the path of chat completions; ReadyPath is where the frontend checks whether a dispatcher can
// serve.
const (
	CompletionsPath = "/v1/chat/completions"
	ReadyPath       = "/ready"
)

// Request is what the head of a client's request says.
type Request struct {
	ID           string
	Class        string // priority class
	Tenant       string
	Session      string
	PrefixID     string // of the prefix that the prompt shares with other sessions
	PromptTokens int
	PrefixTokens int // length of the shared prefix
	MaxTokens    int // of the answer
	Timeout      time.Duration
	Retried      bool // the client retries an earlier request
	Resumed      bool // the client requests the rest of a stream that broke
}

// RequestError says why a request is invalid, and with which HTTP status it is refused.
type RequestError struct {
	Status int
	Reason string
}

// Error returns the reason, which is also what the client gets as the body of the response.
func (e *RequestError) Error() string { return e.Reason }

func badRequest(reason string) *RequestError { return &RequestError{http.StatusBadRequest, reason} }

// ParseRequest decodes the head of a client's request.
func ParseRequest(r *http.Request) (Request, *RequestError) {
	var req Request
	switch {
	case r.ContentLength < 0 && !slices.Equal(r.TransferEncoding, []string{"chunked"}):
		return req, &RequestError{http.StatusLengthRequired, "length"}
	case r.URL.Path != CompletionsPath:
		return req, &RequestError{http.StatusNotFound, "path"}
	case r.Method != http.MethodPost:
		return req, &RequestError{http.StatusMethodNotAllowed, "method"}
	case r.ContentLength > MaxBodyBytes:
		return req, &RequestError{http.StatusRequestEntityTooLarge, "body"}
	}
	for _, header := range []struct {
		name string
		into *string
	}{
		{"X-Request-Id", &req.ID}, {"X-Priority-Class", &req.Class},
		{"X-Tenant-Id", &req.Tenant}, {"X-Route-Key", &req.Session},
	} {
		values := r.Header[header.name]
		if len(values) > 1 || len(values) == 1 && len(values[0]) > maxIDBytes {
			return req, badRequest(header.name)
		}
		if len(values) == 1 {
			*header.into = values[0]
		}
	}
	if !validID(req.ID) {
		return req, badRequest("id")
	}
	ms, err := strconv.ParseInt(r.Header.Get("X-Timeout-Ms"), 10, 64)
	if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() || len(r.Header["X-Timeout-Ms"]) > 1 {
		return req, badRequest("timeout")
	}
	req.Timeout = time.Duration(ms) * time.Millisecond
	req.Retried, req.Resumed = r.Header.Get("X-Retried") == "1", r.Header.Get("X-Retried") == "again"
	req.PromptTokens = estimateTokens(max(r.ContentLength, 0))
	return req, req.parseAttrs(r.Header.Get("X-Attrs"))
}

// estimateTokens estimates the number of tokens in a text from its length in bytes.
func estimateTokens(bytes int64) int { return int(bytes+bytesPerToken-1) / bytesPerToken }

// SetBodyBytes estimates the prompt's tokens from the length of a body that came in chunks, unless the head states
// them.
func (req *Request) SetBodyBytes(bytes int) {
	if req.PromptTokens == 0 {
		req.PromptTokens = estimateTokens(int64(bytes))
	}
}

// validID tells whether an id can be used as a segment of a URL path.
func validID(id string) bool {
	for _, c := range []byte(id) {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-' || c == '_' || c == '.') {
			return false
		}
	}
	return id != "" && id != "." && id != ".."
}

// parseAttrs decodes the list of attributes; unknown ones are ignored.
func (req *Request) parseAttrs(attrs string) *RequestError {
	for attrs != "" {
		var attr string
		attr, attrs, _ = strings.Cut(attrs, ",")
		name, value, _ := strings.Cut(strings.TrimSpace(attr), "=")
		into := map[string]*int{
			"prompt_len": &req.PromptTokens, "prefix_len": &req.PrefixTokens, "max_out": &req.MaxTokens,
		}[name]
		switch {
		case name == "prefix":
			if req.PrefixID = value; len(value) > maxIDBytes {
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
	req.PrefixTokens = min(req.PrefixTokens, req.PromptTokens)
	return nil
}

// uncopiedHeaders are the headers that AttemptHead does not copy from the client's request: those that belong to a
// single connection (hop-by-hop), and those that are set anew for each attempt.
var uncopiedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Host": true,
	"Content-Length": true, "X-Request-Id": true, "X-Timeout-Ms": true,
}

// AttemptHead returns the head, with the empty line that ends it, of the HTTP/1.1 request that one attempt sends to a
// backend. The method is POST, the only one that ParseRequest accepts; the request URI and the ID are the client's, and
// service becomes the Host header. bodyBytes is the length of the body, which may have come in chunks. timeout is how
// long the attempt may take, and is sent as at least 1 ms. All other headers of the client are copied, except those
// that belong to its connection: it may set headers that this program does not know, such as the key by which a backend
// recognises that a request is sent a second time.
func AttemptHead(
	clientRequest *http.Request, service string, req Request, bodyBytes int, timeout time.Duration,
) []byte {
	head := make([]byte, 0, 512)
	head = fmt.Appendf(head,
		"POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-ID: %s\r\nX-Timeout-Ms: %d\r\nContent-Length: %d\r\n",
		clientRequest.RequestURI, service, req.ID, max(timeout.Milliseconds(), 1), bodyBytes)
	listedInConnection := connectionHeaders(clientRequest.Header)
	for _, name := range slices.Sorted(maps.Keys(clientRequest.Header)) {
		if uncopiedHeaders[name] || listedInConnection[name] {
			continue
		}
		for _, value := range clientRequest.Header[name] {
			head = fmt.Appendf(head, "%s: %s\r\n", name, value)
		}
	}
	return append(head, "\r\n"...)
}

// connectionHeaders returns the headers that a client lists under Connection as hop-by-hop.
func connectionHeaders(header http.Header) map[string]bool {
	named := map[string]bool{}
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

// ReleaseRequest returns the request that has any backend release the KV cache it holds for the request with this id.
func ReleaseRequest(service, id string) []byte {
	return fmt.Appendf(nil, "DELETE /v1/holds/%s HTTP/1.1\r\nHost: %s\r\n\r\n", id, service)
}
