// Package budget limits the extra load that hedges and retries place on backend
// servers.
//
// It is a token bucket with a reserve. Each primary call earns a fraction of a
// token; each hedge, retry or repeated call after a restart spends a token. The
// bucket is as large as the largest query; its overflow goes to the larger
// reserve. Until the reserve holds as much as a full bucket, half of what is earned
// goes there at once. Hedges and retries of shed calls spend from the bucket only,
// so that they follow the current load. Calls that failed for another reason may
// also spend from the reserve, so that answers stay complete when many calls fail at
// once. Only primary calls add tokens. Over any period, extra calls are therefore
// limited to the fraction of primary calls plus the saved tokens.
//
// # Usage
//
//	b := budget.New(budget.Config{Fraction: 0.02})
//	b.Earn(140)
//	if b.Spend(1) { /* hedge */ }
package budget

import "sync"

const (
	// initialTokens is the number of tokens in a new bucket.
	initialTokens = 4
	// minBucketSize is the smallest size of the bucket, in tokens.
	minBucketSize = 16
	// reserveSize is the size of the reserve, in tokens.
	reserveSize = 400
	// reserveShare is the share of the earned tokens that goes to a reserve with
	// less than the bucket's size, so that hedges leave something for retries.
	reserveShare = 0.5
)

// Config describes a Budget.
type Config struct {
	// Fraction is the number of tokens that each primary call earns.
	Fraction float64
}

// Budget limits extra calls. It is safe for concurrent use.
type Budget struct {
	fraction float64

	m          sync.Mutex
	bucketSize float64
	bucket     float64
	reserve    float64
}

// New returns a budget with the initial tokens, or none if the fraction is 0.
func New(c Config) *Budget {
	b := &Budget{fraction: c.Fraction, bucketSize: minBucketSize}
	if c.Fraction > 0 {
		b.bucket = initialTokens
	}
	return b
}

// Earn adds the tokens of the n primary calls of one query.
func (b *Budget) Earn(n int) {
	b.m.Lock()
	defer b.m.Unlock()
	b.bucketSize = max(b.bucketSize, float64(n))
	earned := float64(n) * b.fraction
	if b.reserve < min(b.bucketSize, reserveSize) {
		b.reserve += reserveShare * earned
		earned -= reserveShare * earned
	}
	b.bucket += earned
	if overflow := b.bucket - b.bucketSize; overflow > 0 {
		b.bucket = b.bucketSize
		b.reserve = min(b.reserve+overflow, reserveSize)
	}
}

// Spend takes n tokens from the bucket. It returns false and takes none if the
// bucket holds fewer.
func (b *Budget) Spend(n int) bool {
	b.m.Lock()
	defer b.m.Unlock()
	if b.bucket < float64(n) {
		return false
	}
	b.bucket -= float64(n)
	return true
}

// SpendReserve takes n tokens from the reserve first and then from the bucket.
// It returns false and takes none if both together hold fewer.
func (b *Budget) SpendReserve(n int) bool {
	b.m.Lock()
	defer b.m.Unlock()
	if b.bucket+b.reserve < float64(n) {
		return false
	}
	fromReserve := min(b.reserve, float64(n))
	b.reserve -= fromReserve
	b.bucket -= float64(n) - fromReserve
	return true
}

// Level returns the number of tokens left in the bucket and the reserve.
func (b *Budget) Level() (bucket, reserve float64) {
	b.m.Lock()
	defer b.m.Unlock()
	return b.bucket, b.reserve
}
