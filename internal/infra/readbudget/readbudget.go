// Package readbudget bounds the memory for what peers send, summed over all connections.
//
// Each response has a limit of its own, but a peer in trouble may send many without an end at
// a time. Once their sum reaches the budget, the largest one gives way: its connection is
// aborted, and its memory is used for the others. A response that would become the largest
// itself fails. So small responses go on being read, however many large ones there are.
//
// # Usage
//
//	b := readbudget.New(readbudget.Config{Limit: 32 << 20})
//	c := b.Open(func() { _ = conn.Close() })
//	if err := c.Grow(64 << 10); err != nil { ... } // before these bytes are read
//	aborted := c.Keep(body)                        // or c.Release()
package readbudget

import (
	"runtime"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// maxWait bounds the time for which Grow waits for memory of aborted responses. Their
	// readers release it as soon as they run.
	maxWait = time.Second
	// minKept is the size in bytes above which a response that was read whole counts until
	// it is garbage. Smaller ones are held for as long as a request takes.
	minKept = 64 << 10
	// collectInterval is the minimum time between two runs of the garbage collector for the
	// memory of such responses.
	collectInterval = 100 * time.Millisecond
)

// ErrExhausted is returned by Grow if a response gives way to others.
const ErrExhausted = errors.ConstError("too much memory is in use for responses")

// Config configures a Budget.
type Config struct {
	// Limit is the number of bytes.
	Limit int64
	// ByAge has the claim give way whose size times its age is largest, instead of the
	// largest one. It is for what should arrive at once, such as heads of requests.
	ByAge bool
}

// Budget is the memory for responses. It is safe for concurrent use. A nil Budget has no
// limit.
type Budget struct {
	c  Config
	mu sync.Mutex
	// onAbort is called with the size of a response that gives way.
	onAbort func(size int64)
	// used is the sum of all claims and of kept, which is the memory of responses that were
	// read whole and are not garbage yet.
	used, kept  int64
	claims      map[*Claim]struct{}
	collectedAt time.Time
	// changed is closed when memory is released or a claim is aborted; nil while nobody waits.
	changed chan struct{}
}

// New returns a budget of which nothing is used.
func New(c Config) *Budget {
	return &Budget{c: c, claims: map[*Claim]struct{}{}, onAbort: func(int64) {}}
}

// OnAbort sets a function that is called with the size in bytes of each response that gives
// way. It must not block.
func (b *Budget) OnAbort(f func(size int64)) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.onAbort = f
}

// Claim is the memory for one response. Its methods are safe for concurrent use, and do
// nothing on a nil Claim.
type Claim struct {
	b     *Budget
	abort func()
	// size is in bytes, and aborted is set once abort was called. Both are guarded by b.mu,
	// and so are since, when the claim began to hold memory, kept by ByAge only, and pinned.
	size    int64
	aborted bool
	since   time.Time
	pinned  bool
	// offered is set while the claim gives way before others. It is guarded by b.mu too.
	offered bool
}

// Open returns an empty claim. It may be used for one response after the other. abort ends
// the response, so that its reader calls Release soon; it must not block or call the Budget.
// A claim without abort does not give way to others, and all others give way to it; Grow
// fails if that does not make room.
func (b *Budget) Open(abort func()) *Claim {
	if b == nil {
		return nil
	}
	return &Claim{b: b, abort: abort}
}

// Limit returns the limit in bytes; 0 if there is none.
func (b *Budget) Limit() int64 {
	if b == nil {
		return 0
	}
	return b.c.Limit
}

// Used returns the number of bytes in use.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Grow adds n bytes. It aborts larger responses if there is no room, and waits for their
// memory. The error is ErrExhausted if the response has to give way itself.
func (c *Claim) Grow(n int64) error {
	if c == nil {
		return nil
	}
	b := c.b
	var deadline time.Time
	for {
		b.mu.Lock()
		granted, wait := b.grow(c, n)
		changed := b.changed
		b.mu.Unlock()
		switch {
		case granted:
			return nil
		case !wait:
			return ErrExhausted
		}
		now := time.Now()
		switch {
		case deadline.IsZero():
			deadline = now.Add(maxWait)
		case !now.Before(deadline):
			return ErrExhausted
		}
		// The collector has to be started again if what was in use has become garbage since.
		select {
		case <-changed:
		case <-time.After(min(collectInterval, deadline.Sub(now))):
		}
	}
}

