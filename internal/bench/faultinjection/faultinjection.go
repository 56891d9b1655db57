// Package faultinjection runs a load through a fault: a window before it, five
// seconds in which the tier has to recover, and a window after that. All arms
// meet the same fault at the same time.
//
// # Usage
//
//	e := episode.Run(ctx, faultinjection.Config{Arms: as, Rate: 100, Window: 5 * time.Second, Faults: fs})
//	report.Arms = e.Report()
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
	// settle is the load before anything is measured.
	settle = 3 * time.Second
	// recovery is the time after the fault in which the tail may be longer.
	recovery = 5 * time.Second
	// tailTarget is the most that the tail may grow for good.
	tailTarget = 1.25
)

// Fault is something that happens in the course of an episode.
type Fault struct {
	// Delay the end of the window before.
	Delay       time.Duration
	Description string
	Inject      func()
}

// Config describes an episode.
type Config struct {
	Arms *arm.Arms
	// Rate of arrivals a second for each arm.
	Rate float64
	// Window is measured before the fault, and after the recovery.
	Window time.Duration
	Faults []Fault
	Seed   uint64
}

// Result is one that has run.
type Result struct {
	c     Config
	start time.Time
	marks []scenario.Event
}

// Run loads the arms through the faults.
func Run(ctx context.Context, c Config) *Result {
	e := &Result{c: c}
	d := interleave.Config{Rate: c.Rate, Duration: settle, Random: rand.New(rand.NewPCG(c.Seed, 5))}
	c.Arms.RunByArrival(ctx, d)
	c.Arms.Reset()
	e.start = time.Now()
	var wg sync.WaitGroup
	wg.Go(func() { e.faults(ctx) })
	d.Duration = 2*c.Window + recovery
	c.Arms.RunByArrival(ctx, d)
	wg.Wait()
	return e
}

// faults lets the faults happen at their times.
func (e *Result) faults(ctx context.Context) {
	for _, f := range e.c.Faults {
		select {
		case <-time.After(time.Until(e.start.Add(e.c.Window + f.Delay))):
		case <-ctx.Done():
			return
		}
		f.Inject()
		e.marks = append(e.marks, scenario.Event{Second: time.Since(e.start).Seconds(), What: f.Description})
	}
}

// FillReport puts what was measured into a report.
func (e *Result) FillReport(r *scenario.Report) {
	r.Arms = e.ArmReports()
	r.Timeline = e.marks
	r.Notes = append(r.Notes, e.c.Arms.Notes()...)
}

// Before returns the part of a tally that was due before the fault.
func (e *Result) Before(t *sample.Set) *sample.Set {
	return t.Between(e.start, e.start.Add(e.c.Window))
}

// During returns the part that was due in the time of recovery.
func (e *Result) During(t *sample.Set) *sample.Set {
	return t.Between(e.start.Add(e.c.Window), e.start.Add(e.c.Window+recovery))
}

// After returns the part that was due after the recovery.
func (e *Result) After(t *sample.Set) *sample.Set {
	return t.Between(e.start.Add(e.c.Window+recovery), e.start.Add(2*e.c.Window+recovery))
}

// ArmReports returns the arms with their figures in each part of the episode.
func (e *Result) ArmReports() []scenario.Arm {
	rs := e.c.Arms.Report()
	for i, a := range e.c.Arms.All() {
		rs[i].Figures = append(rs[i].Figures, e.figures(a.Samples, i == 0)...)
		rs[i].Series = []scenario.Series{
			{Name: "p99_ms", Points: a.Samples.TimeSeries(e.start, time.Second, func(t *sample.Set) float64 { return t.QuantileMS(0.99) })},
			{Name: "complete_share", Points: a.Samples.TimeSeries(e.start, time.Second, func(t *sample.Set) float64 { return t.Totals().CompleteShare() })},
		}
	}
	return rs
}

// figures compares the parts; the first arm has targets.
func (e *Result) figures(t *sample.Set, asked bool) []scenario.Figure {
	var fs []scenario.Figure
	for _, p := range []struct {
		name string
		t    *sample.Set
	}{{"before", e.Before(t)}, {"during", e.During(t)}, {"after", e.After(t)}} {
		fs = append(fs,
			figure.Of("p99_ms_"+p.name, p.t.QuantileMS(0.99)),
			figure.Of("complete_share_"+p.name, p.t.Totals().CompleteShare()))
	}
	r := figure.Of("p99_after_over_before", figure.Ratio(e.After(t).QuantileMS(0.99), e.Before(t).QuantileMS(0.99)))
	if asked {
		r = figure.AtMost(r.Name, r.Value, tailTarget)
	}
	return append(fs, r)
}
