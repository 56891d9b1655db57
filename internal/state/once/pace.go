package once

import (
	"context"
	"sync"
	"time"
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
	mu     sync.Mutex
	tokens float64
	at     time.Time
}

// wait takes this node's next share of a rate that all members share. It is
// false, and takes none, when the context would end first.
func (p *pace) wait(ctx context.Context, rate float64, members int) bool {
	members = max(1, members)
	d, ok := p.reserve(ctx, time.Now(), rate/float64(members), burst(members))
	if !ok || d <= 0 {
		return ok
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

// burst grows with the fleet: there a node owns buckets seldom, but then many
// commits in a row.
func burst(members int) float64 {
	return float64(min(maxBurst, max(minBurst, members/burstShare)))
}

// reserve takes the next token and tells how long until it is due.
func (p *pace) reserve(ctx context.Context, now time.Time, rate, burst float64) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.at.IsZero() {
		p.tokens = burst
	}
	p.tokens = min(burst, p.tokens+now.Sub(p.at).Seconds()*rate)
	p.at = now
	d := time.Duration(0)
	if p.tokens < 1 {
		d = time.Duration((1 - p.tokens) / rate * float64(time.Second))
	}
	if end, ok := ctx.Deadline(); ok && now.Add(d).After(end) {
		return 0, false
	}
	p.tokens--
	return d, true
}
