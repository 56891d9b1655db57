package limitshare_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"egrethaven/internal/back/limitshare"
	_ "egrethaven/internal/proof/fixedseed"
)

// TestSharesAddUp checks that the parts of all VMs are within the limit, that none is
// zero, and that those of the VMs that share it are not so small that the first request
// of each of them exceeds it.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		vms := make([]string, rapid.IntRange(1, 300).Draw(rt, "vms"))
		for i := range vms {
			vms[i] = fmt.Sprint("vm-", i)
		}
		limit := rapid.Float64Range(0.25, 400).Draw(rt, "limit")
		count := rapid.SampledFrom([]int{0, 8, len(vms) + 3}).Draw(rt, "count")
		sum, sharing := 0.0, 0
		for _, vm := range vms {
			r := limitshare.Divider{VM: vm, VMs: vms, Count: count}.Rate("i-1", limit)
			if r <= 0 {
				rt.Fatalf("%s may never send", vm)
			}
			if r >= 0.5 {
				sharing++
			}
			sum += r
		}
		if sum > limit*1.0001 {
			rt.Fatalf("all VMs together may send %g/s of %g", sum, limit)
		}
		if float64(sharing) > max(1.5*limit, 1) && limit < float64(len(vms)) {
			rt.Fatalf("%d VMs share a limit of %g/s", sharing, limit)
		}
	})
}

// TestNoRequestsAccepted checks that a searcher that accepts no requests is asked now and
// then whether that has ended.
func TestNoRequestsAccepted(t *testing.T) {
	if r := (limitshare.Divider{VM: "a", VMs: []string{"a", "b"}}).Rate("i-1", 0); r <= 0 || r > 0.25 {
		t.Errorf("%g requests/s", r)
	}
}

// TestSharingVMsDiffer checks that not the same VMs share the limits of all searchers.
func TestSharingVMsDiffer(t *testing.T) {
	var vms []string
	for i := range 100 {
		vms = append(vms, fmt.Sprint("vm-", i))
	}
	shared := 0
	for i := range 200 {
		if (limitshare.Divider{VM: "vm-7", VMs: vms}).Rate(fmt.Sprint("i-", i), 10) > 0.5 {
			shared++
		}
	}
	if shared < 10 || shared > 60 {
		t.Errorf("vm-7 shares the limits of %d of 200 searchers, want about 30", shared)
	}
}

// TestWholeSharesAddUp checks that the whole requests of all VMs together are within the
// limit though their lists of VMs differ: each may lack one VM, and have others that are
// gone or only counted.
func TestWholeSharesAddUp(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		vms := make([]string, rapid.IntRange(1, 80).Draw(rt, "vms"))
		for i := range vms {
			vms[i] = fmt.Sprint("vm-", i)
		}
		limit, sum := rapid.IntRange(0, 300).Draw(rt, "limit"), 0
		for _, vm := range vms {
			var seen []string
			lacks, gone := rapid.IntRange(-1, len(vms)-1).Draw(rt, "lacks"), rapid.IntRange(0, 3).Draw(rt, "gone")
			for i, o := range vms {
				if i != lacks || o == vm {
					seen = append(seen, o)
				}
			}
			for i := range gone {
				seen = append(seen, fmt.Sprint("gone-", i))
			}
			d := limitshare.Divider{VM: vm, VMs: seen, Count: rapid.SampledFrom([]int{0, len(vms), len(vms) + 2}).Draw(rt, "count")}
			if rapid.IntRange(0, 9).Draw(rt, "only counted") == 0 {
				// The registrations of all VMs have lapsed at once.
				d.VMs, d.Count = []string{vm}, len(vms)
			}
			sum += d.Whole("i-1", limit)
		}
		if sum > limit {
			rt.Fatalf("all VMs together may send %d of %d", sum, limit)
		}
	})
}

// TestWholeSharesAreUsed checks that most of a limit is divided where all see the same VMs.
func TestWholeSharesAreUsed(t *testing.T) {
	for _, n := range []int{1, 3, 9, 30, 68} {
		var vms []string
		for i := range n {
			vms = append(vms, fmt.Sprint("vm-", i))
		}
		for _, limit := range []int{20, 35, 200} {
			sum := 0
			for _, vm := range vms {
				sum += limitshare.Divider{VM: vm, VMs: vms}.Whole("i-1", limit)
			}
			if want := (limit - 1 - n/10) * n / (n + 1 + n/10); sum < min(want, limit-2-n/10) {
				t.Errorf("%d VMs share %d of %d, want %d", n, sum, limit, want)
			}
		}
	}
}
