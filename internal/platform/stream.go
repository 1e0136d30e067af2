package platform

import (
	"context"
	"net/http"
	"time"

	"sloetrestle/internal/chat"
	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/kserve"
)

// cutWait is how long a stream that is to be continued elsewhere is given for a further event, after which its end is not near.
const cutWait = 200 * time.Millisecond

// passing is one backend's stream on its way to a client.
type passing struct {
	frontend *frontend
	w        http.ResponseWriter
	control  *http.ResponseController
	ctx      context.Context
	asked    *dispatch.ClientRequest
	trip     *dispatch.Attempt
	last     []byte // what was passed on last
}

func (f *frontend) newPassing(w http.ResponseWriter, r *http.Request, a *dispatch.ClientRequest, trip *dispatch.Attempt) *passing {
	return &passing{frontend: f, w: w, control: http.NewResponseController(w), ctx: r.Context(), asked: a, trip: trip}
}

// run passes events on as they come. A stream that breaks ends the client's connection without the last chunk: a plain return would
// end it as whole.
func (p *passing) run() {
	p.frontend.monitor.Answered(p.asked.Ask.ID, http.StatusOK, false, nil)
	p.w.Header().Set("Content-Type", "text/event-stream")
	p.w.Header()["Date"] = nil
	cut := p.frontend.cut
	var overdue <-chan time.Time
	for {
		select {
		case piece, more := <-p.trip.Tokens:
			if !more || !p.pass(piece) {
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

// pass writes a piece and all that wait behind it; false: the last one was among them.
func (p *passing) pass(piece []byte) (more bool) {
	p.control.SetWriteDeadline(time.Now().Add(writeWait))
	for more = true; more; {
		if _, err := p.w.Write(piece); err != nil {
			p.abort()
		}
		p.last = piece
		if len(p.trip.Tokens) == 0 {
			break
		}
		piece, more = <-p.trip.Tokens
	}
	if p.control.Flush() != nil {
		p.abort()
	}
	return more
}

// end ends the client's answer as the attempt ended.
func (p *passing) end() {
	select {
	case end := <-p.asked.Final():
		if end.Outcome != kserve.Served {
			panic(http.ErrAbortHandler)
		}
	case <-p.ctx.Done():
		p.abort()
	}
}

// midway tells whether a further token has to follow what was passed on last. Before the first event the client has had no answer,
// and after the last token it has nothing to come back for. Right behind an event that is followed by another, the backend can't
// have finished.
func (p *passing) midway() bool { return chat.Midway(p.last) }

// move cuts the stream for its client to continue elsewhere.
func (p *passing) move() {
	p.frontend.Moved.Add(1)
	p.abort()
}

// abort ends the request and its client's connection.
func (p *passing) abort() {
	p.frontend.loop.Post(func() { p.frontend.loop.Left(p.asked) })
	panic(http.ErrAbortHandler)
}

// cutting tells whether streams are cut to be continued elsewhere.
func (f *frontend) cutting() bool {
	select {
	case <-f.cut:
		return true
	default:
		return false
	}
}
