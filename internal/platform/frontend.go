package platform

import (
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"sloetrestle/internal/chat"
	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/kserve"
	"sloetrestle/internal/memory"
	"sloetrestle/internal/monitor"
	"sloetrestle/internal/requestids"
	"sloetrestle/scheduler"
)

const (
	headTimeout        = 2300 * time.Millisecond // for a head, from the connection's start or its first byte
	clientWriteTimeout = 20 * time.Second        // for one write to a client that does not read
	clientIdleTimeout  = 10 * time.Minute        // that a client's connection may be idle while there is free capacity
	minBodyGrowth      = 16 << 10                // least growth of a body's buffer, in bytes

	// answerGrace is how long after its deadline a request is answered by the handler if the event loop has not answered
	// it. A response more than half a second late would count as lost.
	answerGrace = 200 * time.Millisecond
)

// frontend is the HTTP frontend: it receives requests from clients and writes their responses.
type frontend struct {
	loop          *dispatch.Loop
	classIndexes  map[string]int // class indices by name
	tenantIndexes map[string]int // tenant indices by name
	retryAfter    time.Duration  // Retry-After of a rejection for lack of capacity
	maxOpen       int64          // bound on open requests
	memory        *memory.Account

	becomesReady   func() bool          // reports whether the dispatcher is ready, until it is
	unlistedFor    func() time.Duration // how long it has run without a list of service discovery; 0: it has one
	nearConnLimit  func() bool          // reports whether the connection limit is near
	ready          atomic.Bool
	stopping       atomic.Bool   // connections are closed after their responses
	stoppingSince  time.Time     // when the shutdown began; set before stopping
	rejectAll      atomic.Bool   // every further request is rejected
	moveStreams    chan struct{} // closed when streams are to be continued at another dispatcher
	endLateStreams chan struct{} // closed when late streams that wait for their end are to be cut
	openRequests   atomic.Int64  // requests that are open
	openLate       atomic.Int64  // those of them that came late in the shutdown
	Late           atomic.Int64  // requests that came late in the shutdown
	Buffered       atomic.Int64  // answers to late requests that were sent whole
	BufferNoMemory atomic.Int64  // answers to late requests for which there was no memory left
	Resubmitted    atomic.Int64  // requests that their clients sent before
	Continuations  atomic.Int64  // requests for the rest of a stream
	MovedStreams   atomic.Int64  // streams cut to be continued at another dispatcher
	LateAnswers    atomic.Int64  // requests answered by the handler, as the event loop gave no answer in time

	resumable     bool // streams that are cut can be continued at another dispatcher
	shutdownTimes shutdownTimes
	answerTimes   answerTimes

	ids      *requestids.Registry
	monitor  *monitor.Monitor
	stalls   *stallDetector
	classes  []*scheduler.Class // by class index
	log      *slog.Logger
	mu       sync.Mutex
	refusals map[string]int64 // by reason
}

// newFrontend returns a frontend that submits requests to an event loop.
func newFrontend(
	loop *dispatch.Loop, settings scheduler.Settings, account *memory.Account, observer *monitor.Monitor, stalls *stallDetector,
	log *slog.Logger,
) *frontend {
	handler := &frontend{
		loop: loop, classIndexes: map[string]int{}, tenantIndexes: map[string]int{},
		ids: requestids.New(longestDeadline(settings) + requestids.RetentionSlack), refusals: map[string]int64{},
		moveStreams: make(chan struct{}), endLateStreams: make(chan struct{}),
		retryAfter: settings.Duration("policyLimits.maxRetryAfterUs"),
		maxOpen:    int64(settings.Number("policyLimits.maxOpen", 1e4)),
		memory:     account, monitor: observer, stalls: stalls, log: log,
		resumable: settings.Bool("familyInfo.resume"), shutdownTimes: shutdownTimesFor(settings),
	}
	handler.classes, _ = settings.Classes() // the event loop needs the classes too, and reports the error
	for i, name := range settings.Names("requestClasses") {
		handler.classIndexes[name] = i
	}
	for i, name := range settings.Names("tenants") {
		handler.tenantIndexes[name] = i
	}
	return handler
}

