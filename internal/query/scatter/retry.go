package scatter

import (
	"slices"
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

// hedgeAgain lets a replica whose connection went silent be called as a hedge once more. The
// call in flight at another replica may never end: with that replica frozen, shards had no call
// that could be answered for two of their three seconds.
func (r *run) hedgeAgain(res result) {
	s := &r.shards[res.shard]
	s.tried = s.tried.Without(res.replica)
	r.schedule(res.shard, time.Now())
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
// would begin after the deadline. If the version is gone from a replica and the
// others failed, the query restarts on a newer version.
func (r *run) scheduleRound(i int) {
	s := &r.shards[i]
	if s.lastReason == outcome.VersionGone {
		r.versionGone(i)
		return
	}
	if s.missed && r.mayRestart() && r.hasNewerVersion() && r.payRestart() {
		return
	}
	s.rounds++
	next := time.Now().Add(r.backoff(s.rounds))
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

// versionGone restarts the query on a newer version, or gives shard i up if that is
// not possible.
func (r *run) versionGone(i int) {
	if !r.mayRestart() {
		r.giveUp(i, outcome.VersionGone)
		return
	}
	r.gone = append(r.gone, i)
	r.settleGone()
}

// mayRestart reports whether the query may restart once more.
func (r *run) mayRestart() bool { return !r.isPart && r.restarts < r.e.c.Policy.MaxRestarts }

// settleGone restarts the query if the budget covers the calls that have to be
// repeated. If it does not, the decision waits for the calls in flight, as those
// whose version is gone too have cost nothing, and then for other queries to earn
// tokens. The shards in r.gone are given up after that.
func (r *run) settleGone() {
	if len(r.gone) == 0 || r.restart || r.payRestart() || r.hasOpenCalls() || r.awaitBudget() {
		return
	}
	for _, i := range r.gone {
		if !r.shards[i].done() {
			r.giveUp(i, outcome.VersionGone)
		}
	}
	r.gone = nil
}

// awaitBudget schedules another try to pay for a restart, with exponential backoff.
// It returns false if the try would be after the deadline.
func (r *run) awaitBudget() bool {
	switch {
	case !r.fannedOut:
		return false
	case r.restartDue:
		return true
	}
	r.restartRounds++
	next := time.Now().Add(r.backoff(r.restartRounds))
	if !next.Before(r.query.Deadline) {
		return false
	}
	r.restartDue = true
	r.step("wait for budget", "", nil, string(outcome.VersionGone))
	r.addTimer(timer{at: next, shard: noShard, restart: true})
	return true
}

// backoff returns the wait before the given round, 1 for the first.
func (r *run) backoff(round int) time.Duration { return max(minBackoff, r.hedgeDelay/4) << round }

// payRestart marks the query for a restart if the budget covers the calls that
// have to be repeated.
func (r *run) payRestart() bool {
	n := r.startedShards()
	if !r.search.budget.SpendReserve(n) {
		return false
	}
	r.cost.Retries += n
	r.restart = true
	return true
}

// hasOpenCalls reports whether the result of a call is still wanted. Canceled
// calls of shards that are done do not count.
func (r *run) hasOpenCalls() bool {
	for i := range r.shards {
		if s := &r.shards[i]; !s.done() && len(s.inFlight) > 0 {
			return true
		}
	}
	return slices.ContainsFunc(r.groups, func(g group) bool { return g.inFlight > 0 })
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
