package platform

import (
	"context"
	"net/http"
	"time"

	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/kserve"
)

// bufferedAnswer receives the stream of one backend and sends nothing of it before all of it has come. Until then the
// event loop may still reject or fail the request.
type bufferedAnswer struct {
	frontend *frontend
	w        http.ResponseWriter
	r        *http.Request
	request  *dispatch.ClientRequest
	attempt  *dispatch.Attempt
	events   []byte
	refused  bool // for lack of memory: further events are dropped
}

// run answers the request: with the whole stream, or as the event loop ends it. The context ends at the deadline.
func (b *bufferedAnswer) run(ctx context.Context) {
	defer func() { b.frontend.bodyBytes.Add(-int64(len(b.events))) }()
	tokens := b.attempt.Tokens
	for {
		select {
		case events, more := <-tokens:
			if !more {
				tokens = nil // the final answer follows
			}
			b.add(events)
		case final := <-b.request.Final():
			b.finish(final)
			return
		case <-ctx.Done():
			b.frontend.answerWithoutLoop(b.w, b.r, b.request, ctx)
			return
		}
	}
}

// add buffers events, and gives the request up if there is no memory left.
func (b *bufferedAnswer) add(events []byte) {
	if b.refused {
		return
	}
	if b.store(events) > b.frontend.maxBodyBytes {
		b.refused = true
		b.frontend.BufferNoMemory.Add(1)
		b.frontend.log.Debug("no memory for the rest of a buffered answer", "id", b.request.Params.ID, "stored", len(b.events))
		loop := b.frontend.loop
		loop.Post(func() { loop.GiveUpBuffered(b.request, string(rejectedBodyBytes)) })
	}
}

// store buffers events and returns how much of the memory for bodies, which they are part of, is taken.
func (b *bufferedAnswer) store(events []byte) (taken int64) {
	b.events = append(b.events, events...)
	return b.frontend.bodyBytes.Add(int64(len(events)))
}

// finish sends the answer.
func (b *bufferedAnswer) finish(final kserve.FinalResponse) {
	if final.Outcome != kserve.Served {
		b.frontend.writeFinal(b.w, b.request.Params.ID, final)
		return
	}
	for events := range b.attempt.Tokens { // closed before the final answer
		b.store(events)
	}
	b.frontend.monitor.Answered(b.request.Params.ID, http.StatusOK, false, nil)
	b.frontend.Buffered.Add(1)
	http.NewResponseController(b.w).SetWriteDeadline(time.Now().Add(clientWriteTimeout))
	setStreamHeader(b.w)
	b.w.Write(b.events) // a client that has gone has no use for the error
}
