package gateway

import (
	"testing"
	"time"
)

// TestCountFallsLate lets leases lapse and come back, and lets VMs go for
// good.
func TestCountFallsLate(t *testing.T) {
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	var c vmCount
	for _, x := range []struct {
		second           float64
		registered, want int
	}{
		{0, 91, 91},
		{1, 3, 91},  // the leases have lapsed
		{4, 90, 91}, // and are back, but for one
		{16, 90, 90},
		{17, 95, 95},
		{18, 60, 95},
		{20, 95, 95},
		{34, 60, 95}, // 60 have not lasted
		{49, 60, 60},
	} {
		if got := c.take(at(x.second), x.registered); got != x.want {
			t.Errorf("at %g s, %d registered: counted %d, want %d", x.second, x.registered, got, x.want)
		}
	}
	if !c.recheck().IsZero() {
		t.Error("a recheck is due without a reason")
	}
}
