package kv

import (
	"context"
	"sync/atomic"

	"egrethaven/internal/platform/tokenbucket"
)

// Budget limits the calls of one node to the service. Zero means no limit.
type Budget struct {
	// WritesPerSecond limits swaps, deletions and lease calls.
	WritesPerSecond float64
	// ReadsPerSecond limits gets, lists and the starts of watches.
	ReadsPerSecond float64
	// MaxWatches limits the number of waiting watches.
	MaxWatches int
}

// burstSeconds is the capacity of a token bucket in seconds of its rate.
const burstSeconds = 1.0

// budget enforces a Budget.
type budget struct {
	writes, reads rateLimiter
	watches       semaphore
}

func newBudget(b Budget) budget {
	return budget{
		writes:  rateLimiter{rate: b.WritesPerSecond},
		reads:   rateLimiter{rate: b.ReadsPerSecond},
		watches: semaphore{limit: int64(b.MaxWatches)},
	}
}

// rateLimiter limits calls to rate per second. A rate of 0 means no limit.
type rateLimiter struct {
	rate   float64
	tokens tokenbucket.Bucket
}

// waitToken waits for a token and takes it. It returns false if ctx ends before a
// token is available.
func (l *rateLimiter) waitToken(ctx context.Context) bool {
	return l.rate <= 0 || l.tokens.Wait(ctx, tokenbucket.Rate{PerSecond: l.rate, Burst: l.rate * burstSeconds})
}

// semaphore limits the number of concurrent calls. A limit of 0 means no limit.
type semaphore struct {
	limit int64
	inUse atomic.Int64
}

// acquire returns false, without waiting, if the limit is reached.
func (s *semaphore) acquire() bool {
	if n := s.inUse.Add(1); s.limit > 0 && n > s.limit {
		s.inUse.Add(-1)
		return false
	}
	return true
}

func (s *semaphore) release() { s.inUse.Add(-1) }
