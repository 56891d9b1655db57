// Package placement chooses the searcher that a request is sent to.
//
// It is made for fan-outs over small shards with a few replicas each. Every VM
// sends to every replica, replicas pause now and then, some are temporarily
// slow, cold or unreachable, and traffic between failure domains costs money.
// The candidate with the lowest estimated time to its answer is chosen.
//
// # Usage
//
//	i := placement.Choose(candidates, rand.IntN)
package placement

import "time"

const (
	// remotePenalty is added to the estimate of a searcher in another failure
	// domain, to account for the price of traffic between domains.
	remotePenalty = 3 * time.Millisecond
	// coldFactor is the slowdown of a searcher that has just started.
	coldFactor = 1.6
	// stallFactor is the age of a request in flight, in predicted service
	// times, from which its searcher counts as stalled.
	stallFactor = 3
	// minStallTime is the lower bound on the time after which a searcher counts
	// as stalled.
	minStallTime = 15 * time.Millisecond
	// minSlowdown is the lower bound on Candidate.SlowdownFactor.
	minSlowdown = 0.1
	// otherVMsLoad is the additional load, in requests, assumed for each
	// request in flight from this VM, as other VMs choose the same searchers.
	otherVMsLoad = 0.5
	// failurePenalty is the cost of a failed request, in median latencies: the
	// request has to be sent again. lastFailurePenalty is that of the last attempt
	// that the route permits: its failure leaves the caller without the answer.
	failurePenalty     = 4
	lastFailurePenalty = 40
	// scarcePenalty is the cost, in median latencies, of a request that uses up the
	// limit that a searcher has named. What is left of it goes to requests that the
	// shard's other searchers failed.
	scarcePenalty = 2
	// suspectPenalty ranks unresponsive searchers behind all others.
	suspectPenalty = time.Hour
	// maxFullWeightAge is the age up to which a load report counts in full. Its
	// weight falls in inverse proportion to its age beyond that.
	maxFullWeightAge = 50 * time.Millisecond
)

// Candidate describes the state of one searcher.
type Candidate struct {
	// Local reports whether the searcher is in this VM's failure domain.
	Local bool
	// Slots is the number of requests that the searcher runs concurrently.
	Slots int
	// InFlight is the number of requests that this VM has sent to or queued for
	// the searcher.
	InFlight int
	// Queued is the number of requests in InFlight that wait for a connection.
	Queued int
	// Ahead is the number of requests in Queued that are sent before a new one.
	Ahead int
	// Conns is the maximum number of connections to the searcher.
	Conns int
	// Waiting is the queue length in the searcher's last load report.
	Waiting int
	// ReportAge is the age of that report.
	ReportAge time.Duration
	// MedianLatency is the median latency of the route over all searchers.
	MedianLatency time.Duration
	// SlowdownFactor is the ratio of the searcher's latency to MedianLatency.
	SlowdownFactor float64
	// StalledFor is the age of the oldest request in flight that was sent after
	// the last one ended; 0 if there is none.
	StalledFor time.Duration
	// FailureRate is the recent share of failed requests, from 0 to 1.
	FailureRate float64
	// LastAttempt reports whether the route permits no further attempt.
	LastAttempt bool
	// Cold reports whether the searcher has just started.
	Cold bool
	// Suspect reports whether the searcher seems unresponsive.
	Suspect bool
	// NoConn reports whether a request would have to wait for a connection.
	NoConn bool
	// Limited reports whether the searcher has named a limit on the requests that it
	// accepts, or a time in which it wants none. LimitWait is the time until a new
	// request is permitted, and
	// LimitSpare the share of a burst that it permits at once, 0 to 1.
	Limited    bool
	LimitWait  time.Duration
	LimitSpare float64
	// NamedWait is the time in which the searcher wants no request from this VM; it is
	// part of LimitWait.
	NamedWait time.Duration
}

// Predict returns the expected wait for a connection and for the searcher's limit,
// and the expected service time after it. The service time includes queueing at the
// searcher, as SlowdownFactor is taken from recent requests.
func Predict(c Candidate) (wait, service time.Duration) {
	service = time.Duration(float64(c.MedianLatency) * max(c.SlowdownFactor, minSlowdown))
	if c.Cold {
		service = time.Duration(float64(service) * coldFactor)
	}
	if c.NoConn {
		wait = time.Duration(float64(service) * (1 + float64(c.Ahead)/float64(max(c.Conns, 1))))
	}
	return max(wait, c.LimitWait), service
}

// Parts are the parts of an estimate.
type Parts struct {
	// Service and Wait are those of Predict, and Queue is the time for the requests that
	// the searcher has.
	Service, Wait, Queue time.Duration
	// The others are penalties: for an answer that is overdue, for recent failures, for the use
	// of a limit, for another failure domain and for a searcher that seems unresponsive.
	Stall, Failures, Limit, Remote, Suspect time.Duration
}

// Sum returns the estimate.
func (p Parts) Sum() time.Duration {
	return p.Service + p.Wait + p.Queue + p.Stall + p.Failures + p.Limit + p.Remote + p.Suspect
}

// Estimate returns the expected time to an answer from c, plus penalties for
// stalls, failures, a remote domain and unresponsiveness.
func Estimate(c Candidate) time.Duration { return Breakdown(c).Sum() }

// Breakdown returns the parts of the estimate.
func Breakdown(c Candidate) Parts {
	var p Parts
	p.Wait, p.Service = Predict(c)
	slots := max(c.Slots, 1)
	ahead := float64(c.InFlight)
	if c.ReportAge < maxFullWeightAge {
		ahead += float64(c.Waiting)
	} else {
		ahead += float64(c.Waiting) * float64(maxFullWeightAge) / float64(c.ReportAge)
	}
	p.Queue = time.Duration(float64(p.Service) * max(0, ahead+1-float64(slots)) / float64(slots))
	p.Queue += time.Duration(float64(p.Service) * otherVMsLoad * float64(c.InFlight) / float64(slots))
	if c.StalledFor > max(stallFactor*p.Service, minStallTime) {
		p.Stall = c.StalledFor
	}
	penalty := failurePenalty * c.FailureRate
	if c.LastAttempt {
		penalty = lastFailurePenalty * c.FailureRate
	}
	p.Failures = time.Duration(penalty * float64(c.MedianLatency))
	if c.Limited {
		p.Limit = time.Duration(scarcePenalty * (1 - c.LimitSpare) * float64(c.MedianLatency))
	}
	if !c.Local {
		p.Remote = remotePenalty
	}
	if c.Suspect {
		p.Suspect = suspectPenalty
	}
	return p
}

// Choose returns the index of the candidate with the lowest estimate, or -1 if
// cs is empty. Ties are broken uniformly at random; intN(n) returns a random
// number in [0,n).
func Choose(cs []Candidate, intN func(int) int) int {
	best, lowest, ties := -1, time.Duration(0), 1
	for i, c := range cs {
		d := Estimate(c)
		switch {
		case best < 0 || d < lowest:
			best, lowest, ties = i, d, 1
		case d == lowest:
			ties++
			if intN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}
