package brain

import "time"

const bucketCount = 10

// Ring sums amounts over the last ten buckets of time, each as wide as Width.
type RollingSum struct {
	BucketWidth time.Duration
	sums        [bucketCount]float64
	last        int64
}

func (r *RollingSum) advance(now time.Duration) {
	to := int64(now / r.BucketWidth)
	if to-r.last >= bucketCount {
		r.sums, r.last = [bucketCount]float64{}, to
	}
	for r.last < to {
		r.last++
		r.sums[r.last%bucketCount] = 0
	}
}

func (r *RollingSum) Add(now time.Duration, amount float64) {
	r.advance(now)
	r.sums[r.last%bucketCount] += amount
}

// Sum is what was added within the ring's time. It leaves the ring as it is: most rings of a large fleet are empty, and are asked often.
func (r *RollingSum) Sum(now time.Duration) float64 {
	to := int64(now / r.BucketWidth)
	if to-r.last >= bucketCount {
		return 0
	}
	sum := 0.0
	for at := max(to, r.last) - bucketCount + 1; at <= r.last; at++ {
		if at >= 0 {
			sum += r.sums[at%bucketCount]
		}
	}
	return sum
}

// PerS is the rate a second over the ring's time, or over that since the start.
func (r *RollingSum) PerSecond(now time.Duration) float64 {
	return r.Sum(now) / min(max(now, r.BucketWidth), bucketCount*r.BucketWidth).Seconds()
}

// Mean is a running mean that begins exact and then forgets at Pace.
type RunningMean struct {
	Value   float64
	samples float64
}

func (m *RunningMean) Add(x, pace float64) {
	m.samples++
	m.Value += (x - m.Value) * max(pace, 1/m.samples)
}

func (m *RunningMean) ValueOr(absent float64) float64 {
	if m.samples == 0 {
		return absent
	}
	return m.Value
}

// Tally keeps a ring for each key; Width is that of their buckets.
type KeyedSums struct {
	BucketWidth time.Duration
	sums        map[uint64]*RollingSum
}

func (t *KeyedSums) Add(key uint64, now time.Duration, amount float64) {
	if t.sums == nil {
		t.sums = map[uint64]*RollingSum{}
	}
	if t.sums[key] == nil {
		t.sums[key] = &RollingSum{BucketWidth: t.BucketWidth}
	}
	t.sums[key].Add(now, amount)
}

func (t *KeyedSums) Sum(key uint64, now time.Duration) float64 {
	if r := t.sums[key]; r != nil {
		return r.Sum(now)
	}
	return 0
}

// Forget drops the keys that have nothing left in their rings.
func (t *KeyedSums) DropEmpty(now time.Duration) {
	for key, r := range t.sums {
		if r.Sum(now) == 0 {
			delete(t.sums, key)
		}
	}
}
