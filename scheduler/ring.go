package scheduler

import "time"

// bucketCount is the number of buckets in a rolling sum.
const bucketCount = 10

// RollingSum sums amounts over the last ten time buckets, each BucketWidth wide.
type RollingSum struct {
	BucketWidth time.Duration
	sums        [bucketCount]float64
	last        int64
}

// advance clears the buckets between the last one used and that of now.
func (r *RollingSum) advance(now time.Duration) {
	bucket := int64(now / r.BucketWidth)
	if bucket-r.last >= bucketCount {
		r.sums, r.last = [bucketCount]float64{}, bucket
	}
	for r.last < bucket {
		r.last++
		r.sums[r.last%bucketCount] = 0
	}
}

// Add adds an amount to the bucket of now.
func (r *RollingSum) Add(now time.Duration, amount float64) {
	r.advance(now)
	r.sums[r.last%bucketCount] += amount
}

// Sum returns the sum over the last ten buckets. It doesn't modify the receiver: most sums of a large fleet
// are zero and are read often.
func (r *RollingSum) Sum(now time.Duration) float64 {
	current := int64(now / r.BucketWidth)
	if current-r.last >= bucketCount {
		return 0
	}
	sum := 0.0
	for bucket := max(current, r.last) - bucketCount + 1; bucket <= r.last; bucket++ {
		if bucket >= 0 {
			sum += r.sums[bucket%bucketCount]
		}
	}
	return sum
}

// PerSecond returns the mean rate per second over the last ten buckets, or since the start if that is shorter.
func (r *RollingSum) PerSecond(now time.Duration) float64 {
	return r.Sum(now) / min(max(now, r.BucketWidth), bucketCount*r.BucketWidth).Seconds()
}

// RunningMean is an exact mean at first and an exponential moving average later.
type RunningMean struct {
	Value   float64
	samples float64
}

// Add adds a sample with the given weight, or 1/n for the n-th sample if that is larger.
func (m *RunningMean) Add(sample, weight float64) {
	m.samples++
	m.Value += (sample - m.Value) * max(weight, 1/m.samples)
}

// ValueOr returns the mean, or fallback without samples.
func (m *RunningMean) ValueOr(fallback float64) float64 {
	if m.samples == 0 {
		return fallback
	}
	return m.Value
}

// KeyedSums keeps a rolling sum for each key.
type KeyedSums struct {
	BucketWidth time.Duration
	sums        map[uint64]*RollingSum
}

// Add adds an amount to the sum of a key.
func (t *KeyedSums) Add(key uint64, now time.Duration, amount float64) {
	if t.sums == nil {
		t.sums = map[uint64]*RollingSum{}
	}
	if t.sums[key] == nil {
		t.sums[key] = &RollingSum{BucketWidth: t.BucketWidth}
	}
	t.sums[key].Add(now, amount)
}

// Sum returns the sum of a key.
func (t *KeyedSums) Sum(key uint64, now time.Duration) float64 {
	if r := t.sums[key]; r != nil {
		return r.Sum(now)
	}
	return 0
}

// DropEmpty drops keys whose sum is zero.
func (t *KeyedSums) DropEmpty(now time.Duration) {
	for key, r := range t.sums {
		if r.Sum(now) == 0 {
			delete(t.sums, key)
		}
	}
}
