// Package budget bounds the extra load that hedges and retries place on
// backend servers.
//
// Each primary call earns a fraction of a token; each hedge, retry or
// repeated call after a restart spends a whole one. Tokens are kept up to a
// cap, so a query may spend several at once, yet over any span of time the
// extra calls stay below the fraction of the primaries plus the tokens that
// the budget started with. The bound holds in every state of the system,
// overload included, because nothing but primaries adds tokens.
//
// # Usage
//
//	b := budget.New(budget.Config{Fraction: 0.02})
//	b.Earn(140)
//	if b.Spend(1) { /* hedge */ }
package budget

import "sync/atomic"

const (
	// unit is the number of internal units in one token.
	unit = 1 << 20
	// initial is the number of tokens that a new budget holds.
	initial = 4
	// capTokens is the number of tokens that a budget keeps.
	capTokens = 400
)

// Config describes a Budget.
type Config struct {
	// Fraction of a token that each primary call earns.
	Fraction float64
}

// Budget is a bound on extra calls. It is safe for concurrent use.
type Budget struct {
	earn   int64
	tokens atomic.Int64
}

// New returns a budget that holds a few tokens.
func New(c Config) *Budget {
	b := &Budget{earn: int64(c.Fraction * unit)}
	if b.earn > 0 {
		b.tokens.Store(initial * unit)
	}
	return b
}

// Earn adds the tokens of n primary calls.
func (b *Budget) Earn(n int) {
	for {
		old := b.tokens.Load()
		sum := min(old+int64(n)*b.earn, capTokens*unit)
		if b.tokens.CompareAndSwap(old, sum) {
			return
		}
	}
}

// Spend takes n tokens, or none if there are fewer.
func (b *Budget) Spend(n int) bool {
	for {
		old := b.tokens.Load()
		if old < int64(n)*unit {
			return false
		}
		if b.tokens.CompareAndSwap(old, old-int64(n)*unit) {
			return true
		}
	}
}

// Level returns the number of tokens left.
func (b *Budget) Level() float64 {
	return float64(b.tokens.Load()) / unit
}
