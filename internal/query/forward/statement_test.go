package forward

import (
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"egrethaven/internal/state/routing"
)

// rejecting returns a searcher that rejects its first requests until a time, and names a
// wait each time.
func rejecting(id string, until time.Time, wait time.Duration) *fakeSearcher {
	return &fakeSearcher{id: id, answer: func(int, *http.Request) fakeAnswer {
		if time.Now().Before(until) {
			return fakeAnswer{status: http.StatusServiceUnavailable, notRun: true, wait: wait}
		}
		return fakeAnswer{delay: 20 * time.Millisecond, status: http.StatusOK, body: "good"}
	}}
}

// burst sends requests at a steady rate for a while, and returns how many were answered
// with each status.
func (fx *fixture) burst(t *testing.T, interval, length time.Duration) map[int]int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	got := map[int]int{}
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(interval) {
		wg.Go(func() {
			a := fx.engine.Do(t.Context(), newRequest(500*time.Millisecond))
			mu.Lock()
			defer mu.Unlock()
			got[a.Status]++
		})
	}
	wg.Wait()
	return got
}

// TestSearcherThatWantsNoRequests: a searcher that had turned a request away and named a
// time got requests before its end, and then all that were held back at once.
func TestSearcherThatWantsNoRequests(t *testing.T) {
	const wait = 1500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		s := rejecting("s-1", began.Add(wait), wait)
		other := &fakeSearcher{id: "s-2", answer: answerAfter(20*time.Millisecond, "good")}
		fx := newFixture(t, []routing.Route{plainRoute(routing.Idempotent)}, map[string][]*fakeSearcher{"s": {s, other}})
		synctest.Wait()
		got := fx.burst(t, 8*time.Millisecond, 4*time.Second)
		early, late := 0, 0
		first := s.receivedAt[0]
		for _, at := range s.receivedAt {
			switch d := at.Sub(first); {
			case d > 500*time.Millisecond && d < wait:
				early++
			case d >= wait && d < wait+20*time.Millisecond:
				late++
			}
		}
		if early > 2 || late > 1 || got[http.StatusOK] < 380 {
			t.Errorf("%d requests arrived within the time, %d at its end, answers %v", early, late, got)
		}
		if n := len(s.receivedAt); n < 20 {
			t.Errorf("%d requests arrived in all: the searcher was not used again", n)
		}
	})
}

// TestSearcherIsAvoidedAfterItsTime: a searcher that had rejected requests for a named time
// was avoided for seconds after it, like one that fails, while the others were full.
func TestSearcherIsAvoidedAfterItsTime(t *testing.T) {
	const wait = time.Second
	synctest.Test(t, func(t *testing.T) {
		s := rejecting("s-1", time.Now().Add(wait), wait)
		other := &fakeSearcher{id: "s-2", answer: answerAfter(20*time.Millisecond, "good")}
		fx := newFixture(t, []routing.Route{plainRoute(routing.Idempotent)}, map[string][]*fakeSearcher{"s": {s, other}})
		synctest.Wait()
		for s.requests() == 0 {
			fx.burst(t, 30*time.Millisecond, 50*time.Millisecond)
		}
		time.Sleep(wait)
		before := s.requests()
		if fx.burst(t, 30*time.Millisecond, 2*time.Second); s.requests()-before < 20 {
			t.Errorf("%d of 67 requests went to the searcher in the two seconds after its time", s.requests()-before)
		}
	})
}

// TestAllSearchersWantNoRequests: a request that no searcher took waited or was sent, and
// was refused with a time at which none would take it.
func TestAllSearchersWantNoRequests(t *testing.T) {
	const wait = 1500 * time.Millisecond
	for name, repeat := range map[string]routing.Idempotency{"idempotent": routing.Idempotent, "at most once": routing.AtMostOnce} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				until := time.Now().Add(wait)
				ss := []*fakeSearcher{rejecting("s-1", until, wait), rejecting("s-2", until, wait)}
				fx := newFixture(t, []routing.Route{plainRoute(repeat)}, map[string][]*fakeSearcher{"s": ss})
				synctest.Wait()
				for range 2 {
					fx.engine.Do(t.Context(), newRequest(500*time.Millisecond))
				}
				time.Sleep(500 * time.Millisecond)
				sent := ss[0].requests() + ss[1].requests()
				for range 20 {
					began := time.Now()
					a := fx.engine.Do(t.Context(), newRequest(500*time.Millisecond))
					if a.Status != http.StatusServiceUnavailable || time.Since(began) > 0 || a.RetryAfter < 900*time.Millisecond || a.RetryAfter > wait {
						t.Fatalf("status %d after %s, Retry-After %s", a.Status, time.Since(began), a.RetryAfter)
					}
				}
				if n := ss[0].requests() + ss[1].requests(); n != sent {
					t.Errorf("%d requests arrived", n-sent)
				}
				time.Sleep(wait)
				if a := fx.engine.Do(t.Context(), newRequest(500*time.Millisecond)); a.Status != http.StatusOK {
					t.Errorf("status %d after the time", a.Status)
				}
			})
		})
	}
}

