// Package control measures the resources that a node spends on membership, rumors
// and configuration, without queries, in fleets of several sizes. It extrapolates
// them linearly to the design size.
//
// # Usage
//
//	report, err := control.Scenario.Run(ctx, scenario.Options{Seed: 1})
package control

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"egrethaven/internal/bench/figure"
	"egrethaven/internal/bench/peerfleet"
	"egrethaven/internal/bench/scenario"
)

// Scenario measures the control-plane cost of a node.
var Scenario = scenario.Scenario{
	Name: scenarioName,
	Help: "processor time, memory and bytes a second that control takes on a node, with slopes to 1,000 nodes",
	Run:  run,
}

const (
	scenarioName = "control"
	// minNodes gives fleets of different sizes, the largest of them with nodes in
	// each failure domain.
	minNodes    = 24
	domainCount = 12
	// meshNodes is the size of the baseline fleet.
	meshNodes = 50
	// defaultDuration is the default length of each phase.
	defaultDuration = 5 * time.Second
	// settleTimeout is the timeout for starting a fleet and gossiping its updates.
	settleTimeout = 90 * time.Second
	// meshWarmup is the run time of the baseline before its measurement.
	meshWarmup = 2 * time.Second
	// designNodes is the fleet size that the targets apply to.
	designNodes = 1000
)

// Targets for one node in a fleet of designNodes.
const (
	targetCPUPercent     = 1.8
	targetMemoryMB       = 32
	targetBytesPerSecond = 3000
	// targetDomainLossSeconds applies to the time until all nodes know that a whole
	// failure domain is lost.
	targetDomainLossSeconds = 60
)

// sizes lists the numbers of nodes.
var sizes = []int{25, 50, 100, 200}

func run(ctx context.Context, o scenario.Options) (scenario.Report, error) {
	if o.Duration == 0 {
		o.Duration = defaultDuration
	}
	ns := sizes
	if o.Nodes > 0 && o.Nodes < minNodes {
		return scenario.Report{}, errors.NotValidf("fewer than %d nodes", minNodes)
	}
	if o.Nodes > 0 {
		ns = []int{o.Nodes / 4, o.Nodes / 2, o.Nodes}
	}
	out := scenario.Report{Scenario: scenarioName, Seed: o.Seed, Notes: notes}
	var fit linearFit
	baseMB := memoryMB()
	for i, n := range ns {
		c, err := measure(ctx, o, n, i == len(ns)-1, baseMB)
		if err != nil {
			return out, errors.Annotatef(err, "measure fleet of %d nodes", n)
		}
		fit.add(c)
		out.Arms = append(out.Arms, c.arm(fmt.Sprintf("current_%d_nodes", n)))
	}
	out.Arms = append(out.Arms, fit.arm())
	if o.Baseline != "" {
		a, err := measureMesh(ctx, o, baseMB)
		if err != nil {
			return out, err
		}
		out.Arms = append(out.Arms, a)
	}
	return out, nil
}

var notes = []string{
	"all nodes run in one process; processor time includes the stand-in platform and is divided by the nodes",
	"bytes are the payload of TCP between nodes, sent and received by one node together",
	"memory is heap and stacks after a collection, less that of the empty process, divided by the nodes",
	fmt.Sprintf("events run %dx as often as on the day of the design size; what they add is divided by that", speedup),
}

// measureMesh measures the baseline: heartbeats from every node to every other.
// baseMB is the memory without a fleet.
func measureMesh(ctx context.Context, o scenario.Options, baseMB float64) (scenario.Arm, error) {
	f, err := peerfleet.New(peerfleet.Config{Nodes: meshNodes, Domains: domainCount, Seed: o.Seed, FullMesh: true, AllWatch: true})
	if err != nil {
		return scenario.Arm{}, err
	}
	defer f.Close()
	sleep(ctx, meshWarmup)
	u := measureIdle(ctx, f, o.Duration)
	a := scenario.Arm{Name: fmt.Sprintf("full_mesh_%d_nodes", meshNodes), Figures: []scenario.Figure{
		figure.Of("control_cpu_percent_quiet", u.cpuPercent),
		figure.Of("control_bytes_per_second_quiet", u.bytesPerSecond),
		figure.Of("memory_mb", (memoryMB()-baseMB)/meshNodes),
		figure.Of("control_cpu_percent_if_linear_at_1000_nodes", u.cpuPercent*designNodes/meshNodes),
		figure.Of("control_bytes_per_second_if_linear_at_1000_nodes", u.bytesPerSecond*designNodes/meshNodes),
	}}
	return a, nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
