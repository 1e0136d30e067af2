package platform

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
)

// framed is how many bytes of raw belong to its first request, handed over in pieces of so many bytes; false: its end can't be told.
func frameRequest(raw string, piece int, r *http.Request) (int, bool) {
	f := requestFramer{}
	at, begun := 0, false
	for at < len(raw) && f.position != afterBody && f.position != unframed {
		at += f.advance([]byte(raw[at:min(at+piece, len(raw))]))
		if f.position == afterHead && !begun {
			begun = true
			f.beginBody(r.ContentLength)
		}
	}
	return at, f.position == afterBody
}

const (
	plainRequest   = "POST /a HTTP/1.1\r\nHost: b\r\nContent-Length: 3\r\n\r\nabc"
	chunkedRequest = "POST /a HTTP/1.1\r\nHost: b\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n01\r\nc\r\n0\r\nT: u\r\n\r\n"
)

func TestARequestEndsWhereNetHTTPEndsIt(t *testing.T) {
	for name, raw := range map[string]string{
		"no body":      "GET /ready HTTP/1.1\r\nHost: b\r\n\r\n",
		"a length":     plainRequest,
		"chunks":       chunkedRequest,
		"no trailers":  strings.Replace(chunkedRequest, "T: u\r\n", "", 1),
		"bare newline": strings.ReplaceAll(plainRequest, "\r\n", "\n"),
	} {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(raw)))
		if err != nil {
			t.Fatal(name, err)
		}
		for piece := 1; piece <= len(raw); piece++ {
			if n, whole := frameRequest(raw+"POST /next", piece, r); !whole || n != len(raw) {
				t.Errorf("%s in pieces of %d: %d of %d bytes, whole %t", name, piece, n, len(raw), whole)
			}
		}
	}
}

// Where a head states both a length and an encoding, nothing behind it is read as a request.
func TestAnAmbiguousHeadHasNoEnd(t *testing.T) {
	for _, raw := range []string{
		strings.Replace(chunkedRequest, "Host: b", "Host: b\r\nContent-Length: 3", 1),
		strings.Replace(chunkedRequest, "Host: b", "Host: b\r\ncontent-LENGTH: 3", 1),
	} {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(raw)))
		if err != nil {
			t.Fatal(err)
		}
		if _, whole := frameRequest(raw, 7, r); whole {
			t.Errorf("%q has an end", raw)
		}
	}
}

// Whatever comes, the end of a request is the one that net/http finds, or none.
func FuzzFraming(f *testing.F) {
	f.Add(plainRequest+"POST", 3)
	f.Add(chunkedRequest+"POST", 5)
	f.Add("POST / HTTP/1.1\r\nHost: b\r\nTransfer-Encoding: chunked\r\n\r\n0\n\n", 1)
	f.Add("POST / HTTP/1.1\r\nHost: b\r\nTransfer-Encoding: chunked\r\n\r\n1 \r\na\r\n0\r\n\r\n", 9)
	f.Add("GET / HTTP/1.1\r\nHost: b\r\n \r\n\r\n", 2)
	f.Fuzz(func(t *testing.T, raw string, piece int) {
		from := strings.NewReader(raw)
		buffered := bufio.NewReader(from)
		r, err := http.ReadRequest(buffered)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		end := len(raw) - from.Len() - buffered.Buffered()
		if n, whole := frameRequest(raw, max(piece%100, 1), r); whole && n != end {
			t.Errorf("it ends at %d, net/http ends it at %d: %q", n, end, raw)
		}
	})
}
