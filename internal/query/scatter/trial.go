package scatter

import (
	"time"

	"egrethaven/internal/back/quarantine"
	"egrethaven/internal/query/outcome"
)

// trial calls one shard of a query that was never answered before, and waits
// for the answer before the other shards are called. An unseen query is hedged
// once, a suspect one never. It reports whether the query may fan out.
func (r *run) trial(v quarantine.Class) bool {
	for _, i := range r.rand.Perm(len(r.shards)) {
		if len(r.shards[i].Holders) > 0 {
			continue
		}
		if r.trialShard(i, v) {
			return true
		}
		if r.shards[i].gap == outcome.Quarantined {
			r.defaultGap = outcome.Quarantined
			return false
		}
		if r.restart || r.mustFail() || r.ctx.Err() != nil {
			return false
		}
	}
	return false
}

// trialShard makes the trial on shard i. It reports whether the query may fan
// out: a searcher answered, or an unseen query lost no connection during
// maxTrialDelays.
func (r *run) trialShard(i int, v quarantine.Class) bool {
	s := &r.shards[i]
	if !r.firstCall(i, time.Now()) {
		return false
	}
	r.creditBudget()
	t := time.NewTimer(r.hedgeDelay)
	defer t.Stop()
	for delays := 0; !s.done() && !r.restart; {
		select {
		case res := <-r.results:
			r.handleTrialResult(res)
		case <-t.C:
			t.Reset(r.hedgeDelay)
			delays++
			if v == quarantine.Unseen && s.lostCalls == 0 && delays == 1 {
				r.hedge(i, time.Now())
			}
			if v == quarantine.Unseen && s.lostCalls == 0 && delays >= maxTrialDelays {
				return true
			}
		case <-r.ctx.Done():
			r.endAtDeadline()
			return false
		}
	}
	if s.answer == nil {
		return false
	}
	r.e.c.Guard.RecordAnswer(r.fingerprint)
	r.settleGuard = false
	return true
}

// maxTrialDelays is the number of hedge delays after which an unseen query fans
// out without an answer: it is slow on two searchers, but has crashed neither.
const maxTrialDelays = 3

// handleTrialResult processes the result of a trial call. After a lost
// connection, one other searcher is tried; after a second one the request is
// quarantined.
func (r *run) handleTrialResult(res result) {
	s := &r.shards[res.shard]
	if res.reply.Outcome.Reason != outcome.ConnectionLost || s.done() {
		r.handleResult(res)
		return
	}
	p := s.Replicas[res.replica]
	r.finishCall(res)
	r.step("answer", p.ID(), &s.Range, res.reply.Outcome.String())
	s.lastReason = outcome.ConnectionLost
	s.lostCalls++
	r.settleGuard = true
	n := p.State().InFlight + 1
	if s.lostCalls > 1 {
		r.e.c.Guard.RecordRetryLoss(r.fingerprint, p.ID(), n)
	} else {
		r.e.c.Guard.RecordLoss(r.fingerprint, p.ID(), n)
	}
	if s.lostCalls > 1 || r.e.c.Guard.Classify(r.fingerprint) == quarantine.Quarantined {
		r.giveUp(res.shard, outcome.Quarantined)
		return
	}
	if len(s.inFlight) == 0 {
		r.retryNow(res.shard, res.reply.Outcome)
	}
}
