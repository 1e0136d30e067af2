package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"sloetrestle/internal/kserve"
	"sloetrestle/internal/timerqueue"
	"sloetrestle/scheduler"
)

// ClientRequest is a request between its client and the scheduler. Its unexported fields belong to the loop, apart
// from the channels and over.
type ClientRequest struct {
	Scheduled *scheduler.Request // the scheduler's record of it; nil before it is submitted
	Params    kserve.Request
	Class     string                     // name of its class
	Tenant    string                     // name of its tenant
	Payload   any                        // what the transport sends; dropped when the request is over
	OnFinal   func(kserve.FinalResponse) // takes the final answer, in place of the channel that Final returns

	// Buffered means that nothing of an answer reaches the client before all of it has come. Until then the request can
	// still be rejected or failed.
	Buffered bool
	// AttemptWithin is how long after the submission attempts may be sent; 0: as long as the scheduler allows.
	AttemptWithin time.Duration

	started      chan *Attempt             // the attempt whose stream goes to the client
	final        chan kserve.FinalResponse // the final answer
	answered     bool
	disconnected bool
	tenantNumber int           // of its tenant
	reservations []reservation // in token budgets
	overBudget   bool          // rejected for lack of budget
	streaming    *Attempt      // the attempt whose stream has begun
	inFlight     *Attempt
	kvHolders    map[*Backend]bool // prefill backends that hold the request's KV cache
	submittedAt  time.Duration
	overdueTimer *timerqueue.Timer // fails it if it has no answer in time
	over         atomic.Bool
}

// MarkOver marks the request as over: it has its answer, its client has disconnected, or its deadline has passed.
// Nothing more is sent for it from then on. Unlike a message to the loop it takes effect at once.
func (c *ClientRequest) MarkOver() { c.over.Store(true) }

// Over tells whether the request is over. It may be called by any goroutine.
func (c *ClientRequest) Over() bool { return c.over.Load() }

// AttemptInFlight tells whether an attempt is in flight. Only the loop may call it.
func (c *ClientRequest) AttemptInFlight() bool { return c.inFlight != nil }

// streamBegun tells whether a part of an answer has been handed to the client.
func (c *ClientRequest) streamBegun() bool {
	return !c.Buffered && c.inFlight != nil && c.inFlight.Scheduled.FirstTokenAt > 0
}

// WaitStart waits for the attempt whose stream goes to the client, or for a final answer without a stream; the attempt
// is nil then. ok is false if the context ended first.
func (c *ClientRequest) WaitStart(ctx context.Context) (attempt *Attempt, final kserve.FinalResponse, ok bool) {
	select {
	case <-ctx.Done():
		return nil, final, false
	case attempt = <-c.started:
		return attempt, final, true
	case final = <-c.final:
	}
	// With a short answer both channels may be ready, and select may have taken the end before the start.
	select {
	case attempt = <-c.started:
		c.final <- final
		return attempt, kserve.FinalResponse{}, true
	default:
		return nil, final, true
	}
}

// Final returns the channel of the final answer.
func (c *ClientRequest) Final() <-chan kserve.FinalResponse { return c.final }
