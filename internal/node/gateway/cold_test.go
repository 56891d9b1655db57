package gateway

import (
	"testing"
	"time"

	"egrethaven/internal/observe/event"
	"egrethaven/internal/state/registry"
	"egrethaven/internal/state/routing"
	"egrethaven/internal/state/vmregistry"
)

// TestColdShareOfNewVM: a VM that others do not count yet must send nothing to a cold
// searcher whose service limits that.
func TestColdShareOfNewVM(t *testing.T) {
	v := newStoreView(storeViewConfig{Self: vmregistry.VM{ID: "a"}, Events: event.Discard{}, ColdOverage: 1.5, ColdSlack: 5})
	v.config = &routing.Config{Services: map[string]routing.Service{"cold": {ColdPerSecond: 10}, "free": {}}}
	v.vmCounter.Current = 3
	now := time.Now()
	share := func(at time.Time, service string) int {
		v.noteRegistration(at)
		v.updateLimits()
		return v.coldShare(at, registry.Searcher{ID: "i", Service: service})
	}
	for _, id := range []string{"b", "c"} {
		v.vms[id] = vmregistry.VM{ID: id}
	}
	v.vmCountTrusted = true
	if n := share(now, "free"); n >= 0 {
		t.Errorf("without a limit: %d", n)
	}
	if n := share(now.Add(time.Hour), "cold"); n != 0 {
		t.Errorf("not registered: %d", n)
	}
	v.vms["a"] = vmregistry.VM{ID: "a"}
	if n := share(now, "cold"); n != 0 {
		t.Errorf("just registered: %d", n)
	}
	due := v.coldShareChange(now)
	if n := share(due.Add(-1), "cold"); n != 0 || due.Sub(now) != coldStartWait {
		t.Errorf("just before %s: %d", due.Sub(now), n)
	}
	if n := share(due, "cold"); n != 5 {
		t.Errorf("%d of 20 requests for one of 3 VMs, want 5", n)
	}
	if v.vmCountTrusted = false; share(due, "cold") != 0 {
		t.Error("a share of an untrusted number of VMs")
	}
}
