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

// The default deployment of fault scenarios.
const (
	shards    = 40
	replicas  = 3
	slots     = 2
	rate      = 60
	median    = 10 * time.Millisecond
	sigma     = 0.3
	deadline  = 2 * time.Second
	extraLoad = 0.02
	// coldTime is how long a restarted searcher is slow.
	coldTime = 2 * time.Second
)

// SearcherTemplate configures the searchers of fault scenarios.
var SearcherTemplate = searcher.Config{
	Slots: slots, MaxConnections: 25, ConnectDelay: time.Millisecond, WarmUpTime: coldTime,
	ServiceTime: searcher.ServiceTime{Median: median, Sigma: sigma}, StatusLag: time.Second, LoadLag: 100 * time.Millisecond,
}

// TestbedConfig describes the deployment of fault scenarios.
func TestbedConfig(o scenario.Options) testbed.Config {
	c := testbed.Config{
		Shards: shards, Replicas: replicas, Deadline: deadline, ExtraLoad: extraLoad, Seed: o.Seed, Searcher: SearcherTemplate,
	}
	if o.Replicas > 0 {
		c.Replicas = o.Replicas
	}
	return c
}

// ArrivalRate returns the arrivals per second of fault scenarios.
func ArrivalRate(o scenario.Options) float64 { return arm.Rate(o, rate) }

// RunScenario runs a scenario on a new testbed with the faults that faults
// returns for it. The function addFigures, unless nil, adds figures to the arm
// with the current policy.
func RunScenario(ctx context.Context, name string, o scenario.Options, faults func(*testbed.Testbed) []Fault, addFigures func(*testbed.Testbed, *scenario.Arm)) (scenario.Report, error) {
	r := scenario.Report{Scenario: name, Seed: o.Seed}
	t, err := testbed.New(TestbedConfig(o))
	if err != nil {
		return r, errors.Trace(err)
	}
	defer t.Close()
	as, err := arm.Start(ctx, t, o, "")
	if err != nil {
		return r, errors.Trace(err)
	}
	res := Run(ctx, Config{Arms: as, Rate: ArrivalRate(o), Window: o.Duration, Faults: faults(t), Seed: o.Seed})
	res.FillReport(&r)
	if addFigures != nil {
		addFigures(t, &r.Arms[0])
	}
	return r, nil
}
