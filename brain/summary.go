package brain

// Summary is a snapshot of the dispatcher's estimates for logs. The output format of String is stable.
type Summary struct {
	Window  float64 // limit on own requests without a first token
	Unbegun int     // own requests that count against the window
	Held    int     // queued requests
	Average float64 // mean tokens to prefill
	Ahead   float64 // expected seconds to a first token
	Streams float64 // own streams in flight
	Room    float64 // token limits of the backends that decode, summed
	Tokens  float64 // own KV cache tokens at these
	Unread  float64 // own tokens to prefill at prefill-only backends
	Roomy   int     // decode backends that would take one more request of mean size
	Cold    int     // backends in slow start
	Doubted int     // backends more likely to fail than not
}

// Believes returns the dispatcher's current estimates.
func (d *Dispatcher) Believes() Summary {
	summary := Summary{Window: d.window, Unbegun: d.outstanding, Held: len(d.queue), Average: d.meanPrefillTokens,
		Ahead: d.timeToFirstToken.ValueOr(0), Streams: d.streams}
	meanRequest := Request{KVTokens: 1500}
	for _, backend := range d.backends {
		if backend.State != Ready {
			continue
		}
		if backend.Decodes() {
			summary.Room, summary.Tokens = summary.Room+backend.TokenLimit, summary.Tokens+backend.KVTokens
			if hasCapacity(backend, &meanRequest) {
				summary.Roomy++
			}
		} else {
			summary.Unread += backend.PrefillBacklog
		}
		if d.inSlowStart(backend) {
			summary.Cold++
		}
		if stats := &backend.Outcomes[0]; stats.Failures.Sum(d.runtime.Now())+min(stats.ConsecutiveFailures, 4) >
			1+stats.Successes.Sum(d.runtime.Now()) {
			summary.Doubted++
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
