package platform

import (
	"context"
	"net/http"
	"time"

	"sloetrestle/internal/chat"
	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/kserve"
)

// moveGrace is how long a stream that is to be continued at another dispatcher may take to send a further event, after
// which its end is not near.
const moveGrace = 200 * time.Millisecond

// streamRelay relays one backend's stream to a client.
type streamRelay struct {
	frontend    *frontend
	w           http.ResponseWriter
	control     *http.ResponseController
	ctx         context.Context
	request     *dispatch.ClientRequest
	attempt     *dispatch.Attempt
	lastWritten []byte // the events that were written last
}

// newStreamRelay returns a relay of an attempt's stream to the client of its request.
func (f *frontend) newStreamRelay(
	w http.ResponseWriter, r *http.Request, clientRequest *dispatch.ClientRequest, attempt *dispatch.Attempt,
) *streamRelay {
	return &streamRelay{
		frontend: f, w: w, control: http.NewResponseController(w), ctx: r.Context(), request: clientRequest, attempt: attempt,
	}
}

// run relays events as they arrive. A stream that breaks ends the client's connection without the last chunk, as a
// plain return would mark the response as complete.
func (p *streamRelay) run() {
	p.frontend.monitor.Answered(p.request.Ask.ID, http.StatusOK, false, nil)
	p.w.Header().Set("Content-Type", "text/event-stream")
	p.w.Header()["Date"] = nil
	cut := p.frontend.moveStreams
	var overdue <-chan time.Time
	for {
		select {
		case events, more := <-p.attempt.Tokens:
			if !more || !p.write(events) {
				p.finish()
				return
			}
			if p.frontend.movingStreams() && p.midway() {
				p.moveStream()
			}
		case <-cut:
			cut, overdue = nil, time.After(moveGrace)
		case <-overdue:
			overdue = nil
			if p.midway() {
				p.moveStream()
			}
		case <-p.ctx.Done():
			p.abort()
		}
	}
}

// write writes events and all that are queued behind them, and reports whether the stream goes on.
func (p *streamRelay) write(events []byte) (more bool) {
	p.control.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
	for more = true; more; {
		if _, err := p.w.Write(events); err != nil {
			p.abort()
		}
		p.lastWritten = events
		if len(p.attempt.Tokens) == 0 {
			break
		}
		events, more = <-p.attempt.Tokens
	}
	if p.control.Flush() != nil {
		p.abort()
	}
	return more
}

// finish ends the client's response as the attempt ended.
func (p *streamRelay) finish() {
	select {
	case final := <-p.request.Final():
		if final.Final != kserve.Satisfied {
			panic(http.ErrAbortHandler)
		}
	case <-p.ctx.Done():
		p.abort()
	}
}

// midway reports whether a further token must follow what was written last. Before the first event the client has had
// no response, and after the last token it has nothing to come back for. Right behind an event that is followed by
// another, the backend cannot have finished.
func (p *streamRelay) midway() bool { return chat.Midway(p.lastWritten) }

// moveStream cuts the stream, for its client to continue it at another dispatcher.
func (p *streamRelay) moveStream() {
	p.frontend.MovedStreams.Add(1)
	p.abort()
}

// abort ends the request and its client's connection.
func (p *streamRelay) abort() {
	p.frontend.loop.Post(func() { p.frontend.loop.Left(p.request) })
	panic(http.ErrAbortHandler)
}

// movingStreams reports whether streams are being cut for their clients to continue them at another dispatcher.
func (f *frontend) movingStreams() bool {
	select {
	case <-f.moveStreams:
		return true
	default:
		return false
	}
}
