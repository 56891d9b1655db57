package forward

import (
	"time"

	"egrethaven/internal/query/shedding"
	"egrethaven/internal/query/shortage"
)

// scarceBudget is the share of a retry budget below which it is divided by priority and need.
// Early hedges stop before it (package retrybudget), so it is reached under overload only.
const scarceBudget = 0.5

// class returns the requests as which this one has to be served about equally often.
func (x *dispatch) class() shedding.Class {
	return shedding.Class{Route: x.route.Name, Account: x.client.name()}
}

// describeForQueues returns the description of a request to a number of services.
func (x *dispatch) describeForQueues(services int) shedding.Request {
	r := shedding.Request{Arrived: x.req.Arrived, Deadline: x.deadline, Service: x.medianLatency, Sends: services}
	standing := x.engine.shedding.Standing
	if x.req.explained {
		standing = x.engine.shedding.Peek
	}
	r.Standing = standing(x.req.Arrived, x.class(), x.priority())
	if o := x.route.LatencyObjective; o > 0 {
		r.Objective = x.req.Arrived.Add(o)
	}
	return r
}

// recordService records whether the request was served, if it was not for reasons of its
// own: a client whose requests fail or whose time is too short must not get a better
// standing by it.
func (x *dispatch) recordService(a Answer) {
	switch a.Reason {
	case Served, Overloaded:
	case DeadlineReached, TooFewShards:
		if x.short.Has(shortage.Deadline) || !x.short.Has(shortage.Connection) && !x.short.Has(shortage.Slots) && !x.short.Has(shortage.Budget) {
			return
		}
	default:
		return
	}
	x.engine.shedding.Ended(x.class(), x.priority(), a.Reason == Served)
}

// maySpend reports whether the subrequest may take an extra send from its budget. While it
// is scarce, lower priorities leave the rest to higher ones, and shards that the answer can
// do without leave it to those that decide whether there is one in time.
func (p *subrequest) maySpend(now time.Time) bool {
	left, s := p.budgetLeft(now), p.dispatch.shed.Standing
	switch {
	case left >= scarceBudget, s.MaySpend(left, false):
		return true
	case !s.MaySpend(left, true):
		return false
	}
	return p.isDecisive(now, left)
}

// budgetLeft returns the share of the budget that is left. It is read once for all decisions
// of one moment, because with 54 late shards the reads took longer than the rest.
func (p *subrequest) budgetLeft(now time.Time) float64 {
	if !now.Equal(p.budgetReadAt) {
		p.budgetShare, p.budgetReadAt = p.budget.Left(now), now
	}
	return p.budgetShare
}

// isDecisive reports whether the shard is among those that are needed for minShards. Of the
// late ones, these are the ones with the most left of their budgets.
func (p *subrequest) isDecisive(now time.Time, left float64) bool {
	x := p.dispatch
	need, late := x.minShards(), 0
	for _, o := range x.subrequests {
		switch {
		case o == p || o.failed:
		case o.answer != nil || o.inFlight > 1:
			need--
		default:
			late++
		}
	}
	if need <= 0 || late < need {
		return need > 0
	}
	richer := 0
	for _, o := range x.subrequests {
		if o != p && !o.failed && o.answer == nil && o.inFlight <= 1 && o.budgetLeft(now) > left {
			if richer++; richer >= need {
				return false
			}
		}
	}
	return true
}
