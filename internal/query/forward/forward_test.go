package forward

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"egrethaven/internal/back/instance"
	"egrethaven/internal/query/retrybudget"
	"egrethaven/internal/state/routing"
)

// TestUnreadFailureIsNotReportedAsNotRun ends a request when the searcher's
// failure has been received but not handled. The request has run, so the answer
// must not be 503.
func TestUnreadFailureIsNotReportedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSearcher{id: "s-1", answer: func(int, *http.Request) fakeAnswer {
			return fakeAnswer{delay: 10 * time.Millisecond, status: http.StatusGatewayTimeout}
		}}
		fx := newFixture(t, []routing.Route{plainRoute(routing.AtMostOnce)}, map[string][]*fakeSearcher{"s": {s}})
		synctest.Wait()
		x := fx.engine.newDispatch(newRequest(time.Second), fx.snapshot, &fx.snapshot.Config.Routes[0], client{})
		x.subrequests[0].sendFirst(time.Now())
		time.Sleep(20 * time.Millisecond)
		synctest.Wait()
		if len(x.results) != 1 {
			t.Fatalf("%d results received, want the one answer", len(x.results))
		}
		if a := x.failureAnswer(x.deadline); a.Status == http.StatusServiceUnavailable {
			t.Fatalf("answered %d, which promises that the request has not run, but %d requests ran", a.Status, s.requests())
		}
	})
}

// TestPlain sends one plain request for each behaviour of a searcher and checks
// the answer and the number of sends.
func TestPlain(t *testing.T) {
	ok := answerAfter(10*time.Millisecond, "good")
	fail := func(int, *http.Request) fakeAnswer {
		return fakeAnswer{delay: 10 * time.Millisecond, status: http.StatusInternalServerError, body: "bad"}
	}
	shed := func(int, *http.Request) fakeAnswer {
		return fakeAnswer{status: http.StatusServiceUnavailable, notRun: true}
	}
	disconnect := func(int, *http.Request) fakeAnswer { return fakeAnswer{delay: 10 * time.Millisecond, disconnect: true} }
	noStamp := func(int, *http.Request) fakeAnswer {
		return fakeAnswer{status: http.StatusOK, body: "forged", noStamp: true}
	}
	otherID := func(int, *http.Request) fakeAnswer {
		return fakeAnswer{status: http.StatusOK, body: "theirs", id: "other"}
	}
	noID := func(int, *http.Request) fakeAnswer {
		return fakeAnswer{status: http.StatusOK, body: "theirs", noID: true}
	}
	misdirected := func(int, *http.Request) fakeAnswer { return fakeAnswer{status: http.StatusMisdirectedRequest} }
	badRequest := func(int, *http.Request) fakeAnswer { return fakeAnswer{status: http.StatusTeapot, body: "no"} }
	silent := func(int, *http.Request) fakeAnswer { return fakeAnswer{delay: time.Hour, disconnect: true} }
	for name, c := range map[string]struct {
		repeat routing.Idempotency
		first  func(int, *http.Request) fakeAnswer
		status int
		body   string
		sends  int
	}{
		"served":                          {routing.AtMostOnce, ok, http.StatusOK, "good", 1},
		"failed, idempotent":              {routing.Idempotent, fail, http.StatusOK, "good", 2},
		"failed, at most once":            {routing.AtMostOnce, fail, http.StatusInternalServerError, "bad", 1},
		"refused, at most once":           {routing.AtMostOnce, shed, http.StatusOK, "good", 2},
		"misdirected, at most once":       {routing.AtMostOnce, misdirected, http.StatusOK, "good", 2},
		"connection closed, idempotent":   {routing.Idempotent, disconnect, http.StatusOK, "good", 2},
		"connection closed, at most once": {routing.AtMostOnce, disconnect, http.StatusBadGateway, "", 1},
		"unsigned, idempotent":            {routing.Idempotent, noStamp, http.StatusOK, "good", 2},
		"unsigned, at most once":          {routing.AtMostOnce, noStamp, http.StatusBadGateway, "", 1},
		"other attempt ID, idempotent":    {routing.Idempotent, otherID, http.StatusOK, "good", 2},
		"other attempt ID, at most once":  {routing.AtMostOnce, otherID, http.StatusGatewayTimeout, "", 1},
		"no attempt ID, idempotent":       {routing.Idempotent, noID, http.StatusOK, "good", 2},
		"no attempt ID, at most once":     {routing.AtMostOnce, noID, http.StatusGatewayTimeout, "", 1},
		"client error":                    {routing.Idempotent, badRequest, http.StatusTeapot, "no", 1},
		"silent, idempotent":              {routing.Idempotent, silent, http.StatusOK, "good", 2},
		"silent, at most once":            {routing.AtMostOnce, silent, http.StatusGatewayTimeout, "", 1},
		"refused by all, idempotent":      {routing.Idempotent, nil, http.StatusServiceUnavailable, "", 2},
		"refused by all, at most once":    {routing.AtMostOnce, nil, http.StatusServiceUnavailable, "", 2},
		"served late, still in time":      {routing.AtMostOnce, answerAfter(700*time.Millisecond, "late"), http.StatusOK, "late", 1},
		"served after the timeout":        {routing.AtMostOnce, answerAfter(1500*time.Millisecond, "late"), http.StatusGatewayTimeout, "", 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, b := &fakeSearcher{id: "s-1", answer: c.first}, &fakeSearcher{id: "s-2", answer: ok}
				if c.first == nil {
					a.answer, b.answer = shed, shed
				}
				fx := newFixture(t, []routing.Route{plainRoute(c.repeat)}, map[string][]*fakeSearcher{"s": {a, b}})
				synctest.Wait()
				// Lower the rank of the second searcher, so that the first is chosen.
				fx.snapshot.Instances["s"][1].RecordOutcome(2, 0, 0)
				if fx.snapshot.Instances["s"][0].Searcher().ID != "s-1" {
					t.Fatal("the first instance is not s-1")
				}
				got := fx.engine.Do(t.Context(), newRequest(time.Second))
				if got.Status != c.status || string(got.Body) != c.body || a.requests()+b.requests() != c.sends {
					t.Errorf("got %d %q (%s) after %d sends, want %d %q after %d",
						got.Status, got.Body, got.Reason, a.requests()+b.requests(), c.status, c.body, c.sends)
				}
				if got.Status == http.StatusServiceUnavailable && got.RetryAfter == 0 {
					t.Error("503 without Retry-After")
				}
			})
		})
	}
}

