package member

import (
	"context"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/peer/memberrpc"
)

// Beat answers a heartbeat. It is called by drpc.
func (m *Membership) Beat(_ context.Context, in *memberrpc.Heartbeat) (*memberrpc.Heartbeat, error) {
	if err := fromUpdate(in.GetFrom()).Valid(); err != nil {
		return nil, err
	}
	m.take(in)
	return m.heartbeat(in.GetFrom().GetId(), m.rumors(0)), nil
}

// Probe sends a heartbeat for another member. It is called by drpc.
func (m *Membership) Probe(ctx context.Context, in *memberrpc.ProbeRequest) (*memberrpc.ProbeReply, error) {
	u := fromUpdate(in.GetTarget())
	if err := u.Valid(); err != nil {
		return nil, err
	}
	m.mu.Lock()
	e, known := m.t.all[u.VM.ID]
	known = known && e.VM.Addr == u.VM.Addr
	m.mu.Unlock()
	if !known {
		return nil, errors.NotFoundf("member %s", u.VM.ID)
	}
	err := m.beat(ctx, u.VM.Addr, u.VM.ID)
	return &memberrpc.ProbeReply{Answered: err == nil}, nil
}

// Sync answers with members. It is called by drpc.
func (m *Membership) Sync(_ context.Context, in *memberrpc.SyncRequest) (*memberrpc.SyncReply, error) {
	out := &memberrpc.SyncReply{}
	hs := in.GetBuckets()
	if len(hs) != 0 && len(hs) != buckets {
		return nil, errors.NotValidf("%d buckets", len(hs))
	}
	m.locked(func(t *table, _ time.Time) {
		var us []Update
		if len(hs) > 0 {
			out.Differing, us = t.inBuckets(hs, pageSize)
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
