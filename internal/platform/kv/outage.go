package kv

import (
	"fmt"
	"sync"
	"time"

	"egrethaven/internal/observe/event"
)

// minEventInterval is the minimum interval between two events with the same number
// about single calls.
const minEventInterval = time.Second

// outage is the state of outage detection.
type outage struct {
	mu sync.Mutex
	// since is the start of the current outage, zero if there is none.
	since time.Time
	// lastThrottled and lastUnsure are the times of the last events about
	// single calls.
	lastThrottled, lastUnsure time.Time
}

// allowEvent reports whether minEventInterval has passed since last, and if so sets
// last to now.
func allowEvent(last *time.Time, now time.Time) bool {
	if now.Sub(*last) < minEventInterval {
		return false
	}
	*last = now
	return true
}

// recordStatus counts the outcome of a call, detects the start and the end of an
// outage, and emits events. A throttled call does not start an outage,
// since it shows that the service is up.
func (c *Client) recordStatus(s Status, throttled bool) {
	o := &c.outage
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case throttled:
		c.counts.down.Add(1)
		c.counts.throttled.Add(1)
		if allowEvent(&o.lastThrottled, time.Now()) {
			c.config.Events.Emit(event.PlatformThrottled, c.config.Addr, "call refused: rate limit exceeded")
		}
	case s == Unknown:
		c.counts.unknown.Add(1)
		if allowEvent(&o.lastUnsure, time.Now()) {
			c.config.Events.Emit(event.PlatformUnsure, c.config.Addr, "answer lost: the effect of the call is unknown")
		}
	case s == Unavailable && o.since.IsZero():
		c.counts.down.Add(1)
		o.since = time.Now()
		c.config.Events.Emit(event.PlatformDown, c.config.Addr, "service not reached or call refused")
	case s == Unavailable:
		c.counts.down.Add(1)
	case !o.since.IsZero():
		d := time.Since(o.since).Round(time.Millisecond)
		o.since = time.Time{}
		c.config.Events.Emit(event.PlatformBack, c.config.Addr, fmt.Sprintf("after an outage of %v", d))
	}
}

// OutageDuration returns the duration of the current outage, 0 if there is none. An outage
// lasts from the first call that is refused or does not reach the service to the next
// call that is answered.
func (c *Client) OutageDuration() time.Duration {
	c.outage.mu.Lock()
	defer c.outage.mu.Unlock()
	if c.outage.since.IsZero() {
		return 0
	}
	return time.Since(c.outage.since)
}
