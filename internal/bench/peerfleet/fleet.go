// Package peerfleet runs many entry VMs without callers in one process. Each has
// its own membership, rumors and configuration; they use loopback sockets and a
// stand-in platform.
//
// # Usage
//
//	f, err := peerfleet.New(peerfleet.Config{Nodes: 200, Domains: 12, Seed: 1})
//	defer f.Close()
//	err = f.WaitConverged(ctx)
package peerfleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/infra/failuredomain"
	"egrethaven/internal/infra/vm"
	"egrethaven/internal/platform/kv"
	"egrethaven/internal/standin/platform"
)

const (
	// watchTimeout is the timeout of a watch at the stand-in platform.
	watchTimeout = 2 * time.Second
	// pollInterval is the time between two checks of the fleet's state.
	pollInterval = 200 * time.Millisecond
)

// Config describes a fleet.
type Config struct {
	Nodes, Domains int
	Seed           uint64
	// AllWatch makes every node watch the configuration in the platform's store.
	AllWatch bool
	// FullMesh replaces the membership protocol by heartbeats from every node to
	// every other node.
	FullMesh bool
}

// Fleet is a set of nodes and their stand-in platform.
type Fleet struct {
	c        Config
	platform *platform.Platform
	mu       sync.Mutex
	nodes    []*Node
	nextID   int
	vmList   atomic.Pointer[[]vm.VM]
	// cutOff is true for each failure domain that can't reach the platform's store.
	cutOff sync.Map
	// closedBytes is the traffic of the closed nodes.
	closedBytes uint64
}

// New starts a fleet.
func New(c Config) (*Fleet, error) {
	p, err := platform.New(platform.Config{Addr: "127.0.0.1:0", Seed: c.Seed})
	if err != nil {
		return nil, errors.Trace(err)
	}
	f := &Fleet{c: c, platform: p}
	f.vmList.Store(&[]vm.VM{})
	for range c.Nodes {
		if _, err := f.Add(); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// Add starts a node in the failure domain with the fewest nodes.
func (f *Fleet) Add() (*Node, error) {
	f.mu.Lock()
	i := f.nextID
	f.nextID++
	d := f.smallestDomain()
	f.mu.Unlock()
	n, err := f.start(fmt.Sprintf("e-%04d", i), d, f.newRand(i))
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes = append(f.nodes, n)
	f.updateVMList()
	return n, nil
}

func (f *Fleet) newRand(i int) *rand.Rand { return rand.New(rand.NewPCG(f.c.Seed, uint64(i))) }

// smallestDomain returns the failure domain with the fewest nodes. The caller
// holds f.mu.
func (f *Fleet) smallestDomain() failuredomain.Domain {
	count := make([]int, f.c.Domains)
	for _, n := range f.nodes {
		for d := range count {
			if n.VM.Domain == DomainName(d) {
				count[d]++
			}
		}
	}
	return DomainName(slices.Index(count, slices.Min(count)))
}

// DomainName returns the name of failure domain i, counted from 0.
func DomainName(i int) failuredomain.Domain { return failuredomain.Domain(fmt.Sprintf("d-%02d", i)) }

// updateVMList sets the platform's list of VMs. The caller holds f.mu.
func (f *Fleet) updateVMList() {
	list := make([]vm.VM, len(f.nodes))
	for i, n := range f.nodes {
		list[i] = n.VM
	}
	f.vmList.Store(&list)
}

// Remove closes nodes in parallel. If leave is set, they announce it to their
// peers first.
func (f *Fleet) Remove(ctx context.Context, leave bool, removed ...*Node) {
	f.mu.Lock()
	f.nodes = slices.DeleteFunc(f.nodes, func(n *Node) bool { return slices.Contains(removed, n) })
	f.updateVMList()
	f.mu.Unlock()
	var wg sync.WaitGroup
	for _, n := range removed {
		wg.Go(func() {
			if leave && n.Members != nil {
				n.Members.Leave(ctx)
			}
			n.close()
		})
	}
	wg.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range removed {
		f.closedBytes += n.bytes()
	}
}

// Nodes returns the running nodes.
func (f *Fleet) Nodes() []*Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.nodes)
}

// TrafficBytes returns the traffic between all nodes so far, in bytes, counted at
// both ends.
func (f *Fleet) TrafficBytes() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	sum := f.closedBytes
	for _, n := range f.nodes {
		sum += n.bytes()
	}
	return sum
}

// PlatformCalls returns the number of calls to the platform so far.
func (f *Fleet) PlatformCalls() int {
	s := f.platform.Stats()
	return s.Reads + s.Writes + s.Watches + s.Lists
}

// SetCutOff sets whether a failure domain is cut off from the platform's store.
func (f *Fleet) SetCutOff(d failuredomain.Domain, cutOff bool) { f.cutOff.Store(d, cutOff) }

// storeFor wraps the store of a node in failure domain d for SetCutOff.
func (f *Fleet) storeFor(d failuredomain.Domain, s kv.Store) kv.Store {
	return &partitionableStore{Store: s, reachable: func() bool {
		v, ok := f.cutOff.Load(d)
		return !ok || !v.(bool)
	}}
}

// CountConverged returns the number of nodes whose live members are exactly the
// running nodes.
func (f *Fleet) CountConverged() int {
	ns := f.Nodes()
	count := 0
	for _, n := range ns {
		if n.Members != nil && n.sees(ns) {
			count++
		}
	}
	return count
}

// WaitConverged waits until the live members of every node are exactly the
// running nodes. It returns an error if ctx is done first.
func (f *Fleet) WaitConverged(ctx context.Context) error {
	if f.c.FullMesh {
		return nil
	}
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for f.CountConverged() < len(f.Nodes()) {
		select {
		case <-t.C:
		case <-ctx.Done():
			return errors.Annotatef(ctx.Err(), "%d of %d nodes agree on the members", f.CountConverged(), len(f.Nodes()))
		}
	}
	return nil
}

// WaitQuiet waits until no node has membership updates to gossip or ctx is done.
func (f *Fleet) WaitQuiet(ctx context.Context) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for f.queuedUpdates() > 0 && ctx.Err() == nil {
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
}

func (f *Fleet) queuedUpdates() int {
	sum := 0
	for _, n := range f.Nodes() {
		sum += n.Members.QueuedUpdates()
	}
	return sum
}

// Close stops all nodes and the platform and waits for them.
func (f *Fleet) Close() {
	f.Remove(context.Background(), false, f.Nodes()...)
	f.platform.Close()
}
