// Package limit adapts how many calls a node has in flight on one searcher.
//
// The limit goes down by a part when the searcher sheds, or when its service
// time rises far above its own baseline; it goes up by a little with each
// round of calls that filled it and went well. It stays within the node's
// contract. The baseline follows the lowest recent service times and forgets
// slowly, so that a searcher that became slower for good gets a new one.
//
// A Limit is a value without a clock: the same inputs give the same limit.
//
// # Usage
//
//	l := limit.New(limit.Config{Max: 16})
//	l.Take(now, limit.Sample{Service: d, InFlight: n})
//	if inFlight < l.Allowed() { ... }
package limit

import "time"

const (
	// shedFactor is what is left of the limit after a shed call.
	shedFactor = 0.7
	// slowFactor is what is left after calls that were far slower than usual.
	slowFactor = 0.8
	// slowRatio is how many times the baseline the smoothed service time may
	// be before it counts as rising.
	slowRatio = 3.0
	// smoothGain is the weight of a new service time in the smoothed one.
	smoothGain = 0.1
	// clipRatio bounds a service time in the smoothed one, as a multiple of
	// it: single stragglers say nothing about the load.
	clipRatio = 4.0
	// baselineDown is the weight of a shorter service time in the baseline.
	baselineDown = 0.1
	// baselineLife is how long the baseline takes to follow a searcher that
	// became slower for good.
	baselineLife = 30 * time.Second
	// restRounds is how many smoothed service times pass between two cuts.
	restRounds = 2
	// leastRest is the shortest time between two cuts.
	leastRest = 10 * time.Millisecond
)

// Config describes a Limit.
type Config struct {
	// Max is the number of calls in flight that the contract allows.
	Max int
	// Fixed keeps the limit at Max; for measurements.
	Fixed bool
}

// Sample is the end of one call.
type Sample struct {
	// Service is how long the searcher took; 0 when it gave no answer.
	Service time.Duration
	// Shed tells that the searcher had no capacity.
	Shed bool
	// InFlight is the number of calls in flight when this one ended.
	InFlight int
}

// Limit is the number of calls in flight that a searcher gets.
type Limit struct {
	c        Config
	allowed  float64
	baseline float64
	smooth   float64
	restTill time.Time
	learned  time.Time
}

// New returns a limit that begins at its maximum.
func New(c Config) Limit {
	c.Max = max(c.Max, 1)
	return Limit{c: c, allowed: float64(c.Max)}
}

// Allowed is how many calls may be in flight, at least 1.
func (l *Limit) Allowed() int {
	return max(int(l.allowed), 1)
}

// SetMax changes what the contract allows.
func (l *Limit) SetMax(n int) {
	n = max(n, 1)
	if l.allowed >= float64(l.c.Max) {
		l.allowed = float64(n)
	}
	l.c.Max = n
	l.allowed = min(l.allowed, float64(n))
}

// Take learns from the end of a call. It reports whether the limit was cut.
func (l *Limit) Take(now time.Time, s Sample) bool {
	if l.c.Fixed {
		return false
	}
	if s.Shed {
		return l.cut(now, shedFactor)
	}
	if s.Service <= 0 {
		return false
	}
	l.learn(now, s.Service.Seconds())
	if l.smooth > slowRatio*l.baseline {
		return l.cut(now, slowFactor)
	}
	if s.InFlight >= l.Allowed() {
		l.allowed = min(l.allowed+1/l.allowed, float64(l.c.Max))
	}
	return false
}

// learn takes a service time in seconds.
func (l *Limit) learn(now time.Time, d float64) {
	since := now.Sub(l.learned)
	l.learned = now
	if l.baseline == 0 {
		l.baseline, l.smooth = d, d
		return
	}
	l.smooth += (min(d, clipRatio*l.smooth) - l.smooth) * smoothGain
	if d < l.baseline {
		l.baseline += (d - l.baseline) * baselineDown
		return
	}
	gain := min(since.Seconds()/baselineLife.Seconds(), 1)
	l.baseline += (l.smooth - l.baseline) * max(gain, 0)
}

// cut lowers the limit, unless it was cut a moment ago for the same cause.
func (l *Limit) cut(now time.Time, factor float64) bool {
	if now.Before(l.restTill) {
		return false
	}
	rest := time.Duration(l.smooth * restRounds * float64(time.Second))
	l.restTill = now.Add(max(rest, leastRest))
	was := l.Allowed()
	l.allowed = max(l.allowed*factor, 1)
	return l.Allowed() < was
}
