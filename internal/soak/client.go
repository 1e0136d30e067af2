package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"sync/atomic"
	"time"

	"sloetrestle/internal/system"
)

// behavior is how a client handles a request.
type behavior int

const (
	plain         behavior = iota
	closesEarly            // closes the connection before the answer is complete
	sendsInPieces          // sends the request in pieces
	tightDeadline          // gives very little time
	readsSlowly            // reads the answer slowly
	idlesFirst             // idles on the connection before it sends, possibly beyond the idle timeout
	behaviorCount          // number of behaviors
)

const (
	maxThinkTime      = 250 * time.Millisecond // between two requests of a client
	tightDeadlineTime = 60 * time.Millisecond
	answerTimeout     = 6 * time.Second // after which a waiting client counts its request as lost
	badClientLimit    = 3 * time.Second // within which a bad client must get an error or a close
)

// clients send requests to the dispatchers.
type clients struct {
	run       *run
	record    *record
	issuedIDs atomic.Int64 // number of request ids issued
}

// newID returns the id of a new request. It contains the seed of the run.
func (c *clients) newID() string {
	return fmt.Sprintf("%x-%06x", c.run.options.Seed, c.issuedIDs.Add(1))
}

// runWellBehaved runs a client that follows the protocol and sends one request after another.
func (c *clients) runWellBehaved(ctx context.Context, rng *rand.Rand) {
	var conn *clientConn
	for ctx.Err() == nil {
		if !system.Sleep(ctx, time.Duration(rng.Float64()*float64(maxThinkTime))) {
			break
		}
		mode := plain
		if rng.IntN(3) == 0 {
			mode = behavior(rng.IntN(int(behaviorCount)))
		}
		conn = c.sendRequest(ctx, rng, conn, mode)
	}
	conn.close()
}

// clientConn is a client's connection to a dispatcher.
type clientConn struct {
	net.Conn
	reader     *bufio.Reader
	dispatcher int
}

func (c *clientConn) close() {
	if c != nil {
		c.Conn.Close()
	}
}

// connect connects to a dispatcher that accepts new connections. It returns nil if the context ends first.
func (c *clients) connect(ctx context.Context, rng *rand.Rand) *clientConn {
	for ctx.Err() == nil {
		d := c.run.pickDispatcher(rng)
		if d == nil {
			system.Sleep(ctx, 20*time.Millisecond)
			continue
		}
		conn, err := net.DialTimeout("tcp", d.listen, time.Second)
		if err == nil {
			return &clientConn{conn, bufio.NewReader(conn), d.number}
		}
		system.Sleep(ctx, 20*time.Millisecond)
	}
	return nil
}

// sendRequest sends one request and returns the connection if it can be reused. If a connection ends without a byte
// of an answer, the request is sent once more on a new one.
func (c *clients) sendRequest(ctx context.Context, rng *rand.Rand, conn *clientConn, mode behavior) *clientConn {
	classes := c.run.variant.classes
	req := &request{id: c.newID(), class: classes[rng.IntN(len(classes))]}
	req.timeout = req.class.deadline
	if mode == tightDeadline {
		req.timeout = tightDeadlineTime
	}
	c.record.with(func() {
		c.record.requests = append(c.record.requests, req)
		c.record.byID[req.id] = req
	})
	for try := 0; try < 2; try++ {
		if conn == nil {
			if conn = c.connect(ctx, rng); conn == nil {
				c.record.with(func() { req.runEnded = true })
				break
			}
		}
		if mode == idlesFirst && try == 0 {
			system.Sleep(ctx, time.Duration(rng.Float64()*float64(2500*time.Millisecond)))
		}
		again, next := c.exchange(ctx, rng, conn, req, mode)
		if conn = next; !again {
			return conn
		}
	}
	c.record.with(func() { req.gaveUp = c.record.now() })
	return conn
}

