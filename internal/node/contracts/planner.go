// Package contracts keeps this node's contracts with searchers up to date. A
// contract is a node's quota of connections and calls on one searcher.
//
// The plan is recomputed by package contract whenever the live entry VMs or searchers
// change. Each node computes its plan independently. While the views of nodes
// differ, a searcher may refuse a connection.
//
// # Usage
//
//	p := contracts.New(contracts.Config{Self: id, Nodes: members.LiveAll, Backends: d.Backends, Events: log})
//	defer p.Close()
//	plan := p.Plan()
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

// updateInterval is the interval of checks for changed nodes or searchers.
const updateInterval = 500 * time.Millisecond

// Config configures a Planner.
type Config struct {
	// Self is the ID of this VM.
	Self string
	// Nodes returns the live entry VMs, including this one.
	Nodes func() []vm.VM
	// Backends returns the searchers, sorted by ID.
	Backends func() []*backend.Backend
	Events   event.Sink
}

// Plan is a contract plan with the nodes for which it was computed.
type Plan struct {
	contract.Plan
	// Nodes maps the IDs of the live entry VMs to the VMs.
	Nodes map[string]vm.VM
}

// Planner computes and applies the plan in force. It is safe for concurrent use.
type Planner struct {
	c    Config
	plan atomic.Pointer[Plan]
	// input is the input of the last computed plan.
	input  contract.Input
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns a planner that updates the plan until Close. The initial plan has one
// group and no limits.
func New(c Config) *Planner {
	if c.Events == nil {
		c.Events = event.Discard{}
	}
	p := &Planner{c: c}
	p.plan.Store(&Plan{Plan: contract.Plan{Groups: 1}})
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.wg.Go(func() { p.run(ctx) })
	return p
}

// Plan returns the plan in force. The caller must not modify it.
func (p *Planner) Plan() *Plan { return p.plan.Load() }

// Close stops the planner and waits for its goroutine.
func (p *Planner) Close() {
	p.cancel()
	p.wg.Wait()
}

// run updates the plan periodically until ctx is done.
func (p *Planner) run(ctx context.Context) {
	t := time.NewTicker(updateInterval)
	defer t.Stop()
	for {
		p.update()
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// update computes and applies a new plan if the input has changed. It keeps the
// plan in force if this node is not among the live entry VMs.
func (p *Planner) update() {
	nodes := p.c.Nodes()
	backends := p.c.Backends()
	in := planInput(p.c.Self, nodes, backends)
	if equal(in, p.input) {
		return
	}
	p.input = in
	plan := &Plan{Plan: contract.Compute(in), Nodes: make(map[string]vm.VM, len(nodes))}
	for _, v := range nodes {
		plan.Nodes[v.ID] = v
	}
	if plan.Group < 0 {
		return
	}
	p.setLinkLimits(plan, backends)
	old := p.plan.Swap(plan)
	if old.Groups != plan.Groups || old.Group != plan.Group || len(old.Contracts) != len(plan.Contracts) {
		p.c.Events.Emit(event.ContractChanged, p.c.Self,
			fmt.Sprintf("group %d of %d, contracts with %d searchers", plan.Group, plan.Groups, len(plan.Contracts)))
	}
}

// setLinkLimits sets the maximum number of links of each backend. A backend whose
// connection limit is not known yet keeps its maximum.
func (p *Planner) setLinkLimits(plan *Plan, backends []*backend.Backend) {
	for _, b := range backends {
		if b.Status().MaxConnections > 0 {
			b.SetMaxLinks(plan.Links(b.ID()))
		}
	}
}

// planInput returns the input for the computation of the plan, sorted by ID.
func planInput(self string, nodes []vm.VM, backends []*backend.Backend) contract.Input {
	in := contract.Input{Self: self, Nodes: make([]contract.Node, len(nodes)), Searchers: make([]contract.Searcher, len(backends))}
	for i, v := range nodes {
		in.Nodes[i] = contract.Node{ID: v.ID, Domain: v.Domain}
	}
	slices.SortFunc(in.Nodes, func(a, b contract.Node) int { return strings.Compare(a.ID, b.ID) })
	for i, b := range backends {
		s := b.Status()
		in.Searchers[i] = contract.Searcher{ID: b.ID(), Domain: b.Domain(), MaxConnections: s.MaxConnections, Ranges: newestRanges(s)}
	}
	return in
}

// newestRanges returns the ranges of the newest version that a searcher holds.
func newestRanges(s searcher.Status) []keyrange.Range {
	var newest searcher.Holding
	for _, h := range s.Holdings {
		if h.Version >= newest.Version {
			newest = h
		}
	}
	return newest.Ranges
}

// equal reports whether two inputs result in the same plan.
func equal(a, b contract.Input) bool {
	return slices.Equal(a.Nodes, b.Nodes) && slices.EqualFunc(a.Searchers, b.Searchers, func(x, y contract.Searcher) bool {
		return x.ID == y.ID && x.Domain == y.Domain && x.MaxConnections == y.MaxConnections && slices.Equal(x.Ranges, y.Ranges)
	})
}
