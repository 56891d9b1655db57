// Package budget bounds the extra load that hedges and retries place on
// backend servers.
//
// Each primary call earns a fraction of a token; each hedge, retry or
// repeated call after a restart spends a whole one. Tokens fill a small purse
// first, whose size is that of the largest query, and a larger reserve after
// it. Hedges, and retries of calls that were shed, spend from the purse only,
// so that they follow the present load; calls that failed for another reason
// may draw on the reserve, so that a fault which strikes many calls at once
// costs no completeness. Over any span of time the extra calls stay below the
// fraction of the primaries plus what was kept, in every state of the system,
// because nothing but primaries adds tokens.
//
// # Usage
//
//	b := budget.New(budget.Config{Fraction: 0.02})
//	b.Earn(140)
//	if b.Spend(1) { /* hedge */ }
package budget

import "sync"

const (
	// initial is the number of tokens that a new budget holds.
	initial = 4
	// leastPurse is the least size of the purse, in tokens.
	leastPurse = 16
	// reserveSize is the size of the reserve, in tokens.
	reserveSize = 400
)

// Config describes a Budget.
type Config struct {
	// Fraction of a token that each primary call earns.
	Fraction float64
}

// Budget is a bound on extra calls. It is safe for concurrent use.
type Budget struct {
	fraction float64

	m       sync.Mutex
	most    float64
	purse   float64
	reserve float64
}

// New returns a budget that holds a few tokens.
func New(c Config) *Budget {
	b := &Budget{fraction: c.Fraction, most: leastPurse}
	if c.Fraction > 0 {
		b.purse = initial
	}
	return b
}

// Earn adds the tokens of n primary calls of one query.
func (b *Budget) Earn(n int) {
	b.m.Lock()
	defer b.m.Unlock()
	b.most = max(b.most, float64(n))
	b.purse += float64(n) * b.fraction
	if over := b.purse - b.most; over > 0 {
		b.purse = b.most
		b.reserve = min(b.reserve+over, reserveSize)
	}
}

// Spend takes n tokens from the purse, or none if there are fewer.
func (b *Budget) Spend(n int) bool {
	b.m.Lock()
	defer b.m.Unlock()
	if b.purse < float64(n) {
		return false
	}
	b.purse -= float64(n)
	return true
}

// SpendReserve takes n tokens from the purse and the reserve, or none if
// there are fewer in both.
func (b *Budget) SpendReserve(n int) bool {
	b.m.Lock()
	defer b.m.Unlock()
	if b.purse+b.reserve < float64(n) {
		return false
	}
	fromReserve := min(b.reserve, float64(n))
	b.reserve -= fromReserve
	b.purse -= float64(n) - fromReserve
	return true
}

// Level returns the number of tokens left in the purse and the reserve.
func (b *Budget) Level() (purse, reserve float64) {
	b.m.Lock()
	defer b.m.Unlock()
	return b.purse, b.reserve
}
