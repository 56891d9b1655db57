// Package limitshare divides the number of requests a second that a searcher accepts
// from all VMs together among the VMs.
//
// No VM asks another one: each computes its own part from the registered VMs. Parts
// below one request in minShare seconds would add up to a burst of one request from
// every VM, so in a large tier only some VMs send to a searcher with a low limit; which
// ones differs by searcher. The others may send a request now and then, from whose
// answer they learn when the limit ends.
//
// # Usage
//
//	d := limitshare.Divider{VM: "front-1", VMs: ids, Count: 9}
//	perSecond := d.Rate("i-7f3a91c2", 40)
package limitshare

import "github.com/cespare/xxhash/v2"

const (
	// minShare is the minimum part of a VM that shares a limit, in requests/s.
	minShare = 2.0 / 3
	// probeShare is the share of the limit that is divided among the VMs that do not
	// share it.
	probeShare = 0.1
	// minLimit is the lowest limit that is divided, in requests/s, so that a searcher
	// that accepts none is still asked when that ends.
	minLimit = 0.25
)

// Divider computes the part of one VM. It is immutable.
type Divider struct {
	// VM is the ID of this VM.
	VM string
	// VMs holds the IDs of the registered VMs.
	VMs []string
	// Count is the number of VMs, if that may be higher than the registered ones.
	Count int
}

// Rate returns the number of requests a second that this VM may send to a searcher
// that accepts limit requests a second from all VMs.
func (d Divider) Rate(searcher string, limit float64) float64 {
	limit = max(limit, minLimit)
	all := max(d.Count, len(d.VMs), 1)
	sharing := all
	if limit < minShare*float64(all) {
		sharing = max(1, int(limit/minShare))
	}
	switch {
	case sharing == all:
		return limit / float64(all)
	case d.rank(searcher) < sharing:
		return (1 - probeShare) * limit / float64(sharing)
	}
	return probeShare * limit / float64(all-sharing)
}

// rank returns the number of other VMs that come before this one for a searcher.
func (d Divider) rank(searcher string) int {
	own, n := hash(searcher, d.VM), 0
	for _, vm := range d.VMs {
		if h := hash(searcher, vm); h > own || h == own && vm < d.VM {
			n++
		}
	}
	return n
}

// hash returns the pseudo-random rank of a VM for a searcher.
func hash(searcher, vm string) uint64 { return xxhash.Sum64String(searcher + "\x00" + vm) }
