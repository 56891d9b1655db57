// Package healthbench measures the time from a fault until every node reports the
// expected health verdict, and counts false ok verdicts.
//
// It runs complete entry nodes in three failure domains against stand-ins over TCP
// and polls their operator APIs as egrethaven health does. The injected fault
// determines the expected verdict.
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
	// verdictTarget is the target for the time from a fault to the expected verdicts.
	verdictTarget = 5 * time.Second
	defaultNodes  = 6
	// relapseWatch is how long nodes are polled after the expected verdicts.
	relapseWatch = 2 * time.Second
	// verdictTimeout is the maximum wait for the expected verdict.
	verdictTimeout = 15 * time.Second
	// pollInterval is the pause between requests to a node.
	pollInterval = 50 * time.Millisecond
)

// name of the scenario.
const name = "health"

// Scenario measures health verdicts after faults.
var Scenario = scenario.Scenario{
	Name: name,
	Help: "time from a fault to the right verdict on every node, and wrong verdicts of ok",
	Run:  run,
}

type fault struct {
	name           string
	inject, repair func(*fleet) error
	// want returns the expected verdict in a failure domain during the fault.
	want func(domain string) health.Verdict
}

// inAllDomains expects the verdict v in all failure domains.
func inAllDomains(v health.Verdict) func(string) health.Verdict {
	return func(string) health.Verdict { return v }
}

// lastDomainUnknown expects unknown in the last failure domain and ok elsewhere.
func lastDomainUnknown(domain string) health.Verdict {
	if domain == string(domains[len(domains)-1]) {
		return health.Unknown
	}
	return health.OK
}

var faults = []fault{
	{name: "range_crashed", inject: crash(1), repair: start(1), want: inAllDomains(health.Degraded)},
	{name: "range_frozen", inject: freeze(true), repair: freeze(false), want: inAllDomains(health.Degraded)},
	{name: "service_crashed", inject: crash(searchersPerDomain), repair: start(searchersPerDomain), want: inAllDomains(health.Down)},
	{name: "service_shedding", inject: shed(true), repair: shed(false), want: inAllDomains(health.Down)},
	{name: "domain_lost", inject: (*fleet).stopDomain, repair: (*fleet).restoreDomain, want: lastDomainUnknown},
	{name: "platform_down", inject: (*fleet).stopPlatform, repair: (*fleet).restorePlatform, want: inAllDomains(health.OK)},
}

// run measures each fault and its repair.
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
	if c := f.await(ctx, inAllDomains(health.OK)); c.timedOut {
		return r, errors.Errorf("not all nodes reported ok before the first fault: %s", c.lastWrong)
	}
	arm := scenario.Arm{Name: fmt.Sprintf("%d nodes", len(f.nodes))}
	worst := time.Duration(0)
	for _, ft := range faults {
		for _, phase := range []struct {
			name string
			do   func(*fleet) error
			want func(string) health.Verdict
		}{{ft.name, ft.inject, ft.want}, {ft.name + "_mended", ft.repair, inAllDomains(health.OK)}} {
			if err := phase.do(f); err != nil {
				return r, errors.Annotatef(err, "fault phase %s", phase.name)
			}
			c := f.await(ctx, phase.want)
			arm.Figures = append(arm.Figures, figure.AtMost(phase.name+"_s", c.elapsed.Seconds(), verdictTarget.Seconds()))
			arm.Wrong.FalseOK += c.falseOK
			worst = max(worst, c.elapsed)
			if c.timedOut || c.falseOK > 0 {
				r.Notes = append(r.Notes, fmt.Sprintf("%s: %d false ok; %s", phase.name, c.falseOK, c.lastWrong))
			}
			if ctx.Err() != nil {
				return r, errors.Trace(ctx.Err())
			}
		}
	}
	arm.Figures = append(arm.Figures, figure.AtMost("worst_s", worst.Seconds(), verdictTarget.Seconds()),
		figure.Of("reports", float64(f.reports)))
	r.Arms = []scenario.Arm{arm}
	r.Notes = append(r.Notes,
		"a time is from the fault to the report of the last node that is right on every search and failure domain; in the range and service faults the same searchers of all failure domains fail",
		"a false ok is one 5 s after the fault or later, at once for a failure domain that cannot be reached")
	return r, nil
}
