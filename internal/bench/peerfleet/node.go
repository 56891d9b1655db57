package peerfleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/infra/failuredomain"
	"egrethaven/internal/infra/vm"
	"egrethaven/internal/peer/member"
	"egrethaven/internal/peer/rpc"
	"egrethaven/internal/peer/rumor"
	"egrethaven/internal/platform/kv"
	"egrethaven/internal/state/config"
	"egrethaven/internal/state/configsync"
	"egrethaven/platform/store"
)

const (
	// sharedKey is proven on each connection.
	sharedKey = "peerfleet"
	// idleTimeout is how long a connection between nodes stays idle.
	idleTimeout = 2 * time.Second
)

// Node is one entry VM without callers.
type Node struct {
	VM      vm.VM
	Manager *config.Manager
	Spread  *configsync.Syncer
	Members *member.Membership
	Rumors  *rumor.Set
	server  *rpc.Server
	dialer  *rpc.Dialer
	client  *kv.Client
	mesh    *mesh
}

// start makes a node and lets it run.
func (f *Fleet) start(id string, d failuredomain.Domain, r *rand.Rand) (*Node, error) {
	s, err := rpc.NewServer(rpc.ServerConfig{Listen: "127.0.0.1:0", SharedKey: sharedKey})
	if err != nil {
		return nil, errors.Trace(err)
	}
	n := &Node{VM: vm.VM{ID: id, Role: vm.Entry, Domain: d, Addr: s.Addr(), State: vm.Live}, server: s}
	n.dialer = rpc.NewDialer(rpc.DialerConfig{SharedKey: sharedKey, IdleTimeout: idleTimeout})
	n.client = kv.New(kv.Config{Transport: store.New(store.Config{Addr: f.platform.Addr()}), WatchTimeout: watchWait, Seed: r.Uint64()})
	n.Rumors = rumor.New(rumor.Config{Node: id})
	fork := func() *rand.Rand { return rand.New(rand.NewPCG(r.Uint64(), r.Uint64())) }
	n.Manager = config.New(config.Config{
		Store: f.gate(d, n.client), Node: id, Mode: config.Idle, Rand: fork(),
	})
	n.Spread = configsync.New(configsync.Config{
		Self: n.VM, Manager: n.Manager, Dialer: n.dialer, Rand: fork(), AllWatch: f.c.Everyone,
	})
	n.Members = member.New(member.Config{
		Self: n.VM, VMs: f.vms, Dialer: n.dialer, Rumors: n.Rumors, Rand: fork(),
		Digest: n.Spread.Digest, OnDigest: n.Spread.OnDigest,
	})
	if err := errors.Trace(n.serve(f)); err != nil {
		n.close()
		return nil, err
	}
	return n, nil
}

// serve registers the services and starts them.
func (n *Node) serve(f *Fleet) error {
	if err := n.Spread.Register(n.server.Mux()); err != nil {
		return err
	}
	if err := n.Members.Register(n.server.Mux()); err != nil {
		return err
	}
	n.Spread.Start(n.Members)
	n.server.Serve()
	if f.c.Mesh {
		n.mesh = newMesh(n, f)
		return nil
	}
	n.Members.Start()
	return nil
}

// vms is the platform's list as a node sees it.
func (f *Fleet) vms() ([]vm.VM, time.Duration) { return *f.list.Load(), 0 }

// knows tells whether exactly the given nodes are live to n.
func (n *Node) knows(ns []*Node) bool {
	live := n.Members.LiveAll()
	if len(live) != len(ns) {
		return false
	}
	ids := make(map[string]bool, len(live))
	for _, v := range live {
		ids[v.ID] = true
	}
	for _, x := range ns {
		if !ids[x.VM.ID] {
			return false
		}
	}
	return true
}

// bytes is the traffic of this node with others, in both directions.
func (n *Node) bytes() uint64 {
	a, b := n.server.Counts(), n.dialer.Counts()
	return a.BytesIn + a.BytesOut + b.BytesIn + b.BytesOut
}

// close stops the node.
func (n *Node) close() {
	if n.mesh != nil {
		n.mesh.close()
	}
	n.server.Close()
	n.Members.Close()
	n.Spread.Close()
	n.Manager.Close()
	n.dialer.Close()
	n.client.Close()
}

// gate is a service that is sometimes not reached.
type gate struct {
	kv.Store
	open func() bool
}

// Get reads a key.
func (g *gate) Get(ctx context.Context, key string) (kv.Entry, kv.Status) {
	if !g.open() {
		return kv.Entry{}, kv.Unavailable
	}
	return g.Store.Get(ctx, key)
}

// Swap writes a key whose revision is expect.
func (g *gate) Swap(ctx context.Context, key string, expect uint64, b []byte) (kv.Entry, kv.Status) {
	if !g.open() {
		return kv.Entry{}, kv.Unavailable
	}
	return g.Store.Swap(ctx, key, expect, b)
}

// Watch waits for a revision above after. The answer to a watch that waits
// when the cut begins is lost.
func (g *gate) Watch(ctx context.Context, key string, after uint64) (kv.Entry, kv.Status) {
	if !g.open() {
		return kv.Entry{}, kv.Unavailable
	}
	e, st := g.Store.Watch(ctx, key, after)
	if !g.open() {
		return kv.Entry{}, kv.Unavailable
	}
	return e, st
}
