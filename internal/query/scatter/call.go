package scatter

import (
	"strconv"
	"time"

	"egrethaven/internal/back/backend"
	"egrethaven/internal/back/choice"
	"egrethaven/internal/back/searcher"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/query/outcome"
)

// result is the end of one call.
type result struct {
	shard   int
	replica int
	attempt int
	reply   backend.Reply
}

// pick chooses a replica of a shard that was not tried in this round, or -1.
func (r *run) pick(i int) int {
	s := &r.shards[i]
	r.candidates = r.candidates[:0]
	for _, p := range s.Replicas {
		st := p.Standing()
		if !st.Usable && s.last == outcome.None {
			s.last = st.Reason
		}
		r.candidates = append(r.candidates, choice.Candidate{
			Home:   p.Domain() == r.e.c.Home,
			Usable: st.Usable,
			Load:   choice.Load(st.InFlight, st.Reported),
			Weight: st.Weight,
		})
	}
	return r.e.c.Policy.choose()(r.rand, r.candidates, s.tried)
}

// call sends the next call of a shard. It reports false when no replica is
// left.
func (r *run) call(i int, what string) bool {
	k := r.pick(i)
	if k < 0 {
		return false
	}
	r.callReplica(i, k, what)
	return true
}

// callReplica sends a call to one replica.
func (r *run) callReplica(i, k int, what string) {
	s := &r.shards[i]
	p := s.Replicas[k]
	s.tried = s.tried.With(k)
	s.attempts++
	q := r.query(i, s)
	c := &callContext{Context: r.ctx}
	s.flights = append(s.flights, flight{attempt: s.attempts, began: time.Now(), ctx: c})
	r.step(what, p.ID(), &s.Range, "")
	res := result{shard: i, replica: k, attempt: s.attempts}
	out, over := r.results, r.ctx.Done()
	r.e.workers.Go(func() {
		res.reply = p.Search(c, q)
		select {
		case out <- res:
		case <-over:
		}
	})
}

// query is the message for the next call of a shard.
func (r *run) query(i int, s *shardState) searcher.Query {
	attempt := r.ask.QueryID + "." + strconv.Itoa(r.restarts) + "." + strconv.Itoa(i) + "." + strconv.Itoa(s.attempts)
	return searcher.Query{
		QueryID:        r.ask.QueryID,
		AttemptID:      attempt,
		Version:        r.version,
		Range:          s.Range,
		SchemaVersions: r.def.SchemaVersions,
		Text:           r.ask.Text,
		Filters:        r.ask.Filters,
		Limit:          r.ask.Limit * max(1, len(r.def.SchemaVersions)),
		DeadlineMS:     max(1, time.Until(r.ask.Deadline).Milliseconds()),
	}
}

// take handles the end of a call.
func (r *run) take(res result) {
	s := &r.shards[res.shard]
	if s.done() {
		return
	}
	r.land(res)
	o := res.reply.Outcome
	id := s.Replicas[res.replica].ID()
	if o.OK() && !r.fits(s, &res.reply.Answer) {
		o = outcome.Unknown(outcome.BadAnswer)
		r.cost.Dropped++
		r.e.c.Events.Emit(event.AnswerDropped, id, r.ask.QueryID)
	}
	r.step("answer", id, &s.Range, o.String())
	if o.OK() {
		r.accept(res.shard, &res.reply.Answer)
		return
	}
	r.failed(res, o)
}

// land counts a call that has ended.
func (r *run) land(res result) {
	r.shards[res.shard].land(res.attempt)
	r.samples = append(r.samples, res.reply.Elapsed)
	r.sent = r.sent || res.reply.Outcome.Kind != outcome.KindNotRun
}

// fits tells whether an answer is to this query, version and range.
func (r *run) fits(s *shardState, a *searcher.Answer) bool {
	return a.QueryID == r.ask.QueryID && a.Version == r.version && a.Range == s.Range
}

// accept takes the answer of a shard.
func (r *run) accept(i int, a *searcher.Answer) {
	s := &r.shards[i]
	s.answer = a
	r.samples = s.cancel(time.Now(), r.samples)
	r.open--
}

// failed decides what follows a call that gave no answer.
func (r *run) failed(res result, o outcome.Outcome) {
	s := &r.shards[res.shard]
	s.last = o.Reason
	switch o.Reason {
	case outcome.ConnectionLost:
		r.lost(s, s.Replicas[res.replica])
	case outcome.Shed:
		s.shed = true
		r.shed++
	}
	if len(s.flights) > 0 || r.ctx.Err() != nil {
		return
	}
	if o.Reason == outcome.VersionGone && !s.untried() {
		r.versionGone(res.shard)
		return
	}
	if !r.e.c.Policy.Retry {
		r.giveUp(res.shard, o.Reason)
		return
	}
	r.retry(res.shard, o)
}

