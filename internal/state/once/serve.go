package once

import (
	"context"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/peer/claimrpc"
)

// Apply serves the batch of another node. It sends empty messages until the
// results are there, so that the other end can tell waiting from silence.
func (s *Store) Apply(b *claimrpc.Batch, stream claimrpc.DRPCClaims_ApplyStream) error {
	if err := s.checkBatch(b); err != nil {
		return errors.Trace(err)
	}
	if !s.enter() {
		return errors.New("closed")
	}
	defer s.wait.Done()
	ttl := min(time.Duration(b.TtlMs)*time.Millisecond, maxTTL)
	ctx, cancel := context.WithTimeout(stream.Context(), ttl)
	defer cancel()
	defer context.AfterFunc(s.ctx, cancel)()
	done := make(chan []*claimrpc.Result, 1)
	s.wait.Go(func() {
		done <- s.local(ctx, place{slice: b.Slice, hash: b.Hash}, b.Ops, false)
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

// enter joins the goroutines that Close waits for, unless it has begun to.
func (s *Store) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.wait.Add(1)
	return true
}

// checkBatch tells what is wrong with a batch from another node.
func (s *Store) checkBatch(b *claimrpc.Batch) error {
	if len(b.Ops) == 0 || len(b.Ops) > maxOps {
		return errors.NotValidf("batch of %d ops", len(b.Ops))
	}
	p := place{slice: b.Slice, hash: b.Hash}
	for _, o := range b.Ops {
		if err := check(o.GetEntry()); err != nil {
			return errors.Trace(err)
		}
		if o.Entry.State != stateOf(o.Action) {
			return errors.NotValidf("state %d of action %d", o.Entry.State, o.Action)
		}
		if locate(key(o.Entry.Key), s.config.Slice, s.config.Hashes) != p {
			return errors.NotValidf("key of another bucket")
		}
	}
	return nil
}
