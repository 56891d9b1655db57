package admit

import "time"

const (
	// initialLimit is the limit of a new gate, in queries.
	initialLimit = 16
	// lowestLimit keeps a trickle of queries to learn from.
	lowestLimit = 2
	// highestLimit bounds the queries of one node.
	highestLimit = 4096
	// windowQueries is how many queries one decision rests on.
	windowQueries = 24
	// tolerance is how far the mean elapsed time may rise above the unloaded
	// one before the limit falls.
	tolerance = 1.6
	// congestedPart is the part of congested queries that lowers the limit.
	congestedPart = 0.1
	// decrease and increase are the factors of one step.
	decrease = 0.9
	increase = 1.1
	// drift raises the unloaded mean in each window, so that a lasting change
	// of the system is accepted as its new normal.
	drift = 1.005
)

// limiter adapts the number of queries in flight.
type limiter struct {
	limit     float64
	unloaded  float64
	recent    float64
	sum       time.Duration
	n         int
	congested int
	highest   int
}

// newLimiter returns a limiter that knows nothing of the system.
func newLimiter() limiter {
	return limiter{limit: initialLimit}
}

// current returns the limit in queries.
func (l *limiter) current() int {
	return int(l.limit)
}

// mean returns the recent mean elapsed time, 0 when nothing is known.
func (l *limiter) mean() time.Duration {
	return time.Duration(l.recent)
}

// observe takes the feedback of one query while inFlight were running.
func (l *limiter) observe(f Feedback, inFlight int) {
	l.sum += f.Elapsed
	l.n++
	l.highest = max(l.highest, inFlight)
	if f.Congested {
		l.congested++
	}
	if l.n == windowQueries {
		l.decide()
	}
}

// decide ends a window.
func (l *limiter) decide() {
	l.recent = float64(l.sum) / float64(l.n)
	if l.unloaded == 0 || l.recent < l.unloaded {
		l.unloaded = l.recent
	}
	l.unloaded *= drift
	switch {
	case l.recent > tolerance*l.unloaded, float64(l.congested) > congestedPart*float64(l.n):
		l.limit = max(lowestLimit, min(l.limit, float64(l.highest))*decrease)
	case l.highest >= l.current():
		l.limit = min(highestLimit, max(l.limit*increase, l.limit+1))
	}
	l.sum, l.n, l.congested, l.highest = 0, 0, 0, 0
}
