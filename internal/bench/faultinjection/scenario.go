package faultinjection

import (
	"context"
	"time"

	"egrethaven/internal/bench/arm"
	"egrethaven/internal/bench/scenario"
	"egrethaven/internal/bench/testbed"
	"egrethaven/internal/standin/searcher"

	"github.com/juju/errors"
)

// The deployment of the scenarios of one fault.
const (
	shards    = 40
	replicas  = 3
	slots     = 2
	rate      = 60
	median    = 10 * time.Millisecond
	sigma     = 0.3
	deadline  = 2 * time.Second
	extraLoad = 0.02
	// cold is the slow start of a searcher that returns.
	cold = 2 * time.Second
)

// SearcherTemplate is the searcher of these scenarios.
var SearcherTemplate = searcher.Config{
	Slots: slots, MaxConnections: 25, ConnectCost: time.Millisecond, Cold: cold,
	Time: searcher.Time{Median: median, Sigma: sigma}, StatusLag: time.Second, LoadLag: 100 * time.Millisecond,
}

// TestbedConfig describes the deployment of these scenarios.
func TestbedConfig(o scenario.Options) testbed.Config {
	c := testbed.Config{
		Shards: shards, Replicas: replicas, Deadline: deadline, ExtraLoad: extraLoad, Seed: o.Seed, Searcher: SearcherTemplate,
	}
	if o.Replicas > 0 {
		c.Replicas = o.Replicas
	}
	return c
}

// ArrivalRate is the arrivals a second of these scenarios.
func ArrivalRate(o scenario.Options) float64 { return arm.Rate(o, rate) }

// RunScenario runs an episode whose faults are made for its rig. Extra adds what
// only one scenario measures to the current arm; nil adds nothing.
func RunScenario(ctx context.Context, name string, o scenario.Options, faults func(*testbed.Testbed) []Fault, extra func(*testbed.Testbed, *scenario.Arm)) (scenario.Report, error) {
	r := scenario.Report{Scenario: name, Seed: o.Seed}
	g, err := testbed.New(TestbedConfig(o))
	if err != nil {
		return r, errors.Trace(err)
	}
	defer g.Close()
	as, err := arm.Start(ctx, g, o, "")
	if err != nil {
		return r, errors.Trace(err)
	}
	e := Run(ctx, Config{Arms: as, Rate: ArrivalRate(o), Window: o.Duration, Faults: faults(g), Seed: o.Seed})
	e.FillReport(&r)
	if extra != nil {
		extra(g, &r.Arms[0])
	}
	return r, nil
}
