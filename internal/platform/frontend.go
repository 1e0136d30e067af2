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
	headWait  = 2300 * time.Millisecond // for a request's head, from when the connection came or the request began
	writeWait = 20 * time.Second        // for one piece to a client that does not read
	restMost  = 10 * time.Minute        // that a client's connection may rest while there is room
	bodyStep  = 16 << 10                // of a body, as it comes

	// answerLate is how long after its client's time a request is answered here, if the loop has not done so: over half a second
	// late it would be lost.
	answerLate = 200 * time.Millisecond
)

// frontend takes requests from clients.
type frontend struct {
	loop    *dispatch.Loop
	grades  map[string]int
	tenants map[string]int
	after   time.Duration // told to clients that find no room
	open    int64         // requests that may be open
	bodies  int64         // bytes that all bodies may have

	fleetKnown func() bool // there is a backend that answers
	crowded    func() bool // clients' connections run short
	ready      atomic.Bool
	stopping   atomic.Bool   // it wants no new requests
	over       atomic.Bool   // it takes none any more
	cut        chan struct{} // closed when streams are to be gone on with elsewhere
	asked      atomic.Int64
	Again      atomic.Int64 // requests asked before
	Rest       atomic.Int64 // requests for the rest of a stream
	Moved      atomic.Int64 // streams cut for that
	held       atomic.Int64
	Late       atomic.Int64 // requests that were answered here, as the loop had no answer in time

	ids     *idRegister
	monitor *monitor.Monitor
	pulse   *pulse
	classes []monitor.Class // by the number of a request's class
	log     *slog.Logger
	mu      sync.Mutex
	refused map[string]int64
}

func newFrontend(loop *dispatch.Loop, facts brain.Settings, bodies int64, observed *monitor.Monitor, beating *pulse, log *slog.Logger) *frontend {
	f := &frontend{
		loop: loop, grades: map[string]int{}, tenants: map[string]int{}, ids: newIDRegister(longestDeadline(facts) + idsSpan), refused: map[string]int64{},
		cut: make(chan struct{}), after: facts.Duration("policyLimits.maxRetryAfterUs"), open: int64(facts.Number("policyLimits.maxOpen", 1e4)), bodies: bodies,
		monitor: observed, pulse: beating, classes: monitorClasses(facts), log: log,
	}
	for i, name := range facts.Names("requestClasses") {
		f.grades[name] = i
	}
	for i, name := range facts.Names("tenants") {
		f.tenants[name] = i
	}
	return f
}

func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := connOf(r.Context())
	conn.begin(r.ContentLength)
	if f.stopping.Load() || f.crowded() || !conn.reusable() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == chat.Ready && (r.Method == http.MethodGet || r.Method == http.MethodHead) {
		if f.stopping.Load() || !f.answering() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	came := conn.requestCame(f.pulse.came(time.Now()))
	ask, no := chat.Read(r)
	if conn.ambiguous() {
		no = &chat.Refusal{Status: http.StatusBadRequest, Why: "length twice"}
	}
	grade, known := f.grades[ask.Grade]
	channel, one := f.tenants[ask.Channel]
	switch {
	case no != nil:
	case !known:
		no = &chat.Refusal{Status: http.StatusBadRequest, Why: "class"}
	case !one && len(f.tenants) > 0:
		no = &chat.Refusal{Status: http.StatusBadRequest, Why: "tenant"}
	}
	if no != nil {
		f.refuse(w, r, no)
		return
	}
	if f.ids.known(ask.ID) {
		f.refuse(w, r, errKnownID) // before any answer that would invite a retry
		return
	}
	defer f.asked.Add(-1)
	if why := mayTake(f.over.Load(), f.asked.Add(1), f.open, f.loop.Behind()); why != taken {
		f.full(w, r, why)
		return
	}
	f.submit(w, r, ask, grade, channel, came)
}

// errKnownID refuses a request with the id of another one.
var errKnownID = &chat.Refusal{Status: http.StatusConflict, Why: "open id"}

// answering tells whether there are backends to serve with; once there were, that stays.
func (f *frontend) answering() bool {
	if !f.ready.Load() && f.fleetKnown() {
		f.ready.Store(true)
	}
	return f.ready.Load()
}

// refuse answers what is no request, and ends the connection: what else waits on it may be no request either.
func (f *frontend) refuse(w http.ResponseWriter, r *http.Request, no *chat.Refusal) {
	f.count(no.Why)
	f.log.Debug("request not taken", "id", r.Header.Get("X-Request-Id"), "status", no.Status, "why", no.Why, "client", r.RemoteAddr)
	w.Header().Set("Connection", "close")
	// What the server reads of a body that nobody wants is bounded in time.
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	http.Error(w, no.Why, no.Status)
}

func (f *frontend) full(w http.ResponseWriter, r *http.Request, why rejection) {
	f.count("full " + string(why))
	w.Header().Set("Retry-After", seconds(f.after))
	f.refuse(w, r, &chat.Refusal{Status: http.StatusServiceUnavailable, Why: string(why)})
}

func seconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

func (f *frontend) count(why string) {
	f.mu.Lock()
	f.refused[why]++
	f.mu.Unlock()
}

