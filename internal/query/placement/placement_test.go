package placement_test

import (
	"testing"
	"time"

	"egrethaven/internal/query/placement"
)

// TestLastAttemptGoesToReliable guards against a last permitted attempt at a near searcher
// that loses some answers, while one without failures has to be connected to first.
func TestLastAttemptGoesToReliable(t *testing.T) {
	near := placement.Candidate{Local: true, Slots: 4, Conns: 1, MedianLatency: 10 * time.Millisecond, SlowdownFactor: 1, FailureRate: 0.1}
	reliable := placement.Candidate{Slots: 4, Conns: 1, MedianLatency: 10 * time.Millisecond, SlowdownFactor: 1, NoConn: true}
	first := func(int) int { return 0 }
	if n := placement.Choose([]placement.Candidate{near, reliable}, first); n != 0 {
		t.Errorf("first attempt: chose %d, want the near searcher", n)
	}
	near.LastAttempt, reliable.LastAttempt = true, true
	if n := placement.Choose([]placement.Candidate{near, reliable}, first); n != 1 {
		t.Errorf("last attempt: chose %d, want the reliable searcher", n)
	}
}
