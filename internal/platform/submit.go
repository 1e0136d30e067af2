package platform

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"sloetrestle/internal/chat"
	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/kserve"
	"sloetrestle/internal/memory"
)

// This file takes a valid request from its body to its answer.

// submission is a valid request that is read, submitted and answered.
type submission struct {
	frontend      *frontend
	w             http.ResponseWriter
	r             *http.Request
	request       chat.Request
	class, tenant int       // by their indices
	arrival       time.Time // of the request's last byte
	plan          answerPlan
	memory        *memory.Holder // of the open request
	bodyBytes     int64          // of what it holds
}

// run reads the request's body, hands the request to the event loop and writes the response.
func (s *submission) run() {
	f := s.frontend
	if !f.ids.Claim(s.request.ID) {
		f.refuse(s.w, s.r, errDuplicateID)
		return
	}
	submitted := false
	defer func() { f.ids.Release(s.request.ID, submitted) }()
	conn := connFromContext(s.r.Context())
	s.memory = f.memory.NewHolder(nil)
	defer s.memory.Close()
	if conn.reserve(s.memory, memory.Requests, requestBytes) != nil {
		f.reject(s.w, s.r, rejectedMemory)
		return
	}
	body, err := s.readBody(conn)
	if err != nil {
		s.refuseBody(err)
		return
	}
	if !conn.admit(s.memory) {
		f.reject(s.w, s.r, rejectedMemory)
		return
	}
	s.arrival = conn.requestArrival(f.stalls.earliestArrival(time.Now()))
	var reason rejection
	if s.plan, reason = s.planAnswer(time.Now()); reason != notRejected {
		f.reject(s.w, s.r, reason)
		return
	}
	if s.plan.late {
		f.openLate.Add(1)
		defer f.openLate.Add(-1)
	}
	submitted = true
	s.answer(body)
}

// planAnswer decides whether the request, whose last byte has come now, may be begun, and how its answer is sent.
func (s *submission) planAnswer(now time.Time) (answerPlan, rejection) {
	f := s.frontend
	if !f.isLate(now) {
		return answerPlan{mode: streamed}, notRejected
	}
	f.Late.Add(1)
	known := lateRequest{
		timeLeft: f.shutdownTimes.answer - now.Sub(f.stoppingSince), clientTimeLeft: s.timeLeft(),
		resumable: f.resumable, retryHarmless: f.classes[s.class].RetryIsHarmless(),
		longestAnswer: f.answerTimes.longest(s.class, now),
	}
	plan, reason := mayBegin(known)
	f.log.Debug("late request", "id", s.request.ID, "left", known.timeLeft, "longest", known.longestAnswer,
		"buffered", plan.mode == buffered, "why", reason)
	return plan, reason
}

// isLate reports whether a request whose last byte comes now must be answered before SIGKILL.
func (f *frontend) isLate(now time.Time) bool {
	return f.stopping.Load() && now.Sub(f.stoppingSince) >= mustAnswerAfter
}

// answer hands the request to the event loop and writes the response.
func (s *submission) answer(body []byte) {
	f := s.frontend
	outgoing := s.outgoingRequest(body)
	clientRequest := s.clientRequest(outgoing)
	f.monitor.RequestAccepted(s.request.ID, monitorClass(f.classes[s.class]), s.timeLeft())
	defer f.monitor.RequestClosed(s.request.ID, "its handler has returned")
	defer context.AfterFunc(s.r.Context(), func() {
		clientRequest.MarkOver()
		f.monitor.ClientGone(s.request.ID)
	})()
	ctx, cancel := context.WithDeadline(s.r.Context(), s.arrival.Add(s.request.Timeout+answerGrace))
	defer cancel()
	if !f.loop.Call(ctx, func() { f.loop.Submit(clientRequest, s.class, s.tenant, s.timeLeft()) }) {
		f.answerWithoutLoop(s.w, s.r, clientRequest, ctx)
		return
	}
	attempt, final, answered := clientRequest.WaitStart(ctx)
	switch {
	case !answered:
		f.answerWithoutLoop(s.w, s.r, clientRequest, ctx)
		return
	case attempt == nil:
		f.writeFinal(s.w, s.request.ID, final)
		return
	}
	outgoing.body, body = nil, nil
	s.freeBody()
	if s.plan.mode == buffered {
		(&bufferedAnswer{
			frontend: f, w: s.w, r: s.r, request: clientRequest, attempt: attempt, memory: s.memory,
		}).run(ctx)
		return
	}
	f.newStreamRelay(s.w, s.r, clientRequest, attempt, s.memory, s.plan.late).run()
	f.answerTimes.record(s.class, time.Since(s.arrival), time.Now())
}

// timeLeft returns the time that is left until the client's deadline.
func (s *submission) timeLeft() time.Duration { return s.request.Timeout - time.Since(s.arrival) }

