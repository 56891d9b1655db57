// Package silent measures queries while established connections stop answering
// for good and new connections work.
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
	// groups is the number of groups of searchers; two of them go silent.
	groups = 3
	// secondDelay is the time until the second group goes silent.
	secondDelay = time.Second
)

// Scenario is the silent scenario of the bench command.
var Scenario = scenario.Scenario{
	Name: name,
	Help: "all open connections of a third of the searchers go silent, then of another third",
	Run:  run,
}

func run(ctx context.Context, o scenario.Options) (scenario.Report, error) {
	return faultinjection.RunScenario(ctx, name, o, func(t *testbed.Testbed) []faultinjection.Fault {
		return []faultinjection.Fault{
			{Description: "connections of a third silent", Inject: func() { silence(t, 0) }},
			{Delay: secondDelay, Description: "connections of another third silent", Inject: func() { silence(t, 1) }},
		}
	}, addLateRequests)
}

// silence makes the open connections of one group of searchers silent.
func silence(t *testbed.Testbed, group int) {
	for i, s := range t.Searchers {
		if i%groups == group {
			s.SilenceConnections()
		}
	}
}

// addLateRequests adds the number of requests that were sent on connections long
// after these had gone silent.
func addLateRequests(t *testbed.Testbed, a *scenario.Arm) {
	n := 0
	for _, s := range t.Searchers {
		n += s.Stats().LateSilentReads
	}
	a.Figures = append(a.Figures, figure.AtMost("late_requests_on_silent_connections", float64(n), 0))
}
