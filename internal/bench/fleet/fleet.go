// Package fleet runs complete entry VMs in this process, with the searchers of
// a testbed and a stand-in platform. It distributes queries over them
// round-robin, like a load balancer.
//
// # Usage
//
//	f, err := fleet.New(ctx, fleet.Config{Testbed: t, Nodes: 3})
//	defer f.Close()
//	a := f.Ask(ctx, query)
package fleet

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"egrethaven/internal/bench/testbed"
	"egrethaven/internal/node/entry"
	"egrethaven/internal/query/ask"
	"egrethaven/internal/standin/platform"
	"egrethaven/internal/state/config"
	"egrethaven/internal/state/search"
	"egrethaven/internal/state/settings"

	"github.com/juju/errors"
)

const (
	// readyTimeout bounds the wait until all nodes are ready.
	readyTimeout      = 30 * time.Second
	readyPollInterval = 20 * time.Millisecond
)

// Config describes a fleet.
type Config struct {
	Testbed *testbed.Testbed
	Nodes   int
	Seed    uint64
}

// Fleet holds the running entry VMs and their platform.
type Fleet struct {
	Nodes    []*entry.Node
	platform *platform.Platform
	next     atomic.Uint64
	// active is the number of nodes that get queries; the others are idle.
	active atomic.Int64
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// settingsFormat is the settings file of a node, with its index and the
// platform's address to be filled in.
const settingsFormat = `[node]
id = e%d
failure_domain = local
[listen]
caller = 127.0.0.1:1
operator = 127.0.0.1:1
peer = 127.0.0.1:1
[platform]
addr = %s
[limits]
balancer_lag = 0s
[observe]
log_level = error
`

// New starts the nodes, applies the testbed's search definition and waits until
// all nodes can use it.
func New(ctx context.Context, c Config) (*Fleet, error) {
	p, err := platform.New(platform.Config{Addr: "127.0.0.1:0", Seed: c.Seed})
	if err != nil {
		return nil, errors.Trace(err)
	}
	runCtx, cancel := context.WithCancel(context.Background())
	f := &Fleet{platform: p, cancel: cancel}
	f.active.Store(int64(c.Nodes))
	if err := f.start(runCtx, c); err != nil {
		f.Close()
		return nil, errors.Trace(err)
	}
	readyCtx, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	if err := f.applySearch(readyCtx, c.Testbed.Definition); err != nil {
		f.Close()
		return nil, errors.Trace(err)
	}
	return f, nil
}

// start creates the nodes, lists them in the platform and runs them.
func (f *Fleet) start(ctx context.Context, c Config) error {
	vms := c.Testbed.VMs()
	for i := range c.Nodes {
		s, problems := settings.Parse("bench.ini", fmt.Appendf(nil, settingsFormat, i, f.platform.Addr()))
		if len(problems) > 0 {
			return errors.Errorf("parse node settings: %v", problems)
		}
		s.Listen = settings.Listen{Caller: "127.0.0.1:0", Operator: "127.0.0.1:0", Peer: "127.0.0.1:0"}
		n, err := entry.New(entry.Config{Settings: s, Seed: c.Seed + uint64(i) + 1})
		if err != nil {
			return errors.Trace(err)
		}
		f.Nodes = append(f.Nodes, n)
		vms = append(vms, n.VM())
	}
	f.platform.SetVMs(vms)
	for _, n := range f.Nodes {
		f.wg.Go(func() { _ = n.Run(ctx) })
	}
	return nil
}

// applySearch applies the definition and waits until every node can use it.
func (f *Fleet) applySearch(ctx context.Context, d search.Definition) error {
	r := f.Nodes[0].Apply(ctx, config.Change{ID: "bench", Author: "bench", Put: []search.Definition{d}})
	if r.Verdict != config.Accepted {
		return errors.Errorf("apply search definition: %s %v", r.Verdict, r.Problems)
	}
	for _, n := range f.Nodes {
		for n.RevisionUnreadyReason(r.Revision) != "" {
			select {
			case <-ctx.Done():
				return errors.Errorf("node %s is not ready: %s", n.VM().ID, n.RevisionUnreadyReason(r.Revision))
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

// SetActive sends queries to the first n nodes only.
func (f *Fleet) SetActive(n int) { f.active.Store(int64(n)) }

// Ask sends a query to the next active node.
func (f *Fleet) Ask(ctx context.Context, q ask.Query) ask.Answer {
	i := f.next.Add(1) % uint64(f.active.Load())
	return f.Nodes[i].Ask(ctx, q)
}

// Close stops the nodes, then the platform.
func (f *Fleet) Close() {
	f.cancel()
	f.wg.Wait()
	_ = f.platform.Close()
}
