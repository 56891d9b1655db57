package vmregistry_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "egrethaven/internal/proof/fixedseed"
	"egrethaven/internal/state/vmregistry"
)

// TestRelays checks in random deployments that each failure domain has at most two
// relays, that these are relays in their own view, too, and that no VM with a higher
// link bandwidth is left out.
func TestRelays(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		vms := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) vmregistry.VM {
			return vmregistry.VM{ID: fmt.Sprint("front-", rapid.IntRange(0, 1<<20).Draw(rt, "id")), Domain: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "domain"),
				PeerAddr: rapid.SampledFrom([]string{"", "127.0.0.1:1"}).Draw(rt, "peers"), LinkMbps: float64(rapid.SampledFrom([]int{14, 140}).Draw(rt, "link"))}
		}), 1, 40).Draw(rt, "vms")
		slices.SortFunc(vms, func(a, b vmregistry.VM) int { return len(a.ID) - len(b.ID) })
		vms = slices.CompactFunc(vms, func(a, b vmregistry.VM) bool { return a.ID == b.ID })
		for _, self := range vms {
			relays := vmregistry.SelectRelays(vms, self)
			for _, r := range relays {
				if r.Domain != self.Domain || r.PeerAddr == "" || r.ID == self.ID {
					rt.Fatalf("%+v uses the relay %+v", self, r)
				}
				if len(vmregistry.SelectRelays(vms, r)) != 0 {
					rt.Fatalf("relay %s uses other relays", r.ID)
				}
			}
			for _, o := range vms {
				if len(relays) == 0 || o.Domain != self.Domain || o.PeerAddr == "" || slices.Contains(relays, o) {
					continue
				}
				for _, r := range relays {
					if r.LinkMbps < o.LinkMbps {
						rt.Fatalf("%+v is a relay instead of %+v with a higher bandwidth", r, o)
					}
				}
			}
			if len(relays) > 2 {
				rt.Fatalf("%d relays, want at most 2", len(relays))
			}
		}
	})
}

// TestDecode checks that Decode returns an encoded registration, and an error for
// invalid values.
func TestDecode(t *testing.T) {
	v := vmregistry.VM{ID: "front-1", Domain: "sapporo", PeerAddr: "10.1.0.39:7740", LinkMbps: 14}
	if got, err := vmregistry.Decode("front-1", v.Encode()); err != nil || got != v {
		t.Errorf("%+v, %v", got, err)
	}
	for _, bad := range []string{"", "sapporo", `{"peers":"front-1:7740"}`, `{"domain":7}`} {
		if v, err := vmregistry.Decode("x", []byte(bad)); err == nil {
			t.Errorf("invalid value %q decoded as %+v", bad, v)
		}
	}
}
