package forward

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"egrethaven/internal/back/instance"
	"egrethaven/internal/query/retrybudget"
	"egrethaven/internal/state/routing"
)

// TestTriedAgainLater sends one request whose searchers refuse, fail or lose it at first, and
// checks that it is tried again while its deadline leaves time. It ended with 502 or 503 at
// once, such as after 3.4 ms of 2 s when all searchers stalled for 50 ms.
func TestTriedAgainLater(t *testing.T) {
	const ms, service = time.Millisecond, 10 * time.Millisecond
	began := time.Time{}
	until := func(end time.Duration, bad fakeAnswer) func(int, *http.Request) fakeAnswer {
		return func(int, *http.Request) fakeAnswer {
			if time.Since(began) < end {
				return bad
			}
			return fakeAnswer{delay: service, status: http.StatusOK, body: "0123456789abcdef"}
		}
	}
	refuse, fail := fakeAnswer{status: http.StatusServiceUnavailable, notRun: true}, fakeAnswer{status: http.StatusInternalServerError}
	ok := answerAfter(service, "0123456789abcdef")
	for name, c := range map[string]struct {
		plain  bool
		repeat routing.Idempotency
		// bad holds the behaviour of each searcher of the first two of four shards, or of
		// the one service of a plain request.
		bad      []func(int, *http.Request) fakeAnswer
		coverage float64
		// refill is when the budget permits retries; 0 for at once.
		refill time.Duration
		status int
		within time.Duration
		// reports holds the times, from the start of the request, at which the searchers of
		// the first two shards report free slots.
		reports []time.Duration
	}{
		"all stall, needed":                   {false, routing.Idempotent, []func(int, *http.Request) fakeAnswer{until(40*ms, refuse), until(40*ms, refuse)}, 1, 0, http.StatusOK, 90 * ms, nil},
		"all stall, plain":                    {true, routing.Idempotent, []func(int, *http.Request) fakeAnswer{until(40*ms, refuse), until(40*ms, refuse)}, 0, 0, http.StatusOK, 90 * ms, nil},
		"all stall, at most once":             {true, routing.AtMostOnce, []func(int, *http.Request) fakeAnswer{until(40*ms, refuse), until(40*ms, refuse)}, 0, 0, http.StatusOK, 90 * ms, nil},
		"one refuses, not needed":             {false, routing.Idempotent, []func(int, *http.Request) fakeAnswer{until(time.Hour, refuse), ok}, 0.5, 0, http.StatusOK, 15 * ms, nil},
		"the only searcher refuses":           {true, routing.Idempotent, []func(int, *http.Request) fakeAnswer{until(30*ms, refuse)}, 0, 0, http.StatusOK, 100 * ms, nil},
		"the only searcher loses it":          {true, routing.Idempotent, []func(int, *http.Request) fakeAnswer{until(5*ms, fakeAnswer{disconnect: true})}, 0, 0, http.StatusOK, 100 * ms, nil},
		"budget refills, needed":              {false, routing.Idempotent, []func(int, *http.Request) fakeAnswer{until(5*ms, fail), until(5*ms, fail)}, 1, 200 * ms, http.StatusOK, 600 * ms, nil},
		"budget refills, plain":               {true, routing.Idempotent, []func(int, *http.Request) fakeAnswer{until(5*ms, fail), until(5*ms, fail)}, 0, 200 * ms, http.StatusOK, 600 * ms, nil},
		"budget refills, not needed":          {false, routing.Idempotent, []func(int, *http.Request) fakeAnswer{until(5*ms, fail), until(5*ms, fail)}, 0.5, 200 * ms, http.StatusOK, 15 * ms, nil},
		"budget stays spent":                  {true, routing.Idempotent, []func(int, *http.Request) fakeAnswer{until(5*ms, fail), until(5*ms, fail)}, 0, time.Hour, http.StatusInternalServerError, time.Second, nil},
		"failed, at most once":                {true, routing.AtMostOnce, []func(int, *http.Request) fakeAnswer{until(5*ms, fail), until(5*ms, fail)}, 0, 0, http.StatusInternalServerError, 5 * ms, nil},
		"refused for good, sends are bounded": {true, routing.Idempotent, []func(int, *http.Request) fakeAnswer{until(time.Hour, refuse), until(time.Hour, refuse)}, 0, 0, http.StatusServiceUnavailable, 90 * ms, nil},
		"all stall after reports":             {false, routing.Idempotent, []func(int, *http.Request) fakeAnswer{until(40*ms, refuse), until(40*ms, refuse)}, 1, 0, http.StatusOK, 90 * ms, []time.Duration{-2 * ms}},
		"free again after reports":            {false, routing.Idempotent, []func(int, *http.Request) fakeAnswer{until(12*ms, refuse), until(12*ms, refuse)}, 1, 0, http.StatusOK, 40 * ms, []time.Duration{-2 * ms, 15 * ms}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				route := plainRoute(c.repeat)
				searchers := map[string][]*fakeSearcher{}
				if !c.plain {
					route = fanOutRoute(4)
					route.MinCoverage = c.coverage
					for n, service := range route.Shards {
						for r := range 2 {
							s := &fakeSearcher{id: fmt.Sprintf("i-%d-%d", n, r), answer: ok}
							if n < 2 {
								s.answer = c.bad[r]
							}
							searchers[service] = append(searchers[service], s)
						}
					}
				} else {
					for r, bad := range c.bad {
						searchers["s"] = append(searchers["s"], &fakeSearcher{id: fmt.Sprint("s-", r), answer: bad})
					}
				}
				fx := newFixture(t, []routing.Route{route}, searchers)
				for _, at := range c.reports {
					time.AfterFunc(10*ms+at, func() {
						for _, i := range slices.Concat(fx.snapshot.Instances["s0"], fx.snapshot.Instances["s1"]) {
							i.RecordLoad(instance.Load{Slots: 2})
						}
					})
				}
				time.Sleep(10 * ms)
				if c.refill > 0 {
					fx.engine.SetBudget(retrybudget.Config{Window: 10 * time.Second})
					time.AfterFunc(c.refill, func() { fx.engine.SetBudget(retrybudget.Config{Allowance: 10, Window: 10 * time.Second}) })
				}
				synctest.Wait()
				began = time.Now()
				q := newRequest(time.Second)
				a := fx.engine.Do(t.Context(), q)
				if took := time.Since(began); a.Status != c.status || took > c.within {
					t.Errorf("got %d (%s) after %s, want %d within %s", a.Status, a.Reason, took, c.status, c.within)
				}
				for service, ss := range searchers {
					arrived := 0
					for _, s := range ss {
						arrived += s.requests()
					}
					if arrived > route.MaxAttempts {
						t.Errorf("%d requests arrived at %s, %d allowed", arrived, service, route.MaxAttempts)
					}
				}
			})
		})
	}
}

