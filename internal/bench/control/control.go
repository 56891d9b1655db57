// Package control measures what the control work of a node costs: membership,
// rumors and configuration, without any query. It compares fleets of several
// sizes and fits slopes to the size to design for.
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

// Scenario is the experiment.
var Scenario = scenario.Scenario{
	Name: title,
	Help: "processor time, memory and bytes a second that control takes on a node, with slopes to 1,000 nodes",
	Run:  run,
}

const (
	// title names the scenario.
	title = "control"
	// leastNodes gives fleets of different sizes with a node in each domain of
	// the largest.
	leastNodes = 24
	// domains is how many failure domains there are.
	domains = 12
	// meshNodes is the size of the fleet of the baseline.
	meshNodes = 50
	// defaultDuration is the length of each phase.
	defaultDuration = 5 * time.Second
	// settleTimeout bounds the start of a fleet and the end of its news.
	settleTimeout = 90 * time.Second
	// meshWarm is how long the baseline runs before it is measured.
	meshWarm = 2 * time.Second
	// design is the number of nodes to design for.
	design = 1000
)

// The targets of one node at the size to design for.
const (
	targetCPU    = 1.8
	targetMemory = 32
	targetBytes  = 3000
	// targetGone is the longest time until all nodes know that a whole domain
	// is lost, in seconds.
	targetGone = 60
)

// sizes are the fleets that are compared.
var sizes = []int{25, 50, 100, 200}

func run(ctx context.Context, o scenario.Options) (scenario.Report, error) {
	if o.Duration == 0 {
		o.Duration = defaultDuration
	}
	ns := sizes
	if o.Nodes > 0 && o.Nodes < leastNodes {
		return scenario.Report{}, errors.NotValidf("fewer than %d nodes", leastNodes)
	}
	if o.Nodes > 0 {
		ns = []int{o.Nodes / 4, o.Nodes / 2, o.Nodes}
	}
	out := scenario.Report{Scenario: title, Seed: o.Seed, Notes: notes}
	var fit fit
	empty := memory()
	for i, n := range ns {
		c, err := measure(ctx, o, n, i == len(ns)-1, empty)
		if err != nil {
			return out, errors.Annotatef(err, "%d nodes", n)
		}
		fit.add(c)
		out.Arms = append(out.Arms, c.arm(fmt.Sprintf("current_%d_nodes", n)))
	}
	out.Arms = append(out.Arms, fit.arm())
	if o.Baseline != "" {
		a, err := mesh(ctx, o, empty)
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
	fmt.Sprintf("events run %dx as often as on the day of the design size; what they add is divided by that", haste),
}

// mesh measures heartbeats from everyone to everyone.
func mesh(ctx context.Context, o scenario.Options, empty float64) (scenario.Arm, error) {
	f, err := peerfleet.New(peerfleet.Config{Nodes: meshNodes, Domains: domains, Seed: o.Seed, FullMesh: true, AllWatch: true})
	if err != nil {
		return scenario.Arm{}, err
	}
	defer f.Close()
	rest(ctx, meshWarm)
	u := use(ctx, f, o.Duration)
	a := scenario.Arm{Name: fmt.Sprintf("full_mesh_%d_nodes", meshNodes), Figures: []scenario.Figure{
		figure.Of("control_cpu_percent_quiet", u.cpu),
		figure.Of("control_bytes_per_second_quiet", u.bytes),
		figure.Of("memory_mb", (memory()-empty)/meshNodes),
		figure.Of("control_cpu_percent_if_linear_at_1000_nodes", u.cpu*design/meshNodes),
		figure.Of("control_bytes_per_second_if_linear_at_1000_nodes", u.bytes*design/meshNodes),
	}}
	return a, nil
}

func rest(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
