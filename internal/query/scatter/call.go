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
		st := p.State()
		if !st.Usable && s.last == outcome.None {
			s.last = st.Reason
		}
		r.candidates = append(r.candidates, choice.Candidate{
			Home:   p.Domain() == r.e.c.Home,
			Usable: st.Usable,
			Load:   choice.Load(st.InFlight, st.ReportedLoad),
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