// ServeHTTP serves readiness checks and chat completion requests.
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
	request, refusal := chat.ParseRequest(r)
	if conn.ambiguous() {
		refusal = &chat.RequestError{Status: http.StatusBadRequest, Reason: "length twice"}
	}
	class, classKnown := f.classIndexes[request.Class]
	tenant, tenantKnown := f.tenantIndexes[request.Tenant]
	switch {
	case refusal != nil:
	case !classKnown:
		refusal = &chat.RequestError{Status: http.StatusBadRequest, Reason: "class"}
	case !tenantKnown && len(f.tenantIndexes) > 0:
		refusal = &chat.RequestError{Status: http.StatusBadRequest, Reason: "tenant"}
	}
	if refusal != nil {
		f.refuse(w, r, refusal)
		return
	}
	if f.ids.Known(request.ID) {
		f.refuse(w, r, errDuplicateID) // before any response that would invite a retry
		return
	}
	defer f.openRequests.Add(-1)
	if reason := mayAccept(condition{
		stopped: f.rejectAll.Load(), open: f.openRequests.Add(1), maxOpen: f.maxOpen, loopLag: f.loop.QueueDelay(),
		unlisted: f.unlistedFor(),
	}); reason != notRejected {
		f.reject(w, r, reason)
		return
	}
	(&submission{
		frontend: f, w: w, r: r, request: request, class: class, tenant: tenant,
	}).run()
}

// errDuplicateID refuses a request whose id another request has.
var errDuplicateID = &chat.RequestError{Status: http.StatusConflict, Reason: "open id"}

// isReady reports whether the dispatcher is ready. Once it was, it stays so.
func (f *frontend) isReady() bool {
	if !f.ready.Load() && f.becomesReady() {
		f.ready.Store(true)
	}
	return f.ready.Load()
}

// refuse answers an invalid request and ends the connection: what follows on it may not be a request either.
func (f *frontend) refuse(w http.ResponseWriter, r *http.Request, refusal *chat.RequestError) {
	f.countRefusal(refusal.Reason)
	f.log.Debug("request refused", "id", r.Header.Get("X-Request-Id"), "status", refusal.Status, "why", refusal.Reason,
		"client", r.RemoteAddr)
	w.Header().Set("Connection", "close")
	// The time that net/http spends on reading the rest of an unwanted body is bounded.
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	http.Error(w, refusal.Reason, refusal.Status)
}

// reject answers a request that there is no capacity for, and invites a retry.
func (f *frontend) reject(w http.ResponseWriter, r *http.Request, reason rejection) {
	f.countRefusal("full " + string(reason))
	w.Header().Set("Retry-After", formatSeconds(f.retryAfter))
	f.refuse(w, r, &chat.RequestError{Status: http.StatusServiceUnavailable, Reason: string(reason)})
}

// formatSeconds formats a duration as decimal seconds, as in Retry-After.
func formatSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// countRefusal counts a refused request by its reason.
func (f *frontend) countRefusal(reason string) {
	f.mu.Lock()
	f.refusals[reason]++
	f.mu.Unlock()
}

// writeFinal writes the final response of a request of which nothing was streamed.
func (f *frontend) writeFinal(w http.ResponseWriter, id string, final kserve.FinalResponse) {
	if final.Outcome != kserve.Rejected {
		f.monitor.Answered(id, http.StatusBadGateway, false, nil)
		http.Error(w, final.Error, http.StatusBadGateway)
		return
	}
	if final.RetryAfterMs > 0 {
		w.Header().Set("Retry-After", formatSeconds(time.Duration(final.RetryAfterMs)*time.Millisecond))
	}
	f.monitor.Answered(id, http.StatusServiceUnavailable, true, nil)
	http.Error(w, final.Error, http.StatusServiceUnavailable)
}

// refusalCounts returns the number of refused requests by reason, as text for the log.
func (f *frontend) refusalCounts() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return fmt.Sprint(f.refusals)
}
