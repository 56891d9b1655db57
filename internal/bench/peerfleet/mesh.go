package peerfleet

import (
	"context"
	"sync"
	"time"

	"egrethaven/internal/peer/memberrpc"
)

const (
	// heartbeatInterval is the time between two heartbeats to the same node.
	heartbeatInterval = time.Second
	// heartbeatTimeout is the timeout of one heartbeat.
	heartbeatTimeout = 500 * time.Millisecond
)

// allToAllHeartbeats is the baseline for the membership protocol: it sends a
// heartbeat to every other node at each heartbeatInterval.
type allToAllHeartbeats struct {
	n      *Node
	f      *Fleet
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

func newAllToAllHeartbeats(n *Node, f *Fleet) *allToAllHeartbeats {
	ctx, cancel := context.WithCancel(context.Background())
	m := &allToAllHeartbeats{n: n, f: f, cancel: cancel}
	m.wg.Go(func() { m.loop(ctx) })
	return m
}

func (m *allToAllHeartbeats) loop(ctx context.Context) {
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		vs, _ := m.f.vms()
		for _, v := range vs {
			if v.ID != m.n.VM.ID {
				m.wg.Go(func() { m.sendHeartbeat(ctx, v.Addr) })
			}
		}
	}
}

// sendHeartbeat sends one heartbeat and ignores errors: the baseline is measured
// for its load only.
func (m *allToAllHeartbeats) sendHeartbeat(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	c, err := m.n.dialer.Conn(ctx, addr)
	if err != nil {
		return
	}
	_, _ = memberrpc.NewDRPCMemberClient(c).Beat(ctx, &memberrpc.Heartbeat{From: &memberrpc.Update{
		Id: m.n.VM.ID, Domain: string(m.n.VM.Domain), Addr: m.n.VM.Addr, Incarnation: 1,
	}})
}

func (m *allToAllHeartbeats) close() {
	m.cancel()
	m.wg.Wait()
}
