package dataset

import "egrethaven/internal/query/record"

// Write registers a record and returns its revision. It counts each run and
// does not check for repeats; a record without a key is turned down.
func (t *Truth) Write(idempotencyKey string, r record.Record) (revision uint64, accepted bool) {
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

// Runs returns how often the request with an idempotency key ran.
func (t *Truth) Runs(idempotencyKey string) int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.runs[idempotencyKey]
}

// DoubleRuns returns the number of runs beyond the first of each request.
func (t *Truth) DoubleRuns() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.double
}

// MarkRan notes that a searcher began to run a call of a query.
func (t *Truth) MarkRan(queryID string) {
	if _, ok := t.ran.Load(queryID); !ok {
		t.ran.Store(queryID, struct{}{})
	}
}

// Ran tells whether any searcher began to run a call of a query.
func (t *Truth) Ran(queryID string) bool {
	_, ok := t.ran.Load(queryID)
	return ok
}
