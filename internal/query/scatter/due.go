package scatter

import (
	"time"

	"egrethaven/internal/observe/event"
)

// noShard marks a due moment that only wakes the query's goroutine.
const noShard = -1

// due is a moment at which a shard needs a decision.
type due struct {
	at    time.Time
	shard int
	retry bool
	// part is one more than the group whose holder is slow, or 0.
	part int
}

// schedule asks for a decision on a hedge one hedge delay from now.
func (r *run) schedule(i int, now time.Time) {
	if r.e.c.Policy.Hedges > 0 {
		r.push(due{at: now.Add(r.delay), shard: i})
	}
}

// decideDue takes the decisions whose time has come.
func (r *run) decideDue(now time.Time) {
	for len(r.due) > 0 && !r.due[0].at.After(now) {
		d := r.due[0]
		r.due = r.due[1:]
		switch {
		case d.part > 0:
			r.hedgePart(d.part-1, now)
		case d.shard == noShard:
		case d.retry:
			r.again(d.shard)
		default:
			r.hedge(d.shard, now)
		}
	}
}

// hedge sends one more call for a slow shard, if the budget allows.
func (r *run) hedge(i int, now time.Time) {
	s := &r.shards[i]
	if s.done() || len(s.flights) == 0 || len(s.flights) > r.e.c.Policy.Hedges || s.shed {
		return
	}
	k := r.pick(i)
	if k < 0 {
		return
	}
	if !r.lane.budget.Spend(1) {
		r.e.c.Events.Emit(event.BudgetSpent, r.ask.Search, r.ask.QueryID)
		r.schedule(i, now)
		return
	}
	r.cost.Hedges++
	r.callReplica(i, k, "hedge")
	r.schedule(i, now)
}

// push adds a decision in order of time.
func (r *run) push(d due) {
	r.due = append(r.due, d)
	for k := len(r.due) - 1; k > 0 && r.due[k].at.Before(r.due[k-1].at); k-- {
		r.due[k], r.due[k-1] = r.due[k-1], r.due[k]
	}
}
