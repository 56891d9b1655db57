// Package write defines a caller's request to register a record, which is not
// idempotent, and its result.
//
// # Usage
//
//	r := writer.Write(ctx, write.Request{IdempotencyKey: key, Search: "returns", Record: rec})
//	if r.Outcome.Kind == outcome.KindNotRun { /* safe to send again */ }
package write

import (
	"time"

	"egrethaven/internal/query/outcome"
	"egrethaven/internal/query/record"
)

// Request is one request to register a record.
type Request struct {
	// IdempotencyKey is the UUIDv7 that the caller chose for this request.
	IdempotencyKey string
	// Search is the name of the search whose service registers the record.
	Search string
	// Caller is the name of the caller.
	Caller string
	// Record is the record to register.
	Record record.Record
	// Deadline is the time by which the result must have been sent.
	Deadline time.Time
}

// Result is the result of a Request.
type Result struct {
	IdempotencyKey string          `json:"idempotency_key"`
	Search         string          `json:"search"`
	Outcome        outcome.Outcome `json:"outcome"`
	// Repeated is set if the outcome is that of an earlier request with the same
	// key.
	Repeated bool `json:"repeated"`
	// Revision is the revision that the backend server assigned to the record, if
	// the request ran.
	Revision  uint64  `json:"revision,omitempty"`
	Detail    string  `json:"detail,omitempty"`
	ElapsedMS float64 `json:"elapsed_ms"`
}
