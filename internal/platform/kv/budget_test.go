package kv

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"
)

func TestRateLimiterHonorsDeadline(t *testing.T) {
	l := rateLimiter{rate: 0.1}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	for i, want := range []bool{true, false} {
		if got := l.waitToken(ctx); got != want {
			t.Fatalf("call %d: token taken: %v, want %v", i, got, want)
		}
	}
}

func TestSemaphore(t *testing.T) {
	s := semaphore{limit: 2}
	for i, want := range []bool{true, true, false} {
		if got := s.acquire(); got != want {
			t.Fatalf("acquire %d: %v, want %v", i, got, want)
		}
	}
	s.release()
	if !s.acquire() {
		t.Fatal("acquire failed after a release")
	}
}

func TestFullJitterLimit(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for i := range 100 {
		limit := min(minBackoff<<min(i, 16), maxBackoff)
		if d := fullJitter(r, i); d < 0 || d > limit {
			t.Fatalf("delay %v before attempt %d, limit %v", d, i, limit)
		}
	}
}
