// Package straggler measures the tail latency of queries over many shards while
// some calls and some searchers are slow.
//
// # Usage
//
//	r, err := straggler.Scenario.Run(ctx, scenario.Options{Seed: 1, Duration: 20 * time.Second, Baseline: "naive"})
package straggler

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"egrethaven/internal/bench/arm"
	"egrethaven/internal/bench/figure"
	"egrethaven/internal/bench/interleave"
	"egrethaven/internal/bench/lowerbound"
	"egrethaven/internal/bench/scenario"
	"egrethaven/internal/bench/testbed"
	"egrethaven/internal/standin/searcher"

	"github.com/juju/errors"
)

// Scenario is the straggler scenario of the bench command.
var Scenario = scenario.Scenario{
	Name: name,
	Help: "1 % of calls take 20 times as long, one searcher in 50 is slow throughout; 140 shards, 3 and 2 replicas",
	Run:  run,
}

const (
	name   = "straggler"
	shards = 140
	// rate of arrivals per second.
	rate = 48
	// median service time of a call.
	median    = 10 * time.Millisecond
	deadline  = 10 * time.Second
	extraLoad = 0.02
	// searchersPerSlow is the number of searchers for each slow one, whose service
	// time is multiplied by slowFactor.
	searchersPerSlow = 50
	slowFactor       = 4
	// warmUp is the duration of the load on each arm before the measurement.
	warmUp = 3 * time.Second
)

// serviceTime is the distribution of the service time of a call.
var serviceTime = searcher.ServiceTime{Median: median, Sigma: 0.3, StragglerFraction: 0.01, StragglerFactor: 20}

// maxP99Ratio is the target for the p99 relative to the baseline, by number of
// replicas.
var maxP99Ratio = map[int]float64{3: 0.2, 2: 0.45}

// maxOracleRatio is the target for the p99 with 2 replicas relative to the lower
// bound.
const maxOracleRatio = 1.25

func run(ctx context.Context, o scenario.Options) (scenario.Report, error) {
	r := scenario.Report{Scenario: name, Seed: o.Seed, Notes: []string{
		fmt.Sprintf("service time lognormal, median %v, sigma 0.3; slow searchers take %d times as long", median, slowFactor),
		"all processes in one: the median is long enough that processors don't queue",
	}}
	replicaCounts := []int{3, 2}
	if o.Replicas > 0 {
		replicaCounts = []int{o.Replicas}
	}
	for _, n := range replicaCounts {
		if err := runReplicas(ctx, o, n, &r); err != nil {
			return r, errors.Trace(err)
		}
	}
	return r, nil
}

// runReplicas runs all arms with n replicas of each shard and adds their results
// to the report.
func runReplicas(ctx context.Context, o scenario.Options, n int, r *scenario.Report) error {
	t, err := testbed.New(testbed.Config{
		Shards: shards, Replicas: n, Deadline: deadline, ExtraLoad: extraLoad, Seed: o.Seed,
		Searcher: searcher.Config{Slots: 2, MaxConnections: 25, ServiceTime: serviceTime},
	})
	if err != nil {
		return errors.Trace(err)
	}
	defer t.Close()
	var slowIndexes []int
	for i := 0; i < len(t.Searchers); i += searchersPerSlow {
		t.Searchers[i].SetSlowdown(slowFactor)
		slowIndexes = append(slowIndexes, i)
	}
	as, err := arm.Start(ctx, t, o, fmt.Sprintf("_%d_replicas", n))
	if err != nil {
		return errors.Trace(err)
	}
	c := interleave.Config{Rate: arm.Rate(o, rate), Duration: warmUp, Random: rand.New(rand.NewPCG(o.Seed, uint64(n)))}
	as.WarmUp(ctx, c)
	c.Duration = o.Duration
	as.RunBySlice(ctx, c)
	rs := as.Report()
	current := &rs[0]
	p99, _ := figure.Find(*current, "p99_ms")
	current.Figures = append(current.Figures, targetFigures(current)...)
	bound := lowerbound.P99(lowerbound.Config{Shards: shards, Replicas: n, ServiceTime: serviceTime, SlowIndexes: slowIndexes, SlowFactor: slowFactor, Seed: o.Seed})
	overBound := figure.Of("p99_over_oracle", figure.Ratio(p99, bound))
	if n == 2 {
		overBound = figure.AtMost(overBound.Name, overBound.Value, maxOracleRatio)
	}
	current.Figures = append(current.Figures, figure.Of("oracle_p99_ms", bound), overBound)
	r.Arms = append(r.Arms, rs...)
	r.Notes = append(r.Notes, as.Notes()...)
	if len(rs) > 1 {
		baselineP99, _ := figure.Find(rs[1], "p99_ms")
		r.Ratios = append(r.Ratios, figure.AtMost(fmt.Sprintf("p99_ratio_%d_replicas", n), figure.Ratio(p99, baselineP99), maxP99Ratio[n]))
	}
	return nil
}

// targetFigures returns the figures of an arm that have a target.
func targetFigures(a *scenario.Arm) []scenario.Figure {
	extra, _ := figure.Find(*a, "extra_load")
	complete, _ := figure.Find(*a, "complete_share")
	return []scenario.Figure{
		figure.AtMost("extra_load_asked", extra, extraLoad),
		figure.AtLeast("complete_share_asked", complete, 0.999),
	}
}
