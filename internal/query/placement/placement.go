// Package placement chooses the searcher that a request is sent to.
//
// It answers the load of fan-outs over small shards with a few replicas each:
// every VM sends to every replica, a replica pauses now and then, some are
// slow for a while, cold or unreachable, and bytes between failure domains
// cost money. Each candidate gets an estimate of the time until its answer,
// and the least one wins.
//
// # Usage
//
//	i := placement.Choose(candidates, rand.IntN)
package placement

import "time"

const (
	// remoteCost is the time that an answer from the own failure domain may
	// take longer than one from another before the other is preferred. It
	// covers the price of bytes between domains.
	remoteCost = 3 * time.Millisecond
	// coldFactor is how much longer a searcher takes that has just started.
	coldFactor = 1.6
	// stallFactor is how many usual service times a request may be under way
	// before its searcher is taken to have stalled.
	stallFactor = 3
	// stallLeast is the least time before a searcher is taken to have
	// stalled.
	stallLeast = 15 * time.Millisecond
	// leastFactor bounds how fast a searcher is taken to be.
	leastFactor = 0.1
	// othersShare is the part of a slot that each request in hand is taken to
	// cost beside it: other VMs choose the same searchers.
	othersShare = 0.5
	// failureCost is the time that a failed request costs its caller, in
	// usual service times: it has to be sent again.
	failureCost = 4
	// suspectCost puts searchers that do not seem to answer behind all
	// others.
	suspectCost = time.Hour
	// loadAge is how long a load report counts in full; its weight falls
	// with the age beyond it.
	loadAge = 50 * time.Millisecond
)

// Candidate is what is known of one searcher.
type Candidate struct {
	// Local tells that it is in this VM's failure domain.
	Local bool
	// Slots is how many requests it runs at a time.
	Slots int
	// InFlight is how many requests this VM has under way or queued there,
	// and Queued how many of them wait for one of its Conns connections.
	InFlight int
	Queued   int
	Conns    int
	// Waiting is how many requests it reported to be waiting, and Age how
	// old that report is.
	Waiting   int
	ReportAge time.Duration
	// Usual is the service time of this kind of request over all searchers.
	MedianLatency time.Duration
	// Factor is how much slower this searcher is than the others.
	SlowdownFactor float64
	// Stalled is how long the oldest request there has been under way without
	// any other having ended; 0 if none is.
	StalledFor time.Duration
	// Failures is the recent share of requests that failed, 0 to 1.
	FailureRate float64
	Cold        bool
	// Suspect searchers do not seem to answer at all.
	Suspect bool
	// NoConn tells that a request would have to wait for a connection.
	NoConn bool
}

// Predict is how long a request would wait for a connection, and how long
// the searcher would then take for it. The recent factor of the searcher
// contains the queue that requests met there.
func Predict(c Candidate) (wait, service time.Duration) {
	service = time.Duration(float64(c.MedianLatency) * max(c.SlowdownFactor, leastFactor))
	if c.Cold {
		service = time.Duration(float64(service) * coldFactor)
	}
	if c.NoConn {
		wait = time.Duration(float64(service) * (1 + float64(c.Queued)/float64(max(c.Conns, 1))))
	}
	return wait, service
}

// Estimate is the time until an answer from c, with a charge for what makes
// it a worse choice than its speed tells.
func Estimate(c Candidate) time.Duration {
	wait, service := Predict(c)
	slots := max(c.Slots, 1)
	ahead := float64(c.InFlight)
	if c.ReportAge < loadAge {
		ahead += float64(c.Waiting)
	} else {
		ahead += float64(c.Waiting) * float64(loadAge) / float64(c.ReportAge)
	}
	d := service + wait + time.Duration(float64(service)*max(0, ahead+1-float64(slots))/float64(slots))
	d += time.Duration(float64(service) * othersShare * float64(c.InFlight) / float64(slots))
	if c.StalledFor > max(stallFactor*service, stallLeast) {
		d += c.StalledFor
	}
	d += time.Duration(failureCost * c.FailureRate * float64(c.MedianLatency))
	if !c.Local {
		d += remoteCost
	}
	if c.Suspect {
		d += suspectCost
	}
	return d
}

// Choose returns the index of the best candidate, or -1 if there is none.
// Equal ones are chosen with equal chances; pick returns a number below its
// argument.
func Choose(cs []Candidate, pick func(int) int) int {
	best, least, equal := -1, time.Duration(0), 1
	for i, c := range cs {
		d := Estimate(c)
		switch {
		case best < 0 || d < least:
			best, least, equal = i, d, 1
		case d == least:
			equal++
			if pick(equal) == 0 {
				best = i
			}
		}
	}
	return best
}
