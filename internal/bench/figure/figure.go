// Package figure creates and reads the figures of reports.
//
// # Usage
//
//	fs := []scenario.Figure{figure.Of("p50_ms", 12), figure.AtMost("extra_load", x, 0.02)}
package figure

import "egrethaven/internal/bench/scenario"

// Of returns a figure without a target.
func Of(name string, v float64) scenario.Figure {
	return scenario.Figure{Name: name, Value: v}
}

// AtMost returns a figure whose target is an upper bound.
func AtMost(name string, v, target float64) scenario.Figure {
	return scenario.Figure{Name: name, Value: v, Target: &target}
}

// AtLeast returns a figure whose target is a lower bound.
func AtLeast(name string, v, target float64) scenario.Figure {
	return scenario.Figure{Name: name, Value: v, Target: &target, AtLeast: true}
}

// Met reports whether a figure meets its target. It is true without a target.
func Met(f scenario.Figure) bool {
	switch {
	case f.Target == nil:
		return true
	case f.AtLeast:
		return f.Value >= *f.Target
	}
	return f.Value <= *f.Target
}

// Ratio returns a/b, or 0 when b is 0.
func Ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// Find returns the value of an arm's figure by name; false if there is none.
func Find(a scenario.Arm, name string) (float64, bool) {
	for _, f := range a.Figures {
		if f.Name == name {
			return f.Value, true
		}
	}
	return 0, false
}
