package health

import (
	"slices"
	"time"

	"egrethaven/internal/infra/failuredomain"
)

// Report is the health of searches as seen by one node.
type Report struct {
	// Node is the entry VM that made the report.
	Node   string               `json:"node"`
	Domain failuredomain.Domain `json:"failure_domain"`
	At     time.Time            `json:"at"`
	// MaxAgeMS is the age from which on evidence counts as unknown.
	MaxAgeMS int64 `json:"max_age_ms"`
	// ConfigRevision is the revision of the configuration in force, and
	// ConfigAgeMS the time in milliseconds since the store or a peer confirmed
	// it, -1 if unknown.
	ConfigRevision uint64  `json:"config_revision"`
	ConfigAgeMS    int64   `json:"config_age_ms"`
	States         []State `json:"states"`
}

// Verdict returns the worst verdict of all states, or Unknown if there are none.
func (r Report) Verdict() Verdict {
	if len(r.States) == 0 {
		return Unknown
	}
	worst := slices.MaxFunc(r.States, func(a, b State) int { return severity(a.Verdict) - severity(b.Verdict) })
	return worst.Verdict
}

// WritesRefused returns the number of states with refused writes.
func (r Report) WritesRefused() int {
	n := 0
	for _, s := range r.States {
		if s.WritesRefused {
			n++
		}
	}
	return n
}

// WorstFirst returns the states sorted by verdict, from down to ok. The sort is
// stable.
func (r Report) WorstFirst() []State {
	s := slices.Clone(r.States)
	slices.SortStableFunc(s, func(a, b State) int { return severity(b.Verdict) - severity(a.Verdict) })
	return s
}

// Peer is another entry VM.
type Peer struct {
	ID     string
	Domain failuredomain.Domain
	Addr   string
}
