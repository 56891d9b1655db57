// Package sample collects the answers of one arm of an experiment and computes
// its figures: latency from when each query was due, coverage, calls, outcomes,
// and the wrong answers that the oracle of the stand-ins finds.
//
// # Usage
//
//	s := sample.New()
//	s.Add(sample.Sample{Due: due, Ended: time.Now(), Query: q, Answer: a})
//	wrong, notes := s.Check(truth, definition)
//	arm := scenario.Arm{Figures: s.Figures(), Wrong: wrong}
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

// The range of histograms, in microseconds, and their precision.
const (
	minLatencyUS      = 1
	maxLatencyUS      = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Sample is one query and its answer. Due is when the query was scheduled.
type Sample struct {
	Due    time.Time
	Ended  time.Time
	Query  ask.Query
	Answer ask.Answer
}

// Refused reports whether the query was not run.
func (s Sample) Refused() bool { return s.Answer.Outcome.Kind == outcome.KindNotRun }

// Set holds the samples of one arm. It is safe for concurrent use.
type Set struct {
	mu      sync.Mutex
	samples []Sample
}

// New returns an empty set.
func New() *Set { return &Set{} }

// Add adds a sample.
func (s *Set) Add(x Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples = append(s.samples, x)
}

// Between returns the samples that were due from one time until before another.
func (s *Set) Between(from, to time.Time) *Set {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := New()
	for _, x := range s.samples {
		if !x.Due.Before(from) && x.Due.Before(to) {
			o.samples = append(o.samples, x)
		}
	}
	return o
}

// Filter returns the samples that match.
func (s *Set) Filter(match func(Sample) bool) *Set {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := New()
	for _, x := range s.samples {
		if match(x) {
			o.samples = append(o.samples, x)
		}
	}
	return o
}

// FirstDue returns the earliest due time; zero if there is no sample.
func (s *Set) FirstDue() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var first time.Time
	for _, x := range s.samples {
		if first.IsZero() || x.Due.Before(first) {
			first = x.Due
		}
	}
	return first
}

// Len returns the number of samples.
func (s *Set) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.samples)
}

// histogram returns the latencies, in microseconds, of the queries that ran.
func (s *Set) histogram() *hdrhistogram.Histogram {
	h := hdrhistogram.New(minLatencyUS, maxLatencyUS, significantDigits)
	for _, x := range s.samples {
		if !x.Refused() {
			// Latencies above maxLatencyUS exceed any deadline.
			_ = h.RecordValue(min(x.Ended.Sub(x.Due).Microseconds(), maxLatencyUS))
		}
	}
	return h
}

// QuantileMS returns the latency in milliseconds at a quantile from 0 to 1.
func (s *Set) QuantileMS(q float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(s.histogram().ValueAtQuantile(q*100)) / 1000
}

// LatencyDistribution returns the latency in milliseconds by quantile, for
// plots.
func (s *Set) LatencyDistribution() []scenario.Point {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ps []scenario.Point
	for _, b := range s.histogram().CumulativeDistributionWithTicks(ticksPerHalfDistance) {
		ps = append(ps, scenario.Point{X: b.Quantile / 100, Y: float64(b.ValueAt) / 1000})
	}
	return ps
}

// ticksPerHalfDistance is the number of points for each halving of the distance
// to quantile 1.
const ticksPerHalfDistance = 5

// Totals are the sums over all samples.
type Totals struct {
	Queries, Refused, OK, Complete int
	Primaries, Hedges, Retries     int
	Restarts, Dropped              int
	Coverage                       float64
}

