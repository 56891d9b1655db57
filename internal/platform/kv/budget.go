package kv

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
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

// bucket is a token bucket. Callers wait in line for its tokens.
type bucket struct {
	rate float64

	mu     sync.Mutex
	tokens float64
	at     time.Time
}

// wait takes a token, after a wait if need be. It is false, and takes none,
// when the context ends before the token would be due.
func (b *bucket) wait(ctx context.Context) bool {
	if b.rate <= 0 {
		return true
	}
	d, ok := b.reserve(ctx, time.Now())
	if !ok {
		return false
	}
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// reserve takes the next token and tells how long until it is due.
func (b *bucket) reserve(ctx context.Context, now time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	deep := max(1, b.rate*burst)
	if b.at.IsZero() {
		b.tokens = deep
	} else {
		b.tokens = min(deep, b.tokens+now.Sub(b.at).Seconds()*b.rate)
	}
	b.at = now
	d := time.Duration(0)
	if b.tokens < 1 {
		d = time.Duration((1 - b.tokens) / b.rate * float64(time.Second))
	}
	if end, ok := ctx.Deadline(); ok && now.Add(d).After(end) {
		return 0, false
	}
	b.tokens--
	return d, true
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
