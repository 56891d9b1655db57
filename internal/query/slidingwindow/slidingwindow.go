// Package slidingwindow counts what happened within a span of time that ends now.
//
// # Usage
//
//	c := slidingwindow.New(500*time.Millisecond, 20)
//	c.Add(now)
//	n := c.Total(now)
package slidingwindow

import "time"

// Counter is a count over a number of steps. It is not safe for concurrent use.
type Counter struct {
	step   time.Duration
	start  time.Time
	counts []int
	// head is the number of the latest step.
	head  int64
	total int
}

// New returns a count over the latest steps of the given length, the one that
// has just begun included.
func New(now time.Time, step time.Duration, steps int) *Counter {
	return &Counter{step: step, start: now, counts: make([]int, steps)}
}

// Add counts one event.
func (c *Counter) Add(now time.Time) {
	c.advance(now)
	c.counts[c.head%int64(len(c.counts))]++
	c.total++
}

// Total returns how many events are within the steps.
func (c *Counter) Total(now time.Time) int {
	c.advance(now)
	return c.total
}

// advance drops the steps that are over.
func (c *Counter) advance(now time.Time) {
	n := int64(len(c.counts))
	for step := int64(now.Sub(c.start) / c.step); c.head < step; c.head++ {
		if step-c.head > n {
			clear(c.counts)
			c.total, c.head = 0, step
			return
		}
		i := (c.head + 1) % n
		c.total -= c.counts[i]
		c.counts[i] = 0
	}
}
