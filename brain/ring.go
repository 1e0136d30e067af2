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

// Sum is what was added within the ring's time. It leaves the ring as it is: most rings of a large fleet are empty, and are asked often.
func (r *Ring) Sum(now time.Duration) float64 {
	to := int64(now / r.Width)
	if to-r.at >= buckets {
		return 0
	}
	sum := 0.0
	for at := max(to, r.at) - buckets + 1; at <= r.at; at++ {
		if at >= 0 {
			sum += r.sums[at%buckets]
		}
	}
	return sum
}

// PerS is the rate a second over the ring's time, or over that since the start.
func (r *Ring) PerS(now time.Duration) float64 {
	return r.Sum(now) / min(max(now, r.Width), buckets*r.Width).Seconds()
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

// Tally keeps a ring for each key; Width is that of their buckets.
type Tally struct {
	Width time.Duration
	rings map[uint64]*Ring
}

func (t *Tally) Add(key uint64, now time.Duration, amount float64) {
	if t.rings == nil {
		t.rings = map[uint64]*Ring{}
	}
	if t.rings[key] == nil {
		t.rings[key] = &Ring{Width: t.Width}
	}
	t.rings[key].Add(now, amount)
}

func (t *Tally) Sum(key uint64, now time.Duration) float64 {
	if r := t.rings[key]; r != nil {
		return r.Sum(now)
	}
	return 0
}

// Forget drops the keys that have nothing left in their rings.
func (t *Tally) Forget(now time.Duration) {
	for key, r := range t.rings {
		if r.Sum(now) == 0 {
			delete(t.rings, key)
		}
	}
}
