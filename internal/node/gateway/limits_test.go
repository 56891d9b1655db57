package gateway

import (
	"testing"

	"egrethaven/internal/observe/event"
	"egrethaven/internal/state/vmregistry"
)

// TestNewVMTakesWholeLimit: a VM that was not registered yet did not count itself, and
// took as much of a limit as each of the others.
func TestNewVMTakesWholeLimit(t *testing.T) {
	v := newStoreView(storeViewConfig{Self: vmregistry.VM{ID: "new"}, Events: event.Discard{}})
	v.vms["other"] = vmregistry.VM{ID: "other"}
	v.vmCounter.Current, v.vmCountTrusted = 1, true
	v.updateLimits()
	if got := v.limitShare("i-1", 10); got != 5 {
		t.Errorf("part of a limit of 10: %g, want 5", got)
	}
	v.vmCountTrusted, v.countedVMs = false, minVMCount
	v.updateLimits()
	if got := v.limitShare("i-1", 10); got != 10.0/minVMCount {
		t.Errorf("part while the number of VMs is not known: %g, want %g", got, 10.0/minVMCount)
	}
}
