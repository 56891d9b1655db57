// Package tokens bounds the rate of calls by a token bucket in which callers
// wait in line.
//
// # Usage
//
//	var b tokens.Bucket
//	if !b.Wait(ctx, tokens.Rate{PerSecond: 30, Depth: 30}) {
//		// the call would have come too late: it is not made
//	}
package tokens

import (
	"context"
	"sync"
	"time"

	"egrethaven/internal/platform/pause"
)

// Rate is how many calls are let through.
type Rate struct {
	// PerSecond is the number of tokens that come each second.
	PerSecond float64
	// Depth is the largest number of unused tokens; at least one is kept.
	Depth float64
}

// Bucket holds the unused tokens. The zero value is full.
type Bucket struct {
	mu     sync.Mutex
	tokens float64
	at     time.Time
}

// Wait takes a token, after a wait if need be. It is false when the context
// ends first, and takes none when that can be told beforehand.
func (b *Bucket) Wait(ctx context.Context, r Rate) bool {
	end, ok := ctx.Deadline()
	if !ok {
		end = time.Now().Add(time.Hour)
	}
	d, ok := b.Reserve(time.Now(), end, r)
	if !ok || d <= 0 {
		return ok
	}
	return pause.Sleep(ctx, d)
}

// Take takes a token if there is one now.
func (b *Bucket) Take(now time.Time, r Rate) bool {
	_, ok := b.Reserve(now, now, r)
	return ok
}

// Reserve takes the next token if it is due by end, and tells how long until
// then.
func (b *Bucket) Reserve(now, end time.Time, r Rate) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	depth := max(1, r.Depth)
	if b.at.IsZero() {
		b.tokens = depth
	} else {
		b.tokens = min(depth, b.tokens+now.Sub(b.at).Seconds()*r.PerSecond)
	}
	b.at = now
	d := time.Duration(0)
	if b.tokens < 1 {
		d = time.Duration((1 - b.tokens) / r.PerSecond * float64(time.Second))
	}
	if now.Add(d).After(end) {
		return 0, false
	}
	b.tokens--
	return d, true
}
