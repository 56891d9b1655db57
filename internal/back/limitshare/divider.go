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
//	requests := d.Whole("i-7f3a91c2", 35)
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

// vmMarginDivisor divides the number of VMs to give the number that may be missing in VMs,
// beside one.
const vmMarginDivisor = 10

// Whole returns the number of whole requests that this VM may send to a searcher of a number
// that all VMs together may send. The sum over all VMs is within that number also if each of
// them lacks another one, or a tenth of those that it has where the number is not low.
func (d Divider) Whole(searcher string, limit int) int {
	n := max(d.Count, len(d.VMs), 1)
	missing := 1 + n/vmMarginDivisor
	// No VM divides by less than the true number. Those whose rank is below the remainder
	// get one more; missing VMs lower a rank by their number at most, and those that are
	// counted but not listed may all come first.
	share, rest := limit/(n+missing), limit%(n+missing)
	if ahead := max(1, min(missing, rest/2)) + n - len(d.VMs); rest > ahead && d.rank(searcher) < rest-ahead {
		share++
	}
	return share
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
