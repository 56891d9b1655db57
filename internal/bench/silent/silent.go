// Package silent measures how queries fare when open connections stop
// answering for good while new ones work.
//
// # Usage
//
//	r, err := silent.Scenario.Run(ctx, scenario.Options{Seed: 1, Duration: 5 * time.Second, Baseline: "naive"})
package silent

import (
	"context"
	"time"

	"egrethaven/internal/bench/faultinjection"
	"egrethaven/internal/bench/figure"
	"egrethaven/internal/bench/scenario"
	"egrethaven/internal/bench/testbed"
)

const (
	name = "silent"
	// every is one searcher in so many whose connections go silent.
	every = 3
	// again is when the next third follows.
	again = time.Second
)

// Scenario is the experiment.
var Scenario = scenario.Scenario{
	Name: name,
	Help: "all open connections of a third of the searchers go silent, then of another third",
	Run:  run,
}

func run(ctx context.Context, o scenario.Options) (scenario.Report, error) {
	return faultinjection.RunScenario(ctx, name, o, func(g *testbed.Testbed) []faultinjection.Fault {
		return []faultinjection.Fault{
			{Description: "connections of a third silent", Inject: func() { silence(g, 0) }},
			{Delay: again, Description: "connections of another third silent", Inject: func() { silence(g, 1) }},
		}
	}, late)
}

// silence makes the open connections of a third of the searchers silent.
func silence(g *testbed.Testbed, third int) {
	for i, s := range g.Searchers {
		if i%every == third {
			s.Silence()
		}
	}
}

// late counts the requests on connections that had been silent for long.
func late(g *testbed.Testbed, a *scenario.Arm) {
	n := 0
	for _, s := range g.Searchers {
		n += s.Stats().LateSilent
	}
	a.Figures = append(a.Figures, figure.AtMost("late_requests_on_silent_connections", float64(n), 0))
}
