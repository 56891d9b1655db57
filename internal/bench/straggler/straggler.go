// Package straggler measures the tail of queries over many shards when some
// calls, and some searchers, are slow.
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

// Scenario is the experiment.
var Scenario = scenario.Scenario{
	Name: name,
	Help: "1 % of calls take 20 times as long, one searcher in 50 is slow throughout; 140 shards, 3 and 2 replicas",
	Run:  run,
}

const (
	name   = "straggler"
	shards = 140
	// rate of arrivals, in queries a second.
	rate = 48
	// median service time of a call.
	median    = 10 * time.Millisecond
	deadline  = 10 * time.Second
	extraLoad = 0.02
	// slowEvery is one slow searcher in so many; slowFactor is how slow.
	slowEvery  = 50
	slowFactor = 4
	// warmUp is the unmeasured part of the load on each arm.
	warmUp = 3 * time.Second
)

// service is the service time of a call.
var service = searcher.Time{Median: median, Sigma: 0.3, StraggleShare: 0.01, StraggleFactor: 20}

// The targets, by number of replicas.
var ratioTarget = map[int]float64{3: 0.2, 2: 0.45}

// oracleTarget is how near to the oracle the tail of 2 replicas is to be.
const oracleTarget = 1.25

func run(ctx context.Context, o scenario.Options) (scenario.Report, error) {
	r := scenario.Report{Scenario: name, Seed: o.Seed, Notes: []string{
		fmt.Sprintf("service time lognormal, median %v, sigma 0.3; slow searchers take %d times as long", median, slowFactor),
		"all processes in one: the median is long enough that processors don't queue",
	}}
	counts := []int{3, 2}
	if o.Replicas > 0 {
		counts = []int{o.Replicas}
	}
	for _, n := range counts {
		if err := replicas(ctx, o, n, &r); err != nil {
			return r, errors.Trace(err)
		}
	}
	return r, nil
}

// replicas runs all arms with a number of replicas a shard.
func replicas(ctx context.Context, o scenario.Options, n int, r *scenario.Report) error {
	g, err := testbed.New(testbed.Config{
		Shards: shards, Replicas: n, Deadline: deadline, ExtraLoad: extraLoad, Seed: o.Seed,
		Searcher: searcher.Config{Slots: 2, MaxConnections: 25, Time: service},
	})
	if err != nil {
		return errors.Trace(err)
	}
	defer g.Close()
	var slow []int
	for i := 0; i < len(g.Searchers); i += slowEvery {
		g.Searchers[i].Slow(slowFactor)
		slow = append(slow, i)
	}
	as, err := arm.Start(ctx, g, o, fmt.Sprintf("_%d_replicas", n))
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
	current.Figures = append(current.Figures, targets(current)...)
	best := lowerbound.P99(lowerbound.Config{Shards: shards, Replicas: n, ServiceTime: service, SlowIndexes: slow, SlowFactor: slowFactor, Seed: o.Seed})
	over := figure.Of("p99_over_oracle", figure.Ratio(p99, best))
	if n == 2 {
		over = figure.AtMost(over.Name, over.Value, oracleTarget)
	}
	current.Figures = append(current.Figures, figure.Of("oracle_p99_ms", best), over)
	r.Arms = append(r.Arms, rs...)
	r.Notes = append(r.Notes, as.Notes()...)
	if len(rs) > 1 {
		base, _ := figure.Find(rs[1], "p99_ms")
		r.Ratios = append(r.Ratios, figure.AtMost(fmt.Sprintf("p99_ratio_%d_replicas", n), figure.Ratio(p99, base), ratioTarget[n]))
	}
	return nil
}

// targets returns the figures of an arm that have one.
func targets(a *scenario.Arm) []scenario.Figure {
	extra, _ := figure.Find(*a, "extra_load")
	complete, _ := figure.Find(*a, "complete_share")
	return []scenario.Figure{
		figure.AtMost("extra_load_asked", extra, extraLoad),
		figure.AtLeast("complete_share_asked", complete, 0.999),
	}
}
