package gateway

import (
	"strings"

	"egrethaven/internal/state/follow"
)

// isEvacuation reports whether an entry evacuates a failure domain.
func (v *storeView) isEvacuation(c follow.Change) bool {
	p := v.c.Decode.EvacuationPrefix
	return p != "" && strings.HasPrefix(c.Key, p)
}

// applyEvacuation applies a change to such an entry. Its value says nothing. The lock is
// held.
func (v *storeView) applyEvacuation(c follow.Change) {
	domain := strings.TrimPrefix(c.Key, v.c.Decode.EvacuationPrefix)
	if c.Deleted {
		v.evacuated.Remove(domain)
		return
	}
	v.evacuated.Add(domain)
}

// evacuatedCount returns the number of evacuated failure domains.
func (v *storeView) evacuatedCount() float64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return float64(v.evacuated.Len())
}
