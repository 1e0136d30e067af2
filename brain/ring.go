package brain

import "time"

const buckets = 10

// Ring sums amounts over the last ten buckets of time, each as wide as Width.
type Ring struct {
	Width time.Duration
	sums  [buckets]float64
	at    int64
}

func (r *Ring) turn(now time.Duration) {
	to := int64(now / r.Width)
	if to-r.at >= buckets {
		r.sums, r.at = [buckets]float64{}, to
	}
	for r.at < to {
		r.at++
		r.sums[r.at%buckets] = 0
	}
}

func (r *Ring) Add(now time.Duration, amount float64) {
	r.turn(now)
	r.sums[r.at%buckets] += amount
}

func (r *Ring) Sum(now time.Duration) float64 {
	r.turn(now)
	sum := 0.0
	for _, s := range r.sums {
		sum += s
	}
	return sum
}

// Mean is a running mean that begins exact and then forgets at Pace.
type Mean struct {
	Value float64
	n     float64
}

func (m *Mean) Add(x, pace float64) {
	m.n++
	m.Value += (x - m.Value) * max(pace, 1/m.n)
}

func (m *Mean) Or(absent float64) float64 {
	if m.n == 0 {
		return absent
	}
	return m.Value
}
