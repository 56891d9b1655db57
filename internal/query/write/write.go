// Package write holds a caller's non-idempotent request and its result.
//
// # Usage
//
//	r := writer.Write(ctx, write.Write{IdempotencyKey: key, Search: "returns", Record: rec})
//	if r.Outcome.Kind == outcome.KindNotRun { /* safe to send again */ }
package write

import (
	"time"

	"egrethaven/internal/query/outcome"
	"egrethaven/internal/query/record"
)

// Write is one request to register a record.
type Write struct {
	// IdempotencyKey is the caller's UUIDv7 for this request.
	IdempotencyKey string
	// Search names the search whose service takes the record.
	Search string
	// Caller names who asks, for shares.
	Caller string
	// Record to register.
	Record record.Record
	// Deadline is when the result must have been sent.
	Deadline time.Time
}

// Result is the tier's reply to a Write.
type Result struct {
	IdempotencyKey string          `json:"idempotency_key"`
	Search         string          `json:"search"`
	Outcome        outcome.Outcome `json:"outcome"`
	// Repeated tells that the outcome is the recorded one of an earlier request.
	Repeated bool `json:"repeated"`
	// Revision of the record that the backend server assigned, if it ran.
	Revision  uint64  `json:"revision,omitempty"`
	Detail    string  `json:"detail,omitempty"`
	ElapsedMS float64 `json:"elapsed_ms"`
}
