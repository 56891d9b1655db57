// Package sample collects the answers of one arm of an experiment: latencies
// from when each question was due, coverage, calls, outcomes, and what the
// oracle of the stand-ins has to say of each answer.
//
// # Usage
//
//	t := sample.New()
//	t.Add(sample.Sample{Due: due, Ended: time.Now(), Ask: a, Answer: ans})
//	arm := scenario.Arm{Figures: t.Figures(), Wrong: t.Check(truth, definition)}
package sample

import (
	"sync"
	"time"

	"egrethaven/internal/bench/figure"
	"egrethaven/internal/bench/scenario"
	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/standin/dataset"
	"egrethaven/internal/state/search"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range and precision of histograms, in microseconds.
const (
	lowestUS  = 1
	highestUS = int64(10 * time.Minute / time.Microsecond)
	digits    = 3
)

// Sample is one question and its answer.
type Sample struct {
	Due    time.Time
	Ended  time.Time
	Query  ask.Query
	Answer ask.Answer
}

// Refused tells whether the question did not run.
func (s Sample) Refused() bool { return s.Answer.Outcome.Kind == outcome.KindNotRun }

// Set holds the samples of one arm. It is safe for use by many goroutines.
type Set struct {
	mu      sync.Mutex
	samples []Sample
}

// New returns an empty tally.
func New() *Set { return &Set{} }

// Add takes a sample.
func (t *Set) Add(s Sample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.samples = append(t.samples, s)
}

// Between returns the samples that were due from one time to another.
func (t *Set) Between(from, to time.Time) *Set {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := New()
	for _, s := range t.samples {
		if !s.Due.Before(from) && s.Due.Before(to) {
			o.samples = append(o.samples, s)
		}
	}
	return o
}

// Filter returns the samples that f selects.
func (t *Set) Filter(f func(Sample) bool) *Set {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := New()
	for _, s := range t.samples {
		if f(s) {
			o.samples = append(o.samples, s)
		}
	}
	return o
}

// FirstDue returns when the first question was due.
func (t *Set) FirstDue() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	var first time.Time
	for _, s := range t.samples {
		if first.IsZero() || s.Due.Before(first) {
			first = s.Due
		}
	}
	return first
}

// Len returns the number of samples.
func (t *Set) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.samples)
}

// histogram returns the latencies of the questions that ran, in microseconds.
func (t *Set) histogram() *hdrhistogram.Histogram {
	h := hdrhistogram.New(lowestUS, highestUS, digits)
	for _, s := range t.samples {
		if !s.Refused() {
			// Past the highest value is out of any deadline.
			_ = h.RecordValue(min(s.Ended.Sub(s.Due).Microseconds(), highestUS))
		}
	}
	return h
}

// QuantileMS returns a quantile of the latency, in milliseconds.
func (t *Set) QuantileMS(q float64) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(t.histogram().ValueAtQuantile(q*100)) / 1000
}

// LatencyDistribution returns the latency at each quantile, for plots.
func (t *Set) LatencyDistribution() []scenario.Point {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ps []scenario.Point
	for _, b := range t.histogram().CumulativeDistributionWithTicks(ticksPerHalfDistance) {
		ps = append(ps, scenario.Point{X: b.Quantile / 100, Y: float64(b.ValueAt) / 1000})
	}
	return ps
}

// ticksPerHalfDistance is the density of a distribution's points.
const ticksPerHalfDistance = 5

// Totals are the sums over all samples.
type Totals struct {
	Queries, Refused, OK, Complete int
	Primaries, Hedges, Retries     int
	Restarts, Dropped              int
	Coverage                       float64
}

// Totals returns the sums over all samples.
func (t *Set) Totals() Totals {
	t.mu.Lock()
	defer t.mu.Unlock()
	var n Totals
	for _, s := range t.samples {
		n.Queries++
		if s.Refused() {
			n.Refused++
			continue
		}
		if s.Answer.Outcome.OK() {
			n.OK++
		}
		if s.Answer.Complete {
			n.Complete++
		}
		n.Coverage += s.Answer.Coverage.Fraction()
		n.Primaries += s.Answer.Cost.Primaries
		n.Hedges += s.Answer.Cost.Hedges
		n.Retries += s.Answer.Cost.Retries
		n.Restarts += s.Answer.Cost.Restarts
		n.Dropped += s.Answer.Cost.Dropped
	}
	return n
}

// Calls is the number of calls to searchers.
func (n Totals) Calls() int { return n.Primaries + n.Hedges + n.Retries }

// CompleteShare is the share of complete answers among the questions that
// ran.
func (n Totals) CompleteShare() float64 {
	return figure.Ratio(float64(n.Complete), float64(n.Queries-n.Refused))
}

// ExtraLoad is the number of calls beyond the primaries for each primary.
func (n Totals) ExtraLoad() float64 {
	return figure.Ratio(float64(n.Hedges+n.Retries), float64(n.Primaries))
}

// Figures returns what every scenario reports.
func (t *Set) Figures() []scenario.Figure {
	n := t.Totals()
	ran := float64(n.Queries - n.Refused)
	return []scenario.Figure{
		figure.Of("queries", float64(n.Queries)),
		figure.Of("p50_ms", t.QuantileMS(0.5)),
		figure.Of("p99_ms", t.QuantileMS(0.99)),
		figure.Of("p999_ms", t.QuantileMS(0.999)),
		figure.Of("coverage", figure.Ratio(n.Coverage, ran)),
		figure.Of("complete_share", n.CompleteShare()),
		figure.Of("extra_load", n.ExtraLoad()),
		figure.Of("refused_share", figure.Ratio(float64(n.Refused), float64(n.Queries))),
		figure.Of("restarts", float64(n.Restarts)),
		figure.Of("dropped_answers", float64(n.Dropped)),
	}
}

// TimeSeries returns a value for each step of time since start, for plots.
func (t *Set) TimeSeries(start time.Time, step time.Duration, value func(*Set) float64) []scenario.Point {
	var ps []scenario.Point
	for at, left := start, t.Len(); left > 0; at = at.Add(step) {
		w := t.Between(at, at.Add(step))
		left -= w.Len()
		if w.Len() > 0 {
			ps = append(ps, scenario.Point{X: at.Sub(start).Seconds(), Y: value(w)})
		}
		if at.Sub(start) > mostTime {
			break
		}
	}
	return ps
}

// mostTime bounds the length of a time line.
const mostTime = 10 * time.Minute

// Check asks the oracle about every answer. It returns the counts and a few
// of the faults in words.
func (t *Set) Check(truth *dataset.Truth, d search.Definition) (scenario.WrongAnswers, []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var w scenario.WrongAnswers
	var notes []string
	for _, s := range t.samples {
		kinds := map[dataset.FaultKind]bool{}
		for _, f := range truth.Check(s.Query, d, s.Answer) {
			kinds[f.Kind] = true
			if len(notes) < mostNotes {
				notes = append(notes, s.Query.QueryID+": "+string(f.Kind)+": "+f.Detail)
			}
		}
		count(&w, kinds)
	}
	return w, notes
}

// mostNotes bounds the faults that are told in words.
const mostNotes = 5

// count adds the faults of one answer, each kind once.
func count(w *scenario.WrongAnswers, kinds map[dataset.FaultKind]bool) {
	for k := range kinds {
		switch k {
		case dataset.Mixed:
			w.MixedSnapshots++
		case dataset.FalseComplete:
			w.FalseCompleteness++
		case dataset.Foreign:
			w.ForeignAnswers++
		case dataset.FalseNotRun:
			w.FalseNotRun++
		}
	}
}
