// Package limit implements an adaptive limit on a node's in-flight calls to one
// searcher.
//
// The limit follows AIMD: it decreases by a factor when the searcher sheds a
// call or its service time rises far above the baseline, and increases by about
// one per round of successful calls that used the whole limit. It never exceeds
// the node's contract. The baseline tracks the lowest recent service times and
// drifts up slowly, so that it adjusts to a searcher that is permanently slower.
//
// A Limit reads no clock: the same inputs give the same limit.
//
// # Usage
//
//	l := limit.New(limit.Config{Max: 16})
//	l.Update(now, limit.Sample{Service: d, InFlight: n})
//	if inFlight < l.Allowed() { ... }
package limit

import "time"

const (
	// shedDecrease multiplies the limit after a shed call.
	shedDecrease = 0.7
	// slowDecrease multiplies the limit when the searcher is slow.
	slowDecrease = 0.8
	// slowRatio is the ratio of smoothed service time to baseline above which
	// the searcher counts as slow.
	slowRatio = 3.0
	// smoothWeight is the EWMA weight of a new service time.
	smoothWeight = 0.1
	// clipRatio caps a new service time at a multiple of the EWMA, because a
	// single straggler does not indicate load.
	clipRatio = 4.0
	// baselineWeight is the weight of a service time below the baseline.
	baselineWeight = 0.1
	// baselineRiseTime is the time constant with which the baseline rises to
	// the smoothed service time.
	baselineRiseTime = 30 * time.Second
	// cooldownRounds is the time between two decreases in smoothed service
	// times.
	cooldownRounds = 2
	// minCooldown is the shortest time between two decreases.
	minCooldown = 10 * time.Millisecond
)

// Config describes a Limit.
type Config struct {
	// Max is the number of calls in flight that the contract allows.
	Max int
	// Fixed keeps the limit at Max. It is meant for measurements.
	Fixed bool
}

// Sample describes one finished call.
type Sample struct {
	// Service is the service time, or 0 if the searcher did not answer.
	Service time.Duration
	// Shed is true if the searcher refused the call for lack of capacity.
	Shed bool
	// InFlight is the number of calls in flight when the call ended, including
	// the call itself.
	InFlight int
}

// Limit is an adaptive limit on the in-flight calls to one searcher. It is not
// safe for concurrent use.
type Limit struct {
	c             Config
	allowed       float64
	baseline      float64
	smooth        float64
	cooldownUntil time.Time
	updatedAt     time.Time
}

// New returns a limit that starts at c.Max, at least 1.
func New(c Config) Limit {
	c.Max = max(c.Max, 1)
	return Limit{c: c, allowed: float64(c.Max)}
}

// Allowed returns the current limit, at least 1.
func (l *Limit) Allowed() int {
	return max(int(l.allowed), 1)
}

// SetMax changes the maximum. A limit that is at its maximum rises with it.
func (l *Limit) SetMax(n int) {
	n = max(n, 1)
	if l.allowed >= float64(l.c.Max) {
		l.allowed = float64(n)
	}
	l.c.Max = n
	l.allowed = min(l.allowed, float64(n))
}

// Update adjusts the limit to the result of a call. It returns true if the
// limit was lowered.
func (l *Limit) Update(now time.Time, s Sample) bool {
	if l.c.Fixed {
		return false
	}
	if s.Shed {
		return l.decrease(now, shedDecrease)
	}
	if s.Service <= 0 {
		return false
	}
	l.updateBaseline(now, s.Service.Seconds())
	if l.smooth > slowRatio*l.baseline {
		return l.decrease(now, slowDecrease)
	}
	if s.InFlight >= l.Allowed() {
		l.allowed = min(l.allowed+1/l.allowed, float64(l.c.Max))
	}
	return false
}

// updateBaseline updates the smoothed service time and the baseline with a
// service time of d seconds.
func (l *Limit) updateBaseline(now time.Time, d float64) {
	elapsed := now.Sub(l.updatedAt)
	l.updatedAt = now
	if l.baseline == 0 {
		l.baseline, l.smooth = d, d
		return
	}
	l.smooth += (min(d, clipRatio*l.smooth) - l.smooth) * smoothWeight
	if d < l.baseline {
		l.baseline += (d - l.baseline) * baselineWeight
		return
	}
	weight := min(elapsed.Seconds()/baselineRiseTime.Seconds(), 1)
	l.baseline += (l.smooth - l.baseline) * max(weight, 0)
}

// decrease multiplies the limit by factor, unless a decrease for the same cause
// was a moment ago. It returns true if the limit was lowered.
func (l *Limit) decrease(now time.Time, factor float64) bool {
	if now.Before(l.cooldownUntil) {
		return false
	}
	cooldown := time.Duration(l.smooth * cooldownRounds * float64(time.Second))
	l.cooldownUntil = now.Add(max(cooldown, minCooldown))
	before := l.Allowed()
	l.allowed = max(l.allowed*factor, 1)
	return l.Allowed() < before
}