// grow adds n bytes to a claim if there is room. Otherwise it makes room and reports whether
// to wait for it. The lock is held.
func (b *Budget) grow(c *Claim, n int64) (granted, wait bool) {
	if c.aborted {
		return false, false
	}
	c.offered = false
	if b.used+n <= b.c.Limit {
		if b.c.ByAge && c.size == 0 {
			c.since = time.Now()
		}
		b.used += n
		c.size += n
		b.claims[c] = struct{}{}
		return true, false
	}
	var now time.Time
	if b.c.ByAge {
		now = time.Now()
	}
	// fixed is what does not give way.
	pending, fixed, largest, most := int64(0), int64(0), (*Claim)(nil), 0.0
	for o := range b.claims {
		switch w := o.weight(o.size, now); {
		case o.aborted:
			pending += o.size
		case o.isFixed():
			fixed += o.size
		case w > most:
			largest, most = o, w
		}
	}
	switch {
	case b.used-pending+n <= b.c.Limit:
	case fixed+n > b.c.Limit:
		b.abort(c)
		return false, false
	case largest != nil && largest != c && most > c.weight(c.size+n, now):
		b.abort(largest)
	case b.kept > 0 && b.used-pending-b.kept+n <= b.c.Limit:
		b.collect()
	default:
		b.abort(c)
		return false, false
	}
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return false, true
}

// offeredWeight is more than the weight of any claim that is not offered.
const offeredWeight = 1 << 60

// minAge is added to the ages of claims, so that size decides among those of one moment.
const minAge = time.Millisecond

// weight returns how much a claim of the given size has to give way; 0 if it never does, so
// that all others give way to it. The lock is held.
func (c *Claim) weight(size int64, now time.Time) float64 {
	if c.isFixed() {
		return 0
	}
	w := float64(size)
	if c.offered {
		return w + offeredWeight
	}
	if !c.b.c.ByAge {
		return w
	}
	age := minAge
	if c.size > 0 {
		age += now.Sub(c.since)
	}
	return w * age.Seconds()
}

// isFixed reports whether the claim does not give way. The lock is held.
func (c *Claim) isFixed() bool { return c.pinned || c.abort == nil }

// Pin has the claim not give way until it is released. It returns false if it had to give way
// before.
func (c *Claim) Pin() bool {
	if c == nil {
		return true
	}
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	c.pinned = !c.aborted
	return c.pinned
}

// Offer has the claim give way before all that are not offered, until it grows again, if only
// by 0 bytes. It is for memory that is held and not in use.
func (c *Claim) Offer() {
	if c == nil {
		return
	}
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	c.offered = true
}

// abort makes a response give way. The lock is held.
func (b *Budget) abort(c *Claim) {
	c.aborted = true
	if c.abort != nil {
		c.abort()
	}
	b.onAbort(c.size)
	b.notify()
}

// collect starts the garbage collector, unless it ran just before. The lock is held.
func (b *Budget) collect() {
	now := time.Now()
	if now.Sub(b.collectedAt) < collectInterval {
		return
	}
	b.collectedAt = now
	go runtime.GC()
}

// notify wakes those that wait. The lock is held.
func (b *Budget) notify() {
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

// Aborted reports whether the response has to give way.
func (c *Claim) Aborted() bool {
	if c == nil {
		return false
	}
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	return c.aborted
}

// Release returns the memory of the claim, and reports whether the response was aborted.
func (c *Claim) Release() (aborted bool) {
	if c == nil {
		return false
	}
	c.b.mu.Lock()
	defer c.b.mu.Unlock()
	return c.release()
}

// release returns the memory of the claim. The lock is held.
func (c *Claim) release() (aborted bool) {
	aborted = c.aborted
	c.pinned, c.offered = false, false
	if c.size == 0 && !aborted {
		return false
	}
	c.b.used -= c.size
	c.size, c.aborted = 0, false
	delete(c.b.claims, c)
	c.b.notify()
	return aborted
}

// Keep is like Release for a response that was read whole. Its body counts until nobody uses
// it any more, unless the response was aborted.
func (c *Claim) Keep(body []byte) (aborted bool) {
	if c == nil {
		return false
	}
	b := c.b
	b.mu.Lock()
	defer b.mu.Unlock()
	if aborted = c.release(); aborted || len(body) <= minKept {
		return aborted
	}
	n := int64(cap(body))
	b.used += n
	b.kept += n
	runtime.AddCleanup(&body[0], func(n int64) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.used -= n
		b.kept -= n
		b.notify()
	}, n)
	return aborted
}