// TestFanOut sends one fan-out to four shards, some of them with faulty
// searchers, and checks the coverage and the latency of the answer.
func TestFanOut(t *testing.T) {
	const firstRecord, secondRecord = "0123456789abcdef", "zzzzzzzzzzzzzzzz"
	silent := func(int, *http.Request) fakeAnswer { return fakeAnswer{delay: time.Hour, disconnect: true} }
	fail := func(int, *http.Request) fakeAnswer { return fakeAnswer{status: http.StatusInternalServerError} }
	for name, c := range map[string]struct {
		bad      func(int, *http.Request) fakeAnswer
		shards   int
		coverage float64
		status   int
		missing  string
		within   time.Duration
	}{
		"complete":                         {nil, 0, 1, http.StatusOK, "0", 15 * time.Millisecond},
		"one replica silent":               {silent, 0, 1, http.StatusOK, "0", 60 * time.Millisecond},
		"a shard fails, enough answer":     {fail, 1, 0.75, http.StatusOK, "1", 15 * time.Millisecond},
		"a shard fails, all are needed":    {fail, 1, 1, http.StatusBadGateway, "", 15 * time.Millisecond},
		"a shard is silent, enough answer": {silent, 1, 0.75, http.StatusOK, "1", 80 * time.Millisecond},
		"a shard is silent, all needed":    {silent, 1, 1, http.StatusGatewayTimeout, "", 300 * time.Millisecond},
		"two shards silent, one too many":  {silent, 2, 0.75, http.StatusGatewayTimeout, "", 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				searchers := map[string][]*fakeSearcher{}
				for i := range 4 {
					a := &fakeSearcher{id: fmt.Sprintf("i-%d-a", i), answer: answerAfter(10*time.Millisecond, firstRecord)}
					b := &fakeSearcher{id: fmt.Sprintf("i-%d-b", i), answer: answerAfter(10*time.Millisecond, secondRecord)}
					if i < c.shards {
						a.answer, b.answer = c.bad, c.bad
					} else if c.shards == 0 && c.bad != nil && i == 0 {
						a.answer = c.bad
					}
					searchers[fmt.Sprintf("s%d", i)] = []*fakeSearcher{a, b}
				}
				r := fanOutRoute(4)
				r.MinCoverage = c.coverage
				fx := newFixture(t, []routing.Route{r}, searchers)
				synctest.Wait()
				q := newRequest(300 * time.Millisecond)
				a := fx.engine.Do(t.Context(), q)
				if took := time.Since(q.Arrived); a.Status != c.status || a.Header.Get("Missing") != c.missing || took > c.within {
					t.Errorf("got %d (%s), %q missing, after %s; want %d, %q missing, within %s",
						a.Status, a.Reason, a.Header.Get("Missing"), took, c.status, c.missing, c.within)
				}
				if a.Status == http.StatusOK && len(a.Body) != min(4-c.shards, r.TopK)*16 {
					t.Errorf("the body has %d bytes", len(a.Body))
				}
			})
		})
	}
}

