// Package steady measures the CPU time of a node for each searcher call, and
// compares it with the same calls made by net/http alone.
//
// Nodes, plain clients and stand-ins share one process, so the CPU time of the
// stand-ins has to be subtracted. Five arms take turns: idle (the background),
// the tier, net/http alone and raw reads and writes on the same stand-ins, and
// a raw client against a raw echo server. The client and the server of the echo
// arm do the same work, so a raw client costs half of that arm. The rest of the
// raw arm is the cost of the stand-ins.
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
	// maxCostRatio is the target for the client CPU time of the tier relative to
	// that of net/http alone.
	maxCostRatio = 1.3
	warmUp       = 2 * time.Second
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
	t, err := testbed.New(testbed.Config{
		Shards: shards, Replicas: n, Deadline: deadline, ExtraLoad: extraLoad, Seed: o.Seed,
		Searcher: searcher.Config{Slots: 2, MaxConnections: 25, ServiceTime: searcher.ServiceTime{Median: median, Sigma: 0.3}},
	})
	if err != nil {
		return r, errors.Trace(err)
	}
	defer t.Close()
	as, err := arm.Start(ctx, t, scenario.Options{}, "")
	if err != nil {
		return r, errors.Trace(err)
	}
	ms, err := newMeteredArms(t, as)
	if err != nil {
		return r, errors.Trace(err)
	}
	defer ms.close()
	c := interleave.Config{Rate: arm.Rate(o, rate), Duration: warmUp, Random: rand.New(rand.NewPCG(o.Seed, 3))}
	interleave.BySlice(ctx, c, ms.loads())
	as.Reset()
	ms.reset()
	c.Duration = o.Duration
	interleave.BySlice(ctx, c, ms.loads())
	if ms.failed.Load() > 0 {
		return r, errors.Errorf("%d plain fan-outs failed", ms.failed.Load())
	}
	rs := as.Report()
	current := &rs[0]
	calls := float64(as.Current().Samples.Totals().Calls())
	r.Arms = append(rs, ms.addFigures(current, calls, &r)...)
	r.Notes = append(r.Notes, as.Notes()...)
	return r, nil
}

// addFigures computes the costs, adds them to the current arm and the report, and
// returns the plain arms.
func (ms *meteredArms) addFigures(current *scenario.Arm, calls float64, r *scenario.Report) []scenario.Arm {
	background := ms.idle.cpuFraction()
	tier := ms.tier.cpuPerCallUS(background, calls)
	netHTTP := ms.http.cpuPerCallUS(background, ms.http.calls())
	raw := ms.raw.cpuPerCallUS(background, ms.raw.calls())
	echo := ms.echo.cpuPerCallUS(background, ms.echo.calls())
	standins := raw - echo/2
	current.Figures = append(current.Figures,
		figure.Of("calls", calls),
		figure.Of("total_cpu_us_per_call", tier),
		figure.Of("client_cpu_us_per_call", tier-standins),
		figure.Of("background_cpu_percent", 100*background),
	)
	r.Ratios = append(r.Ratios,
		figure.AtMost("client_cpu_ratio", figure.Ratio(tier-standins, netHTTP-standins), maxCostRatio),
		figure.Of("total_cpu_ratio", figure.Ratio(tier, netHTTP)),
	)
	return []scenario.Arm{{Name: "net_http", Figures: []scenario.Figure{
		figure.Of("calls", ms.http.calls()),
		figure.Of("total_cpu_us_per_call", netHTTP),
		figure.Of("client_cpu_us_per_call", netHTTP-standins),
	}}, {Name: "raw", Figures: []scenario.Figure{
		figure.Of("calls", ms.raw.calls()),
		figure.Of("total_cpu_us_per_call", raw),
		figure.Of("client_cpu_us_per_call", echo/2),
		figure.Of("standin_cpu_us_per_call", standins),
		figure.Of("echo_total_cpu_us_per_call", echo),
	}}}
}
