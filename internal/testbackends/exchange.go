package testbackends

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Exchange is one request that a backend has received completely.
type Exchange struct {
	Backend      *Backend
	Method       string
	URI          string
	ID           string
	Header       http.Header
	Body         string
	Received     time.Time       // when its last byte was read
	ClientClosed <-chan struct{} // closed when the dispatcher has closed the connection
	conn         net.Conn
	finished     bool
}

// Serve is the default response. A prefill backend holds a KV cache, a decode backend answers with a short stream,
// and a DELETE releases the KV cache.
func (e *Exchange) Serve() bool {
	platform := e.Backend.platform
	switch {
	case e.Method == http.MethodDelete:
		platform.mu.Lock()
		platform.removeKVCache(strings.TrimPrefix(e.URI, "/v1/holds/"))
		platform.mu.Unlock()
		return e.WriteRaw("HTTP/1.1 204 No Content\r\n\r\n")
	case e.Backend.Kind == PrefillKind:
		e.HoldKVCache()
		return e.WriteRaw("HTTP/1.1 202 Accepted\r\nX-Server-Load: util=0.5,queue=2,x0=0.25\r\n" +
			"Content-Length: 21\r\n\r\n{\"cached_tokens\":100}")
	}
	return e.WriteRaw(StreamHead) &&
		e.WriteRaw(EncodeChunk(TextEvent("a"))+EncodeChunk(TextEvent("b"))) &&
		e.WriteRaw(EncodeChunk(UsageEvent+DoneEvent)+LastChunk)
}

// finish notes that the request is no longer in flight. Repeated calls have no effect.
func (e *Exchange) finish() {
	platform := e.Backend.platform
	platform.mu.Lock()
	defer platform.mu.Unlock()
	if !e.finished && e.ID != "" {
		platform.inFlight[e.ID]--
		if platform.heldBy[e.ID] != "" && platform.inFlight[e.ID] == 0 {
			platform.idleSince[e.ID] = time.Now()
		}
	}
	e.finished = true
}

// HoldKVCache notes that the backend holds the KV cache of the request.
func (e *Exchange) HoldKVCache() {
	e.Backend.platform.mu.Lock()
	defer e.Backend.platform.mu.Unlock()
	e.Backend.platform.heldBy[e.ID] = e.Backend.UID
}

// WriteRaw writes bytes unchanged and reports whether that succeeded. When a decode backend sends the head of its
// stream, it has fetched the KV cache; with the last byte of a response the request is no longer in flight.
func (e *Exchange) WriteRaw(raw string) bool {
	if strings.HasPrefix(raw, StreamHead) && e.Backend.Kind == DecodeKind {
		e.Backend.platform.mu.Lock()
		e.Backend.platform.removeKVCache(e.ID)
		e.Backend.platform.mu.Unlock()
	}
	if strings.HasSuffix(raw, LastChunk) ||
		strings.HasPrefix(raw, "HTTP/1.1 ") && raw[9] > '1' && !strings.HasPrefix(raw, "HTTP/1.1 200") {
		e.finish() // after the last byte the dispatcher may send the next attempt
	}
	_, err := io.WriteString(e.conn, raw)
	return err == nil
}

// TextEvent returns a stream event with a piece of text.
func TextEvent(text string) string {
	return fmt.Sprintf(
		"data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", text)
}

// EncodeChunk returns text as one chunk of the chunked transfer encoding.
func EncodeChunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// Rejection returns a response without a stream. With notProcessed it carries the header that says that the
// request was not processed.
func Rejection(code int, notProcessed bool) string {
	header := ""
	if notProcessed {
		header = "X-Not-Processed: 1\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d No\r\n%sContent-Length: 0\r\n\r\n", code, header)
}

// Parts of a streamed response: its head, the usage event with a load report, the event that ends the stream, and
// the last chunk.
const (
	StreamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	UsageEvent = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":400,\"completion_tokens\":2," +
		"\"prompt_tokens_details\":{\"cached_tokens\":40}}}\n\n" +
		": X-Server-Load: util=0.6,queue=1,x0=0.5\n\n"
	DoneEvent = "data: [DONE]\n\n"
	LastChunk = "0\r\n\r\n"
)
