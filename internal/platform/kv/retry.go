package kv

import (
	"context"
	"time"

	"egrethaven/internal/platform/pause"
)

const (
	// minBackoff and maxBackoff bound the wait before a read is sent again.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 2 * time.Second
	// readAttempts bounds how often one read is sent.
	readAttempts = 4
)

// read sends a request up to readAttempts times. A read has no effect, so a
// lost answer is as good as a refusal.
func (c *Client) read(ctx context.Context, call func(context.Context) error) Status {
	for i := range readAttempts {
		if i > 0 && !pause.Sleep(ctx, c.backoff(i)) {
			break
		}
		if !c.budget.reads.wait(ctx) {
			c.counts.overBudget.Add(1)
			break
		}
		c.counts.reads.Add(1)
		s, throttled := status(call(ctx))
		c.note(s, throttled)
		if s != Unknown && s != Down {
			return s
		}
	}
	return Down
}

// write sends a request once.
func (c *Client) write(ctx context.Context, call func(context.Context) error) Status {
	if !c.budget.writes.wait(ctx) {
		c.counts.overBudget.Add(1)
		return Down
	}
	c.counts.writes.Add(1)
	s, throttled := status(call(ctx))
	c.note(s, throttled)
	return s
}

// watch sends a request once and gives it the time to wait. A watch that the
// caller ended is Absent.
func (c *Client) watch(ctx context.Context, call func(context.Context) error) Status {
	if !c.budget.watches.enter() {
		c.counts.overBudget.Add(1)
		return Down
	}
	defer c.budget.watches.leave()
	if !c.budget.reads.wait(ctx) {
		c.counts.overBudget.Add(1)
		return Down
	}
	c.counts.watches.Add(1)
	s, throttled := status(call(ctx))
	if ctx.Err() != nil {
		return Absent
	}
	if s == Unknown {
		s = Down
	}
	c.note(s, throttled)
	return s
}

// backoff draws the wait before attempt i: full jitter under a doubling bound.
func (c *Client) backoff(i int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fullJitter(c.random, i)
}
