package pace_test

import (
	"testing"
	"testing/synctest"
	"time"

	"egrethaven/internal/infra/pace"
)

// TestPauses guards against work without pauses, and against pauses without an end.
func TestPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, began := pace.New(pace.Config{Slice: time.Millisecond, PauseFactor: 10, MaxPause: 35 * time.Millisecond}), time.Now()
		worked := time.Duration(0)
		for range 20 {
			time.Sleep(500 * time.Microsecond)
			worked += 500 * time.Microsecond
			p.Step()
			if paused := time.Since(began) - worked; worked == 500*time.Microsecond && paused != 0 || worked == time.Millisecond && paused != 10*time.Millisecond {
				t.Fatalf("paused for %s in the first %s", paused, worked)
			}
		}
		if paused := time.Since(began) - worked; paused != 35*time.Millisecond {
			t.Errorf("paused for %s, want 35ms", paused)
		}
	})
}
