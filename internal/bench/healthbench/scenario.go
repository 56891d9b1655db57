// Package healthbench measures how soon every node gives the right verdict on
// health after a fault, and counts verdicts of ok that were wrong.
//
// It runs whole entry nodes in three failure domains against stand-ins of the
// platform and of searchers, all over TCP, and asks each node's operator API
// as egrethaven health does. The oracle is the fault itself.
//
// # Usage
//
//	r, err := healthbench.Scenario.Run(ctx, scenario.Options{Seed: 1, Duration: 10 * time.Second})
package healthbench

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/bench/figure"
	"egrethaven/internal/bench/scenario"
	"egrethaven/internal/observe/health"
)

const (
	// target is how soon every node has to give the right verdict.
	target = 5 * time.Second
	// defaultNodes is the number of entry VMs when the options leave it open.
	defaultNodes = 6
	// hold is how long a right verdict is watched for relapses.
	hold = 2 * time.Second
	// giveUp is how long a right verdict is awaited.
	giveUp = 15 * time.Second
	// pause is the time between two questions to a node.
	pause = 50 * time.Millisecond
)

// name of the scenario.
const name = "health"

// Scenario is the health scenario.
var Scenario = scenario.Scenario{
	Name: name,
	Help: "time from a fault to the right verdict on every node, and wrong verdicts of ok",
	Run:  run,
}

// fault is one thing that goes wrong and is mended.
type fault struct {
	name string
	// begin makes the fault, end mends it.
	begin, end func(*fleet) error
	// want is the right verdict in a failure domain while the fault lasts.
	want func(domain string) health.Verdict
}

// everywhere is a fault that all failure domains see alike.
func everywhere(v health.Verdict) func(string) health.Verdict {
	return func(string) health.Verdict { return v }
}

// lost is a fault that makes one failure domain unknown.
func lost(domain string) health.Verdict {
	if domain == string(domains[len(domains)-1]) {
		return health.Unknown
	}
	return health.OK
}

var faults = []fault{
	{name: "range_crashed", begin: crash(1), end: start(1), want: everywhere(health.Degraded)},
	{name: "range_frozen", begin: freeze(true), end: freeze(false), want: everywhere(health.Degraded)},
	{name: "service_crashed", begin: crash(searchersEach), end: start(searchersEach), want: everywhere(health.Down)},
	{name: "service_shedding", begin: shed(true), end: shed(false), want: everywhere(health.Down)},
	{name: "domain_lost", begin: (*fleet).loseDomain, end: (*fleet).returnDomain, want: lost},
	{name: "platform_down", begin: (*fleet).losePlatform, end: (*fleet).returnPlatform, want: everywhere(health.OK)},
}

// run measures each fault and its end.
func run(ctx context.Context, o scenario.Options) (scenario.Report, error) {
	if o.Nodes == 0 {
		o.Nodes = defaultNodes
	}
	r := scenario.Report{Scenario: name, Seed: o.Seed}
	f, err := newFleet(ctx, o)
	if err != nil {
		return r, errors.Trace(err)
	}
	defer f.close()
	if m := f.await(ctx, everywhere(health.OK)); m.late {
		return r, errors.Errorf("the nodes did not come to ok before any fault: %s", m.seen)
	}
	arm := scenario.Arm{Name: fmt.Sprintf("%d nodes", len(f.nodes))}
	worst := time.Duration(0)
	for _, x := range faults {
		for _, p := range []struct {
			name string
			do   func(*fleet) error
			want func(string) health.Verdict
		}{{x.name, x.begin, x.want}, {x.name + "_mended", x.end, everywhere(health.OK)}} {
			if err := p.do(f); err != nil {
				return r, errors.Annotatef(err, "fault %s", p.name)
			}
			m := f.await(ctx, p.want)
			arm.Figures = append(arm.Figures, figure.AtMost(p.name+"_s", m.took.Seconds(), target.Seconds()))
			arm.Wrong.FalseOK += m.falseOK
			worst = max(worst, m.took)
			if m.late || m.falseOK > 0 {
				r.Notes = append(r.Notes, fmt.Sprintf("%s: %d false ok; %s", p.name, m.falseOK, m.seen))
			}
			if ctx.Err() != nil {
				return r, errors.Trace(ctx.Err())
			}
		}
	}
	arm.Figures = append(arm.Figures, figure.AtMost("worst_s", worst.Seconds(), target.Seconds()),
		figure.Of("reports", float64(f.reports)))
	r.Arms = []scenario.Arm{arm}
	r.Notes = append(r.Notes,
		"a time is from the fault to the report of the last node that is right on every search and failure domain; in the range and service faults the same searchers of all failure domains fail",
		"a false ok is one 5 s after the fault or later, at once for a failure domain that cannot be reached")
	return r, nil
}
