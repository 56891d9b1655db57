package config

import (
	"time"

	"egrethaven/internal/state/search"
)

// Snapshot is the configuration of one revision. It is immutable, so readers
// may keep it for a whole query.
type Snapshot struct {
	// Revision orders configurations. A node never returns to a lower one.
	Revision uint64
	// ChangeID is the ID of the change that created this revision.
	ChangeID string
	// Searches holds the definitions by name.
	Searches map[string]search.Definition
	// AdoptedAt is when the snapshot came into force in this process.
	AdoptedAt time.Time
}

// Change is a configuration change requested by an operator.
type Change struct {
	// ID identifies the change. Sent again under the same ID, it is applied
	// once.
	ID string `json:"change_id"`
	// Author is the name of the operator.
	Author string `json:"author"`
	// ExpectedRevision is the revision that the operator saw. The change
	// conflicts if another is in force; 0 skips the check.
	ExpectedRevision uint64 `json:"expect_revision"`
	// Put holds the definitions to create or replace.
	Put []search.Definition `json:"put,omitempty"`
	// Delete holds the names of the searches to delete.
	Delete []string `json:"delete,omitempty"`
}

// Verdict is the outcome of a change.
type Verdict string

// The verdicts.
const (
	// Accepted: the store holds the new root.
	Accepted Verdict = "accepted"
	// Unchanged: the searches were already as requested; nothing was written.
	Unchanged Verdict = "unchanged"
	// Conflict: another change was accepted first.
	Conflict Verdict = "conflict"
	// Refused: the change was not made; see Result.Problems.
	Refused Verdict = "refused"
	// Unsure: the answer of the store was lost; the change may be sent again
	// with the same ID.
	Unsure Verdict = "unsure"
	// StoreDown: the store was not reached; this request changed nothing.
	StoreDown Verdict = "store_down"
)

// Result is the answer to a Change.
type Result struct {
	Verdict  Verdict `json:"verdict"`
	ChangeID string  `json:"change_id"`
	// Revision is the revision that the change created, otherwise the current
	// one.
	Revision uint64 `json:"revision"`
	// Diff lists the differences between the current and the requested searches
	// after a conflict.
	Diff []string `json:"diff,omitempty"`
	// Problems lists why the change was refused.
	Problems []string `json:"problems,omitempty"`
}

// HistoryEntry describes one accepted change.
type HistoryEntry struct {
	Revision uint64    `json:"revision"`
	ChangeID string    `json:"change_id"`
	Author   string    `json:"author"`
	At       time.Time `json:"at"`
	Put      []string  `json:"put,omitempty"`
	Deleted  []string  `json:"deleted,omitempty"`
}

// NodeStatus is the configuration revision in force on one node.
type NodeStatus struct {
	Node     string `json:"node"`
	Domain   string `json:"failure_domain"`
	Revision uint64 `json:"revision"`
	// AgeMS is the time since the node reported the revision, in milliseconds.
	AgeMS int64 `json:"age_ms"`
	// Reached is false if the node did not answer.
	Reached bool `json:"reached"`
}
