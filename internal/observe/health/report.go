package health

import (
	"slices"
	"time"

	"egrethaven/internal/world/zone"
)

// Report is the health of searches as one node knows it.
type Report struct {
	// Node is the entry VM that made the report.
	Node   string      `json:"node"`
	Domain zone.Domain `json:"failure_domain"`
	At     time.Time   `json:"at"`
	// MaxAgeMS is the age from which on evidence counts as unknown.
	MaxAgeMS int64 `json:"max_age_ms"`
	// ConfigRevision and ConfigAgeMS tell which configuration is in force
	// and for how long the store has not confirmed it; age -1: not known.
	ConfigRevision uint64  `json:"config_revision"`
	ConfigAgeMS    int64   `json:"config_age_ms"`
	States         []State `json:"states"`
}

// Verdict is ok when all states are, and otherwise the worst of them; a
// report without any state is unknown.
func (r Report) Verdict() Verdict {
	if len(r.States) == 0 {
		return Unknown
	}
	worst := slices.MaxFunc(r.States, func(a, b State) int { return rank(a.Verdict) - rank(b.Verdict) })
	return worst.Verdict
}

// WritesRefused counts the states of searches whose records are refused.
func (r Report) WritesRefused() int {
	n := 0
	for _, s := range r.States {
		if s.WritesRefused {
			n++
		}
	}
	return n
}

// WorstFirst returns the states from worst to ok, each sort in its order.
func (r Report) WorstFirst() []State {
	s := slices.Clone(r.States)
	slices.SortStableFunc(s, func(a, b State) int { return rank(b.Verdict) - rank(a.Verdict) })
	return s
}

// Peer is another entry VM.
type Peer struct {
	ID     string
	Domain zone.Domain
	Addr   string
}
