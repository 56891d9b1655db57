// Package drain measures how soon searchers that are leaving get no new work
// from any node, and what that costs. One node has no traffic of its own
// until the others have long seen the drain.
//
// # Usage
//
//	r, err := drain.Scenario.Run(ctx, scenario.Options{Seed: 1, Duration: 5 * time.Second, Baseline: "naive"})
package drain

import (
	"context"
	"time"

	"egrethaven/internal/bench/arm"
	"egrethaven/internal/bench/faultinjection"
	"egrethaven/internal/bench/figure"
	"egrethaven/internal/bench/fleet"
	"egrethaven/internal/bench/scenario"
	"egrethaven/internal/bench/testbed"
	"egrethaven/internal/query/scatter"
	"egrethaven/internal/standin/searcher"

	"github.com/juju/errors"
)

const (
	name  = "drain"
	nodes = 3
	// every is one searcher in so many of a row that leaves.
	every = 10
	// grace is how long a leaving searcher still takes work.
	grace = time.Second
	// late is when the node without traffic gets its share.
	late = 4 * time.Second
)

// Scenario is the experiment.
var Scenario = scenario.Scenario{
	Name: name,
	Help: "one searcher in ten of a row leaves: no new work from any node after 3 s",
	Run:  run,
}

func run(ctx context.Context, o scenario.Options) (scenario.Report, error) {
	r := scenario.Report{Scenario: name, Seed: o.Seed, Notes: []string{
		"the current arm is three entry VMs; the baseline is one node without peers, which shares the searchers",
	}}
	g, err := testbed.New(faultinjection.TestbedConfig(o))
	if err != nil {
		return r, errors.Trace(err)
	}
	defer g.Close()
	f, err := fleet.New(ctx, fleet.Config{Testbed: g, Nodes: nodes, Seed: o.Seed})
	if err != nil {
		return r, errors.Trace(err)
	}
	defer f.Close()
	f.SetActive(nodes - 1)
	as := arm.New(g)
	as.AddQuerier(scatter.DefaultPolicy().Name, f)
	if err := as.AddBaseline(o, testbed.NodeConfig{}); err != nil {
		return r, errors.Trace(err)
	}
	if err := as.WaitReady(ctx); err != nil {
		return r, errors.Trace(err)
	}
	var leaving []*searcher.Searcher
	for i, s := range g.Row(0) {
		if i%every == 0 {
			leaving = append(leaving, s)
		}
	}
	e := faultinjection.Run(ctx, faultinjection.Config{Arms: as, Rate: faultinjection.ArrivalRate(o), Window: o.Duration, Seed: o.Seed, Faults: []faultinjection.Fault{
		{Description: "searchers drain", Inject: func() {
			for _, s := range leaving {
				s.Drain(grace)
			}
		}},
		{Delay: late, Description: "the idle node gets its share", Inject: func() { f.SetActive(nodes) }},
	}})
	e.FillReport(&r)
	n := 0
	for _, s := range leaving {
		n += s.Stats().LateWork
	}
	work := figure.AtMost("late_work", float64(n), 0)
	if o.Baseline != "" {
		work = figure.Of("late_work_of_both_arms", float64(n))
	}
	r.Arms[0].Figures = append(r.Arms[0].Figures, work)
	return r, nil
}
