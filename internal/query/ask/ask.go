// Package ask holds a caller's question and the answer to it, as they pass
// between the caller API, the query engine and the command line.
//
// # Usage
//
//	a := engine.Ask(ctx, ask.Ask{QueryID: id, Search: "warranty", Text: "joint", Limit: 20, Deadline: d})
//	if a.Outcome.OK() && a.Coverage.Complete() { ... }
package ask

import (
	"time"

	"egrethaven/internal/query/coverage"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/query/record"
)

// Filter keeps the records whose field has exactly the value.
type Filter struct {
	Field string `json:"field"`
	Value string `json:"value"`
}

// Ask is one question of a caller.
type Ask struct {
	// QueryID identifies the question; answers echo it.
	QueryID string
	// Search names the search to use.
	Search string
	// Caller names who asks, for shares.
	Caller string
	// Text has to occur in one of the record's fields; empty matches all.
	Text string
	// Filters must all match.
	Filters []Filter
	// Limit is the largest number of hits to return.
	Limit int
	// Deadline is when the answer must have been sent.
	Deadline time.Time
	// AcceptPartial tells that an incomplete answer is of use.
	AcceptPartial bool
	// Explain asks for the steps that led to the answer.
	Explain bool
	// Canary marks the tier's own probe.
	Canary bool
}

// Hit is one record that matches, with its score.
type Hit struct {
	record.Record
	Score float64 `json:"score"`
}

// Step is one event in the course of a query, for explanations.
type Step struct {
	// At is the time since the query began, in microseconds.
	At int64 `json:"at_us"`
	// What happened: call, answer, hedge, retry, refusal, restart.
	What string `json:"what"`
	// Searcher that the step concerns.
	Searcher string `json:"searcher,omitempty"`
	// Range that the step concerns, in text.
	Range string `json:"range,omitempty"`
	// Detail in words, often an outcome.
	Detail string `json:"detail,omitempty"`
}

// Cost counts what a query asked of backend servers.
type Cost struct {
	// Primaries are the first calls for a shard.
	Primaries int `json:"primaries"`
	// Hedges are second calls made while one was still in flight.
	Hedges int `json:"hedges"`
	// Retries are calls made after one had ended without an answer.
	Retries int `json:"retries"`
	// Restarts are changes to a newer version of the index.
	Restarts int `json:"restarts"`
	// Dropped are late, crossed or mismatched answers that were not used.
	Dropped int `json:"dropped"`
}

// Answer is the tier's reply to an Ask.
type Answer struct {
	QueryID  string            `json:"query_id"`
	Search   string            `json:"search"`
	Outcome  outcome.Outcome   `json:"outcome"`
	Hits     []Hit             `json:"hits"`
	Total    int               `json:"total"`
	Coverage coverage.Coverage `json:"coverage"`
	Complete bool              `json:"complete"`
	Cost     Cost              `json:"cost"`
	// Elapsed is the time from the question to the answer, in milliseconds.
	ElapsedMS float64 `json:"elapsed_ms"`
	// ConfigRevision is the revision of the configuration that was in force.
	ConfigRevision uint64 `json:"config_revision"`
	Steps          []Step `json:"steps,omitempty"`
}
