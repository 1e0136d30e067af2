package chat

import (
	"bufio"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

func request(t testing.TB, raw string) *http.Request {
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(raw)))
	if err != nil {
		t.Skip(err)
	}
	return r
}

const asked = "POST /v1/chat/completions?a=b HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: 9b1f03aa5c7e2d41\r\nX-Priority-Class: chat\r\nX-Tenant-Id: acme\r\n" +
	"X-Route-Key: 7f3a\r\nX-Timeout-Ms: 4800\r\nX-Attrs: prefix=5c0f,prompt_len=5120,prefix_len=2048,max_out=800,new=1\r\nX-Retried: 1\r\nContent-Length: 2\r\n\r\n{}"

func TestAHeadIsReadForItsQuestion(t *testing.T) {
	a, no := ParseRequest(request(t, asked))
	want := Request{ID: "9b1f03aa5c7e2d41", Class: "chat", Tenant: "acme", Session: "7f3a", PrefixID: "5c0f", PromptTokens: 5120, PrefixTokens: 2048, MaxTokens: 800,
		Timeout: 4800 * time.Millisecond, Retried: true}
	if no != nil || a != want {
		t.Errorf("%+v, %v", a, no)
	}
}

// Asking for the rest of a stream is no second try: the question is taken at its full worth.
func TestTheRestOfAStreamIsNoRepeat(t *testing.T) {
	a, no := ParseRequest(request(t, strings.Replace(asked, "X-Retried: 1", "X-Retried: again", 1)))
	if no != nil || a.Retried || !a.Resumed {
		t.Errorf("%+v, %v", a, no)
	}
}

func TestATripsHeadNamesWhatGoesOn(t *testing.T) {
	r := request(t, asked)
	a, _ := ParseRequest(r)
	on := request(t, string(AttemptHead(r, "backend.local", a, 2, 1500*time.Millisecond))+"{}")
	if on.RequestURI != r.RequestURI || on.Header.Get("X-Request-ID") != a.ID || on.ContentLength != 2 || on.Header.Get("X-Timeout-Ms") != "1500" {
		t.Errorf("%s %v", on.RequestURI, on.Header)
	}
}

// A backend knows a repeat by a header of the client's that this program need not know: all that is not of one connection goes on.
func TestAHeadPassesOnWhatTheClientStated(t *testing.T) {
	raw := strings.Replace(asked, "X-Route-Key:", "Idempotency-Key: k1\r\nTraceparent: 00-ab\r\nTraceparent: 00-cd\r\n"+
		"Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nTe: trailers\r\nKeep-Alive: 5\r\nX-Route-Key:", 1)
	r := request(t, raw)
	a, no := ParseRequest(r)
	if no != nil {
		t.Fatal(no)
	}
	on := request(t, string(AttemptHead(r, "backend.local", a, 2, time.Second))+"{}")
	if on.Header.Get("Idempotency-Key") != "k1" || !slices.Equal(on.Header["Traceparent"], []string{"00-ab", "00-cd"}) {
		t.Errorf("what the client stated is lost: %v", on.Header)
	}
	for _, hop := range []string{"Connection", "X-Hop", "Te", "Keep-Alive"} {
		if on.Header.Get(hop) != "" {
			t.Errorf("%s belongs to the client's connection and goes on", hop)
		}
	}
	for _, name := range []string{"X-Request-Id", "X-Timeout-Ms", "Content-Length"} {
		if n := len(on.Header[name]); n > 1 {
			t.Errorf("%s goes on %d times", name, n)
		}
	}
}

func FuzzRead(f *testing.F) {
	f.Add(asked)
	f.Add(strings.Replace(asked, "prompt_len=5120", "prompt_len=NaN", 1))
	f.Fuzz(func(t *testing.T, raw string) {
		a, no := ParseRequest(request(t, raw))
		if no == nil && (a.ID == "" || a.Timeout <= 0 || a.PromptTokens < 0 || a.PrefixTokens < 0 || a.PrefixTokens > a.PromptTokens || a.MaxTokens < 0 || a.MaxTokens > maxTokens) {
			t.Errorf("%+v", a)
		}
	})
}
