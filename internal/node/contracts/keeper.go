// Package contracts keeps this node's contracts with searchers up to date.
//
// The plan is worked out anew, by package contract, whenever the live entry
// VMs or the searchers change. Each node works it out alone from what it
// knows; while the views of nodes differ, a searcher may refuse a connection.
//
// # Usage
//
//	k := contracts.New(contracts.Config{Self: id, Nodes: members.LiveAll, Backends: d.Backends, Events: log})
//	defer k.Close()
//	p := k.Plan()
package contracts

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"egrethaven/internal/back/backend"
	"egrethaven/internal/back/contract"
	"egrethaven/internal/back/searcher"
	"egrethaven/internal/infra/vm"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/query/keyrange"
)

// interval is the time between two looks at nodes and searchers.
const interval = 500 * time.Millisecond

// Config describes a Keeper.
type Config struct {
	// Self is the id of this VM.
	Self string
	// Nodes returns the live entry VMs, this one included.
	Nodes func() []vm.VM
	// Backends returns the searchers in the order of their ids.
	Backends func() []*backend.Backend
	Events   event.Sink
}

// Plan is the contracts in force, with the nodes that they rest on.
type Plan struct {
	contract.Plan
	// Nodes are the live entry VMs by id.
	Nodes map[string]vm.VM
}

// Keeper holds the plan in force. It is safe for concurrent use.
type Keeper struct {
	c    Config
	plan atomic.Pointer[Plan]
	last contract.Input
	stop context.CancelFunc
	wg   sync.WaitGroup
}

// New returns a keeper that follows nodes and searchers until Close. Its
// first plan has one group and no limits.
func New(c Config) *Keeper {
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	k := &Keeper{c: c}
	k.plan.Store(&Plan{Plan: contract.Plan{Groups: 1}})
	ctx, cancel := context.WithCancel(context.Background())
	k.stop = cancel
	k.wg.Go(func() { k.run(ctx) })
	return k
}

// Plan returns the plan in force. It must not be changed.
func (k *Keeper) Plan() *Plan { return k.plan.Load() }

// Close stops the keeper and waits for its goroutine.
func (k *Keeper) Close() {
	k.stop()
	k.wg.Wait()
}

// run looks at nodes and searchers until ctx ends.
func (k *Keeper) run(ctx context.Context) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		k.look()
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// look works out a new plan if its inputs have changed.
func (k *Keeper) look() {
	nodes := k.c.Nodes()
	bs := k.c.Backends()
	in := input(k.c.Self, nodes, bs)
	if equal(in, k.last) {
		return
	}
	k.last = in
	p := &Plan{Plan: contract.Compute(in), Nodes: make(map[string]vm.VM, len(nodes))}
	for _, v := range nodes {
		p.Nodes[v.ID] = v
	}
	if p.Group < 0 {
		return
	}
	k.enforce(p, bs)
	old := k.plan.Swap(p)
	if old.Groups != p.Groups || old.Group != p.Group || len(old.Contracts) != len(p.Contracts) {
		k.c.Events.Emit(event.ContractChanged, k.c.Self,
			fmt.Sprintf("group %d of %d, contracts with %d searchers", p.Group, p.Groups, len(p.Contracts)))
	}
}

// enforce sets how many links each backend may use. A searcher whose limit
// is not known yet keeps what it has.
func (k *Keeper) enforce(p *Plan, bs []*backend.Backend) {
	for _, b := range bs {
		if b.Status().MaxConnections > 0 {
			b.SetMaxLinks(p.Links(b.ID()))
		}
	}
}

// input is what the plan rests on.
func input(self string, nodes []vm.VM, bs []*backend.Backend) contract.Input {
	in := contract.Input{Self: self, Nodes: make([]contract.Node, len(nodes)), Searchers: make([]contract.Searcher, len(bs))}
	for i, v := range nodes {
		in.Nodes[i] = contract.Node{ID: v.ID, Domain: v.Domain}
	}
	slices.SortFunc(in.Nodes, func(a, b contract.Node) int { return strings.Compare(a.ID, b.ID) })
	for i, b := range bs {
		s := b.Status()
		in.Searchers[i] = contract.Searcher{ID: b.ID(), Domain: b.Domain(), MaxConnections: s.MaxConnections, Ranges: newest(s)}
	}
	return in
}

// newest returns the ranges of the newest version that a searcher holds.
func newest(s searcher.Status) []keyrange.Range {
	var h searcher.Holding
	for _, v := range s.Holdings {
		if v.Version >= h.Version {
			h = v
		}
	}
	return h.Ranges
}

// equal tells whether two inputs lead to the same plan.
func equal(a, b contract.Input) bool {
	return slices.Equal(a.Nodes, b.Nodes) && slices.EqualFunc(a.Searchers, b.Searchers, func(x, y contract.Searcher) bool {
		return x.ID == y.ID && x.Domain == y.Domain && x.MaxConnections == y.MaxConnections && slices.Equal(x.Ranges, y.Ranges)
	})
}
