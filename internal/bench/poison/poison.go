// Package poison measures the damage of poison requests, which crash every
// searcher that runs them, while a caller keeps sending them through all nodes.
//
// # Usage
//
//	r, err := poison.Scenario.Run(ctx, scenario.Options{Seed: 1, Duration: 5 * time.Second})
package poison

import (
	"context"
	"fmt"
	"time"

	"egrethaven/internal/bench/arm"
	"egrethaven/internal/bench/faultinjection"
	"egrethaven/internal/bench/figure"
	"egrethaven/internal/bench/fleet"
	"egrethaven/internal/bench/sample"
	"egrethaven/internal/bench/scenario"
	"egrethaven/internal/bench/testbed"
	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/query/scatter"

	"github.com/juju/errors"
)

const (
	name  = "poison"
	nodes = 3
	// poisonRequests is the number of different poison requests, sent one after
	// another.
	poisonRequests = 3
	// sendsPerRequest is how often each request is sent, at sendInterval.
	sendsPerRequest = 30
	sendInterval    = 40 * time.Millisecond
	// poisonText is the text that crashes a searcher.
	poisonText = "poison"
	// maxLost is the target for the number of searchers lost to one request.
	maxLost = 2
)

// Scenario is the poison scenario of the bench command.
var Scenario = scenario.Scenario{
	Name: name,
	Help: "requests that kill each searcher running them, sent again through all nodes",
	Run:  run,
}

func run(ctx context.Context, o scenario.Options) (scenario.Report, error) {
	r := scenario.Report{Scenario: name, Seed: o.Seed}
	c := faultinjection.TestbedConfig(o)
	c.Searcher.PoisonText = poisonText
	t, err := testbed.New(c)
	if err != nil {
		return r, errors.Trace(err)
	}
	defer t.Close()
	f, err := fleet.New(ctx, fleet.Config{Testbed: t, Nodes: nodes, Seed: o.Seed})
	if err != nil {
		return r, errors.Trace(err)
	}
	defer f.Close()
	as := arm.New(t)
	current := as.AddQuerier(scatter.DefaultPolicy().Name, f)
	mostLost := 0
	send := func(i int) func() {
		return func() {
			before := countCrashes(t)
			for range sendsPerRequest {
				_ = f.Ask(ctx, poisonQuery(t, i))
				time.Sleep(sendInterval)
			}
			mostLost = max(mostLost, countCrashes(t)-before)
		}
	}
	var faults []faultinjection.Fault
	for i := range poisonRequests {
		faults = append(faults, faultinjection.Fault{Description: fmt.Sprintf("poisonous request %d was sent %d times", i, sendsPerRequest), Inject: send(i)})
	}
	res := faultinjection.Run(ctx, faultinjection.Config{Arms: as, Rate: faultinjection.ArrivalRate(o), Window: o.Duration, Seed: o.Seed, Faults: faults})
	res.FillReport(&r)
	quarantined := current.Samples.Filter(func(s sample.Sample) bool { return s.Answer.Outcome.Reason == outcome.Quarantined })
	r.Arms[0].Figures = append(r.Arms[0].Figures,
		figure.AtMost("searchers_lost_most", float64(mostLost), maxLost),
		figure.AtMost("innocents_refused", float64(quarantined.Len()), 0))
	if o.Baseline != "" {
		return r, errors.Trace(runBaseline(ctx, o, c, &r))
	}
	return r, nil
}

// poisonQuery returns the i-th poison request.
func poisonQuery(t *testbed.Testbed, i int) ask.Query {
	q := t.NextQuery()
	q.Text = fmt.Sprintf("%s-%d", poisonText, i)
	q.Filters = nil
	return q
}

// countCrashes returns the number of crashes of all searchers.
func countCrashes(t *testbed.Testbed) int {
	n := 0
	for _, s := range t.Searchers {
		n += s.Stats().Crashes
	}
	return n
}

// runBaseline sends one poison request a few times with the baseline policy. It
// uses a separate testbed because most searchers crash.
func runBaseline(ctx context.Context, o scenario.Options, c testbed.Config, r *scenario.Report) error {
	const baselineSends = 3
	t, err := testbed.New(c)
	if err != nil {
		return errors.Trace(err)
	}
	defer t.Close()
	as := arm.New(t)
	if err := as.AddBaseline(o, testbed.NodeConfig{}); err != nil {
		return errors.Trace(err)
	}
	if err := as.WaitReady(ctx); err != nil {
		return errors.Trace(err)
	}
	for range baselineSends {
		_ = as.Current().Querier.Ask(ctx, poisonQuery(t, 0))
	}
	r.Arms = append(r.Arms, scenario.Arm{Name: o.Baseline, Figures: []scenario.Figure{
		figure.Of("sends", baselineSends), figure.Of("searchers_lost_most", float64(countCrashes(t))),
	}})
	return nil
}
