package overload

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"time"

	"sloetrestle/internal/system"
	"sloetrestle/internal/testbackends"
)

// Behavior is how a client misbehaves.
type Behavior int

const (
	Calm         Behavior = iota // one request after another, as usual clients send them
	LongFields                   // stops within a head of long fields
	ManyFields                   // stops within a head of very many short fields
	HalfBody                     // stops half way through a large body
	SlowWriter                   // writes a large request slowly
	ManyRequests                 // sends hundreds of requests at once and reads the answers
	SlowReader                   // reads long answers slowly
	Mixed                        // one of those above that misbehave, by the client's id
	FloodSmall                   // sends very small requests at full speed on one connection
	FloodUnsound                 // sends requests that are refused at full speed
	FloodNames                   // sends valid requests at full speed, each of a new session with a new prefix
)

// Behaviors are all ways to behave, by their names.
var Behaviors = map[string]Behavior{
	"calm": Calm, "long-fields": LongFields, "many-fields": ManyFields, "half-body": HalfBody,
	"slow-writer": SlowWriter, "many-requests": ManyRequests, "slow-reader": SlowReader, "mixed": Mixed,
}

// Floods are the ways in which a single client sends at full speed, by their names.
var Floods = map[string]Behavior{
	"flood-small": FloodSmall, "flood-unsound": FloodUnsound, "flood-names": FloodNames,
}

// What the clients send, in bytes and numbers.
const (
	headBytes      = 15 << 10  // of a head that is not ended
	longFieldBytes = 1 << 10   // of one of its fields, if they are long
	bodyBytes      = 200 << 10 // of a large body
	requestsAtOnce = 150
	usualBody      = `{"model":"chat","stream":true,"max_tokens":100,` +
		`"messages":[{"role":"user","content":"is the hut free"}]}`
)

// How slow clients are, and how long the answers are that they read.
const (
	pieceBytes     = 2 << 10
	pieceInterval  = 20 * time.Millisecond
	longAnswer     = 1 << 20 // bytes
	longEventBytes = 8 << 10
	slowReadBuffer = 4 << 10 // of a slow reader's socket
	floodBuffer    = 16 << 10
)

// requestHeaders returns the headers of a valid request.
func requestHeaders(id string) map[string]string {
	return map[string]string{
		"X-Request-ID": id, "X-Priority-Class": "trail-info", "X-Tenant-Id": "web-app", "X-Route-Key": "k" + id,
		"X-Timeout-Ms": "6000", "X-Attrs": "prompt_len=400,max_out=100",
	}
}

