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
	// sharedKey authenticates connections between nodes.
	sharedKey = "peerfleet"
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 2 * time.Second
)

// Node is one entry VM without callers.
type Node struct {
	VM         vm.VM
	Manager    *config.Manager
	ConfigSync *configsync.Syncer
	Members    *member.Membership
	Rumors     *rumor.Set
	server     *rpc.Server
	dialer     *rpc.Dialer
	client     *kv.Client
	allToAll   *allToAllHeartbeats
}

func (f *Fleet) start(id string, d failuredomain.Domain, r *rand.Rand) (*Node, error) {
	s, err := rpc.NewServer(rpc.ServerConfig{Listen: "127.0.0.1:0", SharedKey: sharedKey})
	if err != nil {
		return nil, errors.Trace(err)
	}
	n := &Node{VM: vm.VM{ID: id, Role: vm.Entry, Domain: d, Addr: s.Addr(), State: vm.Live}, server: s}
	n.dialer = rpc.NewDialer(rpc.DialerConfig{SharedKey: sharedKey, IdleTimeout: idleTimeout})
	n.client = kv.New(kv.Config{Transport: store.New(store.Config{Addr: f.platform.Addr()}), WatchTimeout: watchTimeout, Seed: r.Uint64()})
	n.Rumors = rumor.New(rumor.Config{Node: id})
	fork := func() *rand.Rand { return rand.New(rand.NewPCG(r.Uint64(), r.Uint64())) }
	n.Manager = config.New(config.Config{
		Store: f.storeFor(d, n.client), Node: id, Mode: config.Idle, Rand: fork(),
	})
	n.ConfigSync = configsync.New(configsync.Config{
		Self: n.VM, Manager: n.Manager, Dialer: n.dialer, Rand: fork(), AllWatch: f.c.AllWatch,
	})
	n.Members = member.New(member.Config{
		Self: n.VM, VMs: f.vms, Dialer: n.dialer, Rumors: n.Rumors, Rand: fork(),
		Digest: n.ConfigSync.Digest, OnDigest: n.ConfigSync.OnDigest,
	})
	if err := errors.Trace(n.serve(f)); err != nil {
		n.close()
		return nil, err
	}
	return n, nil
}

// serve registers and starts the services.
func (n *Node) serve(f *Fleet) error {
	if err := n.ConfigSync.Register(n.server.Mux()); err != nil {
		return err
	}
	if err := n.Members.Register(n.server.Mux()); err != nil {
		return err
	}
	n.ConfigSync.Start(n.Members)
	n.server.Serve()
	if f.c.FullMesh {
		n.allToAll = newAllToAllHeartbeats(n, f)
		return nil
	}
	n.Members.Start()
	return nil
}

// vms returns the platform's list of VMs and its age.
func (f *Fleet) vms() ([]vm.VM, time.Duration) { return *f.vmList.Load(), 0 }

// sees reports whether the live members of n are exactly the given nodes.
func (n *Node) sees(ns []*Node) bool {
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

// bytes returns the traffic of n in both directions, in bytes.
func (n *Node) bytes() uint64 {
	server, dialer := n.server.Counts(), n.dialer.Counts()
	return server.BytesIn + server.BytesOut + dialer.BytesIn + dialer.BytesOut
}

func (n *Node) close() {
	if n.allToAll != nil {
		n.allToAll.close()
	}
	n.server.Close()
	n.Members.Close()
	n.ConfigSync.Close()
	n.Manager.Close()
	n.dialer.Close()
	n.client.Close()
}

// partitionableStore is a store whose Get, Swap and Watch return Unavailable
// unless reachable returns true.
type partitionableStore struct {
	kv.Store
	reachable func() bool
}

// Get returns the entry of a key.
func (s *partitionableStore) Get(ctx context.Context, key string) (kv.Entry, kv.Status) {
	if !s.reachable() {
		return kv.Entry{}, kv.Unavailable
	}
	return s.Store.Get(ctx, key)
}

// Swap writes a key if its revision is expect.
func (s *partitionableStore) Swap(ctx context.Context, key string, expect uint64, b []byte) (kv.Entry, kv.Status) {
	if !s.reachable() {
		return kv.Entry{}, kv.Unavailable
	}
	return s.Store.Swap(ctx, key, expect, b)
}

// Watch waits for a revision higher than after. It returns Unavailable if the
// store became unreachable meanwhile.
func (s *partitionableStore) Watch(ctx context.Context, key string, after uint64) (kv.Entry, kv.Status) {
	if !s.reachable() {
		return kv.Entry{}, kv.Unavailable
	}
	e, st := s.Store.Watch(ctx, key, after)
	if !s.reachable() {
		return kv.Entry{}, kv.Unavailable
	}
	return e, st
}
