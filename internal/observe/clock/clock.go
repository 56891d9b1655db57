// Package clock provides a hybrid logical clock. Its timestamps follow the wall clock,
// increase strictly, and are later than every timestamp observed from another process,
// so that an effect always has a later timestamp than its cause.
//
// # Usage
//
//	c := clock.New(clock.Config{Now: time.Now})
//	s := c.Stamp()    // timestamps a local event
//	c.Observe(remote)  // takes the timestamp of a received message into account
package clock

import (
	"cmp"
	"math"
	"sync"
	"time"

	"egrethaven/internal/observe/event"
)

// MaxFutureOffset is the maximum offset of an observed timestamp ahead of the local wall
// clock. Timestamps further ahead are ignored, so that a wrong clock of one process
// does not affect the others.
const MaxFutureOffset = time.Minute

// Config configures a Clock.
type Config struct {
	// Now returns the wall-clock time. The default is time.Now.
	Now func() time.Time
}

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	now  func() time.Time
	mu   sync.Mutex
	last event.Stamp
}

// New returns a Clock.
func New(c Config) *Clock {
	if c.Now == nil {
		c.Now = time.Now
	}
	return &Clock{now: c.Now}
}

// Stamp returns a timestamp later than every timestamp returned or observed before.
func (c *Clock) Stamp() event.Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = next(c.last, c.now().UnixMilli())
	return c.last
}

// Observe ensures that subsequent timestamps are later than s. If s is more than
// MaxFutureOffset ahead of the wall clock, Observe ignores it and returns false.
func (c *Clock) Observe(s event.Stamp) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.WallMS > c.now().Add(MaxFutureOffset).UnixMilli() {
		return false
	}
	if Compare(s, c.last) > 0 {
		c.last = s
	}
	return true
}

// next returns the earliest timestamp later than last that is not behind the wall
// clock.
func next(last event.Stamp, wallMS int64) event.Stamp {
	if wallMS > last.WallMS {
		return event.Stamp{WallMS: wallMS}
	}
	if last.Logical == math.MaxUint32 {
		return event.Stamp{WallMS: last.WallMS + 1}
	}
	return event.Stamp{WallMS: last.WallMS, Logical: last.Logical + 1}
}

// Compare returns -1 if a is earlier than b, 0 if they are equal, and 1 otherwise.
func Compare(a, b event.Stamp) int {
	return cmp.Or(cmp.Compare(a.WallMS, b.WallMS), cmp.Compare(a.Logical, b.Logical))
}
