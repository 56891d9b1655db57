// Package searcher is the dialect that backend servers speak: HTTP/1.1 and
// JSON, one request in flight on a connection.
//
// POST /search takes a Query and answers 200 with an Answer, or a Refusal
// with a status of 409 (not here) or 503 (no capacity). POST /write takes a
// Write and answers 200 with a WriteAnswer, or a Refusal. GET /status answers
// with a Status, which lags. A Refusal is the searcher's own word that the
// request did not run. Closing the connection cancels the request on it.
//
// # Usage
//
//	q := searcher.Query{QueryID: id, AttemptID: a, Version: 3, Range: r, Limit: 20, DeadlineMS: 200}
//	b, err := json.Marshal(q)
package searcher

import (
	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/keyrange"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/query/record"
)

// The paths of the dialect.
const (
	SearchPath = "/search"
	WritePath  = "/write"
	StatusPath = "/status"
)

// Load is what a searcher reports of itself. It lags or misleads.
type Load struct {
	InFlight int  `json:"in_flight"`
	Queued   int  `json:"queued"`
	Draining bool `json:"draining,omitempty"`
	// MapRevision changes whenever the searcher's shards change.
	MapRevision uint64 `json:"map_revision"`
}

// Query asks for the matches in one range of one version of the index.
type Query struct {
	QueryID        string         `json:"query_id"`
	AttemptID      string         `json:"attempt_id"`
	Version        uint64         `json:"version"`
	Range          keyrange.Range `json:"range"`
	SchemaVersions []int          `json:"schema_versions"`
	Text           string         `json:"text,omitempty"`
	Filters        []ask.Filter   `json:"filters,omitempty"`
	Limit          int            `json:"limit"`
	// DeadlineMS is the time left, in milliseconds.
	DeadlineMS int64 `json:"deadline_ms"`
}

// Answer holds the matches of a Query. It echoes what was asked.
type Answer struct {
	QueryID   string         `json:"query_id"`
	AttemptID string         `json:"attempt_id"`
	Version   uint64         `json:"version"`
	Range     keyrange.Range `json:"range"`
	Hits      []ask.Hit      `json:"hits"`
	Total     int            `json:"total"`
	Load      Load           `json:"load"`
}

// Write asks to register a record. The searcher runs it without any check
// for repeats.
type Write struct {
	AttemptID      string        `json:"attempt_id"`
	IdempotencyKey string        `json:"idempotency_key"`
	Record         record.Record `json:"record"`
	DeadlineMS     int64         `json:"deadline_ms"`
}

// WriteAnswer tells how a Write ended.
type WriteAnswer struct {
	AttemptID string `json:"attempt_id"`
	// Accepted is false when the searcher ran the request and turned the
	// record down.
	Accepted bool   `json:"accepted"`
	Detail   string `json:"detail,omitempty"`
	Revision uint64 `json:"revision"`
	Load     Load   `json:"load"`
}

// Refusal is a searcher's word that a request did not run.
type Refusal struct {
	QueryID   string         `json:"query_id,omitempty"`
	AttemptID string         `json:"attempt_id"`
	Reason    outcome.Reason `json:"reason"`
	Load      Load           `json:"load"`
}

// Holding is the set of shards that a searcher has of one version.
type Holding struct {
	Version uint64           `json:"version"`
	Ranges  []keyrange.Range `json:"ranges"`
}

// Status describes a searcher. It lags.
type Status struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	// Slots is how many requests it runs at a time.
	Slots int `json:"slots"`
	// MaxConnections is how many connections it accepts.
	MaxConnections int       `json:"max_connections"`
	Writes         bool      `json:"writes"`
	Holdings       []Holding `json:"holdings"`
	Load           Load      `json:"load"`
}
