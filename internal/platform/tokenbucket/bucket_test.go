package tokenbucket_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	_ "egrethaven/internal/proof/fixedseed"

	"egrethaven/internal/platform/tokenbucket"
)

// TestRateLimit checks, for calls at arbitrary times, that the number of calls let through
// never exceeds one full bucket plus the tokens added since.
func TestRateLimit(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		rate := rapid.Float64Range(0.5, 50).Draw(r, "rate")
		depth := rapid.Float64Range(0, 20).Draw(r, "depth")
		delays := rapid.SliceOfN(rapid.IntRange(0, 2000), 1, 60).Draw(r, "waits_ms")
		synctest.Test(t, func(*testing.T) {
			var b tokenbucket.Bucket
			start := time.Now()
			ctx, cancel := context.WithDeadline(context.Background(), start.Add(5*time.Second))
			defer cancel()
			var mu sync.Mutex
			passed := 0
			var wg sync.WaitGroup
			for _, d := range delays {
				wg.Go(func() {
					time.Sleep(time.Duration(d) * time.Millisecond)
					if b.Wait(ctx, tokenbucket.Rate{PerSecond: rate, Burst: depth}) {
						mu.Lock()
						passed++
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			limit := max(1, depth) + rate*time.Since(start).Seconds()
			if float64(passed) > limit+1e-6 {
				r.Errorf("%d calls were let through, limit %.2f", passed, limit)
			}
			if passed == 0 {
				r.Error("no call was let through")
			}
		})
	})
}

func TestAllow(t *testing.T) {
	var b tokenbucket.Bucket
	now := time.Unix(1000, 0)
	r := tokenbucket.Rate{PerSecond: 2, Burst: 3}
	for i, want := range []bool{true, true, true, false} {
		if got := b.Allow(now, r); got != want {
			t.Fatalf("token taken by call %d: %v, want %v", i, got, want)
		}
	}
	if now = now.Add(time.Second / 2); !b.Allow(now, r) || b.Allow(now, r) {
		t.Fatal("want exactly one token after half a second at two per second")
	}
}
