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

func (d *door) Now() time.Duration { return d.now }
func (d *door) Send(t *Attempt, wait time.Duration) {
	d.sent, d.waits = append(d.sent, t), append(d.waits, wait)
}
func (d *door) Cancel(t *Attempt)                  { d.cancelled = append(d.cancelled, t) }
func (d *door) Release(q *Request)                 { d.released = append(d.released, q) }
func (d *door) Reject(q *Request, _ time.Duration) { d.declined = append(d.declined, q) }
func (d *door) Fail(q *Request)                    { d.lost = append(d.lost, q) }
func (d *door) Wake(after time.Duration, do func()) {
	d.wakes, d.delays = append(d.wakes, do), append(d.delays, after)
}
func (d *door) Watch(bool)                  {}
func (d *door) Tell(peer int, _ PeerUpdate) { d.told = append(d.told, peer) }
func (d *door) Note(string)                 {}

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
	f := facts()
	f["siblings"] = dispatchers
	out := &door{now: 100 * time.Second}
	d, err := New(f, 1, out)
	if err != nil {
		t.Fatal(err)
	}
	var lines []Listing
	for i := range 6 {
		lines = append(lines, Listing{Host: &Backend{ID: uint32(i + 1), Kind: i / 2, Rack: i % 2}, Standing: Ready, Units: 4})
	}
	d.Listed(lines, true)
	return d, out
}

// newDispatcher returns a dispatcher at 100 s with two backends of each role (prefill backends 1 and 2, decode
// backends 3 and 4, mixed backends 5 and 6) in the order of their ids.
func begin(t *testing.T) (*Dispatcher, *door) {
	t.Helper()
	d, out := fleetOf(t, 1)
	slices.SortFunc(d.backends, func(a, b *Backend) int { return cmp.Compare(a.ID, b.ID) })
	return d, out
}

// newRequest returns a request of 2,000 prompt tokens that is received now.
func ask(d *Dispatcher) *Request {
	now := d.runtime.Now()
	return &Request{ID: 1, Session: 7, Shared: 9, Prompt: 2000, Prefix: 1500, Most: 400, Memory: 2100, Class: d.classes[0],
		Taken: now, Left: 4 * time.Second, TargetAt: now + time.Second, Deadline: now + 4*time.Second}
}

// addAttempt gives the request an attempt that has ended.
func went(q *Request, h *Backend, o Outcome, sent time.Duration) *Attempt {
	t := &Attempt{Request: q, Backend: h, Number: len(q.Attempts), Sent: sent, Ended: true, Outcome: o, Next: func(Result) {}}
	q.Attempts = append(q.Attempts, t)
	return t
}
