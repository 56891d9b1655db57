package health

import (
	"time"

	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/coverage"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/state/search"
)

// Evidence is how the queries of a short time ended.
type Evidence struct {
	// At is the beginning of that time, so that evidence looks older rather
	// than newer than it is.
	At time.Time
	// Complete, Partial and None count answers by how much of the key space
	// they covered.
	Complete, Partial, None int
	// Missing are the gaps of the newest partial answer.
	Missing []coverage.Gap
	// Reason is why the newest query without an answer had none.
	Reason outcome.Reason
}

// add counts one answer.
func (e *Evidence) add(a ask.Answer) {
	switch {
	case a.Outcome.OK() && a.Coverage.Complete():
		e.Complete++
	case len(a.Coverage.Covered) > 0:
		e.Partial++
		e.Missing = a.Coverage.Missing
	default:
		e.None++
		e.Reason = a.Outcome.Reason
	}
}

// add counts an answer in the evidence of the present time.
func (k *Collector) add(name string, a ask.Answer, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	es := k.evidence[name]
	if len(es) == 0 || now.Sub(es[len(es)-1].At) >= tick {
		es = append(es, Evidence{At: now})
	}
	es[len(es)-1].add(a)
	k.evidence[name] = es
	if !a.Outcome.OK() || !a.Coverage.Complete() {
		return
	}
	k.complete[name] = now
}

// ignored tells whether an answer is no evidence of the search's health.
func ignored(a ask.Answer, d search.Definition) bool {
	switch a.Outcome.Reason {
	case outcome.BadRequest, outcome.UnknownSearch, outcome.Canceled, outcome.DeadlinePast, outcome.OverShare, outcome.Quarantined:
		return true
	}
	if a.Outcome.OK() && a.Coverage.Complete() {
		return false
	}
	// A caller who gave little time, or a latency-first search that answered
	// early, may miss ranges that are there. The canary tells.
	early := a.ElapsedMS < 0.9*float64(min(d.Deadline, maxCanary).Milliseconds())
	return early && onlyTimeouts(a)
}

// onlyTimeouts tells whether time is all that an answer lacked.
func onlyTimeouts(a ask.Answer) bool {
	if len(a.Coverage.Missing) == 0 {
		return a.Outcome.Reason == outcome.Timeout
	}
	for _, g := range a.Coverage.Missing {
		if g.Reason != outcome.Timeout {
			return false
		}
	}
	return true
}
