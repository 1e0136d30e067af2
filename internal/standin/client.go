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
type Wish struct {
	At       time.Duration
	Name     string // of the question; its tries are Name.0, Name.1 …
	Grade    string
	Channel  string
	Session  string
	Shared   string
	Tokens   int
	Prefix   int
	Most     int
	Promised time.Duration
	Expiry   time.Duration
	Patience float64       // of the expiry, after which a try is given up
	Leaves   time.Duration // it leaves then, whatever it has got; 0: it does not
	Retries  int
	Wait     time.Duration // before the next try
	Doubles  bool          // the wait doubles with each try, and is drawn between half and all of it
	Honours  bool          // follows Retry-After
	Slowly   time.Duration // between pieces that it takes
	Safe     bool          // it may be asked again after any failure
}

// Front tells a client where to ask; "" when it knows of none.
type Front func(seed uint64) (dispatcher, address string)

// Clients ask questions.
type Clients struct {
	Book  *record.Recorder
	Model string
	Front Front
	http  *http.Client
	tr    *http.Transport
}

// NewClients makes clients that share connections as a front does.
func NewClients(book *record.Recorder, model string, front Front) *Clients {
	tr := &http.Transport{MaxIdleConnsPerHost: 256, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	return &Clients{book, model, front, &http.Client{Transport: tr}, tr}
}

// Close ends their connections.
func (c *Clients) Close() { c.tr.CloseIdleConnections() }

// mostWait is the longest that a client comes back after.
const mostWait = 30 * time.Second

// past is how long a client listens on after its answer, for what should not come.
const past = 30 * time.Millisecond

// Ask asks one question until it is satisfied or has no tries left.
func (c *Clients) Ask(ctx context.Context, w Wish) {
	ticket := ""
	for try := 0; ; try++ {
		word, after, sent, next := c.try(ctx, w, try, ticket)
		if ctx.Err() != nil || word == kserve.Satisfied || word == "left" || try >= w.Retries {
			return
		}
		// What may have run is only asked again where that does no harm.
		if sent && word != kserve.Declined && !w.Safe {
			return
		}
		wait := w.NextWait(try, after)
		if wait > mostWait { // such as until a budget renews: this one goes home
			return
		}
		if ticket = ""; w.Honours {
			ticket = next
		}
		if sleep(ctx, wait) != nil {
			return
		}
	}
}

// NextWait is how long a client waits after a try: what it was told if it follows that, else its own way.
func (w Wish) NextWait(try int, told time.Duration) time.Duration {
	if w.Honours && told > 0 {
		return told
	}
	if !w.Doubles {
		return w.Wait
	}
	rng := rand.New(rand.NewPCG(uint64(w.At), uint64(try)))
	return time.Duration(float64(w.Wait) * math.Pow(2, float64(min(try, 8))) * (0.5 + rng.Float64()/2))
}

// try makes one try; sent tells whether a dispatcher may have taken it.
func (c *Clients) try(ctx context.Context, w Wish, try int, ticket string) (word string, after time.Duration, sent bool, next string) {
	id := fmt.Sprintf("%s.%d", w.Name, try)
	who, addr := c.Front(uint64(w.At) + uint64(try)*7919)
	line := record.Event{Try: id, Request: w.Name, Class: w.Grade, Dispatcher: who}
	put := func(what, word string, more func(*record.Event)) {
		l := line
		l.Kind, l.Detail = what, word
		if more != nil {
			more(&l)
		}
		c.Book.Record(l)
	}
	left := time.Duration(float64(w.Expiry) * w.Patience)
	follows := ""
	if w.Honours {
		follows = "follows"
	}
	put(record.RequestSent, follows, func(l *record.Event) {
		l.DeadlineUs, l.LatencyTargetUs, l.Tokens = left.Microseconds(), w.Promised.Microseconds(), w.Tokens
	})
	if addr == "" {
		put(record.ConnectionLost, "no dispatcher is known", nil)
		return "cut", 0, false, ""
	}
	params := kserve.Params{
		"grade": w.Grade, "channel": w.Channel, "session": w.Session, "shared": w.Shared, "prompt_tokens": w.Tokens,
		"shared_tokens": w.Prefix, "max_tokens": w.Most, "timeout": left.Microseconds(), "again": try > 0,
	}
	if ticket != "" {
		params["ticket"] = ticket
	}
	body, err := json.Marshal(kserve.Prompt{ID: id, Parameters: params})
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if w.Leaves > 0 {
		defer time.AfterFunc(w.Leaves, func() { cancel(errQuit) }).Stop()
	}
	// A try without a first token is given up a little after its time.
	patience := time.AfterFunc(left+200*time.Millisecond, func() { cancel(errPatience) })
	defer patience.Stop()
	began := time.Now()
	broke := func(err error) (string, time.Duration, bool, string) {
		if errors.Is(context.Cause(ctx), errQuit) {
			put(record.ClientLeft, "", nil)
			return "left", 0, true, ""
		}
		cause := context.Cause(ctx)
		if cause == nil {
			cause = err
		}
		sent := !kserve.Unsent(err)
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
	final := func(f kserve.Final) (string, time.Duration, bool, string) {
		put(record.FinalAnswer, f.Final, func(l *record.Event) {
			l.RetryAfterMs, l.Attempts, l.ElapsedUs = f.AfterMs, f.Trips, time.Since(began).Microseconds()
		})
		return f.Final, time.Duration(f.AfterMs) * time.Millisecond, true, f.Ticket
	}
	if resp.StatusCode != http.StatusOK {
		var f kserve.Final
		raw, err := io.ReadAll(io.LimitReader(resp.Body, 64<<10))
		if err != nil {
			return broke(err)
		}
		if json.Unmarshal(raw, &f) != nil || f.Final == "" {
			put(record.FinalAnswer, fmt.Sprintf("fault %d: %.200s", resp.StatusCode, raw), nil)
			return "fault", 0, true, ""
		}
		return final(f)
	}
	events := kserve.NewEvents(resp.Body)
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
			if w.Slowly > 0 {
				sleep(ctx, w.Slowly)
			}
			continue
		}
		var f kserve.Final
		if json.Unmarshal(ev.Data, &f) != nil || f.Final == "" {
			put(record.AfterFinal, "an event that is no final answer: "+ev.Name, nil)
			continue
		}
		word, after, sent, next = final(f)
		time.AfterFunc(past, func() { cancel(errPatience) })
		if ev, err := events.Next(); err == nil {
			put(record.AfterFinal, ev.Name, nil)
		}
		return word, after, sent, next
	}
}

var (
	errQuit     = errors.New("the client left")
	errPatience = errors.New("no answer in time")
)
