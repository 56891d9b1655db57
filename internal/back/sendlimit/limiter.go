// Package sendlimit limits the requests from this VM to one searcher to its part of the
// limit that the searcher has named for all VMs together.
//
// A request takes its permission when it is sent, not when it is queued, so that
// requests that waited for a connection do not arrive as a burst.
//
// # Usage
//
//	l := sendlimit.New(func(perSecond float64) float64 { return perSecond / 9 })
//	l.Name(now, 40)
//	if l.Wait(now, 0) == 0 { l.Take(now); send() }
//	l.End(sentAt)
package sendlimit

import (
	"math/rand/v2"
	"time"

	"egrethaven/internal/platform/tokenbucket"
)

// burstTime is the time for which unused permissions last. In any four seconds, all VMs
// together then send at most five fourths of the limit.
const burstTime = time.Second

// Limiter limits the requests to one searcher. It is not safe for concurrent use.
type Limiter struct {
	share func(perSecond float64) float64
	// perSecond is the limit that the searcher named; valid if named.
	perSecond float64
	named     bool
	// namedAt is when the last answer with a limit arrived.
	namedAt time.Time
	rate    tokenbucket.Rate
	bucket  tokenbucket.Bucket
}

// New returns a Limiter without a limit. share returns this VM's part of a limit.
func New(share func(perSecond float64) float64) *Limiter { return &Limiter{share: share} }

// Name sets the limit that the searcher named, in requests a second from all VMs.
func (l *Limiter) Name(now time.Time, perSecond float64) {
	if !l.named || perSecond != l.perSecond {
		l.setRate(now, perSecond)
	}
	if !l.named {
		// VMs learn of a limit at the same time, and must not send at the same time.
		l.bucket.Set(now, rand.Float64()*l.rate.Burst)
	}
	l.perSecond, l.named, l.namedAt = perSecond, true, now
}

// setRate sets this VM's part of a limit.
func (l *Limiter) setRate(now time.Time, perSecond float64) {
	// Adds what the old rate has earned.
	l.bucket.Tokens(now, l.rate)
	r := l.share(perSecond)
	l.rate = tokenbucket.Rate{PerSecond: r, Burst: max(1, r*burstTime.Seconds())}
}

// Refresh recomputes this VM's part, as after a change of the number of VMs.
func (l *Limiter) Refresh(now time.Time) {
	if l.named {
		l.setRate(now, l.perSecond)
	}
}

// End ends a limit that was last named before a request was sent whose answer named
// none. It reports whether it did.
func (l *Limiter) End(sentAt time.Time) bool {
	if !l.named || sentAt.Before(l.namedAt) {
		return false
	}
	l.named = false
	return true
}

// Named returns the limit that the searcher named, and false if there is none.
func (l *Limiter) Named() (perSecond float64, ok bool) { return l.perSecond, l.named }

// Wait returns the time until a request may be sent if others are queued ahead of it; 0
// for at once.
func (l *Limiter) Wait(now time.Time, ahead int) time.Duration {
	if !l.named {
		return 0
	}
	missing := float64(ahead+1) - l.bucket.Tokens(now, l.rate)
	if missing <= 0 {
		return 0
	}
	// At least a nanosecond, so that rounding does not permit a request too early.
	return time.Duration(missing/l.rate.PerSecond*float64(time.Second)) + 1
}

// Spare returns the share of a burst that is left beyond the requests that are queued,
// 0 to 1; 1 without a limit.
func (l *Limiter) Spare(now time.Time, queued int) float64 {
	if !l.named {
		return 1
	}
	return max(0, l.bucket.Tokens(now, l.rate)-float64(queued)) / l.rate.Burst
}

// Take takes the permission for one request, and reports whether there was one.
func (l *Limiter) Take(now time.Time) bool { return !l.named || l.bucket.Allow(now, l.rate) }

// Return returns the permission of a request that was not sent.
func (l *Limiter) Return() {
	if l.named {
		l.bucket.Return()
	}
}
