// Package search defines the configuration of a search, which operators declare
// once for the whole tier.
//
// # Usage
//
//	d := search.Definition{Name: "warranty", Service: "claims_desk", SchemaVersions: []int{1, 2}, ...}
//	problems := d.Validate()
package search

import "time"

// Preference selects between a complete and an early answer when the deadline is
// near.
type Preference string

// The preferences.
const (
	// PreferCoverage waits until the deadline for a complete answer. It then
	// refuses the query, unless the caller accepts a partial answer.
	PreferCoverage Preference = "coverage"
	// PreferLatency returns a partial answer early if the caller accepts one.
	PreferLatency Preference = "latency"
)

// Reconcile selects which record becomes the hit if a key has records in several
// accepted schema versions.
type Reconcile string

// The reconcile policies.
const (
	// ReconcileNewestRevision keeps the record with the highest revision.
	ReconcileNewestRevision Reconcile = "newest_revision"
	// ReconcileNewestSchema keeps the record with the highest schema version
	// and, among those, the highest revision.
	ReconcileNewestSchema Reconcile = "newest_schema"
)

// Share is the fraction of a search's capacity, from 0 to 1, that one caller may
// use when callers compete.
type Share struct {
	Caller   string  `json:"caller"`
	Fraction float64 `json:"fraction"`
}

// Definition is the configuration of one search.
type Definition struct {
	Name string `json:"name"`
	// Service is the service whose backend servers hold the index.
	Service string `json:"service"`
	// SchemaVersions are the accepted schema versions of records.
	SchemaVersions []int      `json:"schema_versions"`
	Reconcile      Reconcile  `json:"reconcile"`
	Prefer         Preference `json:"prefer"`
	// Deadline is the maximum time for an answer. Callers may ask for less.
	Deadline time.Duration `json:"deadline_ns"`
	// ExtraLoad is the maximum of hedges and retries, as a fraction of primary
	// calls.
	ExtraLoad float64 `json:"extra_load"`
	// MaxLimit is the maximum number of hits that a caller may ask for.
	MaxLimit int `json:"max_limit"`
	// Writes is true if records can be registered.
	Writes bool `json:"writes"`
	// CanaryText is the text of the canary query, which the tier itself sends if the
	// search has had no complete answer for some time.
	CanaryText string  `json:"canary_text,omitempty"`
	Shares     []Share `json:"shares,omitempty"`
}
