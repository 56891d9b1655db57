package dataset

import "egrethaven/internal/query/record"

// Write registers a record and returns its revision. It counts each run of an
// idempotency key but does not detect duplicates. A record without a key is
// not accepted.
func (t *GroundTruth) Write(idempotencyKey string, r record.Record) (revision uint64, accepted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[idempotencyKey]++
	if t.runs[idempotencyKey] > 1 {
		t.duplicateRuns++
	}
	if r.Key == "" {
		return 0, false
	}
	t.revision++
	r.Revision = t.revision
	t.pending = append(t.pending, r)
	return r.Revision, true
}

// RunCount returns how many times a write with the idempotency key ran.
func (t *GroundTruth) RunCount(idempotencyKey string) int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.runs[idempotencyKey]
}

// DuplicateRuns returns the number of runs after the first, over all
// idempotency keys.
func (t *GroundTruth) DuplicateRuns() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.duplicateRuns
}

// RecordRun records that a searcher started to run a query.
func (t *GroundTruth) RecordRun(queryID string) {
	if _, ok := t.ranQueries.Load(queryID); !ok {
		t.ranQueries.Store(queryID, struct{}{})
	}
}

// HasRun reports whether any searcher started to run a query.
func (t *GroundTruth) HasRun(queryID string) bool {
	_, ok := t.ranQueries.Load(queryID)
	return ok
}
