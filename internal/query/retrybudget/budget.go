// Package retrybudget bounds the sends beyond the first that one VM adds to a
// service, so that all VMs together stay within a bound without talking to
// each other about each request.
//
// In any span of the window, extra sends stay at or below a ratio of this
// VM's own first sends in the same span, plus this VM's part of a fixed
// allowance. A sum over VMs of such bounds is the bound of the whole system.
// Where a group of VMs adds up what it has sent (package retrypool), a VM may
// exceed its own part for as long as the group does not.
//
// # Usage
//
//	b := retrybudget.New(retrybudget.Config{Ratio: 0.2, Allowance: 5, Window: 10 * time.Second})
//	b.CountFirst(now)
//	if b.AllowExtra(now, retrybudget.EarlyHedge) { send again }
package retrybudget

import (
	"sync"
	"time"

	"egrethaven/internal/query/retrypool"
	"egrethaven/internal/query/slidingwindow"
)

const (
	// steps is how finely the window is divided.
	steps = 20
	// margin is the part of the ratio that is used. The rest covers a send
	// that arrives in a later window than its request.
	margin = 0.9
	// hedgeReserve is how many extra sends are kept back from hedges for
	// requests that have failed, but at most the part reserveShare of the
	// allowance: in a large tier a VM's allowance is about one.
	hedgeReserve = 2
	reserveShare = 0.5
	// earlyShare is the part of the bound that early hedges may use. The rest
	// is for sends that decide whether an answer is in time.
	earlyShare = 0.5
	// poolFactor is how many times its own allowance a VM may use while the
	// group of VMs is well within its bound, and poolFresh how long that is
	// known: four reports.
	poolFactor = 8
	poolFresh  = time.Second
)

// Purpose is what an extra send is for.
type Purpose int

// The purposes.
const (
	// Retry sends a failed request again.
	Retry Purpose = iota
	// EarlyHedge sends a request a second time that takes longer than most.
	EarlyHedge
	// LastHedge sends a request a second time at the last moment at which its
	// answer can be in time.
	LastHedge
)

// Config sets up a Budget.
type Config struct {
	// Ratio of extra sends to first sends.
	Ratio float64
	// Allowance is how many extra sends a window may hold beyond the ratio.
	Allowance float64
	// Window is the span over which the bound holds.
	Window time.Duration
}

// Budget counts the sends to one service. It is safe for concurrent use.
type Budget struct {
	m sync.Mutex
	c Config
	// held is when the allowance begins to count.
	held time.Time
	// alone is until when the group is not looked at: it does not know what the
	// process before this one has sent within the window.
	alone time.Time
	first *slidingwindow.Counter
	extra *slidingwindow.Counter
	// level is how much the group has left, which is known until pooledUntil.
	level       retrypool.Level
	pooledUntil time.Time
}

// New returns a budget that has seen no sends.
func New(c Config) *Budget {
	now := time.Now()
	b := &Budget{c: c, alone: now.Add(c.Window)}
	b.forget(now)
	return b
}

// forget begins to count anew. Extra sends are remembered for one step more, so
// that the count over any span errs on the safe side.
func (b *Budget) forget(now time.Time) {
	step := b.c.Window / steps
	b.first, b.extra = slidingwindow.New(now, step, steps), slidingwindow.New(now, step, steps+1)
}

// SetConfig changes the bound. A new window forgets what was counted in the old one,
// and begins without allowance for as long as it lasts.
func (b *Budget) SetConfig(c Config) {
	b.m.Lock()
	defer b.m.Unlock()
	old := b.c.Window
	b.c = c
	if c.Window != old {
		now := time.Now()
		b.forget(now)
		b.held = now.Add(c.Window)
	}
}

// CountFirst counts the first send of a request.
func (b *Budget) CountFirst(now time.Time) {
	b.m.Lock()
	defer b.m.Unlock()
	b.first.Add(now)
}

// Usage returns the first and the extra sends within the window.
func (b *Budget) Usage(now time.Time) (first, extra int) {
	b.m.Lock()
	defer b.m.Unlock()
	return b.first.Total(now), b.extra.Total(now)
}

// SetGroupLevel tells how much the group of VMs has left, which holds for poolFresh.
func (b *Budget) SetGroupLevel(now time.Time, l retrypool.Level) {
	b.m.Lock()
	defer b.m.Unlock()
	b.pooledUntil, b.level = now.Add(poolFresh), l
}

// AllowExtra counts a further send, or reports false if it is not allowed.
func (b *Budget) AllowExtra(now time.Time, p Purpose) bool {
	b.m.Lock()
	defer b.m.Unlock()
	if b.left(now, p) < 1 {
		return false
	}
	b.extra.Add(now)
	return true
}

// left is how many sends are allowed. The lock is held.
func (b *Budget) left(now time.Time, p Purpose) float64 {
	ratio, allowance, used := b.c.Ratio*margin*float64(b.first.Total(now)), b.c.Allowance, float64(b.extra.Total(now))
	if now.Before(b.held) {
		allowance = 0
	}
	switch {
	case now.Before(b.alone) || !now.Before(b.pooledUntil):
	case b.level == retrypool.Plenty, b.level == retrypool.Scarce && p == Retry:
		return ratio + poolFactor*allowance - used
	case p != Retry:
		return 0
	}
	return b.own(ratio, allowance, used, p)
}

// own is how many sends are left of this VM's own part.
func (b *Budget) own(ratio, allowance, used float64, p Purpose) float64 {
	left := ratio + allowance - used
	if p != Retry {
		left -= min(hedgeReserve, reserveShare*b.c.Allowance)
	}
	if p == EarlyHedge {
		left = min(left, earlyShare*(ratio+allowance)-used)
	}
	return left
}
