package once

import (
	"context"

	"egrethaven/internal/platform/tokenbucket"
)

const (
	// minBurst and maxBurst bound the unused commits that a node may keep.
	minBurst = 15
	maxBurst = 100
	// burstShare is the number of members that add one to the burst.
	burstShare = 3
)

// pace spreads the commits of late buckets. A caller that sends a backlog
// touches a bucket with each key; without a bound that alone would use up the
// writes that the service takes.
type pace struct {
	tokens tokenbucket.Bucket
}

// wait takes this node's next share of a rate that all members share. It is
// false when the context would end first.
func (p *pace) wait(ctx context.Context, rate float64, members int) bool {
	members = max(1, members)
	return p.tokens.Wait(ctx, tokenbucket.Rate{PerSecond: rate / float64(members), Burst: burst(members)})
}

// burst grows with the fleet: there a node owns buckets seldom, but then many
// commits in a row.
func burst(members int) float64 {
	return float64(min(maxBurst, max(minBurst, members/burstShare)))
}
