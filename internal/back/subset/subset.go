// Package subset divides the connections that searchers accept among the VMs
// of the tier.
//
// Each VM computes its own part from the same inputs, without a coordinator.
// While a searcher accepts at least one connection of each VM, every VM keeps
// some to all searchers. In a larger tier a VM keeps connections to a part of
// the searchers of a service only, often to one: the one in its own failure
// domain first, then those that rank highest by a hash of VM and searcher, so
// that the choices of all VMs are spread evenly and move little when VMs or
// searchers come and go. To the others it connects when a request needs them.
//
// # Usage
//
//	s := subset.Subset{VM: "front-1", Domain: "sapporo", VMs: 91}
//	conns := s.Divide(78, searchers)
package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"egrethaven/internal/back/instance"
	"egrethaven/internal/state/registry"
)

const (
	// mostShare is the part of a searcher's connections that may be open. The
	// rest is for VMs that are not counted yet.
	mostShare = 0.95
	// keepShare is the part that is kept open. Twice as many have to fit: when
	// VMs lose power, their connections stay open at the searcher.
	keepShare = 0.48
	// maxKept bounds the kept connections where a searcher accepts many.
	maxKept = 3
)

// Assigner is what one VM bases its part on.
type Assigner struct {
	// VM and Domain name this VM and its failure domain.
	VM     string
	Domain string
	// VMs is how many VMs share the searchers; 0 if that is not known yet.
	VMs int
}

// Assign returns, for each of the searchers of one service, the connections of
// this VM. accepts is how many each searcher takes from all VMs.
func (s Assigner) Assign(accepts int, ss []registry.Searcher) []instance.ConnLimits {
	if s.VMs > 0 {
		each := float64(accepts) / float64(s.VMs)
		if c := (instance.ConnLimits{MinOpen: int(keepShare * each), MaxOpen: int(mostShare * each)}); c.MaxOpen >= 1 {
			c.MinOpen = min(max(c.MinOpen, 1), maxKept)
			return slices.Repeat([]instance.ConnLimits{c}, len(ss))
		}
	}
	out := slices.Repeat([]instance.ConnLimits{{MinOpen: 0, MaxOpen: 1}}, len(ss))
	for _, n := range s.rank(ss)[:min(s.kept(accepts, len(ss)), len(ss))] {
		out[n].MinOpen = 1
	}
	return out
}

// kept is to how many searchers of a service connections are kept open.
func (s Assigner) kept(accepts, searchers int) int {
	if s.VMs == 0 {
		return 1
	}
	return max(int(keepShare*float64(accepts*searchers)/float64(s.VMs)), 1)
}

// rank returns the indexes of the searchers, the first choice of this VM
// first.
func (s Assigner) rank(ss []registry.Searcher) []int {
	ns := make([]int, len(ss))
	for n := range ns {
		ns[n] = n
	}
	slices.SortFunc(ns, func(a, b int) int {
		x, y := ss[a], ss[b]
		return cmp.Or(s.distance(x)-s.distance(y), cmp.Compare(s.weight(y), s.weight(x)), cmp.Compare(x.ID, y.ID))
	})
	return ns
}

// distance is 0 for a searcher in this VM's failure domain, else 1.
func (s Assigner) distance(x registry.Searcher) int {
	if x.Domain == s.Domain {
		return 0
	}
	return 1
}

// weight orders searchers at the same distance, for each VM in its own way.
func (s Assigner) weight(x registry.Searcher) uint64 {
	return xxhash.Sum64String(s.VM + "\x00" + x.ID)
}