// Totals returns the sums over all samples.
func (s *Set) Totals() Totals {
	s.mu.Lock()
	defer s.mu.Unlock()
	var n Totals
	for _, x := range s.samples {
		n.Queries++
		if x.Refused() {
			n.Refused++
			continue
		}
		if x.Answer.Outcome.OK() {
			n.OK++
		}
		if x.Answer.Complete {
			n.Complete++
		}
		n.Coverage += x.Answer.Coverage.Fraction()
		n.Primaries += x.Answer.Cost.Primaries
		n.Hedges += x.Answer.Cost.Hedges
		n.Retries += x.Answer.Cost.Retries
		n.Restarts += x.Answer.Cost.Restarts
		n.Dropped += x.Answer.Cost.Dropped
	}
	return n
}

// Calls returns the number of calls to searchers.
func (n Totals) Calls() int { return n.Primaries + n.Hedges + n.Retries }

// CompleteShare returns the fraction of complete answers among the queries that
// ran.
func (n Totals) CompleteShare() float64 {
	return figure.Ratio(float64(n.Complete), float64(n.Queries-n.Refused))
}

// ExtraLoad returns the hedges and retries as a fraction of the primary calls.
func (n Totals) ExtraLoad() float64 {
	return figure.Ratio(float64(n.Hedges+n.Retries), float64(n.Primaries))
}

// Figures returns the figures common to all scenarios.
func (s *Set) Figures() []scenario.Figure {
	n := s.Totals()
	ran := float64(n.Queries - n.Refused)
	return []scenario.Figure{
		figure.Of("queries", float64(n.Queries)),
		figure.Of("p50_ms", s.QuantileMS(0.5)),
		figure.Of("p99_ms", s.QuantileMS(0.99)),
		figure.Of("p999_ms", s.QuantileMS(0.999)),
		figure.Of("coverage", figure.Ratio(n.Coverage, ran)),
		figure.Of("complete_share", n.CompleteShare()),
		figure.Of("extra_load", n.ExtraLoad()),
		figure.Of("refused_share", figure.Ratio(float64(n.Refused), float64(n.Queries))),
		figure.Of("restarts", float64(n.Restarts)),
		figure.Of("dropped_answers", float64(n.Dropped)),
	}
}

// TimeSeries returns a value for each step since start that has samples, for
// plots. X is in seconds.
func (s *Set) TimeSeries(start time.Time, step time.Duration, value func(*Set) float64) []scenario.Point {
	var ps []scenario.Point
	for at, remaining := start, s.Len(); remaining > 0; at = at.Add(step) {
		window := s.Between(at, at.Add(step))
		remaining -= window.Len()
		if window.Len() > 0 {
			ps = append(ps, scenario.Point{X: at.Sub(start).Seconds(), Y: value(window)})
		}
		if at.Sub(start) > maxTimeSeries {
			break
		}
	}
	return ps
}

// maxTimeSeries bounds the duration of a time series.
const maxTimeSeries = 10 * time.Minute

// Check checks every answer against the oracle. It returns the number of wrong
// answers by kind, and descriptions of the first maxNotes faults.
func (s *Set) Check(truth *dataset.GroundTruth, d search.Definition) (scenario.WrongAnswers, []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var w scenario.WrongAnswers
	var notes []string
	for _, x := range s.samples {
		kinds := map[dataset.ViolationKind]bool{}
		for _, f := range truth.CheckAnswer(x.Query, d, x.Answer) {
			kinds[f.Kind] = true
			if len(notes) < maxNotes {
				notes = append(notes, x.Query.QueryID+": "+string(f.Kind)+": "+f.Detail)
			}
		}
		addKinds(&w, kinds)
	}
	return w, notes
}

// maxNotes bounds the number of faults that Check describes.
const maxNotes = 5

// addKinds counts one answer once for each kind of fault that it has.
func addKinds(w *scenario.WrongAnswers, kinds map[dataset.ViolationKind]bool) {
	for k := range kinds {
		switch k {
		case dataset.MixedSnapshots:
			w.MixedSnapshots++
		case dataset.FalseCompleteness:
			w.FalseCompleteness++
		case dataset.ForeignAnswer:
			w.ForeignAnswers++
		case dataset.FalseNotRun:
			w.FalseNotRun++
		}
	}
}
