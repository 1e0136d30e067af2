package fakes

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

// Request describes one request of a client, with how the client waits for it and submits it again.
type Request struct {
	SubmitAt           time.Duration // since the start of the run; also seeds the random choices of the request
	Name               string        // of the request; its tries are Name.0, Name.1 …
	Class              string
	Tenant             string
	Session            string
	PrefixID           string // prefix that requests share
	PromptTokens       int
	PrefixTokens       int
	MaxTokens          int
	LatencyTarget      time.Duration
	Deadline           time.Duration // after submission
	PatienceShare      float64       // share of Deadline after which a try without a first token is given up
	LeaveAfter         time.Duration // the client disconnects then, whatever it has received; 0: never
	Retries            int
	RetryWait          time.Duration // backoff before the next try
	ExponentialBackoff bool          // RetryWait doubles with each try and is drawn between half and all of it
	HonoursRetryAfter  bool          // waits as long as Retry-After says and sends the retry ticket that came with it
	ReadDelay          time.Duration // pause after each event, as of a slow client
	Idempotent         bool          // it may be submitted again after any failure
}

// PickDispatcher returns the dispatcher that a client submits to and its address. An empty address means that none
// is known.
type PickDispatcher func(seed uint64) (dispatcher, address string)

// Clients submits requests to dispatchers and records the outcome of each try.
type Clients struct {
	Record         *record.Recorder
	Model          string
	PickDispatcher PickDispatcher
	http           *http.Client
	transport      *http.Transport
}

