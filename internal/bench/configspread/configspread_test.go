package configspread_test

import (
	"context"
	"testing"
	"time"

	"egrethaven/internal/bench/configspread"
	"egrethaven/internal/bench/figure"
	"egrethaven/internal/bench/scenario"
)

// TestScenario runs the scenario with small fleets. Every change must reach every
// node.
func TestScenario(t *testing.T) {
	r, err := configspread.Scenario.Run(context.Background(), scenario.Options{Nodes: 24, Seed: 1, Duration: 2 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Arms) != 4 {
		t.Errorf("got %d arms, want 4", len(r.Arms))
	}
	nodes := []float64{6, 12, 24, 24}
	for i, a := range r.Arms {
		missing, ok := figure.Find(a, "nodes_without_last_change")
		changes, _ := figure.Find(a, "changes")
		timed, _ := figure.Find(a, "in_force")
		if timed == 0 || timed != changes*nodes[i] {
			t.Errorf("arm %s: %v propagation times for %v changes", a.Name, timed, changes)
		}
		if a.Wrong.Total() > 0 || !ok || missing > 0 {
			t.Errorf("arm %s: violations %+v, %v nodes without the last change", a.Name, a.Wrong, missing)
		}
	}
}
