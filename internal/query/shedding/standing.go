package shedding

import (
	"math"
	"time"
)

const (
	// maxRank bounds Standing.Rank, so that the weights of a deployment with many
	// priorities stay in range.
	maxRank = 3
	// patienceStep is the part of the objective by which each rank is refused earlier while
	// queues build up.
	// minPatience bounds it. Requests of lower ranks that are admitted wait longer than is
	// predicted, because later ones of higher ranks overtake them: with a step of 0.15, more
	// than half of those that the load scenarios served were late.
	patienceStep = 0.4
	minPatience  = 0.2
	// patienceServices is the lower bound on the patience in service times.
	patienceServices = 2
	// queueStep is the part of a queue that each rank leaves to the next higher one.
	queueStep = 0.25
	// nonDecisiveShare is the part of a budget that is kept for sends that decide whether
	// a request is answered in time, and rankShare the part that each rank leaves to
	// higher ones.
	nonDecisiveShare = 0.2
	rankShare        = 0.1
)

// Standing is the place of a request among those of other priorities and classes.
type Standing struct {
	// Rank is the number of higher priorities in use, at most maxRank.
	Rank int
	// Behind reports that the class was served less often than others of its priority, and
	// Starved that it was served far less often than all.
	Behind, Starved bool
}

// rankWeights holds the weight of each rank.
var rankWeights = func() (w [maxRank + 1]float64) {
	for n := range w {
		w[n] = math.Pow(rankWeight, -float64(n))
	}
	return w
}()

// weight returns the factor of the value of a request.
func (s Standing) weight() float64 {
	w := rankWeights[min(max(s.Rank, 0), maxRank)]
	switch {
	case s.Starved:
		return w * starvedWeight
	case s.Behind:
		return w * behindWeight
	}
	return w
}

// Patience returns the time up to which an answer may be expected while queues build up, if
// the objective is due after the given time; a request whose answer is expected later is
// refused on arrival. A request that waits for one other of its kind is never refused for
// its rank.
func (s Standing) Patience(objective, service time.Duration) time.Duration {
	if s.Behind || s.Starved || s.Rank == 0 {
		return objective
	}
	share := max(minPatience, 1-patienceStep*float64(s.Rank))
	return min(objective, max(time.Duration(share*float64(objective)), patienceServices*service))
}

// QueueShare returns the share of a bounded queue up to which the request may fill it. The
// rest is kept for higher ranks.
func (s Standing) QueueShare() float64 {
	if s.Behind || s.Starved {
		return 1
	}
	return 1 - queueStep*float64(min(s.Rank, maxRank))
}

// MaySpend reports whether a request may take an extra send from a budget of which the
// given share is left. decisive tells that the send decides whether the request is
// answered in time, or at all.
func (s Standing) MaySpend(left float64, decisive bool) bool {
	keep := rankShare * float64(min(max(s.Rank, 0), maxRank))
	if s.Starved {
		keep = 0
	}
	if !decisive {
		keep += nonDecisiveShare
	}
	return left >= keep
}

const (
	// minReturn and maxReturn are the range of the random factor of ReturnAfter.
	minReturn = 0.7
	maxReturn = 1.6
)

// ReturnAfter returns when a refused request may come again: around wait, by which time
// the queues are expected to have drained, and not within notBefore, before which no
// searcher takes it. random is a random number in [0,1) that spreads the values, so that
// clients that were refused together do not return together.
func ReturnAfter(wait, notBefore time.Duration, random float64) time.Duration {
	d := time.Duration(float64(wait) * (minReturn + (maxReturn-minReturn)*random))
	if notBefore > 0 {
		d = max(d, notBefore+time.Duration(float64(wait)*random))
	}
	return d
}
