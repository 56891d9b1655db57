package idempotency

import (
	"context"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/infra/vm"
	"egrethaven/internal/peer/claimrpc"
)

const (
	// maxForwards is how many members are asked before this node writes to the
	// bucket itself.
	maxForwards = 2
	// silenceTimeout is how long an owner may send nothing before it counts as
	// unreachable.
	silenceTimeout = 200 * time.Millisecond
	// progressInterval is how often an owner reports that it is still working.
	progressInterval = 50 * time.Millisecond
	// localTimeDivisor: one third of the time left is reserved for this node's
	// own swap.
	localTimeDivisor = 3
	// maxTTL bounds the time spent on one batch of ops.
	maxTTL = 10 * time.Second
	// maxBatchOps bounds the number of ops in one batch from another node.
	maxBatchOps = 4096
)

// submit sends the ops of one bucket to its owner, or to this node's committer
// if the owner is this node, does not answer or can't reach the key-value
// service. An op that reaches two committers takes effect once, as it carries
// its attempt ID. submit returns one result per op.
func (s *Store) submit(ctx context.Context, id bucketID, ops []*claimrpc.Op) []*claimrpc.Result {
	maybeApplied := false
	for range maxForwards {
		m, ok := s.owners.find(id.storeKey(s.config.SliceDuration), time.Now())
		if !ok {
			break
		}
		s.counters.forwards.Add(1)
		rs, err := s.forward(ctx, m, id, ops)
		if err == nil && !anyStoreDown(rs) {
			s.owners.markResponsive(m.ID)
			return rs
		}
		s.counters.forwardFailures.Add(1)
		s.owners.markUnresponsive(m.ID, time.Now())
		maybeApplied = maybeApplied || err != nil || anyUnsure(rs)
		if ctx.Err() != nil {
			break
		}
	}
	return s.submitLocal(ctx, id, ops, maybeApplied)
}

// anyStoreDown reports whether any op has the verdict STORE_DOWN: the key-value
// service did not confirm its change, or its attempt had already abandoned the key.
func anyStoreDown(rs []*claimrpc.Result) bool {
	for _, r := range rs {
		if r.Verdict == claimrpc.Verdict_STORE_DOWN {
			return true
		}
	}
	return false
}

func anyUnsure(rs []*claimrpc.Result) bool {
	for _, r := range rs {
		if r.Unsure {
			return true
		}
	}
	return false
}

// evaluated reports whether a result was determined from the content of the
// bucket.
func evaluated(r *claimrpc.Result) bool {
	return r.Verdict != claimrpc.Verdict_STORE_DOWN && r.Verdict != claimrpc.Verdict_SHED
}

// submitLocal passes ops to this node's committer. If an owner may have applied
// the ops before, refusals are marked unsure.
func (s *Store) submitLocal(ctx context.Context, id bucketID, ops []*claimrpc.Op, maybeApplied bool) []*claimrpc.Result {
	end, ok := ctx.Deadline()
	if !ok || time.Until(end) > maxTTL {
		end = time.Now().Add(maxTTL)
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	rs := make([]*claimrpc.Result, len(ops))
	for i, p := range s.enqueue(id, ops, end) {
		select {
		case rs[i] = <-p.done:
		case <-ctx.Done():
			rs[i] = &claimrpc.Result{Verdict: claimrpc.Verdict_STORE_DOWN, Unsure: true}
		}
		if maybeApplied && !evaluated(rs[i]) {
			rs[i].Unsure = true
		}
	}
	return rs
}

// forward sends ops to another node. It gives up after silenceTimeout without a
// message, and early enough for this node to write the ops itself.
func (s *Store) forward(ctx context.Context, m vm.VM, id bucketID, ops []*claimrpc.Op) ([]*claimrpc.Result, error) {
	ttl := maxTTL
	if end, ok := ctx.Deadline(); ok {
		remaining := time.Until(end)
		ttl = min(ttl, remaining-remaining/localTimeDivisor)
	}
	ctx, cancel := context.WithTimeout(ctx, ttl)
	defer cancel()
	watchdog := time.AfterFunc(silenceTimeout, cancel)
	defer watchdog.Stop()
	conn, err := s.config.Dialer.Conn(ctx, m.Addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = conn.Close() }()
	b := &claimrpc.Batch{Slice: id.slice, Hash: id.hash, Ops: ops, TtlMs: ttl.Milliseconds()}
	stream, err := claimrpc.NewDRPCClaimsClient(conn).Apply(ctx, b)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = stream.Close() }()
	for {
		p, err := stream.Recv()
		if err != nil {
			return nil, errors.Trace(err)
		}
		if len(p.Results) == len(ops) {
			return p.Results, nil
		}
		if len(p.Results) > 0 {
			return nil, errors.NotValidf("%d results for %d ops", len(p.Results), len(ops))
		}
		watchdog.Reset(silenceTimeout)
	}
}
