package backend

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"egrethaven/internal/back/limit"
	"egrethaven/internal/query/outcome"
)

// TestLimiterShedsEarlyWithinLimit offers twice the load that two slots can
// serve. Admitted calls must end in time, the others must be shed before their
// deadline, and the limit on calls in flight must hold.
func TestLimiterShedsEarlyWithinLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const service, timeout, calls = 10 * time.Millisecond, 100 * time.Millisecond, 400
		l := newCallLimiter(2, false)
		l.meanService = service
		var mu sync.Mutex
		var wg sync.WaitGroup
		inFlight, results := 0, map[outcome.Reason]int{}
		for range calls {
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				start := time.Now()
				reason := l.acquire(ctx)
				mu.Lock()
				results[reason]++
				inFlight++
				if reason == outcome.None && inFlight > 2 {
					t.Errorf("%d calls in flight, limit 2", inFlight)
				}
				if reason != outcome.None {
					inFlight--
					if time.Since(start) >= timeout {
						t.Errorf("%s only after %v", reason, time.Since(start))
					}
					mu.Unlock()
					return
				}
				mu.Unlock()
				time.Sleep(service)
				if ctx.Err() != nil {
					t.Error("admitted call ended after its deadline")
				}
				mu.Lock()
				inFlight--
				mu.Unlock()
				l.release(limit.Sample{Service: service})
			})
			time.Sleep(service / 4)
		}
		wg.Wait()
		if n := results[outcome.None]; n < calls*9/20 || n+results[outcome.Shed] != calls {
			t.Fatalf("results %v, want about half served and the others shed", results)
		}
		if l.inFlight != 0 || l.queue.Len() != 0 {
			t.Fatalf("%d in flight, %d queued, want none", l.inFlight, l.queue.Len())
		}
	})
}

func TestCanceledCallLeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newCallLimiter(1, false)
		if reason := l.acquire(t.Context()); reason != outcome.None {
			t.Fatal(reason)
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan outcome.Reason)
		go func() { ended <- l.acquire(ctx) }()
		synctest.Wait()
		cancel()
		if reason := <-ended; reason != outcome.Canceled || l.queue.Len() != 0 {
			t.Fatalf("%s, %d queued", reason, l.queue.Len())
		}
		l.release(limit.Sample{})
		if reason := l.acquire(t.Context()); reason != outcome.None || l.inFlight != 1 {
			t.Fatalf("%s, %d in flight", reason, l.inFlight)
		}
	})
}
