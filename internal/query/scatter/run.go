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
	// leastPause is the shortest wait before a shard whose replicas all
	// failed is tried again.
	leastPause = 10 * time.Millisecond
	// mostRounds is how often the replicas of a shard are gone through.
	mostRounds = 4
	// patienceDelays is how many hedge delays a latency-first query waits
	// for its last shards when its caller accepts a partial answer.
	patienceDelays = 6
	// resultBuffer is how many ended calls may wait for the query's goroutine.
	resultBuffer = 16
	// replyMargin is kept of the deadline to send the answer.
	replyMargin = 2 * time.Millisecond
)

// run is one query on its way. All fields belong to the goroutine that
// called answer.
type run struct {
	e     *Engine
	lane  *lane
	def   search.Definition
	ask   ask.Ask
	print uint64
	start time.Time
	rand  *rand.Rand
	delay time.Duration

	ctx     context.Context
	version uint64
	shards  []shardState
	results chan result
	groups  []group
	parts   chan partResult
	due     []due
	open    int
	gaveUp  bool
	// restart tells that the version is gone and a newer one is to be used.
	restart bool
	// part tells that this node answers as a holder, for a coordinator.
	part     bool
	partHits [][]ask.Hit

	candidates []choice.Candidate

	cost     ask.Cost
	unearned int
	steps    []ask.Step
	samples  []time.Duration
	restarts int
	sent     bool
	shed     int
	late     bool
	// pinWait is how long the query waited for a complete version.
	pinWait time.Duration
	// settle tells that the other nodes have to know what happened before
	// the caller gets its answer and may send the request again.
	settle bool
	// ended is why shards without an end of their own are missing: the time
	// was over, or another range could not be had.
	ended outcome.Reason
	// why is the reason of the first shard that was given up.
	why outcome.Reason
}

// newRun prepares a query.
func newRun(e *Engine, l *lane, d search.Definition, a ask.Ask, start time.Time) *run {
	return &run{e: e, lane: l, def: d, ask: a, print: quarantine.Fingerprint(a.Search, a.Text, a.Filters, a.Limit), start: start, rand: e.random(), ended: outcome.IncompleteCoverage}
}

// answer runs the query to its end.
func (r *run) answer(ctx context.Context) ask.Answer {
	v := r.e.c.Guard.Judge(r.print)
	if v == quarantine.Quarantined {
		return refused(r.ask, outcome.Quarantined, 0, r.start)
	}
	r.delay = r.lane.hedgeDelay()
	for {
		again := r.attempt(ctx, v)
		if !again {
			break
		}
		r.restarts++
		r.cost.Restarts++
		r.e.c.Events.Emit(event.QueryRestarted, r.ask.Search, r.ask.QueryID)
		r.step("restart", "", nil, "version gone")
		v = quarantine.Trusted
	}
	if r.settle {
		c, cancel := context.WithDeadline(ctx, r.ask.Deadline)
		r.e.c.Guard.Settle(c, r.print)
		cancel()
	}
	a := r.finish(ctx)
	r.lane.latency.Add(r.samples...)
	return a
}

// attempt runs the query on one version. It reports true when the version is
// gone and the query should move to a newer one.
func (r *run) attempt(ctx context.Context, v quarantine.Verdict) bool {
	if !r.pinInTime(ctx) {
		return false
	}
	c, cancel := context.WithDeadline(ctx, r.ask.Deadline.Add(-replyMargin))
	defer cancel()
	r.ctx = c
	defer r.cancelCalls()
	r.results = make(chan result, resultBuffer)
	r.due = r.due[:0]
	r.partHits = nil
	r.gather()
	if v != quarantine.Trusted && !r.e.c.Policy.NoTrial && !r.trial(v) {
		return r.restart
	}
	r.begin()
	r.loop()
	return r.restart
}

// cancelCalls ends every call in flight.
func (r *run) cancelCalls() {
	for i := range r.shards {
		for _, f := range r.shards[i].flights {
			f.ctx.cancel()
		}
	}
}

// begin makes the first call of every shard that has none.
func (r *run) begin() {
	now := time.Now()
	for i := range r.shards {
		s := &r.shards[i]
		if len(s.Holders) == 0 && s.attempts == 0 {
			r.first(i, now)
		}
	}
	r.earn()
	r.delegate(now)
}

// first makes the first call of a shard.
func (r *run) first(i int, now time.Time) bool {
	if !r.call(i, "call") {
		r.giveUp(i, r.shards[i].why())
		return false
	}
	r.unearned += r.countPrimaries(1)
	r.schedule(i, now)
	return true
}

// countPrimaries counts up to n primary calls: one for each shard, however
// often the query restarts.
func (r *run) countPrimaries(n int) int {
	n = max(0, min(n, len(r.shards)-r.cost.Primaries))
	r.cost.Primaries += n
	return n
}

// earn gives the budget what the primary calls of this node earn.
func (r *run) earn() {
	r.lane.budget.Earn(r.unearned)
	r.unearned = 0
}

// loop takes results and decisions until the query ends or has to restart.
func (r *run) loop() {
	t := time.NewTimer(time.Hour)
	defer t.Stop()
	if r.impatient() {
		r.push(due{at: r.start.Add(patienceDelays*r.delay + time.Millisecond), shard: noShard})
	}
	for r.open > 0 && !r.restart && !r.hopeless() {
		if len(r.due) > 0 {
			t.Reset(time.Until(r.due[0].at))
		}
		select {
		case res := <-r.results:
			r.take(res)
		case res := <-r.parts:
			r.takePart(res)
		case <-t.C:
			r.decideDue(time.Now())
		case <-r.ctx.Done():
			r.deadlinePast()
			return
		}
		if r.patienceOver() {
			r.ended = outcome.Timeout
			return
		}
	}
}

// hopeless tells whether a shard was given up and the caller has no use for
// a partial answer, so that further calls would be wasted.
func (r *run) hopeless() bool {
	return r.gaveUp && !r.ask.AcceptPartial && !r.part
}

// impatient tells whether the query may end early with a partial answer.
func (r *run) impatient() bool {
	return r.def.Prefer == search.Latency && r.ask.AcceptPartial && !r.part
}

// patienceOver tells whether a query that may end early has waited long
// enough for its last shards.
func (r *run) patienceOver() bool {
	few := r.open*20 <= len(r.shards)
	return r.impatient() && r.open > 0 && few && time.Since(r.start) > patienceDelays*r.delay
}

// deadlinePast notes that the deadline ended the query.
func (r *run) deadlinePast() {
	r.late = true
	r.ended = outcome.Timeout
}

// congested tells whether the query suffered from too much load.
func (r *run) congested() bool {
	return r.late || r.shed*10 > len(r.shards)
}

// step records one step for an explanation.
func (r *run) step(what, searcher string, g *keyrange.Range, detail string) {
	if !r.ask.Explain {
		return
	}
	s := ask.Step{At: time.Since(r.start).Microseconds(), What: what, Searcher: searcher, Detail: detail}
	if g != nil {
		s.Range = g.String()
	}
	r.steps = append(r.steps, s)
}
