package forward

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"egrethaven/internal/back/instance"
	"egrethaven/internal/query/retrybudget"
	"egrethaven/internal/state/routing"
)

const (
	loadShards   = 4
	loadReplicas = 2
	// loadService is what a searcher with one slot takes for a request, so a
	// shard runs 200 a second.
	loadService = 10 * time.Millisecond
	loadSpan    = 2 * time.Second
)

// tallied is what the clients of a load got.
type tallied struct {
	inTime, late, refused, failed int
	// slowest is the longest that a refusal took.
	slowest time.Duration
}

// fanOut is a route over shards s0, s1 and so on.
func fanOut(shards int) routing.Route {
	r := routing.Route{Name: "f", Host: "h", Prefix: "/", Idempotency: routing.Idempotent, MaxAttempts: 2,
		LatencyObjective: 80 * time.Millisecond, MinCoverage: 0.9, TopK: 5}
	for i := range shards {
		r.Shards = append(r.Shards, fmt.Sprintf("s%d", i))
	}
	return r
}

// play sends fan-outs at a steady rate and tallies the answers.
func play(t *testing.T, policy Policy, gap time.Duration) tallied {
	searchers := map[string][]*fakeSearcher{}
	for i := range loadShards {
		for j := range loadReplicas {
			s := &fakeSearcher{id: fmt.Sprintf("i-%d-%d", i, j), answer: served(loadService, "0123456789abcdef"), slots: 1, queue: 12}
			searchers[fmt.Sprintf("s%d", i)] = append(searchers[fmt.Sprintf("s%d", i)], s)
		}
	}
	r := fanOut(loadShards)
	w := newWorldWith(t, policy, []routing.Route{r}, searchers)
	synctest.Wait()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var sum tallied
	for end := time.Now().Add(loadSpan); time.Now().Before(end); time.Sleep(gap) {
		wg.Go(func() {
			q := request(300 * time.Millisecond)
			a := w.e.Do(t.Context(), q)
			took := time.Since(q.Arrived)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.Status == http.StatusOK && took <= r.LatencyObjective:
				sum.inTime++
			case a.Status == http.StatusOK:
				sum.late++
			case a.Status == http.StatusServiceUnavailable:
				sum.refused++
				sum.slowest = max(sum.slowest, took)
			default:
				sum.failed++
			}
		})
	}
	wg.Wait()
	return sum
}

// TestBurst plays a burst of twice what the searchers can run. What can't be
// served in time has to be refused early, so that the rest is: at least half
// of what the searchers can run in the span.
func TestBurst(t *testing.T) {
	const gap = loadService / loadReplicas / 2
	var with, without tallied
	synctest.Test(t, func(t *testing.T) { with = play(t, Policy{}, gap) })
	synctest.Test(t, func(t *testing.T) { without = play(t, Policy{AdmitAll: true}, gap) })
	t.Logf("with admission %+v, without %+v", with, without)
	canRun := int(loadSpan / loadService * loadReplicas)
	if with.inTime < canRun/2 || with.inTime <= without.inTime {
		t.Errorf("%d of %d that could be served were, %d without admission", with.inTime, canRun, without.inTime)
	}
	if quarter := fanOut(1).LatencyObjective / 4; with.slowest > quarter {
		t.Errorf("a refusal took %s, more than a quarter of the objective", with.slowest)
	}
}

// TestOrdinaryLoad plays half of what the searchers can run: nobody is
// refused and nobody is late.
func TestOrdinaryLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		got := play(t, Policy{}, loadService)
		if got.late+got.refused+got.failed > 0 {
			t.Errorf("%+v", got)
		}
	})
}

// TestAfterBurst asks a searcher that was flooded and slow a moment ago. While
// requests are refused nothing new is learnt of it, so what was learnt has to
// fade: otherwise all are refused for good.
func TestAfterBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSearcher{id: "i-0", answer: served(loadService, "0123456789abcdef"), slots: 1, queue: 12}
		w := newWorld(t, []routing.Route{fanOut(1)}, map[string][]*fakeSearcher{"s0": {s}})
		synctest.Wait()
		i := w.snap.Instances["s0"][0]
		for range 60 {
			i.RecordOutcome(instance.Served, 2*time.Second, loadService)
		}
		i.RecordLoad(instance.Load{Running: 1, Waiting: 12, Slots: 1})
		if a := w.e.Do(t.Context(), request(300*time.Millisecond)); a.Reason != Overloaded {
			t.Errorf("in the flood: %d (%s), want a refusal", a.Status, a.Reason)
		}
		time.Sleep(2 * time.Second)
		if a := w.e.Do(t.Context(), request(300*time.Millisecond)); a.Status != http.StatusOK {
			t.Errorf("two seconds later: %d (%s)", a.Status, a.Reason)
		}
	})
}

// TestLastHedgeDecides plays a shard whose answers take longer than the delay
// of a hedge, but come in time, and then a replica that answers nothing. The
// budget must not be spent on the first, so that the second is hedged in time.
func TestLastHedgeDecides(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const sluggish = 30 * time.Millisecond
		var mute atomic.Bool
		a := &fakeSearcher{id: "i-a", answer: func(int, *http.Request) fakeAnswer {
			if mute.Load() {
				return fakeAnswer{after: time.Hour, cut: true}
			}
			return fakeAnswer{after: sluggish, status: http.StatusOK, body: "0123456789abcdef"}
		}}
		b := &fakeSearcher{id: "i-b", answer: served(sluggish, "0123456789abcdef")}
		r := fanOut(1)
		w := newWorld(t, []routing.Route{r}, map[string][]*fakeSearcher{"s0": {a, b}})
		w.e.SetBudget(retrybudget.Config{Allowance: 8, Window: 10 * time.Second})
		synctest.Wait()
		for range 8 {
			w.e.Do(t.Context(), request(300*time.Millisecond))
			time.Sleep(100 * time.Millisecond)
		}
		mute.Store(true)
		// The other replica looks worse, so the mute one is chosen.
		for range 20 {
			w.snap.Instances["s0"][1].RecordOutcome(instance.Failed, 0, 0)
		}
		q := request(300 * time.Millisecond)
		got := w.e.Do(t.Context(), q)
		if took := time.Since(q.Arrived); got.Status != http.StatusOK || took > r.LatencyObjective {
			t.Errorf("got %d (%s) after %s, want an answer within %s", got.Status, got.Reason, took, r.LatencyObjective)
		}
	})
}