// lost notes that a call died with its connection. Only when the call made
// in its place died as well is the request to blame: calls of other shards
// that died at the same time say nothing of it.
func (r *run) lost(s *shardState, p Replica) {
	s.lost++
	if s.lost < 2 {
		s.lostOn = p
		return
	}
	r.settle = true
	r.e.c.Guard.Lost(r.print, s.lostOn.ID(), 1)
	r.e.c.Guard.LostAgain(r.print, p.ID(), 1)
}

// retry calls another replica of a shard, at once where one is left and the
// budget allows, later otherwise.
func (r *run) retry(i int, o outcome.Outcome) {
	if r.shards[i].lost > 1 {
		r.giveUp(i, outcome.Quarantined)
		return
	}
	r.retryNow(i, o)
}

// retryNow is retry of a request that is not suspect, or on trial.
func (r *run) retryNow(i int, o outcome.Outcome) {
	if k := r.pick(i); k >= 0 && r.pay(o) {
		r.countRetry(o)
		r.callReplica(i, k, "retry")
		r.schedule(i, time.Now())
		return
	}
	r.later(i)
}

// pay spends the budget for a repeated call. A call that placed no load on a
// backend server is repeated for nothing; only what a server shed must not
// draw on the reserve, since it would come back as more load.
func (r *run) pay(o outcome.Outcome) bool {
	switch {
	case unplaced(o):
		return true
	case o.Reason == outcome.Shed:
		return r.lane.budget.Spend(1)
	}
	return r.lane.budget.SpendReserve(1)
}

// countRetry counts a repeated call, unless the first placed no load.
func (r *run) countRetry(o outcome.Outcome) {
	if !unplaced(o) {
		r.cost.Retries++
	}
}

// unplaced tells that a call placed no load: it ended before it reached a
// backend server, or was refused for what the server does not hold.
func unplaced(o outcome.Outcome) bool {
	if o.Kind != outcome.KindNotRun {
		return false
	}
	return o.Reason == outcome.ConnectionRefused || o.Reason == outcome.Draining || o.Reason == outcome.VersionGone
}

// later asks for another round over the replicas of a shard after a pause
// that doubles with each round.
func (r *run) later(i int) {
	s := &r.shards[i]
	if s.last == outcome.VersionGone {
		r.versionGone(i)
		return
	}
	s.rounds++
	pause := max(leastPause, r.delay/4) << s.rounds
	at := time.Now().Add(pause)
	if s.rounds >= mostRounds || !at.Before(r.ask.Deadline) {
		r.giveUp(i, s.why())
		return
	}
	r.push(due{at: at, shard: i, retry: true})
}

// again begins the next round over the replicas of a shard.
func (r *run) again(i int) {
	s := &r.shards[i]
	if s.done() || len(s.flights) > 0 {
		return
	}
	s.tried = 0
	s.shed = false
	k := r.pick(i)
	if k < 0 || !r.pay(outcome.Unknown(s.last)) {
		r.later(i)
		return
	}
	r.cost.Retries++
	r.callReplica(i, k, "retry")
	r.schedule(i, time.Now())
}

// versionGone has the query restart on a newer version, if the budget can pay
// for the calls whose work is lost, and gives the shard up otherwise.
func (r *run) versionGone(i int) {
	if r.part || r.restarts >= r.e.c.Policy.Restarts || !r.lane.budget.SpendReserve(r.placed()) {
		r.giveUp(i, outcome.VersionGone)
		return
	}
	r.cost.Retries += r.placed()
	r.restart = true
}

// placed counts the shards on which a call has run or is in flight.
func (r *run) placed() int {
	n := 0
	for i := range r.shards {
		if s := &r.shards[i]; s.answer != nil || len(s.flights) > 0 {
			n++
		}
	}
	return n
}

// giveUp names a shard missing.
func (r *run) giveUp(i int, why outcome.Reason) {
	s := &r.shards[i]
	s.gap = why
	r.samples = s.cancel(time.Now(), r.samples)
	r.open--
	r.gaveUp = true
	r.step("give up", "", &s.Range, string(why))
}

// push adds a decision in order of time.
func (r *run) push(d due) {
	r.due = append(r.due, d)
	for k := len(r.due) - 1; k > 0 && r.due[k].at.Before(r.due[k-1].at); k-- {
		r.due[k], r.due[k-1] = r.due[k-1], r.due[k]
	}
}
