package clock_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "egrethaven/internal/proof/fixedseed"

	"egrethaven/internal/observe/clock"
	"egrethaven/internal/observe/event"
)

// TestOrder runs two processes whose wall clocks jump, and holds that each
// stamp is above all that its process returned or observed before.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wall := []time.Time{time.UnixMilli(1000), time.UnixMilli(1000)}
		var clocks []*clock.Clock
		for i := range wall {
			clocks = append(clocks, clock.New(clock.Config{Now: func() time.Time { return wall[i] }}))
		}
		seen := make([]event.Stamp, 2)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, 1).Draw(t, "process")
			wall[i] = wall[i].Add(time.Duration(rapid.IntRange(-90_000, 90_000).Draw(t, "ms")) * time.Millisecond)
			s := clocks[i].Stamp()
			if clock.Compare(s, seen[i]) <= 0 || s.WallMS < wall[i].UnixMilli() {
				t.Fatalf("%v after %v at %v", s, seen[i], wall[i])
			}
			seen[i] = s
			far := s.WallMS > wall[1-i].Add(clock.MaxAhead).UnixMilli()
			if took := clocks[1-i].Observe(s); took == far {
				t.Fatalf("took %v, far %v", took, far)
			} else if took && clock.Compare(s, seen[1-i]) > 0 {
				seen[1-i] = s
			}
		}
	})
}
