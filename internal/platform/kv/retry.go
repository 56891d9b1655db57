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
func (c *Client) read(ctx context.Context, r request) answer {
	for i := range readAttempts {
		if i > 0 && !pause.Sleep(ctx, c.backoff(i)) {
			break
		}
		if !c.budget.reads.wait(ctx) {
			c.counts.overBudget.Add(1)
			break
		}
		c.counts.reads.Add(1)
		a := c.once(ctx, r, c.config.Timeout)
		c.note(a)
		if a.status != Unknown && a.status != Down {
			return a
		}
	}
	return answer{status: Down}
}

// write sends a request once.
func (c *Client) write(ctx context.Context, r request) answer {
	if !c.budget.writes.wait(ctx) {
		c.counts.overBudget.Add(1)
		return answer{status: Down}
	}
	c.counts.writes.Add(1)
	a := c.once(ctx, r, c.config.Timeout)
	c.note(a)
	return a
}

// watch sends a request once and gives it the time to wait. A watch that the
// caller ended is Absent.
func (c *Client) watch(ctx context.Context, r request) answer {
	if !c.budget.watches.enter() {
		c.counts.overBudget.Add(1)
		return answer{status: Down}
	}
	defer c.budget.watches.leave()
	if !c.budget.reads.wait(ctx) {
		c.counts.overBudget.Add(1)
		return answer{status: Down}
	}
	c.counts.watches.Add(1)
	a := c.once(ctx, r, c.config.Wait+c.config.Timeout)
	if ctx.Err() != nil {
		return answer{status: Absent}
	}
	if a.status == Unknown {
		a.status = Down
	}
	c.note(a)
	return a
}

// backoff draws the wait before attempt i: full jitter under a doubling bound.
func (c *Client) backoff(i int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fullJitter(c.random, i)
}
