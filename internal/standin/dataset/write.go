package dataset

import "egrethaven/internal/query/record"

// Write registers a record and returns its revision. It counts each run and
// does not check for repeats; a record without a key is turned down.
func (t *GroundTruth) Write(idempotencyKey string, r record.Record) (revision uint64, accepted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[idempotencyKey]++
	if t.runs[idempotencyKey] > 1 {
		t.double++
	}
	if r.Key == "" {
		return 0, false
	}
	t.revision++
	r.Revision = t.revision
	t.pending = append(t.pending, r)
	return r.Revision, true
}

// RunCount returns how often the request with an idempotency key ran.
func (t *GroundTruth) RunCount(idempotencyKey string) int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.runs[idempotencyKey]
}

// DuplicateRuns returns the number of runs beyond the first of each request.
func (t *GroundTruth) DuplicateRuns() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.double
}

// RecordRun notes that a searcher began to run a call of a query.
func (t *GroundTruth) RecordRun(queryID string) {
	if _, ok := t.ran.Load(queryID); !ok {
		t.ran.Store(queryID, struct{}{})
	}
}

// HasRun tells whether any searcher began to run a call of a query.
func (t *GroundTruth) HasRun(queryID string) bool {
	_, ok := t.ran.Load(queryID)
	return ok
}
