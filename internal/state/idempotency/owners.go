package idempotency

import (
	"sync"
	"time"

	"egrethaven/internal/infra/vm"
)

// skipTime is how long a member that did not answer is skipped.
const skipTime = time.Second

// probeTime is how long after that the member gets only one call per skipTime,
// as a probe.
const probeTime = time.Minute

// owners selects the owner of a bucket by rendezvous hashing.
type owners struct {
	self    string
	members Members

	mu sync.Mutex
	// skipUntil holds, by member ID, until when a member is skipped.
	skipUntil map[string]time.Time
}

func newOwners(self string, m Members) *owners {
	return &owners{self: self, members: m, skipUntil: map[string]time.Time{}}
}

// find returns the owner of a store key or prefix among the members that are
// not skipped, or false if it is this node.
func (o *owners) find(name string, now time.Time) (vm.VM, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	best, bestScore := vm.VM{ID: o.self}, rendezvousScore(o.self, name)
	for _, m := range o.members.Live() {
		if s := rendezvousScore(m.ID, name); s > bestScore && !now.Before(o.skipUntil[m.ID]) {
			best, bestScore = m, s
		}
	}
	if best.ID == o.self {
		return vm.VM{}, false
	}
	if _, ok := o.skipUntil[best.ID]; ok {
		// This call probes the member; others keep skipping it meanwhile.
		o.skipUntil[best.ID] = now.Add(skipTime)
	}
	return best, true
}

// markUnresponsive records that a member did not answer.
func (o *owners) markUnresponsive(id string, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for m, t := range o.skipUntil {
		// Members that left the fleet are forgotten.
		if now.Sub(t) > probeTime {
			delete(o.skipUntil, m)
		}
	}
	o.skipUntil[id] = now.Add(skipTime)
}

// markResponsive records that a member answered.
func (o *owners) markResponsive(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.skipUntil, id)
}
