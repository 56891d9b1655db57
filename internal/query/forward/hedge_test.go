package forward

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"egrethaven/internal/back/instance"
	"egrethaven/internal/query/retrybudget"
	"egrethaven/internal/state/routing"
)

// TestSlowShardIsNotHedged guards against hedges that double the load of a shard whose
// searchers are all slow: the second one would not answer before the first. If one searcher
// is as fast as usual, it gets the hedge.
func TestSlowShardIsNotHedged(t *testing.T) {
	const usual, slow = 5 * time.Millisecond, 50 * time.Millisecond
	for name, c := range map[string]struct {
		secondSlow bool
		sends      int
	}{"all are slow": {true, 1}, "one is fast": {false, 2}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := &fakeSearcher{id: "i-a", answer: answerAfter(slow, "0123456789abcdef")}
				b := &fakeSearcher{id: "i-b", answer: answerAfter(slow, "0123456789abcdef")}
				fx := newFixture(t, []routing.Route{fanOutRoute(1)}, map[string][]*fakeSearcher{"s0": {a, b}})
				fx.engine.SetBudget(retrybudget.Config{Allowance: 50, Window: 10 * time.Second})
				synctest.Wait()
				is := fx.snapshot.Instances["s0"]
				x := fx.engine.newDispatch(newRequest(300*time.Millisecond), fx.snapshot, &fx.snapshot.Config.Routes[0], client{})
				x.medianLatency = usual
				for range 40 {
					is[0].RecordOutcome(instance.Served, slow, usual)
					if c.secondSlow {
						is[1].RecordOutcome(instance.Served, slow+usual, usual)
					}
				}
				p := x.subrequests[0]
				now := time.Now()
				p.hedgeAt = now.Add(usual)
				p.sendTo(is[0], now)
				for range 6 {
					time.Sleep(usual)
					p.hedgeIfLate(time.Now())
				}
				time.Sleep(2 * slow)
				synctest.Wait()
				if got := a.requests() + b.requests(); got != c.sends {
					t.Errorf("%d sends, want %d", got, c.sends)
				}
				if d := <-x.results; d.reply.Status != http.StatusOK {
					t.Errorf("got %+v", d.reply)
				}
			})
		})
	}
}
