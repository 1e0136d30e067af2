package scheduler

import (
	"cmp"
	"slices"
	"testing"
	"time"
)

// fakeRuntime records what the scheduler does; the test sets its clock.
type fakeRuntime struct {
	now                        time.Duration
	sent                       []*Attempt
	cancelled                  []*Attempt
	released, rejected, failed []*Request
	timers                     []func()
	timerDelays                []time.Duration // of the timers
	timeouts                   []time.Duration
	updatedPeers               []int
}

func (f *fakeRuntime) Now() time.Duration { return f.now }
func (f *fakeRuntime) Send(attempt *Attempt, timeout time.Duration) {
	f.sent, f.timeouts = append(f.sent, attempt), append(f.timeouts, timeout)
}
func (f *fakeRuntime) Cancel(attempt *Attempt)              { f.cancelled = append(f.cancelled, attempt) }
func (f *fakeRuntime) Release(req *Request)                 { f.released = append(f.released, req) }
func (f *fakeRuntime) Reject(req *Request, _ time.Duration) { f.rejected = append(f.rejected, req) }
func (f *fakeRuntime) Fail(req *Request)                    { f.failed = append(f.failed, req) }
func (f *fakeRuntime) Schedule(delay time.Duration, callback func()) {
	f.timers, f.timerDelays = append(f.timers, callback), append(f.timerDelays, delay)
}
func (f *fakeRuntime) WatchEndpoints(bool) {}
func (f *fakeRuntime) SendPeerUpdate(peer int, _ PeerUpdate) {
	f.updatedPeers = append(f.updatedPeers, peer)
}
func (f *fakeRuntime) LogInfo(string) {}

func testSettings() Settings {
	return Settings{
		"siblings":          1.0,
		"rules.tipMultiple": 2.5, "rules.tipAfterUs": 2e6, "rules.coldFrom": 0.3, "rules.rampTimeUs": 10e6,
		"familyInfo.kindRole": 3.0, "familyInfo.localRead": true,
		"familyInfo.kindRole.0": "read", "familyInfo.kindRole.1": "write", "familyInfo.kindRole.2": "both",
		"policyLimits.maxAttempts": 4.0, "policyLimits.cancelling": true, "policyLimits.maxRetryAfterUs": 5e5,
		"requestClasses": 1.0, "requestClasses.0.aimUs": 1e6, "requestClasses.0.effect": "repeatable", "valueBy": "work",
	}
}

// newDispatcherOf returns one of several dispatchers, at 100 s, with six backends in its own order.
func newDispatcherOf(t *testing.T, dispatchers float64) (*Dispatcher, *fakeRuntime) {
	t.Helper()
	settings := testSettings()
	settings["siblings"] = dispatchers
	runtime := &fakeRuntime{now: 100 * time.Second}
	d, err := New(settings, 1, runtime)
	if err != nil {
		t.Fatal(err)
	}
	var endpoints []Endpoint
	for i := range 6 {
		endpoints = append(endpoints, Endpoint{Backend: &Backend{ID: uint32(i + 1), Kind: i / 2, Rack: i % 2}, State: Ready,
			CapacityUnits: 4})
	}
	d.UpdateEndpoints(endpoints, true)
	return d, runtime
}

// newDispatcher returns a dispatcher at 100 s with two backends of each role (prefill backends 1 and 2, decode
// backends 3 and 4, mixed backends 5 and 6) in the order of their ids.
func newDispatcher(t *testing.T) (*Dispatcher, *fakeRuntime) {
	t.Helper()
	d, runtime := newDispatcherOf(t, 1)
	slices.SortFunc(d.backends, func(a, b *Backend) int { return cmp.Compare(a.ID, b.ID) })
	return d, runtime
}

// newRequest returns a request of 2,000 prompt tokens that is received now.
func newRequest(d *Dispatcher) *Request {
	now := d.runtime.Now()
	return &Request{ID: 1, SessionKey: 7, PrefixKey: 9, PromptTokens: 2000, PrefixTokens: 1500, MaxOutputTokens: 400,
		KVTokens: 2100, Class: d.classes[0],
		ReceivedAt: now, Timeout: 4 * time.Second, TargetAt: now + time.Second, Deadline: now + 4*time.Second}
}

// addAttempt gives the request an attempt that has ended.
func addAttempt(req *Request, backend *Backend, outcome Outcome, sent time.Duration) *Attempt {
	attempt := &Attempt{Request: req, Backend: backend, Number: len(req.Attempts), SentAt: sent, Ended: true,
		Outcome: outcome, OnResult: func(Result) {}}
	req.Attempts = append(req.Attempts, attempt)
	return attempt
}
