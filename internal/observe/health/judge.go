package health

import (
	"cmp"
	"slices"
	"time"

	"egrethaven/internal/query/coverage"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/world/zone"
)

// tolerated is how many complete answers make up for one that is not, so that
// a busy search is not degraded by a single slow call.
const tolerated = 100

// recent is the part of the stated age within which evidence decides alone;
// older evidence counts only when there is none so young.
const recent = 0.75

// Verdict is the health of a search in one failure domain.
type Verdict string

// The verdicts.
const (
	// OK: fresh evidence is of complete answers, but for one in a hundred.
	OK Verdict = "ok"
	// Degraded: some answers are incomplete, or only some nodes answer.
	Degraded Verdict = "degraded"
	// Down: no query brings back any part of an answer.
	Down Verdict = "down"
	// Unknown: there is no fresh evidence.
	Unknown Verdict = "unknown"
)

// State is the judged health of one search in one failure domain.
type State struct {
	Search  string      `json:"search"`
	Domain  zone.Domain `json:"failure_domain"`
	Verdict Verdict     `json:"verdict"`
	// Since is when the verdict began, as far as this node knows.
	Since time.Time `json:"since"`
	// AgeMS is the age of the newest evidence, in milliseconds; negative
	// when there is none.
	AgeMS int64 `json:"evidence_age_ms"`
	// Missing are ranges that fresh answers did not cover.
	Missing []coverage.Gap `json:"missing,omitempty"`
	// Reason is the outcome of the newest query that had no answer.
	Reason outcome.Reason `json:"reason,omitempty"`
	// Nodes are the entry VMs whose evidence this is.
	Nodes []string `json:"nodes,omitempty"`
	// CutOff are the entry VMs that did not answer.
	CutOff []string `json:"cut_off,omitempty"`
	// WritesRefused tells that records are refused as not run, since the
	// platform's store does not answer an entry VM.
	WritesRefused bool `json:"writes_refused,omitempty"`
	// Detail says more in words.
	Detail string `json:"detail,omitempty"`
}

// Age returns the age of the newest evidence, and false when there is none.
func (s State) Age() (time.Duration, bool) {
	return time.Duration(s.AgeMS) * time.Millisecond, s.AgeMS >= 0
}

// Judge returns the verdict on one search from the evidence of one node, in
// order of time. Evidence of at least maxAge, or from the future, does not
// count.
func Judge(es []Evidence, now time.Time, maxAge time.Duration) State {
	s := judge(es, now, time.Duration(recent*float64(maxAge)))
	if s.Verdict == Unknown {
		s = judge(es, now, maxAge)
	}
	return s
}

// judge sums up the evidence that is younger than window.
func judge(es []Evidence, now time.Time, window time.Duration) State {
	s := State{AgeMS: -1}
	var sum Evidence
	for _, e := range es {
		age := elapsed(e.At, now)
		if age < 0 || age >= window {
			continue
		}
		sum.Complete += e.Complete
		sum.Partial += e.Partial
		sum.None += e.None
		if e.Partial > 0 {
			s.Missing = e.Missing
		}
		if e.None > 0 {
			s.Reason = e.Reason
		}
		if s.AgeMS < 0 || age.Milliseconds() < s.AgeMS {
			s.AgeMS = age.Milliseconds()
		}
	}
	s.Verdict = sum.verdict()
	return s
}

// elapsed is the time between two readings by the clock that says more: the
// monotonic one stands still while a VM is suspended, and the wall clock may
// be set back.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// verdict weighs how many answers were complete, partial or none.
func (e Evidence) verdict() Verdict {
	bad := e.Partial + e.None
	switch {
	case e.Complete+bad == 0:
		return Unknown
	case bad*tolerated <= e.Complete:
		return OK
	case e.Complete+e.Partial == 0:
		return Down
	}
	return Degraded
}

// Merge returns the verdict on one search in one failure domain from what its
// nodes report, ages included. silent names the nodes that did not answer.
func Merge(states []State, silent []string, maxAge time.Duration) State {
	out := State{Verdict: Unknown, AgeMS: -1, CutOff: silent}
	slices.SortStableFunc(states, func(a, b State) int { return cmp.Compare(rank(b.Verdict), rank(a.Verdict)) })
	counts := make(map[Verdict]int)
	for _, s := range states {
		age, some := s.Age()
		if !some || age >= maxAge {
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
	out.Since = since(states, out.Verdict)
	out.Detail = detail(out, counts)
	return out
}

// mergeVerdict is ok or down only when all nodes with evidence agree.
func mergeVerdict(n map[Verdict]int) Verdict {
	switch {
	case n[OK]+n[Degraded]+n[Down] == 0:
		return Unknown
	case n[Degraded]+n[Down] == 0:
		return OK
	case n[OK]+n[Degraded] == 0:
		return Down
	}
	return Degraded
}

// since is the earliest time at which a node came to the verdict; for a mix,
// the earliest at which one was not ok.
func since(states []State, v Verdict) time.Time {
	var t time.Time
	for _, s := range states {
		same := s.Verdict == v || v == Degraded && s.Verdict == Down
		if same && (t.IsZero() || s.Since.Before(t)) {
			t = s.Since
		}
	}
	return t
}

// detail says why a merged verdict is what it is.
func detail(s State, n map[Verdict]int) string {
	switch {
	case len(s.Nodes) == 0:
		return "no entry VM of the failure domain answers"
	case s.Verdict == Unknown:
		return "no fresh evidence"
	case n[Down] > 0 && s.Verdict == Degraded:
		return "no answers through some entry VMs"
	case len(s.CutOff) > 0:
		return "some entry VMs do not answer"
	}
	return ""
}

// rank orders verdicts from ok to worst.
func rank(v Verdict) int {
	return slices.Index([]Verdict{OK, Unknown, Degraded, Down}, v)
}
