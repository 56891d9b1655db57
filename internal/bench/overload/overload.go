// Package overload measures goodput while the load rises in steps to 1.5 times
// the capacity of the searchers.
//
// # Usage
//
//	r, err := overload.Scenario.Run(ctx, scenario.Options{Seed: 1, Duration: 4 * time.Second, Baseline: "naive"})
package overload

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"egrethaven/internal/bench/arm"
	"egrethaven/internal/bench/figure"
	"egrethaven/internal/bench/interleave"
	"egrethaven/internal/bench/sample"
	"egrethaven/internal/bench/scenario"
	"egrethaven/internal/bench/testbed"
	"egrethaven/internal/standin/searcher"

	"github.com/juju/errors"
)

const (
	name      = "overload"
	shards    = 20
	replicas  = 2
	slots     = 2
	median    = 20 * time.Millisecond
	sigma     = 0.3
	deadline  = 500 * time.Millisecond
	extraLoad = 0.02
	// warmUp is the unmeasured first part of each step, in which queues fill.
	warmUp = time.Second
	// minGoodputRatio is the target for the goodput at the highest load relative to
	// the best goodput.
	minGoodputRatio = 0.9
)

// loads are the arrival rates of the steps, as multiples of the capacity.
var loads = []float64{0.7, 0.9, 1, 1.2, 1.5}

// Scenario is the overload scenario of the bench command.
var Scenario = scenario.Scenario{
	Name: name,
	Help: "arrivals up to 1.5 times the capacity: goodput, extra load, true refusals",
	Run:  run,
}

// capacity returns the queries per second that the slots of a shard's replicas
// can answer if they are always busy.
func capacity(replicas int) float64 {
	meanSeconds := median.Seconds() * math.Exp(sigma*sigma/2)
	return float64(replicas*slots) / meanSeconds
}

func run(ctx context.Context, o scenario.Options) (scenario.Report, error) {
	n := replicas
	if o.Replicas > 0 {
		n = o.Replicas
	}
	r := scenario.Report{Scenario: name, Seed: o.Seed, Notes: []string{
		fmt.Sprintf("capacity %.0f queries/s: %d shards, %d replicas, %d slots, median %v; deadline %v", capacity(n), shards, n, slots, median, deadline),
		"goodput is complete answers in time for each second of a step, after its first second",
	}}
	t, err := testbed.New(testbed.Config{
		Shards: shards, Replicas: n, Deadline: deadline, ExtraLoad: extraLoad, Seed: o.Seed,
		Searcher: searcher.Config{Slots: slots, MaxConnections: 25, ServiceTime: searcher.ServiceTime{Median: median, Sigma: sigma}},
	})
	if err != nil {
		return r, errors.Trace(err)
	}
	defer t.Close()
	as, err := arm.Start(ctx, t, o, "")
	if err != nil {
		return r, errors.Trace(err)
	}
	random := rand.New(rand.NewPCG(o.Seed, 4))
	as.WarmUp(ctx, interleave.Config{Rate: loads[0] * capacity(n), Duration: time.Second, Random: random})
	var steps []*arm.Arms
	curves := map[string][]scenario.Point{}
	for _, l := range loads {
		as.Reset()
		stepTime := warmUp + o.Duration
		as.RunBySlice(ctx, interleave.Config{Rate: l * capacity(n), Duration: stepTime, Slice: stepTime, Random: random})
		for _, a := range as.All() {
			curves[a.Name] = append(curves[a.Name], scenario.Point{X: l, Y: goodput(a.Samples, o.Duration)})
		}
		steps = append(steps, as.Snapshot())
	}
	r.Arms = armReports(steps, curves)
	for _, s := range steps {
		r.Notes = append(r.Notes, s.Notes()...)
	}
	return r, nil
}

// goodput returns the complete answers within the deadline per second, over the
// duration d after the warm-up.
func goodput(set *sample.Set, d time.Duration) float64 {
	first := set.FirstDue()
	good := set.Filter(func(s sample.Sample) bool {
		return s.Due.Sub(first) >= warmUp && s.Answer.Complete && s.Answer.Outcome.OK() && s.Ended.Sub(s.Due) <= deadline
	})
	return float64(good.Len()) / d.Seconds()
}

// armReports returns one arm for each policy, with the figures of the last step,
// the goodput at each load and the wrong answers of all steps.
func armReports(steps []*arm.Arms, curves map[string][]scenario.Point) []scenario.Arm {
	var arms []scenario.Arm
	for _, s := range steps {
		rs := s.Report()
		for i := range rs {
			if len(arms) > i {
				rs[i].Wrong = rs[i].Wrong.Add(arms[i].Wrong)
			}
		}
		arms = rs
	}
	for i := range arms {
		curve := curves[arms[i].Name]
		bestGoodput := 0.0
		for _, p := range curve {
			bestGoodput = max(bestGoodput, p.Y)
			arms[i].Figures = append(arms[i].Figures, figure.Of(fmt.Sprintf("goodput_at_%g", p.X), p.Y))
		}
		lastOverBest := figure.Of("goodput_over_best", figure.Ratio(curve[len(curve)-1].Y, bestGoodput))
		extra, _ := figure.Find(arms[i], "extra_load")
		if i == 0 {
			lastOverBest = figure.AtLeast(lastOverBest.Name, lastOverBest.Value, minGoodputRatio)
			arms[i].Figures = append(arms[i].Figures, figure.AtMost("extra_load_asked", extra, extraLoad))
		}
		arms[i].Figures = append(arms[i].Figures, lastOverBest)
		arms[i].Series = []scenario.Series{{Name: "goodput", Over: "load", Points: curve}}
	}
	return arms
}
