package member

import (
	"context"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/peer/memberrpc"
)

// Beat merges a peer's heartbeat and returns one of this node. It is called by
// drpc.
func (m *Membership) Beat(_ context.Context, in *memberrpc.Heartbeat) (*memberrpc.Heartbeat, error) {
	if err := fromUpdate(in.GetFrom()).Validate(); err != nil {
		return nil, err
	}
	m.receive(in)
	return m.heartbeat(in.GetFrom().GetId(), m.takeRumors(0)), nil
}

// Probe sends a heartbeat to a member on behalf of a peer and returns whether
// it answered. It is called by drpc.
func (m *Membership) Probe(ctx context.Context, in *memberrpc.ProbeRequest) (*memberrpc.ProbeReply, error) {
	u := fromUpdate(in.GetTarget())
	if err := u.Validate(); err != nil {
		return nil, err
	}
	m.mu.Lock()
	e, known := m.t.members[u.VM.ID]
	known = known && e.VM.Addr == u.VM.Addr
	m.mu.Unlock()
	if !known {
		return nil, errors.NotFoundf("member %s at %s", u.VM.ID, u.VM.Addr)
	}
	err := m.sendHeartbeat(ctx, u.VM.Addr, u.VM.ID)
	return &memberrpc.ProbeReply{Answered: err == nil}, nil
}

// Sync returns the members of the buckets whose hash differs, or a page of all
// members if the request has no hashes. It is called by drpc.
func (m *Membership) Sync(_ context.Context, in *memberrpc.SyncRequest) (*memberrpc.SyncReply, error) {
	out := &memberrpc.SyncReply{}
	hs := in.GetBuckets()
	if len(hs) != 0 && len(hs) != bucketCount {
		return nil, errors.NotValidf("sync request with %d bucket hashes", len(hs))
	}
	m.withTable(func(t *table, _ time.Time) {
		var us []Update
		if len(hs) > 0 {
			out.Differing, us = t.differingBuckets(hs, pageSize)
		} else {
			us, out.Next = t.page(in.GetAfter(), pageSize)
		}
		out.Updates = toUpdates(us)
	})
	if len(hs) == 0 && out.Next == "" {
		out.Rumors = toRumors(m.c.Rumors.All())
	}
	return out, nil
}
