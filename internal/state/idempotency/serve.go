package idempotency

import (
	"context"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/peer/claimrpc"
)

// Apply serves a batch from another node. It sends empty messages until the
// results are ready, so that the other node can tell a slow owner from an
// unreachable one.
func (s *Store) Apply(b *claimrpc.Batch, stream claimrpc.DRPCClaims_ApplyStream) error {
	if err := s.validateBatch(b); err != nil {
		return errors.Trace(err)
	}
	if !s.beginCall() {
		return errors.New("the claim store is closed")
	}
	defer s.wg.Done()
	ttl := min(time.Duration(b.TtlMs)*time.Millisecond, maxTTL)
	ctx, cancel := context.WithTimeout(stream.Context(), ttl)
	defer cancel()
	defer context.AfterFunc(s.ctx, cancel)()
	done := make(chan []*claimrpc.Result, 1)
	s.wg.Go(func() {
		done <- s.submitLocal(ctx, bucketID{slice: b.Slice, hash: b.Hash}, b.Ops, false)
	})
	t := time.NewTicker(progressInterval)
	defer t.Stop()
	for {
		select {
		case rs := <-done:
			return errors.Trace(stream.Send(&claimrpc.Progress{Results: rs}))
		case <-t.C:
			if err := stream.Send(&claimrpc.Progress{}); err != nil {
				return errors.Trace(err)
			}
		}
	}
}

// beginCall adds a call to the wait group of Close. It returns false when Close
// has been called.
func (s *Store) beginCall() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.wg.Add(1)
	return true
}

// validateBatch returns an error if a batch from another node is malformed or
// holds keys of other buckets.
func (s *Store) validateBatch(b *claimrpc.Batch) error {
	if len(b.Ops) == 0 || len(b.Ops) > maxBatchOps {
		return errors.NotValidf("batch of %d ops", len(b.Ops))
	}
	id := bucketID{slice: b.Slice, hash: b.Hash}
	for _, o := range b.Ops {
		if err := validateEntry(o.GetEntry()); err != nil {
			return errors.Trace(err)
		}
		if o.Entry.State != targetState(o.Action) {
			return errors.NotValidf("entry state %d for action %d", o.Entry.State, o.Action)
		}
		if bucketOf(key(o.Entry.Key), s.config.SliceDuration, s.config.BucketsPerSlice) != id {
			return errors.NotValidf("batch with a key of another bucket")
		}
	}
	return nil
}
