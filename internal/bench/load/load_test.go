package load_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"egrethaven/internal/bench/load"
)

// TestOpenLoop makes every request block for longer than the whole run.
// Arrivals must not be delayed by that, and must start when they are due.
func TestOpenLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		late := 0
		start := time.Now()
		n := load.Run(context.Background(), load.Config{
			Rate: 100, Duration: 10 * time.Second, Random: rand.New(rand.NewPCG(1, 1)),
		}, func(due time.Time) {
			if time.Since(due) != 0 {
				mu.Lock()
				late++
				mu.Unlock()
			}
			time.Sleep(time.Minute)
		})
		if n < 900 || n > 1100 || late != 0 {
			t.Fatalf("%d arrivals, %d started late", n, late)
		}
		if d := time.Since(start); d < time.Minute || d > 70*time.Second {
			t.Fatalf("Run returned after %v", d)
		}
	})
}
