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

// partDelays is how many hedge delays a holder may take before another one
// of its group is asked as well.
const partDelays = 8

// Holder is another entry VM that calls the searchers of a group of shards.
type Holder interface {
	ID() string
	Part(ctx context.Context, p Part) PartReply
}

// Part is what a coordinator asks of a holder.
type Part struct {
	Ask     ask.Ask
	Version uint64
	Ranges  []keyrange.Range
}

// PartReply is what a holder answers. Outcome is ok when it answered, for
// whatever ranges; each range is in Covered or in Gaps.
type PartReply struct {
	Outcome outcome.Outcome
	Covered []Covered
	Gaps    []coverage.Gap
	Hits    []ask.Hit
	Cost    ask.Cost
	Steps   []ask.Step
}

// Covered is a range that a reply holds, and how many records match in it.
type Covered struct {
	Range keyrange.Range
	Total int
}

// group is the shards of one query that one holder is asked for.
type group struct {
	holders []Holder
	shards  []int
	asked   int
	flights int
}

// partResult is the end of one call of a holder.
type partResult struct {
	group int
	reply PartReply
}

// gather sorts the shards that others hold into groups. Shards whose group
// is the same have the same holders.
func (r *run) gather() {
	at := make(map[int]int)
	r.groups = r.groups[:0]
	for i := range r.shards {
		s := &r.shards[i]
		if len(s.Holders) == 0 {
			continue
		}
		k, ok := at[s.Group]
		if !ok {
			k = len(r.groups)
			at[s.Group] = k
			r.groups = append(r.groups, group{holders: r.mixed(s.Holders)})
		}
		r.groups[k].shards = append(r.groups[k].shards, i)
	}
	r.parts = make(chan partResult, len(r.groups))
}

// mixed returns the holders in random order, so that coordinators spread
// their parts.
func (r *run) mixed(hs []Holder) []Holder {
	out := slices.Clone(hs)
	r.rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// delegate asks the first holder of each group.
func (r *run) delegate(now time.Time) {
	for k := range r.groups {
		r.countPrimaries(len(r.groups[k].shards))
		r.askHolder(k, now, "part")
	}
}

// askHolder asks the next holder of a group for the shards still open. It
// reports false when none is left.
func (r *run) askHolder(k int, now time.Time, what string) bool {
	g := &r.groups[k]
	if g.asked == len(g.holders) {
		return false
	}
	h := g.holders[g.asked]
	g.asked++
	g.flights++
	p := Part{Ask: r.ask, Version: r.version, Ranges: r.openRanges(g)}
	r.step(what, h.ID(), nil, "")
	r.push(due{at: now.Add(partDelays * r.delay), shard: noShard, part: k + 1})
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

// openRanges returns the ranges of a group that still have no end.
func (r *run) openRanges(g *group) []keyrange.Range {
	rs := make([]keyrange.Range, 0, len(g.shards))
	for _, i := range g.shards {
		if !r.shards[i].done() {
			rs = append(rs, r.shards[i].Range)
		}
	}
	return rs
}

// takePart handles the end of a part.
func (r *run) takePart(res partResult) {
	g := &r.groups[res.group]
	g.flights--
	o := res.reply.Outcome
	r.step("part answer", "", nil, o.String())
	r.sent = r.sent || o.Kind != outcome.KindNotRun
	r.addCost(res.reply)
	if o.OK() {
		r.settlePart(g, res.reply)
		return
	}
	if g.flights > 0 || r.ctx.Err() != nil {
		return
	}
	n := len(r.openRanges(g))
	if (unplaced(o) || r.lane.budget.SpendReserve(n)) && r.askHolder(res.group, time.Now(), "part again") {
		if !unplaced(o) {
			r.cost.Retries += n
		}
		return
	}
	r.giveUpGroup(g, o.Reason)
}

// settlePart takes the ranges of a part that have an end.
func (r *run) settlePart(g *group, p PartReply) {
	fresh := false
	for _, i := range g.shards {
		s := &r.shards[i]
		if s.done() {
			continue
		}
		if c, ok := coveredOf(p.Covered, s.Range); ok {
			r.accept(i, &searcher.Answer{Total: c.Total})
			fresh = true
			continue
		}
		if why, ok := gapOf(p.Gaps, s.Range); ok && g.flights == 0 {
			s.last = why
			if why == outcome.VersionGone {
				r.versionGone(i)
			} else {
				r.giveUp(i, why)
			}
			if r.restart {
				return
			}
		}
	}
	if fresh {
		r.partHits = append(r.partHits, p.Hits)
	}
}

// hedgePart asks another holder when one takes too long.
func (r *run) hedgePart(k int, now time.Time) {
	g := &r.groups[k]
	n := len(r.openRanges(g))
	if n == 0 || g.flights != 1 || !r.lane.budget.Spend(n) {
		return
	}
	if r.askHolder(k, now, "part hedge") {
		r.cost.Hedges += n
	}
}

// giveUpGroup names the open shards of a group missing.
func (r *run) giveUpGroup(g *group, why outcome.Reason) {
	for _, i := range g.shards {
		if !r.shards[i].done() {
			r.giveUp(i, why)
		}
	}
}

// addCost adds what a holder spent beyond the primaries, which the
// coordinator counted.
func (r *run) addCost(p PartReply) {
	r.cost.Hedges += p.Cost.Hedges
	r.cost.Retries += p.Cost.Retries
	r.cost.Dropped += p.Cost.Dropped
	if r.ask.Explain {
		r.steps = append(r.steps, p.Steps...)
	}
}

// coveredOf finds a range among those that a reply holds.
func coveredOf(cs []Covered, x keyrange.Range) (Covered, bool) {
	for _, c := range cs {
		if c.Range == x {
			return c, true
		}
	}
	return Covered{}, false
}

// gapOf finds the reason of a range among gaps.
func gapOf(gs []coverage.Gap, x keyrange.Range) (outcome.Reason, bool) {
	for _, g := range gs {
		if g.Range == x {
			return g.Reason, true
		}
	}
	return outcome.None, false
}
