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

// usage is the average resource usage of one node.
type usage struct {
	// cpuPercent is in percent of one core.
	cpuPercent, bytesPerSecond float64
}

// measureIdle returns the usage of a fleet over the duration d.
func measureIdle(ctx context.Context, f *peerfleet.Fleet, d time.Duration) usage {
	return measureDuring(f, func() { sleep(ctx, d) })
}

// measureDuring returns the usage of a fleet while work runs.
func measureDuring(f *peerfleet.Fleet, work func()) usage {
	n := float64(len(f.Nodes()))
	bytesBefore, meter := f.TrafficBytes(), cpu.Start()
	work()
	cpuTime, wall := meter.Stop()
	return usage{
		cpuPercent:     100 * cpuTime.Seconds() / wall.Seconds() / n,
		bytesPerSecond: float64(f.TrafficBytes()-bytesBefore) / wall.Seconds() / n,
	}
}

const bytesPerMB = 1 << 20

// memoryMB returns the heap and stacks in use after garbage collection, in MB.
func memoryMB() float64 {
	// A sync.Pool releases its objects only in the second collection.
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc+s.StackInuse) / bytesPerMB
}

// cost is the measured cost of a node at one fleet size.
type cost struct {
	nodes int
	// quiet is the usage without events, events with them at speedup.
	quiet    usage
	events   usage
	memoryMB float64
	// domainLoss is nil if the loss of a failure domain wasn't measured.
	domainLoss *domainLoss
}

// domainLoss is the cost of the loss of a whole failure domain.
type domainLoss struct {
	usage
	// detection is the time until all other nodes knew of the loss.
	detection time.Duration
	// peakBytesPerSecond is the maximum average per node over one second.
	peakBytesPerSecond float64
	// converged is false if detection exceeded targetDomainLossSeconds.
	converged bool
}

// designLoad returns the usage of one node at the event rate of designNodes.
func (c cost) designLoad() usage {
	return usage{
		cpuPercent:     c.quiet.cpuPercent + max(0, c.events.cpuPercent-c.quiet.cpuPercent)/speedup,
		bytesPerSecond: c.quiet.bytesPerSecond + max(0, c.events.bytesPerSecond-c.quiet.bytesPerSecond)/speedup,
	}
}

// measure measures a fleet of n nodes. baseMB is the memory without a fleet.
func measure(ctx context.Context, o scenario.Options, n int, withLoss bool, baseMB float64) (cost, error) {
	c := cost{nodes: n}
	f, err := peerfleet.New(peerfleet.Config{Nodes: n, Domains: domainCount, Seed: o.Seed})
	if err != nil {
		return c, err
	}
	defer f.Close()
	settleCtx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	if err := f.WaitConverged(settleCtx); err != nil {
		return c, err
	}
	f.WaitQuiet(settleCtx)
	c.quiet = measureIdle(ctx, f, o.Duration)
	c.memoryMB = (memoryMB() - baseMB) / float64(n)
	g := eventGenerator{f: f, seed: o.Seed}
	c.events = measureDuring(f, func() { err = g.run(ctx, o.Duration) })
	if err != nil || !withLoss {
		return c, err
	}
	f.WaitQuiet(settleCtx)
	c.domainLoss = loseDomain(ctx, f)
	return c, nil
}

// loseDomain removes a whole failure domain and waits until all nodes know, at most
// for targetDomainLossSeconds.
func loseDomain(ctx context.Context, f *peerfleet.Fleet) *domainLoss {
	var removed []*peerfleet.Node
	for _, n := range f.Nodes() {
		if n.VM.Domain == peerfleet.DomainName(2) {
			removed = append(removed, n)
		}
	}
	l := &domainLoss{}
	start := time.Now()
	f.Remove(ctx, false, removed...)
	l.usage = measureDuring(f, func() {
		for time.Since(start) < targetDomainLossSeconds*time.Second && ctx.Err() == nil {
			l.peakBytesPerSecond = max(l.peakBytesPerSecond, measureIdle(ctx, f, time.Second).bytesPerSecond)
			if l.converged = f.CountConverged() == len(f.Nodes()); l.converged {
				break
			}
		}
	})
	l.detection = time.Since(start)
	return l
}

func (c cost) arm(name string) scenario.Arm {
	design := c.designLoad()
	a := scenario.Arm{Name: name, Figures: []scenario.Figure{
		figure.Of("control_cpu_percent_quiet", c.quiet.cpuPercent),
		figure.Of("control_cpu_percent_hastened_events", c.events.cpuPercent),
		figure.AtMost("control_cpu_percent", design.cpuPercent, targetCPUPercent),
		figure.Of("control_bytes_per_second_quiet", c.quiet.bytesPerSecond),
		figure.Of("control_bytes_per_second_hastened_events", c.events.bytesPerSecond),
		figure.AtMost("control_bytes_per_second", design.bytesPerSecond, targetBytesPerSecond),
		figure.AtMost("memory_mb", c.memoryMB, targetMemoryMB),
	}}
	if c.domainLoss == nil {
		return a
	}
	converged := 0.0
	if c.domainLoss.converged {
		converged = 1
	}
	a.Figures = append(a.Figures,
		figure.AtMost("domain_lost_known_everywhere_s", c.domainLoss.detection.Seconds(), targetDomainLossSeconds),
		figure.AtLeast("domain_lost_all_agree", converged, 1),
		figure.Of("domain_lost_cpu_percent", c.domainLoss.cpuPercent),
		figure.Of("domain_lost_bytes_per_second", c.domainLoss.bytesPerSecond),
		figure.Of("domain_lost_peak_bytes_per_second", c.domainLoss.peakBytesPerSecond))
	return a
}
