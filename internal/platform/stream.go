package platform

import (
	"context"
	"net/http"
	"time"

	"sloetrestle/internal/chat"
	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/kserve"
)

// cutWait is how long a stream that is to be continued at another dispatcher may take to send a further event, after
// which its end is not near.
const cutWait = 200 * time.Millisecond

// streamRelay relays one backend's stream to a client.
type passing struct {
	frontend *frontend
	w        http.ResponseWriter
	control  *http.ResponseController
	ctx      context.Context
	asked    *dispatch.ClientRequest
	trip     *dispatch.Attempt
	last     []byte // the events that were written last
}

// newStreamRelay returns a relay of an attempt's stream to the client of its request.
func (f *frontend) newPassing(
	w http.ResponseWriter, r *http.Request, clientRequest *dispatch.ClientRequest, attempt *dispatch.Attempt,
) *passing {
	return &passing{
		frontend: f, w: w, control: http.NewResponseController(w), ctx: r.Context(), asked: clientRequest, trip: attempt,
	}
}

// run relays events as they arrive. A stream that breaks ends the client's connection without the last chunk, as a
// plain return would mark the response as complete.
func (p *passing) run() {
	p.frontend.monitor.Answered(p.asked.Ask.ID, http.StatusOK, false, nil)
	p.w.Header().Set("Content-Type", "text/event-stream")
	p.w.Header()["Date"] = nil
	cut := p.frontend.moveStreams
	var overdue <-chan time.Time
	for {
		select {
		case events, more := <-p.trip.Tokens:
			if !more || !p.pass(events) {
				p.end()
				return
			}
			if p.frontend.cutting() && p.midway() {
				p.move()
			}
		case <-cut:
			cut, overdue = nil, time.After(cutWait)
		case <-overdue:
			overdue = nil
			if p.midway() {
				p.move()
			}
		case <-p.ctx.Done():
			p.abort()
		}
	}
}

// write writes events and all that are queued behind them, and reports whether the stream goes on.
func (p *passing) pass(events []byte) (more bool) {
	p.control.SetWriteDeadline(time.Now().Add(writeWait))
	for more = true; more; {
		if _, err := p.w.Write(events); err != nil {
			p.abort()
		}
		p.last = events
		if len(p.trip.Tokens) == 0 {
			break
		}
		events, more = <-p.trip.Tokens
	}
	if p.control.Flush() != nil {
		p.abort()
	}
	return more
}

// finish ends the client's response as the attempt ended.
func (p *passing) end() {
	select {
	case final := <-p.asked.Final():
		if final.Final != kserve.Satisfied {
			panic(http.ErrAbortHandler)
		}
	case <-p.ctx.Done():
		p.abort()
	}
}

// midway reports whether a further token must follow what was written last. Before the first event the client has had no
// response, and after the last token it has nothing to come back for. Right behind an event that is followed by another,
// the backend cannot have finished.
func (p *passing) midway() bool { return chat.Midway(p.last) }

// moveStream cuts the stream, for its client to continue it at another dispatcher.
func (p *passing) move() {
	p.frontend.MovedStreams.Add(1)
	p.abort()
}

// abort ends the request and its client's connection.
func (p *passing) abort() {
	p.frontend.loop.Post(func() { p.frontend.loop.Left(p.asked) })
	panic(http.ErrAbortHandler)
}

// movingStreams reports whether streams are being cut for their clients to continue them at another dispatcher.
func (f *frontend) cutting() bool {
	select {
	case <-f.moveStreams:
		return true
	default:
		return false
	}
}
