package gateway

import (
	"maps"
	"slices"

	"egrethaven/internal/back/limitshare"
)

// updateLimits updates the number of VMs among which limits of searchers are divided.
// The lock is held.
func (v *storeView) updateLimits() {
	d := limitshare.Divider{VM: v.c.Self.ID, VMs: slices.Collect(maps.Keys(v.vms)), Count: v.vmCounter.Current}
	if _, registered := v.vms[v.c.Self.ID]; !registered {
		d.VMs = append(d.VMs, v.c.Self.ID)
	}
	if !v.vmCountTrusted {
		d.Count = v.countedVMs
	}
	v.limits.Store(&d)
}

// limitShare returns this VM's part of the requests a second that a searcher accepts
// from all VMs. The lock need not be held.
func (v *storeView) limitShare(searcher string, perSecond float64) float64 {
	return v.limits.Load().Rate(searcher, perSecond)
}
