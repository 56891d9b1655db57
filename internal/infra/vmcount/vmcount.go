// Package vmcount tracks the number of VMs by which something is divided. It increases at once
// and decreases with a delay, as too high a number only leaves some of it unused.
//
// # Usage
//
//	var c vmcount.Counter
//	n := c.Update(time.Now(), len(registered))
package vmcount

import "time"

// decreaseDelay is how long a lower number of VMs has to last before it is used.
// After a store outage all leases may expire at once, and each VM would open the
// connections of many. It is half of the time to live of a VM's registration.
const decreaseDelay = 15 * time.Second

// Counter tracks a number of VMs. The zero value has seen none.
type Counter struct {
	// Current is the number to use.
	Current int
	// maxBelow is the highest number seen since belowSince, when the number fell
	// below Current. belowSince is zero if it is not below.
	maxBelow   int
	belowSince time.Time
}

// Update records the number of registered VMs and returns the number to use.
func (c *Counter) Update(now time.Time, registered int) int {
	switch {
	case registered >= c.Current:
		*c = Counter{Current: registered}
	case c.belowSince.IsZero():
		c.maxBelow, c.belowSince = registered, now
	default:
		c.maxBelow = max(c.maxBelow, registered)
	}
	if !c.belowSince.IsZero() && now.Sub(c.belowSince) >= decreaseDelay {
		*c = Counter{Current: c.maxBelow}
	}
	return c.Current
}

// NextChange returns when a lower number takes effect; zero if there is none.
func (c *Counter) NextChange() time.Time {
	if c.belowSince.IsZero() {
		return time.Time{}
	}
	return c.belowSince.Add(decreaseDelay)
}
