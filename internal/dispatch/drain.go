package dispatch

import (
	"context"
	"time"

	"sloetrestle/internal/kserve"
	"sloetrestle/scheduler"
)

// drain waits until no request is open, at most for the timeout, and tells whether none is. It waits a minimum time in
// any case, so that clients that a load balancer still sends here get a rejection and not a refused connection.
func (s *Server) drain(timeout time.Duration) bool {
	const step, minimum = 10 * time.Millisecond, 300 * time.Millisecond
	for waited := time.Duration(0); waited < timeout; waited += step {
		if waited >= minimum && s.openRequests.Load() == 0 {
			return true
		}
		time.Sleep(step)
	}
	return s.openRequests.Load() == 0
}

// waitIdle waits until all attempts have ended and all releases are sent, at most for the timeout. A cancelled attempt
// ends a little later, and its end may require another release.
func (c *HTTPTransport) waitIdle(ctx context.Context, timeout time.Duration) {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		requests := 0
		c.loop.Call(ctx, func() { requests, _ = c.loop.Retained() })
		c.mu.Lock()
		queues := len(c.releases)
		c.mu.Unlock()
		if requests+queues == 0 {
			return
		}
	}
}

// EndUnstarted ends the requests of which the client has nothing yet, so that it may retry at another dispatcher: they
// are rejected where a rejection is still allowed and failed otherwise. Those with an attempt without a first token are
// answered at its end and get no further attempt. Requests that are submitted afterwards are rejected.
func (l *Loop) EndUnstarted() {
	l.stopping = true
	for scheduled, request := range l.requests {
		switch attempt := request.inFlight; {
		case request.answered || request.disconnected:
			if attempt != nil {
				attempt.Cancel(ErrNotNeeded) // its KV cache has to be released before the process ends
			}
		case request.streamBegun():
		case attempt != nil && attempt.Scheduled.FirstTokenAt == 0:
			scheduled.NoMoreAttempts = true
			attempt.timedOut = true
			attempt.Cancel(ErrAttemptTimeout)
		default:
			l.giveUp(request, stoppingReason)
		}
	}
}

// GiveUpBuffered ends a request whose buffered answer cannot be sent.
func (l *Loop) GiveUpBuffered(request *ClientRequest, reason string) {
	if !request.answered && !request.disconnected {
		l.giveUp(request, reason)
	}
}

// giveUp ends a request of which the client has nothing yet: rejected where that is still allowed, else failed.
func (l *Loop) giveUp(request *ClientRequest, reason string) {
	if attempt := request.inFlight; attempt != nil {
		attempt.Cancel(ErrNotNeeded)
	}
	if scheduler.MayReject(request.Scheduled) == scheduler.Allowed {
		l.answer(request, retryElsewhere(reason))
	} else {
		l.Fail(request.Scheduled)
	}
	l.scheduler.ClientDisconnected(request.Scheduled)
	l.forgetIfOver(request)
}

// stoppingReason is why a request is not served during a shutdown.
const stoppingReason = "this dispatcher is stopping"

// retryElsewhere returns the rejection of a request that its client may send to another dispatcher at once.
func retryElsewhere(reason string) kserve.FinalResponse {
	return kserve.FinalResponse{Outcome: kserve.Rejected, Error: reason, SafeToRetry: true, RetryAfterMs: 1}
}

// failAll fails the requests that are left when the time for a graceful shutdown is over.
func (l *Loop) failAll() {
	for scheduled, request := range l.requests {
		if !request.answered && !request.disconnected {
			l.Fail(scheduled)
			l.scheduler.ClientDisconnected(scheduled)
		}
		if request.inFlight != nil {
			request.inFlight.Cancel(ErrNotNeeded)
		}
		l.forgetIfOver(request)
	}
}
