// Package searcher defines the wire protocol of backend servers: HTTP/1.1 with
// JSON bodies and one request in flight per connection.
//
// POST /search takes a Query and returns 200 with an Answer, or a Refusal with
// status 409 (shard or version not on this searcher) or 503 (no capacity). POST
// /write takes a Write and returns 200 with a WriteAnswer, or a Refusal. GET
// /status returns a Status, which may be out of date. A Refusal states that the
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

// The request paths.
const (
	SearchPath = "/search"
	WritePath  = "/write"
	StatusPath = "/status"
)

// Load is the load that a searcher reports about itself. It may be out of date
// or wrong.
type Load struct {
	InFlight int  `json:"in_flight"`
	Queued   int  `json:"queued"`
	Draining bool `json:"draining,omitempty"`
	// MapRevision changes whenever the searcher's shards change.
	MapRevision uint64 `json:"map_revision"`
}

// Query requests the matches in one range of one version of the index.
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

// Answer holds the matches of a Query. It repeats the query's IDs, version and
// range.
type Answer struct {
	QueryID   string         `json:"query_id"`
	AttemptID string         `json:"attempt_id"`
	Version   uint64         `json:"version"`
	Range     keyrange.Range `json:"range"`
	Hits      []ask.Hit      `json:"hits"`
	Total     int            `json:"total"`
	Load      Load           `json:"load"`
}

// Write requests the registration of a record. The searcher does not detect
// duplicate requests.
type Write struct {
	AttemptID      string        `json:"attempt_id"`
	IdempotencyKey string        `json:"idempotency_key"`
	Record         record.Record `json:"record"`
	DeadlineMS     int64         `json:"deadline_ms"`
}

// WriteAnswer is the result of a Write that ran.
type WriteAnswer struct {
	AttemptID string `json:"attempt_id"`
	// Accepted is false if the searcher ran the request and rejected the record.
	Accepted bool   `json:"accepted"`
	Detail   string `json:"detail,omitempty"`
	Revision uint64 `json:"revision"`
	Load     Load   `json:"load"`
}

// Refusal states that a request did not run.
type Refusal struct {
	QueryID   string         `json:"query_id,omitempty"`
	AttemptID string         `json:"attempt_id"`
	Reason    outcome.Reason `json:"reason"`
	Load      Load           `json:"load"`
}

// Holding lists a searcher's shards of one index version.
type Holding struct {
	Version uint64           `json:"version"`
	Ranges  []keyrange.Range `json:"ranges"`
}

// Status describes a searcher. It may be out of date.
type Status struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	// Slots is the number of requests that the searcher runs concurrently.
	Slots int `json:"slots"`
	// MaxConnections is the searcher's connection limit.
	MaxConnections int       `json:"max_connections"`
	Writes         bool      `json:"writes"`
	Holdings       []Holding `json:"holdings"`
	Load           Load      `json:"load"`
}
