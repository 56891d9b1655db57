package scatter

import (
	"time"

	"egrethaven/internal/back/quarantine"
	"egrethaven/internal/query/outcome"
)

// trial makes the first call of a query that was never seen answered, and
// waits for an answer before the others are made. An unseen query is hedged
// once; a suspect one runs alone. It reports whether the query may go on.
func (r *run) trial(v quarantine.Verdict) bool {
	for _, i := range r.rand.Perm(len(r.shards)) {
		if len(r.shards[i].Holders) > 0 {
			continue
		}
		if r.trialShard(i, v) {
			return true
		}
		if r.shards[i].gap == outcome.Quarantined {
			r.ended = outcome.Quarantined
			return false
		}
		if r.restart || r.hopeless() || r.ctx.Err() != nil {
			return false
		}
	}
	return false
}

// trialShard makes the trial on one shard. It reports whether the query may
// fan out: a searcher answered, or the calls are slow but alive.
func (r *run) trialShard(i int, v quarantine.Verdict) bool {
	s := &r.shards[i]
	if !r.first(i, time.Now()) {
		return false
	}
	r.earn()
	t := time.NewTimer(r.delay)
	defer t.Stop()
	for delays := 0; !s.done() && !r.restart; {
		select {
		case res := <-r.results:
			r.takeTrial(res)
		case <-t.C:
			t.Reset(r.delay)
			delays++
			if v == quarantine.Unseen && s.lost == 0 && delays == 1 {
				r.hedge(i, time.Now())
			}
			if v == quarantine.Unseen && s.lost == 0 && delays >= trialDelays {
				return true
			}
		case <-r.ctx.Done():
			r.deadlinePast()
			return false
		}
	}
	if s.answer == nil {
		return false
	}
	r.e.c.Guard.Passed(r.print)
	r.settle = false
	return true
}

// trialDelays is how many hedge delays a trial may last before the query
// fans out: a request that is slow on two searchers has crashed neither.
const trialDelays = 3

// takeTrial handles the end of a trial call. When its connection died,
// another searcher is tried alone, unless this was the second that the
// request took with it.
func (r *run) takeTrial(res result) {
	s := &r.shards[res.shard]
	if res.reply.Outcome.Reason != outcome.ConnectionLost || s.done() {
		r.take(res)
		return
	}
	p := s.Replicas[res.replica]
	r.land(res)
	r.step("answer", p.ID(), &s.Range, res.reply.Outcome.String())
	s.last = outcome.ConnectionLost
	s.lost++
	r.settle = true
	n := p.State().InFlight + 1
	if s.lost > 1 {
		r.e.c.Guard.LostAgain(r.print, p.ID(), n)
	} else {
		r.e.c.Guard.Lost(r.print, p.ID(), n)
	}
	if s.lost > 1 || r.e.c.Guard.Judge(r.print) == quarantine.Quarantined {
		r.giveUp(res.shard, outcome.Quarantined)
		return
	}
	if len(s.flights) == 0 {
		r.retryNow(res.shard, res.reply.Outcome)
	}
}
