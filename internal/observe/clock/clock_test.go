package clock_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "egrethaven/internal/proof/fixedseed"

	"egrethaven/internal/observe/clock"
	"egrethaven/internal/observe/event"
)

// TestStampsIncrease checks that, while the wall clocks of two processes jump, each
// timestamp is later than all that its process has returned or observed before.
func TestStampsIncrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wall := []time.Time{time.UnixMilli(1000), time.UnixMilli(1000)}
		var clocks []*clock.Clock
		for i := range wall {
			clocks = append(clocks, clock.New(clock.Config{Now: func() time.Time { return wall[i] }}))
		}
		latest := make([]event.Stamp, 2)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, 1).Draw(t, "process")
			wall[i] = wall[i].Add(time.Duration(rapid.IntRange(-90_000, 90_000).Draw(t, "ms")) * time.Millisecond)
			s := clocks[i].Stamp()
			if clock.Compare(s, latest[i]) <= 0 || s.WallMS < wall[i].UnixMilli() {
				t.Fatalf("stamp %v after %v at wall time %v", s, latest[i], wall[i])
			}
			latest[i] = s
			tooFar := s.WallMS > wall[1-i].Add(clock.MaxFutureOffset).UnixMilli()
			if accepted := clocks[1-i].Observe(s); accepted == tooFar {
				t.Fatalf("stamp accepted: %v, too far ahead: %v", accepted, tooFar)
			} else if accepted && clock.Compare(s, latest[1-i]) > 0 {
				latest[1-i] = s
			}
		}
	})
}
