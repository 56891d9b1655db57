// Package steady measures what a query costs a node: the processor time for
// each searcher call, beside the same calls made by net/http alone.
//
// Nodes, plain clients and stand-ins share one process, so the stand-ins'
// part has to be taken out. The arms take turns on the same stand-ins:
// nothing at all (the background), the tier, net/http alone, raw reads and
// writes, and raw against a raw echo. An echo's two sides do the same, so a
// raw client costs half of that arm; what is left of the raw arm is the
// stand-ins' part.
//
// # Usage
//
//	r, err := steady.Scenario.Run(ctx, scenario.Options{Seed: 1, Duration: 4 * time.Second})
package steady

import (
	"context"
	"math/rand/v2"
	"time"

	"egrethaven/internal/bench/arm"
	"egrethaven/internal/bench/figure"
	"egrethaven/internal/bench/interleave"
	"egrethaven/internal/bench/scenario"
	"egrethaven/internal/bench/testbed"
	"egrethaven/internal/standin/searcher"

	"github.com/juju/errors"
)

const (
	name      = "steady"
	shards    = 140
	replicas  = 2
	rate      = 36
	median    = 5 * time.Millisecond
	deadline  = 5 * time.Second
	extraLoad = 0.02
	// target is the most that the tier may cost, in floors.
	target = 1.3
	warmUp = 2 * time.Second
)

// Scenario is the steady scenario of the bench command.
var Scenario = scenario.Scenario{
	Name: name,
	Help: "plain load: processor time for each searcher call beside net/http alone",
	Run:  run,
}

var notes = []string{
	"every arm loads the same stand-ins in turns; total is the process's CPU less the background's",
	"client CPU = total - stand-ins; stand-ins = raw total - half of the raw echo's total",
	"background_cpu_percent is the node's control and polling, stand-ins included, without load",
}

func run(ctx context.Context, o scenario.Options) (scenario.Report, error) {
	r := scenario.Report{Scenario: name, Seed: o.Seed, Notes: notes}
	n := replicas
	if o.Replicas > 0 {
		n = o.Replicas
	}
	g, err := testbed.New(testbed.Config{
		Shards: shards, Replicas: n, Deadline: deadline, ExtraLoad: extraLoad, Seed: o.Seed,
		Searcher: searcher.Config{Slots: 2, MaxConnections: 25, Time: searcher.Time{Median: median, Sigma: 0.3}},
	})
	if err != nil {
		return r, errors.Trace(err)
	}
	defer g.Close()
	as, err := arm.Start(ctx, g, scenario.Options{}, "")
	if err != nil {
		return r, errors.Trace(err)
	}
	ss, err := newSides(g, as)
	if err != nil {
		return r, errors.Trace(err)
	}
	defer ss.close()
	c := interleave.Config{Rate: arm.Rate(o, rate), Duration: warmUp, Random: rand.New(rand.NewPCG(o.Seed, 3))}
	interleave.BySlice(ctx, c, ss.arms())
	as.Reset()
	ss.reset()
	c.Duration = o.Duration
	interleave.BySlice(ctx, c, ss.arms())
	if ss.failed.Load() > 0 {
		return r, errors.Errorf("%d plain fan-outs failed", ss.failed.Load())
	}
	rs := as.Report()
	current := &rs[0]
	calls := float64(as.Current().Samples.Totals().Calls())
	r.Arms = append(rs, ss.add(current, calls, &r)...)
	r.Notes = append(r.Notes, as.Notes()...)
	return r, nil
}

// add derives the costs and returns the plain arms.
func (ss *sides) add(current *scenario.Arm, calls float64, r *scenario.Report) []scenario.Arm {
	back := ss.idle.perSecond()
	tier := ss.tier.perCall(back, calls)
	floor := ss.http.perCall(back, ss.http.calls())
	raw := ss.raw.perCall(back, ss.raw.calls())
	echo := ss.echo.perCall(back, ss.echo.calls())
	standins := raw - echo/2
	current.Figures = append(current.Figures,
		figure.Of("calls", calls),
		figure.Of("total_cpu_us_per_call", tier),
		figure.Of("client_cpu_us_per_call", tier-standins),
		figure.Of("background_cpu_percent", 100*back),
	)
	r.Ratios = append(r.Ratios,
		figure.AtMost("client_cpu_ratio", figure.Ratio(tier-standins, floor-standins), target),
		figure.Of("total_cpu_ratio", figure.Ratio(tier, floor)),
	)
	return []scenario.Arm{{Name: "net_http", Figures: []scenario.Figure{
		figure.Of("calls", ss.http.calls()),
		figure.Of("total_cpu_us_per_call", floor),
		figure.Of("client_cpu_us_per_call", floor-standins),
	}}, {Name: "raw", Figures: []scenario.Figure{
		figure.Of("calls", ss.raw.calls()),
		figure.Of("total_cpu_us_per_call", raw),
		figure.Of("client_cpu_us_per_call", echo/2),
		figure.Of("standin_cpu_us_per_call", standins),
		figure.Of("echo_total_cpu_us_per_call", echo),
	}}}
}
