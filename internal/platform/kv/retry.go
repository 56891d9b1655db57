package kv

import (
	"context"
	"time"

	"egrethaven/internal/platform/pause"
)

const (
	// minBackoff and maxBackoff limit the upper bound of the delay before a read
	// is retried.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 2 * time.Second
	// readAttempts limits the number of attempts of a read.
	readAttempts = 4
)

// read makes up to readAttempts attempts. Since a read has no effect, it can be
// retried even if its answer is lost.
func (c *Client) read(ctx context.Context, call func(context.Context) error) Status {
	for attempt := range readAttempts {
		if attempt > 0 && !pause.Sleep(ctx, c.backoff(attempt)) {
			break
		}
		if !c.budget.reads.waitToken(ctx) {
			c.counts.overBudget.Add(1)
			break
		}
		c.counts.reads.Add(1)
		s, throttled := status(call(ctx))
		c.recordStatus(s, throttled)
		if s != Unknown && s != Unavailable {
			return s
		}
	}
	return Unavailable
}

// write makes one attempt, since a write whose answer is lost may have taken effect.
func (c *Client) write(ctx context.Context, call func(context.Context) error) Status {
	if !c.budget.writes.waitToken(ctx) {
		c.counts.overBudget.Add(1)
		return Unavailable
	}
	c.counts.writes.Add(1)
	s, throttled := status(call(ctx))
	c.recordStatus(s, throttled)
	return s
}

// watch makes one attempt. It returns NotFound if ctx ends during the call.
func (c *Client) watch(ctx context.Context, call func(context.Context) error) Status {
	if !c.budget.watches.acquire() {
		c.counts.overBudget.Add(1)
		return Unavailable
	}
	defer c.budget.watches.release()
	if !c.budget.reads.waitToken(ctx) {
		c.counts.overBudget.Add(1)
		return Unavailable
	}
	c.counts.watches.Add(1)
	s, throttled := status(call(ctx))
	if ctx.Err() != nil {
		return NotFound
	}
	if s == Unknown {
		s = Unavailable
	}
	c.recordStatus(s, throttled)
	return s
}

// backoff returns the delay before a retry; the first retry is attempt 1.
func (c *Client) backoff(attempt int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fullJitter(c.random, attempt)
}
