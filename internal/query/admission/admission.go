// Package admission decides at once whether a request is worth sending.
//
// It answers the load of a burst: fan-outs come faster than the searchers of
// a shard can run them, queues grow before each shard, and every answer is
// late. A request whose answer would miss its objective because of queues, or
// its deadline for any reason, or for which too few shards have a searcher
// that answers, is refused before anything was sent, and told
// when the queues will have drained. A request that would be late only
// because its searchers are slow is admitted: it would be no sooner later.
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
	// leastRetryAfter and mostRetryAfter bound when a refused request may come
	// back: not at once, and before its client has given up.
	leastRetryAfter = 20 * time.Millisecond
	mostRetryAfter  = 500 * time.Millisecond
)

// Shard is what is known of the best searcher of one shard.
type Shard struct {
	// Service is how long the searcher takes, with the queue that it had
	// lately.
	ServiceTime time.Duration
	// Wait is how long the request would wait before it is sent.
	Wait time.Duration
	// Queued tells that others wait there, here or at the searcher.
	Queued bool
}

// View is a request and the searchers that it needs.
type Request struct {
	// Shards are those that have a searcher which answers.
	Shards []Shard
	// Need is how many of the shards an answer needs.
	MinShards int
	// Objective is the time within which the answer is worth most, Left the
	// time after which it is worth nothing; both from now on.
	Objective time.Duration
	TimeLeft  time.Duration
}

// Decision is whether to send a request.
type Decision struct {
	Admit bool
	// Missing tells that too few shards have a searcher that answers.
	TooFewShards bool
	// RetryAfter is when a refused request could be served in time.
	RetryAfter time.Duration
	// Expected is when the needed shards would have answered.
	ExpectedTime time.Duration
}

// Decide judges one request.
func Decide(v Request) Decision {
	if len(v.Shards) < v.MinShards || v.MinShards < 1 {
		return Decision{TooFewShards: true}
	}
	s := slices.Clone(v.Shards)
	slices.SortFunc(s, func(a, b Shard) int { return cmp.Compare(a.ServiceTime+a.Wait, b.ServiceTime+b.Wait) })
	last := s[v.MinShards-1]
	d := Decision{ExpectedTime: last.ServiceTime + last.Wait}
	late := d.ExpectedTime - v.Objective
	d.Admit = late <= 0 || !last.Queued && d.ExpectedTime <= v.TimeLeft
	if !d.Admit {
		d.RetryAfter = min(max(late, leastRetryAfter), mostRetryAfter)
	}
	return d
}
