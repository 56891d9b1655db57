package gateway

import "time"

// fallHold is how long a lower number of VMs has to last before it is
// believed: leases may lapse all at once when the store was away, and each VM
// would then open what is meant for many. Half of leaseTTL.
const fallHold = 15 * time.Second

// vmCount is the number of VMs that connections and extra sends are divided
// by. It rises at once and falls late, as too high a number only costs a
// little room.
type vmCount struct {
	n int
	// low is the highest number seen since it was below n, and since when it
	// has been; zero if it is not.
	low   int
	since time.Time
}

// take takes the number of registered VMs and returns the one to count with.
func (c *vmCount) take(now time.Time, registered int) int {
	switch {
	case registered >= c.n:
		*c = vmCount{n: registered}
	case c.since.IsZero():
		c.low, c.since = registered, now
	default:
		c.low = max(c.low, registered)
	}
	if !c.since.IsZero() && now.Sub(c.since) >= fallHold {
		*c = vmCount{n: c.low}
	}
	return c.n
}

// recheck returns when a lower number will be believed; zero if none is seen.
func (c *vmCount) recheck() time.Time {
	if c.since.IsZero() {
		return time.Time{}
	}
	return c.since.Add(fallHold)
}