// outgoingRequest returns the request as it is sent to backends, with the given body.
func (s *submission) outgoingRequest(body []byte) *outgoingRequest {
	length := len(body)
	s.request.SetBodyBytes(length)
	return &outgoingRequest{id: s.request.ID, body: body, memory: s.memory, head: func(timeout time.Duration) []byte {
		return chat.AttemptHead(s.r, serviceHost, s.request, length, timeout)
	}}
}

// clientRequest returns the request as the event loop takes it.
func (s *submission) clientRequest(outgoing *outgoingRequest) *dispatch.ClientRequest {
	request := s.request
	if request.Retried {
		s.frontend.Resubmitted.Add(1)
	}
	if request.Resumed {
		s.frontend.Continuations.Add(1)
	}
	return &dispatch.ClientRequest{
		Params: kserve.Request{
			ID: request.ID, Session: request.Session, SharedPrefix: request.PrefixID, PromptTokens: request.PromptTokens,
			PrefixTokens: request.PrefixTokens, MaxTokens: request.MaxTokens, IsRetry: request.Retried,
		},
		Class: request.Class, Tenant: request.Tenant, Payload: outgoing,
		Buffered: s.plan.mode == buffered, AttemptWithin: s.plan.attemptsWithin,
	}
}

// answerWithoutLoop ends a request that the event loop has not answered: its client has gone, or the loop has ended or
// is far behind. The loop may have submitted the request, or may yet, so the response must not call a retry harmless;
// after this call nothing more is sent for the request.
func (f *frontend) answerWithoutLoop(
	w http.ResponseWriter, r *http.Request, clientRequest *dispatch.ClientRequest, ctx context.Context,
) {
	clientRequest.MarkOver()
	f.loop.Post(func() { f.loop.ClientDisconnected(clientRequest) })
	switch {
	case r.Context().Err() != nil:
		f.monitor.ClientGone(clientRequest.Params.ID)
	case ctx.Err() != nil:
		f.LateAnswers.Add(1)
		f.log.Error("no answer from the event loop by the request's deadline", "id", clientRequest.Params.ID,
			"behind", f.loop.QueueDelay())
		f.writeFinal(w, clientRequest.Params.ID,
			kserve.FinalResponse{Outcome: kserve.Failed, Error: "no answer came in time"})
	default:
		f.writeFinal(w, clientRequest.Params.ID,
			kserve.FinalResponse{Outcome: kserve.Failed, Error: string(rejectedAtShutdown)})
	}
}

// errBodyTooLong ends reading a body that is longer than any request's may be.
var errBodyTooLong = errors.New("request body is too long")

// refuseBody answers a request whose body could not be read.
func (s *submission) refuseBody(err error) {
	switch {
	case errors.Is(err, errNoMemory):
		s.frontend.reject(s.w, s.r, rejectedBodyBytes)
	case errors.Is(err, errBodyTooLong):
		s.frontend.refuse(s.w, s.r, &chat.RequestError{Status: http.StatusRequestEntityTooLarge, Reason: "body"})
	default:
		s.frontend.refuse(s.w, s.r, &chat.RequestError{Status: http.StatusBadRequest, Reason: "half a request"})
	}
}

// freeBody returns the memory that is reserved for the body.
func (s *submission) freeBody() {
	s.memory.Release(memory.Requests, s.bodyBytes)
	s.bodyBytes = 0
}

// readBody reads the request's body. Memory is reserved as bytes arrive, not by the announced length.
func (s *submission) readBody(conn *clientConn) (body []byte, err error) {
	control := http.NewResponseController(s.w)
	// The connection applies the request's own deadline where that is earlier.
	control.SetReadDeadline(time.Now().Add(requestReadTimeout))
	for err == nil {
		if len(body) == cap(body) {
			step := bodyGrowth(s.r.ContentLength, len(body))
			if err := conn.reserve(conn.memory, memory.Incoming, int64(step)); err != nil {
				return nil, err
			}
			s.bodyBytes += int64(step)
			body = append(make([]byte, 0, len(body)+step), body...)
		}
		var n int
		n, err = s.r.Body.Read(body[len(body):cap(body)])
		if body = body[:len(body)+n]; len(body) > chat.MaxBodyBytes {
			return nil, errBodyTooLong
		}
	}
	control.SetReadDeadline(time.Time{})
	if err != io.EOF {
		return nil, err
	}
	return body, nil
}

// bodyGrowth returns by how many bytes to grow the buffer of a body of which so much has arrived. A negative length is
// unknown.
func bodyGrowth(length int64, received int) int {
	step := max(minBodyGrowth, received)
	if length >= 0 {
		step = min(step, int(length)-received)
	}
	return max(step, 1)
}
