package scatter

import (
	"context"
	"time"

	"egrethaven/internal/observe/event"
	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/coverage"
	"egrethaven/internal/query/keyrange"
	"egrethaven/internal/query/merge"
	"egrethaven/internal/query/outcome"
)

// finish builds the answer from the results of the shards.
func (r *run) finish(ctx context.Context) ask.Answer {
	c, lists, total := r.collect(ctx)
	a := ask.Answer{
		QueryID:  r.query.QueryID,
		Search:   r.query.Search,
		Hits:     r.merge(lists),
		Total:    total,
		Coverage: c,
		Complete: c.Complete(),
		Cost:     r.cost,
		Steps:    r.steps,
	}
	a.Outcome = r.outcome(ctx, a)
	if !a.Complete {
		r.e.c.Events.Emit(event.QueryIncomplete, r.query.Search, r.query.QueryID+" "+a.Outcome.String())
	}
	return a
}

// merge merges the hits of the shards into one list.
func (r *run) merge(lists [][]ask.Hit) []ask.Hit {
	m := merge.Merger{Reconcile: r.def.Reconcile, Text: r.query.Text, Filters: r.query.Filters, Limit: r.query.Limit}
	return m.Merge(lists)
}

// collect returns the coverage, the lists of hits and the total number of
// matching records, and cancels calls that are still in flight.
func (r *run) collect(ctx context.Context) (coverage.Coverage, [][]ask.Hit, int) {
	var covered []keyrange.Range
	var gaps []coverage.Gap
	lists := make([][]ask.Hit, 0, len(r.shards))
	total := 0
	now := time.Now()
	for i := range r.shards {
		s := &r.shards[i]
		if s.answer == nil {
			r.latencies = s.cancel(now, r.latencies)
			gaps = append(gaps, coverage.Gap{Range: s.Range, Reason: r.gapReason(ctx, s)})
			continue
		}
		covered = append(covered, s.Range)
		total += s.answer.Total
		if len(s.answer.Hits) > 0 {
			lists = append(lists, s.answer.Hits)
		}
	}
	return coverage.New(r.version, covered, gaps), append(lists, r.partHits...), total
}

// gapReason returns the reason why a shard without an answer is missing.
func (r *run) gapReason(ctx context.Context, s *shardState) outcome.Reason {
	switch {
	case s.gap != outcome.None:
		return s.gap
	case ctx.Err() == context.Canceled:
		return outcome.Canceled
	case s.lastReason != outcome.None && len(s.inFlight) == 0:
		return s.lastReason
	}
	return r.defaultGap
}

// outcome returns the outcome of the query. An incomplete answer is ok only if
// the caller accepts partial answers. The outcome is not_run only if no call
// has run or may have run.
func (r *run) outcome(ctx context.Context, a ask.Answer) outcome.Outcome {
	if a.Complete || r.query.AcceptPartial && len(a.Coverage.Covered) > 0 {
		return outcome.OK()
	}
	reason := outcome.IncompleteCoverage
	switch {
	case ctx.Err() == context.Canceled:
		reason = outcome.Canceled
	case r.defaultGap == outcome.Quarantined:
		reason = outcome.Quarantined
	case len(a.Coverage.Covered) > 0:
	case r.firstGap != outcome.None:
		reason = r.firstGap
	case len(a.Coverage.Missing) > 0:
		reason = a.Coverage.Missing[0].Reason
	}
	if !r.mayHaveRun && r.countInFlight() == 0 {
		return outcome.NotRun(reason)
	}
	return outcome.Failed(reason)
}

// countInFlight returns the number of calls whose result is not known.
func (r *run) countInFlight() int {
	n := 0
	for i := range r.shards {
		n += len(r.shards[i].inFlight)
	}
	for i := range r.groups {
		n += r.groups[i].inFlight
	}
	return n
}
