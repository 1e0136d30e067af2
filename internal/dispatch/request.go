package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"sloetrestle/brain"
	"sloetrestle/internal/kserve"
)

// ClientRequest is one request between its client and the module.
type ClientRequest struct {
	Scheduled *brain.Request
	Params    kserve.Request
	Class     string
	Tenant    string
	Payload   any                        // what the carrier sends of it; dropped when the request is over
	OnFinal   func(kserve.FinalResponse) // takes the final answer in place of the channel
	began     chan *Attempt              // the attempt whose stream goes to the client
	final     chan kserve.FinalResponse  // the one final answer
	answered  bool
	left      bool
	channel   int
	paid      []paid   // set aside in budgets
	unpaid    bool     // declined for a budget
	stream    *Attempt // the attempt whose stream has begun
	flight    *Attempt // the attempt that is out
	waiting   map[*Backend]bool
	from      time.Duration
	over      atomic.Bool
}

// End says that nothing more may be sent for the request: it has its answer, its client has gone, or its time is up. Unlike a message
// to the loop it does not wait its turn.
func (a *ClientRequest) MarkOver() { a.over.Store(true) }

// Over tells whether nothing more may be sent.
func (a *ClientRequest) Over() bool { return a.over.Load() }

// AttemptOut tells whether an attempt is out. It is the loop's.
func (a *ClientRequest) AttemptInFlight() bool { return a.flight != nil }

// Start waits for the attempt whose stream goes to the client, or for a final answer without one: then there is no attempt. ok is false
// where the context ended first.
func (a *ClientRequest) WaitStart(ctx context.Context) (trip *Attempt, f kserve.FinalResponse, ok bool) {
	select {
	case <-ctx.Done():
		return nil, f, false
	case trip = <-a.began:
		return trip, f, true
	case f = <-a.final:
	}
	// The end of a short answer may be seen before its beginning.
	select {
	case trip = <-a.began:
		a.final <- f
		return trip, kserve.FinalResponse{}, true
	default:
		return nil, f, true
	}
}

// Final gives the one final answer.
func (a *ClientRequest) Final() <-chan kserve.FinalResponse { return a.final }
