// Package writes measures the at-most-once guarantee for non-idempotent requests:
// its key-value calls, its added latency, and its violations under faults.
//
// The nodes run production claim stores, connected to each other and to the
// stand-in platform. An oracle counts the requests that ran.
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
	// naive names the baseline: one Swap per claim and one per outcome.
	naive = "naive"
	// maxCallsPerWrite is the target for key-value calls per request.
	maxCallsPerWrite = 0.2
	// maxWritesPerSecond is the target for swaps and deletions per second.
	maxWritesPerSecond = 400.0
)

// Scenario measures non-idempotent requests under faults.
var Scenario = scenario.Scenario{
	Name: name,
	Help: "non-idempotent requests over lost answers, pauses, a slow store and outages",
	Run:  run,
}

// plan describes one arm: its faults and its callers.
type plan struct {
	name string
	// faults of the platform from the start.
	faults platform.Faults
	// outage takes the platform down in the middle third of the duration.
	outage bool
	// pauses enables pauses of one random node at a time.
	pauses bool
	// naive selects the baseline store.
	naive bool
	// maxSkew is the maximum error of the callers' clocks in either direction.
	maxSkew time.Duration
	// maxKeyAge simulates callers that resend after they were cut off.
	maxKeyAge time.Duration
}

// plans returns the arms, with those of the baseline if it isn't empty.
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
		{name: "skewed_clocks", maxSkew: 5 * time.Second},
		{name: "backlog", faults: ceiling, maxKeyAge: time.Hour},
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

// runPlan starts a fleet, measures one arm on it and closes it.
func runPlan(ctx context.Context, p plan, o scenario.Options, r *rand.Rand) (scenario.Arm, error) {
	f, err := newFleet(fleetConfig{nodes: o.Nodes, naive: p.naive, seed: r.Uint64()})
	if err != nil {
		return scenario.Arm{}, errors.Trace(err)
	}
	defer f.close()
	f.platform.SetFaults(p.faults)
	t := newTraffic(f, p, r)
	stop := f.injectFaults(ctx, p, o.Duration, rand.New(rand.NewPCG(r.Uint64(), 0)))
	start := time.Now()
	stats := t.run(ctx, o.Rate, o.Duration)
	elapsed := time.Since(start)
	stop()
	f.platform.SetFaults(platform.Faults{})
	t.resendAll(ctx)
	return scenario.Arm{
		Name:      p.name,
		Figures:   t.figures(stats, elapsed, !p.naive),
		Wrong:     t.oracle.violations(),
		LatencyMS: t.latencyDistribution(),
	}, nil
}

// ratios divides figures of the current policy by those of the baseline under
// the same faults.
func ratios(arms []scenario.Arm) []scenario.Figure {
	byName := map[string]scenario.Arm{}
	for _, a := range arms {
		byName[a.Name] = a
	}
	var fs []scenario.Figure
	for _, n := range []string{"calm", "ceilings"} {
		base, ok := byName[naive+"_"+n]
		if !ok {
			continue
		}
		for _, name := range []string{"kv_calls_per_write", "claim_p99_ms"} {
			x, _ := figure.Find(byName[n], name)
			y, _ := figure.Find(base, name)
			fs = append(fs, figure.Of(n+"_"+name+"_ratio", figure.Ratio(x, y)))
		}
	}
	return fs
}
