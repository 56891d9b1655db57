package gateway

import (
	"testing"
	"time"

	"egrethaven/internal/observe/event"
)

// TestGather holds how long changes of the store are collected: as long in a
// larger tier as its calls need, never so long that they take effect late.
func TestGather(t *testing.T) {
	for vms, want := range map[int]time.Duration{
		8: 250 * time.Millisecond, 25: 250 * time.Millisecond, 91: 910 * time.Millisecond, 300: time.Second, 1000: time.Second,
	} {
		v := newView(viewConfig{CatchUp: 4 * time.Second, Events: event.Discard{}})
		v.counted = vms
		if got := v.gather(); got != want {
			t.Errorf("%d VMs: %s, want %s", vms, got, want)
		}
	}
}
