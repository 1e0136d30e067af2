package endpoints

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"sloetrestle/internal/system"
)

const (
	heartbeatInterval = 2 * time.Second           // at which discovery sends an empty line
	silenceTimeout    = heartbeatInterval * 5 / 4 // after which a watch that sends nothing counts as broken
	responseTimeout   = 3 * attemptInterval       // for the head of a response, or for one list
	dialTimeout       = 2 * time.Second
	maxPushBytes      = 8 << 20

	// messageTimeout is the time within which a message that has begun must be complete. It doubles with each message in a
	// row that was not, maxMessageDoublings times at most: the next watch is sent the same message again.
	messageTimeout      = 3 * attemptInterval
	maxMessageDoublings = 4
)

var errClosedAfterList = errors.New("discovery closed the connection after the full list")

// watch is one connection to discovery, from the request for the full list, where one is needed, to the end of the
// watch.
type watch struct {
	follower  *Follower
	ctx       context.Context
	address   string
	responded func() // called at the first response; further calls have no effect
	conn      net.Conn
	reader    *bufio.Reader
	pushes    *pushReader // once the watch is open
}

// watch keeps one watch and calls responded at its first response. If the address was not followed before, or no
// usable list is known, the full list is fetched first.
func (f *Follower) watch(
	ctx context.Context, address string, followed bool, responded func(),
) (received bool, err error) {
	w := &watch{follower: f, ctx: ctx, address: address, responded: sync.OnceFunc(responded)}
	if err := w.dial(); err != nil {
		return false, err
	}
	defer w.conn.Close()
	defer context.AfterFunc(ctx, func() { w.conn.Close() })()
	if f.mustFetchFullList(followed) {
		if received, err = w.fetchFullList(); err != nil {
			return received, err
		}
	}
	return w.follow(received)
}

// dial opens the connection.
func (w *watch) dial() (err error) {
	dial := w.follower.Dial
	if dial == nil {
		dial = system.Real().Dial
	}
	ctx, cancel := context.WithTimeout(w.ctx, dialTimeout)
	defer cancel()
	if w.conn, err = dial(ctx, "tcp", w.address); err != nil {
		return err
	}
	w.reader = bufio.NewReader(w)
	return nil
}

// Read reads from the connection. Of an open watch, it applies the deadline of what is expected next: a read of the body
// returns only when a whole chunk has come.
func (w *watch) Read(into []byte) (int, error) {
	if w.pushes == nil {
		return w.conn.Read(into)
	}
	w.conn.SetReadDeadline(w.pushes.deadline(time.Now()))
	n, err := w.conn.Read(into)
	w.pushes.received(into[:n])
	return n, err
}

// messageTimeout returns the time within which a message must be complete now.
func (f *Follower) messageTimeout() time.Duration {
	return messageTimeout << min(f.overdueMessages.Load(), maxMessageDoublings)
}

// get sends a request and reads the head of the response, which must have the status 200.
func (w *watch) get(target string) (*http.Response, error) {
	w.conn.SetDeadline(time.Now().Add(responseTimeout))
	if _, err := fmt.Fprintf(w.conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", target, w.address); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(w.reader, nil)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("discovery responded to GET %s with %s", target, resp.Status)
	}
	return resp, err
}

// fetchFullList fetches and applies the full list.
func (w *watch) fetchFullList() (received bool, err error) {
	resp, err := w.get("/v1/endpoints")
	if err != nil {
		return false, err
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxPushBytes))
	if err != nil {
		return false, err
	}
	if err := w.follower.applyWatched(w.ctx, raw); err != nil {
		return false, err
	}
	w.responded()
	if resp.Close {
		return true, errClosedAfterList
	}
	return true, nil
}

// follow opens the watch and applies its messages until it ends. received tells whether a list was applied before.
func (w *watch) follow(received bool) (bool, error) {
	resp, err := w.get(fmt.Sprintf("/v1/endpoints?stream=1&index=%d", w.follower.revision()))
	if err != nil {
		return received, err
	}
	w.responded()
	pushes := &pushReader{
		body: resp.Body, remaining: maxPushBytes, onHeartbeat: w.follower.noteUnchanged,
		messageTimeout: w.follower.messageTimeout(),
	}
	w.pushes = pushes
	for decoder := json.NewDecoder(pushes); ; {
		var raw json.RawMessage
		if err := decoder.Decode(&raw); err != nil {
			if pushes.overdue() {
				w.follower.overdueMessages.Add(1)
			}
			var syntaxErr *json.SyntaxError
			w.follower.noteDecodeError(errors.As(err, &syntaxErr))
			return received, err
		}
		if err := w.follower.applyWatched(w.ctx, raw); err != nil {
			return received && !errors.Is(err, errStaleList), err
		}
		received = true
		w.follower.overdueMessages.Store(0)
		buffered, _ := io.ReadAll(decoder.Buffered())
		pushes.remaining, pushes.pushStart = maxPushBytes, time.Time{}
		pushes.observe(buffered)
	}
}

// pushReader reads the body of a watch. Every byte shows that the connection is alive, but not that discovery makes
// progress: a message that has begun must go on within attemptInterval, and be complete within messageTimeout and within
// maxPushBytes.
type pushReader struct {
	body           io.Reader
	remaining      int       // bytes that the current message may still have
	pushStart      time.Time // when the current message began; zero: only empty lines were received since the last one
	onHeartbeat    func()    // called when an empty line is received: the list has not changed
	messageTimeout time.Duration
}

// deadline returns the time by which further bytes must come.
func (p *pushReader) deadline(now time.Time) time.Time {
	if p.pushStart.IsZero() {
		return now.Add(silenceTimeout)
	}
	if end := p.pushStart.Add(p.messageTimeout); end.Before(now.Add(attemptInterval)) {
		return end
	}
	return now.Add(attemptInterval)
}

// received accounts for bytes of the connection. A message begins with a brace, which the framing of chunks doesn't have.
func (p *pushReader) received(raw []byte) {
	if p.pushStart.IsZero() && bytes.IndexByte(raw, '{') >= 0 {
		p.pushStart = time.Now()
	}
}

// overdue reports whether the current message has taken longer than it may.
func (p *pushReader) overdue() bool {
	return !p.pushStart.IsZero() && time.Since(p.pushStart) >= p.messageTimeout
}

func (p *pushReader) Read(into []byte) (int, error) {
	if p.remaining <= 0 {
		return 0, fmt.Errorf("discovery message exceeds the limit of %d bytes", maxPushBytes)
	}
	n, err := p.body.Read(into[:min(len(into), p.remaining)])
	p.observe(into[:n])
	return n, err
}

// observe accounts for bytes of the body.
func (p *pushReader) observe(raw []byte) {
	if p.pushStart.IsZero() && len(bytes.TrimSpace(raw)) > 0 {
		p.pushStart = time.Now()
	}
	if !p.pushStart.IsZero() {
		p.remaining -= len(raw)
	} else if len(raw) > 0 {
		p.onHeartbeat()
	}
}
