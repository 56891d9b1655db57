package kv

import (
	"fmt"
	"sync"
	"time"

	"egrethaven/internal/observe/event"
)

// eventGap is the least time between two events of one sort about single
// calls.
const eventGap = time.Second

// outage knows since when the service has not answered.
type outage struct {
	mu    sync.Mutex
	since time.Time
	// throttled and unsure are when the events of single calls were last sent.
	throttled, unsure time.Time
}

// due tells whether an event may be sent again, and notes that it is.
func due(last *time.Time, now time.Time) bool {
	if now.Sub(*last) < eventGap {
		return false
	}
	*last = now
	return true
}

// note tells the outage state how a call ended. A throttled call shows that
// the service is up.
func (c *Client) note(s Status, throttled bool) {
	o := &c.outage
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case throttled:
		c.counts.down.Add(1)
		c.counts.throttled.Add(1)
		if due(&o.throttled, time.Now()) {
			c.config.Events.Emit(event.PlatformThrottled, c.config.Addr, "rate refused")
		}
	case s == Unknown:
		c.counts.unknown.Add(1)
		if due(&o.unsure, time.Now()) {
			c.config.Events.Emit(event.PlatformUnsure, c.config.Addr, "answer lost")
		}
	case s == Down && o.since.IsZero():
		c.counts.down.Add(1)
		o.since = time.Now()
		c.config.Events.Emit(event.PlatformDown, c.config.Addr, "not reached or refused")
	case s == Down:
		c.counts.down.Add(1)
	case !o.since.IsZero():
		d := time.Since(o.since).Round(time.Millisecond)
		o.since = time.Time{}
		c.config.Events.Emit(event.PlatformBack, c.config.Addr, fmt.Sprintf("after %v", d))
	}
}

// Outage is how long the service has refused or not been reached; 0 while it
// answers.
func (c *Client) Outage() time.Duration {
	c.outage.mu.Lock()
	defer c.outage.mu.Unlock()
	if c.outage.since.IsZero() {
		return 0
	}
	return time.Since(c.outage.since)
}
