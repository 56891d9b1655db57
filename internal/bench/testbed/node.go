package testbed

import (
	"context"
	"time"

	"egrethaven/internal/back/backend"
	"egrethaven/internal/back/directory"
	"egrethaven/internal/back/quarantine"
	"egrethaven/internal/infra/failuredomain"
	"egrethaven/internal/infra/vm"
	"egrethaven/internal/node/indexsource"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/scatter"
	"egrethaven/internal/state/config"

	"github.com/juju/errors"
)

// NodeConfig describes a node.
type NodeConfig struct {
	Policy scatter.Policy
	// Domain of the node; empty means the first domain of the testbed.
	Domain failuredomain.Domain
	// VMs returns the searchers; nil means all of the testbed.
	VMs func() []vm.VM
	// MaxLinks is the limit of connections to one searcher; 0 means
	// defaultMaxLinks.
	MaxLinks int
	// WarmLinks is the number of connections to keep open to each searcher; 0
	// means defaultWarmLinks.
	WarmLinks int
	// Naive disables the features below the engine that the naive policy does
	// without: silence detection, adaptive limits, ejection and quarantine.
	Naive  bool
	Guard  scatter.Guard
	Events event.Sink
}

// The default connections of a node to one searcher. Two nodes at a time stay
// below the searchers' limit.
const (
	defaultMaxLinks  = 10
	defaultWarmLinks = 2
)

// Node is the query path of one entry VM.
type Node struct {
	Engine    *scatter.Engine
	Directory *directory.Directory
}

// StartNode starts a node, which Testbed.Close closes.
func (t *Testbed) StartNode(c NodeConfig) *Node {
	if c.Domain == "" {
		c.Domain = "local"
		if len(t.c.Domains) > 0 {
			c.Domain = t.c.Domains[0]
		}
	}
	if c.VMs == nil {
		list := t.VMs()
		c.VMs = func() []vm.VM { return list }
	}
	if c.MaxLinks == 0 {
		c.MaxLinks = defaultMaxLinks
	}
	if c.WarmLinks == 0 {
		c.WarmLinks = defaultWarmLinks
	}
	d := directory.New(directory.Config{
		VMs:         func() ([]vm.VM, time.Duration) { return c.VMs(), 0 },
		LocalDomain: c.Domain,
		Events:      c.Events,
		Backend:     backend.Config{MaxLinks: c.MaxLinks, WarmLinks: c.WarmLinks, DisableSilenceDetection: c.Naive, FixedLimit: c.Naive},

		DisableEjection: c.Naive,
		Seed:            t.c.Seed,
	})
	if c.Guard == nil && !c.Naive {
		c.Guard = quarantine.New(quarantine.Config{})
	}
	n := &Node{Directory: d, Engine: scatter.New(scatter.Config{
		Source:      indexsource.New(indexsource.Config{ShardMap: d.ShardMap}),
		Snapshot:    func() *config.Snapshot { return t.snapshot },
		LocalDomain: c.Domain,
		Policy:      c.Policy,
		Guard:       c.Guard,
		Events:      c.Events,
		Seed:        t.c.Seed,
	})}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nodes = append(t.nodes, n)
	return n
}

// Ask answers one query.
func (n *Node) Ask(ctx context.Context, q ask.Query) ask.Answer { return n.Engine.Ask(ctx, q) }

// readyPollInterval is how often WaitReady checks a node that is not ready.
const readyPollInterval = 10 * time.Millisecond

// WaitReady waits until the nodes know every replica of the newest version. It
// returns an error if ctx ends first.
func (t *Testbed) WaitReady(ctx context.Context, nodes ...*Node) error {
	wantReplicas := 0
	for _, s := range t.Searchers {
		for _, h := range s.Status().Holdings {
			if h.Version == t.Truth.NewestVersion() {
				wantReplicas += len(h.Ranges)
			}
		}
	}
	for _, n := range nodes {
		for n.replicaCount(t.Truth.NewestVersion()) < wantReplicas {
			select {
			case <-ctx.Done():
				return errors.Annotate(ctx.Err(), "wait until the node knows all searchers")
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

// Shards returns the shards of a version that the node knows.
func (n *Node) Shards(version uint64) []directory.Shard {
	return n.Directory.ShardMap(serviceName).Shards(version)
}

// replicaCount counts the replicas of a version that the node knows.
func (n *Node) replicaCount(version uint64) int {
	count := 0
	for _, s := range n.Shards(version) {
		count += len(s.Replicas)
	}
	return count
}

// Close waits for the node's calls and closes its connections.
func (n *Node) Close() {
	n.Engine.Close()
	n.Directory.Close()
}