// TestShardLeftAlone sends a second request when the searchers of a shard are
// known to be unresponsive. If the other shards are enough, the answer does not
// wait for that shard; otherwise the request is refused before any send.
func TestShardLeftAlone(t *testing.T) {
	for name, c := range map[string]struct {
		coverage float64
		status   int
	}{"enough others": {0.75, http.StatusOK}, "all are needed": {1, http.StatusServiceUnavailable}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				searchers := map[string][]*fakeSearcher{}
				for i := range 4 {
					s := &fakeSearcher{id: fmt.Sprintf("i-%d", i), answer: answerAfter(10*time.Millisecond, "0123456789abcdef")}
					if i == 0 {
						s.answer = func(int, *http.Request) fakeAnswer { return fakeAnswer{delay: time.Hour, disconnect: true} }
					}
					searchers[fmt.Sprintf("s%d", i)] = []*fakeSearcher{s}
				}
				r := fanOutRoute(4)
				r.MinCoverage = c.coverage
				fx := newFixture(t, []routing.Route{r}, searchers)
				synctest.Wait()
				fx.engine.Do(t.Context(), newRequest(300*time.Millisecond))
				time.Sleep(300 * time.Millisecond)
				before := fx.searchers["i-1"].requests()
				q := newRequest(300 * time.Millisecond)
				a := fx.engine.Do(t.Context(), q)
				if took := time.Since(q.Arrived); a.Status != c.status || took > 15*time.Millisecond {
					t.Errorf("got %d (%s) after %s, want %d within 15ms", a.Status, a.Reason, took, c.status)
				}
				if sent := fx.searchers["i-1"].requests() > before; sent != (c.status == http.StatusOK) {
					t.Errorf("sent to the other shards: %v, want the opposite", sent)
				}
			})
		})
	}
}

// TestClientDisconnects checks that sends are aborted after the client has
// disconnected, unless the request may run only once.
func TestClientDisconnects(t *testing.T) {
	for repeat, want := range map[routing.Idempotency]int{routing.Idempotent: 1, routing.AtMostOnce: 0} {
		synctest.Test(t, func(t *testing.T) {
			s := &fakeSearcher{id: "s-1", answer: answerAfter(time.Second, "good")}
			fx := newFixture(t, []routing.Route{plainRoute(repeat)}, map[string][]*fakeSearcher{"s": {s}})
			synctest.Wait()
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
			defer cancel()
			if a := fx.engine.Do(ctx, newRequest(2*time.Second)); a.Reason != ClientGone {
				t.Errorf("got %d (%s), want client_gone", a.Status, a.Reason)
			}
			time.Sleep(1500 * time.Millisecond)
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.unreadAnswers != want {
				t.Errorf("repeat %v: %d unread answers, want %d", repeat, s.unreadAnswers, want)
			}
		})
	}
}

