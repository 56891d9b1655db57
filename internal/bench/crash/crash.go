// Package crash measures how queries fare when replicas are killed: of one
// shard in ten one replica dies, and half of these come back.
//
// # Usage
//
//	r, err := crash.Scenario.Run(ctx, scenario.Options{Seed: 1, Duration: 5 * time.Second, Baseline: "naive"})
package crash

import (
	"context"
	"time"

	"egrethaven/internal/bench/faultinjection"
	"egrethaven/internal/bench/scenario"
	"egrethaven/internal/bench/testbed"
)

const (
	name = "crash"
	// killEvery is one shard in so many that loses a replica.
	killEvery = 10
	// down is how long a searcher that returns is gone.
	down = 3 * time.Second
)

// Scenario is the experiment.
var Scenario = scenario.Scenario{
	Name: name,
	Help: "one shard in ten loses a replica, half of them for good",
	Run:  run,
}

func run(ctx context.Context, o scenario.Options) (scenario.Report, error) {
	return faultinjection.RunScenario(ctx, name, o, func(g *testbed.Testbed) []faultinjection.Fault {
		return []faultinjection.Fault{{Description: "replicas killed", Inject: func() { kill(g) }}}
	}, nil)
}

// kill crashes searchers of the first row of replicas.
func kill(g *testbed.Testbed) {
	for i, s := range g.Row(0) {
		switch i % (2 * killEvery) {
		case 0:
			s.Crash(0)
		case killEvery:
			s.Crash(down)
		}
	}
}
