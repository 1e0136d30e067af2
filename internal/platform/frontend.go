package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"sloetrestle/brain"
	"sloetrestle/internal/chat"
	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/kserve"
	"sloetrestle/internal/monitor"
)

const (
	headTimeout        = 2300 * time.Millisecond // for a request's head, from when the connection came or the request began
	clientWriteTimeout = 20 * time.Second        // for one piece to a client that does not read
	clientIdleTimeout  = 10 * time.Minute        // that a client's connection may rest while there is room
	minBodyGrowth      = 16 << 10                // of a body, as it comes

	// answerLate is how long after its client's time a request is answered here, if the loop has not done so: over half a second
	// late it would be lost.
	answerGrace = 200 * time.Millisecond
)

// frontend takes requests from clients.
type frontend struct {
	loop          *dispatch.Loop
	classIndexes  map[string]int
	tenantIndexes map[string]int
	retryAfter    time.Duration // told to clients that find no room
	maxOpen       int64         // requests that may be open
	maxBodyBytes  int64         // bytes that all bodies may have

	hasBackends   func() bool // there is a backend that answers
	nearConnLimit func() bool // clients' connections run short
	ready         atomic.Bool
	stopping      atomic.Bool   // it wants no new requests
	rejectAll     atomic.Bool   // it takes none any more
	moveStreams   chan struct{} // closed when streams are to be gone on with elsewhere
	openRequests  atomic.Int64
	Resubmitted   atomic.Int64 // requests asked before
	Continuations atomic.Int64 // requests for the rest of a stream
	MovedStreams  atomic.Int64 // streams cut for that
	bodyBytes     atomic.Int64
	LateAnswers   atomic.Int64 // requests that were answered here, as the loop had no answer in time

	ids      *idRegistry
	monitor  *monitor.Monitor
	stalls   *stallDetector
	classes  []monitor.Class // by the number of a request's class
	log      *slog.Logger
	mu       sync.Mutex
	refusals map[string]int64
}

func newFrontend(loop *dispatch.Loop, facts brain.Settings, bodies int64, observed *monitor.Monitor, beating *stallDetector, log *slog.Logger) *frontend {
	f := &frontend{
		loop: loop, classIndexes: map[string]int{}, tenantIndexes: map[string]int{}, ids: newIDRegistry(longestDeadline(facts) + idRetentionSlack), refusals: map[string]int64{},
		moveStreams: make(chan struct{}), retryAfter: facts.Duration("policyLimits.maxRetryAfterUs"), maxOpen: int64(facts.Number("policyLimits.maxOpen", 1e4)), maxBodyBytes: bodies,
		monitor: observed, stalls: beating, classes: monitorClasses(facts), log: log,
	}
	for i, name := range facts.Names("requestClasses") {
		f.classIndexes[name] = i
	}
	for i, name := range facts.Names("tenants") {
		f.tenantIndexes[name] = i
	}
	return f
}

func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := connFromContext(r.Context())
	conn.setBodyLength(r.ContentLength)
	if f.stopping.Load() || f.nearConnLimit() || !conn.reusable() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == chat.ReadyPath && (r.Method == http.MethodGet || r.Method == http.MethodHead) {
		if f.stopping.Load() || !f.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	came := conn.requestArrival(f.stalls.earliestArrival(time.Now()))
	ask, no := chat.ParseRequest(r)
	if conn.ambiguous() {
		no = &chat.RequestError{Status: http.StatusBadRequest, Reason: "length twice"}
	}
	grade, known := f.classIndexes[ask.Class]
	channel, one := f.tenantIndexes[ask.Tenant]
	switch {
	case no != nil:
	case !known:
		no = &chat.RequestError{Status: http.StatusBadRequest, Reason: "class"}
	case !one && len(f.tenantIndexes) > 0:
		no = &chat.RequestError{Status: http.StatusBadRequest, Reason: "tenant"}
	}
	if no != nil {
		f.refuse(w, r, no)
		return
	}
	if f.ids.known(ask.ID) {
		f.refuse(w, r, errDuplicateID) // before any answer that would invite a retry
		return
	}
	defer f.openRequests.Add(-1)
	if why := mayAccept(f.rejectAll.Load(), f.openRequests.Add(1), f.maxOpen, f.loop.QueueDelay()); why != notRejected {
		f.reject(w, r, why)
		return
	}
	f.submit(w, r, ask, grade, channel, came)
}

