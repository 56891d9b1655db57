package health

import (
	"time"

	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/coverage"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/state/search"
)

// Evidence counts the outcomes of the queries in a short time span.
type Evidence struct {
	// Start is the start of the time span, so that evidence never appears newer
	// than it is.
	Start time.Time
	// Complete, Partial and Unanswered count answers by how much of the key space
	// they covered.
	Complete, Partial, Unanswered int
	// Missing lists the gaps of the newest partial answer.
	Missing []coverage.Gap
	// Reason is the reason why the newest query without an answer failed.
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
		e.Unanswered++
		e.Reason = a.Outcome.Reason
	}
}

// add counts an answer in the evidence of the current time span.
func (k *Collector) add(name string, a ask.Answer, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	es := k.evidence[name]
	if len(es) == 0 || now.Sub(es[len(es)-1].Start) >= checkInterval {
		es = append(es, Evidence{Start: now})
	}
	es[len(es)-1].add(a)
	k.evidence[name] = es
	if !a.Outcome.OK() || !a.Coverage.Complete() {
		return
	}
	k.lastComplete[name] = now
}

// isIgnored reports whether an answer says nothing about the health of the search.
func isIgnored(a ask.Answer, d search.Definition) bool {
	switch a.Outcome.Reason {
	case outcome.BadRequest, outcome.UnknownSearch, outcome.Canceled, outcome.DeadlinePast, outcome.OverShare, outcome.Quarantined:
		return true
	}
	if a.Outcome.OK() && a.Coverage.Complete() {
		return false
	}
	// A short deadline of the caller, or an early answer of a latency-first
	// search, may omit ranges that are available. Canary queries cover this case.
	early := a.ElapsedMS < 0.9*float64(min(d.Deadline, canaryTimeout).Milliseconds())
	return early && onlyTimeouts(a)
}

// onlyTimeouts reports whether an answer is incomplete only because of timeouts.
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
