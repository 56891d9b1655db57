// Package partition measures queries while a network partition isolates one
// failure domain from the others. Two shards have no replica in that domain, so
// that its answers are partial during the partition.
//
// # Usage
//
//	r, err := partition.Scenario.Run(ctx, scenario.Options{Seed: 1, Duration: 5 * time.Second, Baseline: "naive"})
package partition

import (
	"context"
	"time"

	"egrethaven/internal/bench/arm"
	"egrethaven/internal/bench/faultinjection"
	"egrethaven/internal/bench/figure"
	"egrethaven/internal/bench/scenario"
	"egrethaven/internal/bench/testbed"
	"egrethaven/internal/infra/failuredomain"
	"egrethaven/internal/infra/vm"
	"egrethaven/internal/query/scatter"
	"egrethaven/internal/standin/faultproxy"

	"github.com/juju/errors"
)

const (
	name   = "partition"
	shards = 20
	// replicas of each shard in each domain.
	replicas = 2
	// shardsWithoutReplica is the number of shards without a replica in the
	// isolated domain.
	shardsWithoutReplica = 2
	// partitionTime is the duration of the partition.
	partitionTime = 4 * time.Second
	rate          = 40
)

// The failure domains. A partition isolates isolatedDomain from the others.
const (
	mainDomain     failuredomain.Domain = "sapporo"
	thirdDomain    failuredomain.Domain = "hakodate"
	isolatedDomain failuredomain.Domain = "asahikawa"
)

// Scenario is the partition scenario of the bench command.
var Scenario = scenario.Scenario{
	Name: name,
	Help: "one failure domain of three is cut off for 4 s; two shards have no replica in it",
	Run:  run,
}

func run(ctx context.Context, o scenario.Options) (scenario.Report, error) {
	r := scenario.Report{Scenario: name, Seed: o.Seed, Notes: []string{
		"callers in the domain cut off accept partial answers; those of the main domain don't",
	}}
	c := faultinjection.TestbedConfig(o)
	c.Domains, c.Shards, c.Replicas = []failuredomain.Domain{mainDomain, thirdDomain, isolatedDomain}, shards, replicas
	t, err := testbed.New(c)
	if err != nil {
		return r, errors.Trace(err)
	}
	defer t.Close()
	proxies, err := newProxySet(t.VMs())
	if err != nil {
		return r, errors.Trace(err)
	}
	defer proxies.close()
	as := arm.New(t)
	as.Add(scatter.DefaultPolicy(), testbed.NodeConfig{Domain: mainDomain, VMs: proxies.searchersFrom(mainDomain)}).Name = "current_main"
	isolated := as.Add(scatter.DefaultPolicy(), testbed.NodeConfig{Domain: isolatedDomain, VMs: proxies.searchersFrom(isolatedDomain)})
	isolated.Name, isolated.AcceptPartial = "current_cut_off", true
	if err := as.AddBaseline(o, testbed.NodeConfig{Domain: mainDomain, VMs: proxies.searchersFrom(mainDomain)}); err != nil {
		return r, errors.Trace(err)
	}
	if err := as.WaitReady(ctx); err != nil {
		return r, errors.Trace(err)
	}
	for i := range replicas {
		for _, s := range t.ReplicaSet(2*replicas + i)[:shardsWithoutReplica] {
			s.Crash(0)
		}
	}
	res := faultinjection.Run(ctx, faultinjection.Config{Arms: as, Rate: arm.Rate(o, rate), Window: o.Duration, Seed: o.Seed, Faults: []faultinjection.Fault{
		{Description: "domain cut off", Inject: proxies.partition},
		{Delay: partitionTime, Description: "domain back", Inject: proxies.heal},
	}})
	res.FillReport(&r)
	r.Arms[0].Figures = append(r.Arms[0].Figures, figure.AtLeast("complete_share_during_asked", res.During(as.All()[0].Samples).Totals().CompleteShare(), 0.999))
	after := res.After(isolated.Samples)
	r.Arms[1].Figures = append(r.Arms[1].Figures,
		figure.AtLeast("complete_share_after_asked", after.Totals().CompleteShare(), 0.999),
		figure.AtMost("tail_asked", figure.Ratio(after.QuantileMS(0.99), res.Before(isolated.Samples).QuantileMS(0.99)), 1.25))
	return r, nil
}

// proxySet holds a proxy for each searcher, for the connections between the
// isolated domain and the others.
type proxySet struct {
	vms     []vm.VM
	proxies map[string]*faultproxy.Proxy // by searcher ID
}

func newProxySet(vms []vm.VM) (*proxySet, error) {
	p := &proxySet{vms: vms, proxies: map[string]*faultproxy.Proxy{}}
	for _, v := range vms {
		proxy, err := faultproxy.New(faultproxy.Config{Target: v.Addr})
		if err != nil {
			p.close()
			return nil, errors.Trace(err)
		}
		p.proxies[v.ID] = proxy
	}
	return p, nil
}

// searchersFrom returns the searchers with the addresses at which domain d
// reaches them: that of a proxy if the connection enters or leaves the isolated
// domain.
func (p *proxySet) searchersFrom(d failuredomain.Domain) func() []vm.VM {
	var vs []vm.VM
	for _, v := range p.vms {
		if v.Domain != d && (v.Domain == isolatedDomain || d == isolatedDomain) {
			v.Addr = p.proxies[v.ID].Addr()
		}
		vs = append(vs, v)
	}
	return func() []vm.VM { return vs }
}

func (p *proxySet) partition() { p.setFault(faultproxy.Blackhole) }
func (p *proxySet) heal()      { p.setFault(faultproxy.Fault{}) }

func (p *proxySet) setFault(f faultproxy.Fault) {
	for _, proxy := range p.proxies {
		proxy.SetFault(faultproxy.ScopeAll, f)
	}
}

func (p *proxySet) close() {
	for _, proxy := range p.proxies {
		proxy.Close()
	}
}
