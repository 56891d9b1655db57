// Package retrybudget bounds the sends beyond the first that one VM adds to a
// service, so that all VMs together stay within a bound without talking to
// each other about each request.
//
// In any span of the window, extra sends stay at or below a ratio of this
// VM's own first sends in the same span, plus this VM's part of a fixed
// allowance. A sum over VMs of such bounds is the bound of the whole system.
//
// # Usage
//
//	b := retrybudget.New(retrybudget.Config{Ratio: 0.2, Allowance: 5, Window: 10 * time.Second})
//	b.First(now)
//	if b.Extra(now, retrybudget.EarlyHedge) { send again }
package retrybudget

import (
	"sync"
	"time"
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
	m     sync.Mutex
	c     Config
	start time.Time
	// held is when the allowance begins to count.
	held  time.Time
	first window
	extra window
}

// window is a sliding count in steps.
type window struct {
	counts [steps + 1]int
	// head is the number of the latest step.
	head  int64
	total int
}

// advance drops the steps that have left the window of n steps.
func (w *window) advance(step int64, n int) {
	for ; w.head < step; w.head++ {
		if step-w.head > int64(n) {
			w.counts, w.total, w.head = [steps + 1]int{}, 0, step
			return
		}
		i := int((w.head + 1) % int64(n))
		w.total -= w.counts[i]
		w.counts[i] = 0
	}
}

// add counts one event in the latest step.
func (w *window) add(n int) {
	w.counts[int(w.head%int64(n))]++
	w.total++
}

// New returns a budget that has seen no sends.
func New(c Config) *Budget { return &Budget{c: c, start: time.Now()} }

// Set changes the bound. A new window forgets what was counted in the old one,
// and begins without allowance for as long as it lasts.
func (b *Budget) Set(c Config) {
	b.m.Lock()
	defer b.m.Unlock()
	if c.Window != b.c.Window {
		b.start, b.first, b.extra = time.Now(), window{}, window{}
		b.held = time.Now().Add(c.Window)
	}
	b.c = c
}

// First counts the first send of a request.
func (b *Budget) First(now time.Time) {
	b.m.Lock()
	defer b.m.Unlock()
	b.advance(now)
	b.first.add(steps)
}

// Extra counts a further send, or reports false if it is not allowed.
func (b *Budget) Extra(now time.Time, p Purpose) bool {
	b.m.Lock()
	defer b.m.Unlock()
	b.advance(now)
	bound := b.c.Ratio * margin * float64(b.first.total)
	if !now.Before(b.held) {
		bound += b.c.Allowance
	}
	left := bound - float64(b.extra.total)
	if p != Retry {
		left -= min(hedgeReserve, reserveShare*b.c.Allowance)
	}
	if p == EarlyHedge {
		left = min(left, earlyShare*bound-float64(b.extra.total))
	}
	if left < 1 {
		return false
	}
	b.extra.add(steps + 1)
	return true
}

// advance moves both windows to now. Extra sends are remembered for one step
// more, so that the count over any span errs on the safe side.
func (b *Budget) advance(now time.Time) {
	step := int64(now.Sub(b.start) / (b.c.Window / steps))
	b.first.advance(step, steps)
	b.extra.advance(step, steps+1)
}
