// Package faultinjection injects faults into a running load and measures three
// phases: a window before the fault, five seconds in which the tier has to
// recover, and a window after that. All arms are under load during the fault.
//
// # Usage
//
//	res := faultinjection.Run(ctx, faultinjection.Config{Arms: as, Rate: 100, Window: 5 * time.Second, Faults: fs})
//	res.FillReport(&report)
package faultinjection

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"egrethaven/internal/bench/arm"
	"egrethaven/internal/bench/figure"
	"egrethaven/internal/bench/interleave"
	"egrethaven/internal/bench/sample"
	"egrethaven/internal/bench/scenario"
)

const (
	// warmUp is the duration of the load before the measurement.
	warmUp = 3 * time.Second
	// recoveryTime is how long the tail latency may be higher after the fault.
	recoveryTime = 5 * time.Second
	// maxTailRatio is the target for the p99 after the recovery time relative to
	// the p99 before the fault.
	maxTailRatio = 1.25
)

// Fault is an event to inject during a run.
type Fault struct {
	// Delay from the end of the first window to the fault.
	Delay       time.Duration
	Description string
	Inject      func()
}

// Config describes a run.
type Config struct {
	Arms *arm.Arms
	// Rate of arrivals per second for each arm.
	Rate float64
	// Window is the duration of the first and of the last phase.
	Window time.Duration
	Faults []Fault
	Seed   uint64
}

// Result gives access to the samples of a run by phase.
type Result struct {
	c      Config
	start  time.Time
	events []scenario.Event
}

// Run loads the arms and injects the faults. It returns when the load ends.
func Run(ctx context.Context, c Config) *Result {
	r := &Result{c: c}
	d := interleave.Config{Rate: c.Rate, Duration: warmUp, Random: rand.New(rand.NewPCG(c.Seed, 5))}
	c.Arms.RunByArrival(ctx, d)
	c.Arms.Reset()
	r.start = time.Now()
	var wg sync.WaitGroup
	wg.Go(func() { r.injectFaults(ctx) })
	d.Duration = 2*c.Window + recoveryTime
	c.Arms.RunByArrival(ctx, d)
	wg.Wait()
	return r
}

// injectFaults injects each fault after its delay, unless ctx ends first.
func (r *Result) injectFaults(ctx context.Context) {
	for _, f := range r.c.Faults {
		select {
		case <-time.After(time.Until(r.start.Add(r.c.Window + f.Delay))):
		case <-ctx.Done():
			return
		}
		f.Inject()
		r.events = append(r.events, scenario.Event{Second: time.Since(r.start).Seconds(), What: f.Description})
	}
}

// FillReport sets the arms and the timeline of a report and appends the notes.
func (r *Result) FillReport(report *scenario.Report) {
	report.Arms = r.ArmReports()
	report.Timeline = r.events
	report.Notes = append(report.Notes, r.c.Arms.Notes()...)
}

// Before returns the samples that were due before the fault.
func (r *Result) Before(s *sample.Set) *sample.Set {
	return s.Between(r.start, r.start.Add(r.c.Window))
}

// During returns the samples that were due in the recovery time.
func (r *Result) During(s *sample.Set) *sample.Set {
	return s.Between(r.start.Add(r.c.Window), r.start.Add(r.c.Window+recoveryTime))
}

// After returns the samples that were due after the recovery time.
func (r *Result) After(s *sample.Set) *sample.Set {
	return s.Between(r.start.Add(r.c.Window+recoveryTime), r.start.Add(2*r.c.Window+recoveryTime))
}

// ArmReports returns the arms with their figures for each phase.
func (r *Result) ArmReports() []scenario.Arm {
	rs := r.c.Arms.Report()
	for i, a := range r.c.Arms.All() {
		rs[i].Figures = append(rs[i].Figures, r.figures(a.Samples, i == 0)...)
		rs[i].Series = []scenario.Series{
			{Name: "p99_ms", Points: a.Samples.TimeSeries(r.start, time.Second, func(s *sample.Set) float64 { return s.QuantileMS(0.99) })},
			{Name: "complete_share", Points: a.Samples.TimeSeries(r.start, time.Second, func(s *sample.Set) float64 { return s.Totals().CompleteShare() })},
		}
	}
	return rs
}

// figures returns the figures of each phase, and the ratio of the p99 after
// the fault to that before. Only the current policy has a target.
func (r *Result) figures(s *sample.Set, current bool) []scenario.Figure {
	var fs []scenario.Figure
	for _, p := range []struct {
		name    string
		samples *sample.Set
	}{{"before", r.Before(s)}, {"during", r.During(s)}, {"after", r.After(s)}} {
		fs = append(fs,
			figure.Of("p99_ms_"+p.name, p.samples.QuantileMS(0.99)),
			figure.Of("complete_share_"+p.name, p.samples.Totals().CompleteShare()))
	}
	ratio := figure.Of("p99_after_over_before", figure.Ratio(r.After(s).QuantileMS(0.99), r.Before(s).QuantileMS(0.99)))
	if current {
		ratio = figure.AtMost(ratio.Name, ratio.Value, maxTailRatio)
	}
	return append(fs, ratio)
}
