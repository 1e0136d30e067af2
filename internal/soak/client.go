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

// manner is how a client goes about a request.
type behavior int

const (
	plain         behavior = iota
	closesEarly            // it closes before the answer is whole
	sendsInPieces          // it sends in pieces
	tightDeadline          // it gives very little time
	readsSlowly            // it reads slowly
	idlesFirst             // it rests on its connection before it sends, longer than connections may rest
	behaviorCount          //
)

const (
	maxThinkTime      = 250 * time.Millisecond // between two requests of a client
	tightDeadlineTime = 60 * time.Millisecond
	answerTimeout     = 6 * time.Second // for an answer, after which a client that waits calls it lost
	badClientLimit    = 3 * time.Second // in which a bad client is owed an error or a close
)

// clients ask the dispatchers.
type clients struct {
	run       *run
	record    *record
	issuedIDs atomic.Int64 // ids
}

// newID is the id of a further request; it tells the run.
func (c *clients) newID() string {
	return fmt.Sprintf("%x-%06x", c.run.options.Seed, c.issuedIDs.Add(1))
}

// usual is a client that keeps to the protocol, request after request.
func (c *clients) runWellBehaved(ctx context.Context, rng *rand.Rand) {
	var conn *clientConn
	for ctx.Err() == nil {
		if !system.Sleep(ctx, time.Duration(rng.Float64()*float64(maxThinkTime))) {
			break
		}
		how := plain
		if rng.IntN(3) == 0 {
			how = behavior(rng.IntN(int(behaviorCount)))
		}
		conn = c.sendRequest(ctx, rng, conn, how)
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

// connect connects to a dispatcher that the front deals out; nil: there is none.
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

// ask has one request served, and returns the connection if it can be used again. A connection that ends without a byte of an answer has
// the request sent once more on a new one.
func (c *clients) sendRequest(ctx context.Context, rng *rand.Rand, conn *clientConn, how behavior) *clientConn {
	classes := c.run.variant.classes
	q := &request{id: c.newID(), class: classes[rng.IntN(len(classes))]}
	q.timeout = q.class.deadline
	if how == tightDeadline {
		q.timeout = tightDeadlineTime
	}
	c.record.with(func() {
		c.record.requests = append(c.record.requests, q)
		c.record.byID[q.id] = q
	})
	for try := 0; try < 2; try++ {
		if conn == nil {
			if conn = c.connect(ctx, rng); conn == nil {
				c.record.with(func() { q.runEnded = true })
				break
			}
		}
		if how == idlesFirst && try == 0 {
			system.Sleep(ctx, time.Duration(rng.Float64()*float64(2500*time.Millisecond)))
		}
		again, next := c.exchange(ctx, rng, conn, q, how)
		if conn = next; !again {
			return conn
		}
	}
	c.record.with(func() { q.gaveUp = c.record.now() })
	return conn
}

// exchange sends a request and reads its answer. again: the connection ended without a byte of it.
func (c *clients) exchange(ctx context.Context, rng *rand.Rand, conn *clientConn, q *request, how behavior) (again bool, next *clientConn) {
	raw := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Tenant-Id: web-app\r\n"+
		"X-Route-Key: s%d\r\nX-Timeout-Ms: %d\r\nX-Attrs: prefix=p%d,prompt_len=400,prefix_len=100,max_out=50\r\nContent-Length: 12\r\n\r\n{\"model\":\"\"}",
		q.id, q.class.name, rng.IntN(200), q.timeout.Milliseconds(), rng.IntN(20))
	began := c.record.now()
	if err := send(conn, raw, how == sendsInPieces); err != nil {
		conn.close()
		return true, nil
	}
	c.record.with(func() {
		q.sendStarts, q.sentAt, q.dispatchers = append(q.sendStarts, began), append(q.sentAt, c.record.now()), append(q.dispatchers, conn.dispatcher)
	})
	if how == closesEarly {
		system.Sleep(ctx, time.Duration(rng.Float64()*float64(60*time.Millisecond)))
		c.record.with(func() { q.clientClosed = c.record.now() })
		conn.close()
		return false, nil
	}
	conn.SetReadDeadline(time.Now().Add(answerTimeout))
	resp, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		conn.close()
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			c.record.with(func() { q.clientClosed = c.record.now() })
			return false, nil
		}
		return true, nil
	}
	var body io.Reader = resp.Body
	if how == readsSlowly {
		body = slowReader{body}
	}
	events := &eventReader{source: body, now: c.record.now}
	_, err = io.Copy(io.Discard, events)
	c.record.with(func() {
		q.status, q.answerEnd, q.complete = resp.StatusCode, c.record.now(), err == nil
		if q.eventCount = events.events; how != readsSlowly {
			q.eventDelay = events.delay
		}
	})
	if err != nil || resp.Close {
		conn.close()
		return false, nil
	}
	return false, conn
}

// send writes a request, whole or in pieces.
func send(conn net.Conn, raw string, pieces bool) error {
	step := len(raw)
	if pieces {
		step = max(len(raw)/5, 1)
	}
	for at := 0; at < len(raw); at += step {
		if at > 0 {
			time.Sleep(5 * time.Millisecond)
		}
		if _, err := io.WriteString(conn, raw[at:min(at+step, len(raw))]); err != nil {
			return err
		}
	}
	return nil
}

// eventReader reads a stream, and measures by how much its latest event was held back: each states when it was written.
type eventReader struct {
	source io.Reader
	now    func() time.Duration
	tail   []byte
	events int
	delay  time.Duration
}

// eventMark is what eventText puts into an event.
var eventMark = regexp.MustCompile(`@(\d+);`)

func (e *eventReader) Read(into []byte) (int, error) {
	n, err := e.source.Read(into)
	now := e.now()
	e.tail = append(e.tail, into[:n]...)
	end := 0
	for _, at := range eventMark.FindAllSubmatchIndex(e.tail, -1) {
		written, _ := strconv.ParseInt(string(e.tail[at[2]:at[3]]), 10, 64)
		e.delay = max(e.delay, now-time.Duration(written))
		e.events++
		end = at[1]
	}
	e.tail = e.tail[max(end, len(e.tail)-maxEventMark):]
	return n, err
}

// eventMarkMost is the longest part of a mark that may stand at the end of what was read.
const maxEventMark = 24

// slowReader reads a little at a time.
type slowReader struct{ source io.Reader }

func (s slowReader) Read(into []byte) (int, error) {
	time.Sleep(2 * time.Millisecond)
	return s.source.Read(into[:min(len(into), 200)])
}

// bad is a client that stops in the middle of a request and stays, or sends what is none. It is owed an error or a close.
func (c *clients) runMalformed(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		conn := c.connect(ctx, rng)
		if conn == nil {
			return
		}
		raw := "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 12\r\nX-Request-ID: b\r\n\r\n{\"model\":\"\"}"
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