// head returns the head of a valid request with a body of the given length, without the empty line that ends it.
func head(id string, length int) string {
	var text strings.Builder
	fmt.Fprintf(&text, "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nContent-Length: %d\r\n", length)
	for name, value := range requestHeaders(id) {
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	return text.String()
}

// play misbehaves on one connection until it ends or the context does.
func (b Behavior) play(ctx context.Context, conn net.Conn, id string) {
	switch b.of(id) {
	case Calm:
		conn.SetReadDeadline(time.Now().Add(usualAnswerLimit))
		io.WriteString(conn, head(id, len(usualBody))+"Connection: close\r\n\r\n"+usualBody)
		discard(conn)
	case LongFields:
		io.WriteString(conn, padded(head(id, len(usualBody)), strings.Repeat("a", longFieldBytes)))
		discard(conn)
	case ManyFields:
		io.WriteString(conn, padded(head(id, len(usualBody)), "1"))
		discard(conn)
	case HalfBody:
		io.WriteString(conn, head(id, bodyBytes)+"\r\n"+strings.Repeat("x", bodyBytes/2))
		discard(conn)
	case SlowWriter:
		writeSlowly(ctx, conn, head(id, bodyBytes)+"\r\n"+strings.Repeat("x", bodyBytes))
		discard(conn)
	case ManyRequests:
		sendMany(conn, id)
	case SlowReader:
		conn.(*net.TCPConn).SetReadBuffer(slowReadBuffer)
		io.WriteString(conn, head(id, len(usualBody))+"Connection: close\r\n\r\n"+usualBody)
		readSlowly(ctx, conn)
	case FloodSmall:
		flood(conn, func(int) string { return "GET /ready HTTP/1.1\r\nHost: backend.local\r\n\r\n" })
	case FloodUnsound:
		flood(conn, func(n int) string {
			name := fmt.Sprint(id, "-", n)
			return strings.Replace(head(name, 0), "trail-info", "class-"+name, 1) + "\r\n"
		})
	case FloodNames:
		flood(conn, func(n int) string {
			name := fmt.Sprint(id, "-", n)
			valid := strings.Replace(head(name, len(usualBody)), "prompt_len", "prefix=p"+name+",prompt_len", 1)
			return valid + "\r\n" + usualBody
		})
	}
}

// flood sends requests at full speed until the connection ends, and reads what comes.
func flood(conn net.Conn, request func(n int) string) {
	go func() {
		defer conn.Close()
		discard(conn)
	}()
	out := bufio.NewWriterSize(conn, floodBuffer)
	for n := 0; ; n++ {
		if _, err := out.WriteString(request(n)); err != nil {
			return
		}
	}
}

// of returns the behavior of one connection: that of all, or for Mixed one that its id picks.
func (b Behavior) of(id string) Behavior {
	if b != Mixed {
		return b
	}
	sum := 0
	for _, c := range []byte(id) {
		sum += int(c)
	}
	return LongFields + Behavior(sum)%(Mixed-LongFields)
}

// padded appends fields with the given value to a head until it has headBytes.
func padded(head, value string) string {
	var text strings.Builder
	text.WriteString(head)
	for n := 0; text.Len() < headBytes; n++ {
		fmt.Fprintf(&text, "h%x:%s\r\n", n, value)
	}
	return text.String()
}

// writeSlowly writes a text in small pieces.
func writeSlowly(ctx context.Context, conn net.Conn, text string) {
	for piece := range slices.Chunk([]byte(text), pieceBytes) {
		if _, err := conn.Write(piece); err != nil || !system.Sleep(ctx, pieceInterval) {
			return
		}
	}
}

// sendMany sends requests with ids of their own at once and reads what comes.
func sendMany(conn net.Conn, id string) {
	var requests strings.Builder
	for n := range requestsAtOnce {
		requests.WriteString(head(fmt.Sprintf("%s-%d", id, n), len(usualBody)) + "\r\n" + usualBody)
	}
	go io.WriteString(conn, requests.String()) // it may block until the answers are read
	discard(conn)
}

// readSlowly reads in small pieces until the connection ends.
func readSlowly(ctx context.Context, conn net.Conn) {
	buffer := make([]byte, pieceBytes)
	for system.Sleep(ctx, pieceInterval) {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
	}
}

// discard reads to the end.
func discard(from io.Reader) error {
	_, err := io.Copy(io.Discard, from)
	return err
}

// servePrompt is the response of a prefill backend.
func servePrompt(e *testbackends.Exchange) bool {
	if e.Method == "POST" {
		time.Sleep(prefillTime)
	}
	return e.Serve()
}

// serveAnswer is the response of a decode backend: a long answer for clients that read slowly, and a short one else.
func (b Behavior) serveAnswer(e *testbackends.Exchange) bool {
	if e.Method != "POST" || strings.HasPrefix(e.ID, "usual") || b.of(connectionID(e.ID)) != SlowReader {
		return e.Serve()
	}
	event := testbackends.EncodeChunk(testbackends.TextEvent(strings.Repeat("long", longEventBytes/len("long"))))
	ok := e.WriteRaw(testbackends.StreamHead)
	for range longAnswer / longEventBytes {
		ok = ok && e.WriteRaw(event)
	}
	return ok && e.WriteRaw(testbackends.EncodeChunk(testbackends.UsageEvent+testbackends.DoneEvent)+testbackends.LastChunk)
}

// connectionID returns the id of the connection on which a request was sent: the first two parts of the request's id.
func connectionID(requestID string) string {
	parts := strings.SplitN(requestID, "-", 3)
	return strings.Join(parts[:min(len(parts), 2)], "-")
}

// median returns the median of some times, 0 if there are none.
func median(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)/2]
}
