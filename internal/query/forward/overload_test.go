package forward

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"egrethaven/internal/back/instance"
	"egrethaven/internal/query/retrybudget"
	"egrethaven/internal/state/routing"
)

// priorityRoutes returns two fan-outs over the same shards, the second of lower priority.
func priorityRoutes(shards int) []routing.Route {
	high, low := fanOutRoute(shards), fanOutRoute(shards)
	high.Name, high.Host = "high", "high"
	low.Name, low.Host, low.Priority = "low", "low", 1
	return []routing.Route{high, low}
}

// TestOverloadByPriority sends twice the requests that the connections can carry, two
// thirds of them of a lower priority. Those of the higher one were late and refused as often as the
// others; the others must not be starved.
func TestOverloadByPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		searchers := map[string][]*fakeSearcher{}
		for i := range loadShards {
			for j := range loadReplicas {
				s := &fakeSearcher{id: fmt.Sprintf("i-%d-%d", i, j), answer: answerAfter(loadServiceTime, "0123456789abcdef")}
				searchers[fmt.Sprintf("s%d", i)] = append(searchers[fmt.Sprintf("s%d", i)], s)
			}
		}
		fx := newFixture(t, priorityRoutes(loadShards), searchers)
		synctest.Wait()
		var mu sync.Mutex
		var wg sync.WaitGroup
		got := map[string]*loadResult{"high": {}, "low": {}}
		// Each of the searchers has two connections.
		const interval = loadServiceTime / (2 * loadReplicas) / 2
		n := 0
		for end := time.Now().Add(loadDuration); time.Now().Before(end); time.Sleep(interval) {
			n++
			host := "low"
			if n%3 == 0 {
				host = "high"
			}
			wg.Go(func() {
				q := newRequest(300 * time.Millisecond)
				q.Host = host
				a := fx.engine.Do(t.Context(), q)
				took := time.Since(q.Arrived)
				mu.Lock()
				defer mu.Unlock()
				r := got[host]
				switch {
				case a.Status == http.StatusOK && took <= 80*time.Millisecond:
					r.inTime++
				case a.Status == http.StatusOK:
					r.late++
				case a.Status == http.StatusServiceUnavailable && a.RetryAfter > 0:
					r.refused++
				default:
					r.failed++
				}
			})
		}
		wg.Wait()
		high, low := got["high"], got["low"]
		t.Logf("high %+v, low %+v", *high, *low)
		if high.inTime < n/3*9/10 {
			t.Errorf("%d of %d requests of the higher priority in time", high.inTime, n/3)
		}
		if mean := (high.inTime + high.late + low.inTime + low.late) / 2; low.inTime+low.late < mean/4 {
			t.Errorf("%d requests of the lower priority served, the mean is %d", low.inTime+low.late, mean)
		}
	})
}

// TestScarceBudget spends most of the budget of a shard, whose searcher is then silent. The
// rest must be kept for requests that cannot do without the shard, and for the higher
// priority.
func TestScarceBudget(t *testing.T) {
	for name, c := range map[string]struct {
		host     string
		coverage float64
		spent    int
		hedged   bool
	}{
		"plenty, not needed":                 {"high", 0.5, 9, true},
		"scarce, needed":                     {"high", 1, 17, true},
		"scarce, not needed":                 {"high", 0.5, 17, false},
		"scarce, needed, lower priority":     {"low", 1, 17, true},
		"last, needed":                       {"high", 1, 19, true},
		"last, needed, lower priority":       {"low", 1, 19, false},
		"scarce, not needed, lower priority": {"low", 0.5, 17, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				silent := &fakeSearcher{id: "i-silent", answer: answerAfter(time.Hour, "")}
				ok := answerAfter(10*time.Millisecond, "0123456789abcdef")
				other, second := &fakeSearcher{id: "i-other", answer: ok}, &fakeSearcher{id: "i-second", answer: ok}
				routes := priorityRoutes(2)
				for n := range routes {
					routes[n].MinCoverage = c.coverage
				}
				fx := newFixture(t, routes, map[string][]*fakeSearcher{"s0": {silent, other}, "s1": {second}})
				// While the group has plenty, a VM may spend 20 extra sends.
				fx.engine.SetBudget(retrybudget.Config{Allowance: 2.5, Window: 10 * time.Second})
				synctest.Wait()
				// Both priorities are in use.
				for n := range routes {
					fx.engine.newDispatch(newRequest(time.Second), fx.snapshot, &fx.snapshot.Config.Routes[n], client{})
				}
				time.Sleep(200 * time.Millisecond)
				fx.engine.SetGroupLevels(time.Now(), nil)
				for range c.spent {
					fx.engine.budgetFor("s0").AllowExtra(time.Now(), retrybudget.Retry)
				}
				// Lower the rank of the other replica, so that the silent one is chosen.
				for _, i := range fx.snapshot.Instances["s0"] {
					if i.Searcher().ID == other.id {
						i.RecordOutcome(instance.Failed, 0, 0)
					}
				}
				q := newRequest(300 * time.Millisecond)
				q.Host = c.host
				a := fx.engine.Do(t.Context(), q)
				if (other.requests() == 1) != c.hedged {
					t.Errorf("%d requests at the other searcher, answered %d (%s)", other.requests(), a.Status, a.Reason)
				}
			})
		})
	}
}
