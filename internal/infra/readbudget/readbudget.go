// Package readbudget bounds the memory for what peers send, summed over all connections.
//
// Each response has a limit of its own, but a peer in trouble may send many without an end at
// a time. Once their sum reaches the budget, the largest one gives way: its connection is
// aborted, and its memory is used for the others. A response that would become the largest
// itself fails. So small responses go on being read, however many large ones there are.
//
// The same holds for what clients send and have not read yet; there, what is oldest and largest
// gives way (Config.ByAge). What was read whole counts until the garbage collector has removed
// it, because a limit on memory that was only given back would not bound the process.
//
// # Usage
//
//	b := readbudget.New(readbudget.Config{Limit: 32 << 20})
//	c := b.Open(func() { _ = conn.Close() })
//	if err := c.Grow(64 << 10); err != nil { ... } // before these bytes are read
//	aborted := c.Keep(body)                        // or c.Release()
//
// For memory that is in use already, such as a response that another budget has counted so far:
//
//	other.Disown(body)
//	c.Force(int64(cap(body)))
//	aborted := c.Discard(body) // when nobody uses it any more
package readbudget

import (
	"runtime"
	"sync"
	"time"
	"unsafe"

	"github.com/juju/errors"
)

const (
	// maxWait bounds the time for which Grow waits for memory of aborted responses. Their
	// readers release it as soon as they run.
	maxWait = time.Second
	// defaultMinKept is the default of Config.MinKept.
	defaultMinKept = 64 << 10
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
	// MinKept is the size in bytes above which a response that was read whole counts until
	// it is garbage; 0 for 64 KB. Smaller ones are held for as long as a request takes.
	MinKept int
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
	used, kept int64
	// garbage is the part of kept that nobody uses any more.
	garbage int64
	claims  map[*Claim]struct{}
	// bodies holds the responses that kept counts, by the address of their first byte.
	bodies      map[uintptr]*keptBody
	collectedAt time.Time
	// changed is closed when memory is released or a claim is aborted; nil while nobody waits.
	changed chan struct{}
}

// keptBody is a response that counts until it is garbage.
type keptBody struct {
	addr    uintptr
	size    int64
	cleanup runtime.Cleanup
	// garbage is set if nobody uses it any more, and dropped once it does not count.
	garbage, dropped bool
}

// New returns a budget of which nothing is used.
func New(c Config) *Budget {
	if c.MinKept == 0 {
		c.MinKept = defaultMinKept
	}
	return &Budget{c: c, claims: map[*Claim]struct{}{}, bodies: map[uintptr]*keptBody{}, onAbort: func(int64) {}}
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

// Force adds n bytes without waiting, for memory that is in use already or that is small. It
// aborts others that are larger, or older with Config.ByAge, until their memory makes room for
// it; if that does not suffice, more than the limit is in use. It does nothing on an aborted
// claim.
func (c *Claim) Force(n int64) {
	if c == nil {
		return
	}
	b := c.b
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.aborted {
		return
	}
	now := time.Now()
	b.add(c, n)
	if b.used > b.c.Limit && b.garbage > 0 {
		b.collect()
	}
	for {
		v := b.scan(now)
		if b.used-v.pending <= b.c.Limit || v.victim == nil || v.victim == c {
			return
		}
		b.abort(v.victim)
	}
}

// add adds n bytes to a claim. The lock is held.
func (b *Budget) add(c *Claim, n int64) {
	if b.c.ByAge && c.size == 0 {
		c.since = time.Now()
	}
	b.used += n
	c.size += n
	b.claims[c] = struct{}{}
}

// usage is what a budget's memory is used for.
type usage struct {
	// pending is about to become free, and fixed does not give way.
	pending, fixed int64
	// victim is the claim that has to give way next, nil if none does, and weight its weight.
	victim *Claim
	weight float64
}

// scan returns what the memory is used for. The lock is held.
func (b *Budget) scan(now time.Time) usage {
	v := usage{pending: b.garbage}
	for c := range b.claims {
		switch w := c.weight(c.size, now); {
		case c.aborted:
			v.pending += c.size
		case c.isFixed():
			v.fixed += c.size
		case w > v.weight:
			v.victim, v.weight = c, w
		}
	}
	return v
}

// grow adds n bytes to a claim if there is room. Otherwise it makes room and reports whether
// to wait for it. The lock is held.
func (b *Budget) grow(c *Claim, n int64) (granted, wait bool) {
	if c.aborted {
		return false, false
	}
	c.offered = false
	if b.used+n <= b.c.Limit {
		b.add(c, n)
		return true, false
	}
	now := time.Now()
	v := b.scan(now)
	if b.garbage > 0 {
		b.collect()
	}
	switch {
	case b.used-v.pending+n <= b.c.Limit:
	case v.fixed+n > b.c.Limit:
		b.abort(c)
		return false, false
	case v.victim != nil && v.victim != c && v.weight > c.weight(c.size+n, now):
		b.abort(v.victim)
		if b.kept > 0 {
			b.collect()
		}
	case b.kept > 0 && b.used-v.pending-(b.kept-b.garbage)+n <= b.c.Limit:
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
	delete(c.b.claims, c)
	if c.size == 0 && !aborted {
		return false
	}
	c.b.used -= c.size
	c.size, c.aborted = 0, false
	c.b.notify()
	return aborted
}

// Keep is like Release for a response that was read whole. Its body counts until nobody uses
// it any more.
func (c *Claim) Keep(body []byte) (aborted bool) { return c.keep(body, false) }

// Discard is like Keep for a body that nobody uses any more. Others wait until the garbage
// collector has removed it, rather than have more claims give way.
func (c *Claim) Discard(body []byte) (aborted bool) { return c.keep(body, true) }

// keep releases the claim, and counts a body that is not small until the garbage collector has
// removed it.
func (c *Claim) keep(body []byte, garbage bool) (aborted bool) {
	if c == nil {
		return false
	}
	b := c.b
	b.mu.Lock()
	defer b.mu.Unlock()
	if aborted = c.release(); len(body) <= b.c.MinKept {
		return aborted
	}
	k := &keptBody{addr: address(body), size: int64(cap(body)), garbage: garbage}
	b.used += k.size
	b.kept += k.size
	if garbage {
		b.garbage += k.size
	}
	b.bodies[k.addr] = k
	k.cleanup = runtime.AddCleanup(&body[0], func(k *keptBody) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.drop(k)
	}, k)
	return aborted
}

// address returns the address of the first byte of a body.
func address(body []byte) uintptr { return uintptr(unsafe.Pointer(unsafe.SliceData(body))) }

// drop ends the count of a body that was kept. The lock is held.
func (b *Budget) drop(k *keptBody) {
	if k.dropped {
		return
	}
	k.dropped = true
	// Another body may have the address by now.
	if b.bodies[k.addr] == k {
		delete(b.bodies, k.addr)
	}
	b.used -= k.size
	b.kept -= k.size
	if k.garbage {
		b.garbage -= k.size
	}
	b.notify()
}

// Disown ends the count of a body that Keep was called with, as another budget counts it from
// now on. It does nothing if the body is not counted.
func (b *Budget) Disown(body []byte) {
	if b == nil || len(body) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if k := b.bodies[address(body)]; k != nil {
		k.cleanup.Stop()
		b.drop(k)
	}
}
