package gateway

import (
	"testing"

	"pgregory.net/rapid"

	_ "egrethaven/internal/proof/fixedseed"
)

// TestConnectionsFitTwice holds the division of a searcher's connections: all
// VMs may open their most, and the kept ones of all VMs fit a second time
// beside those that a power loss left behind.
func TestConnectionsFitTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 100).Draw(t, "vms")
		accepts := rapid.IntRange(vms, 20*vms).Draw(t, "accepts")
		c := divide(accepts, vms)
		if c.Keep < 1 || c.Most < c.Keep || c.Most*vms > accepts {
			t.Fatalf("%+v of %d for each of %d VMs", c, accepts, vms)
		}
		if accepts > 5*vms/2 && 2*c.Keep*vms > accepts {
			t.Fatalf("%d kept by each of %d VMs do not fit twice into %d", c.Keep, vms, accepts)
		}
	})
}
