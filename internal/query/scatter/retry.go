package scatter

import (
	"time"

	"egrethaven/internal/query/outcome"
)

// handleLostCall records that the connection was lost during a call. The request
// is reported to the guard only when a repeated call of the same shard was lost
// too. Lost calls of other shards don't count: a failure of several machines
// loses many calls at once.
func (r *run) handleLostCall(s *shardState, p Replica) {
	s.lostCalls++
	if s.lostCalls < 2 {
		s.firstLostOn = p
		return
	}
	r.settleGuard = true
	r.e.c.Guard.RecordLoss(r.fingerprint, s.firstLostOn.ID(), 1)
	r.e.c.Guard.RecordRetryLoss(r.fingerprint, p.ID(), 1)
}

// retry calls another replica of shard i: at once if one is left and the budget
// allows it, after a backoff otherwise. A shard that lost two calls is given up.
func (r *run) retry(i int, o outcome.Outcome) {
	if r.shards[i].lostCalls > 1 {
		r.giveUp(i, outcome.Quarantined)
		return
	}
	r.retryNow(i, o)
}

// retryNow is retry without the check for lost calls; a trial makes its own.
func (r *run) retryNow(i int, o outcome.Outcome) {
	if k := r.pickReplica(i); k >= 0 && r.payRetry(o) {
		r.countRetry(o)
		r.callReplica(i, k, "retry")
		r.schedule(i, time.Now())
		return
	}
	r.scheduleRound(i)
}

// payRetry spends a token for the retry of a call that ended with o and reports
// whether the budget allows it. The retry is free if the call placed no load on
// a backend server. Retries of shed calls must not use the reserve, since they
// would add to the overload.
func (r *run) payRetry(o outcome.Outcome) bool {
	switch {
	case placedNoLoad(o):
		return true
	case o.Reason == outcome.Shed:
		return r.search.budget.Spend(1)
	}
	return r.search.budget.SpendReserve(1)
}

// countRetry counts the retry of a call that ended with o, unless that call
// placed no load.
func (r *run) countRetry(o outcome.Outcome) {
	if !placedNoLoad(o) {
		r.cost.Retries++
	}
}

// placedNoLoad reports whether a call placed no load on a backend server: it
// never reached the server, or was refused because the server is draining or
// doesn't hold the version.
func placedNoLoad(o outcome.Outcome) bool {
	if o.Kind != outcome.KindNotRun {
		return false
	}
	return o.Reason == outcome.ConnectionRefused || o.Reason == outcome.Draining || o.Reason == outcome.VersionGone
}

// scheduleRound schedules another round over the replicas of shard i, with
// exponential backoff. It gives the shard up after maxRounds or if the round
// would begin after the deadline.
func (r *run) scheduleRound(i int) {
	s := &r.shards[i]
	if s.lastReason == outcome.VersionGone {
		r.versionGone(i)
		return
	}
	s.rounds++
	backoff := max(minBackoff, r.hedgeDelay/4) << s.rounds
	next := time.Now().Add(backoff)
	if s.rounds >= maxRounds || !next.Before(r.query.Deadline) {
		r.giveUp(i, s.failureReason())
		return
	}
	r.addTimer(timer{at: next, shard: i, retry: true})
}

// startRound starts the next round over the replicas of shard i.
func (r *run) startRound(i int) {
	s := &r.shards[i]
	if s.done() || len(s.inFlight) > 0 {
		return
	}
	s.tried = 0
	s.shed = false
	k := r.pickReplica(i)
	if k < 0 || !r.payRetry(outcome.Unknown(s.lastReason)) {
		r.scheduleRound(i)
		return
	}
	r.cost.Retries++
	r.callReplica(i, k, "retry")
	r.schedule(i, time.Now())
}

// versionGone restarts the query on a newer version if the budget covers the
// calls that have to be repeated, and gives shard i up otherwise.
func (r *run) versionGone(i int) {
	if r.isPart || r.restarts >= r.e.c.Policy.MaxRestarts || !r.search.budget.SpendReserve(r.startedShards()) {
		r.giveUp(i, outcome.VersionGone)
		return
	}
	r.cost.Retries += r.startedShards()
	r.restart = true
}

// startedShards returns the number of shards with an answer or a call in flight.
func (r *run) startedShards() int {
	n := 0
	for i := range r.shards {
		if s := &r.shards[i]; s.answer != nil || len(s.inFlight) > 0 {
			n++
		}
	}
	return n
}

// giveUp marks shard i as missing and cancels its calls.
func (r *run) giveUp(i int, reason outcome.Reason) {
	s := &r.shards[i]
	s.gap = reason
	if !r.gaveUp {
		r.firstGap = reason
	}
	r.latencies = s.cancel(time.Now(), r.latencies)
	r.openShards--
	r.gaveUp = true
	r.step("give up", "", &s.Range, string(reason))
}
