package kv

import (
	"math/rand/v2"
	"time"
)

// fullJitter draws a wait that is uniform below a bound, which doubles with
// each attempt.
func fullJitter(r *rand.Rand, attempt int) time.Duration {
	bound := minBackoff << min(attempt, 16)
	return time.Duration(r.Int64N(int64(min(bound, maxBackoff)) + 1))
}
