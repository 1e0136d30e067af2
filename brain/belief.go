package brain

// Summary is a snapshot of the dispatcher's estimates for logs. The output format of String is stable.
type Belief struct {
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
func (d *Dispatcher) Believes() Belief {
	b := Belief{Window: d.window, Unbegun: d.outstanding, Held: len(d.queue), Average: d.average, Ahead: d.firstToken.Or(0), Streams: d.streams}
	mean := Request{Memory: 1500}
	for _, h := range d.backends {
		if h.Standing != Ready {
			continue
		}
		if h.Answers() {
			b.Room, b.Tokens = b.Room+h.Room, b.Tokens+h.Tokens
			if hasRoom(h, &mean) {
				b.Roomy++
			}
		} else {
			b.Unread += h.Unread
		}
		if d.cold(h) {
			b.Cold++
		}
		if r := &h.Records[0]; r.Bad.Sum(d.runtime.Now())+min(r.Missed, 4) > 1+r.Good.Sum(d.runtime.Now()) {
			b.Doubted++
		}
	}
	return b
}

// applyLoadReport stores a load report's values, given in the order of the report fields.
func (d *Dispatcher) report(h *Backend, values []float64) {
	for i, v := range values[:min(len(values), len(d.parameters.reportFields))] {
		switch d.parameters.reportFields[i] {
		case "util":
			h.Util = v
		case "queue":
			h.Queue = v
		}
	}
}
