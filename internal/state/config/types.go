package config

import (
	"time"

	"egrethaven/internal/state/search"
)

// Snapshot is the configuration of one revision. It is never changed once
// made, so readers may keep it for the length of a query.
type Snapshot struct {
	// Revision orders configurations; a node never goes back to a lower one.
	Revision uint64
	// ChangeID is the id of the change that led to this revision.
	ChangeID string
	// Searches by name.
	Searches map[string]search.Definition
	// Adopted is when this process put the snapshot in force.
	Adopted time.Time
}

// Change is what an operator asks for.
type Change struct {
	// ID is unique to the change; sending it again is safe.
	ID string `json:"change_id"`
	// Author names who asks.
	Author string `json:"author"`
	// Expect is the revision that the operator saw; 0 skips the check.
	Expect uint64 `json:"expect_revision"`
	// Put holds the definitions to create or replace.
	Put []search.Definition `json:"put,omitempty"`
	// Delete holds the names of searches to remove.
	Delete []string `json:"delete,omitempty"`
}

// Verdict is how a change ended.
type Verdict string

// The verdicts.
const (
	// Accepted: the swap of the root is confirmed.
	Accepted Verdict = "accepted"
	// Unchanged: the searches were already as asked; nothing was written.
	Unchanged Verdict = "unchanged"
	// Conflict: another change came first.
	Conflict Verdict = "conflict"
	// Refused: the change is not valid; nothing was written.
	Refused Verdict = "refused"
	// Unsure: the answer was lost; the same change id may be sent again.
	Unsure Verdict = "unsure"
	// StoreDown: the store was not reached; nothing was written.
	StoreDown Verdict = "store_down"
)

// Result is the answer to a Change.
type Result struct {
	Verdict  Verdict `json:"verdict"`
	ChangeID string  `json:"change_id"`
	// Revision in force after the change, or the current one at a conflict.
	Revision uint64 `json:"revision"`
	// Diff shows, line by line, how the current searches differ from the
	// asked ones; for conflicts.
	Diff []string `json:"diff,omitempty"`
	// Problems names what is not valid.
	Problems []string `json:"problems,omitempty"`
}

// HistoryEntry is one accepted change.
type HistoryEntry struct {
	Revision uint64    `json:"revision"`
	ChangeID string    `json:"change_id"`
	Author   string    `json:"author"`
	At       time.Time `json:"at"`
	Put      []string  `json:"put,omitempty"`
	Deleted  []string  `json:"deleted,omitempty"`
}

// NodeStatus tells which configuration one node has in force.
type NodeStatus struct {
	Node     string `json:"node"`
	Domain   string `json:"failure_domain"`
	Revision uint64 `json:"revision"`
	// AgeMS is how long ago this was heard from the node, in milliseconds.
	AgeMS int64 `json:"age_ms"`
	// Reached is false when the node gave no answer.
	Reached bool `json:"reached"`
}
