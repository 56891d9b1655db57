package control_test

import (
	"context"
	"testing"
	"time"

	"egrethaven/internal/bench/control"
	"egrethaven/internal/bench/figure"
	"egrethaven/internal/bench/scenario"
)

// TestScenario runs the scenario with small fleets. Each fleet must have traffic,
// and all nodes must notice the loss of a failure domain.
func TestScenario(t *testing.T) {
	r, err := control.Scenario.Run(context.Background(), scenario.Options{Nodes: 24, Seed: 1, Duration: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Arms) != 4 {
		t.Fatalf("got %d arms, want 4", len(r.Arms))
	}
	for _, a := range r.Arms {
		if b, ok := figure.Find(a, "control_bytes_per_second"); !ok || b <= 0 {
			t.Errorf("arm %s: control_bytes_per_second is %v, want more than 0", a.Name, b)
		}
	}
	if v, ok := figure.Find(r.Arms[2], "domain_lost_all_agree"); !ok || v != 1 {
		t.Error("not all nodes noticed the loss of a failure domain")
	}
}
