package platform

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
)

// frameRequest returns how many bytes of raw belong to its first request when they are framed in pieces of the given
// size, and whether its end was found.
func frameRequest(raw string, size int, r *http.Request) (int, bool) {
	framer := requestFramer{}
	offset, bodyBegun := 0, false
	for offset < len(raw) && framer.position != afterBody && framer.position != unframed {
		offset += framer.advance([]byte(raw[offset:min(offset+size, len(raw))]))
		if framer.position == afterHead && !bodyBegun {
			bodyBegun = true
			framer.beginBody(r.ContentLength)
		}
	}
	return offset, framer.position == afterBody
}

const (
	plainRequest   = "POST /a HTTP/1.1\r\nHost: b\r\nContent-Length: 3\r\n\r\nabc"
	chunkedRequest = "POST /a HTTP/1.1\r\nHost: b\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"2;x=y\r\nab\r\n01\r\nc\r\n0\r\nT: u\r\n\r\n"
)

func TestRequestEndMatchesNetHTTP(t *testing.T) {
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
		for size := 1; size <= len(raw); size++ {
			if end, whole := frameRequest(raw+"POST /next", size, r); !whole || end != len(raw) {
				t.Errorf("%s in pieces of %d: %d of %d bytes, whole %t", name, size, end, len(raw), whole)
			}
		}
	}
}

// If a head states both a length and an encoding, nothing behind it is read as a request.
func TestAmbiguousHeadIsUnframed(t *testing.T) {
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

// For any input, the end of a request is the one that net/http finds, or none.
func FuzzFraming(fuzz *testing.F) {
	fuzz.Add(plainRequest+"POST", 3)
	fuzz.Add(chunkedRequest+"POST", 5)
	fuzz.Add("POST / HTTP/1.1\r\nHost: b\r\nTransfer-Encoding: chunked\r\n\r\n0\n\n", 1)
	fuzz.Add("POST / HTTP/1.1\r\nHost: b\r\nTransfer-Encoding: chunked\r\n\r\n1 \r\na\r\n0\r\n\r\n", 9)
	fuzz.Add("GET / HTTP/1.1\r\nHost: b\r\n \r\n\r\n", 2)
	fuzz.Fuzz(func(t *testing.T, raw string, piece int) {
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
		if framedEnd, whole := frameRequest(raw, max(piece%100, 1), r); whole && framedEnd != end {
			t.Errorf("the request ends at %d, for net/http at %d: %q", framedEnd, end, raw)
		}
	})
}
