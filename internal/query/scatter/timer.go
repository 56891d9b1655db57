package scatter

import (
	"time"

	"egrethaven/internal/observe/event"
)

// noShard marks a timer that belongs to no shard.
const noShard = -1

// timer is a time at which a shard or a group needs a decision.
type timer struct {
	at    time.Time
	shard int
	retry bool
	// restart is set for another try to pay for a restart of the query.
	restart bool
	// group is the index of the group to hedge, plus one, or 0.
	group int
}

// schedule adds a timer to hedge shard i after the hedge delay.
func (r *run) schedule(i int, now time.Time) {
	if r.e.c.Policy.MaxHedges > 0 {
		r.addTimer(timer{at: now.Add(r.hedgeDelay), shard: i})
	}
}

// runTimers runs the timers that have expired.
func (r *run) runTimers(now time.Time) {
	for len(r.timers) > 0 && !r.timers[0].at.After(now) {
		t := r.timers[0]
		r.timers = r.timers[1:]
		switch {
		case t.group > 0:
			r.hedgeGroup(t.group-1, now)
		case t.restart:
			r.restartDue = false
			r.settleGone()
		case t.shard == noShard:
		case t.retry:
			r.startRound(t.shard)
		default:
			r.hedge(t.shard, now)
		}
	}
}

// hedge sends a hedge for shard i if the budget allows it, and tries again
// after the hedge delay otherwise.
func (r *run) hedge(i int, now time.Time) {
	s := &r.shards[i]
	if s.done() || len(s.inFlight) == 0 || len(s.inFlight) > r.e.c.Policy.MaxHedges || s.shed {
		return
	}
	k := r.pickReplica(i)
	if k < 0 {
		return
	}
	if !r.search.budget.Spend(1) {
		r.e.c.Events.Emit(event.BudgetSpent, r.query.Search, r.query.QueryID)
		r.schedule(i, now)
		return
	}
	r.cost.Hedges++
	r.callReplica(i, k, "hedge")
	r.schedule(i, now)
}

// addTimer inserts a timer in order of time.
func (r *run) addTimer(t timer) {
	r.timers = append(r.timers, t)
	for k := len(r.timers) - 1; k > 0 && r.timers[k].at.Before(r.timers[k-1].at); k-- {
		r.timers[k], r.timers[k-1] = r.timers[k-1], r.timers[k]
	}
}
