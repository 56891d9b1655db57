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

// result is the result of one call to a replica.
type result struct {
	shard   int
	replica int
	attempt int
	reply   backend.Reply
}

// pickReplica returns the index of a usable replica of shard i that was not
// called in this round, or -1 if there is none.
func (r *run) pickReplica(i int) int {
	s := &r.shards[i]
	r.candidates = r.candidates[:0]
	for _, p := range s.Replicas {
		st := p.State()
		if !st.Usable && s.lastReason == outcome.None {
			s.lastReason = st.Reason
		}
		r.candidates = append(r.candidates, choice.Candidate{
			Local:     p.Domain() == r.e.c.LocalDomain,
			Usable:    st.Usable,
			LoadScore: choice.LoadScore(st.InFlight, st.ReportedLoad),
			Weight:    st.Weight,
		})
	}
	return r.e.c.Policy.choose()(r.rand, r.candidates, s.tried)
}

// call sends the next call of shard i. It returns false when no replica is
// left to call.
func (r *run) call(i int, what string) bool {
	k := r.pickReplica(i)
	if k < 0 {
		return false
	}
	r.callReplica(i, k, what)
	return true
}

// callReplica sends a call for shard i to its replica k.
func (r *run) callReplica(i, k int, what string) {
	s := &r.shards[i]
	p := s.Replicas[k]
	s.tried = s.tried.With(k)
	s.attempts++
	q := r.searcherQuery(i, s)
	c := &callContext{Context: r.ctx}
	s.inFlight = append(s.inFlight, inFlightCall{attempt: s.attempts, began: time.Now(), ctx: c})
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

// searcherQuery returns the message for the next call of shard i.
func (r *run) searcherQuery(i int, s *shardState) searcher.Query {
	id := r.query.QueryID
	if r.isPart {
		// This node may hold several parts of the query, and get one of them again.
		id += ".p" + strconv.FormatUint(r.number, 10)
	}
	attempt := id + "." + strconv.Itoa(r.restarts) + "." + strconv.Itoa(i) + "." + strconv.Itoa(s.attempts)
	return searcher.Query{
		QueryID:        r.query.QueryID,
		AttemptID:      attempt,
		Version:        r.version,
		Range:          s.Range,
		SchemaVersions: r.def.SchemaVersions,
		Text:           r.query.Text,
		Filters:        r.query.Filters,
		Limit:          r.query.Limit * max(1, len(r.def.SchemaVersions)),
		DeadlineMS:     max(1, time.Until(r.query.Deadline).Milliseconds()),
	}
}

// handleResult processes the result of a call.
func (r *run) handleResult(res result) {
	s := &r.shards[res.shard]
	if s.done() {
		return
	}
	r.finishCall(res)
	o := res.reply.Outcome
	id := s.Replicas[res.replica].ID()
	if o.OK() && !r.matches(s, &res.reply.Answer) {
		o = outcome.Unknown(outcome.BadAnswer)
		r.cost.Dropped++
		r.e.c.Events.Emit(event.AnswerDropped, id, r.query.QueryID)
	}
	r.step("answer", id, &s.Range, o.String())
	if o.OK() {
		r.accept(res.shard, &res.reply.Answer)
		return
	}
	r.handleFailure(res, o)
}

// finishCall removes an ended call from its shard and records its latency.
func (r *run) finishCall(res result) {
	r.shards[res.shard].removeCall(res.attempt)
	r.latencies = append(r.latencies, res.reply.Elapsed)
	r.mayHaveRun = r.mayHaveRun || res.reply.Outcome.Kind != outcome.KindNotRun
}

// matches reports whether an answer is for this query, version and range.
func (r *run) matches(s *shardState, a *searcher.Answer) bool {
	return a.QueryID == r.query.QueryID && a.Version == r.version && a.Range == s.Range
}

// accept stores the answer of shard i and cancels its other calls.
func (r *run) accept(i int, a *searcher.Answer) {
	s := &r.shards[i]
	s.answer = a
	r.latencies = s.cancel(time.Now(), r.latencies)
	r.openShards--
}

// handleFailure decides how to continue after a call without an answer.
func (r *run) handleFailure(res result, o outcome.Outcome) {
	s := &r.shards[res.shard]
	s.lastReason = o.Reason
	switch o.Reason {
	case outcome.ConnectionLost:
		r.handleLostCall(s, s.Replicas[res.replica])
	case outcome.Shed:
		s.shed = true
		r.shedCalls++
	case outcome.VersionGone:
		s.missed = true
	}
	if r.ctx.Err() != nil {
		return
	}
	if len(s.inFlight) > 0 {
		if o.Reason == outcome.ConnectionSilent {
			r.hedgeAgain(res)
		}
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
