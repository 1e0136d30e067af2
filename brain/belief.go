package brain

// Belief is what a dispatcher takes to be so; operators compare it with what passed.
type Summary struct {
	Window            float64 // how many own requests may be out without a first token
	Outstanding       int     // how many are
	Queued            int
	MeanPrefillTokens float64 // tokens left to read
	TimeToFirstToken  float64 // seconds from going out to a first token
	Streams           float64 // own streams
	TokenLimit        float64 // tokens that answering backends are trusted with
	KVTokens          float64 // own tokens there
	PrefillBacklog    float64 // own tokens at prefill backends
	WithCapacity      int     // answering backends that would take one more request of the mean size
	InSlowStart       int     // backends that are taken for cold
	Suspected         int     // backends more likely to fail than not
}

// Believes tells it.
func (d *Dispatcher) Estimates() Summary {
	b := Summary{Window: d.window, Outstanding: d.outstanding, Queued: len(d.queue), MeanPrefillTokens: d.meanPrefillTokens, TimeToFirstToken: d.timeToFirstToken.ValueOr(0), Streams: d.streams}
	mean := Request{KVTokens: 1500}
	for _, h := range d.backends {
		if h.State != Ready {
			continue
		}
		if h.Decodes() {
			b.TokenLimit, b.KVTokens = b.TokenLimit+h.TokenLimit, b.KVTokens+h.KVTokens
			if hasCapacity(h, &mean) {
				b.WithCapacity++
			}
		} else {
			b.PrefillBacklog += h.PrefillBacklog
		}
		if d.inSlowStart(h) {
			b.InSlowStart++
		}
		if r := &h.Outcomes[0]; r.Failures.Sum(d.runtime.Now())+min(r.ConsecutiveFailures, 4) > 1+r.Successes.Sum(d.runtime.Now()) {
			b.Suspected++
		}
	}
	return b
}

// report takes a load report's values in the stated order.
func (d *Dispatcher) applyLoadReport(h *Backend, values []float64) {
	for i, v := range values[:min(len(values), len(d.parameters.reportFields))] {
		switch d.parameters.reportFields[i] {
		case "util":
			h.Util = v
		case "queue":
			h.QueueLength = v
		}
	}
}
