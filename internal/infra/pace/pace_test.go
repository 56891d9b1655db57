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
		p := pace.New(pace.Config{Slice: time.Millisecond, PauseFactor: 10, MaxPause: 45 * time.Millisecond})
		for _, c := range []struct{ work, pause time.Duration }{{500, 0}, {500, 10_000}, {50_000, 20_000}, {1000, 10_000}, {1000, 5000}, {1000, 0}} {
			time.Sleep(c.work * time.Microsecond)
			before := time.Now()
			if p.Step(); time.Since(before) != c.pause*time.Microsecond {
				t.Errorf("paused for %s, want %s", time.Since(before), c.pause*time.Microsecond)
			}
		}
	})
}
