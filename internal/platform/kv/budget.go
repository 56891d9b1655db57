package kv

import (
	"context"
	"sync/atomic"

	"egrethaven/internal/platform/tokens"
)

// Budget bounds what one node asks of the service. Zero means no bound.
type Budget struct {
	// WritesPerSecond bounds swaps, deletions and lease calls.
	WritesPerSecond float64
	// ReadsPerSecond bounds gets, lists and the starts of watches.
	ReadsPerSecond float64
	// Watches bounds how many watches wait at a time.
	Watches int
}

// burst is how many seconds of unused budget are kept.
const burst = 1.0

// budget is a Budget at work.
type budget struct {
	writes, reads bucket
	watches       slots
}

func newBudget(b Budget) budget {
	return budget{
		writes:  bucket{rate: b.WritesPerSecond},
		reads:   bucket{rate: b.ReadsPerSecond},
		watches: slots{limit: int64(b.Watches)},
	}
}

// bucket bounds the rate of one sort of calls; 0 is no bound.
type bucket struct {
	rate   float64
	tokens tokens.Bucket
}

// wait takes a token, after a wait if need be. It is false when the context
// ends before the token would be due.
func (b *bucket) wait(ctx context.Context) bool {
	return b.rate <= 0 || b.tokens.Wait(ctx, tokens.Rate{PerSecond: b.rate, Depth: b.rate * burst})
}

// slots bounds how many callers are inside at a time; 0 is no bound.
type slots struct {
	limit int64
	used  atomic.Int64
}

func (s *slots) enter() bool {
	if n := s.used.Add(1); s.limit > 0 && n > s.limit {
		s.used.Add(-1)
		return false
	}
	return true
}

func (s *slots) leave() { s.used.Add(-1) }