// errKnownID refuses a request with the id of another one.
var errDuplicateID = &chat.RequestError{Status: http.StatusConflict, Reason: "open id"}

// answering tells whether there are backends to serve with; once there were, that stays.
func (f *frontend) isReady() bool {
	if !f.ready.Load() && f.hasBackends() {
		f.ready.Store(true)
	}
	return f.ready.Load()
}

// refuse answers what is no request, and ends the connection: what else waits on it may be no request either.
func (f *frontend) refuse(w http.ResponseWriter, r *http.Request, no *chat.RequestError) {
	f.countRefusal(no.Reason)
	f.log.Debug("request not taken", "id", r.Header.Get("X-Request-Id"), "status", no.Status, "why", no.Reason, "client", r.RemoteAddr)
	w.Header().Set("Connection", "close")
	// What the server reads of a body that nobody wants is bounded in time.
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	http.Error(w, no.Reason, no.Status)
}

func (f *frontend) reject(w http.ResponseWriter, r *http.Request, why rejection) {
	f.countRefusal("full " + string(why))
	w.Header().Set("Retry-After", formatSeconds(f.retryAfter))
	f.refuse(w, r, &chat.RequestError{Status: http.StatusServiceUnavailable, Reason: string(why)})
}

func formatSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

func (f *frontend) countRefusal(why string) {
	f.mu.Lock()
	f.refusals[why]++
	f.mu.Unlock()
}

func (f *frontend) submit(w http.ResponseWriter, r *http.Request, ask chat.Request, grade, channel int, came time.Time) {
	if !f.ids.claim(ask.ID) {
		f.refuse(w, r, errDuplicateID)
		return
	}
	submitted := false
	defer func() { f.ids.release(ask.ID, submitted) }()
	took := int64(0)
	giveBack := func() { f.bodyBytes.Add(-took); took = 0 }
	defer giveBack()
	body, err := f.readBody(r, w, &took)
	switch {
	case errors.Is(err, errBodyLimit):
		f.reject(w, r, rejectedBodyBytes)
		return
	case errors.Is(err, errBodyTooLong):
		f.refuse(w, r, &chat.RequestError{Status: http.StatusRequestEntityTooLarge, Reason: "body"})
		return
	case err != nil:
		f.refuse(w, r, &chat.RequestError{Status: http.StatusBadRequest, Reason: "half a request"})
		return
	}
	length := len(body)
	ask.SetBodyBytes(length)
	if ask.Retried {
		f.Resubmitted.Add(1)
	}
	if ask.Resumed {
		f.Continuations.Add(1)
	}
	m := &outgoingRequest{id: ask.ID, body: body, head: func(wait time.Duration) []byte { return chat.AttemptHead(r, serviceHost, ask, length, wait) }}
	a := &dispatch.ClientRequest{
		Params: kserve.Request{ID: ask.ID, Session: ask.Session, SharedPrefix: ask.PrefixID, PromptTokens: ask.PromptTokens, PrefixTokens: ask.PrefixTokens, MaxTokens: ask.MaxTokens, IsRetry: ask.Retried},
		Class:  ask.Class, Tenant: ask.Tenant, Payload: m,
	}
	submitted = true
	f.monitor.RequestAccepted(ask.ID, f.classes[grade], ask.Timeout-time.Since(came))
	defer f.monitor.RequestClosed(ask.ID, "its handler ends")
	defer context.AfterFunc(r.Context(), func() {
		a.MarkOver()
		f.monitor.ClientGone(ask.ID)
	})()
	ctx, done := context.WithDeadline(r.Context(), came.Add(ask.Timeout+answerGrace))
	defer done()
	if !f.loop.Call(ctx, func() {
		f.loop.Submit(a, grade, channel, ask.Timeout-time.Since(came))
	}) {
		f.answerWithoutLoop(w, r, a, ctx)
		return
	}
	trip, end, there := a.WaitStart(ctx)
	switch {
	case !there:
		f.answerWithoutLoop(w, r, a, ctx)
		return
	case trip == nil:
		f.writeFinal(w, ask.ID, end)
		return
	}
	m.body, body = nil, nil
	giveBack()
	f.newStreamRelay(w, r, a, trip).run()
}

