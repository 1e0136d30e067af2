package platform

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"sloetrestle/brain"
	"sloetrestle/internal/chat"
	"sloetrestle/internal/dispatch"
	"sloetrestle/internal/kserve"
)

const (
	headWait  = 2300 * time.Millisecond // for a request's head, from when the connection came or the request began
	bodyWait  = 2 * time.Second         // for its body
	writeWait = 20 * time.Second        // for one piece to a client that does not read
	restMost  = 10 * time.Minute        // that a client's connection may rest while there is room
	bodyStep  = 16 << 10                // of a body, as it comes
)

// front takes questions from clients.
type front struct {
	loop    *dispatch.Loop
	grades  map[string]int
	tenants map[string]int
	after   time.Duration // told to clients that find no room
	open    int64         // questions that may be open
	bodies  int64         // bytes that all bodies may have

	answers  func() bool // the fleet is known
	crowded  func() bool // clients' connections run short
	ready    atomic.Bool
	stopping atomic.Bool   // it wants no new questions
	cut      chan struct{} // closed when streams are to be gone on with elsewhere
	asked    atomic.Int64
	Again    atomic.Int64 // questions asked before
	Rest     atomic.Int64 // questions for the rest of a stream
	Moved    atomic.Int64 // streams cut for that
	held     atomic.Int64

	mu      sync.Mutex
	ids     map[string]bool // of questions that are open
	refused map[string]int64
}

func newFront(loop *dispatch.Loop, facts brain.Facts, bodies int64) *front {
	f := &front{
		loop: loop, grades: map[string]int{}, tenants: map[string]int{}, ids: map[string]bool{}, refused: map[string]int64{},
		cut: make(chan struct{}), after: facts.Span("policyLimits.maxRetryAfterUs"), open: int64(facts.Num("policyLimits.maxOpen", 1e4)), bodies: bodies,
	}
	for i, name := range facts.Names("requestClasses") {
		f.grades[name] = i
	}
	for i, name := range facts.Names("tenants") {
		f.tenants[name] = i
	}
	return f
}

func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.stopping.Load() || f.crowded() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == chat.Ready && (r.Method == http.MethodGet || r.Method == http.MethodHead) {
		if f.stopping.Load() || !f.answering() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	came := time.Now()
	ask, no := chat.Read(r)
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
	if f.asked.Add(1) > f.open {
		f.asked.Add(-1)
		f.full(w, r, "questions")
		return
	}
	defer f.asked.Add(-1)
	f.question(w, r, ask, grade, channel, came)
}

// answering tells whether there are boxes to serve with; once there were, that stays.
func (f *front) answering() bool {
	if !f.ready.Load() && f.answers() {
		f.ready.Store(true)
	}
	return f.ready.Load()
}

// refuse answers what is no question, and ends the connection: what else waits on it may be no request either.
func (f *front) refuse(w http.ResponseWriter, r *http.Request, no *chat.Refusal) {
	f.count(no.Why)
	w.Header().Set("Connection", "close")
	// What the server reads of a body that nobody wants is bounded in time.
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	http.Error(w, no.Why, no.Status)
}

func (f *front) full(w http.ResponseWriter, r *http.Request, why string) {
	f.count("full " + why)
	w.Header().Set("Retry-After", seconds(f.after))
	f.refuse(w, r, &chat.Refusal{Status: http.StatusServiceUnavailable, Why: why})
}

func seconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

func (f *front) count(why string) {
	f.mu.Lock()
	f.refused[why]++
	f.mu.Unlock()
}

