package tokens_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	_ "egrethaven/internal/proof/fixedseed"

	"egrethaven/internal/platform/tokens"
)

// TestRateIsABound lets callers come in any pattern: no second sees more
// calls than the rate allows beyond one burst.
func TestRateIsABound(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		rate := rapid.Float64Range(0.5, 50).Draw(r, "rate")
		depth := rapid.Float64Range(0, 20).Draw(r, "depth")
		waits := rapid.SliceOfN(rapid.IntRange(0, 2000), 1, 60).Draw(r, "waits_ms")
		synctest.Test(t, func(*testing.T) {
			var b tokens.Bucket
			began := time.Now()
			ctx, cancel := context.WithDeadline(context.Background(), began.Add(5*time.Second))
			defer cancel()
			var mu sync.Mutex
			passed := 0
			var w sync.WaitGroup
			for _, d := range waits {
				w.Go(func() {
					time.Sleep(time.Duration(d) * time.Millisecond)
					if b.Wait(ctx, tokens.Rate{PerSecond: rate, Depth: depth}) {
						mu.Lock()
						passed++
						mu.Unlock()
					}
				})
			}
			w.Wait()
			most := max(1, depth) + rate*time.Since(began).Seconds()
			if float64(passed) > most+1e-6 {
				r.Errorf("%d calls passed, %.2f allowed", passed, most)
			}
			if passed == 0 {
				r.Error("no call passed")
			}
		})
	})
}

func TestTakeDoesNotWait(t *testing.T) {
	var b tokens.Bucket
	now := time.Unix(1000, 0)
	r := tokens.Rate{PerSecond: 2, Depth: 3}
	for i, want := range []bool{true, true, true, false} {
		if got := b.Take(now, r); got != want {
			t.Fatalf("call %d: %v", i, got)
		}
	}
	if now = now.Add(time.Second / 2); !b.Take(now, r) || b.Take(now, r) {
		t.Fatal("want one token after half a second")
	}
}
