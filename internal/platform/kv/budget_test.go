package kv

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// TestBudgetIsABound lets callers come in any pattern: no second sees more
// calls than the rate allows beyond one burst.
func TestBudgetIsABound(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		rate := rapid.Float64Range(0.5, 50).Draw(r, "rate")
		waits := rapid.SliceOfN(rapid.IntRange(0, 2000), 1, 60).Draw(r, "waits_ms")
		synctest.Test(t, func(*testing.T) {
			b := bucket{rate: rate}
			began := time.Now()
			ctx, cancel := context.WithDeadline(context.Background(), began.Add(5*time.Second))
			defer cancel()
			var mu sync.Mutex
			passed := 0
			var w sync.WaitGroup
			for _, d := range waits {
				w.Go(func() {
					time.Sleep(time.Duration(d) * time.Millisecond)
					if b.wait(ctx) {
						mu.Lock()
						passed++
						mu.Unlock()
					}
				})
			}
			w.Wait()
			most := max(1, rate*burst) + rate*time.Since(began).Seconds()
			if float64(passed) > most+1e-6 {
				r.Errorf("%d calls passed, %.2f allowed", passed, most)
			}
			if passed == 0 {
				r.Error("no call passed")
			}
		})
	})
}

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
