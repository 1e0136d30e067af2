package scheduler

import "time"

// Runtime is what the scheduler acts through. It is not called concurrently.
type Runtime interface {
	// Now returns the time since a fixed start.
	Now() time.Duration
	// Send sends an attempt, which times out after timeout without a first token.
	Send(attempt *Attempt, timeout time.Duration)
	// Cancel cancels an attempt in flight.
	Cancel(attempt *Attempt)
	// Release has the KV cache released that a prefill backend may hold for the request.
	Release(req *Request)
	// Reject answers that the client may retry, after retryAfter if that is not 0.
	Reject(req *Request, retryAfter time.Duration)
	// Fail answers with a failure that must not be retried blindly.
	Fail(req *Request)
	// Schedule calls callback after a delay.
	Schedule(delay time.Duration, callback func())
	// WatchEndpoints subscribes to service discovery, or unsubscribes.
	WatchEndpoints(subscribe bool)
	// SendPeerUpdate sends an update to the dispatcher with index peer.
	SendPeerUpdate(peer int, update PeerUpdate)
	// LogInfo logs a message.
	LogInfo(message string)
}
