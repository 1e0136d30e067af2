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
const moveGrace = 200 * time.Millisecond

// passing is one backend's stream on its way to a client.
type streamRelay struct {
	frontend    *frontend
	w           http.ResponseWriter
	control     *http.ResponseController
	ctx         context.Context
	request     *dispatch.ClientRequest
	attempt     *dispatch.Attempt
	lastWritten []byte // what was passed on last
}

func (f *frontend) newStreamRelay(w http.ResponseWriter, r *http.Request, a *dispatch.ClientRequest, trip *dispatch.Attempt) *streamRelay {
	return &streamRelay{frontend: f, w: w, control: http.NewResponseController(w), ctx: r.Context(), request: a, attempt: trip}
}

// run passes events on as they come. A stream that breaks ends the client's connection without the last chunk: a plain return would
// end it as whole.
func (p *streamRelay) run() {
	p.frontend.monitor.Answered(p.request.Params.ID, http.StatusOK, false, nil)
	p.w.Header().Set("Content-Type", "text/event-stream")
	p.w.Header()["Date"] = nil
	cut := p.frontend.moveStreams
	var overdue <-chan time.Time
	for {
		select {
		case piece, more := <-p.attempt.Tokens:
			if !more || !p.write(piece) {
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

// pass writes a piece and all that wait behind it; false: the last one was among them.
func (p *streamRelay) write(piece []byte) (more bool) {
	p.control.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
	for more = true; more; {
		if _, err := p.w.Write(piece); err != nil {
			p.abort()
		}
		p.lastWritten = piece
		if len(p.attempt.Tokens) == 0 {
			break
		}
		piece, more = <-p.attempt.Tokens
	}
	if p.control.Flush() != nil {
		p.abort()
	}
	return more
}

// end ends the client's answer as the attempt ended.
func (p *streamRelay) finish() {
	select {
	case end := <-p.request.Final():
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
func (p *streamRelay) midway() bool { return chat.EndsMidAnswer(p.lastWritten) }

// move cuts the stream for its client to continue elsewhere.
func (p *streamRelay) moveStream() {
	p.frontend.MovedStreams.Add(1)
	p.abort()
}

// abort ends the request and its client's connection.
func (p *streamRelay) abort() {
	p.frontend.loop.Post(func() { p.frontend.loop.ClientDisconnected(p.request) })
	panic(http.ErrAbortHandler)
}

// cutting tells whether streams are cut to be continued elsewhere.
func (f *frontend) movingStreams() bool {
	select {
	case <-f.moveStreams:
		return true
	default:
		return false
	}
}
