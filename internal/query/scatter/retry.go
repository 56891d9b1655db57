package scatter

import (
	"time"

	"egrethaven/internal/query/outcome"
)

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
	if !r.gaveUp {
		r.why = why
	}
	r.samples = s.cancel(time.Now(), r.samples)
	r.open--
	r.gaveUp = true
	r.step("give up", "", &s.Range, string(why))
}
