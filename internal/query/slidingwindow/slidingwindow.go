// Package slidingwindow counts the events within a time window that ends now.
//
// # Usage
//
//	c := slidingwindow.New(now, 500*time.Millisecond, 20)
//	c.Add(now)
//	n := c.Total(now)
package slidingwindow

import "time"

// Counter counts events over a fixed number of time steps. It is not safe for
// concurrent use.
type Counter struct {
	step  time.Duration
	start time.Time
	// counts is a ring buffer with one count for each step.
	counts []int
	// head is the number of the current step, counted from start.
	head  int64
	total int
}

// New returns a counter over the given number of steps, the current one
// included. Each step lasts the given duration.
func New(now time.Time, step time.Duration, steps int) *Counter {
	return &Counter{step: step, start: now, counts: make([]int, steps)}
}

// Add counts one event.
func (c *Counter) Add(now time.Time) {
	c.advance(now)
	c.counts[c.head%int64(len(c.counts))]++
	c.total++
}

// Total returns the number of events within the window.
func (c *Counter) Total(now time.Time) int {
	c.advance(now)
	return c.total
}

// advance moves the window up to now and drops the expired steps.
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
