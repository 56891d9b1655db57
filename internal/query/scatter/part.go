package scatter

import (
	"context"
	"slices"
	"time"

	"egrethaven/internal/back/quarantine"
	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/coverage"
	"egrethaven/internal/query/outcome"
)

// Part runs a part for a coordinator, with this node as the holder. It makes no
// trial and no restart, which are left to the coordinator, and never delegates
// to other holders.
func (e *Engine) Part(ctx context.Context, p PartRequest) PartReply {
	d, ok := e.c.Snapshot().Searches[p.Query.Search]
	if !ok {
		return PartReply{Outcome: outcome.NotRun(outcome.UnknownSearch)}
	}
	r := newRun(e, e.searches.get(d), d, p.Query, time.Now())
	if e.c.Guard.Classify(r.fingerprint) == quarantine.Quarantined {
		return PartReply{Outcome: outcome.NotRun(outcome.Quarantined)}
	}
	r.hedgeDelay = r.search.hedgeDelay()
	r.isPart = true
	r.pinPart(p)
	c, cancel := context.WithDeadline(ctx, p.Query.Deadline)
	defer cancel()
	r.ctx = c
	defer r.cancelCalls()
	r.results = make(chan result, resultBuffer)
	r.startCalls()
	r.loop()
	reply := r.finishPart(ctx)
	r.search.latency.Add(r.latencies...)
	return reply
}

// pinPart sets up the shards of a part. Ranges that this node can't call have
// no replicas and become gaps when the part ends.
func (r *run) pinPart(p PartRequest) {
	r.version = p.Version
	held := r.e.c.Source.Index(r.def.Service).Shards(p.Version)
	r.shards = make([]shardState, 0, len(p.Ranges))
	for _, want := range p.Ranges {
		s := shardState{Shard: Shard{Range: want}}
		if i := slices.IndexFunc(held, func(h Shard) bool { return h.Range == want }); i >= 0 {
			s.Replicas = held[i].Replicas
		} else {
			s.lastReason = outcome.VersionGone
		}
		r.shards = append(r.shards, s)
	}
	r.openShards = len(r.shards)
}

// finishPart builds the reply from the results of the shards.
func (r *run) finishPart(ctx context.Context) PartReply {
	reply := PartReply{Outcome: outcome.OK(), Steps: r.steps, Cost: r.cost}
	now := time.Now()
	var lists [][]ask.Hit
	for i := range r.shards {
		s := &r.shards[i]
		if s.answer == nil {
			r.latencies = s.cancel(now, r.latencies)
			reply.Gaps = append(reply.Gaps, coverage.Gap{Range: s.Range, Reason: r.gapReason(ctx, s)})
			continue
		}
		reply.Covered = append(reply.Covered, CoveredRange{Range: s.Range, Total: s.answer.Total})
		lists = append(lists, s.answer.Hits)
	}
	reply.Hits = r.merge(lists)
	return reply
}
