// Package retrybudget limits the hedges and retries that one VM sends to a
// service, so that all VMs together stay within a limit without coordinating
// on each request.
//
// In any period as long as the window, the number of extra sends is at most a
// ratio of this VM's first sends in that period plus this VM's share of a fixed
// allowance. The sum of these limits over all VMs is the limit of the whole
// tier. Where a group of VMs adds up its sends (package retrypool), a VM may
// exceed its own share while the group as a whole is within its limit.
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
	// windowSteps is the number of steps in the sliding window.
	windowSteps = 20
	// ratioMargin is the share of the ratio that is used. The rest covers extra
	// sends that arrive in a later window than their request.
	ratioMargin = 0.9
	// hedgeReserve is the number of extra sends that hedges leave for retries,
	// limited to maxReserveShare of the allowance: in a large tier the allowance
	// of a VM is about one.
	hedgeReserve    = 2
	maxReserveShare = 0.5
	// earlyHedgeShare is the share of the limit that early hedges may use. The
	// rest is kept for sends that decide whether an answer is in time.
	earlyHedgeShare = 0.5
	// groupFactor is the multiple of its own allowance that a VM may use while
	// the group of VMs is well within its limit.
	groupFactor = 8
	// levelTTL is how long a group level is valid: four report intervals.
	levelTTL = time.Second
)

// Purpose is the reason for an extra send.
type Purpose int

// The purposes.
const (
	// Retry resends a failed request.
	Retry Purpose = iota
	// EarlyHedge hedges a request that takes longer than most.
	EarlyHedge
	// LastHedge hedges a request at the last moment at which the answer can
	// still be in time.
	LastHedge
)

// Config holds the limits of a Budget.
type Config struct {
	// Ratio is the permitted ratio of extra sends to first sends.
	Ratio float64
	// Allowance is the number of extra sends per window beyond the ratio.
	Allowance float64
	// Window is the period over which the limit applies.
	Window time.Duration
	// ProcessStart is when this process started. Group levels apply a window
	// later, because the group does not know what a previous process on this VM
	// sent within the window.
	ProcessStart time.Time
}

// Budget counts the sends to one service. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	c  Config
	// allowanceFrom is when the allowance starts to apply.
	allowanceFrom time.Time
	first         *slidingwindow.Counter
	extra         *slidingwindow.Counter
	// groupLevel is the last reported level of the group, valid until
	// levelExpires.
	groupLevel   retrypool.Level
	levelExpires time.Time
}

// New returns a budget without counted sends.
func New(c Config) *Budget {
	b := &Budget{c: c}
	b.reset(time.Now())
	return b
}

// reset clears the counts. Extra sends are counted over one step more than
// first sends, so that rounding to steps never exceeds the limit.
func (b *Budget) reset(now time.Time) {
	step := b.c.Window / windowSteps
	b.first, b.extra = slidingwindow.New(now, step, windowSteps), slidingwindow.New(now, step, windowSteps+1)
}

// SetConfig changes the limits. A change of the window resets the counts and
// suspends the allowance for the length of the new window.
func (b *Budget) SetConfig(c Config) {
	b.mu.Lock()
	defer b.mu.Unlock()
	oldWindow := b.c.Window
	b.c = c
	if c.Window != oldWindow {
		now := time.Now()
		b.reset(now)
		b.allowanceFrom = now.Add(c.Window)
	}
}

// CountFirst counts the first send of a request.
func (b *Budget) CountFirst(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.first.Add(now)
}

// Usage returns the number of first sends and of extra sends within the window.
func (b *Budget) Usage(now time.Time) (first, extra int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.first.Total(now), b.extra.Total(now)
}

// SetGroupLevel sets the level of the group of VMs, which is valid for levelTTL.
func (b *Budget) SetGroupLevel(now time.Time, level retrypool.Level) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.levelExpires, b.groupLevel = now.Add(levelTTL), level
}

// AllowExtra reports whether an extra send is permitted, and counts it if so.
func (b *Budget) AllowExtra(now time.Time, p Purpose) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.remaining(now, p) < 1 {
		return false
	}
	b.extra.Add(now)
	return true
}

// WouldAllow reports whether AllowExtra would permit an extra send. It counts nothing.
func (b *Budget) WouldAllow(now time.Time, p Purpose) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.remaining(now, p) >= 1
}

// Left returns the share of the permitted extra sends that is left for retries, 0 to 1.
func (b *Budget) Left(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.remaining(now, Retry)
	if left <= 0 {
		return 0
	}
	return left / (left + float64(b.extra.Total(now)))
}

// remaining returns the number of extra sends that are still permitted for a
// purpose. The lock is held.
func (b *Budget) remaining(now time.Time, p Purpose) float64 {
	proportional, allowance, spent := b.c.Ratio*ratioMargin*float64(b.first.Total(now)), b.c.Allowance, float64(b.extra.Total(now))
	if now.Before(b.allowanceFrom) {
		allowance = 0
	}
	switch {
	case now.Before(b.c.ProcessStart.Add(b.c.Window)) || !now.Before(b.levelExpires):
	case b.groupLevel == retrypool.Plenty, b.groupLevel == retrypool.Scarce && p == Retry:
		return proportional + groupFactor*allowance - spent
	case p != Retry:
		return 0
	}
	return b.ownRemaining(proportional, allowance, spent, p)
}

// ownRemaining returns the number of extra sends that remain of this VM's own
// share.
func (b *Budget) ownRemaining(proportional, allowance, spent float64, p Purpose) float64 {
	remaining := proportional + allowance - spent
	if p != Retry {
		remaining -= min(hedgeReserve, maxReserveShare*b.c.Allowance)
	}
	if p == EarlyHedge {
		remaining = min(remaining, earlyHedgeShare*(proportional+allowance)-spent)
	}
	return remaining
}
