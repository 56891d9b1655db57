// Package ask defines a caller's query and its answer, as the caller API, the
// query engine and the command line exchange them.
//
// # Usage
//
//	a := engine.Ask(ctx, ask.Query{QueryID: id, Search: "warranty", Text: "joint", Limit: 20, Deadline: d})
//	if a.Outcome.OK() && a.Coverage.Complete() { ... }
package ask

import (
	"time"

	"egrethaven/internal/query/coverage"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/query/record"
)

// Filter selects records that have exactly this value in a field.
type Filter struct {
	Field string `json:"field"`
	Value string `json:"value"`
}

// Query is one query of a caller.
type Query struct {
	// QueryID identifies the query; answers echo it.
	QueryID string
	// Search is the name of the search to query.
	Search string
	// Caller is the name of the caller, which selects its share of the capacity.
	Caller string
	// Priority is the priority of the query while some have to wait; 0 is the highest.
	Priority int
	// Text has to occur in the key or a field of a record, ignoring case; empty
	// text matches all records.
	Text string
	// Filters must all match.
	Filters []Filter
	// Limit is the maximum number of hits to return.
	Limit int
	// Deadline is the time by which the answer must have been sent.
	Deadline time.Time
	// AcceptPartial is set if the caller accepts an incomplete answer.
	AcceptPartial bool
	// Explain requests the steps of the query in the answer.
	Explain bool
	// Canary marks a canary query of the tier itself.
	Canary bool
}

// Hit is a matching record with its score.
type Hit struct {
	record.Record
	Score float64 `json:"score"`
}

// Step is one event of a query, for explanations.
type Step struct {
	// AtMicros is the time since the query began, in microseconds.
	AtMicros int64 `json:"at_us"`
	// What is the kind of event, such as call, answer, hedge, retry or restart.
	What string `json:"what"`
	// Searcher is the ID of the searcher or holder concerned.
	Searcher string `json:"searcher,omitempty"`
	// Range is the key range concerned, in its text form.
	Range string `json:"range,omitempty"`
	// Detail is further text, usually an outcome.
	Detail string `json:"detail,omitempty"`
}

// Cost counts the calls of a query to backend servers.
type Cost struct {
	// Primaries is the number of first calls for a shard.
	Primaries int `json:"primaries"`
	// Hedges is the number of calls made while another was still in flight.
	Hedges int `json:"hedges"`
	// Retries is the number of calls made after another ended without an answer.
	Retries int `json:"retries"`
	// Restarts is the number of restarts on a newer version of the index.
	Restarts int `json:"restarts"`
	// Dropped is the number of answers that were dropped because they were for
	// another query, version or range.
	Dropped int `json:"dropped"`
}

// Answer is the answer to a query.
type Answer struct {
	QueryID  string            `json:"query_id"`
	Search   string            `json:"search"`
	Outcome  outcome.Outcome   `json:"outcome"`
	Hits     []Hit             `json:"hits"`
	Total    int               `json:"total"`
	Coverage coverage.Coverage `json:"coverage"`
	Complete bool              `json:"complete"`
	Cost     Cost              `json:"cost"`
	// ElapsedMS is the duration of the query in milliseconds.
	ElapsedMS float64 `json:"elapsed_ms"`
	// ConfigRevision is the revision of the configuration used.
	ConfigRevision uint64 `json:"config_revision"`
	Steps          []Step `json:"steps,omitempty"`
}
