package configsyncmodel_test

import (
	"testing"

	"egrethaven/internal/proof/configsyncmodel"
)

// TestHolds visits all states of a few instances.
func TestHolds(t *testing.T) {
	for _, c := range []configsyncmodel.Config{
		{Nodes: 2, Restarts: 2}, {Nodes: 3, Restarts: 1}, {Nodes: 3, Restarts: 1, ExpectRevision: 1},
	} {
		r := configsyncmodel.Check(c)
		if r.Violation != "" {
			t.Fatalf("%+v: %s after %q", c, r.Violation, r.Steps)
		}
		if r.States < 5000 {
			t.Errorf("%+v: only %d states", c, r.States)
		}
		t.Logf("%+v: %d states", c, r.States)
	}
}

// TestEachGuardIsNeeded takes one guard away at a time; each time something
// has to break.
func TestEachGuardIsNeeded(t *testing.T) {
	for name, c := range map[string]configsyncmodel.Config{
		"order":      {NoOrderCheck: true},
		"compare":    {NoCompareAndSwap: true},
		"change id":  {NoChangeID: true},
		"fresh read": {NoFreshnessCheck: true},
	} {
		c.Nodes, c.Restarts = 2, 1
		r := configsyncmodel.Check(c)
		if r.Violation == "" {
			t.Errorf("nothing breaks without %s", name)
		}
		t.Logf("without %s: %s after %q", name, r.Violation, r.Steps)
	}
}
