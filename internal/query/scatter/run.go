package scatter

import (
	"context"
	"math/rand/v2"
	"time"

	"egrethaven/internal/back/choice"
	"egrethaven/internal/back/quarantine"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/keyrange"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/state/search"
)

const (
	// minBackoff is the smallest base of the backoff before a shard whose
	// replicas all failed is retried.
	minBackoff = 10 * time.Millisecond
	// maxRounds is the number of rounds over the replicas of a shard.
	maxRounds = 4
	// earlyEndDelays is the number of hedge delays that a query which prefers
	// latency waits for its last shards if its caller accepts a partial answer.
	earlyEndDelays = 6
	// resultBuffer is the capacity of the result channel of a query.
	resultBuffer = 16
	// replyMargin is the time before the deadline reserved to send the answer.
	replyMargin = 2 * time.Millisecond
)

// run is the state of one running query. Only the goroutine that called answer
// accesses its fields.
type run struct {
	e *Engine
	// number tells the runs of an engine apart.
	number      uint64
	search      *searchState
	def         search.Definition
	query       ask.Query
	fingerprint uint64
	start       time.Time
	rand        *rand.Rand
	hedgeDelay  time.Duration

	ctx     context.Context
	version uint64
	shards  []shardState
	results chan result
	groups  []group
	parts   chan partResult
	// timers are sorted by time.
	timers []timer
	// openShards is the number of shards with neither an answer nor a gap.
	openShards int
	gaveUp     bool
	// restart is set when the version is gone and a newer one has to be used.
	restart bool
	// gone are the shards whose version is gone from all replicas, while a restart
	// is not decided.
	gone []int
	// fannedOut is set when all shards are called, restartDue while a timer for
	// another try to pay for a restart is set, and restartRounds counts the tries.
	fannedOut, restartDue bool
	restartRounds         int
	// isPart is set when this node runs a part as a holder for a coordinator.
	isPart   bool
	partHits [][]ask.Hit

	candidates []choice.Candidate

	cost ask.Cost
	// uncredited is the number of primary calls not yet credited to the budget.
	uncredited int
	steps      []ask.Step
	latencies  []time.Duration
	restarts   int
	// mayHaveRun is set when a call ran or may have run on a searcher.
	mayHaveRun     bool
	shedCalls      int
	deadlinePassed bool
	// versionWait is the time spent waiting for a complete version.
	versionWait time.Duration
	// settleGuard is set when the other nodes have to learn of lost calls
	// before the caller gets its answer and may repeat the request.
	settleGuard bool
	// defaultGap is the gap reason of shards without a reason of their own:
	// the query timed out, or was ended because another shard was given up.
	defaultGap outcome.Reason
	// firstGap is the gap reason of the first shard that was given up.
	firstGap outcome.Reason
}

// newRun returns the initial state of a query.
func newRun(e *Engine, st *searchState, d search.Definition, q ask.Query, start time.Time) *run {
	n := e.runs.Add(1)
	return &run{e: e, number: n, search: st, def: d, query: q, fingerprint: quarantine.Fingerprint(q.Search, q.Text, q.Filters, q.Limit), start: start, rand: rand.New(rand.NewPCG(e.c.Seed, n)), defaultGap: outcome.IncompleteCoverage}
}

// answer runs the query and returns its answer.
func (r *run) answer(ctx context.Context) ask.Answer {
	v := r.e.c.Guard.Classify(r.fingerprint)
	if v == quarantine.Quarantined {
		return refusedAnswer(r.query, outcome.Quarantined, 0, r.start)
	}
	r.hedgeDelay = r.search.hedgeDelay()
	for {
		restart := r.attempt(ctx, v)
		if !restart {
			break
		}
		r.restarts++
		r.cost.Restarts++
		r.e.c.Events.Emit(event.QueryRestarted, r.query.Search, r.query.QueryID)
		r.step("restart", "", nil, "version gone")
		v = quarantine.Trusted
	}
	if r.settleGuard {
		c, cancel := context.WithDeadline(ctx, r.query.Deadline)
		r.e.c.Guard.AwaitPropagation(c, r.fingerprint)
		cancel()
	}
	a := r.finish(ctx)
	r.search.latency.Add(r.latencies...)
	return a
}

