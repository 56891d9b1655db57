package once

import (
	"sync"
	"time"

	"egrethaven/internal/world/vm"
)

// avoidTime is how long an owner that did not answer is passed over.
const avoidTime = time.Second

// forgetTime is how long after that it is remembered as one to probe.
const forgetTime = time.Minute

// owners chooses the owner of a bucket.
type owners struct {
	self    string
	members Members

	mu sync.Mutex
	// avoid holds until when a member is passed over.
	avoid map[string]time.Time
}

func newOwners(self string, m Members) *owners {
	return &owners{self: self, members: m, avoid: map[string]time.Time{}}
}

// of returns the owner of a bucket among the members that answer; it is
// false when that is this node.
func (o *owners) of(name string, now time.Time) (vm.VM, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	best, top := vm.VM{ID: o.self}, rank(o.self, name)
	for _, m := range o.members.Live() {
		if r := rank(m.ID, name); r > top && !now.Before(o.avoid[m.ID]) {
			best, top = m, r
		}
	}
	if best.ID == o.self {
		return vm.VM{}, false
	}
	if _, ok := o.avoid[best.ID]; ok {
		// This caller probes it; the others go on passing it over.
		o.avoid[best.ID] = now.Add(avoidTime)
	}
	return best, true
}

// lost notes that a member did not answer.
func (o *owners) lost(id string, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for k, t := range o.avoid {
		// Members come and go; those long gone are forgotten.
		if now.Sub(t) > forgetTime {
			delete(o.avoid, k)
		}
	}
	o.avoid[id] = now.Add(avoidTime)
}

// back notes that a member answered.
func (o *owners) back(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.avoid, id)
}
