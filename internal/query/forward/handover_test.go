package forward

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"egrethaven/internal/state/routing"
)

// recordHandovers makes the engine hand requests over to a VM that answers 200, and
// returns those that it got.
func (fx *fixture) recordHandovers() *[]Handover {
	var mu sync.Mutex
	var got []Handover
	fx.engine.c.HandOver = func(_ context.Context, h Handover) (Answer, bool) {
		mu.Lock()
		defer mu.Unlock()
		got = append(got, h)
		return Answer{Status: http.StatusOK, AnsweredBy: "vm-1"}, true
	}
	return &got
}

// TestHandOver checks which requests are handed over to another VM.
func TestHandOver(t *testing.T) {
	disconnect := func(int, *http.Request) fakeAnswer { return fakeAnswer{disconnect: true} }
	silent := func(int, *http.Request) fakeAnswer { return fakeAnswer{delay: time.Hour, disconnect: true} }
	for name, c := range map[string]struct {
		repeat routing.Idempotency
		// answer is that of the only searcher; nil if there is none.
		answer     func(int, *http.Request) fakeAnswer
		handedOver bool
		// isolatedAfter is when the VM is found to be cut off; 0 for never.
		isolatedAfter time.Duration
		status        int
		handovers     int
		// mayHaveRun and sends are those of the handover.
		mayHaveRun bool
		sends      int
	}{
		"no searcher":                     {repeat: routing.AtMostOnce, status: 200, handovers: 1},
		"no searcher, handed over before": {repeat: routing.AtMostOnce, handedOver: true, status: 503},
		"served":                          {repeat: routing.AtMostOnce, answer: answerAfter(time.Millisecond, "x"), status: 200},
		"answer lost, at most once":       {repeat: routing.AtMostOnce, answer: disconnect, status: 502},
		"answer lost, others respond":     {repeat: routing.Idempotent, answer: disconnect, status: 502},
		"silent, at most once":            {repeat: routing.AtMostOnce, answer: silent, isolatedAfter: 600 * time.Millisecond, status: 504},
		"silent, idempotent":              {repeat: routing.Idempotent, answer: silent, isolatedAfter: 600 * time.Millisecond, status: 200, handovers: 1, mayHaveRun: true, sends: 1},
		"silent, not cut off":             {repeat: routing.Idempotent, answer: silent, status: 504},
		"slow, cut off from others":       {repeat: routing.Idempotent, answer: answerAfter(400*time.Millisecond, "x"), isolatedAfter: 100 * time.Millisecond, status: 200},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				searchers := map[string][]*fakeSearcher{}
				if c.answer != nil {
					searchers["s"] = []*fakeSearcher{{id: "s-1", answer: c.answer}}
				}
				fx := newFixture(t, []routing.Route{plainRoute(c.repeat)}, searchers)
				got := fx.recordHandovers()
				synctest.Wait()
				if c.isolatedAfter > 0 {
					time.AfterFunc(c.isolatedAfter, func() { fx.engine.SetIsolated(true) })
				}
				q := newRequest(time.Second)
				q.HandedOver = c.handedOver
				a := fx.engine.Do(t.Context(), q)
				if a.Status != c.status || len(*got) != c.handovers {
					t.Fatalf("status %d after %d handovers, want %d after %d", a.Status, len(*got), c.status, c.handovers)
				}
				if c.handovers > 0 && ((*got)[0].MayHaveRun != c.mayHaveRun || (*got)[0].Sends != c.sends || a.AnsweredBy != "vm-1") {
					t.Errorf("handed over as %+v", (*got)[0])
				}
			})
		})
	}
}

// TestCutOffVMTriesSearchersAgain: a VM that is known to be cut off sent requests to
// searchers that had not reacted, each time their suspension was over.
func TestCutOffVMTriesSearchersAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := func(int, *http.Request) fakeAnswer { return fakeAnswer{delay: time.Hour, disconnect: true} }
		s := &fakeSearcher{id: "s-1", answer: silent}
		fx := newFixture(t, []routing.Route{plainRoute(routing.Idempotent)}, map[string][]*fakeSearcher{"s": {s}})
		got := fx.recordHandovers()
		synctest.Wait()
		// Connections are refused from now on.
		delete(fx.searchers, s.id)
		defer close(s.stop)
		time.AfterFunc(600*time.Millisecond, func() { fx.engine.SetIsolated(true) })
		for range 100 {
			began := time.Now()
			if fx.engine.Do(t.Context(), newRequest(time.Second)); time.Since(began) > 700*time.Millisecond {
				t.Fatalf("answered after %s", time.Since(began))
			}
			time.Sleep(100 * time.Millisecond)
		}
		if s.requests() != 1 || len(*got) != 100 {
			t.Errorf("%d requests were sent and %d handed over, want 1 and 100", s.requests(), len(*got))
		}
	})
}

// TestTakenOverRequestIsCharged checks that a request that another VM has sent before is
// an extra send here, counts as an attempt, and is not sent when the budget is spent.
func TestTakenOverRequestIsCharged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fail := func(int, *http.Request) fakeAnswer { return fakeAnswer{status: http.StatusInternalServerError} }
		ss := []*fakeSearcher{{id: "s-1", answer: fail}, {id: "s-2", answer: fail}}
		fx := newFixture(t, []routing.Route{plainRoute(routing.Idempotent)}, map[string][]*fakeSearcher{"s": ss})
		synctest.Wait()
		q := newRequest(time.Second)
		q.HandedOver, q.Sends = true, 1
		fx.engine.Do(t.Context(), q)
		if first, extra := fx.engine.budgetFor("s").Usage(time.Now()); first != 0 || extra != 1 || ss[0].requests()+ss[1].requests() != 1 {
			t.Errorf("%d first and %d extra sends, %d requests arrived", first, extra, ss[0].requests()+ss[1].requests())
		}
		for range 100 {
			fx.engine.Do(t.Context(), q)
		}
		if n := ss[0].requests() + ss[1].requests(); n > 10 {
			t.Errorf("%d requests arrived, the budget allows 10", n)
		}
	})
}
