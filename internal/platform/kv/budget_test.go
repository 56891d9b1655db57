package kv

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"
)

func TestBudgetRefusesWhatCannotWait(t *testing.T) {
	b := bucket{rate: 0.1}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	for i, want := range []bool{true, false} {
		if got := b.wait(ctx); got != want {
			t.Fatalf("call %d: %v", i, got)
		}
	}
}

func TestWatchSlots(t *testing.T) {
	s := slots{limit: 2}
	for i, want := range []bool{true, true, false} {
		if got := s.enter(); got != want {
			t.Fatalf("watch %d: %v", i, got)
		}
	}
	s.leave()
	if !s.enter() {
		t.Fatal("a slot was not given back")
	}
}

func TestFullJitterStaysBelowItsBound(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for i := range 100 {
		bound := min(minBackoff<<min(i, 16), maxBackoff)
		if d := fullJitter(r, i); d < 0 || d > bound {
			t.Fatalf("attempt %d waits %v, bound %v", i, d, bound)
		}
	}
}
