// Package peerfleet runs many entry VMs without callers in one process: the
// membership, the rumors and the configuration of each over real sockets on
// loopback, against the stand-in platform.
//
// # Usage
//
//	f, err := peerfleet.New(peerfleet.Config{Nodes: 200, Domains: 12, Seed: 1})
//	defer f.Close()
//	err = f.Settle(ctx)
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
	// watchWait is how long a watch waits at the stand-in.
	watchWait = 2 * time.Second
	// settlePoll is how often Settle looks.
	settlePoll = 200 * time.Millisecond
)

// Config describes a fleet.
type Config struct {
	Nodes, Domains int
	Seed           uint64
	// Everyone has every node hold the watch on the configuration.
	Everyone bool
	// Mesh replaces the membership by heartbeats from everyone to everyone.
	Mesh bool
}

// Fleet is the nodes and their platform.
type Fleet struct {
	c        Config
	platform *platform.Platform
	mu       sync.Mutex
	nodes    []*Node
	next     int
	list     atomic.Pointer[[]vm.VM]
	dark     sync.Map
	// gone is the traffic of the nodes that were closed, in bytes.
	gone uint64
}

// New starts a fleet.
func New(c Config) (*Fleet, error) {
	p, err := platform.New(platform.Config{Addr: "127.0.0.1:0", Seed: c.Seed})
	if err != nil {
		return nil, errors.Trace(err)
	}
	f := &Fleet{c: c, platform: p}
	f.list.Store(&[]vm.VM{})
	for range c.Nodes {
		if _, err := f.Add(); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// Add starts one more node, in the failure domain that has the fewest.
func (f *Fleet) Add() (*Node, error) {
	f.mu.Lock()
	i := f.next
	f.next++
	d := f.smallest()
	f.mu.Unlock()
	n, err := f.start(fmt.Sprintf("e-%04d", i), d, f.random(i))
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes = append(f.nodes, n)
	f.relist()
	return n, nil
}

func (f *Fleet) random(i int) *rand.Rand { return rand.New(rand.NewPCG(f.c.Seed, uint64(i))) }

// smallest returns the failure domain with the fewest nodes.
func (f *Fleet) smallest() failuredomain.Domain {
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

// DomainName names a failure domain by its number.
func DomainName(i int) failuredomain.Domain { return failuredomain.Domain(fmt.Sprintf("d-%02d", i)) }

// relist makes the platform's list of VMs.
func (f *Fleet) relist() {
	list := make([]vm.VM, len(f.nodes))
	for i, n := range f.nodes {
		list[i] = n.VM
	}
	f.list.Store(&list)
}

// Remove takes nodes away at once; with leave they tell their peers first.
func (f *Fleet) Remove(ctx context.Context, leave bool, gone ...*Node) {
	f.mu.Lock()
	f.nodes = slices.DeleteFunc(f.nodes, func(n *Node) bool { return slices.Contains(gone, n) })
	f.relist()
	f.mu.Unlock()
	var wg sync.WaitGroup
	for _, n := range gone {
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
	for _, n := range gone {
		f.gone += n.bytes()
	}
}

// Nodes returns the nodes that run.
func (f *Fleet) Nodes() []*Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.nodes)
}

// Bytes is the traffic between all nodes so far, counted at both ends.
func (f *Fleet) Bytes() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	sum := f.gone
	for _, n := range f.nodes {
		sum += n.bytes()
	}
	return sum
}

// Calls is the number of calls to the platform's service so far.
func (f *Fleet) Calls() int {
	s := f.platform.Stats()
	return s.Reads + s.Writes + s.Watches + s.Lists
}

// SetDark sets whether a failure domain is cut off from the platform.
func (f *Fleet) SetDark(d failuredomain.Domain, dark bool) { f.dark.Store(d, dark) }

// gate is the platform's service as one node reaches it.
func (f *Fleet) gate(d failuredomain.Domain, s kv.Store) kv.Store {
	return &gate{Store: s, open: func() bool {
		v, ok := f.dark.Load(d)
		return !ok || !v.(bool)
	}}
}

// Agreed is the number of nodes that know exactly the nodes that run.
func (f *Fleet) Agreed() int {
	ns := f.Nodes()
	agreed := 0
	for _, n := range ns {
		if n.Members != nil && n.knows(ns) {
			agreed++
		}
	}
	return agreed
}

// Settle waits until every node knows exactly the nodes that run.
func (f *Fleet) Settle(ctx context.Context) error {
	if f.c.Mesh {
		return nil
	}
	t := time.NewTicker(settlePoll)
	defer t.Stop()
	for f.Agreed() < len(f.Nodes()) {
		select {
		case <-t.C:
		case <-ctx.Done():
			return errors.Annotatef(ctx.Err(), "%d of %d nodes agree", f.Agreed(), len(f.Nodes()))
		}
	}
	return nil
}

// Calm waits until no node has news of members to hand out, or ctx ends.
func (f *Fleet) Calm(ctx context.Context) {
	t := time.NewTicker(settlePoll)
	defer t.Stop()
	for f.queued() > 0 && ctx.Err() == nil {
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
}

func (f *Fleet) queued() int {
	sum := 0
	for _, n := range f.Nodes() {
		sum += n.Members.QueuedUpdates()
	}
	return sum
}

// Close stops all and waits.
func (f *Fleet) Close() {
	f.Remove(context.Background(), false, f.Nodes()...)
	f.platform.Close()
}