// NewClients returns clients that share their connections, as the clients behind an HTTP frontend do.
func NewClients(rec *record.Recorder, model string, pick PickDispatcher) *Clients {
	transport := &http.Transport{MaxIdleConnsPerHost: 256, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	return &Clients{rec, model, pick, &http.Client{Transport: transport}, transport}
}

// Close closes the idle connections.
func (c *Clients) Close() { c.transport.CloseIdleConnections() }

// maxRetryDelay is the longest delay after which a client still submits again.
const maxRetryDelay = 30 * time.Second

// extraEventWait is how long a client reads on after the final event, to notice events that must not follow it.
const extraEventWait = 30 * time.Millisecond

// Submit submits a request until it is served or has no tries left. It returns early when the context ends, when
// the client disconnects, when the delay is too long, and when a request that isn't idempotent may have run.
func (c *Clients) Submit(ctx context.Context, request Request) {
	ticket := ""
	for try := 0; ; try++ {
		outcome, retryAfter, sent, nextTicket := c.submitOnce(ctx, request, try, ticket)
		if ctx.Err() != nil || outcome == kserve.Served || outcome == "left" || try >= request.Retries {
			return
		}
		// What may have run is only submitted again where that does no harm.
		if sent && outcome != kserve.Rejected && !request.Idempotent {
			return
		}
		delay := request.RetryDelay(try, retryAfter)
		if delay > maxRetryDelay { // for example until a token budget is renewed: the client gives up
			return
		}
		if ticket = ""; request.HonoursRetryAfter {
			ticket = nextTicket
		}
		if sleep(ctx, delay) != nil {
			return
		}
	}
}

// RetryDelay returns how long the client waits after a try: as long as the response says if the client honours
// that, otherwise its own wait.
func (r Request) RetryDelay(try int, retryAfter time.Duration) time.Duration {
	if r.HonoursRetryAfter && retryAfter > 0 {
		return retryAfter
	}
	if !r.ExponentialBackoff {
		return r.RetryWait
	}
	rng := rand.New(rand.NewPCG(uint64(r.SubmitAt), uint64(try)))
	return time.Duration(float64(r.RetryWait) * math.Pow(2, float64(min(try, 8))) * (0.5 + rng.Float64()/2))
}

// submitOnce makes one try. sent reports whether a dispatcher may have received it.
func (c *Clients) submitOnce(
	ctx context.Context, request Request, try int, ticket string,
) (outcome string, retryAfter time.Duration, sent bool, nextTicket string) {
	tryID := fmt.Sprintf("%s.%d", request.Name, try)
	dispatcher, addr := c.PickDispatcher(uint64(request.SubmitAt) + uint64(try)*7919)
	line := record.Event{Try: tryID, Request: request.Name, Class: request.Class, Dispatcher: dispatcher}
	put := func(what, outcome string, fill func(*record.Event)) {
		entry := line
		entry.Kind, entry.Detail = what, outcome
		if fill != nil {
			fill(&entry)
		}
		c.Record.Record(entry)
	}
	timeout := time.Duration(float64(request.Deadline) * request.PatienceShare)
	honours := ""
	if request.HonoursRetryAfter {
		honours = "follows"
	}
	put(record.RequestSent, honours, func(entry *record.Event) {
		entry.DeadlineUs, entry.LatencyTargetUs, entry.Tokens =
			timeout.Microseconds(), request.LatencyTarget.Microseconds(), request.PromptTokens
	})
	if addr == "" {
		put(record.ConnectionLost, "no dispatcher is known", nil)
		return "cut", 0, false, ""
	}
	params := kserve.Params{
		"grade": request.Class, "channel": request.Tenant, "session": request.Session, "shared": request.PrefixID,
		"prompt_tokens": request.PromptTokens, "shared_tokens": request.PrefixTokens, "max_tokens": request.MaxTokens,
		"timeout": timeout.Microseconds(), "again": try > 0,
	}
	if ticket != "" {
		params["ticket"] = ticket
	}
	body, err := json.Marshal(kserve.GenerateRequest{ID: tryID, Parameters: params})
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if request.LeaveAfter > 0 {
		defer time.AfterFunc(request.LeaveAfter, func() { cancel(errClientLeft) }).Stop()
	}
	// A try without a first token is given up a little after its timeout.
	patience := time.AfterFunc(timeout+200*time.Millisecond, func() { cancel(errNoAnswer) })
	defer patience.Stop()
	startedAt := time.Now()
	fail := func(err error) (string, time.Duration, bool, string) {
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
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+addr+"/v2/models/"+c.Model+"/generate_stream", strings.NewReader(string(body)))
	if err != nil {
		panic(err)
	}
	resp, err := c.http.Do(httpRequest)
	if err != nil {
		return fail(err)
	}
	defer resp.Body.Close()
	finish := func(finalEvent kserve.FinalResponse) (string, time.Duration, bool, string) {
		put(record.FinalAnswer, finalEvent.Outcome, func(entry *record.Event) {
			entry.RetryAfterMs, entry.Attempts, entry.ElapsedUs =
				finalEvent.RetryAfterMs, finalEvent.Attempts, time.Since(startedAt).Microseconds()
		})
		return finalEvent.Outcome, time.Duration(finalEvent.RetryAfterMs) * time.Millisecond, true, finalEvent.RetryTicket
	}
	if resp.StatusCode != http.StatusOK {
		var finalEvent kserve.FinalResponse
		raw, err := io.ReadAll(io.LimitReader(resp.Body, 64<<10))
		if err != nil {
			return fail(err)
		}
		if json.Unmarshal(raw, &finalEvent) != nil || finalEvent.Outcome == "" {
			put(record.FinalAnswer, fmt.Sprintf("fault %d: %.200s", resp.StatusCode, raw), nil)
			return "fault", 0, true, ""
		}
		return finish(finalEvent)
	}
	events := kserve.NewEventReader(resp.Body)
	first := false
	for {
		event, err := events.Next()
		if err != nil {
			return fail(err)
		}
		if event.Name == "" {
			if !first {
				first = true
				patience.Stop()
				put(record.FirstToken, "", func(entry *record.Event) { entry.ElapsedUs = time.Since(startedAt).Microseconds() })
			}
			if request.ReadDelay > 0 {
				sleep(ctx, request.ReadDelay)
			}
			continue
		}
		var finalEvent kserve.FinalResponse
		if json.Unmarshal(event.Data, &finalEvent) != nil || finalEvent.Outcome == "" {
			put(record.AfterFinal, "an event that is no final answer: "+event.Name, nil)
			continue
		}
		outcome, retryAfter, sent, nextTicket = finish(finalEvent)
		time.AfterFunc(extraEventWait, func() { cancel(errNoAnswer) })
		if event, err := events.Next(); err == nil {
			put(record.AfterFinal, event.Name, nil)
		}
		return outcome, retryAfter, sent, nextTicket
	}
}

var (
	errClientLeft = errors.New("the client left")
	errNoAnswer   = errors.New("no answer in time")
)
