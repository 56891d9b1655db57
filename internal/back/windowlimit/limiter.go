// Package windowlimit limits the requests to one searcher in any window of a fixed length,
// without exception.
//
// A token bucket permits its burst and what it earns meanwhile in one window. A Limiter
// remembers when requests were sent instead, and permits a whole number of them in any
// window, so that the numbers of all VMs add up. The number may change. What was sent before
// a Limiter was created is not known, so that it permits nothing in its first window.
//
// # Usage
//
//	l := windowlimit.New(now, 1500*time.Millisecond)
//	l.SetMax(3)
//	if wait, ok := l.Wait(now, 0); ok && wait == 0 { l.Take(now); send() }
package windowlimit

import (
	"slices"
	"time"
)

// Limiter limits the requests to one searcher. It is not safe for concurrent use.
type Limiter struct {
	window time.Duration
	// start is when the first request may be sent.
	start time.Time
	max   int
	// sent holds the times of the requests of the last window, in ascending order.
	sent []time.Time
}

// New returns a Limiter that permits no requests before SetMax, and in the first window from
// now on.
func New(now time.Time, window time.Duration) *Limiter {
	return &Limiter{window: window, start: now.Add(window)}
}

// SetMax sets the number of requests that are permitted in any window.
func (l *Limiter) SetMax(n int) { l.max = n }

// Take records a request that is sent at time now, which must not decrease.
func (l *Limiter) Take(now time.Time) {
	l.forget(now)
	l.sent = append(l.sent, now)
}

// Return removes the record of a request taken at a time that was not sent.
func (l *Limiter) Return(at time.Time) {
	if n := slices.IndexFunc(l.sent, at.Equal); n >= 0 {
		l.sent = slices.Delete(l.sent, n, n+1)
	}
}

// Wait returns the time until a request may be sent if others are queued ahead of it; 0 for
// at once. It reports false if none may be sent.
func (l *Limiter) Wait(now time.Time, ahead int) (time.Duration, bool) {
	if l.max <= 0 {
		return 0, false
	}
	l.forget(now)
	wait, later := max(0, l.start.Sub(now)), time.Duration(0)
	// The request is sent a window after the one that comes max places before it. Among
	// those queued, the windows add up.
	before := len(l.sent) + ahead - l.max
	for ; before >= len(l.sent) && before >= 0; before -= l.max {
		later += l.window
	}
	wait += later
	if before >= 0 {
		// At least a nanosecond, as a window holds both of its ends.
		wait = max(wait, l.sent[before].Add(l.window).Sub(now)+later+1)
	}
	return wait, true
}

// Spare returns the share of the permitted requests that is left beyond those queued, 0 to
// 1.
func (l *Limiter) Spare(now time.Time, queued int) float64 {
	if now.Before(l.start) {
		return 0
	}
	l.forget(now)
	return max(0, float64(l.max-len(l.sent)-queued)) / float64(max(l.max, 1))
}

// forget removes the requests that are older than a window.
func (l *Limiter) forget(now time.Time) {
	n := 0
	for n < len(l.sent) && now.Sub(l.sent[n]) > l.window {
		n++
	}
	l.sent = slices.Delete(l.sent, 0, n)
}