// TestLeavingSearcherIsUsed: a searcher that had said in an answer that it is leaving got
// further requests, also by hedges and retries, while the store listed it.
func TestLeavingSearcherIsUsed(t *testing.T) {
	for name, answer := range map[string]fakeAnswer{
		"answers in time":         {delay: 10 * time.Millisecond},
		"loses against a hedge":   {delay: 300 * time.Millisecond},
		"answers another request": {delay: 10 * time.Millisecond, id: "other"},
		"answers without an ID":   {delay: 10 * time.Millisecond, noID: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				answer.status, answer.body, answer.leaving = http.StatusOK, "good", true
				s := &fakeSearcher{id: "s-1", answer: func(int, *http.Request) fakeAnswer { return answer }}
				other := &fakeSearcher{id: "s-2", answer: answerAfter(20*time.Millisecond, "good")}
				fx := newFixture(t, []routing.Route{plainRoute(routing.Idempotent)}, map[string][]*fakeSearcher{"s": {s, other}})
				synctest.Wait()
				for s.requests() == 0 {
					fx.burst(t, 15*time.Millisecond, 100*time.Millisecond)
				}
				time.Sleep(time.Second)
				sent := s.requests()
				if got := fx.burst(t, 15*time.Millisecond, 2*time.Second); got[http.StatusOK] < 133 || s.requests() != sent {
					t.Errorf("%d requests arrived after the searcher's answer, answers %v", s.requests()-sent, got)
				}
			})
		})
	}
}

// TestAllSearchersLeave checks that a request is refused at once if all searchers of its
// service are leaving, and that none gets it.
func TestAllSearchersLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leaving := func(int, *http.Request) fakeAnswer {
			return fakeAnswer{status: http.StatusOK, body: "good", leaving: true}
		}
		ss := []*fakeSearcher{{id: "s-1", answer: leaving}, {id: "s-2", answer: leaving}}
		fx := newFixture(t, []routing.Route{plainRoute(routing.AtMostOnce)}, map[string][]*fakeSearcher{"s": ss})
		synctest.Wait()
		for range 2 {
			if a := fx.engine.Do(t.Context(), newRequest(500*time.Millisecond)); a.Status != http.StatusOK {
				t.Fatalf("status %d", a.Status)
			}
		}
		began := time.Now()
		if a := fx.engine.Do(t.Context(), newRequest(500*time.Millisecond)); a.Reason != NoSearcher || time.Since(began) > 0 || ss[0].requests()+ss[1].requests() != 2 {
			t.Errorf("%+v after %s", a, time.Since(began))
		}
	})
}

// TestLeavingSearcherNamesLimit checks that a searcher that is leaving gets no request, also
// when the limit that it names as well would permit one.
func TestLeavingSearcherNamesLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSearcher{id: "s-1", answer: func(n int, _ *http.Request) fakeAnswer {
			return fakeAnswer{delay: 10 * time.Millisecond, status: http.StatusOK, body: "good", leaving: n > 5}
		}}
		s.limit.Store(20)
		fx := newFixture(t, []routing.Route{plainRoute(routing.Idempotent)}, map[string][]*fakeSearcher{"s": {s}})
		synctest.Wait()
		got := fx.burst(t, 50*time.Millisecond, 3*time.Second)
		if s.requests() != 6 || got[http.StatusOK] != 6 {
			t.Errorf("%d requests arrived, want the six up to the one that said it; answers %v", s.requests(), got)
		}
	})
}
