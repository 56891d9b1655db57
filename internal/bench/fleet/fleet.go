// Package fleet runs whole entry VMs, in this process, on the searchers of a
// rig and a stand-in platform. It answers questions like a balancer before
// them: each by the next node.
//
// # Usage
//
//	f, err := fleet.New(ctx, fleet.Config{Rig: r, Nodes: 3})
//	defer f.Close()
//	a := f.Ask(ctx, question)
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
	// readyWait bounds the wait for the nodes.
	readyWait = 30 * time.Second
	readyPoll = 20 * time.Millisecond
)

// Config describes a fleet.
type Config struct {
	Testbed *testbed.Testbed
	Nodes   int
	Seed    uint64
}

// Fleet is running entry VMs.
type Fleet struct {
	Nodes    []*entry.Node
	platform *platform.Platform
	next     atomic.Uint64
	// active is how many nodes the balancer uses; the others stand by.
	active atomic.Int64
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// text is the settings of a node, before its addresses are set.
const text = `[node]
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

// New starts the nodes, applies the rig's search and waits until all answer.
func New(ctx context.Context, c Config) (*Fleet, error) {
	p, err := platform.New(platform.Config{Addr: "127.0.0.1:0", Seed: c.Seed})
	if err != nil {
		return nil, errors.Trace(err)
	}
	run, cancel := context.WithCancel(context.Background())
	f := &Fleet{platform: p, cancel: cancel}
	f.active.Store(int64(c.Nodes))
	if err := f.start(run, c); err != nil {
		f.Close()
		return nil, errors.Trace(err)
	}
	wait, stop := context.WithTimeout(ctx, readyWait)
	defer stop()
	if err := f.ready(wait, c.Testbed.Definition); err != nil {
		f.Close()
		return nil, errors.Trace(err)
	}
	return f, nil
}

// start runs the nodes.
func (f *Fleet) start(run context.Context, c Config) error {
	list := c.Testbed.VMs()
	for i := range c.Nodes {
		s, ps := settings.Parse("bench.ini", fmt.Appendf(nil, text, i, f.platform.Addr()))
		if len(ps) > 0 {
			return errors.Errorf("settings: %v", ps)
		}
		s.Listen = settings.Listen{Caller: "127.0.0.1:0", Operator: "127.0.0.1:0", Peer: "127.0.0.1:0"}
		n, err := entry.New(entry.Config{Settings: s, Seed: c.Seed + uint64(i) + 1})
		if err != nil {
			return errors.Trace(err)
		}
		f.Nodes = append(f.Nodes, n)
		list = append(list, n.VM())
	}
	f.platform.SetVMs(list)
	for _, n := range f.Nodes {
		f.wg.Go(func() { _ = n.Run(run) })
	}
	return nil
}

// ready applies the definition and waits until every node can use it.
func (f *Fleet) ready(ctx context.Context, d search.Definition) error {
	r := f.Nodes[0].Apply(ctx, config.Change{ID: "bench", Author: "bench", Put: []search.Definition{d}})
	if r.Verdict != config.Accepted {
		return errors.Errorf("apply: %s %v", r.Verdict, r.Problems)
	}
	for _, n := range f.Nodes {
		for n.Missing(r.Revision) != "" {
			select {
			case <-ctx.Done():
				return errors.Errorf("node %s: %s", n.VM().ID, n.Missing(r.Revision))
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

// SetActive has the balancer use the first n nodes only.
func (f *Fleet) SetActive(n int) { f.active.Store(int64(n)) }

// Ask lets the next node answer.
func (f *Fleet) Ask(ctx context.Context, a ask.Query) ask.Answer {
	i := f.next.Add(1) % uint64(f.active.Load())
	return f.Nodes[i].Ask(ctx, a)
}

// Close stops the nodes and the platform.
func (f *Fleet) Close() {
	f.cancel()
	f.wg.Wait()
	_ = f.platform.Close()
}
