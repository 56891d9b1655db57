package forward

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"egrethaven/internal/back/conn"
	"egrethaven/internal/back/instance"
	"egrethaven/internal/query/placement"
	"egrethaven/internal/query/retrybudget"
	"egrethaven/internal/query/retrypool"
	"egrethaven/internal/state/routing"
)

const (
	loadShards   = 4
	loadReplicas = 2
	// loadServiceTime is the service time of a searcher with one slot, so a shard
	// runs 200 requests a second.
	loadServiceTime = 10 * time.Millisecond
	loadDuration    = 2 * time.Second
)

// loadResult counts the answers to the requests of a load test.
type loadResult struct {
	inTime, late, refused, failed int
	// slowestRefusal is the longest time to a refusal.
	slowestRefusal time.Duration
}

// fanOutRoute returns a route over the shards s0, s1 and so on.
func fanOutRoute(shards int) routing.Route {
	r := routing.Route{Name: "f", Host: "h", Prefix: "/", Idempotency: routing.Idempotent, MaxAttempts: 2,
		LatencyObjective: 80 * time.Millisecond, MinCoverage: 0.9, TopK: 5}
	for i := range shards {
		r.Shards = append(r.Shards, fmt.Sprintf("s%d", i))
	}
	return r
}

// runLoad sends fan-outs at a constant rate and counts the answers.
func runLoad(t *testing.T, policy Policy, interval time.Duration) loadResult {
	searchers := map[string][]*fakeSearcher{}
	for i := range loadShards {
		for j := range loadReplicas {
			s := &fakeSearcher{id: fmt.Sprintf("i-%d-%d", i, j), answer: answerAfter(loadServiceTime, "0123456789abcdef"), slots: 1, queue: 12}
			searchers[fmt.Sprintf("s%d", i)] = append(searchers[fmt.Sprintf("s%d", i)], s)
		}
	}
	r := fanOutRoute(loadShards)
	fx := newFixtureWithPolicy(t, policy, []routing.Route{r}, searchers)
	synctest.Wait()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var total loadResult
	for end := time.Now().Add(loadDuration); time.Now().Before(end); time.Sleep(interval) {
		wg.Go(func() {
			q := newRequest(300 * time.Millisecond)
			a := fx.engine.Do(t.Context(), q)
			took := time.Since(q.Arrived)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.Status == http.StatusOK && took <= r.LatencyObjective:
				total.inTime++
			case a.Status == http.StatusOK:
				total.late++
			case a.Status == http.StatusServiceUnavailable:
				total.refused++
				total.slowestRefusal = max(total.slowestRefusal, took)
			default:
				total.failed++
			}
		})
	}
	wg.Wait()
	return total
}

// TestBurst sends twice the requests that the searchers can run. Requests that
// can't be served in time have to be refused early, so that at least half of the
// searchers' capacity goes to requests served in time.
func TestBurst(t *testing.T) {
	const interval = loadServiceTime / loadReplicas / 2
	var with, without loadResult
	synctest.Test(t, func(t *testing.T) { with = runLoad(t, Policy{}, interval) })
	synctest.Test(t, func(t *testing.T) { without = runLoad(t, Policy{AdmitAll: true}, interval) })
	t.Logf("with admission %+v, without %+v", with, without)
	capacity := int(loadDuration / loadServiceTime * loadReplicas)
	if with.inTime < capacity/2 || with.inTime <= without.inTime {
		t.Errorf("%d served in time of a capacity of %d, %d without admission", with.inTime, capacity, without.inTime)
	}
	if quarter := fanOutRoute(1).LatencyObjective / 4; with.slowestRefusal > quarter {
		t.Errorf("a refusal took %s, more than a quarter of the objective", with.slowestRefusal)
	}
}

// TestOrdinaryLoad sends half of the requests that the searchers can run: none
// may be refused, late or failed.
func TestOrdinaryLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		got := runLoad(t, Policy{}, loadServiceTime)
		if got.late+got.refused+got.failed > 0 {
			t.Errorf("got %+v, want all in time", got)
		}
	})
}

