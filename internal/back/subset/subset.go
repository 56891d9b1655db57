// Package subset assigns each VM its share of the connections that searchers
// accept (client-side subsetting).
//
// Each VM computes its own share from the same inputs, without a coordinator. If
// a searcher accepts at least one connection from each VM, every VM keeps
// connections open to all searchers. In a larger tier a VM does so only to a
// subset of a service's searchers, often just one: those in its own failure domain
// first, then by rendezvous hashing of VM and searcher, which spreads the load
// evenly and changes few assignments when VMs or searchers come and go. It connects
// to the other searchers on demand. While the searchers known of a service accept
// fewer connections than there are VMs, as when most of them have yet to register,
// some VMs keep none.
//
// # Usage
//
//	a := subset.Assigner{VM: "front-1", Domain: "sapporo", VMs: 91}
//	conns := a.Assign(78, searchers)
package subset

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"egrethaven/internal/back/instance"
	"egrethaven/internal/state/registry"
)

const (
	// maxOpenFraction is the fraction of a searcher's connections that may be
	// open. The rest is reserved for VMs that are not counted yet.
	maxOpenFraction = 0.95
	// minOpenFraction is the fraction that stays open without requests. It is
	// below one half because connections of VMs that lost power stay open at the
	// searcher when the VMs reconnect.
	minOpenFraction = 0.48
	// maxKeptFraction is the fraction that may stay open where the searchers do not
	// accept one connection from each VM. VMs are chosen by hash, so their number
	// varies.
	maxKeptFraction = 0.8
	// maxMinOpen limits ConnLimits.MinOpen where a searcher accepts many.
	maxMinOpen = 3
)

// Assigner computes the assignment of one VM.
type Assigner struct {
	// VM is this VM's name, Domain its failure domain.
	VM     string
	Domain string
	// VMs is the number of VMs that share the searchers; 0 if not known yet.
	VMs int
}

// Assign returns this VM's connection limits for each searcher of one service.
// maxConns is the number of connections that a searcher accepts from all VMs
// together.
func (s Assigner) Assign(maxConns int, ss []registry.Searcher) []instance.ConnLimits {
	if s.VMs > 0 {
		perVM := float64(maxConns) / float64(s.VMs)
		if c := (instance.ConnLimits{MinOpen: int(minOpenFraction * perVM), MaxOpen: int(maxOpenFraction * perVM)}); c.MaxOpen >= 1 {
			c.MinOpen = min(max(c.MinOpen, 1), maxMinOpen)
			return slices.Repeat([]instance.ConnLimits{c}, len(ss))
		}
	}
	out := slices.Repeat([]instance.ConnLimits{{MinOpen: 0, MaxOpen: 1}}, len(ss))
	for _, n := range s.rank(ss)[:min(s.subsetSize(maxConns, ss), len(ss))] {
		out[n].MinOpen = 1
	}
	return out
}

// subsetSize returns the number of searchers to which connections stay open: at
// least 1, unless the searchers do not accept that many from all VMs.
func (s Assigner) subsetSize(maxConns int, ss []registry.Searcher) int {
	if s.VMs == 0 || len(ss) == 0 {
		return 1
	}
	perVM := float64(maxConns*len(ss)) / float64(s.VMs)
	if perVM*maxKeptFraction < s.position(ss[0].Service) {
		return 0
	}
	return max(int(minOpenFraction*perVM), 1)
}

// position returns this VM's place, from 0 to 1, in an order of all VMs that
// differs for each service.
func (s Assigner) position(service string) float64 {
	return float64(xxhash.Sum64String(s.VM+"\x00"+service)) / math.MaxUint64
}

// rank returns the indexes of the searchers in this VM's order of preference.
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

// distance returns 0 for a searcher in this VM's failure domain, else 1.
func (s Assigner) distance(x registry.Searcher) int {
	if x.Domain == s.Domain {
		return 0
	}
	return 1
}

// weight returns the rendezvous hash of this VM and a searcher.
func (s Assigner) weight(x registry.Searcher) uint64 {
	return xxhash.Sum64String(s.VM + "\x00" + x.ID)
}
