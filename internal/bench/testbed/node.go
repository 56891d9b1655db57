package testbed

import (
	"context"
	"time"

	"egrethaven/internal/back/backend"
	"egrethaven/internal/back/directory"
	"egrethaven/internal/back/quarantine"
	"egrethaven/internal/node/source"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/scatter"
	"egrethaven/internal/state/config"
	"egrethaven/internal/world/vm"
	"egrethaven/internal/world/zone"

	"github.com/juju/errors"
)

// NodeConfig describes a node.
type NodeConfig struct {
	Policy scatter.Policy
	// Domain of the node; empty is the first of the rig.
	Domain zone.Domain
	// VMs replaces the list of searchers.
	VMs func() []vm.VM
	// MaxLinks is the connections to one searcher; 0 is maxLinks.
	MaxLinks int
	// WarmLinks is the connections kept open; 0 is warmLinks.
	WarmLinks int
	// Naive disables what the naive policy lacks below the engine.
	Naive  bool
	Guard  scatter.Guard
	Events event.Sink
}

// The connections of a node to one searcher. Two nodes at a time stay under
// the searchers' limit.
const (
	maxLinks  = 10
	warmLinks = 2
)

// Node is the query path of one entry VM.
type Node struct {
	Engine    *scatter.Engine
	Directory *directory.Directory
}

// StartNode starts a node; the rig closes it.
func (r *Testbed) StartNode(c NodeConfig) *Node {
	if c.Domain == "" {
		c.Domain = "local"
		if len(r.c.Domains) > 0 {
			c.Domain = r.c.Domains[0]
		}
	}
	if c.VMs == nil {
		list := r.VMs()
		c.VMs = func() []vm.VM { return list }
	}
	if c.MaxLinks == 0 {
		c.MaxLinks = maxLinks
	}
	if c.WarmLinks == 0 {
		c.WarmLinks = warmLinks
	}
	d := directory.New(directory.Config{
		VMs:         func() ([]vm.VM, time.Duration) { return c.VMs(), 0 },
		LocalDomain: c.Domain,
		Events:      c.Events,
		Backend:     backend.Config{MaxLinks: c.MaxLinks, WarmLinks: c.WarmLinks, DisableSilenceDetection: c.Naive, FixedLimit: c.Naive},

		DisableEjection: c.Naive,
		Seed:            r.c.Seed,
	})
	if c.Guard == nil && !c.Naive {
		c.Guard = quarantine.New(quarantine.Config{})
	}
	n := &Node{Directory: d, Engine: scatter.New(scatter.Config{
		Source:      source.New(source.Config{Map: d.ShardMap}),
		Snapshot:    func() *config.Snapshot { return r.snapshot },
		LocalDomain: c.Domain,
		Policy:      c.Policy,
		Guard:       c.Guard,
		Events:      c.Events,
		Seed:        r.c.Seed,
	})}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nodes = append(r.nodes, n)
	return n
}

// Ask answers one question.
func (n *Node) Ask(ctx context.Context, a ask.Query) ask.Answer { return n.Engine.Ask(ctx, a) }

// readyPoll is the time between two looks at a node that is not ready.
const readyPoll = 10 * time.Millisecond

// WaitReady waits until the nodes know every replica of the newest version.
func (r *Testbed) WaitReady(ctx context.Context, ns ...*Node) error {
	want := 0
	for _, s := range r.Searchers {
		for _, h := range s.Status().Holdings {
			if h.Version == r.Truth.Newest() {
				want += len(h.Ranges)
			}
		}
	}
	for _, n := range ns {
		for n.replicas(r.Truth.Newest()) < want {
			select {
			case <-ctx.Done():
				return errors.Annotate(ctx.Err(), "wait for the searchers")
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

// Shards returns the shards of a version, as the node knows them.
func (n *Node) Shards(version uint64) []directory.Shard {
	return n.Directory.ShardMap(service).Shards(version)
}

// replicas counts the replicas of all shards that a node knows.
func (n *Node) replicas(version uint64) int {
	c := 0
	for _, s := range n.Shards(version) {
		c += len(s.Replicas)
	}
	return c
}

// Close waits for the node's calls and closes its connections.
func (n *Node) Close() {
	n.Engine.Close()
	n.Directory.Close()
}
