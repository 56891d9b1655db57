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
	// searchersEach is how many searchers each failure domain has.
	searchersEach = 3
	// shards of the index; a searcher holds two.
	shards = 2 * searchersEach
	// records in the index.
	records = 300
	// words that the records are made of.
	words = 10
	// slots and connections of a searcher.
	slots       = 4
	connections = 100
	// service is the searchers' service, and the name of the search.
	service = "bench"
)

// domains are the failure domains.
var domains = []failuredomain.Domain{"d1", "d2", "d3"}

// fleet is what the scenario runs on.
type fleet struct {
	seed      uint64
	platform  *platform.Platform
	searchers *deployment.Deployment
	nodes     []*member
	started   int
	// each is the number of nodes of a failure domain.
	each int
	// reports counts the reports that were read.
	reports int
}

// member is one running entry VM.
type member struct {
	node   *entry.Node
	domain failuredomain.Domain
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// stop ends a node.
func (m *member) stop() {
	m.cancel()
	m.done.Wait()
}

// newFleet starts everything and puts the search in force.
func newFleet(ctx context.Context, o scenario.Options) (*fleet, error) {
	f := &fleet{seed: o.Seed, each: max(1, o.Nodes/len(domains))}
	var err error
	if f.platform, err = platform.New(platform.Config{Seed: o.Seed}); err != nil {
		return f, errors.Trace(err)
	}
	f.searchers, err = deployment.New(deployment.Config{
		Service: service, Domains: domains, Shards: shards, Replicas: 1, ShardsEach: shards / searchersEach,
		Records: dataset.Synthetic(records, words), Seed: o.Seed,
		Searcher: searcher.Config{Slots: slots, MaxConnections: connections, Time: searcher.Time{Median: time.Millisecond, Sigma: 0.3}},
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

// nodeSettings are those of a node; the addresses are replaced by free ports.
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

// addNodes starts the nodes of a failure domain and lists them.
func (f *fleet) addNodes(d failuredomain.Domain) error {
	const anyPort = "127.0.0.1:0"
	for range f.each {
		f.started++
		s, ps := settings.Parse("bench.ini", fmt.Appendf(nil, nodeSettings, f.started, d, f.platform.Addr()))
		if len(ps) > 0 {
			return errors.Errorf("%v", problem.Strings(ps))
		}
		s.Listen = settings.Listen{Caller: anyPort, Operator: anyPort, Peer: anyPort}
		n, err := entry.New(entry.Config{Settings: s, Seed: f.seed + uint64(f.started), Version: "bench"})
		if err != nil {
			return errors.Trace(err)
		}
		m := &member{node: n, domain: d}
		f.nodes = append(f.nodes, m)
		ctx, cancel := context.WithCancel(context.Background())
		m.cancel = cancel
		m.done.Go(func() { _ = n.Run(ctx) })
	}
	f.list()
	return nil
}

// list tells the platform which VMs exist.
func (f *fleet) list() {
	var vs []vm.VM
	vs = append(vs, f.searchers.VMs()...)
	for _, m := range f.nodes {
		vs = append(vs, m.node.VM())
	}
	f.platform.SetVMs(vs)
}

// apply puts the search in force.
func (f *fleet) apply(ctx context.Context) error {
	d := search.Definition{Name: service, Service: service, SchemaVersions: []int{2}, Reconcile: search.ReconcileNewestRevision,
		Prefer: search.PreferCoverage, Deadline: time.Second, ExtraLoad: 0.02, MaxLimit: 20}
	r := f.nodes[0].node.Apply(ctx, config.Change{ID: uuid.NewString(), Author: "bench", Put: []search.Definition{d}})
	if r.Verdict != config.Accepted {
		f.close()
		return errors.Errorf("the search was not accepted: %s %v", r.Verdict, r.Problems)
	}
	return nil
}

// loseDomain stops the nodes of the last failure domain; the platform's list
// still has them.
func (f *fleet) loseDomain() error {
	d := domains[len(domains)-1]
	var left []*member
	for _, m := range f.nodes {
		if m.domain != d {
			left = append(left, m)
			continue
		}
		m.stop()
	}
	f.nodes = left
	return nil
}

// returnDomain starts new nodes in the last failure domain.
func (f *fleet) returnDomain() error {
	return f.addNodes(domains[len(domains)-1])
}

// close stops everything.
func (f *fleet) close() {
	for _, m := range f.nodes {
		m.stop()
	}
	if f.searchers != nil {
		f.searchers.Close()
	}
	_ = f.platform.Close()
}
