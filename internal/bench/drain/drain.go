// Package drain measures how soon draining searchers get no new work from any
// node, and what the drain costs. One node has no traffic until well after the
// others have seen the drain.
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
	// searchersPerDrain is the number of searchers of a row for each one that drains.
	searchersPerDrain = 10
	// gracePeriod is how long a draining searcher still accepts work.
	gracePeriod = time.Second
	// idleDelay is the time until the idle node gets traffic.
	idleDelay = 4 * time.Second
)

// Scenario is the drain scenario of the bench command.
var Scenario = scenario.Scenario{
	Name: name,
	Help: "one searcher in ten of a row leaves: no new work from any node after 3 s",
	Run:  run,
}

func run(ctx context.Context, o scenario.Options) (scenario.Report, error) {
	r := scenario.Report{Scenario: name, Seed: o.Seed, Notes: []string{
		"the current arm is three entry VMs; the baseline is one node without peers, which shares the searchers",
	}}
	t, err := testbed.New(faultinjection.TestbedConfig(o))
	if err != nil {
		return r, errors.Trace(err)
	}
	defer t.Close()
	f, err := fleet.New(ctx, fleet.Config{Testbed: t, Nodes: nodes, Seed: o.Seed})
	if err != nil {
		return r, errors.Trace(err)
	}
	defer f.Close()
	f.SetActive(nodes - 1)
	as := arm.New(t)
	as.AddQuerier(scatter.DefaultPolicy().Name, f)
	if err := as.AddBaseline(o, testbed.NodeConfig{}); err != nil {
		return r, errors.Trace(err)
	}
	if err := as.WaitReady(ctx); err != nil {
		return r, errors.Trace(err)
	}
	var draining []*searcher.Searcher
	for i, s := range t.ReplicaSet(0) {
		if i%searchersPerDrain == 0 {
			draining = append(draining, s)
		}
	}
	res := faultinjection.Run(ctx, faultinjection.Config{Arms: as, Rate: faultinjection.ArrivalRate(o), Window: o.Duration, Seed: o.Seed, Faults: []faultinjection.Fault{
		{Description: "searchers drain", Inject: func() {
			for _, s := range draining {
				s.Drain(gracePeriod)
			}
		}},
		{Delay: idleDelay, Description: "the idle node gets its share", Inject: func() { f.SetActive(nodes) }},
	}})
	res.FillReport(&r)
	lateWork := 0
	for _, s := range draining {
		lateWork += s.Stats().LateRequests
	}
	late := figure.AtMost("late_work", float64(lateWork), 0)
	if o.Baseline != "" {
		late = figure.Of("late_work_of_both_arms", float64(lateWork))
	}
	r.Arms[0].Figures = append(r.Arms[0].Figures, late)
	return r, nil
}
