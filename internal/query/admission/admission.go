// Package admission decides on arrival whether a request is worth sending.
//
// In a burst, fan-outs arrive faster than the searchers of a shard can run
// them, queues build up at every shard and every answer is late. A request is
// refused before anything is sent if queues would make its answer miss the
// latency objective, if the answer would miss the deadline for any reason, or
// if too few shards have a responsive searcher. The refusal says when the
// queues are expected to have drained. A request that would be late only
// because its searchers are slow is admitted, as a later retry would not be
// faster. While queues build up, requests of lower priorities are refused earlier,
// as later ones of higher priorities overtake them.
//
// A searcher may name a limit on the requests that it accepts. A shard whose searchers
// all have one, and little left of it, is left out of fan-outs that can do without,
// so that it lasts for those that cannot: one that needs nine of ten shards then does
// not use up what the next one needs.
//
// # Usage
//
//	d := admission.Decide(admission.Request{Shards: shards, MinShards: 9, Objective: 90 * time.Millisecond, TimeLeft: left})
//	if !d.Admit { refuse(d.RetryAfter) }
package admission

import (
	"cmp"
	"slices"
	"time"

	"egrethaven/internal/query/shedding"
)

const (
	// minRetryAfter and maxRetryAfter bound Decision.RetryAfter, so that a
	// client retries neither immediately nor after it has given up.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 500 * time.Millisecond
	// scarceSpare is the share of a burst below which the rest of a limit is kept for
	// fan-outs that cannot do without the shard.
	scarceSpare = 0.5
)

// Shard describes the best searcher of one shard.
type Shard struct {
	// ServiceTime is the expected time from sending to the answer, including
	// the recent queueing at the searcher.
	ServiceTime time.Duration
	// Wait is the expected wait for a connection before the request is sent.
	Wait time.Duration
	// Queued reports whether requests are queued for this searcher, either in
	// this process or at the searcher.
	Queued bool
	// NoConn reports whether the request would have to wait for a connection.
	NoConn bool
	// Limited reports whether all responsive searchers of the shard have named a limit,
	// and LimitSpare which share of a burst that of this one permits at once, 0 to 1.
	Limited    bool
	LimitSpare float64
	// NamedWait is the part of Wait for which the searcher has said that it wants no
	// request.
	NamedWait time.Duration
}

// Request describes a request and the searchers available to it.
type Request struct {
	// Shards holds the shards that have a responsive searcher.
	Shards []Shard
	// MinShards is the number of shards that have to answer.
	MinShards int
	// Objective is the time left until the latency objective.
	Objective time.Duration
	// Standing lowers the time for which queues may delay a request.
	Standing shedding.Standing
	// TimeLeft is the time left until the deadline.
	TimeLeft time.Duration
}

// Decision says whether to send a request.
type Decision struct {
	Admit bool
	// TooFewShards reports that fewer than MinShards shards have a responsive
	// searcher.
	TooFewShards bool
	// RetryAfter is the time after which a refused request could be served in
	// time; 0 if TooFewShards is set. NotBefore is the time before which it cannot be
	// served, as the searchers have said.
	RetryAfter time.Duration
	NotBefore  time.Duration
	// ExpectedTime is the expected time until MinShards shards have answered.
	ExpectedTime time.Duration
	// LeaveOut holds the indices of the shards to which an admitted request is not
	// sent, because of the limits that their searchers have named.
	LeaveOut []int
}

// Decide returns whether to admit a request.
func Decide(r Request) Decision {
	if len(r.Shards) < r.MinShards || r.MinShards < 1 {
		return Decision{TooFewShards: true}
	}
	s := slices.Clone(r.Shards)
	slices.SortFunc(s, func(a, b Shard) int { return cmp.Compare(a.ServiceTime+a.Wait, b.ServiceTime+b.Wait) })
	last := s[r.MinShards-1]
	d := Decision{ExpectedTime: last.ServiceTime + last.Wait}
	patience := r.Objective
	if last.Queued {
		patience = r.Standing.Patience(r.Objective, last.ServiceTime)
	}
	late := d.ExpectedTime - patience
	d.Admit = late <= 0 || !last.Queued && d.ExpectedTime <= r.TimeLeft
	if !d.Admit {
		d.RetryAfter = min(max(late, minRetryAfter), maxRetryAfter)
		d.NotBefore = last.NamedWait
		return d
	}
	d.LeaveOut = leaveOut(r)
	return d
}

// leaveOut returns the limited shards that a request does without: those whose limit
// permits the request too late, and those that have little left of it, scarcest first,
// as long as MinShards remain.
func leaveOut(r Request) []int {
	var out, scarce []int
	for n, s := range r.Shards {
		switch {
		case !s.Limited:
		case s.Wait+s.ServiceTime > r.Objective:
			out = append(out, n)
		case s.LimitSpare < scarceSpare:
			scarce = append(scarce, n)
		}
	}
	slices.SortFunc(scarce, func(a, b int) int { return cmp.Compare(r.Shards[a].LimitSpare, r.Shards[b].LimitSpare) })
	out = append(out, scarce...)
	return out[:max(0, min(len(out), len(r.Shards)-r.MinShards))]
}
