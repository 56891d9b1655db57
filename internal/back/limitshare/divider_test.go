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
