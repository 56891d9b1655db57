package once

import "sync/atomic"

// Counts are what a Store did so far.
type Counts struct {
	Claims     int64 `json:"claims"`
	Granted    int64 `json:"granted"`
	Repeated   int64 `json:"repeated"`
	InProgress int64 `json:"in_progress"`
	Refused    int64 `json:"refused"`
	// Unresolved claims were refused while their swap might have taken effect.
	Unresolved int64 `json:"unresolved"`
	// Recorded outcomes and abandonments are in their buckets.
	Recorded int64 `json:"recorded"`
	// Waiting outcomes are not written so far.
	Waiting int64 `json:"waiting"`
	// Dropped outcomes found no room to wait.
	Dropped int64 `json:"dropped"`
	// Commits are swaps sent, Reads are buckets read.
	Commits   int64 `json:"commits"`
	Conflicts int64 `json:"conflicts"`
	Reads     int64 `json:"reads"`
	// Forwards are batches sent to owners.
	Forwards        int64 `json:"forwards"`
	ForwardFailures int64 `json:"forward_failures"`
	// Deleted buckets had expired.
	Deleted int64 `json:"deleted"`
	// Buckets is the number of buckets whose content is kept.
	Buckets int64 `json:"buckets"`
}

type counters struct {
	claims, granted, repeated, inProgress, refused, unresolved, recorded, dropped,
	commits, conflicts, reads, forwards, forwardFailures, deleted atomic.Int64
}

// Counts returns the counts so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	buckets := len(s.committers)
	s.mu.Unlock()
	c := &s.counts
	return Counts{
		Claims: c.claims.Load(), Granted: c.granted.Load(), Repeated: c.repeated.Load(),
		InProgress: c.inProgress.Load(), Refused: c.refused.Load(), Unresolved: c.unresolved.Load(),
		Recorded: c.recorded.Load(), Waiting: int64(s.outbox.size()), Dropped: c.dropped.Load(),
		Commits: c.commits.Load(), Conflicts: c.conflicts.Load(), Reads: c.reads.Load(),
		Forwards: c.forwards.Load(), ForwardFailures: c.forwardFailures.Load(),
		Deleted: c.deleted.Load(), Buckets: int64(buckets),
	}
}
