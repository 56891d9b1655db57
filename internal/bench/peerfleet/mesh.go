package peerfleet

import (
	"context"
	"sync"
	"time"

	"egrethaven/internal/peer/memberrpc"
)

const (
	// meshPeriod is the time between two heartbeats to the same node.
	meshPeriod = time.Second
	// meshTimeout bounds one of them.
	meshTimeout = 500 * time.Millisecond
)

// mesh sends a heartbeat to every node each second: the simple way, to compare
// with.
type mesh struct {
	n      *Node
	f      *Fleet
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

func newMesh(n *Node, f *Fleet) *mesh {
	ctx, cancel := context.WithCancel(context.Background())
	m := &mesh{n: n, f: f, cancel: cancel}
	m.wg.Go(func() { m.loop(ctx) })
	return m
}

func (m *mesh) loop(ctx context.Context) {
	t := time.NewTicker(meshPeriod)
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
				m.wg.Go(func() { m.beat(ctx, v.Addr) })
			}
		}
	}
}

// beat sends one heartbeat. An answer that does not come is of no matter here.
func (m *mesh) beat(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, meshTimeout)
	defer cancel()
	c, err := m.n.dialer.Conn(ctx, addr)
	if err != nil {
		return
	}
	_, _ = memberrpc.NewDRPCMemberClient(c).Beat(ctx, &memberrpc.Heartbeat{From: &memberrpc.Update{
		Id: m.n.VM.ID, Domain: string(m.n.VM.Domain), Addr: m.n.VM.Addr, Incarnation: 1,
	}})
}

func (m *mesh) close() {
	m.cancel()
	m.wg.Wait()
}
