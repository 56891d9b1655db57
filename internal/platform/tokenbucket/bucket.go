// Package tokenbucket provides a token bucket that limits the rate of calls. Callers can
// wait for a token; tokens are reserved in the order of the calls.
//
// # Usage
//
//	var b tokenbucket.Bucket
//	if !b.Wait(ctx, tokenbucket.Rate{PerSecond: 30, Burst: 30}) {
//		// no token in time: don't make the call
//	}
package tokenbucket

import (
	"context"
	"sync"
	"time"

	"egrethaven/internal/platform/pause"
)

// Rate configures the limit of a Bucket.
type Rate struct {
	// PerSecond is the number of tokens that are added per second.
	PerSecond float64
	// Burst is the capacity of the bucket in tokens. Values below 1 count as 1.
	Burst float64
}

// Bucket is a token bucket. The zero value is a full bucket. It is safe for concurrent
// use.
type Bucket struct {
	mu sync.Mutex
	// tokens is the number of tokens at the time updated. It is negative if
	// future tokens are reserved.
	tokens  float64
	updated time.Time
}

// Wait waits until a token is available and takes it. It returns false if ctx ends first.
// If the token would be available only after the deadline of ctx, or after an hour if
// ctx has no deadline, Wait returns false immediately and takes none.
func (b *Bucket) Wait(ctx context.Context, r Rate) bool {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(time.Hour)
	}
	delay, ok := b.Reserve(time.Now(), deadline, r)
	if !ok || delay <= 0 {
		return ok
	}
	return pause.Sleep(ctx, delay)
}

// Allow takes a token if one is available at the time now. Otherwise, it returns false.
func (b *Bucket) Allow(now time.Time, r Rate) bool {
	_, ok := b.Reserve(now, now, r)
	return ok
}

// update adds the tokens since the last update. The lock is held.
func (b *Bucket) update(now time.Time, r Rate) {
	depth := max(1, r.Burst)
	if b.updated.IsZero() {
		b.tokens = depth
	} else {
		b.tokens = min(depth, b.tokens+now.Sub(b.updated).Seconds()*r.PerSecond)
	}
	b.updated = now
}

// Tokens returns the number of tokens at the time now.
func (b *Bucket) Tokens(now time.Time, r Rate) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(now, r)
	return b.tokens
}

// Set sets the number of tokens at the time now.
func (b *Bucket) Set(now time.Time, tokens float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens, b.updated = tokens, now
}

// Return returns a token that was taken for a call that was not made.
func (b *Bucket) Return() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens++
}

// Reserve reserves the next token and returns the delay until it is available. If this is
// later than deadline, Reserve returns false and reserves none.
func (b *Bucket) Reserve(now, deadline time.Time, r Rate) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(now, r)
	delay := time.Duration(0)
	if b.tokens < 1 {
		delay = time.Duration((1 - b.tokens) / r.PerSecond * float64(time.Second))
	}
	if now.Add(delay).After(deadline) {
		return 0, false
	}
	b.tokens--
	return delay, true
}
