package scatter

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"egrethaven/internal/observe/event"
	"egrethaven/internal/query/admit"
	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/coverage"
	"egrethaven/internal/query/keyrange"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/query/worker"
	"egrethaven/internal/state/config"
	"egrethaven/internal/state/search"
	"egrethaven/internal/world/zone"
)

// defaultLimit is the number of hits when a caller names none.
const defaultLimit = 20

// Config describes an Engine.
type Config struct {
	Source Source
	// Searches returns the configuration in force.
	Searches func() *config.Snapshot
	// Home is the failure domain of this VM.
	Home   zone.Domain
	Policy Policy
	// Guard against requests that crash searchers; nil trusts every request.
	Guard Guard
	// Events takes what happens; nil drops it.
	Events event.Sink
	// Observe is called with each question and its answer; nil for none.
	Observe func(ask.Ask, ask.Answer)
	// Seed of the random choices.
	Seed uint64
}

// Engine answers queries. It is safe for concurrent use.
type Engine struct {
	c       Config
	lanes   lanes
	queries atomic.Uint64
	workers *worker.Pool
}

// New returns an engine.
func New(c Config) *Engine {
	if c.Guard == nil {
		c.Guard = openGuard{}
	}
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	if c.Observe == nil {
		c.Observe = func(ask.Ask, ask.Answer) {}
	}
	return &Engine{c: c, workers: worker.New(), lanes: lanes{fixed: c.Policy.FixedAdmission, names: make(map[string]*lane)}}
}

// Close waits for the calls that answered queries left behind.
func (e *Engine) Close() {
	e.workers.Close()
}

// Ask answers one question. The answer always names its outcome; it is
// complete, or its coverage tells what it misses.
func (e *Engine) Ask(ctx context.Context, a ask.Ask) ask.Answer {
	start := time.Now()
	s := e.c.Searches()
	d, ok := s.Searches[a.Search]
	if !ok {
		return refused(a, outcome.UnknownSearch, s.Revision, start)
	}
	a = e.fit(a, d, start)
	if !a.Deadline.After(start) {
		return refused(a, outcome.DeadlinePast, s.Revision, start)
	}
	ans := e.admitted(ctx, a, d, start)
	ans.ConfigRevision = s.Revision
	ans.ElapsedMS = milliseconds(time.Since(start))
	e.c.Observe(a, ans)
	return ans
}

// fit bounds a question by the definition of its search.
func (e *Engine) fit(a ask.Ask, d search.Definition, now time.Time) ask.Ask {
	last := now.Add(d.Deadline)
	if t := e.c.Policy.Timeout; t > 0 && now.Add(t).Before(last) {
		last = now.Add(t)
	}
	if a.Deadline.IsZero() || a.Deadline.After(last) {
		a.Deadline = last
	}
	if a.Limit <= 0 {
		a.Limit = defaultLimit
	}
	if d.MaxLimit > 0 {
		a.Limit = min(a.Limit, d.MaxLimit)
	}
	return a
}

// admitted waits for admission and runs the query.
func (e *Engine) admitted(ctx context.Context, a ask.Ask, d search.Definition, start time.Time) ask.Answer {
	l := e.lanes.of(d)
	if o := l.gate.Enter(ctx, a.Caller, a.Deadline); !o.OK() {
		e.c.Events.Emit(event.QueryRefused, a.Search, o.String())
		return refused(a, o.Reason, 0, start)
	}
	began := time.Now()
	r := newRun(e, l, d, a, start)
	ans := r.answer(ctx)
	l.gate.Leave(a.Caller, admit.Feedback{Elapsed: time.Since(began) - r.pinWait, Congested: r.congested()})
	return ans
}

// random returns the random source of one query.
func (e *Engine) random() *rand.Rand {
	return rand.New(rand.NewPCG(e.c.Seed, e.queries.Add(1)))
}

// refused is the answer to a question that did not run.
func refused(a ask.Ask, r outcome.Reason, revision uint64, start time.Time) ask.Answer {
	return ask.Answer{
		QueryID:        a.QueryID,
		Search:         a.Search,
		Outcome:        outcome.NotRun(r),
		Hits:           []ask.Hit{},
		Coverage:       coverage.New(0, nil, []coverage.Gap{{Range: keyrange.Whole, Reason: r}}),
		ElapsedMS:      milliseconds(time.Since(start)),
		ConfigRevision: revision,
	}
}

// milliseconds converts a duration for reports.
func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
