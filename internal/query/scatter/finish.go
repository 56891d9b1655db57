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

// finish makes the answer from what the shards gave.
func (r *run) finish(ctx context.Context) ask.Answer {
	c, lists, total := r.collect(ctx)
	a := ask.Answer{
		QueryID:  r.ask.QueryID,
		Search:   r.ask.Search,
		Hits:     r.merge(lists),
		Total:    total,
		Coverage: c,
		Complete: c.Complete(),
		Cost:     r.cost,
		Steps:    r.steps,
	}
	a.Outcome = r.outcome(ctx, a)
	if !a.Complete {
		r.e.c.Events.Emit(event.QueryIncomplete, r.ask.Search, r.ask.QueryID+" "+a.Outcome.String())
	}
	return a
}

// merge makes one list of the hits of many shards.
func (r *run) merge(lists [][]ask.Hit) []ask.Hit {
	m := merge.Merger{Reconcile: r.def.Reconcile, Text: r.ask.Text, Filters: r.ask.Filters, Limit: r.ask.Limit}
	return m.Merge(lists)
}

// collect gathers the answers of the shards and names the gaps.
func (r *run) collect(ctx context.Context) (coverage.Coverage, [][]ask.Hit, int) {
	var covered []keyrange.Range
	var gaps []coverage.Gap
	lists := make([][]ask.Hit, 0, len(r.shards))
	total := 0
	now := time.Now()
	for i := range r.shards {
		s := &r.shards[i]
		if s.answer == nil {
			r.samples = s.cancel(now, r.samples)
			gaps = append(gaps, coverage.Gap{Range: s.Range, Reason: r.gap(ctx, s)})
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

// gap returns why a shard is missing.
func (r *run) gap(ctx context.Context, s *shardState) outcome.Reason {
	switch {
	case s.gap != outcome.None:
		return s.gap
	case ctx.Err() != nil:
		return outcome.Canceled
	case s.last != outcome.None && len(s.flights) == 0:
		return s.last
	}
	return r.ended
}

// outcome tells how the query ended. An incomplete answer is a success only
// for a caller who accepts one. A query none of whose calls ran is not_run.
func (r *run) outcome(ctx context.Context, a ask.Answer) outcome.Outcome {
	if a.Complete || r.ask.AcceptPartial && len(a.Coverage.Covered) > 0 {
		return outcome.OK()
	}
	reason := outcome.IncompleteCoverage
	switch {
	case ctx.Err() != nil:
		reason = outcome.Canceled
	case r.ended == outcome.Quarantined:
		reason = outcome.Quarantined
	case len(a.Coverage.Covered) > 0:
	case r.why != outcome.None:
		reason = r.why
	case len(a.Coverage.Missing) > 0:
		reason = a.Coverage.Missing[0].Reason
	}
	if !r.sent && r.inFlight() == 0 {
		return outcome.NotRun(reason)
	}
	return outcome.Failed(reason)
}

// inFlight counts the calls whose end is not known.
func (r *run) inFlight() int {
	n := 0
	for i := range r.shards {
		n += len(r.shards[i].flights)
	}
	for i := range r.groups {
		n += r.groups[i].flights
	}
	return n
}
