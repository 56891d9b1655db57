// Package scenario is the shape of one experiment of the bench tool.
//
// # Usage
//
//	var Steady = scenario.Scenario{Name: "steady", Help: "plain load", Run: run}
package scenario

import (
	"context"
	"time"
)

// Options are the choices that every scenario understands.
type Options struct {
	// Seed drives every random choice of the scenario.
	Seed uint64
	// Duration of the measured part of each arm.
	Duration time.Duration
	// Nodes is the number of nodes; 0 leaves it to the scenario.
	Nodes int
	// Replicas a shard; 0 leaves it to the scenario.
	Replicas int
	// Rate of arrivals in queries a second; 0 leaves it to the scenario.
	Rate float64
	// Baseline names a policy to run interleaved with the current one.
	Baseline string
}

// WrongAnswers counts answers that break a promise, by the oracle of the stand-ins.
type WrongAnswers struct {
	MixedSnapshots    int `json:"mixed_snapshots"`
	FalseCompleteness int `json:"false_completeness"`
	ForeignAnswers    int `json:"foreign_answers"`
	DoubleRuns        int `json:"double_runs"`
	FalseNotRun       int `json:"false_not_run"`
	FalseOK           int `json:"false_ok"`
	Reverts           int `json:"reverts"`
}

// Total is the number of wrong answers of every sort.
func (w WrongAnswers) Total() int {
	return w.MixedSnapshots + w.FalseCompleteness + w.ForeignAnswers + w.DoubleRuns + w.FalseNotRun + w.FalseOK + w.Reverts
}

// Add returns the sum of two counts.
func (w WrongAnswers) Add(o WrongAnswers) WrongAnswers {
	w.MixedSnapshots += o.MixedSnapshots
	w.FalseCompleteness += o.FalseCompleteness
	w.ForeignAnswers += o.ForeignAnswers
	w.DoubleRuns += o.DoubleRuns
	w.FalseNotRun += o.FalseNotRun
	w.FalseOK += o.FalseOK
	w.Reverts += o.Reverts
	return w
}

// Figure is one measured value with its unit in its name, such as p99_ms.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	// Target is what the figure was asked to be at most (or, if AtLeast, at
	// least); nil when nothing was asked.
	Target  *float64 `json:"target,omitempty"`
	AtLeast bool     `json:"at_least,omitempty"`
}

// Arm is one policy or size within a scenario.
type Arm struct {
	Name    string       `json:"name"`
	Figures []Figure     `json:"figures"`
	Wrong   WrongAnswers `json:"wrong"`
	// LatencyMS is a distribution for plots: quantile and milliseconds.
	LatencyMS []Point `json:"latency_ms,omitempty"`
	// Series are values over the seconds of the run, for plots.
	Series []Series `json:"series,omitempty"`
}

// Series is a value over the time of the run, or over something else.
type Series struct {
	Name string `json:"name"`
	// Over names X; empty is seconds since the start.
	Over   string  `json:"over,omitempty"`
	Points []Point `json:"points"`
}

// Event is something that happened in the course of a run.
type Event struct {
	// Second since the start of the run.
	Second float64 `json:"second"`
	What   string  `json:"what"`
}

// Point is one point of a plot.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Report is what a scenario measured.
type Report struct {
	Scenario string   `json:"scenario"`
	Seed     uint64   `json:"seed"`
	Arms     []Arm    `json:"arms"`
	Ratios   []Figure `json:"ratios,omitempty"`
	// Timeline of the run: faults and what was made of them.
	Timeline []Event  `json:"timeline,omitempty"`
	Notes    []string `json:"notes,omitempty"`
}

// Scenario is one experiment.
type Scenario struct {
	Name string
	Help string
	Run  func(ctx context.Context, o Options) (Report, error)
}
