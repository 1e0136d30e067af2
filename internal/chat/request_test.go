package chat

import (
	"bufio"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

func decodeRequest(t testing.TB, raw string) *http.Request {
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(raw)))
	if err != nil {
		t.Skip(err)
	}
	return r
}

const rawRequest = "POST /v1/chat/completions?a=b HTTP/1.1\r\nHost: backend.local\r\n" +
	"X-Request-ID: 9b1f03aa5c7e2d41\r\nX-Priority-Class: chat\r\nX-Tenant-Id: acme\r\n" +
	"X-Route-Key: 7f3a\r\nX-Timeout-Ms: 4800\r\n" +
	"X-Attrs: prefix=5c0f,prompt_len=5120,prefix_len=2048,max_out=800,new=1\r\n" +
	"X-Retried: 1\r\nContent-Length: 2\r\n\r\n{}"

func TestParseRequestReadsAllHeaders(t *testing.T) {
	req, reqErr := ParseRequest(decodeRequest(t, rawRequest))
	want := Request{
		ID: "9b1f03aa5c7e2d41", Class: "chat", Tenant: "acme", Session: "7f3a", PrefixID: "5c0f",
		PromptTokens: 5120, PrefixTokens: 2048, MaxTokens: 800, Timeout: 4800 * time.Millisecond, Retried: true,
	}
	if reqErr != nil || req != want {
		t.Errorf("%+v, %v", req, reqErr)
	}
}

// A request for the rest of a broken stream does not count as a retry: it keeps its full value.
func TestResumedRequestIsNotARetry(t *testing.T) {
	req, reqErr := ParseRequest(decodeRequest(t, strings.Replace(rawRequest, "X-Retried: 1", "X-Retried: again", 1)))
	if reqErr != nil || req.Retried || !req.Resumed {
		t.Errorf("%+v, %v", req, reqErr)
	}
}

func TestAttemptHeadNamesTheRequest(t *testing.T) {
	r := decodeRequest(t, rawRequest)
	req, _ := ParseRequest(r)
	sent := decodeRequest(t, string(AttemptHead(r, "backend.local", req, 2, 1500*time.Millisecond))+"{}")
	if sent.RequestURI != r.RequestURI || sent.Header.Get("X-Request-ID") != req.ID || sent.ContentLength != 2 ||
		sent.Header.Get("X-Timeout-Ms") != "1500" {
		t.Errorf("%s %v", sent.RequestURI, sent.Header)
	}
}

// A backend may recognise repeats by a header that this program does not know: all headers of a client's request but
// the hop-by-hop ones must reach the backend.
func TestAttemptHeadKeepsTheClientsHeaders(t *testing.T) {
	raw := strings.Replace(rawRequest, "X-Route-Key:", "Idempotency-Key: k1\r\n"+
		"Traceparent: 00-ab\r\nTraceparent: 00-cd\r\n"+
		"Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nTe: trailers\r\nKeep-Alive: 5\r\nX-Route-Key:", 1)
	r := decodeRequest(t, raw)
	req, reqErr := ParseRequest(r)
	if reqErr != nil {
		t.Fatal(reqErr)
	}
	sent := decodeRequest(t, string(AttemptHead(r, "backend.local", req, 2, time.Second))+"{}")
	if sent.Header.Get("Idempotency-Key") != "k1" ||
		!slices.Equal(sent.Header["Traceparent"], []string{"00-ab", "00-cd"}) {
		t.Errorf("headers of the client are missing: %v", sent.Header)
	}
	for _, name := range []string{"Connection", "X-Hop", "Te", "Keep-Alive"} {
		if sent.Header.Get(name) != "" {
			t.Errorf("the hop-by-hop header %s was sent to the backend", name)
		}
	}
	for _, name := range []string{"X-Request-Id", "X-Timeout-Ms", "Content-Length"} {
		if n := len(sent.Header[name]); n > 1 {
			t.Errorf("%s was sent %d times", name, n)
		}
	}
}

// Whatever a client sends, a request that is accepted has an id, a timeout and lengths within their bounds.
func FuzzParseRequest(f *testing.F) {
	f.Add(rawRequest)
	f.Add(strings.Replace(rawRequest, "prompt_len=5120", "prompt_len=NaN", 1))
	f.Fuzz(func(t *testing.T, raw string) {
		req, reqErr := ParseRequest(decodeRequest(t, raw))
		if reqErr == nil && (req.ID == "" || req.Timeout <= 0 || req.PromptTokens < 0 || req.PrefixTokens < 0 ||
			req.PrefixTokens > req.PromptTokens || req.MaxTokens < 0 || req.MaxTokens > maxTokens) {
			t.Errorf("%+v", req)
		}
	})
}
