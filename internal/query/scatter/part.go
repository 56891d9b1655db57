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

// Part answers the ranges that a coordinator asks this node for as a holder.
// It makes no trial and no restart: those are the coordinator's. It never
// delegates further.
func (e *Engine) Part(ctx context.Context, p Part) PartReply {
	d, ok := e.c.Searches().Searches[p.Ask.Search]
	if !ok {
		return PartReply{Outcome: outcome.NotRun(outcome.UnknownSearch)}
	}
	r := newRun(e, e.lanes.of(d), d, p.Ask, time.Now())
	if e.c.Guard.Judge(r.print) == quarantine.Quarantined {
		return PartReply{Outcome: outcome.NotRun(outcome.Quarantined)}
	}
	r.delay = r.lane.hedgeDelay()
	r.part = true
	r.pinPart(p)
	c, cancel := context.WithDeadline(ctx, p.Ask.Deadline)
	defer cancel()
	r.ctx = c
	defer r.cancelCalls()
	r.results = make(chan result, resultBuffer)
	r.begin()
	r.loop()
	reply := r.finishPart(ctx)
	r.lane.latency.Add(r.samples...)
	return reply
}

// pinPart takes the ranges of a part that this node can call. The others
// become gaps when the part ends.
func (r *run) pinPart(p Part) {
	r.version = p.Version
	held := r.e.c.Source.Index(r.def.Service).Shards(p.Version)
	r.shards = make([]shardState, 0, len(p.Ranges))
	for _, want := range p.Ranges {
		s := shardState{Shard: Shard{Range: want}}
		if i := slices.IndexFunc(held, func(h Shard) bool { return h.Range == want }); i >= 0 {
			s.Replicas = held[i].Replicas
		} else {
			s.last = outcome.VersionGone
		}
		r.shards = append(r.shards, s)
	}
	r.open = len(r.shards)
}

// finishPart makes the reply from what the shards gave.
func (r *run) finishPart(ctx context.Context) PartReply {
	reply := PartReply{Outcome: outcome.OK(), Steps: r.steps, Cost: r.cost}
	now := time.Now()
	var lists [][]ask.Hit
	for i := range r.shards {
		s := &r.shards[i]
		if s.answer == nil {
			r.samples = s.cancel(now, r.samples)
			reply.Gaps = append(reply.Gaps, coverage.Gap{Range: s.Range, Reason: r.gap(ctx, s)})
			continue
		}
		reply.Covered = append(reply.Covered, Covered{Range: s.Range, Total: s.answer.Total})
		lists = append(lists, s.answer.Hits)
	}
	reply.Hits = r.merge(lists)
	return reply
}