func (f *frontend) submit(w http.ResponseWriter, r *http.Request, ask chat.Ask, grade, channel int, came time.Time) {
	if !f.ids.claim(ask.ID) {
		f.refuse(w, r, errKnownID)
		return
	}
	submitted := false
	defer func() { f.ids.release(ask.ID, submitted) }()
	took := int64(0)
	giveBack := func() { f.held.Add(-took); took = 0 }
	defer giveBack()
	body, err := f.body(r, w, &took)
	switch {
	case errors.Is(err, errNoRoom):
		f.full(w, r, tooMuchBytes)
		return
	case errors.Is(err, errTooLong):
		f.refuse(w, r, &chat.Refusal{Status: http.StatusRequestEntityTooLarge, Why: "body"})
		return
	case err != nil:
		f.refuse(w, r, &chat.Refusal{Status: http.StatusBadRequest, Why: "half a request"})
		return
	}
	length := len(body)
	ask.Sized(length)
	if ask.Again {
		f.Again.Add(1)
	}
	if ask.Rest {
		f.Rest.Add(1)
	}
	m := &payload{id: ask.ID, body: body, head: func(wait time.Duration) []byte { return chat.Errand(r, service, ask, length, wait) }}
	a := &dispatch.ClientRequest{
		Ask:   kserve.Ask{ID: ask.ID, Session: ask.Session, Shared: ask.Shared, Tokens: ask.Tokens, Prefix: ask.Prefix, Most: ask.Most, Again: ask.Again},
		Grade: ask.Grade, Channel: ask.Channel, Matter: m,
	}
	submitted = true
	f.monitor.Taken(ask.ID, f.classes[grade], ask.Left-time.Since(came))
	defer f.monitor.Closed(ask.ID, "its handler ends")
	defer context.AfterFunc(r.Context(), func() {
		a.End()
		f.monitor.ClientGone(ask.ID)
	})()
	ctx, done := context.WithDeadline(r.Context(), came.Add(ask.Left+answerLate))
	defer done()
	if !f.loop.Call(ctx, func() {
		f.loop.Submit(a, grade, channel, ask.Left-time.Since(came))
	}) {
		f.giveUp(w, r, a, ctx)
		return
	}
	trip, end, there := a.Start(ctx)
	switch {
	case !there:
		f.giveUp(w, r, a, ctx)
		return
	case trip == nil:
		f.answer(w, ask.ID, end)
		return
	}
	m.body, body = nil, nil
	giveBack()
	f.newPassing(w, r, a, trip).run()
}

// giveUp ends a request of which the loop gave no answer: its client has gone, the loop has ended, or it is far behind. The loop may have
// taken it, or may yet, so nothing is promised; from here on nothing more is sent for it.
func (f *frontend) giveUp(w http.ResponseWriter, r *http.Request, a *dispatch.ClientRequest, ctx context.Context) {
	a.End()
	f.loop.Post(func() { f.loop.Left(a) })
	switch {
	case r.Context().Err() != nil:
		f.monitor.ClientGone(a.Ask.ID)
	case ctx.Err() != nil:
		f.Late.Add(1)
		f.log.Error("the event loop gave no answer in time", "id", a.Ask.ID, "behind", f.loop.Behind())
		f.answer(w, a.Ask.ID, kserve.Final{Final: kserve.Forfeited, Error: "no answer came in time"})
	default:
		f.answer(w, a.Ask.ID, kserve.Final{Final: kserve.Forfeited, Error: string(stoppedNow)})
	}
}

var errNoRoom = errors.New("too many bodies are held")

var errTooLong = errors.New("the body is too long")

// body reads a request's body. Room is taken as it comes, not as it is announced.
func (f *frontend) body(r *http.Request, w http.ResponseWriter, took *int64) (body []byte, err error) {
	control := http.NewResponseController(w)
	control.SetReadDeadline(time.Now().Add(requestMost)) // the connection knows when the request has to be whole
	for err == nil {
		if len(body) == cap(body) {
			step := bodyRoom(r.ContentLength, len(body))
			*took += int64(step)
			if f.held.Add(int64(step)) > f.bodies {
				return nil, errNoRoom
			}
			body = append(make([]byte, 0, len(body)+step), body...)
		}
		var n int
		n, err = r.Body.Read(body[len(body):cap(body)])
		if body = body[:len(body)+n]; len(body) > chat.BodyMost {
			return nil, errTooLong
		}
	}
	control.SetReadDeadline(time.Time{})
	if err != io.EOF {
		return nil, err
	}
	return body, nil
}

// bodyRoom is how much more room a body gets of which so much has come; its length may be unknown.
func bodyRoom(length int64, come int) int {
	step := max(bodyStep, come)
	if length >= 0 {
		step = min(step, int(length)-come)
	}
	return max(step, 1)
}

// answer gives a final answer of which nothing was streamed.
func (f *frontend) answer(w http.ResponseWriter, id string, end kserve.Final) {
	if end.Final != kserve.Declined {
		f.monitor.Answered(id, http.StatusBadGateway, false, nil)
		http.Error(w, end.Error, http.StatusBadGateway)
		return
	}
	if end.AfterMs > 0 {
		w.Header().Set("Retry-After", seconds(time.Duration(end.AfterMs)*time.Millisecond))
	}
	f.monitor.Answered(id, http.StatusServiceUnavailable, true, nil)
	http.Error(w, end.Error, http.StatusServiceUnavailable)
}

// state is what operators see.
func (f *frontend) state() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return fmt.Sprint(f.refused)
}
