// Package configspread measures how long an accepted change takes until it is
// in force on every node, and what that asks of the platform.
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

// Scenario is the experiment.
var Scenario = scenario.Scenario{
	Name: title,
	Help: "time from an accepted change to in force everywhere, also with a domain cut off from the platform; calls to the platform against the fleet size",
	Run:  run,
}

const (
	// title names the scenario.
	title = "config"
	// defaultNodes is the size of the fleet of the main arms.
	defaultNodes = 200
	// leastNodes gives fleets of different sizes with a node in some domains.
	leastNodes = 24
	// domains is how many failure domains there are.
	domains = 12
	// defaultDuration is the measured time of each fleet.
	defaultDuration = 10 * time.Second
	// changePart and quietPart are the parts of the duration in which changes
	// are made, and in which calls to the platform are counted without any.
	changePart = 0.4
	quietPart  = 0.6
	// settleTimeout bounds the start of a fleet.
	settleTimeout = 60 * time.Second
	// targetMS is the longest time to be in force, in milliseconds.
	targetMS = 3000
	// targetCalls is the most calls a second that one more node may add.
	targetCalls = 0.05
)

// sizes are the fleets that the calls to the platform are compared over, as
// parts of the largest one.
var sizes = []float64{0.25, 0.5, 1}

func run(ctx context.Context, o scenario.Options) (scenario.Report, error) {
	if o.Nodes == 0 {
		o.Nodes = defaultNodes
	}
	if o.Nodes < leastNodes {
		return scenario.Report{}, errors.NotValidf("fewer than %d nodes", leastNodes)
	}
	if o.Duration == 0 {
		o.Duration = defaultDuration
	}
	out := scenario.Report{Scenario: title, Seed: o.Seed}
	policies := []bool{false}
	if o.Baseline != "" {
		policies = append(policies, true)
	}
	for _, everyone := range policies {
		if err := policy(ctx, o, everyone, &out); err != nil {
			return out, err
		}
	}
	out.Notes = append(out.Notes,
		"time counts from the moment a revision was first in force anywhere, as a rule on the node that took the change",
		"a watch waits 2 s here and 25 s by default, so quiet calls are twelve times those of the product")
	return out, nil
}

// policy measures the fleets of one policy, the smallest first.
func policy(ctx context.Context, o scenario.Options, everyone bool, out *scenario.Report) error {
	name := "current"
	if everyone {
		name = "everyone_watches"
	}
	var nodes, calls []float64
	for _, share := range sizes {
		n := int(share * float64(o.Nodes))
		last := share == sizes[len(sizes)-1]
		quiet, err := size(ctx, o, n, everyone, last, name, out)
		if err != nil {
			return errors.Annotatef(err, "%d nodes", n)
		}
		nodes, calls = append(nodes, float64(n)), append(calls, quiet)
	}
	_, slope := stat.LinearRegression(nodes, calls, nil, false)
	f := figure.AtMost(name+"_kv_calls_per_second_per_node_slope", slope, targetCalls)
	out.Ratios = append(out.Ratios, f)
	return nil
}

// size measures one fleet and returns its quiet calls to the platform a
// second.
func size(ctx context.Context, o scenario.Options, n int, everyone, last bool, name string, out *scenario.Report) (float64, error) {
	f, err := peerfleet.New(peerfleet.Config{Nodes: n, Domains: domains, Seed: o.Seed, AllWatch: everyone})
	if err != nil {
		return 0, err
	}
	defer f.Close()
	begin := time.Now()
	c, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	if err := f.WaitConverged(c); err != nil {
		return 0, err
	}
	settled := time.Since(begin)
	t := newTimer(f)
	arm, err := t.arm(ctx, name, n, part(o, changePart))
	if err != nil {
		return 0, err
	}
	quiet := callRate(ctx, f, part(o, quietPart))
	arm.Figures = append(arm.Figures,
		figure.Of("kv_calls_per_second_quiet", quiet),
		figure.Of("mass_start_settled_s", settled.Seconds()))
	out.Arms = append(out.Arms, arm)
	if !last {
		return quiet, nil
	}
	f.SetCutOff(peerfleet.DomainName(1), true)
	arm, err = t.arm(ctx, name+"_one_domain_cut_off", n, part(o, changePart))
	out.Arms = append(out.Arms, arm)
	return quiet, err
}

// part is a part of the duration.
func part(o scenario.Options, p float64) time.Duration {
	return time.Duration(p * float64(o.Duration))
}

// callRate counts calls to the platform for a while.
func callRate(ctx context.Context, f *peerfleet.Fleet, d time.Duration) float64 {
	before := f.PlatformCalls()
	begin := time.Now()
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
	return float64(f.PlatformCalls()-before) / time.Since(begin).Seconds()
}