// TestUnsentHedgeMovesOn hedges a send to a silent searcher. The replica chosen
// for the hedge accepts no connection, so the hedge has to go to the third one at
// once, without another charge to the budget.
func TestUnsentHedgeMovesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := &fakeSearcher{id: "i-a", answer: func(int, *http.Request) fakeAnswer { return fakeAnswer{delay: time.Hour, disconnect: true} }}
		full := &fakeSearcher{id: "i-b", answer: answerAfter(10*time.Millisecond, "0123456789abcdef")}
		good := &fakeSearcher{id: "i-c", answer: answerAfter(10*time.Millisecond, "0123456789abcdef")}
		r := fanOutRoute(1)
		fx := newFixture(t, []routing.Route{r}, map[string][]*fakeSearcher{"s0": {silent, full, good}})
		fx.engine.SetBudget(retrybudget.Config{Ratio: 0.2, Allowance: 1.5, Window: 10 * time.Second})
		synctest.Wait()
		x := fx.engine.newDispatch(newRequest(300*time.Millisecond), fx.snapshot, &fx.snapshot.Config.Routes[0], client{})
		p := x.subrequests[0]
		for _, i := range p.instances {
			if i.Searcher().ID == full.id {
				i.Drain()
				p.instances = append([]*instance.Instance{i}, slices.DeleteFunc(slices.Clone(p.instances), func(o *instance.Instance) bool { return o == i })...)
			}
		}
		now := time.Now()
		p.budget.CountFirst(now)
		for _, i := range p.instances {
			if i.Searcher().ID == silent.id {
				p.sendTo(i, now)
			}
		}
		// The hedge is handed to a searcher that can't take it any more.
		p.sendTo(p.instances[0], now)
		synctest.Wait()
		x.drainResults(now)
		synctest.Wait()
		if good.requests() != 1 || p.failed {
			t.Errorf("%d requests at the third searcher, want the hedge; failed %t", good.requests(), p.failed)
		}
		if p.sends != 2 {
			t.Errorf("%d sends counted, want 2", p.sends)
		}
		for _, f := range p.attempts {
			f.send.Abort()
		}
	})
}

// TestInvalidResponse: a response that HTTP does not allow was the client's answer. It is a
// failure of a send that may have run.
func TestInvalidResponse(t *testing.T) {
	for name, raw := range map[string]string{
		"status 000": "HTTP/1.1 000 X\r\nContent-Length: 0", "status 999": "HTTP/1.1 999 X\r\nContent-Length: 0", "switching": "HTTP/1.1 101 X",
		"no status line": "hello", "204 with a body": "HTTP/1.1 204 X\r\nContent-Length: 2", "interim": strings.Repeat("HTTP/1.1 100 X\r\n\r\n", 50) + "HTTP/1.1 100 X",
		"two lengths": "HTTP/1.1 200 X\r\nContent-Length: 0\r\nContent-Length: 1", "503": "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\nContent-Length: 1",
	} {
		for kind, c := range map[string]struct {
			repeat        routing.Idempotency
			fanOut        bool
			status, sends int
		}{"at most once": {routing.AtMostOnce, false, http.StatusBadGateway, 1}, "idempotent": {routing.Idempotent, false, http.StatusOK, 2}, "fan-out": {routing.Idempotent, true, http.StatusOK, 2}} {
			t.Run(name+", "+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var sends atomic.Int64
					respond := func(_ int, _ *http.Request) fakeAnswer {
						if sends.Add(1) == 1 {
							return fakeAnswer{raw: raw}
						}
						return fakeAnswer{status: http.StatusOK, body: "good"}
					}
					r := plainRoute(c.repeat)
					if c.fanOut {
						r.WeightedServices, r.Shards, r.MinCoverage, r.TopK = nil, []string{"s"}, 1, 1
					}
					a, b := &fakeSearcher{id: "s-1", answer: respond}, &fakeSearcher{id: "s-2", answer: respond}
					fx := newFixture(t, []routing.Route{r}, map[string][]*fakeSearcher{"s": {a, b}})
					synctest.Wait()
					got := fx.engine.Do(t.Context(), newRequest(time.Second))
					if got.Status != c.status || int(sends.Load()) != c.sends || a.requests() > 1 || b.requests() > 1 {
						t.Errorf("status %d after %d sends, want %d after %d", got.Status, sends.Load(), c.status, c.sends)
					}
				})
			})
		}
	}
}
