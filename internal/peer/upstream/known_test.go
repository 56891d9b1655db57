package upstream

import (
	"math"
	"testing"
	"time"

	"egrethaven/internal/infra/boottime"
)

// TestRelayClaimsTheFuture: a relay that says to know the changes of the future, or
// that they are known since before any clock, must not make the copy young for ever.
func TestRelayClaimsTheFuture(t *testing.T) {
	calledAt := boottime.Now().Add(-200 * time.Millisecond)
	for said, want := range map[int64]time.Duration{
		math.MaxInt64: 0, 10_000: 0, 100: 100 * time.Millisecond, 0: 200 * time.Millisecond, -1500: 1700 * time.Millisecond,
		math.MinInt64: time.Hour + 200*time.Millisecond,
	} {
		got := relayKnownAt(calledAt, said).Age()
		if got < want || got > want+10*time.Second || want == 0 && got < 0 {
			t.Errorf("known_ms %d: age %s, want %s", said, got, want)
		}
	}
}
