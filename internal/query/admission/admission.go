// Package admission decides on arrival whether a request is worth sending.
//
// In a burst, fan-outs arrive faster than the searchers of a shard can run
// them, queues build up at every shard and every answer is late. A request is
// refused before anything is sent if queues would make its answer miss the
// latency objective, if the answer would miss the deadline for any reason, or
// if too few shards have a responsive searcher. The refusal says when the
// queues are expected to have drained. A request that would be late only
// because its searchers are slow is admitted, as a later retry would not be
// faster.
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
)

const (
	// minRetryAfter and maxRetryAfter bound Decision.RetryAfter, so that a
	// client retries neither immediately nor after it has given up.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 500 * time.Millisecond
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
}

// Request describes a request and the searchers available to it.
type Request struct {
	// Shards holds the shards that have a responsive searcher.
	Shards []Shard
	// MinShards is the number of shards that have to answer.
	MinShards int
	// Objective is the time left until the latency objective.
	Objective time.Duration
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
	// time; 0 if TooFewShards is set.
	RetryAfter time.Duration
	// ExpectedTime is the expected time until MinShards shards have answered.
	ExpectedTime time.Duration
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
	late := d.ExpectedTime - r.Objective
	d.Admit = late <= 0 || !last.Queued && d.ExpectedTime <= r.TimeLeft
	if !d.Admit {
		d.RetryAfter = min(max(late, minRetryAfter), maxRetryAfter)
	}
	return d
}
