package once

import (
	"context"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/peer/claimrpc"
	"egrethaven/internal/world/vm"
)

const (
	// maxForwards is how many members are asked before this node swaps itself.
	maxForwards = 2
	// silence is how long an owner may say nothing before it counts as gone.
	silence = 200 * time.Millisecond
	// progressInterval is how often an owner says that it still waits.
	progressInterval = 50 * time.Millisecond
	// resolveShare of the time left is kept for this node's own swap.
	resolveShare = 3
	// maxTTL bounds how long an owner works for another node.
	maxTTL = 10 * time.Second
	// maxOps bounds the ops of one batch from another node.
	maxOps = 4096
)

// submit hands ops of one bucket to its owner, or to this node's committer
// when the owner is this node, does not answer, or can't reach the service.
// Ops carry their attempt ids, so that one which reached two committers has
// one effect. There is always one result for each op.
func (s *Store) submit(ctx context.Context, p place, ops []*claimrpc.Op) []*claimrpc.Result {
	unsure := false
	for range maxForwards {
		m, ok := s.owners.of(p.name(s.config.Slice), time.Now())
		if !ok {
			break
		}
		s.counts.forwards.Add(1)
		rs, err := s.forward(ctx, m, p, ops)
		if err == nil && !down(rs) {
			s.owners.back(m.ID)
			return rs
		}
		s.counts.forwardFailures.Add(1)
		s.owners.lost(m.ID, time.Now())
		unsure = unsure || err != nil || anyUnsure(rs)
		if ctx.Err() != nil {
			break
		}
	}
	return s.local(ctx, p, ops, unsure)
}

// down tells whether the store refused an op.
func down(rs []*claimrpc.Result) bool {
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

// decided tells whether the bucket was asked about an op.
func decided(r *claimrpc.Result) bool {
	return r.Verdict != claimrpc.Verdict_STORE_DOWN && r.Verdict != claimrpc.Verdict_SHED
}

// local runs ops through this node's committer. Refusals are unsure if an
// owner may have taken the ops before.
func (s *Store) local(ctx context.Context, p place, ops []*claimrpc.Op, unsure bool) []*claimrpc.Result {
	end, ok := ctx.Deadline()
	if !ok || time.Until(end) > maxTTL {
		end = time.Now().Add(maxTTL)
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	rs := make([]*claimrpc.Result, len(ops))
	for i, w := range s.enqueue(p, ops, end) {
		select {
		case rs[i] = <-w.done:
		case <-ctx.Done():
			rs[i] = &claimrpc.Result{Verdict: claimrpc.Verdict_STORE_DOWN, Unsure: true}
		}
		if unsure && !decided(rs[i]) {
			rs[i].Unsure = true
		}
	}
	return rs
}

// forward asks another node. It gives up when that node falls silent, or
// early enough to resolve the ops by this node's own means.
func (s *Store) forward(ctx context.Context, m vm.VM, p place, ops []*claimrpc.Op) ([]*claimrpc.Result, error) {
	ttl := maxTTL
	if end, ok := ctx.Deadline(); ok {
		left := time.Until(end)
		ttl = min(ttl, left-left/resolveShare)
	}
	ctx, cancel := context.WithTimeout(ctx, ttl)
	defer cancel()
	watchdog := time.AfterFunc(silence, cancel)
	defer watchdog.Stop()
	conn, err := s.config.Dialer.Conn(ctx, m.Addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = conn.Close() }()
	b := &claimrpc.Batch{Slice: p.slice, Hash: p.hash, Ops: ops, TtlMs: ttl.Milliseconds()}
	stream, err := claimrpc.NewDRPCClaimsClient(conn).Apply(ctx, b)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = stream.Close() }()
	for {
		g, err := stream.Recv()
		if err != nil {
			return nil, errors.Trace(err)
		}
		if len(g.Results) == len(ops) {
			return g.Results, nil
		}
		if len(g.Results) > 0 {
			return nil, errors.NotValidf("%d results for %d ops", len(g.Results), len(ops))
		}
		watchdog.Reset(silence)
	}
}
