// Package scenario defines the scenarios of the bench command and their reports.
//
// # Usage
//
//	var Steady = scenario.Scenario{Name: "steady", Help: "plain load", Run: run}
package scenario

import (
	"context"
	"time"
)

// Options are the options common to all scenarios.
type Options struct {
	// Seed of all random choices of the scenario.
	Seed uint64
	// Duration of the measured part of each arm.
	Duration time.Duration
	// Nodes is the number of nodes; 0 means the scenario's default.
	Nodes int
	// Replicas of each shard; 0 means the scenario's default.
	Replicas int
	// Rate of arrivals per second; 0 means the scenario's default.
	Rate float64
	// Baseline names a policy to compare with the current one; empty for none.
	Baseline string
}

// WrongAnswers counts the answers that the oracle of the stand-ins found wrong,
// by kind.
type WrongAnswers struct {
	MixedSnapshots    int `json:"mixed_snapshots"`
	FalseCompleteness int `json:"false_completeness"`
	ForeignAnswers    int `json:"foreign_answers"`
	DoubleRuns        int `json:"double_runs"`
	FalseNotRun       int `json:"false_not_run"`
	FalseOK           int `json:"false_ok"`
	Reverts           int `json:"reverts"`
}

// Total returns the number of wrong answers of all kinds.
func (w WrongAnswers) Total() int {
	return w.MixedSnapshots + w.FalseCompleteness + w.ForeignAnswers + w.DoubleRuns + w.FalseNotRun + w.FalseOK + w.Reverts
}

// Add returns the sums by kind.
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

// Figure is one measured value. Its name contains the unit, such as p99_ms.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	// Target is the upper bound of Value, or the lower bound if AtLeast is set;
	// nil if the figure has no target.
	Target  *float64 `json:"target,omitempty"`
	AtLeast bool     `json:"at_least,omitempty"`
}

// Arm is the result of one policy or deployment size in a scenario.
type Arm struct {
	Name    string       `json:"name"`
	Figures []Figure     `json:"figures"`
	Wrong   WrongAnswers `json:"wrong"`
	// LatencyMS is the latency in milliseconds (Y) by quantile (X), for plots.
	LatencyMS []Point `json:"latency_ms,omitempty"`
	// Series are values over time, or over another axis, for plots.
	Series []Series `json:"series,omitempty"`
}

// Series is a sequence of values, by default over the time of the run.
type Series struct {
	Name string `json:"name"`
	// Over names the X axis; empty means seconds since the start.
	Over   string  `json:"over,omitempty"`
	Points []Point `json:"points"`
}

// Event is a fault or another event during a run.
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

// Report is the result of a scenario.
type Report struct {
	Scenario string   `json:"scenario"`
	Seed     uint64   `json:"seed"`
	Arms     []Arm    `json:"arms"`
	Ratios   []Figure `json:"ratios,omitempty"`
	// Timeline lists the events of the run.
	Timeline []Event  `json:"timeline,omitempty"`
	Notes    []string `json:"notes,omitempty"`
}

// Scenario is an experiment that the bench command can run.
type Scenario struct {
	Name string
	Help string
	Run  func(ctx context.Context, o Options) (Report, error)
}
