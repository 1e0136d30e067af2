// Package client asks a sloetrestle dispatcher and follows its advice: it comes back when it was told to, with the ticket
// that holds its place, waits longer each time where it was told nothing, and never repeats a question that may have run
// unless that does no harm. Begin with Client.Ask.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"sloetrestle/internal/kserve"
)

// Question is what is asked.
type Request struct {
	Prompt     string
	Session    string
	PrefixID   string // name of the beginning that it shares with others
	Class      string
	Tenant     string
	MaxTokens  int           // tokens of the answer
	Timeout    time.Duration // that the client will wait in all; required
	Idempotent bool          // it may run twice without harm: asked again after any failure
}

// Client asks dispatchers in turn. The zero value of all but To is fine.
type Client struct {
	BaseURLs    []string // such as http://127.0.0.1:8100
	Model       string   // lodge where it is empty
	HTTPClient  *http.Client
	MinBackoff  time.Duration // before asking again where nothing was told; 200 ms
	MaxAttempts int           // 5
	next        int
}

// Answer is how a question ended.
type Result struct {
	Outcome  string // satisfied, declined or forfeited
	Attempts int
	Error    string
}

// ErrTime says that the question's time was up.
var ErrDeadline = errors.New("the question's time is up")

// Ask asks, and hands on each piece of the answer as it comes. After the first piece nothing is asked again.
func (c *Client) Do(ctx context.Context, q Request, piece func(text string)) (Result, error) {
	if len(c.BaseURLs) == 0 || q.Timeout <= 0 {
		return Result{}, errors.New("client: there is nobody to ask, or no time to wait")
	}
	ctx, cancel := context.WithTimeoutCause(ctx, q.Timeout+time.Second, ErrDeadline)
	defer cancel()
	deadline := time.Now().Add(q.Timeout)
	least := c.MinBackoff
	if least <= 0 {
		least = 200 * time.Millisecond
	}
	tries := c.MaxAttempts
	if tries <= 0 {
		tries = 5
	}
	ticket := ""
	a := Result{}
	for try := 0; ; try++ {
		a.Attempts++
		f, begun, err := c.attempt(ctx, q, try, ticket, time.Until(deadline), piece)
		a.Outcome, a.Error = f.Outcome, f.Error
		// Asking again is harmless after a decline, or where nothing was sent; else only if the question is safe.
		harmless := f.Outcome == kserve.Rejected && f.SafeToRetry || errors.Is(err, errNotSent) || q.Idempotent && f.Outcome != kserve.Served
		switch {
		case f.Outcome == kserve.Served:
			return a, nil
		case begun || !harmless || try+1 >= tries || errors.Is(err, errInvalidRequest):
			if err == nil {
				err = fmt.Errorf("client: %s: %s", f.Outcome, f.Error)
			}
			return a, err
		}
		ticket = f.RetryTicket
		wait := time.Duration(f.RetryAfterMs) * time.Millisecond
		if wait <= 0 {
			wait = time.Duration(float64(least<<min(try, 6)) * (0.5 + rand.Float64()/2))
		}
		if time.Until(deadline) <= wait {
			return a, ErrDeadline
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return a, context.Cause(ctx)
		}
	}
}

var (
	errNotSent        = errors.New("nothing was sent")
	errInvalidRequest = errors.New("the question makes no sense to the dispatcher")
)

func (c *Client) attempt(ctx context.Context, q Request, try int, ticket string, left time.Duration, piece func(string)) (f kserve.FinalResponse, begun bool, err error) {
	params := kserve.Params{"timeout": left.Microseconds(), "again": try > 0}
	for name, v := range map[string]string{"session": q.Session, "shared": q.PrefixID, "grade": q.Class, "channel": q.Tenant} {
		if v != "" {
			params[name] = v
		}
	}
	if q.MaxTokens > 0 {
		params["max_tokens"] = q.MaxTokens
	}
	if ticket != "" {
		params["ticket"] = ticket
	}
	raw, err := json.Marshal(kserve.GenerateRequest{Text: q.Prompt, Parameters: params})
	if err != nil {
		return f, false, err
	}
	model := c.Model
	if model == "" {
		model = "lodge"
	}
	at := c.BaseURLs[c.next%len(c.BaseURLs)]
	c.next++
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, at+"/v2/models/"+model+"/generate_stream", bytes.NewReader(raw))
	if err != nil {
		return f, false, err
	}
	r.Header.Set("Content-Type", "application/json")
	h := c.HTTPClient
	if h == nil {
		h = http.DefaultClient
	}
	resp, err := h.Do(r)
	if err != nil {
		if kserve.IsDialError(err) {
			err = fmt.Errorf("%w: %w", errNotSent, err)
		}
		return f, false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		raw, err := io.ReadAll(io.LimitReader(resp.Body, 64<<10))
		if err != nil {
			return f, false, err
		}
		if json.Unmarshal(raw, &f) != nil || f.Outcome == "" {
			return f, false, fmt.Errorf("%w: %s: %.300s", errInvalidRequest, resp.Status, raw)
		}
		return f, false, nil
	}
	events := kserve.NewEventReader(resp.Body)
	for {
		ev, err := events.Next()
		if err != nil {
			return f, begun, fmt.Errorf("client: the stream broke: %w", err)
		}
		if ev.Name == "" {
			var t kserve.Token
			if err := json.Unmarshal(ev.Data, &t); err != nil {
				return f, begun, err
			}
			begun = true
			piece(t.Text)
			continue
		}
		if err := json.Unmarshal(ev.Data, &f); err != nil {
			return f, begun, err
		}
		return f, begun, nil
	}
}
