package gateway

import (
	"testing"
	"time"

	"egrethaven/internal/observe/event"
	"egrethaven/internal/state/vmregistry"
)

// TestBatchDelay checks the pause between two watches. Without a relay it grows
// with the number of VMs, up to a share of the catch-up time; otherwise it is the
// minimum.
func TestBatchDelay(t *testing.T) {
	for vms, want := range map[int]time.Duration{
		8: 250 * time.Millisecond, 25: 250 * time.Millisecond, 91: 910 * time.Millisecond, 300: time.Second, 1000: time.Second,
	} {
		v := newStoreView(storeViewConfig{Self: vmregistry.VM{ID: "a", PeerAddr: "127.0.0.1:1"}, CatchUp: 4 * time.Second, Events: event.Discard{}})
		v.countedVMs, v.vmCountTrusted = vms, true
		if got := v.batchDelay(true); got != minBatchDelay {
			t.Errorf("%d VMs, this one is a relay: %s, want the minimum", vms, got)
		}
		v.relayAddrs.Store(&[]string{"127.0.0.1:2"})
		if got := v.batchDelay(false); got != minBatchDelay {
			t.Errorf("%d VMs, the last answer came from a relay: %s, want the minimum", vms, got)
		}
		if got := v.batchDelay(true); got != want {
			t.Errorf("%d VMs: %s, want %s", vms, got, want)
		}
	}
}
