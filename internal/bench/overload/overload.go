// Package overload measures goodput when more queries arrive than the
// searchers can answer: it climbs from light load to 1.5 times the capacity.
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
	// settle is the first part of each step, in which queues fill.
	settle = time.Second
	// goodputTarget is the least part of the best goodput at the last load.
	goodputTarget = 0.9
)

// loads are the arrivals, as parts of the capacity.
var loads = []float64{0.7, 0.9, 1, 1.2, 1.5}

// Scenario is the experiment.
var Scenario = scenario.Scenario{
	Name: name,
	Help: "arrivals up to 1.5 times the capacity: goodput, extra load, true refusals",
	Run:  run,
}

// capacity is the queries a second that the slots of a shard's replicas
// could answer if they were always busy.
func capacity(replicas int) float64 {
	mean := median.Seconds() * math.Exp(sigma*sigma/2)
	return float64(replicas*slots) / mean
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
	g, err := testbed.New(testbed.Config{
		Shards: shards, Replicas: n, Deadline: deadline, ExtraLoad: extraLoad, Seed: o.Seed,
		Searcher: searcher.Config{Slots: slots, MaxConnections: 25, Time: searcher.Time{Median: median, Sigma: sigma}},
	})
	if err != nil {
		return r, errors.Trace(err)
	}
	defer g.Close()
	as, err := arm.Start(ctx, g, o, "")
	if err != nil {
		return r, errors.Trace(err)
	}
	random := rand.New(rand.NewPCG(o.Seed, 4))
	as.WarmUp(ctx, interleave.Config{Rate: loads[0] * capacity(n), Duration: time.Second, Random: random})
	var steps []*arm.Arms
	curves := map[string][]scenario.Point{}
	for _, l := range loads {
		as.Reset()
		whole := settle + o.Duration
		as.RunBySlice(ctx, interleave.Config{Rate: l * capacity(n), Duration: whole, Slice: whole, Random: random})
		for _, a := range as.All() {
			curves[a.Name] = append(curves[a.Name], scenario.Point{X: l, Y: goodput(a.Samples, o.Duration)})
		}
		steps = append(steps, as.Snapshot())
	}
	r.Arms = report(steps, curves)
	for _, s := range steps {
		r.Notes = append(r.Notes, s.Notes()...)
	}
	return r, nil
}

// goodput is the number of complete answers in time for each second.
func goodput(t *sample.Set, d time.Duration) float64 {
	first := t.FirstDue()
	good := t.Filter(func(s sample.Sample) bool {
		return s.Due.Sub(first) >= settle && s.Answer.Complete && s.Answer.Outcome.OK() && s.Ended.Sub(s.Due) <= deadline
	})
	return float64(good.Len()) / d.Seconds()
}

// report makes one arm for each policy: the figures of the highest load, the
// goodput at each load and the wrong answers of all.
func report(steps []*arm.Arms, curves map[string][]scenario.Point) []scenario.Arm {
	var out []scenario.Arm
	for _, s := range steps {
		rs := s.Report()
		for i := range rs {
			if len(out) > i {
				rs[i].Wrong = rs[i].Wrong.Add(out[i].Wrong)
			}
		}
		out = rs
	}
	for i := range out {
		c := curves[out[i].Name]
		best := 0.0
		for _, p := range c {
			best = max(best, p.Y)
			out[i].Figures = append(out[i].Figures, figure.Of(fmt.Sprintf("goodput_at_%g", p.X), p.Y))
		}
		last := figure.Of("goodput_over_best", figure.Ratio(c[len(c)-1].Y, best))
		extra, _ := figure.Find(out[i], "extra_load")
		if i == 0 {
			last = figure.AtLeast(last.Name, last.Value, goodputTarget)
			out[i].Figures = append(out[i].Figures, figure.AtMost("extra_load_asked", extra, extraLoad))
		}
		out[i].Figures = append(out[i].Figures, last)
		out[i].Series = []scenario.Series{{Name: "goodput", Over: "load", Points: c}}
	}
	return out
}
