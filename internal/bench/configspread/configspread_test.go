package configspread_test

import (
	"context"
	"encoding/json"
	"os"
	"strconv"
	"testing"

	"egrethaven/internal/bench/configspread"
	"egrethaven/internal/bench/scenario"
)

// TestScenario runs a small fleet.
func TestScenario(t *testing.T) {
	n := 24
	if s := os.Getenv("TRY_NODES"); s != "" {
		n, _ = strconv.Atoi(s)
	}
	r, err := configspread.Scenario.Run(context.Background(), scenario.Options{Nodes: n, Seed: 1, Baseline: os.Getenv("TRY_BASELINE")})
	if err != nil {
		t.Fatal(err)
	}
	for i := range r.Arms {
		if r.Arms[i].Wrong.Total() > 0 {
			t.Errorf("%s: %+v", r.Arms[i].Name, r.Arms[i].Wrong)
		}
		r.Arms[i].LatencyMS = nil
	}
	b, _ := json.Marshal(r)
	t.Log(string(b))
}