// TestAfterBurst sends a request to a searcher that was overloaded and slow a
// moment ago. Refused requests yield no new measurements, so the old ones have to
// expire; otherwise all further requests would be refused.
func TestAfterBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSearcher{id: "i-0", answer: answerAfter(loadServiceTime, "0123456789abcdef"), slots: 1, queue: 12}
		fx := newFixture(t, []routing.Route{fanOutRoute(1)}, map[string][]*fakeSearcher{"s0": {s}})
		synctest.Wait()
		i := fx.snapshot.Instances["s0"][0]
		for range 60 {
			i.RecordOutcome(instance.Served, 2*time.Second, loadServiceTime)
		}
		i.RecordLoad(instance.Load{Running: 1, Waiting: 12, Slots: 1})
		if a := fx.engine.Do(t.Context(), newRequest(300*time.Millisecond)); a.Reason != Overloaded {
			t.Errorf("while overloaded: got %d (%s), want a refusal", a.Status, a.Reason)
		}
		time.Sleep(2 * time.Second)
		if a := fx.engine.Do(t.Context(), newRequest(300*time.Millisecond)); a.Status != http.StatusOK {
			t.Errorf("two seconds later: got %d (%s), want 200", a.Status, a.Reason)
		}
	})
}

// TestBudgetIsKeptForLastHedge runs a shard whose answers arrive in time but
// after the hedge delay, and then makes one replica unresponsive. Early hedges
// must not use up the budget, so that the last hedge can still be sent in time.
func TestBudgetIsKeptForLastHedge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const latency = 30 * time.Millisecond
		var silent atomic.Bool
		a := &fakeSearcher{id: "i-a", answer: func(int, *http.Request) fakeAnswer {
			if silent.Load() {
				return fakeAnswer{delay: time.Hour, disconnect: true}
			}
			return fakeAnswer{delay: latency, status: http.StatusOK, body: "0123456789abcdef"}
		}}
		b := &fakeSearcher{id: "i-b", answer: answerAfter(latency, "0123456789abcdef")}
		r := fanOutRoute(1)
		fx := newFixture(t, []routing.Route{r}, map[string][]*fakeSearcher{"s0": {a, b}})
		fx.engine.SetBudget(retrybudget.Config{Allowance: 8, Window: 10 * time.Second})
		synctest.Wait()
		for range 8 {
			fx.engine.Do(t.Context(), newRequest(300*time.Millisecond))
			time.Sleep(100 * time.Millisecond)
		}
		silent.Store(true)
		// Lower the rank of the other replica, so that the silent one is chosen.
		for range 20 {
			fx.snapshot.Instances["s0"][1].RecordOutcome(instance.Failed, 0, 0)
		}
		q := newRequest(300 * time.Millisecond)
		got := fx.engine.Do(t.Context(), q)
		if took := time.Since(q.Arrived); got.Status != http.StatusOK || took > r.LatencyObjective {
			t.Errorf("got %d (%s) after %s, want an answer within %s", got.Status, got.Reason, took, r.LatencyObjective)
		}
	})
}

// TestFirstRequestIsHedged sends the first fan-out that a VM of a large tier
// gets, to a silent searcher. Its own share of the budget permits no hedge yet,
// but the group of VMs has plenty.
func TestFirstRequestIsHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := &fakeSearcher{id: "i-a", answer: func(int, *http.Request) fakeAnswer { return fakeAnswer{delay: time.Hour, disconnect: true} }}
		other := &fakeSearcher{id: "i-b", answer: answerAfter(10*time.Millisecond, "0123456789abcdef")}
		r := fanOutRoute(1)
		fx := newFixture(t, []routing.Route{r}, map[string][]*fakeSearcher{"s0": {silent, other}})
		fx.engine.SetBudget(retrybudget.Config{Ratio: 0.2, Allowance: 0.5, Window: 10 * time.Second})
		synctest.Wait()
		// Lower the rank of the other replica, so that the silent one is chosen.
		for _, i := range fx.snapshot.Instances["s0"] {
			if i.Searcher().ID == other.id {
				i.RecordOutcome(instance.Failed, 0, 0)
			}
		}
		fx.engine.SetGroupLevels(time.Now(), map[string]retrypool.Level{})
		q := newRequest(300 * time.Millisecond)
		got := fx.engine.Do(t.Context(), q)
		if took := time.Since(q.Arrived); got.Status != http.StatusOK || took > r.LatencyObjective {
			t.Errorf("got %d (%s) after %s, want an answer within %s", got.Status, got.Reason, took, r.LatencyObjective)
		}
	})
}

