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

// side is one arm's processor time and fan-outs.
type side struct {
	meter cpu.Meter
	spent time.Duration
	wall  time.Duration
	fans  atomic.Int64
}

// begin starts a turn. The garbage of the turn before is not to be paid here.
func (s *side) begin() {
	runtime.GC()
	s.meter = cpu.Start()
}

func (s *side) end() {
	spent, wall := s.meter.Stop()
	s.spent += spent
	s.wall += wall
}

// perSecond is the processor time for each second of the clock.
func (s *side) perSecond() float64 { return s.spent.Seconds() / s.wall.Seconds() }

// perCall is the processor time for each call beyond the background's, in
// microseconds.
func (s *side) perCall(back, calls float64) float64 {
	return (s.spent.Seconds() - back*s.wall.Seconds()) / calls * 1e6
}

// calls is the number of calls of a plain side.
func (s *side) calls() float64 { return float64(s.fans.Load() * shards) }

// sides are all arms of the experiment.
type sides struct {
	rig                         *testbed.Testbed
	list                        *arm.Arms
	idle, tier, http, raw, echo side
	plainHTTP                   *plain.HTTP
	plainRaw, rawEcho           *plain.Raw
	server                      *plain.Echo
	failed                      atomic.Int64
}

// answerBody is the size of the echo's answers, in bytes; that of a searcher
// with a hit is about the same.
const answerBody = 400

// newSides prepares the plain clients for a rig's searchers.
func newSides(g *testbed.Testbed, as *arm.Arms) (*sides, error) {
	ss := &sides{rig: g, list: as}
	c := plain.Config{Version: 1, Text: "w1.", Limit: 20, DeadlineMS: deadline.Milliseconds()}
	for _, s := range as.Current().Node.Shards(1) {
		p := plain.Shard{Range: s.Range}
		for _, b := range s.Replicas {
			p.Addrs = append(p.Addrs, b.VM().Addr)
		}
		c.Shards = append(c.Shards, p)
	}
	var err error
	if ss.plainHTTP, err = plain.NewHTTP(c); err != nil {
		return nil, errors.Trace(err)
	}
	if ss.plainRaw, err = plain.NewRaw(c); err != nil {
		return nil, errors.Trace(err)
	}
	if ss.server, err = plain.NewEcho(answerBody); err != nil {
		return nil, errors.Trace(err)
	}
	for i := range c.Shards {
		c.Shards[i].Addrs = []string{ss.server.Addr()}
	}
	ss.rawEcho, err = plain.NewRaw(c)
	return ss, errors.Trace(err)
}

// arms returns the sides as the load sees them.
func (ss *sides) arms() []interleave.Arm {
	plainArm := func(s *side, fan func(context.Context) error) interleave.Arm {
		return interleave.Arm{Begin: s.begin, End: s.end, Do: func(ctx context.Context, _ time.Time) {
			s.fans.Add(1)
			if err := fan(ctx); err != nil {
				ss.failed.Add(1)
			}
		}}
	}
	nothing := func(context.Context, time.Time) {}
	return []interleave.Arm{
		{Do: nothing, Begin: ss.idle.begin, End: ss.idle.end},
		{Begin: ss.tier.begin, End: ss.tier.end, Do: ss.list.AskCurrent},
		plainArm(&ss.http, ss.plainHTTP.Fan),
		plainArm(&ss.raw, ss.plainRaw.Fan),
		plainArm(&ss.echo, ss.rawEcho.Fan),
	}
}

// reset forgets what was measured so far.
func (ss *sides) reset() {
	for _, s := range []*side{&ss.idle, &ss.tier, &ss.http, &ss.raw, &ss.echo} {
		s.spent, s.wall = 0, 0
		s.fans.Store(0)
	}
}

func (ss *sides) close() {
	ss.plainHTTP.Close()
	ss.plainRaw.Close()
	ss.rawEcho.Close()
	ss.server.Close()
}
