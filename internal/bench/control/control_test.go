package control_test

import (
	"context"
	"encoding/json"
	"os"
	"testing"
	"time"

	"egrethaven/internal/bench/control"
	"egrethaven/internal/bench/scenario"
)

// TestScenario runs small fleets.
func TestScenario(t *testing.T) {
	o := scenario.Options{Nodes: 24, Seed: 1, Duration: time.Second}
	if os.Getenv("TRY") != "" {
		o = scenario.Options{Seed: 1, Baseline: os.Getenv("TRY_BASELINE")}
	}
	r, err := control.Scenario.Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Arms) < 4 {
		t.Errorf("%d arms", len(r.Arms))
	}
	b, _ := json.Marshal(r)
	t.Log(string(b))
}
