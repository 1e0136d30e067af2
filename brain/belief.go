package brain

// Belief is what a dispatcher takes to be so; operators compare it with what passed.
type Belief struct {
	Window  float64 // how many own requests may be out without a first token
	Unbegun int     // how many are
	Held    int
	Average float64 // tokens left to read
	Ahead   float64 // seconds from going out to a first token
	Streams float64 // own streams
	Room    float64 // tokens that answering backends are trusted with
	Tokens  float64 // own tokens there
	Unread  float64 // own tokens at prefill backends
	Roomy   int     // answering backends that would take one more request of the mean size
	Cold    int     // backends that are taken for cold
	Doubted int     // backends more likely to fail than not
}

// Believes tells it.
func (d *Dispatcher) Estimates() Belief {
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

// report takes a load report's values in the stated order.
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
