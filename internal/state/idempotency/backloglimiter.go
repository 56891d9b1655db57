package idempotency

import (
	"context"

	"egrethaven/internal/platform/tokenbucket"
)

const (
	// minBurst and maxBurst bound the burst of a node's token bucket.
	minBurst = 15
	maxBurst = 100
	// membersPerBurst is the number of members that add one token to the burst.
	membersPerBurst = 3
)

// backlogLimiter limits the rate of commits to backlog buckets. A caller that
// sends a backlog touches a bucket with almost every key, which alone could use
// up the write rate of the key-value service.
type backlogLimiter struct {
	tokens tokenbucket.Bucket
}

// wait takes a token of this node's share of a rate, in commits per second, of
// all members. It returns false when ctx would end first.
func (l *backlogLimiter) wait(ctx context.Context, rate float64, members int) bool {
	members = max(1, members)
	return l.tokens.Wait(ctx, tokenbucket.Rate{PerSecond: rate / float64(members), Burst: burst(members)})
}

// burst returns the depth of the token bucket. In a large fleet a node owns
// backlog buckets seldom, but then commits many in a row.
func burst(members int) float64 {
	return float64(min(maxBurst, max(minBurst, members/membersPerBurst)))
}
