// Package configspread measures the time until an accepted configuration change
// is in force on every node, and the calls to the platform that this takes.
//
// # Usage
//
//	report, err := configspread.Scenario.Run(ctx, scenario.Options{Nodes: 200, Seed: 1})
package configspread

import (
	"context"
	"time"

	"github.com/juju/errors"
	"gonum.org/v1/gonum/stat"

	"egrethaven/internal/bench/figure"
	"egrethaven/internal/bench/peerfleet"
	"egrethaven/internal/bench/scenario"
)

// Scenario measures the propagation of configuration changes.
var Scenario = scenario.Scenario{
	Name: scenarioName,
	Help: "time from an accepted change to in force everywhere, also with a domain cut off from the platform; calls to the platform against the fleet size",
	Run:  run,
}

const (
	scenarioName = "config"
	// defaultNodes is the default size of the largest fleet.
	defaultNodes = 200
	// minNodes gives fleets of different sizes, each with nodes in several failure
	// domains.
	minNodes    = 24
	domainCount = 12
	// defaultDuration is the measured time of each fleet.
	defaultDuration = 10 * time.Second
	// changeFraction of the duration is measured with changes, quietFraction
	// without.
	changeFraction = 0.4
	quietFraction  = 0.6
	// settleTimeout is the timeout for a fleet to start.
	settleTimeout = 60 * time.Second
	// targetMS is the target for the propagation time.
	targetMS = 3000
	// targetCallRateSlope is in platform calls per second per additional node.
	targetCallRateSlope = 0.05
)

// fleetFractions lists the sizes of the measured fleets as fractions of the
// largest one.
var fleetFractions = []float64{0.25, 0.5, 1}

func run(ctx context.Context, o scenario.Options) (scenario.Report, error) {
	if o.Nodes == 0 {
		o.Nodes = defaultNodes
	}
	if o.Nodes < minNodes {
		return scenario.Report{}, errors.NotValidf("fewer than %d nodes", minNodes)
	}
	if o.Duration == 0 {
		o.Duration = defaultDuration
	}
	out := scenario.Report{Scenario: scenarioName, Seed: o.Seed}
	allWatchModes := []bool{false}
	if o.Baseline != "" {
		allWatchModes = append(allWatchModes, true)
	}
	for _, allWatch := range allWatchModes {
		if err := measurePolicy(ctx, o, allWatch, &out); err != nil {
			return out, err
		}
	}
	out.Notes = append(out.Notes,
		"time counts from the moment a revision was first in force anywhere, as a rule on the node that took the change",
		"a watch waits 2 s here and 25 s by default, so quiet calls are twelve times those of the product")
	return out, nil
}

// measurePolicy measures fleets of increasing size, all of whose nodes watch the
// store if allWatch is set.
func measurePolicy(ctx context.Context, o scenario.Options, allWatch bool, out *scenario.Report) error {
	name := "current"
	if allWatch {
		name = "everyone_watches"
	}
	var nodes, callRates []float64
	for _, fraction := range fleetFractions {
		n := int(fraction * float64(o.Nodes))
		last := fraction == fleetFractions[len(fleetFractions)-1]
		quietRate, err := measureFleet(ctx, o, n, allWatch, last, name, out)
		if err != nil {
			return errors.Annotatef(err, "measure fleet of %d nodes", n)
		}
		nodes, callRates = append(nodes, float64(n)), append(callRates, quietRate)
	}
	_, slope := stat.LinearRegression(nodes, callRates, nil, false)
	f := figure.AtMost(name+"_kv_calls_per_second_per_node_slope", slope, targetCallRateSlope)
	out.Ratios = append(out.Ratios, f)
	return nil
}

// measureFleet measures a fleet and returns its platform calls per second without
// changes. If last is set, it also measures the fleet with one domain cut off.
func measureFleet(ctx context.Context, o scenario.Options, n int, allWatch, last bool, name string, out *scenario.Report) (float64, error) {
	f, err := peerfleet.New(peerfleet.Config{Nodes: n, Domains: domainCount, Seed: o.Seed, AllWatch: allWatch})
	if err != nil {
		return 0, err
	}
	defer f.Close()
	start := time.Now()
	settleCtx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	if err := f.WaitConverged(settleCtx); err != nil {
		return 0, err
	}
	settleTime := time.Since(start)
	rec := newRecorder(f)
	arm, err := rec.measureChanges(ctx, name, n, scaled(o, changeFraction))
	if err != nil {
		return 0, err
	}
	quietRate := measureCallRate(ctx, f, scaled(o, quietFraction))
	arm.Figures = append(arm.Figures,
		figure.Of("kv_calls_per_second_quiet", quietRate),
		figure.Of("mass_start_settled_s", settleTime.Seconds()))
	out.Arms = append(out.Arms, arm)
	if !last {
		return quietRate, nil
	}
	f.SetCutOff(peerfleet.DomainName(1), true)
	arm, err = rec.measureChanges(ctx, name+"_one_domain_cut_off", n, scaled(o, changeFraction))
	out.Arms = append(out.Arms, arm)
	return quietRate, err
}

// scaled returns the given fraction of the configured duration.
func scaled(o scenario.Options, fraction float64) time.Duration {
	return time.Duration(fraction * float64(o.Duration))
}

// measureCallRate returns the platform calls per second over the duration d.
func measureCallRate(ctx context.Context, f *peerfleet.Fleet, d time.Duration) float64 {
	before := f.PlatformCalls()
	start := time.Now()
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
	return float64(f.PlatformCalls()-before) / time.Since(start).Seconds()
}
