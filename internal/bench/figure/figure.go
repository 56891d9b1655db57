// Package figure makes figures of reports, with and without targets.
//
// # Usage
//
//	fs := []scenario.Figure{figure.Of("p50_ms", 12), figure.AtMost("extra_load", x, 0.02)}
package figure

import "egrethaven/internal/bench/scenario"

// Of is a figure that nothing was asked of.
func Of(name string, v float64) scenario.Figure {
	return scenario.Figure{Name: name, Value: v}
}

// AtMost is a figure with an upper bound.
func AtMost(name string, v, target float64) scenario.Figure {
	return scenario.Figure{Name: name, Value: v, Target: &target}
}

// AtLeast is a figure with a lower bound.
func AtLeast(name string, v, target float64) scenario.Figure {
	return scenario.Figure{Name: name, Value: v, Target: &target, AtLeast: true}
}

// Met tells whether a figure reaches its target.
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

// Find returns the value of a figure of an arm.
func Find(a scenario.Arm, name string) (float64, bool) {
	for _, f := range a.Figures {
		if f.Name == name {
			return f.Value, true
		}
	}
	return 0, false
}
