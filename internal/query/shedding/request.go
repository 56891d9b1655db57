// Package shedding decides which requests are served first, which are refused and which
// get extra sends, while there is not enough for all.
//
// The value of serving a request now is the worth of its answer to the caller, divided by
// the work that the request needs at searchers. Worth depends on the priority, on whether
// the answer can still be within the latency objective or only before the deadline, and on
// how little time is left for it: a request that can wait gives way to one that cannot. It
// grows with the time that a request has waited. An eighth of the time of searchers goes to
// the requests that have waited longest, whatever their value.
//
// Work is the service time as measured times the number of searchers, because a fan-out
// that runs at half of its shards is of no use to the caller. Priorities count by rank
// among those in use: in a deployment with one priority it makes no difference which.
//
// Requests of one route and one client account form a class. A class that was served
// clearly less often than the others of its priority ranks higher until it has caught up.
//
// All times are passed in, and all state is that of a Policy or a Picker.
//
// # Usage
//
//	p := shedding.NewPolicy()
//	r := shedding.Request{Standing: p.Standing(now, class, priority), Arrived: now, Deadline: d, Service: s, Sends: 36}
//	next := picker.Next(now, len(queue), func(n int) shedding.Request { return queue[n].request })
//	p.Ended(class, priority, served)
package shedding

import (
	"math"
	"time"
)

const (
	// rankWeight is the ratio of the worth of an answer to that of one of the next lower
	// rank. In the load scenarios of docs/design/overload.md, 1 served the lookups of the
	// highest rank less often than others, and more than 4 made no difference.
	rankWeight = 4
	// lateWorth is the worth of an answer after the objective, relative to one within it.
	lateWorth = 0.4
	// slackScale is the slack over which the value of a request falls to 1/e, as in the
	// apparent tardiness cost rule for scheduling, and minUrgency the least factor. A scale
	// of some service times of the request itself let long ones with much time go first.
	slackScale = 100 * time.Millisecond
	minUrgency = 0.02
	// ageFactor is the growth of the value while a request waits as long as its objective.
	ageFactor = 2
	// minService is the lower bound on the service time, so that a value is finite.
	minService = time.Millisecond
	// behindWeight and starvedWeight multiply the value of requests of a class that is
	// behind others.
	behindWeight  = rankWeight
	starvedWeight = rankWeight * rankWeight
)

// Request describes a waiting request.
type Request struct {
	Standing Standing
	Arrived  time.Time
	// Objective is when the answer is late; zero for never.
	Objective time.Time
	// Deadline is when an answer is of no use any more; zero for never.
	Deadline time.Time
	// Service is the expected time from sending to the answer of one searcher.
	Service time.Duration
	// Sends is the number of searchers that the request needs.
	Sends int
}

// CanBeServed reports whether the request, if it is sent now, is expected to be answered
// before its deadline.
func (r Request) CanBeServed(now time.Time) bool {
	return r.Deadline.IsZero() || !now.Add(r.Service).After(r.Deadline)
}

// Value returns the value of sending the request now; 0 if it can no longer be served.
func (r Request) Value(now time.Time) float64 {
	if !r.CanBeServed(now) {
		return 0
	}
	service := max(r.Service, minService)
	worth := lateWorth * urgency(now, r.Deadline, service)
	switch {
	case r.Objective.IsZero():
		worth += (1 - lateWorth) * urgency(now, r.Deadline, service)
	case !now.Add(service).After(r.Objective):
		worth += (1 - lateWorth) * urgency(now, r.Objective, service)
	}
	age := 1 + ageFactor*float64(now.Sub(r.Arrived))/float64(r.span())
	return r.Standing.weight() * worth * age / (service.Seconds() * float64(max(r.Sends, 1)))
}

// span returns the time from the arrival to the objective, or to the deadline if there is
// none.
func (r Request) span() time.Duration {
	const unbounded = time.Second
	switch {
	case r.Objective.After(r.Arrived):
		return r.Objective.Sub(r.Arrived)
	case r.Deadline.After(r.Arrived):
		return r.Deadline.Sub(r.Arrived)
	}
	return unbounded
}

// urgency is 1 if a request has to be sent now to be answered by due, and falls with the
// time that is left.
func urgency(now, due time.Time, service time.Duration) float64 {
	if due.IsZero() {
		return minUrgency
	}
	slack := due.Sub(now) - service
	return max(minUrgency, math.Exp(-float64(max(slack, 0))/float64(slackScale)))
}
