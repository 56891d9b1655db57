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

// TestGateShedsEarlyAndKeepsTheLimit offers twice what two slots can serve.
// What is admitted ends in time, the rest is shed before its deadline, and
// never are more in flight than allowed.
func TestGateShedsEarlyAndKeepsTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const service, patience, calls = 10 * time.Millisecond, 100 * time.Millisecond, 400
		g := newGate(2, false)
		g.mean = service
		var mu sync.Mutex
		var wg sync.WaitGroup
		inFlight, ends := 0, map[outcome.Reason]int{}
		for range calls {
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), patience)
				defer cancel()
				start := time.Now()
				no := g.enter(ctx)
				mu.Lock()
				ends[no]++
				inFlight++
				if no == outcome.None && inFlight > 2 {
					t.Errorf("%d in flight", inFlight)
				}
				if no != outcome.None {
					inFlight--
					if time.Since(start) >= patience {
						t.Errorf("%s after %v", no, time.Since(start))
					}
					mu.Unlock()
					return
				}
				mu.Unlock()
				time.Sleep(service)
				if ctx.Err() != nil {
					t.Error("admitted too late")
				}
				mu.Lock()
				inFlight--
				mu.Unlock()
				g.leave(limit.Sample{Service: service})
			})
			time.Sleep(service / 4)
		}
		wg.Wait()
		if n := ends[outcome.None]; n < calls*9/20 || n+ends[outcome.Shed] != calls {
			t.Fatalf("ended %v, want about half served and the others shed", ends)
		}
		if g.inFlight != 0 || g.queue.Len() != 0 {
			t.Fatalf("%d in flight, %d wait", g.inFlight, g.queue.Len())
		}
	})
}

func TestGateForgetsWhoWentAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(1, false)
		if no := g.enter(t.Context()); no != outcome.None {
			t.Fatal(no)
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan outcome.Reason)
		go func() { ended <- g.enter(ctx) }()
		synctest.Wait()
		cancel()
		if no := <-ended; no != outcome.Canceled || g.queue.Len() != 0 {
			t.Fatalf("%s, %d wait", no, g.queue.Len())
		}
		g.leave(limit.Sample{})
		if no := g.enter(t.Context()); no != outcome.None || g.inFlight != 1 {
			t.Fatalf("%s, %d in flight", no, g.inFlight)
		}
	})
}
