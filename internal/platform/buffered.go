package platform

import (
	"context"
	"errors"
	"net/http"
	"time"

	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/kserve"
	"sloetrestle/internal/memory"
)

// bufferedAnswer receives the stream of one backend and sends nothing of it before all of it has come. Until then the
// event loop may still reject or fail the request. Only the loop decides whether the request is served: no event is
// dropped, so that the answer to a served request is whole whenever that was decided.
type bufferedAnswer struct {
	frontend *frontend
	w        http.ResponseWriter
	r        *http.Request
	request  *dispatch.ClientRequest
	attempt  *dispatch.Attempt
	memory   *memory.Holder // of the request
	events   []byte
}

// run answers the request: with the whole stream, or as the event loop ends it. The context ends at the deadline.
func (b *bufferedAnswer) run(ctx context.Context) {
	unread := b.attempt.Tokens // nil once nothing more is read before the final answer
	for {
		select {
		case events, more := <-unread:
			hasMemory := b.store(events)
			switch {
			case !more:
				unread = nil
			case !hasMemory:
				unread = nil
				b.askToGiveUp()
			}
		case final := <-b.request.Final():
			b.finish(final)
			return
		case <-ctx.Done():
			b.frontend.answerWithoutLoop(b.w, b.r, b.request, ctx)
			return
		}
	}
}

// store buffers events and reports whether there was memory for them. What the attempt reserved for them while they were
// queued becomes part of what the buffer takes.
func (b *bufferedAnswer) store(events []byte) bool {
	before := cap(b.events)
	b.events = append(b.events, events...)
	further := int64(cap(b.events) - before)
	defer b.memory.Release(memory.Answers, int64(len(events)))
	victim, err := b.memory.Reserve(memory.Answers, further)
	if victim != nil {
		victim.Evict()
	}
	if err != nil {
		b.memory.Take(memory.Answers, further)
	}
	return err == nil || errors.Is(err, memory.ErrEvicting)
}

// askToGiveUp asks the event loop to end the request for lack of memory. The loop does so unless the attempt has ended
// and the request is served; what is unread of the stream has been received then, and takes no further memory.
func (b *bufferedAnswer) askToGiveUp() {
	b.frontend.BufferNoMemory.Add(1)
	b.frontend.log.Debug("no memory for the rest of a buffered answer", "id", b.request.Params.ID, "stored", len(b.events))
	loop := b.frontend.loop
	loop.Post(func() { loop.GiveUpBuffered(b.request, string(rejectedBodyBytes)) })
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