// TestRefusedTogether guards against a part whose last send is spent at once because the answer
// can do without it, just before other parts are refused too. One of two refused shards stays
// full, so that the answer needs the other one.
func TestRefusedTogether(t *testing.T) {
	for range 10 {
		synctest.Test(t, func(t *testing.T) {
			route := fanOutRoute(4)
			route.MinCoverage = 0.75
			began := time.Now()
			searchers := map[string][]*fakeSearcher{}
			for n, service := range route.Shards {
				for r := range 2 {
					searchers[service] = append(searchers[service], &fakeSearcher{id: fmt.Sprintf("i-%d-%d", n, r), answer: func(int, *http.Request) fakeAnswer {
						if n == 0 || n == 1 && time.Since(began) < 30*time.Millisecond {
							return fakeAnswer{status: http.StatusServiceUnavailable, notRun: true}
						}
						return fakeAnswer{delay: 10 * time.Millisecond, status: http.StatusOK, body: "0123456789abcdef"}
					}})
				}
			}
			fx := newFixture(t, []routing.Route{route}, searchers)
			synctest.Wait()
			if a := fx.engine.Do(t.Context(), newRequest(time.Second)); a.Status != http.StatusOK || a.Header.Get("Missing") != "1" {
				t.Errorf("got %d (%s), %q shards missing", a.Status, a.Reason, a.Header.Get("Missing"))
			}
		})
	}
}
