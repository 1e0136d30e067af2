package brain

import (
	"cmp"
	"slices"
	"testing"
	"time"
)

// fakeRuntime records what the scheduler does; the test sets its clock.
type door struct {
	now                      time.Duration
	sent                     []*Attempt
	cancelled                []*Attempt
	released, declined, lost []*Request
	wakes                    []func()
	delays                   []time.Duration // of the timers
	waits                    []time.Duration
	told                     []int
}

func (f *door) Now() time.Duration { return f.now }
func (f *door) Send(attempt *Attempt, timeout time.Duration) {
	f.sent, f.waits = append(f.sent, attempt), append(f.waits, timeout)
}
func (f *door) Cancel(attempt *Attempt)              { f.cancelled = append(f.cancelled, attempt) }
func (f *door) Release(req *Request)                 { f.released = append(f.released, req) }
func (f *door) Reject(req *Request, _ time.Duration) { f.declined = append(f.declined, req) }
func (f *door) Fail(req *Request)                    { f.lost = append(f.lost, req) }
func (f *door) Wake(delay time.Duration, callback func()) {
	f.wakes, f.delays = append(f.wakes, callback), append(f.delays, delay)
}
func (f *door) Watch(bool)                  {}
func (f *door) Tell(peer int, _ PeerUpdate) { f.told = append(f.told, peer) }
func (f *door) Note(string)                 {}

func facts() Facts {
	return Facts{
		"siblings":          1.0,
		"rules.tipMultiple": 2.5, "rules.tipAfterUs": 2e6, "rules.coldFrom": 0.3, "rules.rampTimeUs": 10e6,
		"familyInfo.kindRole": 3.0, "familyInfo.localRead": true,
		"familyInfo.kindRole.0": "read", "familyInfo.kindRole.1": "write", "familyInfo.kindRole.2": "both",
		"policyLimits.maxAttempts": 4.0, "policyLimits.cancelling": true, "policyLimits.maxRetryAfterUs": 5e5,
		"requestClasses": 1.0, "requestClasses.0.aimUs": 1e6, "requestClasses.0.effect": "repeatable", "valueBy": "work",
	}
}

// newDispatcherOf returns one of several dispatchers, at 100 s, with six backends in its own order.
func fleetOf(t *testing.T, dispatchers float64) (*Dispatcher, *door) {
	t.Helper()
	settings := facts()
	settings["siblings"] = dispatchers
	runtime := &door{now: 100 * time.Second}
	d, err := New(settings, 1, runtime)
	if err != nil {
		t.Fatal(err)
	}
	var endpoints []Listing
	for i := range 6 {
		endpoints = append(endpoints, Listing{Host: &Backend{ID: uint32(i + 1), Kind: i / 2, Rack: i % 2}, Standing: Ready, Units: 4})
	}
	d.Listed(endpoints, true)
	return d, runtime
}

// newDispatcher returns a dispatcher at 100 s with two backends of each role (prefill backends 1 and 2, decode
// backends 3 and 4, mixed backends 5 and 6) in the order of their ids.
func begin(t *testing.T) (*Dispatcher, *door) {
	t.Helper()
	d, runtime := fleetOf(t, 1)
	slices.SortFunc(d.backends, func(a, b *Backend) int { return cmp.Compare(a.ID, b.ID) })
	return d, runtime
}

// newRequest returns a request of 2,000 prompt tokens that is received now.
func ask(d *Dispatcher) *Request {
	now := d.runtime.Now()
	return &Request{ID: 1, Session: 7, Shared: 9, Prompt: 2000, Prefix: 1500, Most: 400, Memory: 2100, Class: d.classes[0],
		Taken: now, Left: 4 * time.Second, TargetAt: now + time.Second, Deadline: now + 4*time.Second}
}

// addAttempt gives the request an attempt that has ended.
func went(req *Request, backend *Backend, outcome Outcome, sent time.Duration) *Attempt {
	attempt := &Attempt{Request: req, Backend: backend, Number: len(req.Attempts), Sent: sent, Ended: true, Outcome: outcome, Next: func(Result) {}}
	req.Attempts = append(req.Attempts, attempt)
	return attempt
}
