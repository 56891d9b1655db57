// Package clock is a hybrid logical clock: it follows the wall clock, never
// goes back, and never runs behind a stamp that it was shown, so that an
// effect is stamped after its cause on any process.
//
// # Usage
//
//	c := clock.New(clock.Config{Now: time.Now})
//	s := c.Stamp()     // a local event
//	c.Observe(remote)  // a stamp came with a message
package clock

import (
	"cmp"
	"math"
	"sync"
	"time"

	"egrethaven/internal/observe/event"
)

// MaxAhead is how far a stamp of another process may be ahead of the local
// wall clock and still be followed; a broken clock elsewhere stays there.
const MaxAhead = time.Minute

// Config sets up a Clock.
type Config struct {
	// Now is the wall clock; time.Now when nil.
	Now func() time.Time
}

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	now  func() time.Time
	mu   sync.Mutex
	last event.Stamp
}

// New returns a clock.
func New(c Config) *Clock {
	if c.Now == nil {
		c.Now = time.Now
	}
	return &Clock{now: c.Now}
}

// Stamp returns a stamp above every one returned or observed before.
func (c *Clock) Stamp() event.Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = next(c.last, c.now().UnixMilli())
	return c.last
}

// Observe makes later stamps come after s. It returns false, and ignores s,
// when s is more than MaxAhead ahead of the wall clock.
func (c *Clock) Observe(s event.Stamp) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.WallMS > c.now().Add(MaxAhead).UnixMilli() {
		return false
	}
	if Compare(s, c.last) > 0 {
		c.last = s
	}
	return true
}

// next is the least stamp above last that is not behind the wall clock.
func next(last event.Stamp, wallMS int64) event.Stamp {
	if wallMS > last.WallMS {
		return event.Stamp{WallMS: wallMS}
	}
	if last.Logical == math.MaxUint32 {
		return event.Stamp{WallMS: last.WallMS + 1}
	}
	return event.Stamp{WallMS: last.WallMS, Logical: last.Logical + 1}
}

// Compare orders stamps.
func Compare(a, b event.Stamp) int {
	return cmp.Or(cmp.Compare(a.WallMS, b.WallMS), cmp.Compare(a.Logical, b.Logical))
}
