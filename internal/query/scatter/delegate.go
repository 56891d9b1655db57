package scatter

import (
	"context"
	"slices"
	"time"

	"egrethaven/internal/back/searcher"
	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/coverage"
	"egrethaven/internal/query/keyrange"
	"egrethaven/internal/query/outcome"
)

// partHedgeDelays is the number of hedge delays after which a slow holder is
// hedged with another holder of its group.
const partHedgeDelays = 8

// Holder is another entry VM that queries the searchers of a group of shards
// for the coordinator.
type Holder interface {
	ID() string
	Part(ctx context.Context, p PartRequest) PartReply
}

// PartRequest is the request of a coordinator to a holder: a query, restricted
// to some ranges of one version.
type PartRequest struct {
	Query   ask.Query
	Version uint64
	Ranges  []keyrange.Range
}

// PartReply is the reply of a holder. Outcome is ok if the holder ran the part,
// even if ranges are missing; each range is in Covered or in Gaps.
type PartReply struct {
	Outcome outcome.Outcome
	Covered []CoveredRange
	Gaps    []coverage.Gap
	Hits    []ask.Hit
	Cost    ask.Cost
	Steps   []ask.Step
}

// CoveredRange is a range that a reply covers, with the number of matching
// records.
type CoveredRange struct {
	Range keyrange.Range
	Total int
}

// group is the set of shards of one query that have the same holders.
type group struct {
	holders []Holder
	// shards are indexes into run.shards.
	shards []int
	// asked is the number of holders that were sent the part.
	asked    int
	inFlight int
}

// partResult is the result of one call to a holder.
type partResult struct {
	group int
	reply PartReply
}

// groupShards groups the shards that are queried through holders. All shards
// of a group have the same holders.
func (r *run) groupShards() {
	index := make(map[int]int)
	r.groups = r.groups[:0]
	for i := range r.shards {
		s := &r.shards[i]
		if len(s.Holders) == 0 {
			continue
		}
		k, ok := index[s.Group]
		if !ok {
			k = len(r.groups)
			index[s.Group] = k
			r.groups = append(r.groups, group{holders: r.shuffled(s.Holders)})
		}
		r.groups[k].shards = append(r.groups[k].shards, i)
	}
	r.parts = make(chan partResult, len(r.groups))
}

// shuffled returns the holders in random order, to spread the parts of
// different coordinators over them.
func (r *run) shuffled(hs []Holder) []Holder {
	out := slices.Clone(hs)
	r.rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// delegate sends the part of each group to its first holder.
func (r *run) delegate(now time.Time) {
	for k := range r.groups {
		r.countPrimaries(len(r.groups[k].shards))
		r.askHolder(k, now, "part")
	}
}

// askHolder sends the next holder of group k a part with the shards that are
// still open. It returns false when no holder is left.
func (r *run) askHolder(k int, now time.Time, what string) bool {
	g := &r.groups[k]
	if g.asked == len(g.holders) {
		return false
	}
	h := g.holders[g.asked]
	g.asked++
	g.inFlight++
	p := PartRequest{Query: r.query, Version: r.version, Ranges: r.openRanges(g)}
	r.step(what, h.ID(), nil, "")
	r.addTimer(timer{at: now.Add(partHedgeDelays * r.hedgeDelay), shard: noShard, group: k + 1})
	c, out := r.ctx, r.parts
	r.e.workers.Go(func() {
		res := partResult{group: k, reply: h.Part(c, p)}
		select {
		case out <- res:
		case <-c.Done():
		}
	})
	return true
}

// openRanges returns the ranges of the shards of a group that have neither an
// answer nor a gap.
func (r *run) openRanges(g *group) []keyrange.Range {
	rs := make([]keyrange.Range, 0, len(g.shards))
	for _, i := range g.shards {
		if !r.shards[i].done() {
			rs = append(rs, r.shards[i].Range)
		}
	}
	return rs
}

// handlePartResult processes the reply of a holder.
func (r *run) handlePartResult(res partResult) {
	g := &r.groups[res.group]
	g.inFlight--
	o := res.reply.Outcome
	r.step("part answer", "", nil, o.String())
	r.mayHaveRun = r.mayHaveRun || o.Kind != outcome.KindNotRun
	r.addCost(res.reply)
	if o.OK() {
		r.acceptPart(g, res.reply)
		return
	}
	if g.inFlight > 0 || r.ctx.Err() != nil {
		return
	}
	n := len(r.openRanges(g))
	if (placedNoLoad(o) || r.search.budget.SpendReserve(n)) && r.askHolder(res.group, time.Now(), "part again") {
		if !placedNoLoad(o) {
			r.cost.Retries += n
		}
		return
	}
	r.giveUpGroup(g, o.Reason)
}

// acceptPart accepts the covered ranges of a reply, and its gaps if no other
// holder is working on the group.
func (r *run) acceptPart(g *group, p PartReply) {
	accepted := false
	for _, i := range g.shards {
		s := &r.shards[i]
		if s.done() {
			continue
		}
		if c, ok := findCovered(p.Covered, s.Range); ok {
			r.accept(i, &searcher.Answer{Total: c.Total})
			accepted = true
			continue
		}
		if reason, ok := findGap(p.Gaps, s.Range); ok && g.inFlight == 0 {
			s.lastReason = reason
			if reason == outcome.VersionGone {
				r.versionGone(i)
			} else {
				r.giveUp(i, reason)
			}
			if r.restart {
				return
			}
		}
	}
	if accepted {
		r.partHits = append(r.partHits, p.Hits)
	}
}

// hedgeGroup asks a second holder of group k when the first one is slow, if the
// budget covers all open shards of the group.
func (r *run) hedgeGroup(k int, now time.Time) {
	g := &r.groups[k]
	n := len(r.openRanges(g))
	if n == 0 || g.inFlight != 1 || !r.search.budget.Spend(n) {
		return
	}
	if r.askHolder(k, now, "part hedge") {
		r.cost.Hedges += n
	}
}

// giveUpGroup gives up the open shards of a group.
func (r *run) giveUpGroup(g *group, reason outcome.Reason) {
	for _, i := range g.shards {
		if !r.shards[i].done() {
			r.giveUp(i, reason)
		}
	}
}

// addCost adds the cost of a part, except its primary calls, which the
// coordinator has counted already, and its steps.
func (r *run) addCost(p PartReply) {
	r.cost.Hedges += p.Cost.Hedges
	r.cost.Retries += p.Cost.Retries
	r.cost.Dropped += p.Cost.Dropped
	if r.query.Explain {
		r.steps = append(r.steps, p.Steps...)
	}
}

// findCovered returns the entry of cs for the range x.
func findCovered(cs []CoveredRange, x keyrange.Range) (CoveredRange, bool) {
	for _, c := range cs {
		if c.Range == x {
			return c, true
		}
	}
	return CoveredRange{}, false
}

// findGap returns the reason of the gap with the range x.
func findGap(gs []coverage.Gap, x keyrange.Range) (outcome.Reason, bool) {
	for _, g := range gs {
		if g.Range == x {
			return g.Reason, true
		}
	}
	return outcome.None, false
}
