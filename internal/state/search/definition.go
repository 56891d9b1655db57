// Package search holds the definition of a search: what operators declare
// once and the tier then holds everywhere.
//
// # Usage
//
//	d := search.Definition{Name: "warranty", Service: "claims_desk", SchemaVersions: []int{1, 2}, ...}
//	ps := d.Check()
package search

import "time"

// Preference is what wins when the deadline nears.
type Preference string

// The preferences.
const (
	// PreferCoverage waits to the full deadline and refuses rather than shorten,
	// unless the caller accepts a partial answer.
	PreferCoverage Preference = "coverage"
	// PreferLatency returns a partial answer early to a caller who accepts one.
	PreferLatency Preference = "latency"
)

// Reconcile is how records of one key in several accepted schema versions
// become one hit.
type Reconcile string

// The ways to reconcile.
const (
	// ReconcileNewestRevision keeps the record with the highest revision.
	ReconcileNewestRevision Reconcile = "newest_revision"
	// ReconcileNewestSchema keeps the record with the highest schema version, and the
	// highest revision among those.
	ReconcileNewestSchema Reconcile = "newest_schema"
)

// Share is the part of a search's capacity that one caller may use when
// callers compete, between 0 and 1.
type Share struct {
	Caller   string  `json:"caller"`
	Fraction float64 `json:"fraction"`
}

// Definition is one search.
type Definition struct {
	Name string `json:"name"`
	// Service is the service of backend servers that hold the index.
	Service string `json:"service"`
	// SchemaVersions are the accepted versions of a record.
	SchemaVersions []int      `json:"schema_versions"`
	Reconcile      Reconcile  `json:"reconcile"`
	Prefer         Preference `json:"prefer"`
	// Deadline is the longest time for an answer.
	Deadline time.Duration `json:"deadline_ns"`
	// ExtraLoad bounds hedges and retries as a fraction of primary calls.
	ExtraLoad float64 `json:"extra_load"`
	// MaxLimit is the largest number of hits that a caller may ask for.
	MaxLimit int `json:"max_limit"`
	// Writes tells whether records can be registered.
	Writes bool `json:"writes"`
	// CanaryText is what the tier asks when there is no traffic.
	CanaryText string  `json:"canary_text,omitempty"`
	Shares     []Share `json:"shares,omitempty"`
}
