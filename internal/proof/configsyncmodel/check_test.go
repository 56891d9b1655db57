package configsyncmodel_test

import (
	"testing"

	"egrethaven/internal/proof/configsyncmodel"
)

// TestInvariantsHold visits all states of three instances and expects no
// violation.
func TestInvariantsHold(t *testing.T) {
	for _, c := range []configsyncmodel.Config{
		{Nodes: 2, Restarts: 2}, {Nodes: 3, Restarts: 1}, {Nodes: 3, Restarts: 1, ExpectRevision: 1},
	} {
		r := configsyncmodel.Check(c)
		if r.Violation != "" {
			t.Fatalf("%+v: %s after %q", c, r.Violation, r.Steps)
		}
		if r.States < 5000 {
			t.Errorf("%+v: %d states, want at least 5000", c, r.States)
		}
		t.Logf("%+v: %d states", c, r.States)
	}
}

// TestEachGuardIsNeeded disables one guard at a time and expects a violation
// each time.
func TestEachGuardIsNeeded(t *testing.T) {
	for name, c := range map[string]configsyncmodel.Config{
		"order check":      {NoOrderCheck: true},
		"compare-and-swap": {NoCompareAndSwap: true},
		"change ID":        {NoChangeID: true},
		"freshness check":  {NoFreshnessCheck: true},
	} {
		c.Nodes, c.Restarts = 2, 1
		r := configsyncmodel.Check(c)
		if r.Violation == "" {
			t.Errorf("no violation without %s", name)
		}
		t.Logf("without %s: %s after %q", name, r.Violation, r.Steps)
	}
}
