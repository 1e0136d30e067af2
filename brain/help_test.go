package brain

import (
	"cmp"
	"slices"
	"testing"
	"time"
)

// door records what the module does; its clock is set by the test.
type fakeRuntime struct {
	now                        time.Duration
	sent                       []*Attempt
	cancelled                  []*Attempt
	released, rejected, failed []*Request
	timers                     []func()
	timerDelays                []time.Duration // of the wakes
	timeouts                   []time.Duration
	updatedPeers               []int
}

func (d *fakeRuntime) Now() time.Duration { return d.now }
func (d *fakeRuntime) Send(t *Attempt, wait time.Duration) {
	d.sent, d.timeouts = append(d.sent, t), append(d.timeouts, wait)
}
func (d *fakeRuntime) Cancel(t *Attempt)                  { d.cancelled = append(d.cancelled, t) }
func (d *fakeRuntime) Release(q *Request)                 { d.released = append(d.released, q) }
func (d *fakeRuntime) Reject(q *Request, _ time.Duration) { d.rejected = append(d.rejected, q) }
func (d *fakeRuntime) Fail(q *Request)                    { d.failed = append(d.failed, q) }
func (d *fakeRuntime) Schedule(after time.Duration, do func()) {
	d.timers, d.timerDelays = append(d.timers, do), append(d.timerDelays, after)
}
func (d *fakeRuntime) WatchEndpoints(bool) {}
func (d *fakeRuntime) SendPeerUpdate(peer int, _ PeerUpdate) {
	d.updatedPeers = append(d.updatedPeers, peer)
}
func (d *fakeRuntime) LogInfo(string) {}

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

// fleetOf makes a dispatcher of so many, at 100 s, with the backends of begin in its own order.
func newDispatcherOf(t *testing.T, dispatchers float64) (*Dispatcher, *fakeRuntime) {
	t.Helper()
	f := testSettings()
	f["siblings"] = dispatchers
	out := &fakeRuntime{now: 100 * time.Second}
	d, err := New(f, 1, out)
	if err != nil {
		t.Fatal(err)
	}
	var lines []Endpoint
	for i := range 6 {
		lines = append(lines, Endpoint{Backend: &Backend{ID: uint32(i + 1), Kind: i / 2, Rack: i % 2}, State: Ready, CapacityUnits: 4})
	}
	d.UpdateEndpoints(lines, true)
	return d, out
}

// begin makes a dispatcher at 100 s that knows two backends of each role (prefill backends 1 and 2, decode backends 3 and
// 4, mixed 5 and 6), in the order of their numbers.
func newDispatcher(t *testing.T) (*Dispatcher, *fakeRuntime) {
	t.Helper()
	d, out := newDispatcherOf(t, 1)
	slices.SortFunc(d.backends, func(a, b *Backend) int { return cmp.Compare(a.ID, b.ID) })
	return d, out
}

// ask makes a request of 2,000 tokens that was taken now.
func newRequest(d *Dispatcher) *Request {
	now := d.runtime.Now()
	return &Request{ID: 1, SessionKey: 7, PrefixKey: 9, PromptTokens: 2000, PrefixTokens: 1500, MaxOutputTokens: 400, KVTokens: 2100, Class: d.classes[0],
		ReceivedAt: now, Timeout: 4 * time.Second, TargetAt: now + time.Second, Deadline: now + 4*time.Second}
}

// went gives the request an ended attempt.
func addAttempt(q *Request, h *Backend, o Outcome, sent time.Duration) *Attempt {
	t := &Attempt{Request: q, Backend: h, Number: len(q.Attempts), SentAt: sent, Ended: true, Outcome: o, OnResult: func(Result) {}}
	q.Attempts = append(q.Attempts, t)
	return t
}
