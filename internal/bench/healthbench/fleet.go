package healthbench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"egrethaven/internal/bench/scenario"
	"egrethaven/internal/infra/failuredomain"
	"egrethaven/internal/infra/vm"
	"egrethaven/internal/node/entry"
	"egrethaven/internal/standin/dataset"
	"egrethaven/internal/standin/deployment"
	"egrethaven/internal/standin/platform"
	"egrethaven/internal/standin/searcher"
	"egrethaven/internal/state/config"
	"egrethaven/internal/state/problem"
	"egrethaven/internal/state/search"
	"egrethaven/internal/state/settings"
)

const (
	searchersPerDomain = 3
	// shardCount gives each searcher two shards.
	shardCount  = 2 * searchersPerDomain
	recordCount = 300
	// wordCount is the number of different words.
	wordCount = 10
	// slots is the concurrency of a searcher.
	slots          = 4
	maxConnections = 100
	// service is the name of the searchers' service and of the search.
	service = "bench"
)

var domains = []failuredomain.Domain{"d1", "d2", "d3"}

// fleet is a set of entry nodes and searchers with a stand-in platform.
type fleet struct {
	seed           uint64
	platform       *platform.Platform
	searchers      *deployment.Deployment
	nodes          []*entryVM
	nodesStarted   int
	nodesPerDomain int
	reports        int
}

type entryVM struct {
	node   *entry.Node
	domain failuredomain.Domain
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// stop stops the node and waits.
func (e *entryVM) stop() {
	e.cancel()
	e.done.Wait()
}

// newFleet starts a fleet and applies the definition of the search.
func newFleet(ctx context.Context, o scenario.Options) (*fleet, error) {
	f := &fleet{seed: o.Seed, nodesPerDomain: max(1, o.Nodes/len(domains))}
	var err error
	if f.platform, err = platform.New(platform.Config{Seed: o.Seed}); err != nil {
		return f, errors.Trace(err)
	}
	f.searchers, err = deployment.New(deployment.Config{
		Service: service, Domains: domains, Shards: shardCount, Replicas: 1, ShardsPerSearcher: shardCount / searchersPerDomain,
		Records: dataset.Synthetic(recordCount, wordCount), Seed: o.Seed,
		Searcher: searcher.Config{Slots: slots, MaxConnections: maxConnections, ServiceTime: searcher.ServiceTime{Median: time.Millisecond, Sigma: 0.3}},
	})
	if err != nil {
		f.close()
		return f, errors.Trace(err)
	}
	for _, d := range domains {
		if err := f.addNodes(d); err != nil {
			f.close()
			return f, errors.Trace(err)
		}
	}
	return f, errors.Trace(f.apply(ctx))
}

// nodeSettings is the settings file of a node, whose addresses addNodes replaces by
// free ports.
const nodeSettings = `
[node]
id = n%d
failure_domain = %s
[listen]
caller = 127.0.0.1:1
operator = 127.0.0.1:1
peer = 127.0.0.1:1
[platform]
addr = %s
[limits]
balancer_lag = 0s
`

// addNodes starts the nodes of a failure domain.
func (f *fleet) addNodes(d failuredomain.Domain) error {
	const anyPort = "127.0.0.1:0"
	for range f.nodesPerDomain {
		f.nodesStarted++
		s, ps := settings.Parse("bench.ini", fmt.Appendf(nil, nodeSettings, f.nodesStarted, d, f.platform.Addr()))
		if len(ps) > 0 {
			return errors.Errorf("invalid node settings: %v", problem.Strings(ps))
		}
		s.Listen = settings.Listen{Caller: anyPort, Operator: anyPort, Peer: anyPort}
		n, err := entry.New(entry.Config{Settings: s, Seed: f.seed + uint64(f.nodesStarted), Version: "bench"})
		if err != nil {
			return errors.Trace(err)
		}
		e := &entryVM{node: n, domain: d}
		f.nodes = append(f.nodes, e)
		ctx, cancel := context.WithCancel(context.Background())
		e.cancel = cancel
		e.done.Go(func() { _ = n.Run(ctx) })
	}
	f.updateVMList()
	return nil
}

// updateVMList sets the platform's list of VMs.
func (f *fleet) updateVMList() {
	var vs []vm.VM
	vs = append(vs, f.searchers.VMs()...)
	for _, e := range f.nodes {
		vs = append(vs, e.node.VM())
	}
	f.platform.SetVMs(vs)
}

// apply adds the search to the configuration.
func (f *fleet) apply(ctx context.Context) error {
	d := search.Definition{Name: service, Service: service, SchemaVersions: []int{2}, Reconcile: search.ReconcileNewestRevision,
		Prefer: search.PreferCoverage, Deadline: time.Second, ExtraLoad: 0.02, MaxLimit: 20}
	r := f.nodes[0].node.Apply(ctx, config.Change{ID: uuid.NewString(), Author: "bench", Put: []search.Definition{d}})
	if r.Verdict != config.Accepted {
		f.close()
		return errors.Errorf("change to add the search was not accepted: %s %v", r.Verdict, r.Problems)
	}
	return nil
}

// stopDomain stops the nodes of the last failure domain, but keeps them in the
// platform's list of VMs.
func (f *fleet) stopDomain() error {
	d := domains[len(domains)-1]
	var remaining []*entryVM
	for _, e := range f.nodes {
		if e.domain != d {
			remaining = append(remaining, e)
			continue
		}
		e.stop()
	}
	f.nodes = remaining
	return nil
}

// restoreDomain starts new nodes in the last failure domain.
func (f *fleet) restoreDomain() error {
	return f.addNodes(domains[len(domains)-1])
}

// close stops the nodes, the searchers and the platform.
func (f *fleet) close() {
	for _, e := range f.nodes {
		e.stop()
	}
	if f.searchers != nil {
		f.searchers.Close()
	}
	_ = f.platform.Close()
}
