// Package overlap makes a read again while earlier attempts are unanswered, and
// returns the first answer.
//
// A server that swallowed a request during an outage never answers it, even when it
// works again, but a slow one answers late. As a caller cannot tell them apart, later
// attempts do not end the earlier ones.
//
// # Usage
//
//	c := overlap.Config{First: 500 * time.Millisecond, Interval: 700 * time.Millisecond, Attempts: 3, Limit: 2 * time.Second}
//	v, err := overlap.Read(ctx, c, func(ctx context.Context, attempt int) (Value, error) { ... })
package overlap

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Config configures a read.
type Config struct {
	// First is the time after which an answer to the first attempt is late.
	First time.Duration
	// Interval is the time between later attempts.
	Interval time.Duration
	// Attempts is the maximum number of attempts.
	Attempts int
	// Limit is the time after which all attempts are canceled.
	Limit time.Duration
}

// result is the outcome of an attempt.
type result[T any] struct {
	value T
	err   error
}

// Read calls read until an attempt succeeds. It fails when all attempts under way have
// failed, or with the error of the last one at the limit. All attempts have returned
// when it returns.
func Read[T any](ctx context.Context, c Config, read func(ctx context.Context, attempt int) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	results := make(chan result[T], c.Attempts)
	started, failed := 0, 0
	start := func() {
		attempt := started
		started++
		wg.Go(func() {
			v, err := read(ctx, attempt)
			results <- result[T]{v, err}
		})
	}
	start()
	next := time.NewTimer(c.First)
	defer next.Stop()
	for {
		select {
		case r := <-results:
			if r.err == nil {
				return r.value, nil
			}
			if failed++; failed == started {
				return r.value, errors.Trace(r.err)
			}
		case <-next.C:
			if started < c.Attempts {
				start()
				next.Reset(c.Interval)
			}
		}
	}
}
