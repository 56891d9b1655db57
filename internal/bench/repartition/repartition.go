// Package repartition measures queries while the index changes all the time:
// each second brings a version whose shards are split, merged and moved.
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
	// turnover is the time between two versions.
	turnover = time.Second
	// step is the wait between the searchers that receive a version.
	step = 2 * time.Millisecond
	// completeTarget is the least share of complete answers.
	completeTarget = 0.99
)

// Scenario is the experiment.
var Scenario = scenario.Scenario{
	Name: name,
	Help: "each second a new version of the index with shards split, merged and moved",
	Run:  run,
}

func run(ctx context.Context, o scenario.Options) (scenario.Report, error) {
	r := scenario.Report{Scenario: name, Seed: o.Seed, Notes: []string{
		"half of the versions are taken from the searchers as soon as the next one is everywhere",
	}}
	g, err := testbed.New(faultinjection.TestbedConfig(o))
	if err != nil {
		return r, errors.Trace(err)
	}
	defer g.Close()
	as, err := arm.Start(ctx, g, o, "")
	if err != nil {
		return r, errors.Trace(err)
	}
	c, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { publish(c, g, rand.New(rand.NewPCG(o.Seed, 6))) })
	as.RunByArrival(ctx, interleave.Config{Rate: faultinjection.ArrivalRate(o), Duration: o.Duration, Random: rand.New(rand.NewPCG(o.Seed, 7))})
	cancel()
	wg.Wait()
	r.Arms = as.Report()
	complete, _ := figure.Find(r.Arms[0], "complete_share")
	r.Arms[0].Figures = append(r.Arms[0].Figures,
		figure.AtLeast("complete_share_asked", complete, completeTarget),
		figure.Of("versions", float64(g.Truth.Newest())))
	r.Notes = append(r.Notes, as.Notes()...)
	return r, nil
}

// publish makes a version each turnover until ctx ends.
func publish(ctx context.Context, g *testbed.Testbed, random *rand.Rand) {
	t := time.NewTicker(turnover)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		rs := g.Truth.Ranges(g.Truth.Newest())
		rs = deployment.SplitShard(rs, random.IntN(len(rs)))
		rs = deployment.MergeShards(rs, random.IntN(len(rs)-1))
		g.Publish(deployment.Change{
			Ranges: rs, Touch: true, Move: random.IntN(2) == 0, Step: step, Keep: 1 + random.IntN(2),
		})
	}
}
