package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"sloetrestle/internal/kserve"
	"sloetrestle/internal/record"
)

// Wish is one question that a client will ask.
type Request struct {
	SubmitAt           time.Duration
	Name               string // of the question; its tries are Name.0, Name.1 …
	Class              string
	Tenant             string
	Session            string
	PrefixID           string
	PromptTokens       int
	PrefixTokens       int
	MaxTokens          int
	LatencyTarget      time.Duration
	Deadline           time.Duration
	PatienceShare      float64       // of the expiry, after which a try is given up
	LeaveAfter         time.Duration // it leaves then, whatever it has got; 0: it does not
	Retries            int
	RetryWait          time.Duration // before the next try
	ExponentialBackoff bool          // the wait doubles with each try, and is drawn between half and all of it
	HonoursRetryAfter  bool          // follows Retry-After
	ReadDelay          time.Duration // between pieces that it takes
	Idempotent         bool          // it may be asked again after any failure
}

// Front tells a client where to ask; "" when it knows of none.
type PickDispatcher func(seed uint64) (dispatcher, address string)

// Clients ask questions.
type Clients struct {
	Record         *record.Recorder
	Model          string
	PickDispatcher PickDispatcher
	http           *http.Client
	transport      *http.Transport
}

// NewClients makes clients that share connections as a front does.
func NewClients(book *record.Recorder, model string, front PickDispatcher) *Clients {
	tr := &http.Transport{MaxIdleConnsPerHost: 256, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	return &Clients{book, model, front, &http.Client{Transport: tr}, tr}
}

// Close ends their connections.
func (c *Clients) Close() { c.transport.CloseIdleConnections() }

// mostWait is the longest that a client comes back after.
const maxRetryDelay = 30 * time.Second

// past is how long a client listens on after its answer, for what should not come.
const extraEventWait = 30 * time.Millisecond

// Ask asks one question until it is satisfied or has no tries left.
func (c *Clients) Submit(ctx context.Context, w Request) {
	ticket := ""
	for try := 0; ; try++ {
		word, after, sent, next := c.submitOnce(ctx, w, try, ticket)
		if ctx.Err() != nil || word == kserve.Served || word == "left" || try >= w.Retries {
			return
		}
		// What may have run is only asked again where that does no harm.
		if sent && word != kserve.Rejected && !w.Idempotent {
			return
		}
		wait := w.RetryDelay(try, after)
		if wait > maxRetryDelay { // such as until a budget renews: this one goes home
			return
		}
		if ticket = ""; w.HonoursRetryAfter {
			ticket = next
		}
		if sleep(ctx, wait) != nil {
			return
		}
	}
}

// NextWait is how long a client waits after a try: what it was told if it follows that, else its own way.
func (w Request) RetryDelay(try int, told time.Duration) time.Duration {
	if w.HonoursRetryAfter && told > 0 {
		return told
	}
	if !w.ExponentialBackoff {
		return w.RetryWait
	}
	rng := rand.New(rand.NewPCG(uint64(w.SubmitAt), uint64(try)))
	return time.Duration(float64(w.RetryWait) * math.Pow(2, float64(min(try, 8))) * (0.5 + rng.Float64()/2))
}

// try makes one try; sent tells whether a dispatcher may have taken it.
func (c *Clients) submitOnce(ctx context.Context, w Request, try int, ticket string) (word string, after time.Duration, sent bool, next string) {
	id := fmt.Sprintf("%s.%d", w.Name, try)
	who, addr := c.PickDispatcher(uint64(w.SubmitAt) + uint64(try)*7919)
	line := record.Event{Try: id, Request: w.Name, Class: w.Class, Dispatcher: who}
	put := func(what, word string, more func(*record.Event)) {
		l := line
		l.Kind, l.Detail = what, word
		if more != nil {
			more(&l)
		}
		c.Record.Record(l)
	}
	left := time.Duration(float64(w.Deadline) * w.PatienceShare)
	follows := ""
	if w.HonoursRetryAfter {
		follows = "follows"
	}
	put(record.RequestSent, follows, func(l *record.Event) {
		l.DeadlineUs, l.LatencyTargetUs, l.Tokens = left.Microseconds(), w.LatencyTarget.Microseconds(), w.PromptTokens
	})
	if addr == "" {
		put(record.ConnectionLost, "no dispatcher is known", nil)
		return "cut", 0, false, ""
	}
	params := kserve.Params{
		"grade": w.Class, "channel": w.Tenant, "session": w.Session, "shared": w.PrefixID, "prompt_tokens": w.PromptTokens,
		"shared_tokens": w.PrefixTokens, "max_tokens": w.MaxTokens, "timeout": left.Microseconds(), "again": try > 0,
	}
	if ticket != "" {
		params["ticket"] = ticket
	}
	body, err := json.Marshal(kserve.GenerateRequest{ID: id, Parameters: params})
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if w.LeaveAfter > 0 {
		defer time.AfterFunc(w.LeaveAfter, func() { cancel(errClientLeft) }).Stop()
	}
	// A try without a first token is given up a little after its time.
	patience := time.AfterFunc(left+200*time.Millisecond, func() { cancel(errNoAnswer) })
	defer patience.Stop()
	began := time.Now()
	broke := func(err error) (string, time.Duration, bool, string) {
		if errors.Is(context.Cause(ctx), errClientLeft) {
			put(record.ClientLeft, "", nil)
			return "left", 0, true, ""
		}
		cause := context.Cause(ctx)
		if cause == nil {
			cause = err
		}
		sent := !kserve.IsDialError(err)
		if !sent {
			put(record.ConnectionLost, "unreached: "+cause.Error(), nil)
		} else {
			put(record.ConnectionLost, cause.Error(), nil)
		}
		return "cut", 0, sent, ""
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v2/models/"+c.Model+"/generate_stream", strings.NewReader(string(body)))
	if err != nil {
		panic(err)
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return broke(err)
	}
	defer resp.Body.Close()
	final := func(f kserve.FinalResponse) (string, time.Duration, bool, string) {
		put(record.FinalAnswer, f.Outcome, func(l *record.Event) {
			l.RetryAfterMs, l.Attempts, l.ElapsedUs = f.RetryAfterMs, f.Attempts, time.Since(began).Microseconds()
		})
		return f.Outcome, time.Duration(f.RetryAfterMs) * time.Millisecond, true, f.RetryTicket
	}
	if resp.StatusCode != http.StatusOK {
		var f kserve.FinalResponse
		raw, err := io.ReadAll(io.LimitReader(resp.Body, 64<<10))
		if err != nil {
			return broke(err)
		}
		if json.Unmarshal(raw, &f) != nil || f.Outcome == "" {
			put(record.FinalAnswer, fmt.Sprintf("fault %d: %.200s", resp.StatusCode, raw), nil)
			return "fault", 0, true, ""
		}
		return final(f)
	}
	events := kserve.NewEventReader(resp.Body)
	first := false
	for {
		ev, err := events.Next()
		if err != nil {
			return broke(err)
		}
		if ev.Name == "" {
			if !first {
				first = true
				patience.Stop()
				put(record.FirstToken, "", func(l *record.Event) { l.ElapsedUs = time.Since(began).Microseconds() })
			}
			if w.ReadDelay > 0 {
				sleep(ctx, w.ReadDelay)
			}
			continue
		}
		var f kserve.FinalResponse
		if json.Unmarshal(ev.Data, &f) != nil || f.Outcome == "" {
			put(record.AfterFinal, "an event that is no final answer: "+ev.Name, nil)
			continue
		}
		word, after, sent, next = final(f)
		time.AfterFunc(extraEventWait, func() { cancel(errNoAnswer) })
		if ev, err := events.Next(); err == nil {
			put(record.AfterFinal, ev.Name, nil)
		}
		return word, after, sent, next
	}
}

var (
	errClientLeft = errors.New("the client left")
	errNoAnswer   = errors.New("no answer in time")
)
