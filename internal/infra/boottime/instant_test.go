package boottime

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestSuspended checks that the time of a suspension, during which only the boot
// clock goes on, counts.
func TestSuspended(t *testing.T) {
	before := Now()
	after := Instant{steady: before.steady.Add(time.Second), boot: before.boot + 9*time.Second}
	if d := after.Sub(before); d != 9*time.Second {
		t.Errorf("%s passed, want 9s", d)
	}
}

// TestFakeClock checks that durations follow the fake clock of a test.
func TestFakeClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := Now().Add(-time.Second)
		time.Sleep(time.Hour)
		if d := i.Age(); d < time.Hour+time.Second || d > time.Hour+time.Minute {
			t.Errorf("age %s, want about 1h0m1s", d)
		}
	})
}

func TestZeroIsOldest(t *testing.T) {
	var i Instant
	if i.Add(time.Hour).Age() != maxAge || !i.IsZero() {
		t.Errorf("age %s of the zero Instant", i.Age())
	}
}
