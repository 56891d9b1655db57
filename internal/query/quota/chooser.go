package quota

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"egrethaven/internal/infra/boottime"
)

const (
	// failedCooldown is how long a VM that failed is not tried; up to half of it is added as
	// jitter.
	failedCooldown = 2 * time.Second
	// startCooldown is failedCooldown of a VM that is starting: after the restart of all VMs
	// the first choice answers as soon as it is back.
	startCooldown = 200 * time.Millisecond
	// choiceLabel makes the rank of a VM differ from those for other purposes.
	choiceLabel = "quota coordinator\x00"
)

// Candidate is a VM that can coordinate quotas.
type Candidate struct {
	ID, Domain string
	// Addr is its address for other VMs.
	Addr string
	// LinkMbps is the bandwidth of its link, in Mbit/s.
	LinkMbps float64
}

// Chooser chooses a VM's coordinator. Most VMs choose the same one, but nothing depends on it.
// It is safe for concurrent use.
type Chooser struct {
	// self is the VM that chooses.
	self Candidate
	mu   sync.Mutex
	// failedUntil is when VMs that failed can be chosen again, by address.
	failedUntil map[string]boottime.Instant
}

// NewChooser returns a Chooser of a VM.
func NewChooser(self Candidate) *Chooser {
	return &Chooser{self: self, failedUntil: map[string]boottime.Instant{}}
}

// Fail records that a VM did not answer. starting reports whether the VM that chooses is.
func (c *Chooser) Fail(now boottime.Instant, addr string, starting bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := failedCooldown
	if starting {
		d = startCooldown
	}
	c.failedUntil[addr] = now.Add(d + rand.N(d/2))
}

// Choose returns the VM to use: the one with the widest link. If that one has failed, it is the
// first one of another failure domain, then the first one of this VM's own, then this VM. others
// are the other VMs.
func (c *Chooser) Choose(now boottime.Instant, others []Candidate) Candidate {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, until := range c.failedUntil {
		if !now.Before(until) {
			delete(c.failedUntil, addr)
		}
	}
	all := append([]Candidate{c.self}, others...)
	slices.SortFunc(all, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(rankOf(b), rankOf(a)), cmp.Compare(a.ID, b.ID))
	})
	first := all[0]
	elsewhere := slices.IndexFunc(all, func(v Candidate) bool { return v.Domain != first.Domain })
	near := slices.IndexFunc(all[1:], func(v Candidate) bool { return v.Domain == c.self.Domain }) + 1
	for _, i := range []int{0, elsewhere, near} {
		if i < 0 {
			continue
		}
		v := all[i]
		if _, failed := c.failedUntil[v.Addr]; !failed || v.ID == c.self.ID {
			return v
		}
	}
	return c.self
}

// rankOf returns the pseudo-random rank of a VM.
func rankOf(v Candidate) uint64 { return xxhash.Sum64String(choiceLabel + v.ID) }
