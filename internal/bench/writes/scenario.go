// Package writes measures how non-idempotent requests are kept to at most one
// run: the calls of the key-value service that this takes, the time that it
// adds, and what goes wrong when the service and the nodes do.
//
// The nodes are real claim stores with real connections between them and to
// the stand-in platform. The oracle counts the dispatches that truly ran.
//
// # Usage
//
//	r, err := writes.Scenario.Run(ctx, scenario.Options{Duration: 3 * time.Second})
package writes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/bench/figure"
	"egrethaven/internal/bench/scenario"
	"egrethaven/internal/standin/platform"
)

const (
	name            = "writes"
	defaultNodes    = 9
	defaultRate     = 500.0
	defaultDuration = 3 * time.Second
	// naive is the baseline: one swap for each claim and one for each outcome.
	naive = "naive"
	// callsTarget is the most calls that a write may cost.
	callsTarget = 0.2
	// writesTarget is the most swaps and deletions a second.
	writesTarget = 400.0
)

// Scenario is the experiment.
var Scenario = scenario.Scenario{
	Name: name,
	Help: "non-idempotent requests over lost answers, pauses, a slow store and outages",
	Run:  run,
}

// plan is one arm: what goes wrong during it.
type plan struct {
	name string
	// faults at the start.
	faults platform.Faults
	// outage takes the service down in the middle third.
	outage bool
	// pauses stops nodes, one after the other.
	pauses bool
	// naive uses the baseline.
	naive bool
	// skew is the largest error of the callers' clocks, either way.
	skew time.Duration
	// backlog is how old keys may be, as of callers that were cut off.
	backlog time.Duration
}

// plans are the arms.
func plans(baseline string) ([]plan, error) {
	slow := platform.Faults{DelayMS: 50, JitterMS: 100}
	lossy := platform.Faults{AnswerLossRate: 0.05}
	ceiling := platform.Faults{DelayMS: 2, JitterMS: 4, WritesPerSecond: 400, ReadsPerSecond: 2000}
	ps := []plan{
		{name: "calm"},
		{name: "slow_store", faults: slow},
		{name: "lost_answers", faults: lossy},
		{name: "store_down", outage: true},
		{name: "paused_nodes", pauses: true},
		{name: "ceilings", faults: ceiling},
		{name: "skewed_clocks", skew: 5 * time.Second},
		{name: "backlog", faults: ceiling, backlog: time.Hour},
		{name: "all_at_once", faults: platform.Faults{DelayMS: 10, JitterMS: 40, AnswerLossRate: 0.05}, outage: true, pauses: true},
	}
	switch baseline {
	case "":
	case naive:
		ps = append(ps, plan{name: "naive_calm", naive: true}, plan{name: "naive_ceilings", faults: ceiling, naive: true})
	default:
		return nil, errors.NotFoundf("baseline %q", baseline)
	}
	return ps, nil
}

func run(ctx context.Context, o scenario.Options) (scenario.Report, error) {
	o = withDefaults(o)
	r := scenario.Report{Scenario: name, Seed: o.Seed}
	ps, err := plans(o.Baseline)
	if err != nil {
		return r, errors.Trace(err)
	}
	for i, p := range ps {
		a, err := runPlan(ctx, p, o, rand.New(rand.NewPCG(o.Seed, uint64(i))))
		if err != nil {
			return r, errors.Annotate(err, p.name)
		}
		r.Arms = append(r.Arms, a)
	}
	r.Ratios = ratios(r.Arms)
	r.Notes = []string{fmt.Sprintf("%d nodes, %.0f writes a second, %v an arm", o.Nodes, o.Rate, o.Duration)}
	return r, nil
}

func withDefaults(o scenario.Options) scenario.Options {
	if o.Nodes == 0 {
		o.Nodes = defaultNodes
	}
	if o.Rate == 0 {
		o.Rate = defaultRate
	}
	if o.Duration == 0 {
		o.Duration = defaultDuration
	}
	return o
}

// runPlan measures one arm on a fleet of its own.
func runPlan(ctx context.Context, p plan, o scenario.Options, r *rand.Rand) (scenario.Arm, error) {
	f, err := newFleet(fleetConfig{nodes: o.Nodes, naive: p.naive, seed: r.Uint64()})
	if err != nil {
		return scenario.Arm{}, errors.Trace(err)
	}
	defer f.close()
	f.platform.SetFaults(p.faults)
	t := newTraffic(f, p, r)
	stop := f.disturb(ctx, p, o.Duration, rand.New(rand.NewPCG(r.Uint64(), 0)))
	began := time.Now()
	calls := t.play(ctx, o.Rate, o.Duration)
	took := time.Since(began)
	stop()
	f.platform.SetFaults(platform.Faults{})
	t.repeatAll(ctx)
	return scenario.Arm{
		Name:      p.name,
		Figures:   t.figures(calls, took, !p.naive),
		Wrong:     t.oracle.verdict(),
		LatencyMS: t.distribution(),
	}, nil
}

// ratios compares the baseline with the arm of the same faults.
func ratios(as []scenario.Arm) []scenario.Figure {
	byName := map[string]scenario.Arm{}
	for _, a := range as {
		byName[a.Name] = a
	}
	var fs []scenario.Figure
	for _, n := range []string{"calm", "ceilings"} {
		base, ok := byName[naive+"_"+n]
		if !ok {
			continue
		}
		for _, g := range []string{"kv_calls_per_write", "claim_p99_ms"} {
			x, _ := figure.Find(byName[n], g)
			y, _ := figure.Find(base, g)
			fs = append(fs, figure.Of(n+"_"+g+"_ratio", figure.Ratio(x, y)))
		}
	}
	return fs
}
