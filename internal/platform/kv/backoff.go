package kv

import (
	"math/rand/v2"
	"time"
)

// fullJitter returns a random delay for exponential backoff with full jitter. The
// upper limit doubles with each attempt, up to maxBackoff.
func fullJitter(r *rand.Rand, attempt int) time.Duration {
	limit := minBackoff << min(attempt, 16)
	return time.Duration(r.Int64N(int64(min(limit, maxBackoff)) + 1))
}
