package vmcount

import (
	"testing"
	"time"
)

// TestVMCountDecreasesLate checks the count when leases expire and are renewed,
// and when VMs leave permanently.
func TestVMCountDecreasesLate(t *testing.T) {
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	var c Counter
	for _, x := range []struct {
		second           float64
		registered, want int
	}{
		{0, 91, 91},
		{1, 3, 91},  // most leases have expired
		{4, 90, 91}, // all but one are renewed
		{16, 90, 90},
		{17, 95, 95},
		{18, 60, 95},
		{20, 95, 95},
		{34, 60, 95}, // 60 has lasted less than decreaseDelay
		{49, 60, 60},
	} {
		if got := c.Update(at(x.second), x.registered); got != x.want {
			t.Errorf("at %g s, %d registered: counted %d, want %d", x.second, x.registered, got, x.want)
		}
	}
	if !c.NextChange().IsZero() {
		t.Error("a change is pending, but the registered VMs are not below the count")
	}
}
