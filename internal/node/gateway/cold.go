package gateway

import (
	"time"

	"egrethaven/internal/back/instance"
	"egrethaven/internal/state/registry"
)

// coldStartWait is how long after this VM was first seen in the store it sends nothing to
// cold searchers whose service limits that. Within 3 s all other VMs count this one, and
// instance.ColdWindow later what they sent before does not count any more. Nor does what a
// previous process of this VM sent.
const coldStartWait = 3*time.Second + instance.ColdWindow

// SetColdBound changes the limit on requests to cold searchers.
func (v *storeView) SetColdBound(overage, slack float64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.c.ColdOverage, v.c.ColdSlack = overage, slack
	v.rebuild(time.Now())
}

// noteRegistration records that this VM was seen in the store. The lock is held.
func (v *storeView) noteRegistration(now time.Time) {
	if _, ok := v.vms[v.c.Self.ID]; ok && v.registeredAt.IsZero() {
		v.registeredAt = now
	}
}

// coldShareChange returns when this VM may send to cold searchers; zero if that is not known
// or it may now. The lock is held.
func (v *storeView) coldShareChange(now time.Time) time.Time {
	if at := v.registeredAt.Add(coldStartWait); !v.registeredAt.IsZero() && now.Before(at) {
		return at
	}
	return time.Time{}
}

// coldShare returns the number of requests that this VM may send to a searcher in any second
// while that is cold, of all that the VMs together may; a negative number if there is no
// limit. The lock is held.
func (v *storeView) coldShare(now time.Time, s registry.Searcher) int {
	perSecond := v.config.Services[s.Service].ColdPerSecond
	switch {
	case perSecond <= 0:
		return -1
	case !v.vmCountTrusted || v.registeredAt.IsZero() || now.Before(v.registeredAt.Add(coldStartWait)):
		return 0
	}
	return v.limits.Load().Whole(s.ID, int(perSecond*v.c.ColdOverage+v.c.ColdSlack))
}
