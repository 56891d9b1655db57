// Package partition measures queries while one failure domain is cut off from
// the searchers of the others, and theirs from it. Two shards have no replica
// left in that domain, so that what it serves is partial during the cut.
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
	"egrethaven/internal/query/scatter"
	"egrethaven/internal/standin/faultproxy"
	"egrethaven/internal/world/vm"
	"egrethaven/internal/world/zone"

	"github.com/juju/errors"
)

const (
	name   = "partition"
	shards = 20
	// replicas of a shard in each domain.
	replicas = 2
	// bare is the number of shards without a replica in the domain cut off.
	bare = 2
	// cut is how long the domains lose each other.
	cut  = 4 * time.Second
	rate = 40
)

// The failure domains; lone is the one that is cut off.
const (
	main  zone.Domain = "sapporo"
	third zone.Domain = "hakodate"
	lone  zone.Domain = "asahikawa"
)

// Scenario is the experiment.
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
	c.Domains, c.Shards, c.Replicas = []zone.Domain{main, third, lone}, shards, replicas
	g, err := testbed.New(c)
	if err != nil {
		return r, errors.Trace(err)
	}
	defer g.Close()
	w, err := newWays(g.VMs())
	if err != nil {
		return r, errors.Trace(err)
	}
	defer w.close()
	as := arm.New(g)
	as.Add(scatter.DefaultPolicy(), testbed.NodeConfig{Domain: main, VMs: w.view(main)}).Name = "current_main"
	x := as.Add(scatter.DefaultPolicy(), testbed.NodeConfig{Domain: lone, VMs: w.view(lone)})
	x.Name, x.AcceptPartial = "current_cut_off", true
	if err := as.AddBaseline(o, testbed.NodeConfig{Domain: main, VMs: w.view(main)}); err != nil {
		return r, errors.Trace(err)
	}
	if err := as.WaitReady(ctx); err != nil {
		return r, errors.Trace(err)
	}
	for i := range replicas {
		for _, s := range g.Row(2*replicas + i)[:bare] {
			s.Crash(0)
		}
	}
	e := faultinjection.Run(ctx, faultinjection.Config{Arms: as, Rate: arm.Rate(o, rate), Window: o.Duration, Seed: o.Seed, Faults: []faultinjection.Fault{
		{Description: "domain cut off", Inject: w.cut},
		{Delay: cut, Description: "domain back", Inject: w.heal},
	}})
	e.FillReport(&r)
	r.Arms[0].Figures = append(r.Arms[0].Figures, figure.AtLeast("complete_share_during_asked", e.During(as.All()[0].Samples).Totals().CompleteShare(), 0.999))
	after := e.After(x.Samples)
	r.Arms[1].Figures = append(r.Arms[1].Figures,
		figure.AtLeast("complete_share_after_asked", after.Totals().CompleteShare(), 0.999),
		figure.AtMost("tail_asked", figure.Ratio(after.QuantileMS(0.99), e.Before(x.Samples).QuantileMS(0.99)), 1.25))
	return r, nil
}

// ways are the proxies between the domain cut off and the others.
type ways struct {
	vms     []vm.VM
	proxies map[string]*faultproxy.Proxy // by the searcher's id
}

func newWays(vms []vm.VM) (*ways, error) {
	w := &ways{vms: vms, proxies: map[string]*faultproxy.Proxy{}}
	for _, v := range vms {
		p, err := faultproxy.New(faultproxy.Config{Target: v.Addr})
		if err != nil {
			w.close()
			return nil, errors.Trace(err)
		}
		w.proxies[v.ID] = p
	}
	return w, nil
}

// view is the list of searchers as a domain reaches them: through proxies
// where the way leads into or out of the domain that is cut off.
func (w *ways) view(d zone.Domain) func() []vm.VM {
	var vs []vm.VM
	for _, v := range w.vms {
		if v.Domain != d && (v.Domain == lone || d == lone) {
			v.Addr = w.proxies[v.ID].Addr()
		}
		vs = append(vs, v)
	}
	return func() []vm.VM { return vs }
}

func (w *ways) cut()  { w.set(faultproxy.Blackhole) }
func (w *ways) heal() { w.set(faultproxy.Fault{}) }

func (w *ways) set(f faultproxy.Fault) {
	for _, p := range w.proxies {
		p.Set(faultproxy.All, f)
	}
}

func (w *ways) close() {
	for _, p := range w.proxies {
		p.Close()
	}
}
