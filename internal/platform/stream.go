package platform

import (
	"context"
	"net/http"
	"time"

	"sloetrestle/internal/chat"
	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/kserve"
	"sloetrestle/internal/memory"
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
	memory      *memory.Holder // of the request
	late        bool           // SIGKILL must not find it open
	lastWritten []byte         // the events that were written last
}

// newStreamRelay returns a relay of an attempt's stream to the client of its request.
func (f *frontend) newStreamRelay(
	w http.ResponseWriter, r *http.Request, clientRequest *dispatch.ClientRequest, attempt *dispatch.Attempt,
	holder *memory.Holder, late bool,
) *streamRelay {
	return &streamRelay{
		frontend: f, w: w, control: http.NewResponseController(w), ctx: r.Context(), request: clientRequest, attempt: attempt,
		memory: holder, late: late,
	}
}

// run relays events as they arrive. A stream that breaks ends the client's connection without the last chunk, as a
// plain return would mark the response as complete.
func (s *streamRelay) run() {
	s.frontend.monitor.Answered(s.request.Params.ID, http.StatusOK, false, nil)
	setStreamHeader(s.w)
	cut := s.frontend.moveStreams
	var overdue <-chan time.Time
	var endLate <-chan struct{}
	if s.late {
		endLate = s.frontend.endLateStreams
	}
	for {
		select {
		case events, more := <-s.attempt.Tokens:
			if !more || !s.write(events) {
				s.finish()
				return
			}
			if s.frontend.movingStreams() && s.midway() {
				s.moveStream()
			}
		case <-cut:
			cut, overdue = nil, time.After(moveGrace)
		case <-overdue:
			overdue = nil
			if s.midway() {
				s.moveStream()
			}
		case <-endLate:
			s.moveStream() // all tokens but not the end have come, or it would have been cut before
		case <-s.ctx.Done():
			s.abort()
		}
	}
}

// setStreamHeader sets the header of a response with a stream of events.
func setStreamHeader(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header()["Date"] = nil
}

// write writes events and all that are queued behind them, and reports whether the stream goes on.
func (s *streamRelay) write(events []byte) (more bool) {
	s.control.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
	for more = true; more; {
		if _, err := s.w.Write(events); err != nil {
			s.abort()
		}
		s.lastWritten = events
		s.memory.Release(memory.Answers, int64(len(events)))
		if len(s.attempt.Tokens) == 0 {
			break
		}
		events, more = <-s.attempt.Tokens
	}
	if s.control.Flush() != nil {
		s.abort()
	}
	return more
}

// finish ends the client's response as the attempt ended.
func (s *streamRelay) finish() {
	select {
	case final := <-s.request.Final():
		if final.Outcome != kserve.Served {
			panic(http.ErrAbortHandler)
		}
	case <-s.ctx.Done():
		s.abort()
	}
}

// midway reports whether a further token must follow what was written last. Before the first event the client has had
// no response, and after the last token it has nothing to come back for. Right behind an event that is followed by
// another, the backend cannot have finished.
func (s *streamRelay) midway() bool { return chat.EndsMidAnswer(s.lastWritten) }

// moveStream cuts the stream, for its client to continue it at another dispatcher.
func (s *streamRelay) moveStream() {
	s.frontend.MovedStreams.Add(1)
	s.abort()
}

// abort ends the request and its client's connection.
func (s *streamRelay) abort() {
	s.frontend.loop.Post(func() { s.frontend.loop.ClientDisconnected(s.request) })
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
