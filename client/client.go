// Package client sends requests to sloetrestle dispatchers and follows their advice on retries: it retries after the
// stated time, with the retry ticket of the rejection, backs off exponentially where no time is stated, and never
// repeats a request that may have run unless it is idempotent. It takes the dispatchers in turn and doesn't otherwise
// balance load. Begin with Client.Do.
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
	"sync/atomic"
	"time"

	"sloetrestle/internal/kserve"
)

// Request is a request for generation.
type Request struct {
	Prompt     string
	Session    string
	PrefixID   string // name of the prefix that the prompt shares with others
	Class      string // priority class
	Tenant     string
	MaxTokens  int           // of the answer
	Timeout    time.Duration // over all attempts; required
	Idempotent bool          // the request may run twice without harm: it is retried after any failure
}

// Client sends requests to dispatchers in turn. Only BaseURLs is required. Its fields must not change
// once it is used; it may be used concurrently.
type Client struct {
	BaseURLs   []string // of the dispatchers, such as http://127.0.0.1:8100
	Model      string   // "lodge" if empty
	HTTPClient *http.Client
	// MinBackoff is the wait before the first retry where the dispatcher states no time, 200 ms if zero. It doubles
	// with each further attempt, up to 64 times, and is shortened by a random part of up to a half.
	MinBackoff  time.Duration
	MaxAttempts int           // 5 if zero
	next        atomic.Uint64 // index of the next base URL
}

// Result is how a request ended.
type Result struct {
	Outcome  string // as the dispatcher states it: "satisfied", "declined" or "forfeited"
	Attempts int
	Error    string
}

// ErrDeadline reports that the request's timeout has passed, or would pass before the next attempt.
var ErrDeadline = errors.New("the request's deadline has passed")

// Do sends a request and passes each piece of the answer to onText as it comes. After the first piece it does not
// retry.
func (c *Client) Do(ctx context.Context, req Request, onText func(text string)) (Result, error) {
	if len(c.BaseURLs) == 0 || req.Timeout <= 0 {
		return Result{}, fmt.Errorf("client: %d base URLs and a timeout of %v, both must be positive",
			len(c.BaseURLs), req.Timeout)
	}
	ctx, cancel := context.WithTimeoutCause(ctx, req.Timeout+time.Second, ErrDeadline)
	defer cancel()
	deadline := time.Now().Add(req.Timeout)
	minBackoff := c.MinBackoff
	if minBackoff <= 0 {
		minBackoff = 200 * time.Millisecond
	}
	maxAttempts := c.MaxAttempts
	if maxAttempts <= 0 {
		maxAttempts = 5
	}
	ticket := ""
	result := Result{}
	for retries := 0; ; retries++ {
		result.Attempts++
		final, started, err := c.attempt(ctx, req, retries, ticket, time.Until(deadline), onText)
		result.Outcome, result.Error = final.Outcome, final.Error
		// A retry is harmless after a rejection that says so, or where nothing was sent; otherwise only if the
		// request is idempotent.
		harmless := final.Outcome == kserve.Rejected && final.SafeToRetry || errors.Is(err, errNotSent) ||
			req.Idempotent && final.Outcome != kserve.Served
		switch {
		case final.Outcome == kserve.Served:
			return result, nil
		case started || !harmless || retries+1 >= maxAttempts || errors.Is(err, errInvalidRequest):
			if err == nil {
				err = fmt.Errorf("client: request ended as %s: %s", final.Outcome, final.Error)
			}
			return result, err
		}
		ticket = final.RetryTicket
		wait := time.Duration(final.RetryAfterMs) * time.Millisecond
		if wait <= 0 {
			wait = time.Duration(float64(minBackoff<<min(retries, 6)) * (0.5 + rand.Float64()/2))
		}
		if time.Until(deadline) <= wait {
			return result, ErrDeadline
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return result, context.Cause(ctx)
		}
	}
}

var (
	errNotSent        = errors.New("the request was not sent")
	errInvalidRequest = errors.New("the dispatcher refused the request as invalid")
)

// attempt sends the request once. started tells whether a piece of the answer was passed on.
func (c *Client) attempt(
	ctx context.Context, req Request, retries int, ticket string, timeout time.Duration, onText func(string),
) (final kserve.FinalResponse, started bool, err error) {
	params := kserve.Params{"timeout": timeout.Microseconds(), "again": retries > 0}
	for name, value := range map[string]string{
		"session": req.Session, "shared": req.PrefixID, "grade": req.Class, "channel": req.Tenant,
	} {
		if value != "" {
			params[name] = value
		}
	}
	if req.MaxTokens > 0 {
		params["max_tokens"] = req.MaxTokens
	}
	if ticket != "" {
		params["ticket"] = ticket
	}
	body, err := json.Marshal(kserve.GenerateRequest{Text: req.Prompt, Parameters: params})
	if err != nil {
		return final, false, err
	}
	model := c.Model
	if model == "" {
		model = "lodge"
	}
	baseURL := c.BaseURLs[(c.next.Add(1)-1)%uint64(len(c.BaseURLs))]
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, baseURL+"/v2/models/"+model+"/generate_stream",
		bytes.NewReader(body))
	if err != nil {
		return final, false, err
	}
	httpReq.Header.Set("Content-Type", "application/json")
	httpClient := c.HTTPClient
	if httpClient == nil {
		httpClient = http.DefaultClient
	}
	resp, err := httpClient.Do(httpReq)
	if err != nil {
		if kserve.IsDialError(err) {
			err = fmt.Errorf("%w: %w", errNotSent, err)
		}
		return final, false, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		raw, err := io.ReadAll(io.LimitReader(resp.Body, 64<<10))
		if err != nil {
			return final, false, err
		}
		if json.Unmarshal(raw, &final) != nil || final.Outcome == "" {
			return final, false, fmt.Errorf("%w: %s: %.300s", errInvalidRequest, resp.Status, raw)
		}
		return final, false, nil
	}
	events := kserve.NewEventReader(resp.Body)
	for {
		event, err := events.Next()
		if err != nil {
			return final, started, fmt.Errorf("client: read the answer's stream: %w", err)
		}
		if event.Name == "" {
			var token kserve.Token
			if err := json.Unmarshal(event.Data, &token); err != nil {
				return final, started, err
			}
			started = true
			onText(token.Text)
			continue
		}
		if err := json.Unmarshal(event.Data, &final); err != nil {
			return final, started, err
		}
		return final, started, nil
	}
}
