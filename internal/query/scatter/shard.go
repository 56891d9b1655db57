package scatter

import (
	"time"

	"egrethaven/internal/back/choice"
	"egrethaven/internal/back/searcher"
	"egrethaven/internal/query/outcome"
)

// flight is one call in flight.
type flight struct {
	attempt int
	began   time.Time
	ctx     *callContext
}

// shardState is one shard of a query on its way.
type shardState struct {
	Shard
	answer   *searcher.Answer
	gap      outcome.Reason
	tried    choice.Tried
	attempts int
	rounds   int
	flights  []flight
	shed     bool
	lost     int
	lostOn   Replica
	last     outcome.Reason
}

// done tells whether no further decision is needed.
func (s *shardState) done() bool {
	return s.answer != nil || s.gap != outcome.None
}

// untried tells whether a replica was not called in this round.
func (s *shardState) untried() bool {
	for i := range s.Replicas {
		if !s.tried.Has(i) {
			return true
		}
	}
	return false
}

// why returns the reason for a gap.
func (s *shardState) why() outcome.Reason {
	if s.last != outcome.None {
		return s.last
	}
	for _, p := range s.Replicas {
		if st := p.State(); st.Reason != outcome.None {
			return st.Reason
		}
	}
	return outcome.NoReplica
}

// land removes a call that has ended.
func (s *shardState) land(attempt int) {
	for i, f := range s.flights {
		if f.attempt == attempt {
			f.ctx.cancel()
			s.flights = append(s.flights[:i], s.flights[i+1:]...)
			return
		}
	}
}

// cancel ends the calls in flight of a shard that needs them no longer, and
// returns how long they had lasted.
func (s *shardState) cancel(now time.Time, ds []time.Duration) []time.Duration {
	for _, f := range s.flights {
		f.ctx.cancel()
		ds = append(ds, now.Sub(f.began))
	}
	return ds
}
