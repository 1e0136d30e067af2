package scheduler

import "fmt"

// Summary is a snapshot of the dispatcher's estimates for logs.
type Summary struct {
	Window            float64 // limit on own requests without a first token
	Outstanding       int     // own requests that count against the window
	Queued            int     // queued requests
	MeanPrefillTokens float64 // mean tokens to prefill
	TimeToFirstToken  float64 // expected seconds to a first token
	Streams           float64 // own streams in flight
	TokenLimit        float64 // token limits of the backends that decode, summed
	KVTokens          float64 // own KV cache tokens at these
	PrefillBacklog    float64 // own tokens to prefill at prefill-only backends
	WithCapacity      int     // decode backends that would take one more request of mean size
	InSlowStart       int     // backends in slow start
	Suspected         int     // backends more likely to fail than not
}

// String prints the summary for logs, whose readers match the names of the fields in it.
func (s Summary) String() string {
	return fmt.Sprintf("{Window:%v Unbegun:%v Held:%v Average:%v Ahead:%v Streams:%v "+
		"Room:%v Tokens:%v Unread:%v Roomy:%v Cold:%v Doubted:%v}",
		s.Window, s.Outstanding, s.Queued, s.MeanPrefillTokens, s.TimeToFirstToken, s.Streams,
		s.TokenLimit, s.KVTokens, s.PrefillBacklog, s.WithCapacity, s.InSlowStart, s.Suspected)
}

// Estimates returns the dispatcher's current estimates.
func (d *Dispatcher) Estimates() Summary {
	summary := Summary{Window: d.window, Outstanding: d.outstanding, Queued: len(d.queue),
		MeanPrefillTokens: d.meanPrefillTokens,
		TimeToFirstToken:  d.timeToFirstToken.ValueOr(0), Streams: d.streams}
	meanRequest := Request{KVTokens: 1500}
	for _, backend := range d.backends {
		if backend.State != Ready {
			continue
		}
		if backend.Decodes() {
			summary.TokenLimit, summary.KVTokens = summary.TokenLimit+backend.TokenLimit, summary.KVTokens+backend.KVTokens
			if hasCapacity(backend, &meanRequest) {
				summary.WithCapacity++
			}
		} else {
			summary.PrefillBacklog += backend.PrefillBacklog
		}
		if d.inSlowStart(backend) {
			summary.InSlowStart++
		}
		if stats := &backend.Outcomes[0]; stats.Failures.Sum(d.runtime.Now())+min(stats.ConsecutiveFailures, 4) >
			1+stats.Successes.Sum(d.runtime.Now()) {
			summary.Suspected++
		}
	}
	return summary
}

// applyLoadReport stores a load report's values, given in the order of the report fields.
func (d *Dispatcher) applyLoadReport(backend *Backend, values []float64) {
	for i, v := range values[:min(len(values), len(d.parameters.reportFields))] {
		switch d.parameters.reportFields[i] {
		case "util":
			backend.Util = v
		case "queue":
			backend.QueueLength = v
		}
	}
}
