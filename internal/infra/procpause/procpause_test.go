package procpause

import (
	"testing"
	"time"
)

// TestRunningSince guards against a pause that is not noticed by who asks before the next tick,
// and against short delays that count as pauses.
func TestRunningSince(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	d := New()
	for _, c := range []struct {
		tick bool
		now  int
		want time.Time
	}{
		{false, 0, time.Time{}}, {true, 0, time.Time{}}, {true, 50, time.Time{}}, {true, 180, time.Time{}},
		{false, 1180, at(1180)}, {true, 1190, at(1190)}, {false, 1200, at(1190)}, {true, 1240, at(1190)}, {false, 1300, at(1190)},
	} {
		if c.tick {
			d.tick(at(c.now))
		}
		if got := d.RunningSince(at(c.now)); !got.Equal(c.want) {
			t.Errorf("after %d ms: running since %s, want %s", c.now, got, c.want)
		}
	}
}
