package scatter

import (
	"context"
	"sync/atomic"
	"time"

	"egrethaven/internal/infra/failuredomain"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/query/adaptivelimit"
	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/coverage"
	"egrethaven/internal/query/keyrange"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/query/worker"
	"egrethaven/internal/state/config"
	"egrethaven/internal/state/search"
)

// defaultLimit is the number of hits returned if the caller sets no limit.
const defaultLimit = 20

// Config describes an Engine.
type Config struct {
	Source Source
	// Snapshot returns the configuration in force.
	Snapshot func() *config.Snapshot
	// LocalDomain is the failure domain of this VM.
	LocalDomain failuredomain.Domain
	Policy      Policy
	// Guard blocks requests that crash searchers; nil trusts every request.
	Guard Guard
	// Events receives the engine's events; nil discards them.
	Events event.Sink
	// OnAnswer, if not nil, is called with each query and its answer, except
	// queries of unknown searches or with a deadline in the past.
	OnAnswer func(ask.Query, ask.Answer)
	// Seed of the random number generator of each query.
	Seed uint64
}

// Engine answers queries. It is safe for concurrent use.
type Engine struct {
	c        Config
	searches searchStates
	// runs counts the queries and the parts that were run.
	runs    atomic.Uint64
	workers *worker.Pool
}

// New returns an engine.
func New(c Config) *Engine {
	if c.Guard == nil {
		c.Guard = trustingGuard{}
	}
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	if c.OnAnswer == nil {
		c.OnAnswer = func(ask.Query, ask.Answer) {}
	}
	return &Engine{c: c, workers: worker.New(), searches: searchStates{fixedAdmission: c.Policy.FixedAdmission, byName: make(map[string]*searchState)}}
}

// Close waits for calls that are still running after their query ended.
func (e *Engine) Close() {
	e.workers.Close()
}

// Ask runs one query. The answer always has an outcome. If it is not complete,
// its coverage lists the missing ranges.
func (e *Engine) Ask(ctx context.Context, q ask.Query) ask.Answer {
	start := time.Now()
	s := e.c.Snapshot()
	d, ok := s.Searches[q.Search]
	if !ok {
		return refusedAnswer(q, outcome.UnknownSearch, s.Revision, start)
	}
	q = e.applyLimits(q, d, start)
	if !q.Deadline.After(start) {
		return refusedAnswer(q, outcome.DeadlinePast, s.Revision, start)
	}
	ans := e.runAdmitted(ctx, q, d, start)
	ans.ConfigRevision = s.Revision
	ans.ElapsedMS = milliseconds(time.Since(start))
	e.c.OnAnswer(q, ans)
	return ans
}

// applyLimits caps the deadline and the limit of a query by the definition of
// its search and fills in defaults.
func (e *Engine) applyLimits(q ask.Query, d search.Definition, now time.Time) ask.Query {
	latest := now.Add(d.Deadline)
	if t := e.c.Policy.Timeout; t > 0 && now.Add(t).Before(latest) {
		latest = now.Add(t)
	}
	if q.Deadline.IsZero() || q.Deadline.After(latest) {
		q.Deadline = latest
	}
	if q.Limit <= 0 {
		q.Limit = defaultLimit
	}
	if d.MaxLimit > 0 {
		q.Limit = min(q.Limit, d.MaxLimit)
	}
	return q
}

// runAdmitted waits for admission and runs the query.
func (e *Engine) runAdmitted(ctx context.Context, q ask.Query, d search.Definition, start time.Time) ask.Answer {
	st := e.searches.get(d)
	if o := st.gate.Acquire(ctx, q.Caller, q.Priority, q.Deadline); !o.OK() {
		e.c.Events.Emit(event.QueryRefused, q.Search, o.String())
		return refusedAnswer(q, o.Reason, 0, start)
	}
	admitted := time.Now()
	r := newRun(e, st, d, q, start)
	ans := r.answer(ctx)
	st.gate.Release(q.Caller, adaptivelimit.Feedback{Elapsed: time.Since(admitted) - r.versionWait, Congested: r.congested()})
	return ans
}

// refusedAnswer returns the answer to a query that did not run.
func refusedAnswer(q ask.Query, r outcome.Reason, revision uint64, start time.Time) ask.Answer {
	return ask.Answer{
		QueryID:        q.QueryID,
		Search:         q.Search,
		Outcome:        outcome.NotRun(r),
		Hits:           []ask.Hit{},
		Coverage:       coverage.New(0, nil, []coverage.Gap{{Range: keyrange.Whole, Reason: r}}),
		ElapsedMS:      milliseconds(time.Since(start)),
		ConfigRevision: revision,
	}
}

// milliseconds returns d in milliseconds.
func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