// giveUp ends a request of which the loop gave no answer: its client has gone, the loop has ended, or it is far behind. The loop may have
// taken it, or may yet, so nothing is promised; from here on nothing more is sent for it.
func (f *frontend) answerWithoutLoop(w http.ResponseWriter, r *http.Request, a *dispatch.ClientRequest, ctx context.Context) {
	a.MarkOver()
	f.loop.Post(func() { f.loop.ClientDisconnected(a) })
	switch {
	case r.Context().Err() != nil:
		f.monitor.ClientGone(a.Params.ID)
	case ctx.Err() != nil:
		f.LateAnswers.Add(1)
		f.log.Error("the event loop gave no answer in time", "id", a.Params.ID, "behind", f.loop.QueueDelay())
		f.writeFinal(w, a.Params.ID, kserve.FinalResponse{Outcome: kserve.Failed, Error: "no answer came in time"})
	default:
		f.writeFinal(w, a.Params.ID, kserve.FinalResponse{Outcome: kserve.Failed, Error: string(rejectedAtShutdown)})
	}
}

var errBodyLimit = errors.New("too many bodies are held")

var errBodyTooLong = errors.New("the body is too long")

// body reads a request's body. Room is taken as it comes, not as it is announced.
func (f *frontend) readBody(r *http.Request, w http.ResponseWriter, took *int64) (body []byte, err error) {
	control := http.NewResponseController(w)
	control.SetReadDeadline(time.Now().Add(requestReadTimeout)) // the connection knows when the request has to be whole
	for err == nil {
		if len(body) == cap(body) {
			step := bodyGrowth(r.ContentLength, len(body))
			*took += int64(step)
			if f.bodyBytes.Add(int64(step)) > f.maxBodyBytes {
				return nil, errBodyLimit
			}
			body = append(make([]byte, 0, len(body)+step), body...)
		}
		var n int
		n, err = r.Body.Read(body[len(body):cap(body)])
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

// bodyRoom is how much more room a body gets of which so much has come; its length may be unknown.
func bodyGrowth(length int64, come int) int {
	step := max(minBodyGrowth, come)
	if length >= 0 {
		step = min(step, int(length)-come)
	}
	return max(step, 1)
}

// answer gives a final answer of which nothing was streamed.
func (f *frontend) writeFinal(w http.ResponseWriter, id string, end kserve.FinalResponse) {
	if end.Outcome != kserve.Rejected {
		f.monitor.Answered(id, http.StatusBadGateway, false, nil)
		http.Error(w, end.Error, http.StatusBadGateway)
		return
	}
	if end.RetryAfterMs > 0 {
		w.Header().Set("Retry-After", formatSeconds(time.Duration(end.RetryAfterMs)*time.Millisecond))
	}
	f.monitor.Answered(id, http.StatusServiceUnavailable, true, nil)
	http.Error(w, end.Error, http.StatusServiceUnavailable)
}

// state is what operators see.
func (f *frontend) refusalCounts() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return fmt.Sprint(f.refusals)
}