// TestPlainRequestsAtLimit sends 50 requests a second to two searchers that accept 10
// each. Those that can't be served must be refused at once with the time to return, not
// kept until their deadline.
func TestPlainRequestsAtLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		searchers := map[string][]*fakeSearcher{}
		for i := range 2 {
			s := &fakeSearcher{id: fmt.Sprint("i-", i), answer: answerAfter(5*time.Millisecond, "x")}
			s.limit.Store(10)
			searchers["s"] = append(searchers["s"], s)
		}
		fx := newFixture(t, []routing.Route{plainRoute(routing.AtMostOnce)}, searchers)
		synctest.Wait()
		var mu sync.Mutex
		var wg sync.WaitGroup
		served := 0
		const seconds = 10
		for range 50 * seconds {
			wg.Go(func() {
				q := newRequest(2 * time.Second)
				a := fx.engine.Do(t.Context(), q)
				took := time.Since(q.Arrived)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case a.Status == http.StatusOK:
					served++
				case a.Status != http.StatusServiceUnavailable || a.RetryAfter <= 0 || took > 25*time.Millisecond:
					t.Errorf("%d (%s) after %s, to return after %s", a.Status, a.Reason, took, a.RetryAfter)
				}
			})
			time.Sleep(time.Second / 50)
		}
		wg.Wait()
		if served < 20*seconds*9/10 || served > 20*(seconds+1)+5 {
			t.Errorf("%d requests served, want about %d", served, 20*seconds)
		}
	})
}

// TestShardWithUnlimitedReplicaIsLeftOut: a shard was left out of fan-outs because little
// was left of one searcher's limit, though another one, which was busy, had none.
func TestShardWithUnlimitedReplicaIsLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limited := &fakeSearcher{id: "i-limited", answer: answerAfter(5*time.Millisecond, "0123456789abcdef")}
		limited.limit.Store(20)
		busy := &fakeSearcher{id: "i-busy", answer: answerAfter(50*time.Millisecond, "0123456789abcdef")}
		other := &fakeSearcher{id: "i-other", answer: answerAfter(5*time.Millisecond, "0123456789abcdef")}
		route := fanOutRoute(2)
		route.MinCoverage = 0.5
		fx := newFixture(t, []routing.Route{route}, map[string][]*fakeSearcher{"s0": {limited, busy}, "s1": {other}})
		synctest.Wait()
		scarce := func(c placement.Candidate) bool { return c.LimitWait == 0 && c.LimitSpare < 0.4 }
		var l, b *instance.Instance
		for _, i := range fx.snapshot.Instances["s0"] {
			if i.Searcher().ID == limited.id {
				l = i
			} else {
				b = i
			}
		}
		l.RecordLimit(20)
		send := func(i *instance.Instance) {
			i.Send(instance.Request{Method: http.MethodGet, Done: func(conn.Result) {}, Matches: func(http.Header) bool { return true },
				Build: func() []byte { return []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n") }})
		}
		time.Sleep(time.Second)
		for !scarce(l.Candidate(time.Now(), "a", 5*time.Millisecond)) {
			send(l)
			time.Sleep(6 * time.Millisecond)
		}
		for range 4 {
			send(b)
		}
		if a := fx.engine.Do(t.Context(), newRequest(300*time.Millisecond)); a.Header.Get("Missing") != "0" {
			t.Errorf("%d (%s), %s shards missing", a.Status, a.Reason, a.Header.Get("Missing"))
		}
	})
}