// attempt runs the query on one version. It returns true when the version is
// gone and the query has to restart on a newer one.
func (r *run) attempt(ctx context.Context, v quarantine.Class) bool {
	if !r.waitForVersion(ctx) {
		return false
	}
	c, cancel := context.WithDeadline(ctx, r.query.Deadline.Add(-replyMargin))
	defer cancel()
	r.ctx = c
	defer r.cancelCalls()
	r.results = make(chan result, resultBuffer)
	r.timers, r.gone = r.timers[:0], nil
	r.fannedOut, r.restartDue = false, false
	r.partHits = nil
	r.groupShards()
	if v != quarantine.Trusted && !r.e.c.Policy.DisableTrial && !r.trial(v) {
		return r.restart
	}
	r.startCalls()
	r.loop()
	return r.restart
}

// cancelCalls cancels all calls in flight.
func (r *run) cancelCalls() {
	for i := range r.shards {
		for _, f := range r.shards[i].inFlight {
			f.ctx.cancel()
		}
	}
}

// startCalls makes the first call of every shard that was not called yet, and
// delegates the shards of other groups.
func (r *run) startCalls() {
	now := time.Now()
	for i := range r.shards {
		s := &r.shards[i]
		if len(s.Holders) == 0 && s.attempts == 0 {
			r.firstCall(i, now)
		}
	}
	r.fannedOut = true
	r.creditBudget()
	r.delegate(now)
}

// firstCall makes the first call of shard i. It returns false and gives the
// shard up if no replica is usable.
func (r *run) firstCall(i int, now time.Time) bool {
	if !r.call(i, "call") {
		r.giveUp(i, r.shards[i].failureReason())
		return false
	}
	r.uncredited += r.countPrimaries(1)
	r.schedule(i, now)
	return true
}

// countPrimaries adds n primary calls to the cost, but at most one for each
// shard over all restarts. It returns the number added.
func (r *run) countPrimaries(n int) int {
	n = max(0, min(n, len(r.shards)-r.cost.Primaries))
	r.cost.Primaries += n
	return n
}

// creditBudget credits the uncredited primary calls to the budget.
func (r *run) creditBudget() {
	r.search.budget.Earn(r.uncredited)
	r.uncredited = 0
}

// loop handles results and timers until the query ends or has to restart.
func (r *run) loop() {
	t := time.NewTimer(time.Hour)
	defer t.Stop()
	if r.mayEndEarly() {
		r.addTimer(timer{at: r.start.Add(earlyEndDelays*r.hedgeDelay + time.Millisecond), shard: noShard})
	}
	for r.openShards > 0 && !r.restart && !r.mustFail() {
		if len(r.timers) > 0 {
			t.Reset(time.Until(r.timers[0].at))
		}
		select {
		case res := <-r.results:
			r.handleResult(res)
			r.settleGone()
		case res := <-r.parts:
			r.handlePartResult(res)
			r.settleGone()
		case <-t.C:
			r.runTimers(time.Now())
		case <-r.ctx.Done():
			r.endAtDeadline()
			return
		}
		if r.shouldEndEarly() {
			r.defaultGap = outcome.Timeout
			return
		}
	}
}

// mustFail reports whether a shard was given up and the caller doesn't accept a
// partial answer, so that further calls would be wasted.
func (r *run) mustFail() bool {
	return r.gaveUp && !r.query.AcceptPartial && !r.isPart
}

// mayEndEarly reports whether the query may end early with a partial answer.
func (r *run) mayEndEarly() bool {
	return r.def.Prefer == search.PreferLatency && r.query.AcceptPartial && !r.isPart
}

// shouldEndEarly reports whether a query that may end early has at most 5 % of
// its shards open and has waited for them for earlyEndDelays.
func (r *run) shouldEndEarly() bool {
	fewOpen := r.openShards*20 <= len(r.shards)
	return r.mayEndEarly() && r.openShards > 0 && fewOpen && time.Since(r.start) > earlyEndDelays*r.hedgeDelay
}

// endAtDeadline records that the query ran into its deadline.
func (r *run) endAtDeadline() {
	r.deadlinePassed = true
	r.defaultGap = outcome.Timeout
}

// congested reports whether the query ran into its deadline or more than a
// tenth as many calls as it has shards were shed.
func (r *run) congested() bool {
	return r.deadlinePassed || r.shedCalls*10 > len(r.shards)
}

// step records a step if the caller asked for an explanation.
func (r *run) step(what, searcher string, g *keyrange.Range, detail string) {
	if !r.query.Explain {
		return
	}
	s := ask.Step{AtMicros: time.Since(r.start).Microseconds(), What: what, Searcher: searcher, Detail: detail}
	if g != nil {
		s.Range = g.String()
	}
	r.steps = append(r.steps, s)
}
