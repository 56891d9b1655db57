package scatter

import (
	"time"

	"egrethaven/internal/back/choice"
	"egrethaven/internal/back/searcher"
	"egrethaven/internal/query/outcome"
)

// inFlightCall is a call in flight.
type inFlightCall struct {
	attempt int
	began   time.Time
	ctx     *callContext
}

// shardState is the state of one shard in a running query.
type shardState struct {
	Shard
	answer *searcher.Answer
	// gap is the reason why the shard was given up.
	gap outcome.Reason
	// tried are the replicas called in this round.
	tried    choice.Tried
	attempts int
	rounds   int
	inFlight []inFlightCall
	// shed is set when a searcher shed a call in this round; it stops hedges.
	shed bool
	// missed is set when a replica did not hold the version.
	missed      bool
	lostCalls   int
	firstLostOn Replica
	// lastReason is the reason of the last failed call.
	lastReason outcome.Reason
}

// done reports whether the shard has an answer or was given up.
func (s *shardState) done() bool {
	return s.answer != nil || s.gap != outcome.None
}

// untried reports whether a replica was not called in this round.
func (s *shardState) untried() bool {
	for i := range s.Replicas {
		if !s.tried.Has(i) {
			return true
		}
	}
	return false
}

// failureReason returns the gap reason: that of the last failed call or, if no
// call was made, of the first replica that is unusable.
func (s *shardState) failureReason() outcome.Reason {
	if s.lastReason != outcome.None {
		return s.lastReason
	}
	for _, p := range s.Replicas {
		if st := p.State(); st.Reason != outcome.None {
			return st.Reason
		}
	}
	return outcome.NoReplica
}

// removeCall removes an ended call from the calls in flight.
func (s *shardState) removeCall(attempt int) {
	for i, f := range s.inFlight {
		if f.attempt == attempt {
			f.ctx.cancel()
			s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
			return
		}
	}
}

// cancel cancels the calls in flight, appends the time since each began to ds
// and returns the extended slice.
func (s *shardState) cancel(now time.Time, ds []time.Duration) []time.Duration {
	for _, f := range s.inFlight {
		f.ctx.cancel()
		ds = append(ds, now.Sub(f.began))
	}
	return ds
}
