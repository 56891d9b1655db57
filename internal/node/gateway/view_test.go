package gateway

import (
	"testing"
	"time"

	"egrethaven/internal/observe/event"
	"egrethaven/internal/state/vmregistry"
)

// TestGather holds how long changes of the store are collected: where no relay
// answers, as long in a larger tier as its calls need, never so long that they
// take effect late; otherwise for a moment, whatever the size.
func TestGather(t *testing.T) {
	for vms, want := range map[int]time.Duration{
		8: 250 * time.Millisecond, 25: 250 * time.Millisecond, 91: 910 * time.Millisecond, 300: time.Second, 1000: time.Second,
	} {
		v := newView(viewConfig{Self: vmregistry.VM{ID: "a", PeerAddr: "127.0.0.1:1"}, CatchUp: 4 * time.Second, Events: event.Discard{}})
		v.counted, v.settled = vms, true
		if got := v.gather(true); got != gatherLeast {
			t.Errorf("%d VMs, this one watches for others: %s", vms, got)
		}
		v.relayAddrs.Store(&[]string{"127.0.0.1:2"})
		if got := v.gather(false); got != gatherLeast {
			t.Errorf("%d VMs, followed through a relay: %s", vms, got)
		}
		if got := v.gather(true); got != want {
			t.Errorf("%d VMs: %s, want %s", vms, got, want)
		}
	}
}
