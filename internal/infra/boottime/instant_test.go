package boottime

import (
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sys/unix"
)

// TestSuspended checks that the time of a suspension counts, in both directions.
func TestSuspended(t *testing.T) {
	before := Now()
	after := Instant{steady: before.steady.Add(time.Second), suspended: before.suspended + 8*time.Second}
	if d := after.Sub(before); d != 9*time.Second {
		t.Errorf("%s passed, want 9s", d)
	}
	if d := before.Sub(after); d != -9*time.Second {
		t.Errorf("%s passed, want -9s", d)
	}
}

// TestRealTimePasses: on a fake clock, real time that passed meanwhile was taken for a
// suspension, so that tests depended on the machine's speed.
func TestRealTimePasses(t *testing.T) {
	var i Instant
	synctest.Test(t, func(t *testing.T) {
		i = Now()
		end := suspendedTime() + read(unix.CLOCK_MONOTONIC)
		for read(unix.CLOCK_MONOTONIC)+suspendedTime() < end+200*time.Millisecond {
			// Fake time stands still while a goroutine runs.
		}
		if d := i.Age(); d != 0 {
			t.Errorf("age %s while the fake clock stood still", d)
		}
		time.Sleep(time.Hour)
		if d := i.Add(-time.Second).Age(); d != time.Hour+time.Second {
			t.Errorf("age %s, want 1h0m1s", d)
		}
	})
}

func TestZeroIsOldest(t *testing.T) {
	var i Instant
	if i.Add(time.Hour).Age() != maxAge || !i.IsZero() {
		t.Errorf("age %s of the zero Instant", i.Age())
	}
}
