// Package repartition measures queries while a new version of the index is
// published every second, with shards split, merged and moved.
//
// # Usage
//
//	r, err := repartition.Scenario.Run(ctx, scenario.Options{Seed: 1, Duration: 10 * time.Second, Baseline: "naive"})
package repartition

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"egrethaven/internal/bench/arm"
	"egrethaven/internal/bench/faultinjection"
	"egrethaven/internal/bench/figure"
	"egrethaven/internal/bench/interleave"
	"egrethaven/internal/bench/scenario"
	"egrethaven/internal/bench/testbed"
	"egrethaven/internal/standin/deployment"

	"github.com/juju/errors"
)

const (
	name = "repartition"
	// publishInterval is the time between two versions.
	publishInterval = time.Second
	// rolloutStep is the delay between two searchers that receive a version.
	rolloutStep = 2 * time.Millisecond
	// minCompleteShare is the target for the fraction of complete answers.
	minCompleteShare = 0.99
)

// Scenario is the repartition scenario of the bench command.
var Scenario = scenario.Scenario{
	Name: name,
	Help: "each second a new version of the index with shards split, merged and moved",
	Run:  run,
}

func run(ctx context.Context, o scenario.Options) (scenario.Report, error) {
	r := scenario.Report{Scenario: name, Seed: o.Seed, Notes: []string{
		"half of the versions are taken from the searchers as soon as the next one is everywhere",
	}}
	t, err := testbed.New(faultinjection.TestbedConfig(o))
	if err != nil {
		return r, errors.Trace(err)
	}
	defer t.Close()
	as, err := arm.Start(ctx, t, o, "")
	if err != nil {
		return r, errors.Trace(err)
	}
	publishCtx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { publish(publishCtx, t, rand.New(rand.NewPCG(o.Seed, 6))) })
	as.RunByArrival(ctx, interleave.Config{Rate: faultinjection.ArrivalRate(o), Duration: o.Duration, Random: rand.New(rand.NewPCG(o.Seed, 7))})
	cancel()
	wg.Wait()
	r.Arms = as.Report()
	complete, _ := figure.Find(r.Arms[0], "complete_share")
	r.Arms[0].Figures = append(r.Arms[0].Figures,
		figure.AtLeast("complete_share_asked", complete, minCompleteShare),
		figure.Of("versions", float64(t.Truth.NewestVersion())))
	r.Notes = append(r.Notes, as.Notes()...)
	return r, nil
}

// publish publishes a version every publishInterval until ctx ends.
func publish(ctx context.Context, t *testbed.Testbed, random *rand.Rand) {
	ticker := time.NewTicker(publishInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		ranges := t.Truth.Ranges(t.Truth.NewestVersion())
		ranges = deployment.SplitShard(ranges, random.IntN(len(ranges)))
		ranges = deployment.MergeShards(ranges, random.IntN(len(ranges)-1))
		t.Publish(deployment.Change{
			Ranges: ranges, BumpRevisions: true, MoveShards: random.IntN(2) == 0, StepDelay: rolloutStep, KeepVersions: 1 + random.IntN(2),
		})
	}
}
