package idempotency

import "sync/atomic"

// Counts holds the counters of a Store since its start.
type Counts struct {
	Claims     int64 `json:"claims"`
	Granted    int64 `json:"granted"`
	Repeated   int64 `json:"repeated"`
	InProgress int64 `json:"in_progress"`
	Refused    int64 `json:"refused"`
	// Unresolved is the number of refused claims whose swap may have taken
	// effect.
	Unresolved int64 `json:"unresolved"`
	// Recorded is the number of outcomes and abandonments written to buckets.
	Recorded int64 `json:"recorded"`
	// Waiting is the number of outcomes and abandonments not written yet.
	Waiting int64 `json:"waiting"`
	// Dropped is the number of outcomes and abandonments dropped because the
	// outbox was full.
	Dropped int64 `json:"dropped"`
	// Commits counts swaps sent, Conflicts those that conflicted, Reads
	// buckets read.
	Commits   int64 `json:"commits"`
	Conflicts int64 `json:"conflicts"`
	Reads     int64 `json:"reads"`
	// Forwards is the number of batches sent to the owners of buckets.
	Forwards        int64 `json:"forwards"`
	ForwardFailures int64 `json:"forward_failures"`
	// Deleted is the number of expired buckets that were deleted.
	Deleted int64 `json:"deleted"`
	// Buckets is the number of buckets whose content is cached.
	Buckets int64 `json:"buckets"`
}

type counters struct {
	claims, granted, repeated, inProgress, refused, unresolved, recorded, dropped,
	commits, conflicts, reads, forwards, forwardFailures, deleted atomic.Int64
}

// Counts returns the current counters.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	buckets := len(s.committers)
	s.mu.Unlock()
	c := &s.counters
	return Counts{
		Claims: c.claims.Load(), Granted: c.granted.Load(), Repeated: c.repeated.Load(),
		InProgress: c.inProgress.Load(), Refused: c.refused.Load(), Unresolved: c.unresolved.Load(),
		Recorded: c.recorded.Load(), Waiting: int64(s.outbox.size()), Dropped: c.dropped.Load(),
		Commits: c.commits.Load(), Conflicts: c.conflicts.Load(), Reads: c.reads.Load(),
		Forwards: c.forwards.Load(), ForwardFailures: c.forwardFailures.Load(),
		Deleted: c.deleted.Load(), Buckets: int64(buckets),
	}
}