func (f *front) question(w http.ResponseWriter, r *http.Request, ask chat.Ask, grade, channel int, came time.Time) {
	f.mu.Lock()
	twice := f.ids[ask.ID]
	if !twice {
		f.ids[ask.ID] = true
	}
	f.mu.Unlock()
	if twice {
		f.refuse(w, r, &chat.Refusal{Status: http.StatusConflict, Why: "open id"})
		return
	}
	defer func() {
		f.mu.Lock()
		delete(f.ids, ask.ID)
		f.mu.Unlock()
	}()
	if c, ok := r.Context().Value(connKey{}).(*clientConn); ok {
		ctx, over := c.open(r.Context())
		defer over()
		r = r.WithContext(ctx)
	}
	took := int64(0)
	giveBack := func() { f.held.Add(-took); took = 0 }
	defer giveBack()
	body, err := f.body(r, w, &took)
	switch {
	case errors.Is(err, errNoRoom):
		f.full(w, r, "bodies")
		return
	case err != nil:
		f.refuse(w, r, &chat.Refusal{Status: http.StatusBadRequest, Why: "half a request"})
		return
	}
	if ask.Again {
		f.Again.Add(1)
	}
	if ask.Rest {
		f.Rest.Add(1)
	}
	m := &matter{id: ask.ID, body: body, head: func(wait time.Duration) []byte { return chat.Errand(r, service, ask, wait) }}
	a := &dispatch.Asked{
		Ask:   kserve.Ask{ID: ask.ID, Session: ask.Session, Shared: ask.Shared, Tokens: ask.Tokens, Prefix: ask.Prefix, Most: ask.Most, Again: ask.Again},
		Grade: ask.Grade, Channel: ask.Channel, Matter: m,
	}
	if !f.loop.Call(r.Context(), func() {
		f.loop.Arrive(a, grade, channel, ask.Left-time.Since(came))
	}) {
		if r.Context().Err() == nil {
			f.full(w, r, "stopped")
			return
		}
		f.loop.Post(func() { // it may have been taken all the same
			if a.Question != nil {
				f.loop.Left(a)
			}
		})
		return
	}
	trip, end, there := a.Start(r.Context())
	switch {
	case !there:
		f.loop.Post(func() { f.loop.Left(a) })
		return
	case trip == nil:
		f.answer(w, end)
		return
	}
	m.body, body = nil, nil
	giveBack()
	f.pour(w, r, a, trip)
}

var errNoRoom = errors.New("too many bodies are held")

// body reads a request's body. Room is taken as it comes, not as it is announced.
func (f *front) body(r *http.Request, w http.ResponseWriter, took *int64) ([]byte, error) {
	ctl := http.NewResponseController(w)
	ctl.SetReadDeadline(time.Now().Add(bodyWait))
	var body []byte
	for left := int(r.ContentLength); left > 0; {
		step := min(left, max(bodyStep, len(body)))
		*took += int64(step)
		if f.held.Add(int64(step)) > f.bodies {
			return nil, errNoRoom
		}
		at := len(body)
		grown := make([]byte, at+step)
		copy(grown, body)
		body = grown
		if _, err := io.ReadFull(r.Body, body[at:]); err != nil {
			return nil, err
		}
		left -= step
	}
	ctl.SetReadDeadline(time.Time{})
	return body, nil
}

// answer gives a final answer of which nothing was streamed.
func (f *front) answer(w http.ResponseWriter, end kserve.Final) {
	if end.Final != kserve.Declined {
		http.Error(w, end.Error, http.StatusBadGateway)
		return
	}
	if end.AfterMs > 0 {
		w.Header().Set("Retry-After", seconds(time.Duration(end.AfterMs)*time.Millisecond))
	}
	http.Error(w, end.Error, http.StatusServiceUnavailable)
}

// pour passes a stream on as it comes. One that breaks ends the client's connection without the last chunk.
func (f *front) pour(w http.ResponseWriter, r *http.Request, a *dispatch.Asked, trip *dispatch.Flight) {
	ctl := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header()["Date"] = nil
	var cut chan struct{} // a client that has had no event has had no answer: its stream is not cut yet
	for {
		select {
		case piece, more := <-trip.Tokens:
			if more {
				ctl.SetWriteDeadline(time.Now().Add(writeWait))
				_, err := w.Write(piece)
				for len(trip.Tokens) > 0 && err == nil {
					if piece, more = <-trip.Tokens; !more {
						break
					}
					_, err = w.Write(piece)
				}
				if err == nil {
					err = ctl.Flush()
				}
				if err != nil {
					f.loop.Post(func() { f.loop.Left(a) })
					panic(http.ErrAbortHandler)
				}
				cut = f.cut
				if more {
					continue
				}
			}
			select {
			case end := <-a.Final():
				if end.Final != kserve.Satisfied {
					panic(http.ErrAbortHandler)
				}
				return
			case <-r.Context().Done():
				f.loop.Post(func() { f.loop.Left(a) })
				panic(http.ErrAbortHandler)
			}
		case <-cut:
			f.Moved.Add(1)
			f.loop.Post(func() { f.loop.Left(a) })
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			f.loop.Post(func() { f.loop.Left(a) })
			panic(http.ErrAbortHandler) // a plain return would end the stream as whole
		}
	}
}

// state is what operators see.
func (f *front) state() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return fmt.Sprint(f.refused)
}
