// Package adaptivelimit limits the number of queries that a node runs at a time.
//
// A query needs an answer from every shard. If overloaded backend servers shed
// single calls, nearly every query fails. The Gate therefore refuses whole
// queries before any call is made, so that a refused query is not_run. An
// adaptive concurrency limit keeps the mean query duration near that of an
// unloaded system. Queries above the limit wait in a queue ordered by deadline,
// or are refused if they would miss it. Callers that exceed their share of the
// limit are admitted after all others, and queries of higher priorities before
// those of lower ones, but for every fourth one that is admitted.
//
// # Usage
//
//	g := adaptivelimit.New(adaptivelimit.Config{Shares: d.Shares})
//	o := g.Acquire(ctx, "claims_desk", 0, deadline)
//	if o.OK() {
//		defer func() { g.Release("claims_desk", adaptivelimit.Feedback{Elapsed: e, Congested: c}) }()
//	}
package adaptivelimit

import (
	"context"
	"sync"
	"time"

	"egrethaven/internal/query/outcome"
	"egrethaven/internal/state/search"
)

// deadlineTurn is how often the next waiting query is chosen by its deadline alone: each fourth
// time, so that queries of higher priorities do not starve others with the same time left.
const deadlineTurn = 4

// maxWaitFraction is the largest fraction of the time left that a query may
// wait for admission.
const maxWaitFraction = 0.3

// Config describes a Gate.
type Config struct {
	// Shares of the limit for named callers; each other caller may use what the
	// named shares leave.
	Shares []search.Share
	// Fixed admits every query at once, without an adaptive limit.
	Fixed bool
}

// Feedback is the measured load of an admitted query.
type Feedback struct {
	// Elapsed is the time from admission to the answer.
	Elapsed time.Duration
	// Congested is set if backend servers shed calls or the deadline passed.
	Congested bool
}

// Gate admits queries. It is safe for concurrent use.
type Gate struct {
	m        sync.Mutex
	fixed    bool
	shares   shares
	limit    limiter
	inFlight int
	callers  map[string]int
	waiting  []*waiter
	// turn counts the admissions of waiting queries.
	turn int
}

// waiter is a query that waits for admission.
type waiter struct {
	caller   string
	priority int
	deadline time.Time
	admitted chan struct{}
}

// New returns a gate with the initial limit.
func New(c Config) *Gate {
	return &Gate{fixed: c.Fixed, shares: newShares(c.Shares), limit: newLimiter(), callers: make(map[string]int)}
}

// Acquire waits for admission of a query with a priority, of which 0 is the highest. If the
// outcome is not ok, the query must not run; otherwise Release has to be called when the query
// ends.
func (g *Gate) Acquire(ctx context.Context, caller string, priority int, deadline time.Time) outcome.Outcome {
	g.m.Lock()
	if g.fixed || g.inFlight < g.limit.current() && len(g.waiting) == 0 {
		g.admit(caller)
		g.m.Unlock()
		return outcome.OK()
	}
	w := &waiter{caller: caller, priority: priority, deadline: deadline, admitted: make(chan struct{})}
	if o := g.checkWait(w, time.Now()); !o.OK() {
		g.m.Unlock()
		return o
	}
	g.waiting = append(g.waiting, w)
	g.m.Unlock()
	return g.wait(ctx, w)
}

// Release records the end of an admitted query and admits waiting ones.
func (g *Gate) Release(caller string, f Feedback) {
	g.m.Lock()
	defer g.m.Unlock()
	g.limit.observe(f, g.inFlight)
	g.inFlight--
	if g.callers[caller]--; g.callers[caller] <= 0 {
		delete(g.callers, caller)
	}
	for len(g.waiting) > 0 && g.inFlight < g.limit.current() {
		i := g.next()
		w := g.waiting[i]
		g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
		g.admit(w.caller)
		close(w.admitted)
	}
}

// Limit returns the concurrency limit and the number of queries in flight.
func (g *Gate) Limit() (limit, inFlight int) {
	g.m.Lock()
	defer g.m.Unlock()
	return g.limit.current(), g.inFlight
}

// admit counts a query of the caller as in flight.
func (g *Gate) admit(caller string) {
	g.inFlight++
	g.callers[caller]++
}

// wait waits until w is admitted, its deadline passes or ctx is done.
func (g *Gate) wait(ctx context.Context, w *waiter) outcome.Outcome {
	t := time.NewTimer(time.Until(w.deadline))
	defer t.Stop()
	reason := outcome.Canceled
	select {
	case <-w.admitted:
		return outcome.OK()
	case <-t.C:
		reason = outcome.Shed
	case <-ctx.Done():
	}
	g.m.Lock()
	defer g.m.Unlock()
	for i, v := range g.waiting {
		if v == w {
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
			return outcome.NotRun(reason)
		}
	}
	// w was admitted in the meantime.
	return outcome.OK()
}

// checkWait estimates the wait of w and refuses w if the wait is too long.
func (g *Gate) checkWait(w *waiter, now time.Time) outcome.Outcome {
	ahead, earlier := 0, 0
	over := g.overShare(w.caller)
	for _, v := range g.waiting {
		if g.before(v, w, over, false) {
			ahead++
		}
		if g.before(v, w, over, true) {
			earlier++
		}
	}
	ahead = min(ahead, deadlineTurn*(earlier+1)-1)
	mean := g.limit.mean()
	left := w.deadline.Sub(now)
	wait := time.Duration(float64(mean) * float64(ahead+1) / float64(g.limit.current()))
	if wait <= time.Duration(maxWaitFraction*float64(left)) && wait+mean <= left {
		return outcome.OK()
	}
	if over {
		return outcome.NotRun(outcome.OverShare)
	}
	return outcome.NotRun(outcome.Shed)
}

// overShare reports whether a caller uses its share of the limit or more.
func (g *Gate) overShare(caller string) bool {
	n := g.callers[caller]
	return n > 0 && float64(n) >= g.shares.of(caller)*float64(g.limit.current())
}

// before reports whether v is admitted before w. wOver tells whether the caller
// of w is over its share, and byDeadline that priorities do not count.
func (g *Gate) before(v, w *waiter, wOver, byDeadline bool) bool {
	if vOver := g.overShare(v.caller); vOver != wOver {
		return wOver
	}
	if v.priority != w.priority && !byDeadline {
		return v.priority < w.priority
	}
	return !w.deadline.Before(v.deadline)
}

// next returns the index of the waiter to admit next.
func (g *Gate) next() int {
	g.turn++
	byDeadline := g.turn%deadlineTurn == 0
	best := 0
	for i, v := range g.waiting {
		if !g.before(g.waiting[best], v, g.overShare(v.caller), byDeadline) {
			best = i
		}
	}
	return best
}