// exchange sends a request and reads its answer. again is true if the connection ended without a byte of the answer.
func (c *clients) exchange(
	ctx context.Context, rng *rand.Rand, conn *clientConn, req *request, mode behavior,
) (again bool, next *clientConn) {
	raw := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\n"+
		"X-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Tenant-Id: web-app\r\n"+
		"X-Route-Key: s%d\r\nX-Timeout-Ms: %d\r\nX-Attrs: prefix=p%d,prompt_len=400,prefix_len=100,max_out=50\r\n"+
		"Content-Length: 12\r\n\r\n{\"model\":\"\"}",
		req.id, req.class.name, rng.IntN(200), req.timeout.Milliseconds(), rng.IntN(20))
	began := c.record.now()
	if err := send(conn, raw, mode == sendsInPieces); err != nil {
		conn.close()
		return true, nil
	}
	c.record.with(func() {
		req.sendStarts, req.sentAt, req.dispatchers =
			append(req.sendStarts, began), append(req.sentAt, c.record.now()), append(req.dispatchers, conn.dispatcher)
	})
	if mode == closesEarly {
		system.Sleep(ctx, time.Duration(rng.Float64()*float64(60*time.Millisecond)))
		c.record.with(func() { req.clientClosed = c.record.now() })
		conn.close()
		return false, nil
	}
	conn.SetReadDeadline(time.Now().Add(answerTimeout))
	resp, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		conn.close()
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			c.record.with(func() { req.clientClosed = c.record.now() })
			return false, nil
		}
		return true, nil
	}
	var body io.Reader = resp.Body
	if mode == readsSlowly {
		body = slowReader{body}
	}
	events := &eventReader{source: body, now: c.record.now}
	_, err = io.Copy(io.Discard, events)
	c.record.with(func() {
		req.status, req.answerEnd, req.complete = resp.StatusCode, c.record.now(), err == nil
		if req.eventCount = events.events; mode != readsSlowly {
			req.eventDelay = events.delay
		}
	})
	if err != nil || resp.Close {
		conn.close()
		return false, nil
	}
	return false, conn
}

// send writes a request in one or in several pieces.
func send(conn net.Conn, raw string, pieces bool) error {
	step := len(raw)
	if pieces {
		step = max(len(raw)/5, 1)
	}
	for offset := 0; offset < len(raw); offset += step {
		if offset > 0 {
			time.Sleep(5 * time.Millisecond)
		}
		if _, err := io.WriteString(conn, raw[offset:min(offset+step, len(raw))]); err != nil {
			return err
		}
	}
	return nil
}

// eventReader reads a stream and measures the largest delay of an event. Each event states when it was written.
type eventReader struct {
	source io.Reader
	now    func() time.Duration
	tail   []byte
	events int
	delay  time.Duration
}

// eventMark matches the time that eventText puts into an event.
var eventMark = regexp.MustCompile(`@(\d+);`)

func (e *eventReader) Read(into []byte) (int, error) {
	n, err := e.source.Read(into)
	now := e.now()
	e.tail = append(e.tail, into[:n]...)
	end := 0
	for _, match := range eventMark.FindAllSubmatchIndex(e.tail, -1) {
		written, _ := strconv.ParseInt(string(e.tail[match[2]:match[3]]), 10, 64)
		e.delay = max(e.delay, now-time.Duration(written))
		e.events++
		end = match[1]
	}
	e.tail = e.tail[max(end, len(e.tail)-maxEventMark):]
	return n, err
}

// maxEventMark is the largest part of a mark, in bytes, that can be at the end of a read.
const maxEventMark = 24

// slowReader reads at most 200 bytes at a time, with a pause before each read.
type slowReader struct{ source io.Reader }

func (s slowReader) Read(into []byte) (int, error) {
	time.Sleep(2 * time.Millisecond)
	return s.source.Read(into[:min(len(into), 200)])
}

// runMalformed runs a client that stops in the middle of a request and keeps the connection open, or sends a
// malformed request. It must get an error or a close within badClientLimit.
func (c *clients) runMalformed(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		conn := c.connect(ctx, rng)
		if conn == nil {
			return
		}
		raw := "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 12\r\n" +
			"X-Request-ID: b\r\n\r\n{\"model\":\"\"}"
		cut := rng.IntN(len(raw) - 1)
		began := c.record.now()
		io.WriteString(conn, raw[:cut])
		conn.SetReadDeadline(time.Now().Add(badClientLimit + time.Second))
		_, err := io.Copy(io.Discard, conn)
		took := c.record.now() - began
		conn.close()
		c.run.recordBadClient(conn.dispatcher, began, took, err)
		if !system.Sleep(ctx, time.Duration(rng.Float64()*float64(time.Second))) {
			return
		}
	}
}
