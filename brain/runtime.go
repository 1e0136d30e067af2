package brain

import "time"

// Runtime is how the module acts. Whoever calls it turns ids into backends, requests and attempts and back.
type Runtime interface {
	Now() time.Duration
	Send(t *Attempt, wait time.Duration)
	Cancel(t *Attempt)
	Release(q *Request)
	Reject(q *Request, after time.Duration)
	Fail(q *Request)
	Schedule(after time.Duration, do func())
	WatchEndpoints(on bool)
	SendPeerUpdate(peer int, n PeerUpdate)
	LogInfo(text string)
}
