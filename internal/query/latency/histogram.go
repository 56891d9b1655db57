// Package latency estimates quantiles of recent call latency.
//
// Values fall into buckets of equal ratio. Old values lose weight: whenever
// the total weight passes a limit, every bucket is halved, so the estimate
// follows a change within a few thousand calls and needs no clock.
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
	// lowest is the upper bound of the first bucket.
	lowest = 20 * time.Microsecond
	// ratio between neighbouring buckets.
	ratio = 1.04
	// buckets cover lowest to about ten minutes.
	buckets = 440
	// fullWeight is the weight at which every bucket is halved.
	fullWeight = 4096
	// defaultLeast is the weight that an estimate needs.
	defaultLeast = 200
)

// Config describes a Histogram.
type Config struct {
	// Least is the weight that an estimate needs; 0 is the default.
	Least float64
}

// Histogram holds recent latencies. It is safe for concurrent use.
type Histogram struct {
	least  float64
	m      sync.Mutex
	weight float64
	counts [buckets]float64
}

// New returns an empty histogram.
func New(c Config) *Histogram {
	if c.Least <= 0 {
		c.Least = defaultLeast
	}
	return &Histogram{least: c.Least}
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

// Quantile returns the latency below which the share q of recent calls lies.
// It reports false until enough calls were recorded.
func (h *Histogram) Quantile(q float64) (time.Duration, bool) {
	h.m.Lock()
	defer h.m.Unlock()
	if h.weight < h.least {
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

// halve gives every recorded value half its weight.
func (h *Histogram) halve() {
	h.weight = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.weight += h.counts[i]
	}
}

// bucket returns the index of the bucket that holds d.
func bucket(d time.Duration) int {
	if d <= lowest {
		return 0
	}
	i := int(math.Ceil(math.Log(float64(d)/float64(lowest)) / math.Log(ratio)))
	return min(i, buckets-1)
}

// bound returns the upper bound of bucket i.
func bound(i int) time.Duration {
	return time.Duration(float64(lowest) * math.Pow(ratio, float64(i)))
}
