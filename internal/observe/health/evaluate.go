package health

import (
	"cmp"
	"slices"
	"time"

	"egrethaven/internal/infra/failuredomain"
	"egrethaven/internal/query/coverage"
	"egrethaven/internal/query/outcome"
)

// minCompletePerFailed is the number of complete answers per partial or missing
// answer from which on a search is still ok, so that a single slow call does not
// degrade a busy search.
const minCompletePerFailed = 100

// recentFraction is the fraction of the maximum age within which evidence is
// recent. Older evidence counts only when there is no recent evidence.
const recentFraction = 0.75

// Verdict is the health of a search in one failure domain.
type Verdict string

// Verdicts on a search.
const (
	// OK: at least 100 answers are complete for each one that is not.
	OK Verdict = "ok"
	// Degraded: some answers are incomplete, or some nodes get no answers.
	Degraded Verdict = "degraded"
	// Down: no query returns any part of an answer.
	Down Verdict = "down"
	// Unknown: there is no fresh evidence.
	Unknown Verdict = "unknown"
)

// State is the health of one search in one failure domain.
type State struct {
	Search  string               `json:"search"`
	Domain  failuredomain.Domain `json:"failure_domain"`
	Verdict Verdict              `json:"verdict"`
	// Since is the time of the last change of the verdict, as far as known.
	Since time.Time `json:"since"`
	// AgeMS is the age of the newest evidence in milliseconds, negative if there
	// is none.
	AgeMS int64 `json:"evidence_age_ms"`
	// Missing lists the ranges that the newest partial answer did not cover.
	Missing []coverage.Gap `json:"missing,omitempty"`
	// Reason is the outcome of the newest query that was not answered.
	Reason outcome.Reason `json:"reason,omitempty"`
	// Nodes lists the entry VMs that the evidence comes from.
	Nodes []string `json:"nodes,omitempty"`
	// UnresponsiveNodes lists the entry VMs that did not answer.
	UnresponsiveNodes []string `json:"cut_off,omitempty"`
	// WritesRefused is true when an entry VM refuses records as not run
	// because it cannot reach the platform's store.
	WritesRefused bool `json:"writes_refused,omitempty"`
	// Detail explains the verdict; it may be empty.
	Detail string `json:"detail,omitempty"`
}

// Age returns the age of the newest evidence, or false if there is none.
func (s State) Age() (time.Duration, bool) {
	return time.Duration(s.AgeMS) * time.Millisecond, s.AgeMS >= 0
}

// Evaluate returns the health of one search, based on the evidence of one node in
// chronological order. It ignores evidence that is maxAge or older, or dated in
// the future.
func Evaluate(es []Evidence, now time.Time, maxAge time.Duration) State {
	s := evaluateWindow(es, now, time.Duration(recentFraction*float64(maxAge)))
	if s.Verdict == Unknown {
		s = evaluateWindow(es, now, maxAge)
	}
	return s
}

// evaluateWindow returns the health that results from the evidence younger than
// window.
func evaluateWindow(es []Evidence, now time.Time, window time.Duration) State {
	s := State{AgeMS: -1}
	var sum Evidence
	for _, e := range es {
		age := elapsed(e.Start, now)
		if age < 0 || age >= window {
			continue
		}
		sum.Complete += e.Complete
		sum.Partial += e.Partial
		sum.Unanswered += e.Unanswered
		if e.Partial > 0 {
			s.Missing = e.Missing
		}
		if e.Unanswered > 0 {
			s.Reason = e.Reason
		}
		if s.AgeMS < 0 || age.Milliseconds() < s.AgeMS {
			s.AgeMS = age.Milliseconds()
		}
	}
	s.Verdict = sum.verdict()
	return s
}

// elapsed returns the larger of the monotonic and the wall-clock difference: the
// monotonic clock stands still while a VM is suspended, and the wall clock may be
// set back.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// verdict derives the verdict from the numbers of complete, partial and missing
// answers.
func (e Evidence) verdict() Verdict {
	failed := e.Partial + e.Unanswered
	switch {
	case e.Complete+failed == 0:
		return Unknown
	case failed*minCompletePerFailed <= e.Complete:
		return OK
	case e.Complete+e.Partial == 0:
		return Down
	}
	return Degraded
}

// Merge combines the states that the nodes of one failure domain report for one
// search. unresponsive lists the IDs of the nodes that did not answer. A state
// whose evidence is maxAge or older counts as unknown.
func Merge(states []State, unresponsive []string, maxAge time.Duration) State {
	out := State{Verdict: Unknown, AgeMS: -1, UnresponsiveNodes: unresponsive}
	slices.SortStableFunc(states, func(a, b State) int { return cmp.Compare(severity(b.Verdict), severity(a.Verdict)) })
	counts := make(map[Verdict]int)
	for _, s := range states {
		age, known := s.Age()
		if !known || age >= maxAge {
			s.Verdict = Unknown
		}
		out.Nodes = append(out.Nodes, s.Nodes...)
		out.WritesRefused = out.WritesRefused || s.WritesRefused
		counts[s.Verdict]++
		if s.Verdict == Unknown {
			continue
		}
		if out.AgeMS < 0 || s.AgeMS < out.AgeMS {
			out.AgeMS = s.AgeMS
		}
		if s.Verdict == OK {
			continue
		}
		if out.Missing == nil {
			out.Missing = s.Missing
		}
		out.Reason = cmp.Or(out.Reason, s.Reason)
	}
	out.Verdict = mergeVerdict(counts)
	out.Since = earliestSince(states, out.Verdict)
	out.Detail = detail(out, counts)
	return out
}

// mergeVerdict returns ok or down only if all nodes with evidence agree. counts
// holds the number of nodes by verdict.
func mergeVerdict(counts map[Verdict]int) Verdict {
	switch {
	case counts[OK]+counts[Degraded]+counts[Down] == 0:
		return Unknown
	case counts[Degraded]+counts[Down] == 0:
		return OK
	case counts[OK]+counts[Degraded] == 0:
		return Down
	}
	return Degraded
}

// earliestSince returns the earliest time at which a node reached verdict v. For
// Degraded, nodes that are down count too.
func earliestSince(states []State, v Verdict) time.Time {
	var t time.Time
	for _, s := range states {
		matches := s.Verdict == v || v == Degraded && s.Verdict == Down
		if matches && (t.IsZero() || s.Since.Before(t)) {
			t = s.Since
		}
	}
	return t
}

// detail explains a merged verdict.
func detail(s State, counts map[Verdict]int) string {
	switch {
	case len(s.Nodes) == 0:
		return "no entry VM of the failure domain answers"
	case s.Verdict == Unknown:
		return "no fresh evidence"
	case counts[Down] > 0 && s.Verdict == Degraded:
		return "no answers through some entry VMs"
	case len(s.UnresponsiveNodes) > 0:
		return "some entry VMs do not answer"
	}
	return ""
}

// severity returns the severity of a verdict, from 0 for ok to 3 for down.
func severity(v Verdict) int {
	return slices.Index([]Verdict{OK, Unknown, Degraded, Down}, v)
}
