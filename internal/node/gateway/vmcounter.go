package gateway

import "time"

// decreaseDelay is how long a lower number of VMs has to last before it is used.
// After a store outage all leases may expire at once, and each VM would open the
// connections of many. It is half of leaseTTL.
const decreaseDelay = 15 * time.Second

// vmCounter tracks the number of VMs that connections and extra sends are divided
// by. It increases at once and decreases with a delay, as too high a number only
// leaves some capacity unused.
type vmCounter struct {
	current int
	// maxBelow is the highest number seen since belowSince, when the number fell
	// below current. belowSince is zero if it is not below.
	maxBelow   int
	belowSince time.Time
}

// update records the number of registered VMs and returns the number to use.
func (c *vmCounter) update(now time.Time, registered int) int {
	switch {
	case registered >= c.current:
		*c = vmCounter{current: registered}
	case c.belowSince.IsZero():
		c.maxBelow, c.belowSince = registered, now
	default:
		c.maxBelow = max(c.maxBelow, registered)
	}
	if !c.belowSince.IsZero() && now.Sub(c.belowSince) >= decreaseDelay {
		*c = vmCounter{current: c.maxBelow}
	}
	return c.current
}

// nextChange returns when a lower number takes effect; zero if there is none.
func (c *vmCounter) nextChange() time.Time {
	if c.belowSince.IsZero() {
		return time.Time{}
	}
	return c.belowSince.Add(decreaseDelay)
}
