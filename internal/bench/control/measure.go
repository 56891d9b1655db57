package control

import (
	"context"
	"runtime"
	"time"

	"egrethaven/internal/bench/cpu"
	"egrethaven/internal/bench/figure"
	"egrethaven/internal/bench/peerfleet"
	"egrethaven/internal/bench/scenario"
)

// usage is what one node uses.
type usage struct {
	// cpu in percent of a core, bytes a second.
	cpu, bytes float64
}

// use measures a fleet for a while.
func use(ctx context.Context, f *peerfleet.Fleet, d time.Duration) usage {
	return during(f, func() { rest(ctx, d) })
}

// during measures a fleet while work runs.
func during(f *peerfleet.Fleet, work func()) usage {
	n := float64(len(f.Nodes()))
	bytes, m := f.TrafficBytes(), cpu.Start()
	work()
	spent, wall := m.Stop()
	return usage{
		cpu:   100 * spent.Seconds() / wall.Seconds() / n,
		bytes: float64(f.TrafficBytes()-bytes) / wall.Seconds() / n,
	}
}

// megabyte in bytes.
const megabyte = 1 << 20

// memory returns heap and stacks in use after collections, in megabytes.
func memory() float64 {
	// Pools let go of what they hold in the second collection.
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc+s.StackInuse) / megabyte
}

// cost is what was measured at one size.
type cost struct {
	nodes  int
	quiet  usage
	events usage
	memory float64
	// lost is set where the loss of a domain was tried.
	lost *loss
}

// loss is what the loss of a whole failure domain took.
type loss struct {
	usage
	// known is how long until all other nodes knew; peak is the most bytes a
	// second that a node used on average over one second.
	known time.Duration
	peak  float64
	// agreed is false when it took too long.
	agreed bool
}

// daily is what one node uses on a day of the design size.
func (c cost) daily() usage {
	return usage{
		cpu:   c.quiet.cpu + max(0, c.events.cpu-c.quiet.cpu)/haste,
		bytes: c.quiet.bytes + max(0, c.events.bytes-c.quiet.bytes)/haste,
	}
}

// measure runs a fleet; empty is the memory of the process without one.
func measure(ctx context.Context, o scenario.Options, n int, last bool, empty float64) (cost, error) {
	c := cost{nodes: n}
	f, err := peerfleet.New(peerfleet.Config{Nodes: n, Domains: domains, Seed: o.Seed})
	if err != nil {
		return c, err
	}
	defer f.Close()
	s, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	if err := f.WaitConverged(s); err != nil {
		return c, err
	}
	f.WaitQuiet(s)
	c.quiet = use(ctx, f, o.Duration)
	c.memory = (memory() - empty) / float64(n)
	e := events{f: f, seed: o.Seed}
	c.events = during(f, func() { err = e.run(ctx, o.Duration) })
	if err != nil || !last {
		return c, err
	}
	f.WaitQuiet(s)
	c.lost = lose(ctx, f)
	return c, nil
}

// lose takes a whole failure domain away.
func lose(ctx context.Context, f *peerfleet.Fleet) *loss {
	var gone []*peerfleet.Node
	for _, n := range f.Nodes() {
		if n.VM.Domain == peerfleet.DomainName(2) {
			gone = append(gone, n)
		}
	}
	l := &loss{}
	begin := time.Now()
	f.Remove(ctx, false, gone...)
	l.usage = during(f, func() {
		for time.Since(begin) < targetGone*time.Second && ctx.Err() == nil {
			l.peak = max(l.peak, use(ctx, f, time.Second).bytes)
			if l.agreed = f.CountConverged() == len(f.Nodes()); l.agreed {
				break
			}
		}
	})
	l.known = time.Since(begin)
	return l
}

func (c cost) arm(name string) scenario.Arm {
	d := c.daily()
	a := scenario.Arm{Name: name, Figures: []scenario.Figure{
		figure.Of("control_cpu_percent_quiet", c.quiet.cpu),
		figure.Of("control_cpu_percent_hastened_events", c.events.cpu),
		figure.AtMost("control_cpu_percent", d.cpu, targetCPU),
		figure.Of("control_bytes_per_second_quiet", c.quiet.bytes),
		figure.Of("control_bytes_per_second_hastened_events", c.events.bytes),
		figure.AtMost("control_bytes_per_second", d.bytes, targetBytes),
		figure.AtMost("memory_mb", c.memory, targetMemory),
	}}
	if c.lost == nil {
		return a
	}
	agreed := 0.0
	if c.lost.agreed {
		agreed = 1
	}
	a.Figures = append(a.Figures,
		figure.AtMost("domain_lost_known_everywhere_s", c.lost.known.Seconds(), targetGone),
		figure.AtLeast("domain_lost_all_agree", agreed, 1),
		figure.Of("domain_lost_cpu_percent", c.lost.cpu),
		figure.Of("domain_lost_bytes_per_second", c.lost.bytes),
		figure.Of("domain_lost_peak_bytes_per_second", c.lost.peak))
	return a
}
