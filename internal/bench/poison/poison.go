// Package poison measures what a request costs that kills each searcher which
// runs it, while its caller sends it again and again through all nodes.
//
// # Usage
//
//	r, err := poison.Scenario.Run(ctx, scenario.Options{Seed: 1, Duration: 5 * time.Second})
package poison

import (
	"context"
	"fmt"
	"time"

	"egrethaven/internal/bench/arm"
	"egrethaven/internal/bench/faultinjection"
	"egrethaven/internal/bench/figure"
	"egrethaven/internal/bench/fleet"
	"egrethaven/internal/bench/sample"
	"egrethaven/internal/bench/scenario"
	"egrethaven/internal/bench/testbed"
	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/query/scatter"

	"github.com/juju/errors"
)

const (
	name  = "poison"
	nodes = 3
	// prints is the number of different poisonous requests, one after another.
	prints = 3
	// sends of each, and the wait between two.
	sends = 30
	every = 40 * time.Millisecond
	// text is what crashes a searcher.
	text = "poison"
	// lostTarget is the most searchers that one of them may take.
	lostTarget = 2
)

// Scenario is the experiment.
var Scenario = scenario.Scenario{
	Name: name,
	Help: "requests that kill each searcher running them, sent again through all nodes",
	Run:  run,
}

func run(ctx context.Context, o scenario.Options) (scenario.Report, error) {
	r := scenario.Report{Scenario: name, Seed: o.Seed}
	c := faultinjection.TestbedConfig(o)
	c.Searcher.Poison = text
	g, err := testbed.New(c)
	if err != nil {
		return r, errors.Trace(err)
	}
	defer g.Close()
	f, err := fleet.New(ctx, fleet.Config{Testbed: g, Nodes: nodes, Seed: o.Seed})
	if err != nil {
		return r, errors.Trace(err)
	}
	defer f.Close()
	as := arm.New(g)
	current := as.AddQuerier(scatter.DefaultPolicy().Name, f)
	most := 0
	send := func(i int) func() {
		return func() {
			before := crashes(g)
			for range sends {
				_ = f.Ask(ctx, poisonous(g, i))
				time.Sleep(every)
			}
			most = max(most, crashes(g)-before)
		}
	}
	var faults []faultinjection.Fault
	for i := range prints {
		faults = append(faults, faultinjection.Fault{Description: fmt.Sprintf("poisonous request %d was sent %d times", i, sends), Inject: send(i)})
	}
	e := faultinjection.Run(ctx, faultinjection.Config{Arms: as, Rate: faultinjection.ArrivalRate(o), Window: o.Duration, Seed: o.Seed, Faults: faults})
	e.FillReport(&r)
	refused := current.Samples.Filter(func(s sample.Sample) bool { return s.Answer.Outcome.Reason == outcome.Quarantined })
	r.Arms[0].Figures = append(r.Arms[0].Figures,
		figure.AtMost("searchers_lost_most", float64(most), lostTarget),
		figure.AtMost("innocents_refused", float64(refused.Len()), 0))
	if o.Baseline != "" {
		return r, errors.Trace(baseline(ctx, o, c, &r))
	}
	return r, nil
}

// poisonous is the i-th poisonous request.
func poisonous(g *testbed.Testbed, i int) ask.Query {
	q := g.NextQuery()
	q.Text = fmt.Sprintf("%s-%d", text, i)
	q.Filters = nil
	return q
}

// crashes counts the crashes of all searchers.
func crashes(g *testbed.Testbed) int {
	n := 0
	for _, s := range g.Searchers {
		n += s.Stats().Crashes
	}
	return n
}

// baseline sends one poisonous request a few times with the baseline's
// policy, on searchers of its own, for it takes most of them.
func baseline(ctx context.Context, o scenario.Options, c testbed.Config, r *scenario.Report) error {
	const few = 3
	g, err := testbed.New(c)
	if err != nil {
		return errors.Trace(err)
	}
	defer g.Close()
	as := arm.New(g)
	if err := as.AddBaseline(o, testbed.NodeConfig{}); err != nil {
		return errors.Trace(err)
	}
	if err := as.WaitReady(ctx); err != nil {
		return errors.Trace(err)
	}
	for range few {
		_ = as.Current().Querier.Ask(ctx, poisonous(g, 0))
	}
	r.Arms = append(r.Arms, scenario.Arm{Name: o.Baseline, Figures: []scenario.Figure{
		figure.Of("sends", few), figure.Of("searchers_lost_most", float64(crashes(g))),
	}})
	return nil
}
