// Package latency estimates quantiles of recent call latency.
//
// Latencies are counted in a histogram with exponential buckets. When the total
// weight reaches a limit, every bucket is halved. Old values thus decay without
// a clock, and the estimate follows a change within a few thousand calls.
//
// # Usage
//
//	h := latency.New(latency.Config{})
//	h.Add(d)
//	d, ok := h.Quantile(0.98)
package latency

import (
	"math"
	"sync"
	"time"
)

const (
	// firstBound is the upper bound of the first bucket.
	firstBound = 20 * time.Microsecond
	// ratio is the ratio of the bounds of neighbouring buckets.
	ratio = 1.04
	// buckets is the number of buckets, which reach up to about ten minutes.
	buckets = 440
	// fullWeight is the weight at which every bucket is halved.
	fullWeight = 4096
	// defaultMinWeight is the default minimum weight for an estimate.
	defaultMinWeight = 200
)

// Config describes a Histogram.
type Config struct {
	// MinWeight is the minimum weight for an estimate; 0 selects the default of 200.
	MinWeight float64
}

// Histogram holds recent latencies. It is safe for concurrent use.
type Histogram struct {
	minWeight float64
	m         sync.Mutex
	weight    float64
	counts    [buckets]float64
}

// New returns an empty histogram.
func New(c Config) *Histogram {
	if c.MinWeight <= 0 {
		c.MinWeight = defaultMinWeight
	}
	return &Histogram{minWeight: c.MinWeight}
}

// Add records latencies.
func (h *Histogram) Add(ds ...time.Duration) {
	h.m.Lock()
	defer h.m.Unlock()
	for _, d := range ds {
		h.counts[bucket(d)]++
		h.weight++
	}
	if h.weight >= fullWeight {
		h.halve()
	}
}

// Quantile returns the q-quantile of recent latencies, with q between 0 and 1.
// It returns false until the minimum weight is reached.
func (h *Histogram) Quantile(q float64) (time.Duration, bool) {
	h.m.Lock()
	defer h.m.Unlock()
	if h.weight < h.minWeight {
		return 0, false
	}
	left := q * h.weight
	for i, c := range h.counts {
		left -= c
		if left <= 0 {
			return bound(i), true
		}
	}
	return bound(buckets - 1), true
}

// halve halves the weight of all recorded values.
func (h *Histogram) halve() {
	h.weight = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.weight += h.counts[i]
	}
}

// bucket returns the index of the bucket that holds d.
func bucket(d time.Duration) int {
	if d <= firstBound {
		return 0
	}
	i := int(math.Ceil(math.Log(float64(d)/float64(firstBound)) / math.Log(ratio)))
	return min(i, buckets-1)
}

// bound returns the upper bound of bucket i.
func bound(i int) time.Duration {
	return time.Duration(float64(firstBound) * math.Pow(ratio, float64(i)))
}
