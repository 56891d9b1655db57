package adaptivelimit

import "time"

const (
	// initialLimit is the limit of a new gate, in queries in flight.
	initialLimit = 16
	// minLimit leaves enough queries in flight to keep measuring.
	minLimit = 2
	// maxLimit is the upper bound of the limit of one node.
	maxLimit = 4096
	// windowQueries is the number of queries between two adjustments.
	windowQueries = 24
	// maxLatencyRatio is the ratio of the mean elapsed time to the unloaded mean
	// above which the limit is lowered.
	maxLatencyRatio = 1.6
	// maxCongestedFraction is the fraction of congested queries above which the
	// limit is lowered.
	maxCongestedFraction = 0.1
	// decreaseFactor and increaseFactor change the limit in one adjustment.
	decreaseFactor = 0.9
	increaseFactor = 1.1
	// unloadedDrift is the factor that raises the unloaded mean in each window,
	// so that it adapts to a system that has become slower for good.
	unloadedDrift = 1.005
)

// limiter adapts the limit of queries in flight to the elapsed time and the
// congestion of windows of queries.
type limiter struct {
	limit float64
	// unloaded and recent are mean elapsed times in nanoseconds: the estimate for
	// an unloaded system and that of the last window.
	unloaded float64
	recent   float64
	// The other fields describe the current window.
	elapsedSum  time.Duration
	n           int
	congested   int
	maxInFlight int
}

// newLimiter returns a limiter with the initial limit and no measurements.
func newLimiter() limiter {
	return limiter{limit: initialLimit}
}

// current returns the maximum number of queries in flight.
func (l *limiter) current() int {
	return int(l.limit)
}

// mean returns the mean elapsed time of the last window, or 0 before the first
// window has ended.
func (l *limiter) mean() time.Duration {
	return time.Duration(l.recent)
}

// observe adds the feedback of one query that ended with inFlight queries in
// flight, including itself.
func (l *limiter) observe(f Feedback, inFlight int) {
	l.elapsedSum += f.Elapsed
	l.n++
	l.maxInFlight = max(l.maxInFlight, inFlight)
	if f.Congested {
		l.congested++
	}
	if l.n == windowQueries {
		l.endWindow()
	}
}

// endWindow adjusts the limit at the end of a window.
func (l *limiter) endWindow() {
	l.recent = float64(l.elapsedSum) / float64(l.n)
	if l.unloaded == 0 || l.recent < l.unloaded {
		l.unloaded = l.recent
	}
	l.unloaded *= unloadedDrift
	switch {
	case l.recent > maxLatencyRatio*l.unloaded, float64(l.congested) > maxCongestedFraction*float64(l.n):
		l.limit = max(minLimit, min(l.limit, float64(l.maxInFlight))*decreaseFactor)
	case l.maxInFlight >= l.current():
		l.limit = min(maxLimit, max(l.limit*increaseFactor, l.limit+1))
	}
	l.elapsedSum, l.n, l.congested, l.maxInFlight = 0, 0, 0, 0
}
