package platform

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"sloetrestle/internal/chat"
	"sloetrestle/internal/connpool"
	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/memory"
	"sloetrestle/internal/system"
	"sloetrestle/scheduler"
)

const (
	openingIdleTimeout = 400 * time.Millisecond  // without a byte, from a response's first one to its first event or its end
	streamStallTimeout = 4200 * time.Millisecond // without an event, after which a stream counts as broken
	maxShortBody       = 64 << 10                // bytes of a response body that is not streamed
	minAnswerBytes     = 4 << 10                 // of an answer that are read although there is no memory for them
)

// exchange is an attempt whose request was written whole, from there to the end of its response.
type exchange struct {
	transport *transport
	ctx       context.Context // of the attempt; its cause says why the attempt was cancelled
	attempt   *dispatch.Attempt
	id        string         // of the client's request
	memory    *memory.Holder // of the client's request
	pool      *connpool.Pool
	conn      *connpool.Conn
	load      string // the response's load report as text
}

// run reads the response and returns what it shows.
func (e *exchange) run() scheduler.Result {
	if _, err := e.conn.Reader().Peek(1); err != nil {
		e.transport.activity.recordSilence(e.pool)
		return e.interrupted()
	}
	e.attempt.ResponseStarted.Store(true) // only a response shows that the request has reached a running backend
	e.transport.activity.recordActivity(e.pool)
	e.transport.monitor.AttemptArrived(e.id, e.attempt.Scheduled.Number)
	e.conn.SetIdleTimeout(openingIdleTimeout)
	resp, err := e.readHead()
	switch {
	case err != nil:
		return e.malformed()
	case resp.StatusCode != http.StatusOK || e.attempt.Scheduled.Stage == scheduler.StagePrefill:
		return e.readShort(resp)
	case len(resp.TransferEncoding) != 1 || resp.TransferEncoding[0] != "chunked":
		return e.malformed()
	}
	return e.relayStream(resp)
}

// interrupted returns the result of an attempt that ended without a whole response.
func (e *exchange) interrupted() scheduler.Result {
	switch cause := context.Cause(e.ctx); {
	case errors.Is(cause, dispatch.ErrAttemptTimeout):
		return scheduler.Result{Outcome: scheduler.TimedOut}
	case errors.Is(cause, dispatch.ErrNotNeeded):
		return scheduler.Result{Outcome: scheduler.Cancelled}
	}
	return scheduler.Result{Outcome: scheduler.ConnectionLost}
}

// malformed counts a response that cannot be parsed and returns the attempt's result.
func (e *exchange) malformed() scheduler.Result {
	e.transport.Malformed.Add(1)
	return e.interrupted()
}

// readHead reads the head of the response and skips informational ones before it, of which there may be few.
func (e *exchange) readHead() (*http.Response, error) {
	for range chat.MaxInformational {
		resp, err := e.conn.ReadResponse(nil)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 200 || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
	return nil, chat.ErrMalformed
}

// readShort reads a response that is not a stream of events.
func (e *exchange) readShort(resp *http.Response) (result scheduler.Result) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxShortBody+1))
	if err != nil || len(body) > maxShortBody {
		return e.malformed()
	}
	if resp.StatusCode == http.StatusBadRequest || resp.StatusCode == http.StatusNotFound {
		// The request is at fault: this must not count against the backend, and no other backend would accept the
		// request either.
		e.transport.BadRequest.Add(1)
		e.attempt.RequestInvalid = true
		return scheduler.Result{Outcome: scheduler.Cancelled}
	}
	result.Outcome, result.Detail = chat.ClassifyResponse(e.attempt.Scheduled.Stage, resp, body)
	e.load = resp.Header.Get("X-Server-Load")
	result.LoadReport = chat.ParseLoad(e.load, e.transport.loadFields)
	return result
}

// relayStream hands the events of a stream to the client's side as they come, until the stream ends.
func (e *exchange) relayStream(resp *http.Response) scheduler.Result {
	stream := chat.NewStream(e.conn.Reader(), e.reserveAnswer)
	for begun := false; ; {
		piece, err := stream.Next()
		switch {
		case err == io.EOF:
			e.load = cmp.Or(stream.LoadReport, resp.Header.Get("X-Server-Load"))
			return scheduler.Result{
				Outcome: scheduler.Served, Detail: stream.CachedTokens,
				LoadReport: chat.ParseLoad(e.load, e.transport.loadFields),
			}
		case errors.Is(err, chat.ErrMalformed):
			return e.malformed()
		case err != nil:
			return e.interrupted()
		}
		if !begun {
			begun = true
			e.conn.SetIdleTimeout(0)
			e.begin()
		}
		e.transport.activity.recordActivity(e.pool)
		select {
		case e.attempt.Tokens <- piece:
		case <-e.ctx.Done():
			return e.interrupted()
		}
		// From here on, as the client may have taken its time for the event.
		e.conn.SetReadDeadline(time.Now().Add(streamStallTimeout))
	}
}

// reserveAnswer takes memory for a further part of the answer; a small part of it gets it in any case. While there is
// none, what the client has not read yet has to be written first.
func (e *exchange) reserveAnswer(size int) error {
	for waited := false; ; waited = true {
		victim, err := e.memory.Reserve(memory.Answers, int64(size))
		if victim != nil {
			victim.Evict()
		}
		if err != nil && e.memory.Held(memory.Answers)+int64(size) <= minAnswerBytes {
			e.memory.Take(memory.Answers, int64(size))
			err = nil
		}
		switch {
		case err == nil:
			if waited {
				e.conn.SetReadDeadline(time.Now().Add(streamStallTimeout)) // the backend is not late
			}
			return nil
		case len(e.attempt.Tokens) == 0 && !errors.Is(err, memory.ErrEvicting):
			return errNoMemory
		case !system.Sleep(e.ctx, memoryPollInterval):
			return context.Cause(e.ctx)
		}
	}
}

// begin reports the first event: the backend has taken the KV cache over.
func (e *exchange) begin() {
	e.transport.monitor.CacheReleased(e.id, "response started")
	e.transport.loop.Post(func() { e.transport.loop.AttemptBegan(e.attempt) })
}
