package steady

import (
	"context"
	"runtime"
	"sync/atomic"
	"time"

	"egrethaven/internal/bench/arm"
	"egrethaven/internal/bench/cpu"
	"egrethaven/internal/bench/interleave"
	"egrethaven/internal/bench/plain"
	"egrethaven/internal/bench/testbed"

	"github.com/juju/errors"
)

// meteredArm sums the CPU time and the fan-outs of one arm.
type meteredArm struct {
	measurement cpu.Meter
	cpuTime     time.Duration
	wallTime    time.Duration
	fanOuts     atomic.Int64
}

// begin starts a time slice. It collects garbage first, so that the slice does
// not pay for the previous one.
func (a *meteredArm) begin() {
	runtime.GC()
	a.measurement = cpu.Start()
}

func (a *meteredArm) end() {
	cpuTime, wallTime := a.measurement.Stop()
	a.cpuTime += cpuTime
	a.wallTime += wallTime
}

// cpuFraction returns the CPU time divided by the wall-clock time.
func (a *meteredArm) cpuFraction() float64 { return a.cpuTime.Seconds() / a.wallTime.Seconds() }

// cpuPerCallUS returns the CPU time per call in microseconds, less the background
// load, which is given as a CPU fraction.
func (a *meteredArm) cpuPerCallUS(background, calls float64) float64 {
	return (a.cpuTime.Seconds() - background*a.wallTime.Seconds()) / calls * 1e6
}

// calls returns the number of searcher calls of a plain arm.
func (a *meteredArm) calls() float64 { return float64(a.fanOuts.Load() * shards) }

// meteredArms holds all arms of the scenario and their clients.
type meteredArms struct {
	testbed                     *testbed.Testbed
	tierArms                    *arm.Arms
	idle, tier, http, raw, echo meteredArm
	plainHTTP                   *plain.HTTP
	plainRaw, rawEcho           *plain.Raw
	echoServer                  *plain.Echo
	failed                      atomic.Int64
}

// answerBodyBytes is the size of the echo server's answers, about that of a
// searcher's answer with one hit.
const answerBodyBytes = 400

// newMeteredArms creates the plain clients for the searchers of a testbed, and
// the echo server.
func newMeteredArms(t *testbed.Testbed, as *arm.Arms) (*meteredArms, error) {
	ms := &meteredArms{testbed: t, tierArms: as}
	c := plain.Config{Version: 1, Text: "w1.", Limit: 20, DeadlineMS: deadline.Milliseconds()}
	for _, s := range as.Current().Node.Shards(1) {
		p := plain.Shard{Range: s.Range}
		for _, b := range s.Replicas {
			p.Addrs = append(p.Addrs, b.VM().Addr)
		}
		c.Shards = append(c.Shards, p)
	}
	var err error
	if ms.plainHTTP, err = plain.NewHTTP(c); err != nil {
		return nil, errors.Trace(err)
	}
	if ms.plainRaw, err = plain.NewRaw(c); err != nil {
		return nil, errors.Trace(err)
	}
	if ms.echoServer, err = plain.NewEcho(answerBodyBytes); err != nil {
		return nil, errors.Trace(err)
	}
	for i := range c.Shards {
		c.Shards[i].Addrs = []string{ms.echoServer.Addr()}
	}
	ms.rawEcho, err = plain.NewRaw(c)
	return ms, errors.Trace(err)
}

// loads returns the arms for package interleave.
func (ms *meteredArms) loads() []interleave.Arm {
	plainArm := func(a *meteredArm, fanOut func(context.Context) error) interleave.Arm {
		return interleave.Arm{Begin: a.begin, End: a.end, Do: func(ctx context.Context, _ time.Time) {
			a.fanOuts.Add(1)
			if err := fanOut(ctx); err != nil {
				ms.failed.Add(1)
			}
		}}
	}
	noop := func(context.Context, time.Time) {}
	return []interleave.Arm{
		{Do: noop, Begin: ms.idle.begin, End: ms.idle.end},
		{Begin: ms.tier.begin, End: ms.tier.end, Do: ms.tierArms.AskCurrent},
		plainArm(&ms.http, ms.plainHTTP.Fan),
		plainArm(&ms.raw, ms.plainRaw.Fan),
		plainArm(&ms.echo, ms.rawEcho.Fan),
	}
}

// reset clears the measurements of all arms.
func (ms *meteredArms) reset() {
	for _, a := range []*meteredArm{&ms.idle, &ms.tier, &ms.http, &ms.raw, &ms.echo} {
		a.cpuTime, a.wallTime = 0, 0
		a.fanOuts.Store(0)
	}
}

func (ms *meteredArms) close() {
	ms.plainHTTP.Close()
	ms.plainRaw.Close()
	ms.rawEcho.Close()
	ms.echoServer.Close()
}
