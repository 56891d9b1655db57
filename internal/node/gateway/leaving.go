package gateway

import (
	"maps"
	"time"

	"egrethaven/internal/state/registry"
)

// leavingMemory is how long a searcher that said that it is about to stop is remembered.
// Its process ends within seconds.
const leavingMemory = 10 * time.Minute

// isLeaving reports whether the process of a registered searcher said that it is about to
// stop. The lock is held.
func (v *storeView) isLeaving(s registry.Searcher) bool {
	_, ok := v.leaving[processOf(s)]
	return ok
}

// markLeaving takes a searcher out of use that said that it is about to stop.
func (v *storeView) markLeaving(p process) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.closed {
		return
	}
	// A rebuild must not hold up the goroutine of the connection.
	v.wg.Go(func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		now := time.Now()
		maps.DeleteFunc(v.leaving, func(_ process, at time.Time) bool { return now.Sub(at) > leavingMemory })
		v.leaving[p] = now
		v.rebuild(now)
	})
}

// leavingCount returns the number of searchers that said that they are about to stop and
// are remembered.
func (v *storeView) leavingCount() float64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return float64(len(v.leaving))
}
