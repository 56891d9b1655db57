// Package admit decides which queries a node starts.
//
// A query needs an answer from every shard, so shedding single calls at the
// backend servers under overload spoils nearly every query. The Gate refuses
// whole queries instead, before any call: a refusal is truly not_run. It
// admits as many queries at a time as keep the mean elapsed time near that
// of an unloaded system, holds a few more in a queue ordered by deadline, and
// refuses those that could not be answered in time. Callers above their
// share of the limit stand behind the others.
//
// # Usage
//
//	g := admit.New(admit.Config{Shares: d.Shares})
//	o := g.Enter(ctx, "claims_desk", deadline)
//	if o.OK() {
//		defer func() { g.Leave("claims_desk", admit.Feedback{Elapsed: e, Congested: c}) }()
//	}
package admit

import (
	"context"
	"sync"
	"time"

	"egrethaven/internal/query/outcome"
	"egrethaven/internal/state/search"
)

// waitPart is the part of the time left that a query may spend waiting.
const waitPart = 0.3

// Config describes a Gate.
type Config struct {
	// Shares of callers; callers without one divide the rest.
	Shares []search.Share
	// Fixed disables adaption and waiting: every query is admitted.
	Fixed bool
}

// Feedback tells how an admitted query went.
type Feedback struct {
	// Elapsed is the time from admission to the answer.
	Elapsed time.Duration
	// Congested tells that backend servers shed calls or that the deadline
	// passed.
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
}

// waiter is a query that waits for admission.
type waiter struct {
	caller   string
	deadline time.Time
	admitted chan struct{}
}

// New returns a gate with the limit of an unknown system.
func New(c Config) *Gate {
	return &Gate{fixed: c.Fixed, shares: newShares(c.Shares), limit: newLimiter(), callers: make(map[string]int)}
}

// Enter waits for admission. Every outcome but ok means that the query must
// not run.
func (g *Gate) Enter(ctx context.Context, caller string, deadline time.Time) outcome.Outcome {
	g.m.Lock()
	if g.fixed || g.inFlight < g.limit.current() && len(g.waiting) == 0 {
		g.admit(caller)
		g.m.Unlock()
		return outcome.OK()
	}
	w := &waiter{caller: caller, deadline: deadline, admitted: make(chan struct{})}
	if o := g.judge(w, time.Now()); !o.OK() {
		g.m.Unlock()
		return o
	}
	g.waiting = append(g.waiting, w)
	g.m.Unlock()
	return g.wait(ctx, w)
}

// Leave ends an admitted query and admits the next.
func (g *Gate) Leave(caller string, f Feedback) {
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

// Limit returns how many queries may run at a time, and how many do.
func (g *Gate) Limit() (limit, inFlight int) {
	g.m.Lock()
	defer g.m.Unlock()
	return g.limit.current(), g.inFlight
}

// admit counts a query in.
func (g *Gate) admit(caller string) {
	g.inFlight++
	g.callers[caller]++
}

// wait blocks until w is admitted or its context ends.
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
	// Admitted at the same moment: the caller may run it.
	return outcome.OK()
}

// judge refuses a query whose turn would come too late.
func (g *Gate) judge(w *waiter, now time.Time) outcome.Outcome {
	ahead := 0
	over := g.over(w.caller)
	for _, v := range g.waiting {
		if g.before(v, w, over) {
			ahead++
		}
	}
	mean := g.limit.mean()
	left := w.deadline.Sub(now)
	wait := time.Duration(float64(mean) * float64(ahead+1) / float64(g.limit.current()))
	if wait <= time.Duration(waitPart*float64(left)) && wait+mean <= left {
		return outcome.OK()
	}
	if over {
		return outcome.NotRun(outcome.OverShare)
	}
	return outcome.NotRun(outcome.Shed)
}

// over tells whether a caller uses its share of the limit or more.
func (g *Gate) over(caller string) bool {
	n := g.callers[caller]
	return n > 0 && float64(n) >= g.shares.of(caller)*float64(g.limit.current())
}

// before tells whether v is admitted before w, whose caller is over its
// share or not.
func (g *Gate) before(v, w *waiter, wOver bool) bool {
	if vOver := g.over(v.caller); vOver != wOver {
		return wOver
	}
	return !w.deadline.Before(v.deadline)
}

// next returns the index of the waiter to admit.
func (g *Gate) next() int {
	best := 0
	for i, v := range g.waiting {
		if !g.before(g.waiting[best], v, g.over(v.caller)) {
			best = i
		}
	}
	return best
}
