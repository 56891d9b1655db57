// Package crash measures queries while replicas crash: one shard in ten loses
// one replica, and half of these replicas restart.
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
	// shardsPerCrash is the number of shards for each one that loses a replica.
	shardsPerCrash = 10
	// downTime is the time until a searcher restarts.
	downTime = 3 * time.Second
)

// Scenario is the crash scenario of the bench command.
var Scenario = scenario.Scenario{
	Name: name,
	Help: "one shard in ten loses a replica, half of them for good",
	Run:  run,
}

func run(ctx context.Context, o scenario.Options) (scenario.Report, error) {
	return faultinjection.RunScenario(ctx, name, o, func(t *testbed.Testbed) []faultinjection.Fault {
		return []faultinjection.Fault{{Description: "replicas killed", Inject: func() { crashReplicas(t) }}}
	}, nil)
}

// crashReplicas crashes searchers in the first row of replicas: half of them for
// good, the others for downTime.
func crashReplicas(t *testbed.Testbed) {
	for i, s := range t.ReplicaSet(0) {
		switch i % (2 * shardsPerCrash) {
		case 0:
			s.Crash(0)
		case shardsPerCrash:
			s.Crash(downTime)
		}
	}
}
